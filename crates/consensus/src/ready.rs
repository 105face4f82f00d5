//! Output of a node that its owner has to handle.

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
/// The storage must process `snapshot`, `records` and `messages_after_persist` of consecutive values
/// in order; see [`Ready::needs_storage`].
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Sequence number of this value, to be reported with [`Persisted`].
    pub number: u64,
    /// Messages to send immediately.
    pub messages: Vec<OutgoingMessage>,
    /// A received snapshot, to be saved before `records` and installed before `committed`.
    pub snapshot: Option<Snapshot>,
    /// Records to append and sync.
    pub records: Vec<Record>,
    /// Messages to send after this and all earlier values are synced.
    pub messages_after_persist: Vec<OutgoingMessage>,
    /// Committed entries to apply, in ascending order without gaps. If the next value has more of
    /// them, its [`Ready::is_empty`] is false.
    pub committed: Vec<Entry>,
    /// Reads that a quorum has confirmed and for which `committed` and the entries before it suffice.
    pub reads: Vec<ConfirmedRead>,
    /// Tokens of reads that were aborted because the leader stepped down.
    pub aborted_reads: Vec<u64>,
    /// The new role, term and leader; `None` if none of them changed.
    pub role_change: Option<RoleChange>,
}

impl Ready {
    /// Whether the storage has to process this value; the owner then calls
    /// [`Node::persisted`](crate::Node::persisted).
    pub fn needs_storage(&self) -> bool {
        let is_recorded = self.snapshot.is_some() || !self.records.is_empty();
        is_recorded || !self.messages_after_persist.is_empty()
    }

    /// Whether there is nothing to handle.
    pub fn is_empty(&self) -> bool {
        !self.needs_storage()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.aborted_reads.is_empty()
            && self.role_change.is_none()
    }
}

/// Acknowledgement that all [`Ready`] values up to a number are synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Persisted {
    /// [`Ready::number`] of the last synced value.
    pub number: u64,
}

/// A read that may be served from the state at `index` or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedRead {
    /// Token that the owner passed to [`Node::read_index`](crate::Node::read_index).
    pub token: u64,
    /// Index up to which entries must be applied before the read is served.
    pub index: Index,
}

/// A change of role, term or known leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleChange {
    /// The current role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader of the term; `None` if it is not known.
    pub leader: Option<MemberId>,
    /// Why this member stopped leading, if it led before the change.
    pub step_down: Option<StepDown>,
}

/// Why a member stopped leading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDown {
    /// No quorum replied for an election timeout.
    QuorumSilent {
        /// Time since the last moment at which a quorum was in contact.
        silent_ms: u64,
        /// Time between the last two calls that passed the time to the node, the one included that
        /// noticed the silence. If it is long, this member was paused or busy.
        unattended_ms: u64,
    },
    /// Another member reached a higher term.
    HigherTerm,
    /// The storage is out of space and no other member took over in time.
    StorageFull,
    /// The membership no longer lists it as a voter.
    NotVoter,
}
