//! Membership of a group and its changes.
//!
//! A membership takes effect when its entry is appended. Consecutive memberships differ by at most
//! one voter, so any majority of one intersects any majority of the other.

use std::collections::BTreeMap;

use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::PersistentState;

/// Approximate size of a member in a membership entry, without its address.
const MEMBER_OVERHEAD_BYTES: usize = 48;

/// Whether a member votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRole {
    /// Votes and counts towards quorums.
    Voter,
    /// Receives the log without a vote; the leader promotes it to a voter once it has caught up.
    Joining,
    /// Receives the log without a vote; it is promoted only on request.
    NonVoter,
}

/// A member of a group, without its ID.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Address at which the member receives messages.
    pub address: String,
    /// Whether the member votes.
    pub role: MemberRole,
}

/// All members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Membership {
    /// The members by ID.
    pub members: BTreeMap<MemberId, Member>,
}

/// A change of one member, to be proposed with
/// [`Node::propose_membership`](crate::Node::propose_membership).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipChange {
    /// Adds a member without a vote.
    Add {
        /// ID of the new member.
        member: MemberId,
        /// Address at which the new member receives messages.
        address: String,
        /// Whether the leader promotes the member to a voter once it has caught up.
        promote: bool,
    },
    /// Makes a member without a vote a voter. For a joining member, the leader proposes it itself.
    Promote {
        /// ID of the member to promote.
        member: MemberId,
    },
    /// Changes the address of a member, which keeps its role.
    Move {
        /// ID of the member.
        member: MemberId,
        /// Address at which the member receives messages from now on.
        address: String,
    },
    /// Removes a member from the group.
    Remove {
        /// ID of the member to remove.
        member: MemberId,
    },
}

/// Why a membership change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The member to add is already part of the group.
    #[error("{0} is already a member")]
    AlreadyMember(MemberId),
    /// The member to promote or remove is not part of the group.
    #[error("{0} is not a member")]
    NotAMember(MemberId),
    /// The member cannot be removed, since a group needs at least one voter.
    #[error("{0} is the last voter")]
    LastVoter(MemberId),
    /// The member to promote already votes.
    #[error("{0} is already a voter")]
    AlreadyVoter(MemberId),
    /// The member lacks committed entries; as a voter it could block commits until it has them.
    #[error("{0} has not caught up")]
    NotCaughtUp(MemberId),
}

impl Membership {
    /// A membership in which all members are voters.
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

    /// Whether `id` is a member and votes.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.members
            .get(&id)
            .is_some_and(|member| member.role == MemberRole::Voter)
    }

    /// IDs of the voters, in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.keys().copied().filter(|&id| self.is_voter(id))
    }

    /// Number of voters that form a quorum: a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The greatest value that a quorum of the voters has reached; `None` without voters.
    pub fn quorum_value<T: Ord + Copy>(&self, value: impl Fn(MemberId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.quorum() - 1).copied()
    }

    /// Returns the membership after `change`, or why the change is not valid.
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
            MembershipChange::Move { member, address } => {
                let found = next.members.get_mut(member);
                let found = found.ok_or(MembershipError::NotAMember(*member))?;
                found.address.clone_from(address);
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

/// The memberships in the log, so that a membership can be reverted when its entry is truncated.
#[derive(Clone, Debug)]
pub(crate) struct MembershipHistory {
    /// Memberships with the index of their entry, ascending and never empty; the last one is in
    /// effect.
    versions: Vec<(Index, Membership)>,
}

impl MembershipHistory {
    /// Collects the memberships in the snapshot and in the log entries.
    pub(crate) fn from_persistent_state(restored: &PersistentState) -> MembershipHistory {
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

    /// Index of the entry with the membership in effect.
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

    /// Removes the versions that were replaced at or before `index`.
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
