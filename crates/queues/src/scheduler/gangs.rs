//! Placement of gangs.
//!
//! A gang needs resources on several nearly full workers at once and is placed as a whole or not at
//! all. A gang that cannot be placed holds workers while fresh permits for them are requested,
//! preempts tasks with checkpoints, or gets a reservation for later.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::crash::Isolation;
use crate::ids::StepKey;
use crate::job::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::isolation::gang_isolation;
use crate::scheduler::place::Candidate;
use crate::scheduler::placement_counts::AttemptBegin;
use crate::scheduler::placement_counts::AttemptResult;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::reservations::Reservations;
use crate::scheduler::reservations::slot_times;
use crate::scheduler::retries::Retry;
use crate::scheduler::shortfall::Shortfall;
use crate::scheduler::speed_choice::similar_speed;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;

/// Workers whose resources are reserved for a gang for a short time: while a request for fresh
/// permits on them is unanswered, or while tasks that were preempted for the gang stop.
#[derive(Clone, Debug, Default)]
pub struct Hold {
    /// One worker for each member; a worker may appear several times.
    pub workers: Vec<WorkerIndex>,
    /// Until when the resources are reserved.
    pub until: Millis,
}

/// What an attempt of a gang may do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GangAttempt {
    /// Whether the free resources may suffice for all members. If not, no worker is looked at.
    pub(crate) may_fit: bool,
    /// Whether the gang may get a reservation for later.
    pub(crate) may_reserve: bool,
    /// Whether tasks may be preempted for it.
    pub(crate) may_preempt: bool,
}

impl Scheduler {
    /// Reserves the resources that these gangs hold.
    pub(crate) fn reserve_held(&self, holding: &[StepKey], now: Millis) -> Reservations {
        let mut reservations = Reservations::default();
        let views = holding.iter().filter_map(|key| self.steps.get(key));
        self.count_visits(VisitKind::Round, holding.len());
        for view in views {
            self.reserve_now(view, &view.hold.workers, &mut reservations, now);
        }
        reservations
    }

    /// Places a gang, or reserves resources for it. Returns whether it holds a reservation.
    pub(crate) fn place_gang(
        &mut self,
        state: &QueueState,
        view: &mut StepView,
        reservations: &mut Reservations,
        attempt: GangAttempt,
        now: Millis,
    ) -> bool {
        let members = view.spec().count as usize;
        let begin = self.begin_attempt();
        // A gang starts again only after all members of its last run have ended.
        if view.waiting.len() < members {
            view.retry = self.retry_after(view, AttemptResult::FormerRun, begin, None, now);
            self.end_attempt(begin, AttemptResult::FormerRun);
            return false;
        }
        view.retry = Retry::Soon;
        reservations.release(view.key);
        let job = state.job(view.key.job).filter(|_| view.is_committed);
        let isolation = job.map_or(Isolation::None, |job| gang_isolation(job, view.key));
        let isolation = self.isolation_now(view, isolation);
        let has_turn = isolation == Isolation::None || self.take_isolation_turn(view, now);
        view.is_without_turn = !has_turn;
        if !has_turn {
            view.withheld_time
                .record(isolation == Isolation::ExclusiveWorker, now);
            self.end_attempt(begin, AttemptResult::Withheld);
            return false;
        }
        let mut candidates = if attempt.may_fit {
            self.candidates(view, reservations, isolation, now)
        } else {
            Vec::new()
        };
        sort_for_members(&mut candidates);
        if self.waits_for_rack(view, &candidates, reservations, now) {
            view.retry = self.retry_after(view, AttemptResult::LocalityWait, begin, None, now);
            self.end_attempt(begin, AttemptResult::LocalityWait);
            return false;
        }
        if let Some(job) = job
            && let Some(result) = self.start_gang(job, view, &candidates, isolation, now)
        {
            self.end_attempt(begin, result);
            return false;
        }
        let allowed = candidates.iter().filter(|c| c.is_allowed());
        let chosen = self.choose_workers(view, allowed, members);
        let has_room = chosen.is_some();
        self.note_lacking_room(view, &candidates, has_room, attempt, begin, now);
        let renewal_due = match chosen {
            Some(chosen) => {
                self.renew_permits(view, chosen, now);
                None
            }
            None => self.request_due_gang_permits(view, now),
        };
        let result = match has_room {
            true => AttemptResult::ExpiredPermit,
            false => self.failed_gang_result(view, &candidates, begin),
        };
        let may_preempt = attempt.may_preempt;
        let has_hold = now < view.hold.until
            || (!has_room && self.preempt(view, reservations, may_preempt, now));
        if has_hold {
            self.reserve_now(view, &view.hold.workers, reservations, now);
            self.end_attempt(begin, result);
            return true;
        }
        let due = [renewal_due, view.preemption_due(now)];
        let due = due.into_iter().flatten().min();
        view.retry = self.retry_after(view, result, begin, due, now);
        let has_reservation =
            !has_room && attempt.may_reserve && self.reserve(view, reservations, now);
        self.end_attempt(begin, result);
        has_reservation
    }

    /// Starts a gang if it has room with valid permits for all members. Returns `None` if it has not,
    /// and `Withheld` if the chosen workers do not allow its isolation yet.
    fn start_gang(
        &mut self,
        job: &Job,
        view: &mut StepView,
        candidates: &[Candidate],
        isolation: Isolation,
        now: Millis,
    ) -> Option<AttemptResult> {
        let granted = candidates.iter();
        let granted = granted.filter(|c| c.permission == Permission::Granted);
        let chosen = self.choose_workers(view, granted, view.spec().count as usize)?;
        if isolation != Isolation::None && !self.isolate(view, candidates, &chosen, now) {
            view.withheld_time
                .record(isolation == Isolation::ExclusiveWorker, now);
            return Some(AttemptResult::Withheld);
        }
        let indexes = view.waiting.iter().copied().collect::<Vec<_>>();
        let placements: Vec<_> = indexes.into_iter().zip(chosen).collect();
        self.end_isolation_turn(view);
        self.start(job, view, &placements, now);
        Some(AttemptResult::Placed)
    }

    /// Records the room that a gang lacks, and whether it would have it if nothing were withheld from
    /// it in favour of other jobs.
    fn note_lacking_room(
        &self,
        view: &mut StepView,
        candidates: &[Candidate],
        has_room: bool,
        attempt: GangAttempt,
        begin: AttemptBegin,
        now: Millis,
    ) {
        let members = u64::from(view.spec().count);
        let allowed = || candidates.iter().filter(|c| c.is_allowed());
        let fits: u64 = allowed().map(|c| u64::from(c.fits)).sum();
        let fits_unreserved = fits + self.withheld_for_others_since(begin);
        let is_withheld = !has_room && fits_unreserved >= members;
        view.withheld_time.record(is_withheld, now);
        if !attempt.may_fit {
            return;
        }
        let free: u64 = allowed().map(|c| u64::from(c.fits_free)).sum();
        let shortfall = Shortfall::new(members, free + self.withheld_since(begin));
        view.shortfall = shortfall.filter(|_| !has_room);
    }

    /// One worker for each member of a gang, from candidates in the order of preference; a worker
    /// may appear several times.
    fn choose_workers<'a>(
        &self,
        view: &StepView,
        usable: impl Iterator<Item = &'a Candidate> + Clone,
        members: usize,
    ) -> Option<Vec<WorkerIndex>> {
        if view.spec().is_single_rack {
            let usable: Vec<&Candidate> = usable.clone().collect();
            if let Some(chosen) = self.choose_rack(&usable, members) {
                return Some(chosen);
            }
        }
        assign_members(usable, members)
    }

    /// Workers with a common label for all members of a gang, to place it on one rack.
    pub(crate) fn choose_rack(
        &self,
        usable: &[&Candidate],
        members: usize,
    ) -> Option<Vec<WorkerIndex>> {
        let mut labels: Vec<Arc<str>> = Vec::new();
        self.count_visits(VisitKind::Rack, usable.len());
        for candidate in usable {
            let worker = self.workers.get(candidate.index)?;
            for label in self.rack_labels(worker) {
                if !labels.contains(label) {
                    labels.push(label.clone());
                }
            }
        }
        // Labels name kinds and racks of workers. Of the labels whose workers can hold the gang,
        // the one with the fewest workers is taken to be the rack.
        let feasible = labels.into_iter().filter_map(|label| {
            self.count_visits(VisitKind::Rack, usable.len());
            let with_label = usable.iter().copied().filter(|c| {
                let worker = self.workers.get(c.index);
                worker.is_some_and(|worker| worker.record.has_label(&label))
            });
            let with_label: Vec<&Candidate> = with_label.collect();
            let size = with_label.len();
            assign_members(with_label.into_iter(), members).map(|chosen| (size, chosen))
        });
        feasible
            .min_by_key(|(size, _)| *size)
            .map(|(_, chosen)| chosen)
    }

    /// Closes the chosen workers to the starts of other jobs. Returns whether the gang may start
    /// there now.
    fn isolate(
        &mut self,
        view: &StepView,
        candidates: &[Candidate],
        chosen: &[WorkerIndex],
        now: Millis,
    ) -> bool {
        for index in chosen {
            self.close_for(view, *index, now);
        }
        let mut chosen_candidates = candidates.iter().filter(|c| chosen.contains(&c.index));
        chosen_candidates.all(|c| c.allows_isolation)
    }

    fn reserve_now(
        &self,
        view: &StepView,
        chosen: &[WorkerIndex],
        reservations: &mut Reservations,
        now: Millis,
    ) {
        for index in chosen {
            reservations.add(*index, view.key, now, view.spec().resources);
        }
    }

    /// Reserves for all members the resources that are expected to be free earliest.
    fn reserve(&self, view: &mut StepView, reservations: &mut Reservations, now: Millis) -> bool {
        let (spec, members) = (view.spec(), view.spec().count as usize);
        let mut slots: Vec<(Millis, WorkerIndex)> = Vec::new();
        for (index, worker) in self.possible_workers(view) {
            self.count_visits(VisitKind::Reservation, 1);
            let permission = self.permission(view, index, now);
            let is_allowed = matches!(permission, Permission::Granted | Permission::Expired);
            if !is_allowed || !worker.accepts_tasks(now) || !view.can_run_on(worker) {
                continue;
            }
            if !self.may_use(view, index) {
                continue;
            }
            let max_members = spec
                .per_worker_max
                .map_or(members, |limit| members.min(limit as usize));
            let reserved = reservations.total_reserved(index, view.key);
            let times = slot_times(worker, spec.resources, reserved, max_members, now);
            slots.extend(times.into_iter().map(|at| (at, index)));
        }
        slots.sort_unstable();
        let Some(last) = slots.get(members - 1).map(|(at, _)| *at) else {
            return false;
        };
        if !view.reservation_turn.take(last, now) {
            return false;
        }
        let resources = view.spec().resources;
        for (_, index) in &slots[..members] {
            reservations.add(*index, view.key, last, resources);
        }
        true
    }
}

/// Sorts the candidates of a gang in the order of preference.
fn sort_for_members(candidates: &mut [Candidate]) {
    candidates
        .sort_unstable_by_key(|c| (c.preference(), c.speed_rank(), c.left_millicores, c.index));
}

impl Candidate {
    /// Its place in the order of preference of a gang, whatever its speed and free resources.
    pub(crate) fn preference(&self) -> (bool, bool, bool, bool) {
        (
            self.is_avoided,
            !self.allows_isolation,
            !self.is_held,
            self.permission != Permission::Granted,
        )
    }
}

/// Assigns a worker of similar speed to each member, in the order of the candidates.
pub(crate) fn assign_members<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    members: usize,
) -> Option<Vec<WorkerIndex>> {
    let mut chosen = Vec::with_capacity(members);
    for candidate in similar_speed(candidates.collect(), members) {
        let left = members - chosen.len();
        let take = left.min(candidate.fits as usize);
        chosen.extend(std::iter::repeat_n(candidate.index, take));
        if chosen.len() == members {
            return Some(chosen);
        }
    }
    None
}
