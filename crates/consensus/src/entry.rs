//! Log entries and the records that a member persists.

use std::fmt;

use bytes::Bytes;
use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

use crate::membership::Membership;

/// Position in the log; the first entry has index 1.
pub type Index = u64;

/// Number of an election; at most one leader per term.
pub type Term = u64;

/// Bytes that an entry takes up besides its payload, for the batch limits.
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

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// Appended by a new leader, since it commits only entries of its own term.
    Noop,
    /// A command of the state machine.
    Command(#[serde(with = "crate::base64_bytes")] Bytes),
    /// The whole membership from this entry on.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

impl Entry {
    /// The approximate size in bytes.
    pub fn size_bytes(&self) -> usize {
        let payload_bytes = match &self.payload {
            Payload::Noop => 0,
            Payload::Command(bytes) => bytes.len(),
            Payload::Membership(membership) => membership.size_bytes(),
        };
        ENTRY_OVERHEAD_BYTES + payload_bytes
    }
}

/// State that must be synced before a member acts on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HardState {
    /// The group; `None` until a new member has heard from a leader.
    pub group: Option<GroupId>,
    /// The current term.
    pub term: Term,
    /// Who got this member's vote in the current term.
    pub voted_for: Option<MemberId>,
}

/// Describes a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot contains.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The membership at that entry.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// What it contains.
    pub meta: SnapshotMeta,
    /// The state.
    pub data: Bytes,
}

/// One record of the durable log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Replaces the earlier hard state.
    HardState(HardState),
    /// A received snapshot replaces the log; all earlier entries are discarded.
    Reset {
        /// The last index of the snapshot.
        index: Index,
    },
    /// An entry; it discards the entry with the same index and all later ones.
    Entry(Entry),
}

/// What a member finds in its data directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The last hard state.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The records with which each first voter of a new group starts.
    ///
    /// All first voters must use the same group and membership.
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

    /// Whether nothing was ever persisted.
    pub fn is_empty(&self) -> bool {
        *self == PersistentState::default()
    }

    /// Applies one record, as a store does when it reads its log.
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

    /// Installs a snapshot and drops the entries that it contains.
    pub fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let matches = self
            .entries
            .iter()
            .all(|entry| entry.index != index || entry.term == snapshot.meta.term);
        self.entries.retain(|entry| entry.index > index && matches);
        self.snapshot = Some(snapshot);
    }
}
