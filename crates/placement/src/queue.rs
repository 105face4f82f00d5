//! The order in which waiting jobs are looked at.
//!
//! One ordered set holds all jobs with waiting tasks. Each call of `decide` starts at the head;
//! what its budget does not reach is continued from a cursor, so that jobs at the head that
//! cannot be placed never stop those behind them.

use std::collections::BTreeSet;
use std::ops::Bound;

use sapphirepost_types::JobId;

/// Classes in the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum QueueClass {
    /// Urgent jobs of any kind.
    Urgent,
    Service,
    /// Batch jobs that can still meet their deadline.
    BatchWithDeadline,
    Gang,
    /// All other batch jobs.
    BestEffortBatch,
}

/// The position of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct QueueKey {
    pub(crate) class: QueueClass,
    /// The submission time, or for a batch the latest start.
    pub(crate) order: u64,
    pub(crate) job: JobId,
}

/// Waiting jobs in their order. Entries of cancelled jobs stay until they are met.
#[derive(Default)]
pub(crate) struct Queue {
    keys: BTreeSet<QueueKey>,
    /// The last key that the rotating part has looked at.
    cursor: Option<QueueKey>,
}

impl Queue {
    pub(crate) fn insert(&mut self, key: QueueKey) {
        self.keys.insert(key);
    }

    pub(crate) fn remove(&mut self, key: &QueueKey) {
        self.keys.remove(key);
    }

    /// The first `count` keys of a class.
    pub(crate) fn class(&self, class: QueueClass, count: usize) -> impl Iterator<Item = &QueueKey> {
        let first = QueueKey {
            class,
            order: 0,
            job: JobId(0),
        };
        let keys = self.keys.range(first..);
        keys.take_while(move |key| key.class == class).take(count)
    }

    /// Up to `count` keys after `after`, or from the head.
    pub(crate) fn page(&self, after: Option<QueueKey>, count: usize, page: &mut Vec<QueueKey>) {
        page.clear();
        let from = match after {
            Some(key) => Bound::Excluded(key),
            None => Bound::Unbounded,
        };
        page.extend(self.keys.range((from, Bound::Unbounded)).take(count));
    }

    pub(crate) fn cursor(&self) -> Option<QueueKey> {
        self.cursor
    }

    pub(crate) fn set_cursor(&mut self, cursor: Option<QueueKey>) {
        self.cursor = cursor;
    }
}
