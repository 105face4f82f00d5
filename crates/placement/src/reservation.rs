//! The reservation of a gang that has waited long.
//!
//! At most one gang holds a reservation, and no gang holds room before it starts, so two gangs
//! cannot wait for each other. A reservation names workers and the time by which they have room
//! for the gang when running tasks end by their pessimistic estimates. Other tasks use these
//! workers only if they end by that time, or within the room that the gang leaves.

use rustc_hash::FxHashMap;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::free_index::amounts;
use crate::job::Place;
use crate::job::Stopping;
use crate::placer::Placer;
use crate::queue::QueueClass;

/// How long an overdue reservation is kept before other workers are chosen, at least.
const OVERDUE_KEEP_MS: u64 = 60_000;

/// How often a reservation is sought or replaced at most.
const REFRESH_MS: u64 = 1_000;

/// How long a task that was asked to stop still takes.
const STOPPING_MS: u64 = 2_000;

/// Gangs that are looked at for a reservation, the oldest first.
const CANDIDATES: usize = 64;

/// An expected end of a task: when, on which slot, and the room that it frees.
type Release = (Millis, usize, Resources);

/// Room that is set aside for one gang.
pub(crate) struct Reservation {
    pub(crate) gang: JobId,
    /// When the gang starts by the pessimistic estimates.
    pub(crate) starts: Millis,
    made: Millis,
    /// The reserved workers, with the room that the gang leaves at its start.
    extra: FxHashMap<usize, Resources>,
    /// Whether a reserved worker was lost or used by urgent work.
    broken: bool,
}

/// How many tasks of this size fit into the room.
pub(crate) fn count_in(room: &Resources, need: &Resources) -> u32 {
    let pairs = amounts(room).into_iter().zip(amounts(need));
    let counts = pairs.filter_map(|(room, need)| room.checked_div(need));
    counts.min().unwrap_or(u64::MAX).min(u64::from(u32::MAX)) as u32
}

impl Placer {
    /// The gang that a worker is reserved for, if a task of this size and end must keep off it.
    pub(crate) fn reserved_against(
        &self,
        slot: usize,
        need: &Resources,
        ends: Millis,
    ) -> Option<JobId> {
        let held = self.reservation.as_ref()?;
        let extra = held.extra.get(&slot)?;
        let allowed = ends <= held.starts || need.fits_in(extra);
        (!allowed).then_some(held.gang)
    }

    /// Records that a task starts on a worker.
    pub(crate) fn note_start(&mut self, slot: usize, need: &Resources, ends: Millis) {
        let Some(held) = &mut self.reservation else {
            return;
        };
        let Some(extra) = held.extra.get_mut(&slot) else {
            return;
        };
        if ends <= held.starts {
            return;
        }
        match extra.checked_sub(need) {
            Some(rest) => *extra = rest,
            None => held.broken = true,
        }
    }

    pub(crate) fn drop_reservation(&mut self) {
        self.reservation = None;
        self.workers.gains += 1;
    }

    /// Notes that a worker may be reserved no more.
    pub(crate) fn drop_reservation_on(&mut self, slot: usize) {
        if let Some(held) = &mut self.reservation {
            held.broken |= held.extra.contains_key(&slot);
        }
    }

    /// Makes, keeps or replaces the reservation.
    pub(crate) fn maintain_reservation(&mut self) {
        if !self.config.mechanisms.reservation || self.now < self.sweeps.next_reservation {
            return;
        }
        self.sweeps.next_reservation = self.now + REFRESH_MS;
        if self
            .reservation
            .as_ref()
            .is_some_and(|held| !self.must_replace(held))
        {
            return;
        }
        let gang = self.reservation.as_ref().map(|held| held.gang);
        let gang = gang.or_else(|| self.oldest_gang());
        let reservation = gang.and_then(|gang| self.reserve(gang));
        if reservation.is_some() || self.reservation.is_some() {
            self.workers.gains += 1;
        }
        self.reservation = reservation;
    }

    fn must_replace(&self, held: &Reservation) -> bool {
        let eligible = &self.workers.eligible;
        let lost = held.extra.keys().any(|&slot| !eligible.contains(slot));
        // Choosing again at once would let the chosen workers change with every estimate that
        // turns out too short, and the gang would never start.
        let keep_ms = held.starts.since(held.made).max(OVERDUE_KEEP_MS);
        held.broken || lost || self.now > held.starts + keep_ms
    }

    /// The oldest gang that has waited long enough; an urgent one need not wait.
    fn oldest_gang(&self) -> Option<JobId> {
        let keys = self.queue.iter();
        let keys = keys.filter(|key| matches!(key.class, QueueClass::Urgent | QueueClass::Gang));
        let mut keys = keys.take(CANDIDATES);
        let after_ms = self.config.gang_reserve_after_ms;
        let is_due = |job: JobId| {
            let Some(job) = self.jobs.get(&job) else {
                return false;
            };
            let urgent = job.priority == sapphirepost_types::Priority::Urgent;
            let waited = urgent || self.now.since(job.submitted) >= after_ms;
            let whole = job.need.checked_mul(job.waiting.len() as u32);
            let in_quota = whole.is_some_and(|whole| {
                !self.config.mechanisms.quota || self.quotas.limiting(job.team, &whole).is_none()
            });
            job.is_gang() && waited && in_quota && job.is_startable()
        };
        keys.find(|key| is_due(key.job)).map(|key| key.job)
    }

    /// Finds the earliest time, and workers, at which the gang has room.
    fn reserve(&self, id: JobId) -> Option<Reservation> {
        let job = self.jobs.get(&id)?;
        if !job.is_startable() {
            return None;
        }
        let mut missing = job.waiting.len() as u32;
        let (mut free, mut ends) = self.room_and_ends();
        let mut counts: FxHashMap<usize, u32> = FxHashMap::default();
        let mut held = 0;
        for (&slot, room) in &free {
            let count = count_in(room, &job.need);
            held += count;
            counts.insert(slot, count);
        }
        let mut starts = self.now;
        ends.sort_unstable_by_key(|&(end, slot, _)| (end, slot));
        for (end, slot, resources) in ends {
            if held >= missing {
                break;
            }
            let room = free.entry(slot).or_default();
            *room = room.checked_add(&resources).unwrap_or(*room);
            let count = count_in(room, &job.need);
            let before = counts.insert(slot, count).unwrap_or(0);
            held += count - before.min(count);
            starts = end;
        }
        if held < missing {
            return None;
        }
        let mut chosen: Vec<(usize, u32)> = counts.into_iter().collect();
        chosen.sort_unstable_by_key(|&(slot, count)| (std::cmp::Reverse(count), slot));
        let mut extra = FxHashMap::default();
        for (slot, count) in chosen {
            if missing == 0 {
                break;
            }
            let used = count.min(missing);
            missing -= used;
            let taken = job.need.checked_mul(used)?;
            let room = free.get(&slot).copied().unwrap_or_default();
            extra.insert(slot, room.saturating_sub(&taken));
        }
        Some(Reservation {
            gang: id,
            starts,
            made: self.now,
            extra,
            broken: false,
        })
    }

    /// The free room of each eligible worker, and when its tasks end by pessimistic estimates.
    fn room_and_ends(&self) -> (FxHashMap<usize, Resources>, Vec<Release>) {
        let mut free = FxHashMap::default();
        let mut ends = Vec::new();
        for slot in self.workers.eligible.iter() {
            let Some(worker) = self.workers.get(slot) else {
                continue;
            };
            free.insert(slot, worker.free);
            for task in worker.tasks.iter().filter_map(|task| self.tasks.get(task)) {
                if let Some(end) = self.expected_release(&task.place) {
                    ends.push((end, slot, task.resources));
                }
            }
        }
        (free, ends)
    }

    /// When a bound task frees its room; `None` for a service.
    fn expected_release(&self, place: &Place) -> Option<Millis> {
        let Place::Bound {
            started,
            ends,
            stopping,
            ..
        } = *place
        else {
            return None;
        };
        if stopping != Stopping::No {
            return Some(self.now + STOPPING_MS);
        }
        if ends == Millis(u64::MAX) {
            return None;
        }
        // A task that outlasts its estimate is expected to take half as long again.
        Some(ends.max(self.now + self.now.since(started) / 2))
    }
}
