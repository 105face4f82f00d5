//! Reservations for jobs that have waited for long, with backfill.
//!
//! A reservation names workers and the time by which they have enough free capacity for the job if
//! the running tasks end by their pessimistic estimates. Other tasks are backfilled onto these
//! workers only if they end by that time, or if they fit into the capacity that the job leaves
//! over. Without reservations, small tasks would use up all capacity that a gang or a large task
//! waits for, and it would starve.
//!
//! At most one gang, one batch job without an attainable deadline, and a few other jobs hold
//! reservations. No job has resources allocated before it starts, so jobs cannot deadlock.

use rustc_hash::FxHashMap;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::free_index::amounts;
use crate::job::Job;
use crate::job::Stopping;
use crate::job::TaskState;
use crate::job::WaitReason;
use crate::placer::Placer;
use crate::queue::QueueClass;
use crate::queue::QueueKey;

/// The minimum time for which an overdue reservation is kept before other workers are chosen.
const OVERDUE_KEEP_MS: u64 = 60_000;

/// The interval at which reservations are made and replaced.
const REFRESH_MS: u64 = 1_000;

/// The time that a task is assumed to take to stop after the request.
const EXPECTED_STOP_MS: u64 = 2_000;

/// The number of waiting jobs of each queue class that are considered for a reservation, from the
/// head of the class on.
const MAX_CANDIDATES: usize = 64;

/// The number of waiting tasks of one batch job or service that a reservation covers at most.
const MAX_RESERVED_TASKS: u32 = 8;

/// A batch job may get a reservation once it has waited for its slack divided by this.
const DUE_SLACK_DIVISOR: u64 = 4;

/// The number of services and batch jobs with a deadline that hold a reservation at a time. With
/// only one, 9.1 of 10,000 deadlines were missed in the experiment `waiting`.
const MAX_INDEPENDENT_RESERVATIONS: usize = 2;

/// The kind of job that a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservationKind {
    /// All tasks of a gang.
    Gang,
    /// Waiting tasks of a service, or of a batch job that can meet its deadline.
    Independent,
    /// Waiting tasks of any other batch job, which would otherwise starve behind jobs with
    /// deadlines.
    BestEffort,
}

impl ReservationKind {
    /// The maximum number of reservations of the kind. Reservations for two gangs could leave no
    /// capacity for other jobs.
    fn limit(self) -> usize {
        match self {
            ReservationKind::Gang | ReservationKind::BestEffort => 1,
            ReservationKind::Independent => MAX_INDEPENDENT_RESERVATIONS,
        }
    }
}

/// The expected end of a bound task: the time, the worker's slot, and the resources that it frees.
type ExpectedRelease = (Millis, usize, Resources);

/// Future capacity that is reserved for one job.
pub(crate) struct Reservation {
    kind: ReservationKind,
    pub(crate) job: JobId,
    /// When the job can start if running tasks end by their pessimistic estimates.
    pub(crate) expected_start: Millis,
    created: Millis,
    /// The slots of the reserved workers, each with the free capacity that remains at
    /// `expected_start` once the job has started.
    leftover: FxHashMap<usize, Resources>,
    /// Whether the reservation must be replaced: a reserved worker became unavailable, a task of
    /// the job itself started on one, or another job, such as an urgent one, used capacity that
    /// the reserving job needs.
    invalidated: bool,
}

/// Returns how many tasks with these needs fit into the available resources.
pub(crate) fn count_fitting(available: &Resources, need: &Resources) -> u32 {
    let pairs = amounts(available).into_iter().zip(amounts(need));
    let counts = pairs.filter_map(|(available, need)| available.checked_div(need));
    counts.min().unwrap_or(u64::MAX).min(u64::from(u32::MAX)) as u32
}

impl Placer {
    /// Returns the job whose reservation keeps a task of `job` with these needs and this end off
    /// the worker, if there is one.
    pub(crate) fn reserved_against(
        &self,
        slot: usize,
        need: &Resources,
        pessimistic_end: Millis,
        job: JobId,
    ) -> Option<JobId> {
        let others = self
            .reservations
            .iter()
            .filter(|reservation| reservation.job != job);
        let mut blocking = others.filter(|reservation| {
            let leftover = reservation.leftover.get(&slot);
            leftover.is_some_and(|leftover| {
                pessimistic_end > reservation.expected_start && !need.fits_in(leftover)
            })
        });
        blocking.next().map(|reservation| reservation.job)
    }

    /// Whether the job holds a reservation.
    pub(crate) fn has_reservation(&self, job: JobId) -> bool {
        self.reservations
            .iter()
            .any(|reservation| reservation.job == job)
    }

    /// Updates the reservations of a worker on which a task of `job` starts.
    pub(crate) fn record_start(
        &mut self,
        slot: usize,
        need: &Resources,
        pessimistic_end: Millis,
        job: JobId,
    ) {
        for reservation in &mut self.reservations {
            let Some(leftover) = reservation.leftover.get_mut(&slot) else {
                continue;
            };
            if reservation.job == job {
                reservation.invalidated = true;
            } else if pessimistic_end > reservation.expected_start {
                match leftover.checked_sub(need) {
                    Some(rest) => *leftover = rest,
                    None => reservation.invalidated = true,
                }
            }
        }
    }

    pub(crate) fn remove_reservation(&mut self, job: JobId) {
        let count = self.reservations.len();
        self.reservations
            .retain(|reservation| reservation.job != job);
        if self.reservations.len() < count {
            self.workers.free_generation += 1;
        }
    }

    /// Invalidates the reservations that include this worker.
    pub(crate) fn invalidate_reservations_on(&mut self, slot: usize) {
        for reservation in &mut self.reservations {
            reservation.invalidated |= reservation.leftover.contains_key(&slot);
        }
    }

    /// Replaces reservations that have become invalid or overdue and makes new ones.
    pub(crate) fn maintain_reservations(&mut self) {
        if !self.config.mechanisms.reservation || self.now < self.housekeeping.next_reservation {
            return;
        }
        self.housekeeping.next_reservation = self.now + REFRESH_MS;
        let replace = self
            .reservations
            .iter()
            .filter(|reservation| self.must_replace(reservation));
        let replace: Vec<(JobId, ReservationKind)> = replace
            .map(|reservation| (reservation.job, reservation.kind))
            .collect();
        for (job, kind) in replace {
            self.remove_reservation(job);
            if self.is_startable(job) {
                self.add_reservation(job, kind);
            }
        }
        // Reservations share no worker. The kinds with a single reservation come first, or the
        // others could reserve all workers of a small cluster.
        for kind in [
            ReservationKind::Gang,
            ReservationKind::BestEffort,
            ReservationKind::Independent,
        ] {
            let existing = self
                .reservations
                .iter()
                .filter(|reservation| reservation.kind == kind);
            for _ in existing.count()..kind.limit() {
                let Some(job) = self.due_job(kind) else {
                    break;
                };
                if !self.add_reservation(job, kind) {
                    break;
                }
            }
        }
    }

    /// Makes a reservation for the job. Returns whether enough workers were available.
    fn add_reservation(&mut self, job: JobId, kind: ReservationKind) -> bool {
        let reservation = self.reserve(job, kind);
        let found = reservation.is_some();
        if found {
            self.workers.free_generation += 1;
        }
        self.reservations.extend(reservation);
        found
    }

    fn is_startable(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(Job::is_startable)
    }

    fn must_replace(&self, reservation: &Reservation) -> bool {
        let eligible = &self.workers.eligible;
        let lost = reservation
            .leftover
            .keys()
            .any(|&slot| !eligible.contains(slot));
        // Without this delay the reserved workers would change whenever an estimate turns out to be
        // too short, and the job might never start.
        let keep_ms = reservation
            .expected_start
            .since(reservation.created)
            .max(OVERDUE_KEEP_MS);
        reservation.invalidated || lost || self.now > reservation.expected_start + keep_ms
    }

    /// Returns the first job in the queue that is due for a reservation of this kind.
    fn due_job(&self, kind: ReservationKind) -> Option<JobId> {
        let classes: &[QueueClass] = match kind {
            ReservationKind::Gang => &[QueueClass::Urgent, QueueClass::Gang],
            ReservationKind::Independent => &[QueueClass::Service, QueueClass::BatchWithDeadline],
            ReservationKind::BestEffort => &[QueueClass::BestEffortBatch],
        };
        let keys = classes
            .iter()
            .flat_map(|&class| self.queue.class(class, MAX_CANDIDATES));
        let mut due = keys.filter(|key| self.is_due(key, kind));
        due.next().map(|key| key.job)
    }

    fn is_due(&self, key: &QueueKey, kind: ReservationKind) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let after = job.submitted + self.config.reserve_after_ms;
        let waited = match key.class {
            QueueClass::Urgent => true,
            QueueClass::Service | QueueClass::Gang => self.now >= after,
            // The order of a batch job is its latest start.
            QueueClass::BatchWithDeadline | QueueClass::BestEffortBatch => {
                let slack_ms = Millis(key.order).since(job.submitted);
                self.now >= job.submitted + slack_ms / DUE_SLACK_DIVISOR
            }
        };
        let tasks = match kind {
            ReservationKind::Gang => job.waiting.len() as u32,
            ReservationKind::Independent | ReservationKind::BestEffort => 1,
        };
        let whole = job.need.checked_mul(tasks);
        let in_quota = whole.is_some_and(|whole| {
            !self.config.mechanisms.quota || self.quotas.limiting(job.team, &whole).is_none()
        });
        let lacks_capacity = !matches!(job.reason, WaitReason::Queued | WaitReason::Quota(_));
        let matching = job.is_gang() == (kind == ReservationKind::Gang);
        matching
            && !self.has_reservation(job.id)
            && waited
            && in_quota
            && lacks_capacity
            && job.is_startable()
    }

    /// Finds the earliest time at which the job can start, and the workers to reserve for it.
    fn reserve(&self, id: JobId, kind: ReservationKind) -> Option<Reservation> {
        let job = self.jobs.get(&id)?;
        if !job.is_startable() {
            return None;
        }
        let mut missing = match kind {
            ReservationKind::Gang => job.waiting.len() as u32,
            ReservationKind::Independent | ReservationKind::BestEffort => {
                (job.waiting.len() as u32).min(MAX_RESERVED_TASKS)
            }
        };
        let (mut free, mut releases) = self.free_and_releases();
        let mut counts: FxHashMap<usize, u32> = FxHashMap::default();
        let mut fitting = 0;
        for (&slot, available) in &free {
            let count = count_fitting(available, &job.need).min(missing);
            fitting += count;
            counts.insert(slot, count);
        }
        let mut expected_start = self.now;
        releases.sort_unstable_by_key(|&(end, slot, _)| (end, slot));
        for (end, slot, resources) in releases {
            if fitting >= missing {
                break;
            }
            let available = free.entry(slot).or_default();
            *available = available.checked_add(&resources).unwrap_or(*available);
            let count = count_fitting(available, &job.need).min(missing);
            let before = counts.insert(slot, count).unwrap_or(0);
            fitting += count - before.min(count);
            expected_start = end;
        }
        if fitting < missing {
            return None;
        }
        let mut chosen: Vec<(usize, u32)> = counts.into_iter().collect();
        chosen.sort_unstable_by_key(|&(slot, count)| (std::cmp::Reverse(count), slot));
        let mut leftover = FxHashMap::default();
        for (slot, count) in chosen {
            if missing == 0 {
                break;
            }
            let used = count.min(missing);
            missing -= used;
            let taken = job.need.checked_mul(used)?;
            let available = free.get(&slot).copied().unwrap_or_default();
            leftover.insert(slot, available.saturating_sub(&taken));
        }
        Some(Reservation {
            kind,
            job: id,
            expected_start,
            created: self.now,
            leftover,
            invalidated: false,
        })
    }

    /// Returns the free capacity of each eligible worker without a reservation, and the expected
    /// ends of the tasks on these workers.
    fn free_and_releases(&self) -> (FxHashMap<usize, Resources>, Vec<ExpectedRelease>) {
        let mut free = FxHashMap::default();
        let mut releases = Vec::new();
        for slot in self.workers.eligible.iter() {
            let Some(worker) = self.workers.get(slot) else {
                continue;
            };
            if self
                .reservations
                .iter()
                .any(|reservation| reservation.leftover.contains_key(&slot))
            {
                continue;
            }
            free.insert(slot, worker.free);
            for task in worker.tasks.iter().filter_map(|task| self.tasks.get(task)) {
                if let Some(end) = self.expected_release(&task.state) {
                    releases.push((end, slot, task.resources));
                }
            }
        }
        (free, releases)
    }

    /// The time at which a bound task is expected to free its resources; `None` if it runs without
    /// a known end, such as a task of a service.
    fn expected_release(&self, state: &TaskState) -> Option<Millis> {
        let TaskState::Bound {
            started,
            pessimistic_end,
            stopping,
            ..
        } = *state
        else {
            return None;
        };
        if stopping != Stopping::No {
            return Some(self.now + EXPECTED_STOP_MS);
        }
        if pessimistic_end == Millis(u64::MAX) {
            return None;
        }
        // A task is assumed to need at least half of its run time so far again, also when it
        // outlasts its estimate.
        Some(pessimistic_end.max(self.now + self.now.since(started) / 2))
    }
}
