//! Batch work: least slack first.
//!
//! The slack of a waiting job shrinks with the clock equally for all, so ordering by the latest
//! start orders by slack. A job without a deadline, and one that cannot meet its deadline any
//! more, comes after those that can, so that a lost deadline does not cost others theirs. Among
//! them the order is by a stretch of the own run time, so that short jobs do not wait behind
//! long ones. Reservations keep these jobs, and gangs, from waiting for ever behind deadlines.

use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;

use crate::estimate::Estimate;
use crate::placer::Placer;
use crate::policy::JobSnapshot;
use crate::queue::QueueClass;
use crate::search::SearchResult;

/// The acceptable wait of a job without a deadline, in multiples of its run time.
const STRETCH: u64 = 3;

/// The class and the latest start by which a job is ordered.
pub(crate) fn position(
    submitted: Millis,
    deadline: Option<Millis>,
    now: Millis,
    estimate: &Estimate,
) -> (QueueClass, Millis) {
    match deadline {
        Some(deadline) if now + estimate.optimistic_ms <= deadline => (
            QueueClass::BatchWithDeadline,
            deadline - estimate.cautious_ms,
        ),
        _ => {
            let stretch_ms = estimate.cautious_ms.saturating_mul(STRETCH);
            (QueueClass::BestEffortBatch, submitted + stretch_ms)
        }
    }
}

impl Placer {
    /// Finds a worker for a task of a batch job.
    pub(crate) fn find_batch(&mut self, job: &JobSnapshot, task: TaskId) -> SearchResult {
        self.find_avoiding_failed(job, task, Placer::find)
    }
}
