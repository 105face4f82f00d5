//! Log entries and the records that a member persists.

use std::fmt;

use bytes::Bytes;
use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

use crate::membership::Membership;

/// Position in the log; the first entry has index 1.
pub type Index = u64;

/// Election term; each term has at most one leader.
pub type Term = u64;

/// Approximate size of an entry without its payload, for the batch limits.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Identifies a replicated group. Messages of another group are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(pub u64);

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "group{}", self.0)
    }
}

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// Empty entry that a new leader appends, since it can commit only an entry of its own term
    /// directly.
    Noop,
    /// An encoded command for the state machine.
    Command(#[serde(with = "crate::base64_bytes")] Bytes),
    /// The full membership that is in effect from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content of the entry. A command is applied once it is committed; a membership is in effect as
    /// soon as the entry is in the log.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of the entry, including a fixed overhead.
    pub fn size_bytes(&self) -> usize {
        let payload_bytes = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(membership) => membership.size_bytes(),
        };
        ENTRY_OVERHEAD_BYTES + payload_bytes
    }
}

/// Term, vote and group of a member; they must be synced before the member acts on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardState {
    /// The group of the member; `None` until a new member receives its first message from a leader.
    pub group: Option<GroupId>,
    /// The current term.
    pub term: Term,
    /// The member that received this member's vote in the current term.
    pub voted_for: Option<MemberId>,
}

/// Metadata of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot covers.
    pub index: Index,
    /// Term of the entry at `index`.
    pub term: Term,
    /// Membership in effect at `index`.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Index, term and membership up to which the snapshot covers the log.
    pub meta: SnapshotMeta,
    /// The encoded state; this crate does not interpret it.
    pub data: Bytes,
}

/// One record of the durable log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The new hard state; it replaces all earlier ones.
    HardState(HardState),
    /// A received snapshot replaces the log: all entries recorded earlier are discarded.
    Reset {
        /// Index of the last entry that the snapshot covers.
        index: Index,
    },
    /// A log entry; it replaces an entry with the same index and discards all later ones.
    Entry(Entry),
}

/// The persistent state of a member, as a store restores it when the member starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The latest hard state.
    pub hard_state: HardState,
    /// The latest snapshot; `None` if the member has saved none.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot, in ascending order.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The records with which each initial voter of a new group starts.
    ///
    /// All initial voters must use the same group and membership.
    pub fn bootstrap_records(group: GroupId, membership: Membership) -> Vec<Record> {
        let hard_state = HardState {
            group: Some(group),
            term: 1,
            voted_for: None,
        };
        let entry = Entry {
            index: 1,
            term: 1,
            payload: Payload::Membership(membership),
        };
        vec![Record::HardState(hard_state), Record::Entry(entry)]
    }

    /// Whether the member has never persisted anything.
    pub fn is_empty(&self) -> bool {
        *self == PersistentState::default()
    }

    /// Applies the next record, as a store does when it replays its log.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Reset { .. } => self.entries.clear(),
            Record::Entry(entry) => {
                self.truncate_after(entry.index - 1);
                self.entries.push(entry);
            }
        }
    }

    fn truncate_after(&mut self, index: Index) {
        while self.entries.last().is_some_and(|entry| entry.index > index) {
            self.entries.pop();
        }
    }

    /// Installs a snapshot and drops the entries that it covers. If the entry at the index of the
    /// snapshot has another term, the later entries are dropped too.
    ///
    /// A member whose disk takes no records may save a snapshot of a later term than its last hard
    /// state. It has not voted since, since a vote is sent only once it is synced.
    pub fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let matches = self
            .entries
            .iter()
            .all(|entry| entry.index != index || entry.term == snapshot.meta.term);
        self.entries.retain(|entry| entry.index > index && matches);
        if self.hard_state.term < snapshot.meta.term {
            self.hard_state.term = snapshot.meta.term;
            self.hard_state.voted_for = None;
        }
        self.snapshot = Some(snapshot);
    }
}
