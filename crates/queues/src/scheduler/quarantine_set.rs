//! The set of workers of a quarantined queue: which ones belong to it, and how many.
//!
//! Workers that are down keep their places for a while, so that a queue cannot crash the workers of
//! the service one after the other. Further workers join while the queue needs them or the other
//! queues do not, and when the set has run without crashes.

use sapphirepost_types::Millis;

use crate::scheduler::CHECK_INTERVAL_MS;
use crate::scheduler::Scheduler;
use crate::scheduler::place::count_fitting;
use crate::scheduler::quarantine::GROWTH_MS;
use crate::scheduler::quarantine::Place;
use crate::scheduler::quarantine::QuarantinedQueue;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;

/// All sets of a service together have at most its workers divided by this, or one worker each.
const ALL_SETS_DIVISOR: usize = 2;
/// Empty workers join a set while the others have this percentage of the capacity that the other
/// queues take.
const HEADROOM_PERCENT: u64 = 150;
/// Waiting work of the other queues counts this many times in that capacity, since the policy may
/// allow it on few workers only.
const WAITING_FACTOR: u64 = 3;
/// A set is dissolved after it has doubled this often.
pub(super) const GROWTHS_MAX: u32 = 2;
/// How long a worker that is down, gone or takes no tasks keeps its place in the set.
const CLOSED_MAX_MS: u64 = 10_000;
/// The number of waiting steps of a queue for which its set is checked at a time.
const CHECKED_STEPS_MAX: usize = 200;

impl Scheduler {
    /// Replaces removed workers of a set and brings the set to its size.
    pub(super) fn adjust_set(
        &self,
        quarantined: &mut QuarantinedQueue,
        taken: &[WorkerIndex],
        now: Millis,
    ) {
        let evidence = &self.quarantine.evidence;
        let last_event = evidence.last_event(&quarantined.service, &quarantined.queue);
        if let Some(at) = last_event.filter(|at| *at > quarantined.last_event) {
            quarantined.last_event = at;
            quarantined.quiet_ms = 0;
        }
        self.refill_places(quarantined, now);
        let is_open = |place: &Place| {
            let worker = self.workers.get(place.worker);
            worker.is_some_and(|worker| worker.accepts_tasks(now))
        };
        if quarantined.places.iter().any(is_open) {
            quarantined.quiet_ms += CHECK_INTERVAL_MS;
        }
        let growths = (quarantined.quiet_ms / GROWTH_MS).min(u64::from(GROWTHS_MAX)) as u32;
        quarantined.runs_single_jobs = growths == 0;
        let size = self.set_size(&quarantined.service, growths);
        let all = self.workers_of(&quarantined.service).count() / ALL_SETS_DIVISOR;
        let size_max = all.saturating_sub(taken.len()).max(1);
        let size = size.min(size_max);
        // Workers that are down come first, since they count as long as they are down.
        quarantined.places.sort_by_key(is_open);
        let free = self.free_workers(quarantined, taken, now);
        let needed = self.extend_set(quarantined, free, size, size_max, now);
        let size = needed.max(size);
        let size = size.max(self.add_idle_workers(quarantined, taken, size, size_max, now));
        quarantined.places.truncate(size);
    }

    /// Puts the next incarnation of a removed worker in its place, and frees places whose worker
    /// has taken no tasks for long.
    pub(super) fn refill_places(&self, quarantined: &mut QuarantinedQueue, now: Millis) {
        for place in &mut quarantined.places {
            let mut workers = self.workers_of(&quarantined.service);
            let next = workers.find(|(_, worker)| worker.record.address == place.address);
            if let Some((index, worker)) = next.filter(|(index, _)| *index != place.worker)
                && self.workers.get(place.worker).is_none()
            {
                *place = Place::of(index, worker);
            }
            let worker = self.workers.get(place.worker);
            if worker.is_some_and(|worker| worker.accepts_tasks(now)) {
                place.closed_since = None;
            } else {
                place.closed_since.get_or_insert(now);
            }
        }
        quarantined.places.retain(|place| {
            let closed_since = place.closed_since;
            closed_since.is_none_or(|since| now.since(since) < CLOSED_MAX_MS)
        });
    }

    /// Workers that accept tasks and are in no set, those with the least work first.
    pub(super) fn free_workers(
        &self,
        quarantined: &QuarantinedQueue,
        taken: &[WorkerIndex],
        now: Millis,
    ) -> Vec<WorkerIndex> {
        let is_in = |index| quarantined.places.iter().any(|place| place.worker == index);
        let free = self.workers_of(&quarantined.service);
        let free = free.filter(|(index, worker)| {
            !is_in(*index) && !taken.contains(index) && worker.accepts_tasks(now)
        });
        let mut free: Vec<(u64, WorkerIndex)> = free
            .map(|(index, worker)| (worker.used.millicores, index))
            .collect();
        free.sort_unstable();
        free.into_iter().map(|(_, index)| index).collect()
    }

    /// Adds workers up to `size`, and up to `size_max` so that each waiting step could run if the
    /// workers of the set were up and empty. Returns how many places the steps need.
    pub(super) fn extend_set(
        &self,
        quarantined: &mut QuarantinedQueue,
        mut free: Vec<WorkerIndex>,
        size: usize,
        size_max: usize,
        now: Millis,
    ) -> usize {
        let missing = size.saturating_sub(quarantined.places.len());
        let added = free.drain(..missing.min(free.len()));
        let places = &mut quarantined.places;
        places.extend(added.filter_map(|index| self.place(index)));
        let steps = self.steps.values().filter(|view| {
            view.queue_name == quarantined.queue && view.is_ready && !view.waiting.is_empty()
        });
        let steps = steps.take(CHECKED_STEPS_MAX);
        let needed = steps.map(|view| self.extend_for_step(view, places, &mut free, size_max, now));
        needed.max().unwrap_or(0)
    }

    /// Adds workers for one step. Returns how many places, from the first one on, it needs.
    pub(super) fn extend_for_step(
        &self,
        view: &StepView,
        places: &mut Vec<Place>,
        free: &mut Vec<WorkerIndex>,
        size_max: usize,
        now: Millis,
    ) -> usize {
        let spec = view.spec();
        let members = if spec.is_gang { spec.count } else { 1 };
        let mut fits: u32 = 0;
        for (position, place) in places.iter().enumerate() {
            fits = fits.saturating_add(self.members_that_fit(view, place.worker, now));
            if fits >= members {
                return position + 1;
            }
        }
        while places.len() < size_max {
            let fitting = |index: &WorkerIndex| self.members_that_fit(view, *index, now) > 0;
            let Some(position) = free.iter().position(fitting) else {
                return 0;
            };
            let index = free.remove(position);
            fits = fits.saturating_add(self.members_that_fit(view, index, now));
            places.extend(self.place(index));
            if fits >= members {
                return places.len();
            }
        }
        0
    }

    /// Adds empty workers that the other queues need neither for what runs nor for what waits.
    /// Returns how many places the set may have then.
    pub(super) fn add_idle_workers(
        &self,
        quarantined: &mut QuarantinedQueue,
        taken: &[WorkerIndex],
        size: usize,
        size_max: usize,
        now: Millis,
    ) -> usize {
        let (mut open, mut used, mut capacity) = (0, 0, 0);
        for (_, worker) in self.workers_of(&quarantined.service) {
            if worker.accepts_tasks(now) {
                open += 1;
                capacity += worker.record.capacity.millicores;
            }
            let runs = worker.runs.iter();
            let others = runs.filter(|(task, _)| {
                let view = self.steps.get(&task.step);
                view.is_none_or(|view| view.queue_name != quarantined.queue)
            });
            used += others.map(|(_, run)| run.resources.millicores).sum::<u64>();
        }
        let waiting = self.steps.values().filter(|view| {
            let is_other = view.queue_name != quarantined.queue;
            is_other && view.is_ready && *view.queue.service == *quarantined.service
        });
        let waiting: u64 = waiting
            .map(|view| view.waiting.len() as u64 * view.spec().resources.millicores)
            .sum();
        let per_worker = capacity / open.max(1);
        let for_others = (used + waiting * WAITING_FACTOR) * HEADROOM_PERCENT / 100;
        let for_others = for_others.div_ceil(per_worker.max(1));
        let spare = open.saturating_sub(for_others) as usize;
        let size_max = spare.min(size_max).max(size);
        let free = self.free_workers(quarantined, taken, now).into_iter();
        let is_empty = |index: &WorkerIndex| {
            let worker = self.workers.get(*index);
            worker.is_some_and(|worker| worker.runs.is_empty())
        };
        let missing = size_max.saturating_sub(quarantined.places.len());
        let added = free.filter(is_empty).take(missing);
        let places = &mut quarantined.places;
        places.extend(added.filter_map(|index| self.place(index)));
        size_max
    }

    pub(super) fn place(&self, index: WorkerIndex) -> Option<Place> {
        Some(Place::of(index, self.workers.get(index)?))
    }

    /// How many tasks of a step fit on a worker if it is empty; none if the policy denies it.
    pub(super) fn members_that_fit(&self, view: &StepView, index: WorkerIndex, now: Millis) -> u32 {
        let Some(worker) = self.workers.get(index) else {
            return 0;
        };
        let is_denied = self.permission(view, index, now) == Permission::Denied;
        if is_denied || !view.can_run_on(worker) {
            return 0;
        }
        let spec = view.spec();
        let limit = spec.per_worker_max.unwrap_or(u32::MAX);
        count_fitting(spec.resources, worker.record.capacity).min(limit)
    }
}
