//! Which steps a round tries.
//!
//! An attempt of a step costs the more, the more workers the policy allows for it. A round therefore tries
//! a step only if something may have changed for it: its time has come, or freed workers are of use
//! to it.

use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::retries::Retry;
use crate::scheduler::rounds::RESERVATIONS_MAX;
use crate::scheduler::rounds::Round;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// The number of freed workers that are compared with a waiting step. After a slow round nearly all
/// workers are freed ones, and a step that can use none of the first is tried soon.
const FREED_PER_STEP_MAX: usize = 16;
/// The number of blocked gangs that a round tries for a reservation although nothing has changed
/// for them.
const RESERVATION_ATTEMPTS_MAX: usize = 4;

/// Whether a round tries a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptDue {
    Now,
    /// Too many workers were freed to compare the step with all of them.
    Soon,
    Later,
}

impl Scheduler {
    /// Whether a round tries a step.
    pub(super) fn attempt_due(&self, view: &StepView, round: &Round, now: Millis) -> AttemptDue {
        let is_gang = view.is_ready && view.spec().is_gang;
        if is_gang && !round.has_gangs && !view.is_urgent() {
            return AttemptDue::Later;
        }
        let Some(tried) = view.tried else {
            return AttemptDue::Now;
        };
        let is_due = match view.retry {
            Retry::Soon => now.since(tried) >= self.rounds.retry_ms(),
            Retry::At(at) => now >= at,
        };
        if is_due || view.left_out_at.is_some() {
            return AttemptDue::Now;
        }
        if !is_gang && !view.is_ready {
            return AttemptDue::Later;
        }
        if !is_gang {
            return self.has_use_for(view, &round.freed.for_tasks);
        }
        // A reservation lasts until the next placement of gangs only.
        let may_reserve = round.has_gangs
            && round.reserved < RESERVATIONS_MAX
            && !self.yields_to_shares(view)
            && (round.reservation_attempts < RESERVATION_ATTEMPTS_MAX
                || round.owners.contains(&view.key));
        let freed = if round.has_gangs {
            &round.freed.for_gangs
        } else {
            &round.freed.for_tasks
        };
        if may_reserve {
            return AttemptDue::Now;
        }
        let due = match view.shortfall {
            Some(shortfall) if shortfall.may_be_met() => AttemptDue::Now,
            Some(_) => AttemptDue::Later,
            None => self.has_use_for(view, freed),
        };
        match due {
            AttemptDue::Now if !self.may_fit_gang(view) => AttemptDue::Later,
            due => due,
        }
    }

    /// Adds the room on freed workers to what has appeared for a gang that lacked room.
    pub(super) fn note_room_for_gang(&mut self, key: StepKey, round: &Round) {
        let Some(view) = self.steps.get(&key) else {
            return;
        };
        let is_compared = view.is_ready && (round.has_gangs || view.is_urgent());
        let Some(mut shortfall) = view.shortfall.filter(|_| is_compared) else {
            return;
        };
        let freed = match round.has_gangs {
            true => &round.freed.for_gangs,
            false => &round.freed.for_tasks,
        };
        shortfall.add_room(self.room_on_freed(view, freed));
        if let Some(view) = self.steps.get_mut(&key) {
            view.shortfall = Some(shortfall);
        }
    }

    /// Whether a task of a step fits on one of these workers, and the policy allows the worker or
    /// may be asked about it.
    fn has_use_for(&self, view: &StepView, workers: &[(u64, WorkerIndex)]) -> AttemptDue {
        let need = view.spec().resources;
        let may_use_any = view.queue.permits.is_none() || view.permits.may_use_any();
        if !may_use_any || !need.fits_in(&self.rounds.max_free) {
            return AttemptDue::Later;
        }
        let with_room = workers.partition_point(|(millicores, _)| *millicores >= need.millicores);
        let mut compared = workers[..with_room].iter().take(FREED_PER_STEP_MAX);
        let has_use = compared.any(|(_, index)| {
            self.count_visits(VisitKind::Freed, 1);
            let worker = self.workers.get(*index);
            worker.is_some_and(|worker| {
                need.fits_in(&worker.free()) && self.has_use_for_worker(view, *index, worker)
            })
        });
        match has_use {
            true => AttemptDue::Now,
            false if with_room > FREED_PER_STEP_MAX => AttemptDue::Soon,
            false => AttemptDue::Later,
        }
    }

    /// Whether a step may use a worker, if that has room, and the policy allows the worker or may be
    /// asked about it.
    pub(super) fn has_use_for_worker(
        &self,
        view: &StepView,
        index: WorkerIndex,
        worker: &WorkerView,
    ) -> bool {
        view.can_run_on(worker)
            && view.can_use_room_on(worker)
            && self.may_use(view, index)
            && (view.queue.permits.is_none() || view.permits.may_use_or_ask(index))
    }

    /// Whether a gang could have room for all members if the policy allowed it on all workers. A
    /// gang for which it could not is not tried each time when a worker gets free resources.
    pub(super) fn may_fit_gang(&self, view: &StepView) -> bool {
        let spec = view.spec();
        let per_worker_max = u64::from(spec.per_worker_max.unwrap_or(u32::MAX));
        let each = spec.resources.millicores.max(1);
        let mut members = 0;
        for (millicores, _) in self.rounds.capacity.by_free() {
            members += (millicores / each).min(per_worker_max);
            if *millicores < each || members >= u64::from(spec.count) {
                break;
            }
            self.count_visits(VisitKind::Freed, 1);
        }
        members >= u64::from(spec.count)
    }
}
