//! When a step that could not be placed is tried again.
//!
//! A step that lacks room or permits is tried again when one of them appears: a worker that it may
//! use has more free resources, a permit request is answered, or tasks of it wait again. What
//! withholds free workers from a step changes with time alone, so such a step is tried again soon.
//! All others are tried again at a long interval too, in case a change was missed.

use sapphirepost_types::Millis;

use crate::scheduler::Scheduler;
use crate::scheduler::placement_counts::AttemptBegin;
use crate::scheduler::placement_counts::AttemptResult;
use crate::scheduler::steps::StepView;

/// A step is tried again after this time in any case.
const RETRY_WITHOUT_CHANGE_MS: u64 = 500;

/// When a step is tried again although nothing is known to have changed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// After a short interval.
    Soon,
    /// At this time.
    At(Millis),
}

impl Scheduler {
    /// When a step is tried again after an attempt with this result. `due` is the earliest time at which
    /// permits of a gang are to be renewed or tasks may be preempted for it.
    pub(crate) fn retry_after(
        &self,
        view: &StepView,
        result: AttemptResult,
        begin: AttemptBegin,
        due: Option<Millis>,
        now: Millis,
    ) -> Retry {
        if let Some(review) = view.locality_review(self.rounds.retry_ms(), now) {
            return review;
        }
        // A gang that lacks room also with what is withheld from it waits for room like others.
        let is_withheld = self.has_withheld_since(begin) && view.shortfall.is_none();
        let waits_for_change = match result {
            AttemptResult::NoRoom | AttemptResult::NoPermit => !is_withheld,
            AttemptResult::FormerRun => true,
            // Its first permits are requested shortly before it becomes ready.
            AttemptResult::NotReady => {
                view.queue.permits.is_none() || !view.permits.is_unrequested()
            }
            AttemptResult::Withheld => view.shortfall.is_some(),
            AttemptResult::Placed | AttemptResult::ExpiredPermit | AttemptResult::LocalityWait => {
                false
            }
        };
        // The workers of a quarantined queue change at each check of its set, and a request that
        // is needed during a pause is made by a later attempt.
        if !waits_for_change || self.quarantined_queues() > 0 || view.permits.is_paused(now) {
            return Retry::Soon;
        }
        let latest = now + RETRY_WITHOUT_CHANGE_MS;
        let earliest = now + self.rounds.retry_ms();
        Retry::At(due.map_or(latest, |due| latest.min(due).max(earliest)))
    }

    /// Tries all steps in the next round, since workers that were closed to them may be open.
    pub(crate) fn retry_all(&mut self) {
        for view in self.steps.values_mut() {
            view.tried = None;
            view.shortfall = None;
        }
        self.rounds.is_due = true;
    }
}
