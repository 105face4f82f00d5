//! Room that is kept for gangs.
//!
//! Answers the load pattern in which many small tasks take every gap, so that a gang never finds
//! room for all members at once. The first gangs in the order that do not fit are given the
//! workers on which room is expected to be free earliest. Other tasks may use that room only if
//! they are expected to end before, or if enough is left beside the gang.

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use smallvec::SmallVec;

use crate::ids::StepKey;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// A task may use kept room if this share of its estimate ends before the room is needed.
const BACKFILL_MARGIN_PERCENT: u64 = 140;

/// Room on one worker that is kept from a time on.
#[derive(Clone, Copy, Debug)]
struct Kept {
    owner: StepKey,
    from: Millis,
    room: Resources,
}

/// The reservations of one placement round.
#[derive(Debug, Default)]
pub struct Reservations {
    kept: FxHashMap<WorkerIndex, SmallVec<[Kept; 2]>>,
}

impl Reservations {
    /// Keeps room on a worker from a time on.
    pub fn keep(&mut self, worker: WorkerIndex, owner: StepKey, from: Millis, room: Resources) {
        let kept = self.kept.entry(worker).or_default();
        kept.push(Kept { owner, from, room });
    }

    /// Gives up what is kept for a step.
    pub fn release(&mut self, owner: StepKey) {
        for kept in self.kept.values_mut() {
            kept.retain(|entry| entry.owner != owner);
        }
    }

    /// The room of a worker for a task of `step` that is expected to take `task_ms`.
    pub fn room(
        &self,
        index: WorkerIndex,
        worker: &WorkerView,
        step: StepKey,
        task_ms: u64,
        now: Millis,
    ) -> Resources {
        let free = worker.free();
        let Some(kept) = self.kept.get(&index) else {
            return free;
        };
        let mut room = free;
        for entry in kept {
            // Estimates are rough: a task that takes longer would move the reservation on.
            let ends = now + task_ms * BACKFILL_MARGIN_PERCENT / 100;
            if entry.owner == step || ends <= entry.from {
                continue;
            }
            let later = free_at(worker, entry.from, now);
            room = least(
                room,
                later.saturating_sub(&kept_until(kept, entry.from, step)),
            );
        }
        room
    }

    /// All room that is kept on a worker for other steps.
    pub fn total(&self, index: WorkerIndex, step: StepKey) -> Resources {
        let kept = self.kept.get(&index);
        kept.map_or(Resources::ZERO, |kept| {
            kept_until(kept, Millis(u64::MAX), step)
        })
    }
}

/// All room that is kept at a time for other steps.
fn kept_until(kept: &[Kept], at: Millis, step: StepKey) -> Resources {
    let earlier = kept
        .iter()
        .filter(|entry| entry.from <= at && entry.owner != step);
    earlier.fold(Resources::ZERO, |sum, entry| {
        sum.saturating_add(&entry.room)
    })
}

/// The room that is expected to be free at a time.
fn free_at(worker: &WorkerView, at: Millis, now: Millis) -> Resources {
    let ended = worker
        .runs
        .values()
        .filter(|run| run.expected_end(now) <= at);
    ended.fold(worker.free(), |sum, run| sum.saturating_add(&run.resources))
}

fn least(a: Resources, b: Resources) -> Resources {
    Resources {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}

/// When a worker is expected to have room for each of up to `most` more members of a gang, beside
/// the room `kept` for others; ascending.
pub fn slot_times(
    worker: &WorkerView,
    member: Resources,
    kept: Resources,
    most: usize,
    now: Millis,
) -> SmallVec<[Millis; 8]> {
    let mut ends: Vec<(Millis, Resources)> = worker
        .runs
        .values()
        .map(|run| (run.expected_end(now), run.resources))
        .collect();
    ends.sort_unstable_by_key(|(at, _)| *at);
    let mut room = worker.free();
    let mut times = SmallVec::new();
    let mut needed = kept.saturating_add(&member);
    let mut at = now;
    let mut ends = ends.into_iter();
    while times.len() < most {
        if needed.fits_in(&room) {
            times.push(at);
            needed = needed.saturating_add(&member);
            continue;
        }
        let Some((end, freed)) = ends.next() else {
            break;
        };
        at = end;
        room = room.saturating_add(&freed);
    }
    times
}
