//! The queue of jobs with waiting tasks.
//!
//! One ordered set holds all jobs with waiting tasks. Each scheduling pass starts at the head. If
//! its budget does not suffice for the whole queue, the next passes spend a part of their budget
//! on the jobs behind a cursor, so that jobs at the head that cannot be placed do not block those
//! behind them.

use std::collections::BTreeSet;
use std::ops::Bound;

use sapphirepost_types::JobId;

/// The classes of jobs, in the order in which they are considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum QueueClass {
    /// Urgent jobs of any kind.
    Urgent,
    Service,
    /// Batch jobs that can meet their deadline by the optimistic estimate.
    BatchWithDeadline,
    Gang,
    /// Batch jobs without a deadline or with one that they cannot meet.
    BestEffortBatch,
}

/// The sort key of a job in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct QueueKey {
    pub(crate) class: QueueClass,
    /// The submission time or, for a batch job that is not urgent, the latest start, in
    /// milliseconds.
    pub(crate) order: u64,
    pub(crate) job: JobId,
}

/// The ordered set of waiting jobs. Entries of cancelled jobs stay until a pass removes them.
#[derive(Default)]
pub(crate) struct Queue {
    keys: BTreeSet<QueueKey>,
    /// The last key that a pass visited, if no pass has reached the end of the queue since.
    cursor: Option<QueueKey>,
}

impl Queue {
    pub(crate) fn insert(&mut self, key: QueueKey) {
        self.keys.insert(key);
    }

    pub(crate) fn remove(&mut self, key: &QueueKey) {
        self.keys.remove(key);
    }

    /// Returns the first `count` keys of a class.
    pub(crate) fn class(&self, class: QueueClass, count: usize) -> impl Iterator<Item = &QueueKey> {
        let first = QueueKey {
            class,
            order: 0,
            job: JobId(0),
        };
        let keys = self.keys.range(first..);
        keys.take_while(move |key| key.class == class).take(count)
    }

    /// Fills `page` with up to `count` keys that follow `after`, or from the head of the queue.
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
