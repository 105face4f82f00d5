//! Batch jobs: least slack first.
//!
//! The slack of all waiting jobs shrinks at the same rate, so ordering by the latest start is
//! ordering by slack. Jobs without a deadline, and jobs that cannot meet theirs any more, come
//! after those that can, so that a deadline that is lost anyway does not make other jobs miss
//! theirs. Among themselves they are ordered by submission time plus a multiple of their estimated
//! run time, so that short jobs do not wait behind long ones. Reservations keep these jobs, and
//! gangs, from starving behind jobs with deadlines.

use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;

use crate::estimate::Estimate;
use crate::placer::Placer;
use crate::policy::JobSnapshot;
use crate::queue::QueueClass;
use crate::search::SearchResult;

/// The wait that is acceptable for a batch job without a deadline, or with one that it cannot meet,
/// in multiples of its estimated run time.
const STRETCH: u64 = 3;

/// Returns the queue class of a batch job and the latest start by which it is ordered.
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
    /// Finds a worker for a task regardless of failure domains and racks.
    pub(crate) fn find_batch(&mut self, job: &JobSnapshot, task: TaskId) -> SearchResult {
        self.find_avoiding_failed(job, task, Placer::find)
    }
}
