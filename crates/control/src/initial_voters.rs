//! The initial voters of a new group.
//!
//! The list names member identities. A new data directory is given a random one, so a process that
//! lost its disk is not on the list, and the same flags cannot make it bootstrap a second group. A
//! program that chooses the identity with [`Settings::new_member`](crate::Settings::new_member) has
//! to ensure that itself.

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

/// One initial voter, written as `member<number>@<ip>:<port>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InitialVoter {
    /// The identity in its data directory.
    pub member: MemberId,
    /// The inner address at which the other members reach it, as `ip:port`.
    pub address: String,
}

/// The text is not an initial voter.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `member<number>@<ip>:<port>`")]
pub struct ParseInitialVoterError;

impl FromStr for InitialVoter {
    type Err = ParseInitialVoterError;

    fn from_str(text: &str) -> Result<InitialVoter, ParseInitialVoterError> {
        let (member, address) = text.split_once('@').ok_or(ParseInitialVoterError)?;
        let member = member.parse().map_err(|_| ParseInitialVoterError)?;
        let checked: std::net::SocketAddr = address.parse().map_err(|_| ParseInitialVoterError)?;
        Ok(InitialVoter {
            member,
            address: checked.to_string(),
        })
    }
}

impl fmt::Display for InitialVoter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.member, self.address)
    }
}

/// All initial voters of a group; empty for a process that only joins one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InitialVoters(pub Vec<InitialVoter>);

impl InitialVoters {
    /// Whether `member` is an initial voter.
    pub fn contains(&self, member: MemberId) -> bool {
        self.0.iter().any(|voter| voter.member == member)
    }

    /// The first records in the log of every initial voter. They depend only on the list, not on
    /// its order, so that all initial voters start with the same records.
    pub fn records(&self) -> Vec<Record> {
        let mut initial_voters = self.0.clone();
        initial_voters.sort();
        let mut hasher = SipHasher13::new();
        for voter in &initial_voters {
            hasher.write(voter.to_string().as_bytes());
            hasher.write_u8(b',');
        }
        let voters = initial_voters
            .into_iter()
            .map(|voter| (voter.member, voter.address));
        let membership = Membership::of_voters(voters);
        PersistentState::bootstrap_records(GroupId(hasher.finish()), membership)
    }
}
