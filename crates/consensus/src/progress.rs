//! What the leader knows of another member.

use std::collections::VecDeque;

use sapphirepost_types::Millis;

use crate::entry::Index;
use crate::entry::Snapshot;

/// How the leader sends to a member.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// The matching index is unknown: one message at a time.
    Probe {
        /// Whether a message is under way.
        awaiting: bool,
    },
    /// Messages are sent without waiting for answers.
    Replicate,
    /// The member needs entries that are compacted: one chunk at a time.
    Snapshot {
        /// The snapshot, kept until it is sent even if a newer one exists.
        snapshot: Snapshot,
        /// What the member has of it.
        offset: u64,
        /// Whether a chunk is under way.
        awaiting: bool,
    },
}

#[derive(Clone, Debug)]
pub(crate) struct Progress {
    /// The last index that the member has synced and that matches the leader's log.
    pub(crate) matched: Index,
    /// The next index to send.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// The last index of each append message under way.
    pub(crate) inflight: VecDeque<Index>,
    /// When the member last answered in this term.
    pub(crate) last_heard: Millis,
    /// The last read round that the member confirmed.
    pub(crate) round: u64,
}

impl Progress {
    pub(crate) fn new(next: Index, now: Millis) -> Progress {
        Progress {
            matched: 0,
            next,
            mode: Mode::Probe { awaiting: false },
            inflight: VecDeque::new(),
            last_heard: now,
            round: 0,
        }
    }

    pub(crate) fn probe_from(&mut self, next: Index) {
        self.next = next.max(self.matched + 1);
        self.mode = Mode::Probe { awaiting: false };
        self.inflight.clear();
    }

    pub(crate) fn accepted(&mut self, matched: Index) {
        self.matched = self.matched.max(matched);
        self.next = self.next.max(self.matched + 1);
        while self
            .inflight
            .front()
            .is_some_and(|&last| last <= self.matched)
        {
            self.inflight.pop_front();
        }
        let is_done = match &self.mode {
            Mode::Probe { .. } => true,
            Mode::Replicate => false,
            Mode::Snapshot { snapshot, .. } => self.matched >= snapshot.meta.index,
        };
        if is_done {
            self.next = self.matched + 1;
            self.mode = Mode::Replicate;
        }
    }

    /// Handles a rejection; returns whether it was news.
    pub(crate) fn rejected(&mut self, prev_index: Index, hint: Index) -> bool {
        let is_stale = match self.mode {
            Mode::Probe { .. } => prev_index + 1 != self.next,
            Mode::Replicate => prev_index <= self.matched,
            Mode::Snapshot { .. } => true,
        };
        if is_stale {
            return false;
        }
        self.probe_from(hint.min(prev_index.saturating_sub(1)) + 1);
        true
    }
}
