//! Replication progress of a member, as tracked by the leader.

use std::collections::VecDeque;

use sapphirepost_types::Millis;

use crate::entry::Index;
use crate::entry::Snapshot;

/// How the leader replicates to a member.
#[derive(Clone, Debug)]
pub(crate) enum ReplicationMode {
    /// The last matching index is unknown: one append message is sent at a time to find it.
    Probe {
        /// Whether an append message is unanswered.
        awaiting: bool,
    },
    /// Append messages are pipelined, without waiting for replies.
    Replicate,
    /// The member needs entries that are compacted: a snapshot is sent, one chunk at a time.
    Snapshot {
        /// The snapshot; a newer one does not replace it before the transfer completes.
        snapshot: Snapshot,
        /// Number of bytes that the member has received.
        offset: u64,
        /// Whether a chunk is unanswered.
        awaiting: bool,
    },
}

/// The unacknowledged append messages to a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Inflight {
    /// The index of the last entry of each message, and the size of all its entries.
    messages: VecDeque<(Index, usize)>,
    size_bytes: usize,
}

impl Inflight {
    pub(crate) fn messages(&self) -> usize {
        self.messages.len()
    }

    /// The size of the entries in all messages.
    pub(crate) fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    pub(crate) fn push(&mut self, last: Index, size_bytes: usize) {
        self.messages.push_back((last, size_bytes));
        self.size_bytes += size_bytes;
    }

    /// Drops the messages with entries up to `matched` only.
    fn acknowledge(&mut self, matched: Index) {
        while let Some((_, size_bytes)) = self.messages.pop_front_if(|(last, _)| *last <= matched) {
            self.size_bytes -= size_bytes;
        }
    }

    pub(crate) fn clear(&mut self) {
        *self = Inflight::default();
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last index that the member has synced and that matches the leader's log.
    pub(crate) matched: Index,
    /// Index of the next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: ReplicationMode,
    pub(crate) inflight: Inflight,
    /// Time of the member's last reply in this term; initially the time at which tracking starts.
    pub(crate) last_contact: Millis,
    /// The last read round that the member confirmed.
    pub(crate) round: u64,
}

impl Progress {
    pub(crate) fn new(next: Index, now: Millis) -> Progress {
        Progress {
            matched: 0,
            next,
            mode: ReplicationMode::Probe { awaiting: false },
            inflight: Inflight::default(),
            last_contact: now,
            round: 0,
        }
    }

    pub(crate) fn probe_from(&mut self, next: Index) {
        self.next = next.max(self.matched + 1);
        self.mode = ReplicationMode::Probe { awaiting: false };
        self.inflight.clear();
    }

    pub(crate) fn record_accepted(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        self.inflight.acknowledge(self.matched);
        let has_caught_up = match &self.mode {
            ReplicationMode::Probe { .. } => true,
            ReplicationMode::Replicate => false,
            ReplicationMode::Snapshot { snapshot, .. } => self.matched >= snapshot.meta.index,
        };
        if has_caught_up {
            self.next = self.matched + 1;
            self.mode = ReplicationMode::Replicate;
        }
    }

    /// Handles a rejected append message: the leader probes from an earlier index. Returns false for
    /// an outdated rejection, which is ignored.
    pub(crate) fn record_rejected(&mut self, prev_index: Index, hint: Index) -> bool {
        let is_stale = match self.mode {
            ReplicationMode::Probe { .. } => prev_index + 1 != self.next,
            ReplicationMode::Replicate => prev_index <= self.matched,
            ReplicationMode::Snapshot { .. } => true,
        };
        if is_stale {
            return false;
        }
        self.probe_from(hint.min(prev_index.saturating_sub(1)) + 1);
        true
    }
}
