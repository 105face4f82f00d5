//! How long free room is withheld from a waiting step in favour of other jobs.
//!
//! Room that is reserved for a gang, or on a worker that an isolated task has for itself, is withheld
//! until a run ends. That may be in an hour, or never: an estimate may be missing or too short, and
//! some tasks last until their job is cancelled. A step therefore leaves free room to other jobs for
//! a limited time in all. Then it takes what is free, until it has started a task. While half of the
//! service is free, more room stays idle than is gained by it, and the time is shorter. A new leader
//! begins to count again.

use sapphirepost_types::Millis;

use crate::scheduler::Scheduler;
use crate::scheduler::placement_counts::AttemptBegin;
use crate::scheduler::placement_counts::AttemptResult;
use crate::scheduler::steps::StepView;

/// How long free room may be withheld from a step in favour of other jobs.
const WITHHELD_MAX_MS: u64 = 5_000;
/// The same while half of the capacity of the service is free.
const WITHHELD_MAX_IF_HALF_FREE_MS: u64 = 2_000;

/// The time for which free room was withheld from a step since it last started a task.
#[derive(Clone, Copy, Debug, Default)]
pub struct WithheldTime {
    total_ms: u64,
    /// When an attempt last found that room is withheld; `None` if the last attempt did not.
    last: Option<Millis>,
}

impl WithheldTime {
    /// Records whether an attempt without a start found that room is withheld.
    pub fn record(&mut self, is_withheld: bool, now: Millis) {
        if !is_withheld {
            self.last = None;
            return;
        }
        let last = self.last.replace(now).unwrap_or(now);
        self.total_ms += now.since(last);
    }
}

impl Scheduler {
    /// Whether room has been withheld from a step for so long that it leaves no more to other jobs.
    pub(crate) fn takes_withheld_room(&self, view: &StepView) -> bool {
        let is_half_free = || {
            let capacity = &self.rounds.capacity;
            capacity.is_service_half_free(&view.queue.service)
        };
        let withheld_ms = view.withheld_time.total_ms;
        withheld_ms >= WITHHELD_MAX_MS
            || (withheld_ms >= WITHHELD_MAX_IF_HALF_FREE_MS && is_half_free())
    }

    /// Records what an attempt of a step that is no gang has found.
    pub(crate) fn record_withheld_time(
        &self,
        view: &mut StepView,
        result: AttemptResult,
        begin: AttemptBegin,
        now: Millis,
    ) {
        if matches!(result, AttemptResult::Placed | AttemptResult::LocalityWait) {
            return;
        }
        let lacks_workers = matches!(result, AttemptResult::NoPermit | AttemptResult::NoRoom);
        let is_withheld = self.withheld_for_others_since(begin) > 0
            || (lacks_workers && self.is_request_withheld(view, now));
        view.withheld_time.record(is_withheld, now);
    }
}
