//! What the owner of a node has to do.

use sapphirepost_types::MemberId;

use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Record;
use crate::entry::Snapshot;
use crate::entry::Term;
use crate::message::OutgoingMessage;
use crate::node::Role;

/// Output of [`Node::ready`](crate::Node::ready), to be handled in the order of the fields.
///
/// `snapshot`, `records` and `messages_after_persist` of consecutive values pass through the
/// storage in order; see [`Ready::needs_storage`].
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Number of this value, for [`Persisted`].
    pub number: u64,
    /// Messages to send at once.
    pub messages: Vec<OutgoingMessage>,
    /// A received snapshot, to be saved before `records` and installed before `committed`.
    pub snapshot: Option<Snapshot>,
    /// Records to append and sync.
    pub records: Vec<Record>,
    /// Messages to send after this and all earlier values are synced.
    pub messages_after_persist: Vec<OutgoingMessage>,
    /// Entries to apply, ascending without gaps.
    pub committed: Vec<Entry>,
    /// Reads that a quorum confirmed.
    pub reads: Vec<ConfirmedRead>,
    /// Tokens of reads that end without an answer, since the leader stepped down.
    pub aborted_reads: Vec<u64>,
    /// The new role, if it changed.
    pub role_change: Option<RoleChange>,
}

impl Ready {
    /// Whether the value has to pass through the storage, followed by
    /// [`Node::persisted`](crate::Node::persisted).
    pub fn needs_storage(&self) -> bool {
        let is_recorded = self.snapshot.is_some() || !self.records.is_empty();
        is_recorded || !self.messages_after_persist.is_empty()
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.needs_storage()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.aborted_reads.is_empty()
            && self.role_change.is_none()
    }
}

/// Says that all values up to a number are synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Persisted {
    /// The [`Ready::number`].
    pub number: u64,
}

/// A read that may be answered from the state at `index` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// The caller's token.
    pub token: u64,
    /// The state must have applied this index.
    pub index: Index,
}

/// A change of role, term or known leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// The role.
    pub role: Role,
    /// The term.
    pub term: Term,
    /// The leader, if it is known.
    pub leader: Option<MemberId>,
}
