//! The text form of the roster: `<entry>@<failure domain>=<ip:port>`, comma-separated.
//!
//! The settings contain the initial roster; the configuration keys [`ROSTER_KEY`] and
//! [`NEXT_ROSTER_KEY`] take precedence. To change the roster, an operator sets the next roster and
//! waits until every entry has applied that version and reports that it is within its shares. Only
//! then does the operator set the roster to the new value and remove the next roster.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use sapphirepost_routing::Roster;
use sapphirepost_routing::RosterChange;
use sapphirepost_routing::RosterEntry;
use sapphirepost_types::EntryId;
use sapphirepost_types::Name;
use thiserror::Error;

/// The configuration key of the current roster.
pub const ROSTER_KEY: &str = "roster";
/// The configuration key of the next roster, set only while a change is in progress.
pub const NEXT_ROSTER_KEY: &str = "roster-next";

/// An entry of the roster with the address of its inner listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The ID of the entry, unique in the roster.
    pub id: EntryId,
    /// The failure domain in which the entry runs.
    pub failure_domain: Name,
    /// The address of the inner listener, to which the other entries send gossip.
    pub address: SocketAddr,
}

/// The roster with the inner addresses of the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members(pub Vec<Member>);

/// The contained text is not an entry of a roster, or is a roster that names an entry twice.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `<entry>@<failure domain>=<ip:port>[,...]`, got `{0}`")]
pub struct ParseMembersError(pub String);

impl FromStr for Member {
    type Err = ParseMembersError;

    fn from_str(text: &str) -> Result<Member, ParseMembersError> {
        let parse = || {
            let (id, rest) = text.split_once('@')?;
            let (failure_domain, address) = rest.split_once('=')?;
            Some(Member {
                id: id.parse().ok()?,
                failure_domain: failure_domain.parse().ok()?,
                address: address.parse().ok()?,
            })
        };
        parse().ok_or_else(|| ParseMembersError(text.to_owned()))
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}={}", self.id, self.failure_domain, self.address)
    }
}

impl FromStr for Members {
    type Err = ParseMembersError;

    fn from_str(text: &str) -> Result<Members, ParseMembersError> {
        let members: Vec<Member> = text
            .split(',')
            .map(|part| part.trim().parse())
            .collect::<Result<_, _>>()?;
        let mut ids: Vec<EntryId> = members.iter().map(|member| member.id).collect();
        ids.sort_unstable();
        ids.dedup();
        if ids.len() < members.len() {
            return Err(ParseMembersError(text.to_owned()));
        }
        Ok(Members(members))
    }
}

impl Members {
    /// The roster without addresses, as the router uses it.
    pub fn roster(&self) -> Roster {
        Roster {
            entries: self
                .0
                .iter()
                .map(|member| RosterEntry {
                    id: member.id,
                    failure_domain: member.failure_domain.clone(),
                })
                .collect(),
        }
    }
}

/// Reads the current and the next roster of a configuration. `initial` is used if the configuration
/// has no roster. Also returns the members of both; for an entry in both, the member of the next
/// roster.
pub fn from_config(
    values: &BTreeMap<Name, String>,
    initial: &Members,
) -> Result<(RosterChange, Members), ParseMembersError> {
    let current = match values.get(ROSTER_KEY) {
        Some(text) => text.parse()?,
        None => initial.clone(),
    };
    let next: Option<Members> = values
        .get(NEXT_ROSTER_KEY)
        .map(|text| text.parse())
        .transpose()?;
    let change = RosterChange {
        current: current.roster(),
        next: next.as_ref().map(Members::roster),
    };
    let mut all = current;
    for member in next.unwrap_or_default().0 {
        all.0.retain(|known| known.id != member.id);
        all.0.push(member);
    }
    Ok((change, all))
}
