//! Reservations for single tasks of tenants within their share.
//!
//! Small tasks of a tenant over its share take each piece of room as soon as it appears, so a
//! larger task of another tenant would never find enough at once. The first steps that lack room
//! although their tenant is within its share therefore get a reservation, like gangs, on the
//! workers that are expected to have room earliest, for as many tasks as bring the tenant to its
//! share. Reservations keep room from steps of tenants over their share only until the next round
//! with gangs, in which the other steps are tried first. The limits on a turn and on the time for
//! which room may be withheld are those of gangs.

use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::reservations::Reservations;
use crate::scheduler::reservations::slot_times;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;

/// The number of waiting steps that a round tries for such a reservation. Each goes through all
/// workers that the policy allows.
pub(super) const SHARE_RESERVATIONS_MAX: usize = 4;

impl Scheduler {
    /// Whether a step of single tasks of a tenant has been tried in vain.
    pub(super) fn lacks_room(&self, key: StepKey) -> bool {
        self.steps.get(&key).is_some_and(|view| {
            let waits = view.is_ready && view.is_committed && !view.waiting.is_empty();
            let is_tried = view.tried.is_some() && view.left_out_at.is_none();
            waits && is_tried && view.tenant.is_some() && !view.spec().is_gang && !view.is_at_quota
        })
    }

    /// Reserves room for the first of these steps in each service.
    pub(super) fn reserve_for_shares(
        &mut self,
        waiting: &[StepKey],
        reservations: &mut Reservations,
        now: Millis,
    ) {
        let mut services = SmallVec::<[_; SHARE_RESERVATIONS_MAX]>::new();
        for key in waiting {
            let Some(mut view) = self.steps.remove(key) else {
                continue;
            };
            let service = view.queue.service.clone();
            if !services.contains(&service) && self.reserve_tasks(&mut view, reservations, now) {
                services.push(service);
            }
            self.steps.insert(*key, view);
        }
    }

    /// Reserves room for tasks of a step that lacks it. Returns whether it did.
    fn reserve_tasks(
        &self,
        view: &mut StepView,
        reservations: &mut Reservations,
        now: Millis,
    ) -> bool {
        let tasks = view.waiting.len().min(self.start_limit(view) as usize);
        let mut slots = self.task_slots(view, tasks, reservations, now);
        slots.sort_unstable();
        slots.truncate(tasks);
        let Some((first, _)) = slots.first().copied() else {
            return false;
        };
        // With room now, something else keeps it from starting.
        if first <= now || !view.reservation_turn.take(first, now) {
            return false;
        }
        let resources = view.spec().resources;
        for (at, index) in slots {
            reservations.add(index, view.key, at, resources);
        }
        true
    }

    /// When workers are expected to have room for up to `tasks` tasks of a step.
    fn task_slots(
        &self,
        view: &StepView,
        tasks: usize,
        reservations: &Reservations,
        now: Millis,
    ) -> Vec<(Millis, WorkerIndex)> {
        let mut slots = Vec::new();
        let per_worker_max = view.spec().per_worker_max.unwrap_or(u32::MAX) as usize;
        for (index, worker) in self.possible_workers(view) {
            self.count_visits(VisitKind::Reservation, 1);
            let permission = self.permission(view, index, now);
            let is_allowed = matches!(permission, Permission::Granted | Permission::Expired);
            let is_usable = worker.accepts_tasks(now) && view.can_run_on(worker);
            if !is_allowed || !is_usable || !self.may_use(view, index) {
                continue;
            }
            let running = worker.runs_by_step.get(&view.key).copied().unwrap_or(0);
            let tasks = tasks.min(per_worker_max.saturating_sub(running as usize));
            let reserved = reservations.total_reserved(index, view.key);
            let times = slot_times(worker, view.spec().resources, reserved, tasks, now);
            slots.extend(times.into_iter().map(|at| (at, index)));
        }
        slots
    }
}
