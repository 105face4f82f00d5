//! Placement rounds.
//!
//! A round goes through the waiting steps in their order, and each step that it tries costs
//! processor time that the leader also needs for commits and requests. A step that could not be
//! placed is tried again only when something has changed for it: its permits were answered, tasks
//! of it wait again, or a worker that it may use has got free resources. Pauses and reservations also
//! change with time alone. Steps that they concern are tried again at intervals, which grow with the
//! number of waiting steps, all others at a long interval. A round does a limited number of checks;
//! steps that it leaves out are tried in the next one. Urgent steps that can meet their deadline do
//! not wait for a round once their permit requests are answered.

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use smallvec::SmallVec;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::backlog::Backlog;
use crate::scheduler::due_attempts::AttemptDue;
use crate::scheduler::free_capacity::FreeCapacity;
use crate::scheduler::gangs::GangAttempt;
use crate::scheduler::gangs::Hold;
use crate::scheduler::placement_counts::AttemptResult;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::ranking::Lateness;
use crate::scheduler::ranking::Rank;
use crate::scheduler::reservations::Reservations;
use crate::scheduler::retries::Retry;
use crate::scheduler::share_reservations::SHARE_RESERVATIONS_MAX;
use crate::scheduler::shares::ShareEntry;
use crate::scheduler::shares::Shares;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::Workers;
use crate::state::QueueState;

/// A gang gets a reservation for later only while fewer gangs than this hold reservations, since
/// reserved resources often stay idle. Gangs that wait for requested permits or for preempted tasks
/// hold resources even beyond this number.
pub(super) const RESERVATIONS_MAX: usize = 1;
/// The shortest pause between two rounds, so that ends that arrive together share a round.
const PAUSE_MIN_MS: u64 = 4;
/// The longest pause between two rounds while changes occur.
const PAUSE_MAX_MS: u64 = 24;
/// The number of waiting steps that lengthens the pause by a millisecond.
const STEPS_PER_PAUSE_MS: u64 = 16;
/// The number of checks of gangs that lengthens the pause between placements of gangs by a
/// millisecond. Each gang has to be checked against many workers. During the pause other tasks may
/// take resources that a gang needs.
const GANG_CHECKS_PER_PAUSE_MS: u64 = 1_500;
/// The longest pause between placements of gangs.
const GANG_PAUSE_MAX_MS: u64 = 50;
/// The pause after a round is this many times as long as the round took, if that is longer than the
/// pause by the number of steps.
const PAUSE_FACTOR: u64 = 2;
/// The longest pause after a slow round. A leader whose rounds take longer still has to place tasks.
const SLOW_PAUSE_MAX_MS: u64 = 150;
/// A round tries no further steps after this many checks.
const CHECKS_PER_ROUND_MAX: u64 = 50_000;
/// A waiting step from which free workers are withheld is tried again after this time.
const RETRY_MIN_MS: u64 = 20;
/// The number of waiting steps that lengthens this time by a millisecond.
const STEPS_PER_RETRY_MS: u64 = 10;
/// The longest time after which such a step is tried again.
const RETRY_MAX_MS: u64 = 500;
/// The number of blocked gangs for which a round looks for tasks to preempt. Each look goes through
/// all workers of the gang, and most find too little.
const PREEMPTION_ATTEMPTS_MAX: usize = 4;
/// A round starts after this time even without a change, since permits, pauses and expected ends
/// depend on time alone.
const INTERVAL_MS: u64 = 100;

/// The times of the placement rounds, and what one round leaves for the next one.
#[derive(Debug, Default)]
pub struct Rounds {
    /// Whether a change may have made a task placeable.
    pub(crate) is_due: bool,
    /// Whether steps waited when the last round began. While some do, each reply to a poll makes a
    /// round due, since permits and pauses change with time alone.
    pub(crate) has_waiting: bool,
    placed_at: Millis,
    /// Whether a round took place since the time of a tick was last recorded.
    has_placed: bool,
    pause_ms: u64,
    gangs_placed_at: Millis,
    gang_pause_ms: u64,
    /// After how long a step from which free workers are withheld is tried again.
    retry_ms: u64,
    /// Workers with resources that were freed since the last round.
    freed: Vec<WorkerIndex>,
    /// Workers with resources that were freed since the last placement of gangs.
    freed_for_gangs: Vec<WorkerIndex>,
    /// The reservations of the last round.
    pub(crate) reservations: Reservations,
    /// The largest free amount of each resource on any worker that accepted tasks when the last
    /// round began.
    pub(crate) max_free: Resources,
    /// Whether half of the processor capacity and of the memory of these workers was free.
    pub(crate) is_half_free: bool,
    /// The waiting work and the capacity when the last round began.
    pub(crate) backlog: Backlog,
    /// The free capacity of the workers when the last round began.
    pub(crate) capacity: FreeCapacity,
    /// The shares of the tenants when the last round began.
    pub(crate) shares: Shares,
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

    /// After how long a step from which free workers are withheld is tried again.
    pub(crate) fn retry_ms(&self) -> u64 {
        self.retry_ms
    }

    /// Whether a round begins now; if so, records it.
    fn begin(&mut self, now: Millis) -> bool {
        let since_ms = now.since(self.placed_at);
        let interval_ms = INTERVAL_MS.max(self.pause_ms);
        let begins = (self.is_due && since_ms >= self.pause_ms) || since_ms >= interval_ms;
        if begins {
            self.is_due = false;
            self.has_placed = true;
            self.placed_at = now;
        }
        begins
    }

    /// Sets the pause before the next round.
    fn pause(&mut self, waiting_steps: usize) {
        let steps = waiting_steps as u64;
        self.pause_ms = (PAUSE_MIN_MS + steps / STEPS_PER_PAUSE_MS).min(PAUSE_MAX_MS);
        self.retry_ms = (RETRY_MIN_MS + steps / STEPS_PER_RETRY_MS).min(RETRY_MAX_MS);
    }

    /// Sets the pause before gangs are placed again, by the checks that they took.
    fn pause_gangs(&mut self, checks: u64, now: Millis) {
        self.gangs_placed_at = now;
        self.gang_pause_ms = (checks / GANG_CHECKS_PER_PAUSE_MS).min(GANG_PAUSE_MAX_MS);
    }

    /// Lengthens the pauses by the time that the last tick took, if it had a round.
    pub(crate) fn record_time(&mut self, took_ms: u64) {
        if !std::mem::take(&mut self.has_placed) {
            return;
        }
        let pause_ms = (took_ms * PAUSE_FACTOR).min(SLOW_PAUSE_MAX_MS);
        self.pause_ms = self.pause_ms.max(pause_ms);
    }

    /// Records that resources of a worker were freed, or that it accepts tasks again.
    pub(crate) fn note_freed(&mut self, worker: WorkerIndex) {
        self.freed.push(worker);
        self.freed_for_gangs.push(worker);
        self.is_due = true;
    }

    /// Takes the workers freed since the last round and, in a round with gangs, those freed since
    /// the last placement of gangs.
    fn take_freed(&mut self, has_gangs: bool, workers: &Workers) -> FreedWorkers {
        let for_tasks = std::mem::take(&mut self.freed);
        let for_gangs = if has_gangs {
            std::mem::take(&mut self.freed_for_gangs)
        } else {
            Vec::new()
        };
        FreedWorkers {
            for_tasks: sort_by_free(for_tasks, workers),
            for_gangs: sort_by_free(for_gangs, workers),
        }
    }
}

/// Workers with freed resources, with their free processor capacity in millicores, those with the
/// most first.
#[derive(Debug)]
pub(super) struct FreedWorkers {
    pub(super) for_tasks: Vec<(u64, WorkerIndex)>,
    pub(super) for_gangs: Vec<(u64, WorkerIndex)>,
}

fn sort_by_free(freed: Vec<WorkerIndex>, workers: &Workers) -> Vec<(u64, WorkerIndex)> {
    let known = freed.into_iter();
    let known = known.filter_map(|index| Some((workers.get(index)?.free().millicores, index)));
    let mut sorted: Vec<(u64, WorkerIndex)> = known.collect();
    sorted.sort_unstable_by_key(|(millicores, index)| (u64::MAX - millicores, *index));
    sorted.dedup();
    sorted
}

/// Sorts the steps of a round, each with the time since which it has been left out. Steps of tenants
/// within their share come first. Then come those that earlier rounds left out, since steps that
/// cannot be placed would otherwise keep them from being tried for as long as they wait.
fn sort_by_share(order: &mut [(Millis, Rank)]) {
    order.sort_unstable_by_key(|(left_out_at, rank)| (rank.is_over_share, *left_out_at, *rank));
}

/// The waiting steps of a round.
#[derive(Debug, Default)]
struct WaitingSteps {
    backlog: Backlog,
    /// The steps to try, each with the time since which it has been left out.
    order: Vec<(Millis, Rank)>,
    /// The shares that concern these steps, in the same order; empty without tenants.
    share_entries: Vec<Option<ShareEntry>>,
    /// The steps among them that hold workers.
    holding: Vec<StepKey>,
    /// The steps that are not tried since their tenant is at its quota.
    at_quota: Vec<StepKey>,
}

/// The state of a round in progress.
#[derive(Debug)]
pub(super) struct Round {
    /// Whether gangs are placed in this round, also those that are not urgent.
    pub(super) has_gangs: bool,
    pub(super) freed: FreedWorkers,
    reservations: Reservations,
    /// The gangs that held reservations after the last round.
    pub(super) owners: SmallVec<[StepKey; 4]>,
    /// The number of gangs that hold a reservation.
    pub(super) reserved: usize,
    /// The number of gangs that were tried for a reservation.
    pub(super) reservation_attempts: usize,
    /// The number of gangs that tasks were looked for to preempt for.
    preemption_attempts: usize,
    /// The value of the counter of checks at which no further step is tried.
    checks_end: u64,
    /// The checks that gangs took.
    gang_checks: u64,
    /// The longest time for which a step that the round left out has been left out.
    left_out_ms: u64,
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

    /// Collects the waiting steps at the beginning of a round.
    fn collect_waiting(&self, now: Millis) -> WaitingSteps {
        let mut waiting = WaitingSteps::default();
        let has_tenants = self.has_tenants();
        let pending = self.pending_steps.iter();
        let pending = pending.filter_map(|key| self.steps.get(key));
        for view in pending.filter(|view| !view.waiting.is_empty()) {
            if self.is_at_quota(view) {
                waiting.at_quota.push(view.key);
                continue;
            }
            if now < view.hold.until && !self.yields_to_shares(view) {
                waiting.holding.push(view.key);
            }
            if has_tenants {
                waiting.share_entries.push(self.share_entry(view));
            }
            let rank = Rank::of(view, now);
            waiting.backlog.add_step(view, &rank);
            let left_out_at = view.left_out_at.unwrap_or(now);
            waiting.order.push((left_out_at, rank));
        }
        waiting
    }

    /// Places the waiting steps in the order of their ranks.
    fn place_steps(&mut self, state: &QueueState, now: Millis) {
        self.drop_settled_steps();
        self.count_visits(VisitKind::Round, self.pending_steps.len());
        let WaitingSteps {
            backlog,
            mut order,
            share_entries,
            holding,
            at_quota,
        } = self.collect_waiting(now);
        self.rounds.backlog = backlog;
        self.update_free_capacity(now);
        if self.has_tenants() {
            self.update_shares(&mut order, &share_entries);
        }
        sort_by_share(&mut order);
        order.dedup();
        self.rounds.has_waiting = !order.is_empty();
        self.rounds.pause(order.len());
        self.tally.counts.rounds += 1;
        self.tally.counts.waiting_steps += order.len() as u64;
        let has_gangs = now.since(self.rounds.gangs_placed_at) >= self.rounds.gang_pause_ms;
        let mut reservations = if has_gangs {
            self.reserve_held(&holding, now)
        } else {
            std::mem::take(&mut self.rounds.reservations)
        };
        let last_reserved: Vec<(WorkerIndex, StepKey)> = if has_gangs {
            self.rounds.reservations.by_owner().collect()
        } else {
            Vec::new()
        };
        for key in at_quota {
            self.wait_for_quota(key, &mut reservations, now);
        }
        let mut round = Round {
            has_gangs,
            freed: self.rounds.take_freed(has_gangs, &self.workers),
            reservations,
            owners: SmallVec::from_slice(self.rounds.reservations.owners()),
            reserved: 0,
            reservation_attempts: 0,
            preemption_attempts: 0,
            checks_end: self.checks.get() + CHECKS_PER_ROUND_MAX,
            gang_checks: 0,
            left_out_ms: 0,
        };
        self.place_in_order(state, order, &mut round, now);
        if has_gangs {
            self.note_released(&last_reserved, &round.reservations);
        }
        self.rounds.reservations = round.reservations;
        self.overload.record_left_out(round.left_out_ms);
        if has_gangs {
            self.rounds.pause_gangs(round.gang_checks, now);
        }
    }

    /// Tries the steps of a round in their order: first those of tenants within their share, until
    /// these are over it, then the others.
    fn place_in_order(
        &mut self,
        state: &QueueState,
        mut order: Vec<(Millis, Rank)>,
        round: &mut Round,
        now: Millis,
    ) {
        if !self.has_tenants() {
            for (_, rank) in order {
                self.place_step(state, rank.key, round, now);
            }
            return;
        }
        self.rounds.shares.forget_waiting();
        let within = order.partition_point(|(_, rank)| !rank.is_over_share);
        let mut over = order.split_off(within);
        let mut waiting = SmallVec::<[StepKey; SHARE_RESERVATIONS_MAX]>::new();
        for (left_out_at, mut rank) in order {
            let is_over = self.refresh_share(rank.key) || {
                self.place_step(state, rank.key, round, now);
                self.share_is_used_up(rank.key)
            };
            if is_over {
                rank.is_over_share = true;
                over.push((left_out_at, rank));
            } else if waiting.len() < SHARE_RESERVATIONS_MAX && self.lacks_room(rank.key) {
                waiting.push(rank.key);
            }
        }
        if round.has_gangs && !over.is_empty() {
            let checks = self.checks.get();
            self.reserve_for_shares(&waiting, &mut round.reservations, now);
            round.gang_checks += self.checks.get() - checks;
        }
        sort_by_share(&mut over);
        for (_, rank) in over {
            self.place_step(state, rank.key, round, now);
        }
    }

    /// Drops steps that placement has nothing to decide for, most of which run, from the list.
    fn drop_settled_steps(&mut self) {
        let steps = &mut self.steps;
        self.pending_steps.retain(|key| {
            let Some(view) = steps.get_mut(key) else {
                return false;
            };
            view.is_pending = !view.is_settled();
            view.is_pending
        });
    }

    /// Tries to place a step in a round, if it is due.
    fn place_step(&mut self, state: &QueueState, key: StepKey, round: &mut Round, now: Millis) {
        // Another step of the tenant may have started tasks in this round.
        if self.has_tenants() && self.update_wait_for_quota(key, &mut round.reservations, now) {
            return;
        }
        self.note_room_for_gang(key, round);
        let Some(view) = self.steps.get(&key) else {
            return;
        };
        let due = self.attempt_due(view, round, now);
        if due != AttemptDue::Now {
            self.tally.counts.not_due += 1;
            if due == AttemptDue::Soon
                && let Some(view) = self.steps.get_mut(&key)
            {
                view.retry = Retry::Soon;
            }
            return;
        }
        // A gang that is not tried loses its reservation.
        if self.checks.get() >= round.checks_end && !round.owners.contains(&key) {
            self.tally.counts.left_out += 1;
            if let Some(view) = self.steps.get_mut(&key) {
                let since = *view.left_out_at.get_or_insert(now);
                round.left_out_ms = round.left_out_ms.max(now.since(since));
            }
            return;
        }
        let Some(mut view) = self.steps.remove(&key) else {
            return;
        };
        view.tried = Some(now);
        view.left_out_at = None;
        if !view.is_ready {
            let begin = self.begin_attempt();
            self.prefetch_permits(&mut view, now);
            view.retry = self.retry_after(&view, AttemptResult::NotReady, begin, None, now);
            self.end_attempt(begin, AttemptResult::NotReady);
        } else if view.spec().is_gang {
            self.place_gang_in_round(state, &mut view, round, now);
        } else {
            self.place_tasks(state, &mut view, &round.reservations, now);
        }
        self.steps.insert(key, view);
    }

    fn place_gang_in_round(
        &mut self,
        state: &QueueState,
        view: &mut StepView,
        round: &mut Round,
        now: Millis,
    ) {
        let checks = self.checks.get();
        let may_fit = self.may_fit_gang(view);
        let yields = self.yields_to_shares(view);
        if yields {
            view.hold = Hold::default();
        }
        let may_reserve = round.has_gangs && round.reserved < RESERVATIONS_MAX && !yields;
        round.reservation_attempts += usize::from(may_reserve);
        let attempt = GangAttempt {
            may_fit,
            may_reserve,
            may_preempt: round.preemption_attempts < PREEMPTION_ATTEMPTS_MAX && !yields,
        };
        let preemption_visits = self.tally.visits(VisitKind::Preemption);
        let has_reservation = self.place_gang(state, view, &mut round.reservations, attempt, now);
        let has_tried = self.tally.visits(VisitKind::Preemption) > preemption_visits;
        round.preemption_attempts += usize::from(has_tried);
        round.reserved += usize::from(has_reservation);
        round.gang_checks += self.checks.get() - checks;
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
            view.is_over_share = self.is_over_share(&view);
            let may_start = is_in_time && !self.is_at_quota(&view) && !self.yields_to_shares(&view);
            if view.is_urgent() && view.is_ready && may_start {
                self.tally.counts.urgent_attempts += 1;
                if view.spec().is_gang {
                    let attempt = GangAttempt {
                        may_fit: true,
                        may_reserve: false,
                        may_preempt: true,
                    };
                    self.place_gang(state, &mut view, &mut reservations, attempt, now);
                } else {
                    self.place_tasks(state, &mut view, &reservations, now);
                    view.tried = Some(now);
                }
            }
            self.rounds.reservations = reservations;
            self.steps.insert(key, view);
        }
    }

    /// Handles the workers of a gang that holds no reservation any more as freed ones.
    fn note_released(&mut self, last: &[(WorkerIndex, StepKey)], reservations: &Reservations) {
        self.count_visits(VisitKind::Reservation, last.len());
        let owners = reservations.owners();
        for (index, owner) in last {
            if !owners.contains(owner) {
                self.rounds.note_freed(*index);
            }
        }
    }

    /// Takes over what has changed on the workers since the last round.
    fn update_free_capacity(&mut self, now: Millis) {
        let change = self.rounds.capacity.update(&mut self.workers, now);
        self.count_visits(VisitKind::Round, change.visits);
        // While a queue is quarantined, all steps are tried again soon.
        if self.quarantined_queues() == 0 {
            for index in change.freed {
                self.rounds.note_freed(index);
            }
        }
        let backlog = &mut self.rounds.backlog;
        for (service, millicores) in self.rounds.capacity.by_service() {
            backlog.set_capacity(service, millicores);
        }
        for index in self.quarantine.members() {
            if let Some(worker) = self.workers.get(index) {
                backlog.leave_out(&worker.record.service, worker.record.capacity.millicores);
            }
        }
        self.rounds.max_free = self.rounds.capacity.max_free();
        self.rounds.is_half_free = self.rounds.capacity.is_half_free();
        self.count_visits(VisitKind::Round, self.quarantine.members().len());
    }
}
