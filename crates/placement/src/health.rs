//! The record of task failures and the health state of one worker.
//!
//! A task that fails on several distinct workers is faulty; a worker on which several distinct
//! tasks fail is faulty. Failures of a job that fails on several workers and succeeds on none do
//! not count against them.

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use smallvec::SmallVec;

use crate::decision::Health;

/// The number of failures that are kept for each worker.
const MAX_FAILURES: usize = 16;

/// How long a failure counts.
const FAILURE_VALID_MS: u64 = 600_000;

/// The failure of a task on a worker.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Millis,
    task: TaskId,
    job: JobId,
}

/// The health state of one worker and the failures that it is based on.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthRecord {
    pub(crate) state: Health,
    /// Recent failures of distinct tasks, the oldest first.
    failures: SmallVec<[Failure; 4]>,
    /// The number of quarantines since the worker was last healthy.
    pub(crate) quarantine_count: u32,
    /// The end of the quarantine; meaningful only in the state `Quarantined`.
    pub(crate) quarantined_until: Millis,
    /// The number of successes in the current probation.
    pub(crate) trial_successes: u32,
}

impl HealthRecord {
    /// Adds a failure, which replaces an earlier one of the same task, and drops outdated ones.
    pub(crate) fn add_failure(&mut self, at: Millis, task: TaskId, job: JobId) {
        self.failures
            .retain(|failure| failure.task != task && at.since(failure.at) < FAILURE_VALID_MS);
        if self.failures.len() == MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(Failure { at, task, job });
    }

    /// Removes the oldest failure. A success cancels out one failure, so that a worker is judged by
    /// its failure rate and not by the number of failures alone.
    pub(crate) fn add_success(&mut self) {
        if !self.failures.is_empty() {
            self.failures.remove(0);
        }
    }

    /// Removes the failures of a job that turned out to be faulty itself.
    pub(crate) fn discard_failures_of(&mut self, job: JobId) {
        self.failures.retain(|failure| failure.job != job);
    }

    /// Returns the numbers of distinct tasks and of distinct jobs among the failures.
    pub(crate) fn distinct(&self) -> (usize, usize) {
        let mut jobs: SmallVec<[JobId; MAX_FAILURES]> =
            self.failures.iter().map(|failure| failure.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        (self.failures.len(), jobs.len())
    }

    pub(crate) fn clear_failures(&mut self) {
        self.failures.clear();
    }
}
