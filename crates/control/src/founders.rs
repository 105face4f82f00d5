//! The first voters of a new group.
//!
//! The list names identities, which are drawn when the data directories are created. A process
//! that lost its disk has a new identity and is not on the list, so that the same flags cannot
//! make it found a second group.

use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use siphasher::sip::SipHasher13;
use thiserror::Error;

use sapphirepost_consensus::GroupId;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_types::MemberId;

/// One first voter, as `member<number>@<ip>:<port>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Founder {
    /// Its identity.
    pub member: MemberId,
    /// Its inner address.
    pub address: String,
}

/// A text that is no first voter.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `member<number>@<ip>:<port>`")]
pub struct ParseFounderError;

impl FromStr for Founder {
    type Err = ParseFounderError;

    fn from_str(text: &str) -> Result<Founder, ParseFounderError> {
        let (member, address) = text.split_once('@').ok_or(ParseFounderError)?;
        let member = member.parse().map_err(|_| ParseFounderError)?;
        let checked: std::net::SocketAddr = address.parse().map_err(|_| ParseFounderError)?;
        Ok(Founder {
            member,
            address: checked.to_string(),
        })
    }
}

impl fmt::Display for Founder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.member, self.address)
    }
}

/// All first voters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Founders(pub Vec<Founder>);

impl Founders {
    /// Whether `member` is a first voter.
    pub fn contains(&self, member: MemberId) -> bool {
        self.0.iter().any(|founder| founder.member == member)
    }

    /// The first records of each first voter's log. They depend on the list only, so that all
    /// first voters start with the same ones.
    pub fn records(&self) -> Vec<Record> {
        let mut founders = self.0.clone();
        founders.sort();
        let mut hasher = SipHasher13::new();
        for founder in &founders {
            hasher.write(founder.to_string().as_bytes());
            hasher.write_u8(b',');
        }
        let voters = founders
            .into_iter()
            .map(|founder| (founder.member, founder.address));
        let membership = Membership::of_voters(voters);
        PersistentState::bootstrap_records(GroupId(hasher.finish()), membership)
    }
}
