//! Faulty workers and faulty tasks.
//!
//! A task that fails on several distinct workers is faulty; a worker on which several distinct
//! tasks fail is faulty. Failures of a job that fails everywhere do not count against workers.

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use smallvec::SmallVec;

use crate::decision::Health;

/// Failures that are remembered for each worker.
const MAX_FAILURES: usize = 16;

/// How long a failure counts.
const FAILURE_VALID_MS: u64 = 600_000;

/// One failure on a worker.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at: Millis,
    task: TaskId,
    job: JobId,
}

/// What is known of a worker's standing.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthRecord {
    pub(crate) state: Health,
    /// Recent failures of distinct tasks, the oldest first.
    failures: SmallVec<[Failure; 4]>,
    /// How often it was quarantined without a recovery.
    pub(crate) quarantine_count: u32,
    /// The end of the quarantine.
    pub(crate) until: Millis,
    /// Successes on probation.
    pub(crate) trial_successes: u32,
}

impl HealthRecord {
    pub(crate) fn add_failure(&mut self, at: Millis, task: TaskId, job: JobId) {
        self.failures
            .retain(|failure| failure.task != task && at.since(failure.at) < FAILURE_VALID_MS);
        if self.failures.len() == MAX_FAILURES {
            self.failures.remove(0);
        }
        self.failures.push(Failure { at, task, job });
    }

    /// A success outweighs one failure, so that a worker is judged by the share of failures.
    pub(crate) fn add_success(&mut self) {
        if !self.failures.is_empty() {
            self.failures.remove(0);
        }
    }

    /// Withdraws the failures of a job that turned out to be faulty itself.
    pub(crate) fn discard_failures_of(&mut self, job: JobId) {
        self.failures.retain(|failure| failure.job != job);
    }

    /// Distinct tasks, and distinct jobs, that failed.
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
