//! What callers can see of a node.

use sapphirepost_types::MemberId;

use crate::entry::GroupId;
use crate::entry::Index;
use crate::entry::Term;
use crate::membership::Membership;
use crate::node::Node;
use crate::node::Role;

/// What the leader knows of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberProgress {
    /// The last index that the member is known to have synced.
    pub matched: Index,
    /// Milliseconds since the member was last heard from; `None` for the leader itself.
    pub silent_ms: Option<u64>,
}

impl Node {
    /// This member.
    pub fn id(&self) -> MemberId {
        self.config.id
    }

    /// The group, if this member has one.
    pub fn group(&self) -> Option<GroupId> {
        self.hard_state.group
    }

    /// The role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// The last committed index that this member knows.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// The last index of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The term of an entry, or `None` if it is compacted or does not exist.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// The membership in effect.
    pub fn membership(&self) -> &Membership {
        self.memberships.current()
    }

    /// The membership in effect at an applied index, for a snapshot.
    pub fn membership_at(&self, index: Index) -> &Membership {
        self.memberships.at(index)
    }

    /// What the leader knows of a member; `None` if this member does not lead.
    pub fn member_progress(&self, id: MemberId) -> Option<MemberProgress> {
        if self.role == Role::Leader && id == self.config.id {
            return Some(MemberProgress {
                matched: self.log.stable(),
                silent_ms: None,
            });
        }
        let progress = self.progress.get(&id)?;
        let silent_ms = Some(self.now.since(progress.last_heard));
        Some(MemberProgress {
            matched: progress.matched,
            silent_ms,
        })
    }
}
