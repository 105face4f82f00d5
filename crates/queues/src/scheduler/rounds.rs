//! Placement rounds.
//!
//! A round goes through all waiting steps in their order, and each step costs processor time that
//! the leader also needs for commits and requests. The more steps wait, the longer is the pause
//! between two rounds. Urgent steps that can meet their deadline do not wait for a round once their
//! permit requests are answered.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::ranking::Lateness;
use crate::scheduler::ranking::Rank;
use crate::scheduler::reservations::Reservations;
use crate::state::QueueState;

/// A gang gets a reservation for later only while fewer gangs than this hold reservations, since
/// reserved resources often stay idle. Gangs that wait for requested permits or for preempted tasks
/// hold resources even beyond this number.
const RESERVATIONS_MAX: usize = 1;
/// The shortest pause between two rounds, so that ends that arrive together share a round.
const PAUSE_MIN_MS: u64 = 4;
/// The longest pause between two rounds while changes occur.
const PAUSE_MAX_MS: u64 = 24;
/// The number of waiting steps that lengthens the pause by a millisecond.
const STEPS_PER_PAUSE_MS: u64 = 25;
/// The number of checks, gangs times workers, that lengthens the pause between placements of gangs
/// by a millisecond. Each gang has to be checked against all workers. During the pause other tasks
/// may take resources that a gang needs.
const GANG_CHECKS_PER_PAUSE_MS: u64 = 1_500;
/// The longest pause between placements of gangs.
const GANG_PAUSE_MAX_MS: u64 = 10;
/// A round starts after this time even without a change, since permits, pauses and expected ends
/// depend on time alone.
const INTERVAL_MS: u64 = 100;

/// The times of the placement rounds, and what one round leaves for the next one.
#[derive(Debug, Default)]
pub struct Rounds {
    /// Whether a change may have made a task placeable.
    pub(crate) is_due: bool,
    placed_at: Millis,
    pause_ms: u64,
    gangs_placed_at: Millis,
    gang_pause_ms: u64,
    /// The reservations of the last round.
    reservations: Reservations,
    /// The largest free amount of each resource on any worker that accepted tasks when the last
    /// round began.
    pub(crate) max_free: Resources,
    /// Whether half of the processor capacity and of the memory of these workers was free.
    pub(crate) is_half_free: bool,
}

impl Rounds {
    /// No round has taken place; the first one is due.
    pub fn new(now: Millis) -> Rounds {
        Rounds {
            is_due: true,
            placed_at: now,
            gangs_placed_at: now,
            ..Rounds::default()
        }
    }

    /// When the reservation of a step begins, if it holds one.
    pub(crate) fn reservation_begins(&self, step: StepKey) -> Option<Millis> {
        self.reservations.begins(step)
    }

    /// Whether a round begins now; if so, records it.
    fn begin(&mut self, now: Millis) -> bool {
        let since_ms = now.since(self.placed_at);
        let begins = (self.is_due && since_ms >= self.pause_ms) || since_ms >= INTERVAL_MS;
        if begins {
            self.is_due = false;
            self.placed_at = now;
        }
        begins
    }

    /// Sets the pause before the next round.
    fn pause(&mut self, waiting_steps: usize) {
        let more_ms = waiting_steps as u64 / STEPS_PER_PAUSE_MS;
        self.pause_ms = (PAUSE_MIN_MS + more_ms).min(PAUSE_MAX_MS);
    }

    /// Sets the pause before gangs are placed again.
    fn pause_gangs(&mut self, gangs: u64, workers: usize, now: Millis) {
        let checks = gangs * workers as u64;
        self.gangs_placed_at = now;
        self.gang_pause_ms = (checks / GANG_CHECKS_PER_PAUSE_MS).min(GANG_PAUSE_MAX_MS);
    }
}

impl Scheduler {
    /// Runs a placement round if one is due, and places urgent steps whose permit requests were
    /// answered.
    pub(crate) fn tick_placement(&mut self, state: &QueueState, now: Millis) {
        if self.rounds.begin(now) {
            self.place_steps(state, now);
            self.dispatcher.is_dispatch_due = true;
        }
        self.place_urgent(state, now);
    }

    /// Places the waiting steps in the order of their ranks.
    fn place_steps(&mut self, state: &QueueState, now: Millis) {
        let mut ranks: Vec<Rank> = self
            .steps
            .values()
            .filter(|view| !view.waiting.is_empty())
            .map(|view| Rank::of(view, now))
            .collect();
        ranks.sort_unstable();
        self.count_checks(self.steps.len());
        self.rounds.pause(ranks.len());
        self.record_free_capacity(now);
        let has_gangs = now.since(self.rounds.gangs_placed_at) >= self.rounds.gang_pause_ms;
        let mut reservations = if has_gangs {
            self.reserve_held(now)
        } else {
            std::mem::take(&mut self.rounds.reservations)
        };
        let mut gangs = 0;
        let mut reserved = 0;
        for rank in ranks {
            let Some(mut view) = self.steps.remove(&rank.key) else {
                continue;
            };
            if !view.is_ready {
                self.prefetch_permits(&mut view, now);
            } else if !view.spec().is_gang {
                self.place_tasks(state, &mut view, &reservations, now);
            } else if has_gangs || view.is_urgent() {
                gangs += 1;
                let may_reserve = has_gangs && reserved < RESERVATIONS_MAX;
                let has_reservation =
                    self.place_gang(state, &mut view, &mut reservations, may_reserve, now);
                reserved += usize::from(has_reservation);
            }
            self.steps.insert(rank.key, view);
        }
        self.rounds.reservations = reservations;
        if has_gangs {
            self.rounds.pause_gangs(gangs, self.workers.len(), now);
        }
    }

    /// Places urgent steps that can meet their deadline as soon as their permit requests are
    /// answered: a short job has no time to wait for a round.
    fn place_urgent(&mut self, state: &QueueState, now: Millis) {
        for key in std::mem::take(&mut self.answered_steps) {
            let Some(mut view) = self.steps.remove(&key) else {
                continue;
            };
            let is_in_time = Rank::of(&view, now).lateness == Lateness::InTime;
            let mut reservations = std::mem::take(&mut self.rounds.reservations);
            if view.is_urgent() && view.is_ready && is_in_time {
                if view.spec().is_gang {
                    self.place_gang(state, &mut view, &mut reservations, false, now);
                } else {
                    self.place_tasks(state, &mut view, &reservations, now);
                }
            }
            self.rounds.reservations = reservations;
            self.steps.insert(key, view);
        }
    }

    /// Records how much is free on the workers that accept tasks.
    fn record_free_capacity(&mut self, now: Millis) {
        let mut max_free = Resources::ZERO;
        let mut free_sum = Resources::ZERO;
        let mut capacity_sum = Resources::ZERO;
        let open = self.workers.iter();
        self.count_checks(self.workers.len());
        for (_, worker) in open.filter(|(_, worker)| worker.accepts_tasks(now)) {
            let free = worker.free();
            max_free.millicores = max_free.millicores.max(free.millicores);
            max_free.memory_mib = max_free.memory_mib.max(free.memory_mib);
            max_free.accelerators = max_free.accelerators.max(free.accelerators);
            free_sum = free_sum.saturating_add(&free);
            capacity_sum = capacity_sum.saturating_add(&worker.record.capacity);
        }
        self.rounds.max_free = max_free;
        self.rounds.is_half_free = free_sum.millicores * 2 >= capacity_sum.millicores
            && free_sum.memory_mib * 2 >= capacity_sum.memory_mib;
    }
}
