//! Which workers a permit request names, and when it is made.
//!
//! The placement policy takes long for each worker that a request names. Requests therefore name
//! few workers; a request for further workers names those with the most free processor capacity.
//! Permits of a dependent step are requested before the step is ready. A gang needs valid permits on
//! all its workers at the moment when these have room, which does not last on nearly full workers,
//! so its permits are renewed while it waits.

use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::place::count_fitting;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::step_permits::PermitNeed;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// A request for further workers names at least this many, if as many are useful and the step's
/// limit has not been lowered by refused or failed requests.
const WORKERS_PER_REQUEST_MIN: usize = 30;
/// The number of workers that a request names for each waiting task.
const WORKERS_PER_TASK: usize = 4;
/// Permits of a dependent step are requested when the steps before it are expected to end within
/// this time.
const PREFETCH_MS: u64 = 1_200;
/// A gang requests permits on further workers until the allowed ones could hold it this many times
/// if they were empty.
const CHOICE_FACTOR: u64 = 3;
/// The permits of a waiting gang are renewed on the freest allowed workers that could hold it this
/// many times if they were empty.
const RENEWAL_FACTOR: u64 = 4;
/// A gang that still waits requests permits on further workers at this interval, since the allowed
/// ones may stay busy while others have room.
const FURTHER_INTERVAL_MS: u64 = 15_000;
/// For how long the workers of a needed request are kept before they are chosen anew.
const NEED_VALID_MS: u64 = 200;
/// The permits of a waiting gang are renewed when this share of them would expire before the answer.
const EXPIRED_PERCENT: usize = 50;

/// Which free resources of a worker count for a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// Those that are not reserved for other jobs.
    Available,
    /// All, as if nothing were reserved.
    Unreserved,
}

impl Scheduler {
    /// Requests the permits of a dependent step shortly before it becomes ready.
    pub(crate) fn prefetch_permits(&mut self, view: &mut StepView, now: Millis) {
        if view.queue.permits.is_none() || !view.permits.is_unrequested() {
            return;
        }
        let is_soon = view.spec().after.iter().all(|&after| {
            let key = StepKey {
                job: view.key.job,
                step: after,
            };
            self.ends_soon(key, now)
        });
        if is_soon {
            view.permits.set_need(PermitNeed::More, now);
        }
    }

    fn ends_soon(&self, key: StepKey, now: Millis) -> bool {
        let Some(view) = self.steps.get(&key) else {
            return true;
        };
        let ends_soon = |(task, (_, worker)): (&u32, &(u32, WorkerIndex))| {
            let run = self
                .workers
                .get(*worker)
                .and_then(|w| w.runs.get(&key.task(*task)));
            run.is_some_and(|run| run.ends_by(now + PREFETCH_MS, now))
        };
        let is_placed = view.waiting.is_empty() && view.proposed.is_empty();
        is_placed && view.placed.iter().all(ends_soon)
    }

    /// Requests the permits that the waiting tasks of a step lack.
    pub(crate) fn request_permits(
        &mut self,
        view: &mut StepView,
        candidates: &[Candidate],
        now: Millis,
    ) {
        if view.waiting.is_empty() || view.queue.permits.is_none() || view.permits.has_request() {
            return;
        }
        let with_permission = |permission: Permission| {
            candidates
                .iter()
                .filter(move |c| c.permission == permission)
        };
        let needed = view.waiting.len().min(self.quota_room(view) as usize);
        let expired: Vec<WorkerIndex> = with_permission(Permission::Expired)
            .map(|c| c.index)
            .collect();
        let expired_fits: u32 = with_permission(Permission::Expired).map(|c| c.fits).sum();
        if expired_fits as usize >= needed {
            let count = expired.len().min(needed * 2);
            let renewal = PermitNeed::Renewal {
                workers: expired[..count].to_vec(),
                members: Vec::new(),
            };
            return view.permits.set_need(renewal, now);
        }
        if view.spec().resources.fits_in(&self.rounds.max_free) {
            view.permits.set_need(PermitNeed::More, now);
        }
    }

    /// Like [`Scheduler::request_gang_permits`], unless it is known when they are to be renewed. That
    /// goes through all allowed workers, and a gang is tried much more often than its permits expire.
    pub(crate) fn request_due_gang_permits(
        &self,
        view: &mut StepView,
        now: Millis,
    ) -> Option<Millis> {
        let needed_since = view.permits.needed_since();
        if needed_since.is_some_and(|since| now.since(since) < NEED_VALID_MS) {
            return None;
        }
        let is_later = view.renewal_due.is_some_and(|due| now < due);
        if !is_later || self.rounds.is_half_free {
            view.renewal_due = self.request_gang_permits(view, now);
        }
        view.renewal_due
    }

    /// Requests permits for a gang that waits for room: on further workers if the allowed ones are
    /// few; otherwise fresh permits on the allowed ones before these expire. Returns when they are to
    /// be renewed, if that is later.
    pub(crate) fn request_gang_permits(&self, view: &mut StepView, now: Millis) -> Option<Millis> {
        let cost = view.queue.permits.filter(|_| !view.permits.has_request())?;
        let mut workers = self.allowed_workers(view, now);
        if self.needs_further_workers(view, &workers, now) {
            view.permits.set_need(PermitNeed::More, now);
            return None;
        }
        if let Some(renewed) = self.count_for_members(view, &workers, RENEWAL_FACTOR) {
            workers.truncate(renewed);
        }
        workers.truncate(view.permits.request_size_max());
        let answer_ms = cost.total_ms(workers.len());
        let expired = workers
            .iter()
            .filter(|index| self.permission(view, **index, now + answer_ms) == Permission::Expired);
        let expired = expired.count();
        if expired == 0 || expired * 100 < workers.len() * EXPIRED_PERCENT {
            let expires = |index: &WorkerIndex| view.permits.expires(*index, cost.valid_ms);
            let expires = workers.iter().map(|index| expires(index).unwrap_or(now));
            let mut expires: Vec<Millis> = expires.collect();
            expires.sort_unstable();
            let share = (workers.len() * EXPIRED_PERCENT).div_ceil(100);
            let last = expires.get(share.max(1) - 1)?;
            return Some(Millis(last.0.saturating_sub(answer_ms)));
        }
        let renewal = PermitNeed::Renewal {
            workers,
            members: Vec::new(),
        };
        view.permits.set_need(renewal, now);
        None
    }

    /// The workers that the policy allows for a step and that accept tasks, those with the most free
    /// processor capacity first.
    fn allowed_workers(&self, view: &StepView, now: Millis) -> Vec<WorkerIndex> {
        let allowed = view.permits.allowed();
        let allowed = allowed.filter_map(|index| Some((index, self.workers.get(index)?)));
        let usable = allowed.filter(|(index, worker)| {
            self.count_visits(VisitKind::Request, 1);
            self.permission(view, *index, now) != Permission::Denied
                && worker.accepts_tasks(now)
                && view.can_run_on(worker)
                && self.may_use(view, *index)
        });
        let mut usable: Vec<(u64, WorkerIndex)> = usable
            .map(|(index, worker)| (u64::MAX - worker.free().millicores, index))
            .collect();
        usable.sort_unstable();
        usable.into_iter().map(|(_, index)| index).collect()
    }

    /// How many of these workers, from the first one on, could hold a gang `factor` times if they
    /// were empty; `None` if all of them could not.
    fn count_for_members(
        &self,
        view: &StepView,
        workers: &[WorkerIndex],
        factor: u64,
    ) -> Option<usize> {
        let spec = view.spec();
        let limit = spec.per_worker_max.unwrap_or(u32::MAX);
        let needed = factor * u64::from(spec.count);
        let known = workers.iter().filter_map(|index| self.workers.get(*index));
        let mut members = 0;
        for (position, worker) in known.enumerate() {
            self.count_visits(VisitKind::Request, 1);
            members += u64::from(count_fitting(spec.resources, worker.record.capacity).min(limit));
            if members >= needed {
                return Some(position + 1);
            }
        }
        None
    }

    /// Whether a waiting gang should request permits on further workers: there is much room on the
    /// workers, it has too little choice among the allowed ones, or it has waited for long since it
    /// last did.
    fn needs_further_workers(&self, view: &StepView, allowed: &[WorkerIndex], now: Millis) -> bool {
        let has_choice = self
            .count_for_members(view, allowed, CHOICE_FACTOR)
            .is_some();
        let requested_at = view.permits.further_requested_at();
        let is_due = now.since(requested_at) >= FURTHER_INTERVAL_MS
            && view.spec().resources.fits_in(&self.rounds.max_free);
        (!has_choice || is_due || self.rounds.is_half_free)
            && self
                .useful_workers(view, Room::Available, now)
                .next()
                .is_some()
    }

    /// Requests fresh permits on the workers of a gang that has room, if some have expired. Permits
    /// that would expire before the answer comes are renewed too, since the gang needs all of them
    /// at the same time.
    pub(crate) fn renew_permits(
        &self,
        view: &mut StepView,
        members: Vec<WorkerIndex>,
        now: Millis,
    ) {
        let Some(cost) = view.queue.permits.filter(|_| !view.permits.has_request()) else {
            return;
        };
        let mut workers = members.clone();
        workers.sort_unstable();
        workers.dedup();
        let is_expired = |view: &StepView, index: &WorkerIndex, at: Millis| {
            self.permission(view, *index, at) == Permission::Expired
        };
        if !workers.iter().any(|index| is_expired(view, index, now)) {
            return;
        }
        let answered = now + cost.total_ms(workers.len());
        workers.retain(|index| is_expired(view, index, answered));
        // The number of workers in a request is limited, so those with expired permits come first.
        workers.sort_by_key(|index| !is_expired(view, index, now));
        let renewal = PermitNeed::Renewal { workers, members };
        view.permits.set_need(renewal, now);
    }

    /// The workers to name in a request for further workers.
    pub(crate) fn workers_for_request(&self, view: &StepView, now: Millis) -> Vec<WorkerIndex> {
        let size = self.request_size(view);
        self.useful_workers(view, Room::Available, now)
            .take(size)
            .collect()
    }

    /// Whether a request for further workers names none, and would name one if nothing were reserved
    /// for other jobs.
    pub(crate) fn is_request_withheld(&self, view: &StepView, now: Millis) -> bool {
        let has_reservations = !self.rounds.reservations.owners().is_empty();
        let is_request_due = view.queue.permits.is_some() && !view.permits.has_request();
        let names_any = |room| self.useful_workers(view, room, now).next().is_some();
        has_reservations
            && is_request_due
            && !names_any(Room::Available)
            && names_any(Room::Unreserved)
    }

    /// The workers that a request for further workers may name, those first that had the most free
    /// processor capacity when the last round began. They accept tasks and have free resources for
    /// a task of the step that are not reserved for others, and no request for them has been answered
    /// yet or the permit has expired.
    /// For a gang, they need no free resources, since it may get a reservation, and expired permits
    /// are left out, since they are renewed by requests of their own.
    fn useful_workers(
        &self,
        view: &StepView,
        room: Room,
        now: Millis,
    ) -> impl Iterator<Item = WorkerIndex> {
        let is_gang = view.spec().is_gang;
        let need = view.spec().resources;
        let is_useful = move |index: WorkerIndex, worker: &WorkerView| {
            // A permit on a worker whose resources are held for a gang would lapse unused.
            let reserved = &self.rounds.reservations;
            let available = match room {
                Room::Available => self.available_to(view, index, worker, reserved, now),
                Room::Unreserved => worker.free(),
            };
            let has_room = need.fits_in(&available);
            let is_wanted = match self.permission(view, index, now) {
                Permission::Unknown => has_room || is_gang,
                Permission::Expired => has_room && !is_gang,
                Permission::Granted | Permission::Denied => false,
            };
            is_wanted
                && worker.accepts_tasks(now)
                && view.can_run_on(worker)
                && self.may_use(view, index)
        };
        let by_free = self.rounds.capacity.by_free().iter();
        let with_room =
            by_free.take_while(move |(millicores, _)| is_gang || *millicores >= need.millicores);
        let useful = with_room.filter(move |(_, index)| {
            self.count_visits(VisitKind::Request, 1);
            let worker = self.workers.get(*index);
            worker.is_some_and(|worker| is_useful(*index, worker))
        });
        useful.map(|(_, index)| *index)
    }

    /// The largest number of workers that a request for further workers names.
    pub(crate) fn request_size(&self, view: &StepView) -> usize {
        // The waiting tasks of a step are known only after the commit of its job.
        let tasks = if view.is_committed {
            view.waiting.len().min(self.quota_room(view) as usize)
        } else {
            view.spec().count as usize
        };
        (tasks * WORKERS_PER_TASK)
            .max(WORKERS_PER_REQUEST_MIN)
            .min(view.permits.request_size_max())
    }
}
