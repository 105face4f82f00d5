//! Members of a group and changes of them.
//!
//! A membership takes effect when its entry is appended. Two consecutive memberships differ in
//! one voter at most, so any majority of one intersects any majority of the other.

use std::collections::BTreeMap;

use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::PersistentState;

/// Approximate bytes of one member in a membership entry, besides the address.
const MEMBER_OVERHEAD_BYTES: usize = 48;

/// What a member counts for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Votes and counts towards quorums.
    Voter,
    /// Receives the log only, and is promoted once it has caught up.
    Joining,
    /// Receives the log only.
    NonVoter,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Where it receives messages.
    pub address: String,
    /// What it counts for.
    pub role: MemberRole,
}

/// All members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership {
    /// The members.
    pub members: BTreeMap<MemberId, Member>,
}

/// A change of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipChange {
    /// Adds a member without a vote.
    Add {
        /// The member.
        member: MemberId,
        /// Where it receives messages.
        address: String,
        /// Whether it becomes a voter once it has caught up.
        promote: bool,
    },
    /// Gives a non-voter a vote; proposed by the leader itself once the member has caught up.
    Promote {
        /// The member.
        member: MemberId,
    },
    /// Removes a member.
    Remove {
        /// The member.
        member: MemberId,
    },
}

/// Why a membership change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The member exists already.
    #[error("{0} is a member already")]
    AlreadyMember(MemberId),
    /// There is no such member.
    #[error("{0} is not a member")]
    NotAMember(MemberId),
    /// A group needs a voter.
    #[error("{0} is the last voter")]
    LastVoter(MemberId),
    /// The member is a voter already.
    #[error("{0} is a voter already")]
    AlreadyVoter(MemberId),
    /// The member has not caught up, so its vote would endanger the quorum.
    #[error("{0} has not caught up")]
    NotCaughtUp(MemberId),
}

impl Membership {
    /// A membership of voters only.
    pub fn of_voters(voters: impl IntoIterator<Item = (MemberId, String)>) -> Membership {
        let member = |address| Member {
            address,
            role: MemberRole::Voter,
        };
        let members = voters
            .into_iter()
            .map(|(id, address)| (id, member(address)))
            .collect();
        Membership { members }
    }

    /// Whether `id` votes.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.members
            .get(&id)
            .is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// The voters.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.keys().copied().filter(|&id| self.is_voter(id))
    }

    /// How many voters form a quorum.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The greatest value that a quorum of the voters has reached.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// The membership after `change`.
    pub fn with_change(&self, change: &MembershipChange) -> Result<Membership, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::Add {
                member,
                address,
                promote,
            } => {
                if next.members.contains_key(member) {
                    return Err(MembershipError::AlreadyMember(*member));
                }
                let role = if *promote {
                    MemberRole::Joining
                } else {
                    MemberRole::NonVoter
                };
                next.members.insert(
                    *member,
                    Member {
                        address: address.clone(),
                        role,
                    },
                );
            }
            MembershipChange::Promote { member } => {
                let found = next.members.get_mut(member);
                let found = found.ok_or(MembershipError::NotAMember(*member))?;
                if found.role == MemberRole::Voter {
                    return Err(MembershipError::AlreadyVoter(*member));
                }
                found.role = MemberRole::Voter;
            }
            MembershipChange::Remove { member } => {
                next.members
                    .remove(member)
                    .ok_or(MembershipError::NotAMember(*member))?;
                if next.voters().next().is_none() {
                    return Err(MembershipError::LastVoter(*member));
                }
            }
        }
        Ok(next)
    }

    pub(crate) fn size_bytes(&self) -> usize {
        let member_bytes = |member: &Member| member.address.len() + MEMBER_OVERHEAD_BYTES;
        self.members.values().map(member_bytes).sum()
    }
}

/// The memberships in the log, so that a truncated one is reverted.
#[derive(Clone, Debug)]
pub(crate) struct MembershipHistory {
    /// Ascending by index, never empty; the last one is in effect.
    versions: Vec<(Index, Membership)>,
}

impl MembershipHistory {
    /// The memberships that a store holds.
    pub(crate) fn restored(restored: &PersistentState) -> MembershipHistory {
        let meta = restored.snapshot.as_ref().map(|snapshot| &snapshot.meta);
        let start = meta.map(|meta| (meta.index, meta.membership.clone()));
        let (index, membership) = start.unwrap_or_default();
        let mut history = MembershipHistory::new(index, membership);
        for entry in &restored.entries {
            if let Payload::Membership(membership) = &entry.payload {
                history.push(entry.index, membership.clone());
            }
        }
        history
    }

    pub(crate) fn new(index: Index, membership: Membership) -> MembershipHistory {
        MembershipHistory {
            versions: vec![(index, membership)],
        }
    }

    pub(crate) fn current(&self) -> &Membership {
        &self.versions[self.versions.len() - 1].1
    }

    /// The index of the membership in effect.
    pub(crate) fn current_index(&self) -> Index {
        self.versions[self.versions.len() - 1].0
    }

    /// The membership in effect at `index`.
    pub(crate) fn at(&self, index: Index) -> &Membership {
        let found = self.versions.iter().rev().find(|(from, _)| *from <= index);
        &found.unwrap_or(&self.versions[0]).1
    }

    pub(crate) fn push(&mut self, index: Index, membership: Membership) {
        self.versions.push((index, membership));
    }

    pub(crate) fn truncate_after(&mut self, index: Index) {
        while self.versions.len() > 1 && self.current_index() > index {
            self.versions.pop();
        }
    }

    /// Forgets versions that were replaced at or before `index`.
    pub(crate) fn compact(&mut self, index: Index) {
        let replaced = self
            .versions
            .iter()
            .skip(1)
            .take_while(|(from, _)| *from <= index);
        let count = replaced.count();
        self.versions.drain(..count);
    }
}
