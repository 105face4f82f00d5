//! Batch work: least slack first.
//!
//! The slack of a waiting job shrinks with the clock equally for all, so ordering by the latest
//! start orders by slack. A job without a deadline, and one that cannot meet its deadline any
//! more, is ordered by a stretch of its own run time, so that short jobs do not wait behind long
//! ones and a lost deadline does not cost others theirs.

use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;

use crate::estimate::Estimate;
use crate::placer::Placer;
use crate::policy::Brief;
use crate::search::Found;

/// The acceptable wait of a job without a deadline, in multiples of its run time.
const STRETCH: u64 = 3;

/// The latest start by which a job is ordered.
pub(crate) fn latest_start(
    submitted: Millis,
    deadline: Option<Millis>,
    now: Millis,
    estimate: &Estimate,
) -> Millis {
    let stretched = submitted + estimate.cautious_ms.saturating_mul(STRETCH);
    match deadline {
        Some(deadline) if now + estimate.median_ms <= deadline => deadline - estimate.cautious_ms,
        _ => stretched,
    }
}

impl Placer {
    /// Finds a worker for a task of a batch job.
    pub(crate) fn find_batch(&mut self, job: &Brief, task: TaskId) -> Found {
        self.find_away(job, task, Placer::find)
    }
}
