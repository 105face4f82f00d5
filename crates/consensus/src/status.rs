//! Accessors for the state of a node.

use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::entry::GroupId;
use crate::entry::Index;
use crate::entry::Term;
use crate::membership::Membership;
use crate::node::Node;
use crate::node::Role;

/// Replication progress of a member, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The last index that the member is known to have synced.
    pub matched: Index,
    /// Time since the last reply of the member or, before its first reply, since the leader began to
    /// track it; `None` for the leader itself.
    pub silent_ms: Option<u64>,
}

impl Node {
    /// ID of this member, as set in [`Config::id`](crate::Config::id).
    pub fn id(&self) -> MemberId {
        self.config.id
    }

    /// Group of this member; `None` until a new member has joined one.
    pub fn group(&self) -> Option<GroupId> {
        self.hard_state.group
    }

    /// Current role of this member; a change is reported in
    /// [`Ready::role_change`](crate::Ready::role_change).
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term of this member, which may not be synced yet.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Leader of the current term; `None` if it is not known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// Time in milliseconds since the last message of the leader that this member follows; `None`
    /// unless it follows one.
    pub fn leader_contact_ms(&self, now: Millis) -> Option<u64> {
        if self.role != Role::Follower || self.leader.is_none() {
            return None;
        }
        self.leader_contact.map(|at| now.since(at))
    }

    /// Index of the last entry that this member knows to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// Index of the last entry in the log, whether or not it is synced or committed.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Term of the entry at `index`; `None` if the entry is compacted or does not exist.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// The membership in effect: the latest one in the log, even if it is not committed yet.
    pub fn membership(&self) -> &Membership {
        self.memberships.current()
    }

    /// The membership in effect at `index`, for a snapshot at that index.
    pub fn membership_at(&self, index: Index) -> &Membership {
        self.memberships.at(index)
    }

    /// Progress of a member; `None` if this member is not the leader or `id` is not a member.
    pub fn member_progress(&self, id: MemberId) -> Option<MemberProgress> {
        if self.role == Role::Leader && id == self.config.id {
            return Some(MemberProgress {
                matched: self.log.stable(),
                silent_ms: None,
            });
        }
        let progress = self.progress.get(&id)?;
        let silent_ms = Some(self.now.since(progress.last_contact));
        Some(MemberProgress {
            matched: progress.matched,
            silent_ms,
        })
    }
}
