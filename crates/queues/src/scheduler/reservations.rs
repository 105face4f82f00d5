//! Resources reserved for gangs.
//!
//! Many small tasks can fill every gap, so that a gang never finds resources for all its members at
//! once. The first gangs that do not fit get reservations on the workers that are expected to have
//! free resources earliest. Other tasks may use reserved resources (backfill) if they are expected
//! to end before the reservation begins, or if enough is left beside the gang.

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use smallvec::SmallVec;

use crate::ids::StepKey;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// A task may use reserved resources if it would end before the reservation begins even if it took
/// this percentage of its estimate.
const BACKFILL_MARGIN_PERCENT: u64 = 140;

/// A gang holds a reservation for at most this long after the time at which it should have begun.
const OVERDUE_MAX_MS: u64 = 10_000;
/// A reservation that should begin later than this is treated as if it should begin then, since an
/// estimate for that far ahead says little.
const AHEAD_MAX_MS: u64 = 10_000;
/// For how long a gang then leaves the reservation to others; each further pause is twice as long, so
/// that one of them suffices for a gang whose reservation needs longer to begin.
const PAUSE_MIN_MS: u64 = 2_000;
/// The longest pause.
const PAUSE_MAX_MS: u64 = 16_000;
/// A gang that has held no reservation for this long has a new turn.
const TURN_GAP_MS: u64 = 1_000;

/// The turn of a gang to hold a reservation. Few gangs hold one at a time, and the begin of a
/// reservation moves on while a run that it depends on overruns its estimate. Without an end of the
/// turn, a gang that waits for runs which last would keep the others from a reservation for ever.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReservationTurn {
    /// When the reservation should have begun, as expected when the turn began, and when the gang
    /// last held it.
    expected: Option<(Millis, Millis)>,
    paused_until: Millis,
    pause_ms: u64,
}

impl ReservationTurn {
    /// Whether the gang may hold a reservation that is now expected to begin at `begin`.
    pub fn take(&mut self, begin: Millis, now: Millis) -> bool {
        if now < self.paused_until {
            return false;
        }
        let current = self.expected;
        let current = current.filter(|(_, held)| now.since(*held) <= TURN_GAP_MS);
        let first = current.map_or(begin.min(now + AHEAD_MAX_MS), |(first, _)| first);
        if now <= first + OVERDUE_MAX_MS {
            self.expected = Some((first, now));
            return true;
        }
        self.expected = None;
        self.pause_ms = (2 * self.pause_ms).clamp(PAUSE_MIN_MS, PAUSE_MAX_MS);
        self.paused_until = now + self.pause_ms;
        false
    }
}

/// Resources on one worker that are reserved from a time on.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    owner: StepKey,
    from: Millis,
    resources: Resources,
}

/// The reservations of one placement round, by worker.
#[derive(Debug, Default)]
pub struct Reservations {
    by_worker: FxHashMap<WorkerIndex, SmallVec<[Reservation; 2]>>,
    /// The steps that hold reservations, each once.
    owners: SmallVec<[StepKey; 4]>,
}

impl Reservations {
    /// Reserves resources on a worker from a time on.
    pub fn add(&mut self, worker: WorkerIndex, owner: StepKey, from: Millis, resources: Resources) {
        if !self.owners.contains(&owner) {
            self.owners.push(owner);
        }
        let reservations = self.by_worker.entry(worker).or_default();
        reservations.push(Reservation {
            owner,
            from,
            resources,
        });
    }

    /// Removes the reservations of a step.
    pub fn release(&mut self, owner: StepKey) {
        let Some(position) = self.owners.iter().position(|known| *known == owner) else {
            return;
        };
        self.owners.remove(position);
        for reservations in self.by_worker.values_mut() {
            reservations.retain(|reservation| reservation.owner != owner);
        }
    }

    /// The reserved workers, each with a step that holds a reservation there.
    pub fn by_owner(&self) -> impl Iterator<Item = (WorkerIndex, StepKey)> {
        let all = self.by_worker.iter();
        all.flat_map(|(index, reserved)| reserved.iter().map(|one| (*index, one.owner)))
    }

    /// The steps that hold reservations.
    pub fn owners(&self) -> &[StepKey] {
        &self.owners
    }

    /// When the reservation of a step begins, if it holds one.
    pub fn begins(&self, owner: StepKey) -> Option<Millis> {
        let all = self.by_worker.values().flatten();
        let owned = all.filter(|reservation| reservation.owner == owner);
        owned.map(|reservation| reservation.from).max()
    }

    /// The resources of a worker that are available to a task of `step` which is expected to take
    /// `task_ms`.
    pub fn available(
        &self,
        index: WorkerIndex,
        worker: &WorkerView,
        step: StepKey,
        task_ms: u64,
        now: Millis,
    ) -> Resources {
        let free = worker.free();
        let Some(reserved) = self.by_worker.get(&index) else {
            return free;
        };
        let mut available = free;
        for reservation in reserved {
            // Estimates are imprecise, and a task that overruns would delay the gang.
            let ends = now + task_ms * BACKFILL_MARGIN_PERCENT / 100;
            if reservation.owner == step || ends <= reservation.from {
                continue;
            }
            let later = expected_free_at(worker, reservation.from, now);
            available = min_resources(
                available,
                later.saturating_sub(&reserved_until(reserved, reservation.from, step)),
            );
        }
        available
    }

    /// All resources that are reserved on a worker for other steps.
    pub fn total_reserved(&self, index: WorkerIndex, step: StepKey) -> Resources {
        let reserved = self.by_worker.get(&index);
        reserved.map_or(Resources::ZERO, |reserved| {
            reserved_until(reserved, Millis(u64::MAX), step)
        })
    }
}

/// The sum of the reservations for steps other than `step` that begin at `at` or earlier.
fn reserved_until(reserved: &[Reservation], at: Millis, step: StepKey) -> Resources {
    let earlier = reserved
        .iter()
        .filter(|reservation| reservation.from <= at && reservation.owner != step);
    earlier.fold(Resources::ZERO, |sum, reservation| {
        sum.saturating_add(&reservation.resources)
    })
}

/// The resources that are expected to be free at a time, if reservations are ignored.
fn expected_free_at(worker: &WorkerView, at: Millis, now: Millis) -> Resources {
    let ended = worker.runs.values().filter(|run| run.ends_by(at, now));
    ended.fold(worker.free(), |sum, run| sum.saturating_add(&run.resources))
}

fn min_resources(a: Resources, b: Resources) -> Resources {
    Resources {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// When a worker is expected to have free resources for each of up to `max_members` members of a
/// gang, beside the `reserved` resources of others; ascending.
pub fn slot_times(
    worker: &WorkerView,
    member: Resources,
    reserved: Resources,
    max_members: usize,
    now: Millis,
) -> SmallVec<[Millis; 8]> {
    let mut ends: Vec<(Millis, Resources)> = worker
        .runs
        .values()
        .filter_map(|run| Some((run.expected_end(now)?, run.resources)))
        .collect();
    ends.sort_unstable_by_key(|(at, _)| *at);
    let mut available = worker.free();
    let mut times = SmallVec::new();
    let mut needed = reserved.saturating_add(&member);
    let mut at = now;
    let mut ends = ends.into_iter();
    while times.len() < max_members {
        if needed.fits_in(&available) {
            times.push(at);
            needed = needed.saturating_add(&member);
            continue;
        }
        let Some((end, freed)) = ends.next() else {
            break;
        };
        at = end;
        available = available.saturating_add(&freed);
    }
    times
}
