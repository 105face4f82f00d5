//! Rounds of placement.
//!
//! Answers the load pattern in which hundreds of steps wait: each round serves them in their order
//! and costs time for each, while the leader also has to commit and to give orders. Rounds follow
//! each other more slowly the more waits; urgent steps do not wait for a round.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::scheduler::Scheduler;
use crate::scheduler::order::Lateness;
use crate::scheduler::order::Rank;
use crate::scheduler::reserve::Reservations;
use crate::state::QueueState;

/// Gangs that may hold reservations at a time.
const RESERVATIONS_MAX: usize = 6;
/// The shortest time between two rounds of placement, so that ends that come together share one.
const PAUSE_MIN_MS: u64 = 4;
/// The longest time between two rounds while something changes.
const PAUSE_MAX_MS: u64 = 24;
/// Waiting steps that make the pause a millisecond longer.
const STEPS_PER_PAUSE_MS: u64 = 25;
/// Gangs times workers that make the time until gangs are placed again a millisecond longer. All
/// workers have to be looked through for a gang. Between, other work may take what a gang needs.
const GANG_CHECKS_PER_PAUSE_MS: u64 = 1_500;
/// The longest time until gangs are placed again.
const GANG_PAUSE_MAX_MS: u64 = 10;
/// Placement is tried again after this time, for what only time changes.
const INTERVAL_MS: u64 = 100;

/// When steps are placed, and what one round leaves for the next one.
#[derive(Debug, Default)]
pub struct Rounds {
    /// Whether something changed that may let a task be placed.
    pub(crate) is_due: bool,
    placed_at: Millis,
    pause_ms: u64,
    gangs_placed_at: Millis,
    gang_pause_ms: u64,
    /// The reservations of the last round.
    reservations: Reservations,
    /// The most of each resource that was free on any worker when the last round began.
    pub(crate) most_free: Resources,
}

impl Rounds {
    /// Nothing is placed yet.
    pub fn new(now: Millis) -> Rounds {
        Rounds {
            is_due: true,
            placed_at: now,
            gangs_placed_at: now,
            ..Rounds::default()
        }
    }

    /// Whether a round begins now.
    fn begin(&mut self, now: Millis) -> bool {
        let since_ms = now.since(self.placed_at);
        let begins = (self.is_due && since_ms >= self.pause_ms) || since_ms >= INTERVAL_MS;
        if begins {
            self.is_due = false;
            self.placed_at = now;
        }
        begins
    }

    /// Sets the time to the next round.
    fn pause(&mut self, waiting_steps: usize) {
        let more_ms = waiting_steps as u64 / STEPS_PER_PAUSE_MS;
        self.pause_ms = (PAUSE_MIN_MS + more_ms).min(PAUSE_MAX_MS);
    }

    /// Sets the time until gangs are placed again.
    fn pause_gangs(&mut self, gangs: u64, workers: usize, now: Millis) {
        let checks = gangs * workers as u64;
        self.gangs_placed_at = now;
        self.gang_pause_ms = (checks / GANG_CHECKS_PER_PAUSE_MS).min(GANG_PAUSE_MAX_MS);
    }
}

impl Scheduler {
    /// Places what is due.
    pub(crate) fn tick_placement(&mut self, state: &QueueState, now: Millis) {
        if self.rounds.begin(now) {
            self.place(state, now);
            self.desk.is_dispatch_due = true;
        }
        self.place_urgent(state, now);
    }

    /// Places what can be placed.
    fn place(&mut self, state: &QueueState, now: Millis) {
        let mut ranks: Vec<Rank> = self
            .steps
            .values()
            .filter(|view| !view.waiting.is_empty())
            .map(|view| Rank::of(view, now))
            .collect();
        ranks.sort_unstable();
        self.rounds.pause(ranks.len());
        self.rounds.most_free = self.most_free_room(now);
        let has_gangs = now.since(self.rounds.gangs_placed_at) >= self.rounds.gang_pause_ms;
        let mut reservations = if has_gangs {
            self.made_room(now)
        } else {
            std::mem::take(&mut self.rounds.reservations)
        };
        let mut gangs = 0;
        let mut reserved = 0;
        for rank in ranks {
            let Some(mut view) = self.steps.remove(&rank.key) else {
                continue;
            };
            if !view.is_due {
                self.ask_ahead(&mut view, now);
            } else if !view.spec().is_gang {
                self.place_tasks(state, &mut view, &reservations, now);
            } else if has_gangs || view.is_urgent() {
                gangs += 1;
                let may_reserve = has_gangs && reserved < RESERVATIONS_MAX;
                let keeps = self.place_gang(state, &mut view, &mut reservations, may_reserve, now);
                reserved += usize::from(keeps);
            }
            self.steps.insert(rank.key, view);
        }
        self.rounds.reservations = reservations;
        if has_gangs {
            self.rounds.pause_gangs(gangs, self.workers.len(), now);
        }
    }

    /// Places steps of the most urgent queues as soon as their permits are there. A round serves all
    /// steps in their order, but a short job has no time to wait for it.
    fn place_urgent(&mut self, state: &QueueState, now: Millis) {
        for key in std::mem::take(&mut self.answered_steps) {
            let Some(mut view) = self.steps.remove(&key) else {
                continue;
            };
            let is_in_time = Rank::of(&view, now).lateness == Lateness::InTime;
            let mut reservations = std::mem::take(&mut self.rounds.reservations);
            if view.is_urgent() && view.is_due && is_in_time {
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

    /// The most of each resource that is free on any worker.
    fn most_free_room(&self, now: Millis) -> Resources {
        let open = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_open(now));
        open.fold(Resources::ZERO, |most, (_, worker)| {
            let free = worker.free();
            Resources {
                millicores: most.millicores.max(free.millicores),
                memory_mib: most.memory_mib.max(free.memory_mib),
                accelerators: most.accelerators.max(free.accelerators),
            }
        })
    }
}
