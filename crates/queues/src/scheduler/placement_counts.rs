//! Counts of what placement costs and what comes of it, for the log and the metrics.

use std::cell::Cell;

use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;

/// The result of one attempt to place a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// At least one task was placed.
    Placed,
    /// The step waits for steps before it; permits may be requested early.
    NotReady,
    /// No allowed worker has free resources, or too few have for a gang.
    NoRoom,
    /// The policy has allowed no worker yet.
    NoPermit,
    /// There is room, but only on workers that need a fresh permit.
    ExpiredPermit,
    /// The workers with free resources are reserved, held or closed, or the step is at a limit.
    Withheld,
    /// Members of the last run of the gang have not ended.
    FormerRun,
    /// Tasks could start remotely and wait for workers near their data.
    LocalityWait,
}

impl AttemptResult {
    /// All results, in the order of [`PlacementCounts::attempts`].
    pub const ALL: [AttemptResult; 8] = [
        AttemptResult::Placed,
        AttemptResult::NotReady,
        AttemptResult::NoRoom,
        AttemptResult::NoPermit,
        AttemptResult::ExpiredPermit,
        AttemptResult::Withheld,
        AttemptResult::FormerRun,
        AttemptResult::LocalityWait,
    ];

    /// The name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            AttemptResult::Placed => "placed",
            AttemptResult::NotReady => "not_ready",
            AttemptResult::NoRoom => "no_room",
            AttemptResult::NoPermit => "no_permit",
            AttemptResult::ExpiredPermit => "expired_permit",
            AttemptResult::Withheld => "withheld",
            AttemptResult::FormerRun => "former_run",
            AttemptResult::LocalityWait => "locality_wait",
        }
    }
}

/// A part of placement that visits workers or steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VisitKind {
    /// Waiting steps and workers at the beginning of a round.
    Round,
    /// Freed workers, to see whether a step has a use for one.
    Freed,
    /// Workers that may take a task of the step.
    Candidate,
    /// Candidates of a gang, by common label.
    Rack,
    /// Workers for a permit request.
    Request,
    /// Workers for a reservation.
    Reservation,
    /// Workers whose tasks a gang might preempt.
    Preemption,
    /// Workers that may be near the data of a step, and other steps that wait for them.
    Locality,
}

impl VisitKind {
    /// All kinds, in the order of [`PlacementCounts::visits`].
    pub const ALL: [VisitKind; 8] = [
        VisitKind::Round,
        VisitKind::Freed,
        VisitKind::Candidate,
        VisitKind::Rack,
        VisitKind::Request,
        VisitKind::Reservation,
        VisitKind::Preemption,
        VisitKind::Locality,
    ];

    /// The name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            VisitKind::Round => "round",
            VisitKind::Freed => "freed",
            VisitKind::Candidate => "candidate",
            VisitKind::Rack => "rack",
            VisitKind::Request => "request",
            VisitKind::Reservation => "reservation",
            VisitKind::Preemption => "preemption",
            VisitKind::Locality => "locality",
        }
    }
}

/// Why a permit request was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestCause {
    /// The first request of the step.
    First,
    /// Permits on further workers.
    Further,
    /// Fresh permits on workers that the policy has allowed before.
    Renewal,
}

impl RequestCause {
    /// All causes, in the order of [`PlacementCounts::requests`].
    pub const ALL: [RequestCause; 3] = [
        RequestCause::First,
        RequestCause::Further,
        RequestCause::Renewal,
    ];

    /// The name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            RequestCause::First => "first",
            RequestCause::Further => "further",
            RequestCause::Renewal => "renewal",
        }
    }
}

/// Counts since the last call of [`Scheduler::take_placement_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementCounts {
    /// Placement rounds.
    pub rounds: u64,
    /// Waiting steps that rounds found, summed over the rounds.
    pub waiting_steps: u64,
    /// Steps that a round did not try because nothing had changed for them.
    pub not_due: u64,
    /// Steps that a round left out at its limit of checks.
    pub left_out: u64,
    /// Attempts of steps by result, in the order of [`AttemptResult::ALL`].
    pub attempts: [u64; AttemptResult::ALL.len()],
    /// Checks that the tries took, by result.
    pub attempt_checks: [u64; AttemptResult::ALL.len()],
    /// Attempts outside of rounds, after an answer of the policy; `attempts` includes them.
    pub urgent_attempts: u64,
    /// Tasks placed.
    pub tasks: u64,
    /// Those of them from whose step free room had been withheld for so long that it left no more
    /// to other jobs.
    pub tasks_after_withholding: u64,
    /// Tasks and members of gangs placed near their data after their step had waited for that.
    pub local_tasks_after_wait: u64,
    /// Tasks and members of gangs placed remote from their data.
    pub remote_tasks: u64,
    /// Waits of steps for workers near their data that ended by their bound while more was expected
    /// to pay off.
    pub expired_locality_waits: u64,
    /// Visits of workers and steps, in the order of [`VisitKind::ALL`].
    pub visits: [u64; VisitKind::ALL.len()],
    /// Permit requests by cause, in the order of [`RequestCause::ALL`].
    pub requests: [u64; RequestCause::ALL.len()],
    /// Workers that these requests named, by cause.
    pub requested_workers: [u64; RequestCause::ALL.len()],
    /// Answered permit requests.
    pub answers: u64,
    /// Answers for a step that has placed no task since the answer before.
    pub repeated_answers: u64,
    /// Permits that the policy issued.
    pub permits: u64,
    /// Permits that replaced an earlier one for the same step and worker.
    pub renewed_permits: u64,
}

/// The counts in progress. Visits are counted in methods that do not change the scheduler.
#[derive(Debug, Default)]
pub struct PlacementTally {
    pub(crate) counts: PlacementCounts,
    visits: [Cell<u64>; VisitKind::ALL.len()],
    /// Tasks that would fit on workers with free resources which a check withheld from them.
    withheld: Cell<u64>,
    /// Tasks that would fit on workers if nothing were withheld in favour of other jobs.
    withheld_for_others: Cell<u64>,
}

impl PlacementTally {
    /// Counts visits.
    pub(crate) fn count_visits(&self, kind: VisitKind, visits: usize) {
        let count = &self.visits[kind as usize];
        count.set(count.get() + visits as u64);
    }

    /// The visits of a kind since the counts were last taken.
    pub(crate) fn visits(&self, kind: VisitKind) -> u64 {
        self.visits[kind as usize].get()
    }

    /// Counts tasks that would fit on a worker that may not take them.
    pub(crate) fn count_withheld(&self, tasks: u32) {
        self.withheld.set(self.withheld.get() + u64::from(tasks));
    }

    /// Counts tasks that would fit on a worker if nothing were withheld in favour of other jobs.
    pub(crate) fn count_withheld_for_others(&self, tasks: u32) {
        let count = &self.withheld_for_others;
        count.set(count.get() + u64::from(tasks));
    }

    fn take(&mut self) -> PlacementCounts {
        let mut counts = std::mem::take(&mut self.counts);
        counts.visits = std::array::from_fn(|position| self.visits[position].take());
        counts
    }
}

/// The values of counters before an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptBegin {
    checks: u64,
    withheld: u64,
    withheld_for_others: u64,
}

impl Scheduler {
    /// Takes the counts of placement since the last call.
    pub fn take_placement_counts(&mut self) -> PlacementCounts {
        self.tally.take()
    }

    /// Counts visits that are checks too.
    pub(crate) fn count_visits(&self, kind: VisitKind, visits: usize) {
        self.tally.count_visits(kind, visits);
        self.count_checks(visits);
    }

    /// The counters before an attempt of a step.
    pub(crate) fn begin_attempt(&self) -> AttemptBegin {
        AttemptBegin {
            checks: self.checks.get(),
            withheld: self.tally.withheld.get(),
            withheld_for_others: self.tally.withheld_for_others.get(),
        }
    }

    /// The tasks that would fit on workers with free resources which were withheld from a step since
    /// its attempt began.
    pub(crate) fn withheld_since(&self, begin: AttemptBegin) -> u64 {
        self.tally.withheld.get() - begin.withheld
    }

    /// The tasks of a step that would fit too if nothing were withheld from it in favour of other
    /// jobs, since its attempt began.
    pub(crate) fn withheld_for_others_since(&self, begin: AttemptBegin) -> u64 {
        self.tally.withheld_for_others.get() - begin.withheld_for_others
    }

    /// Whether a worker with free resources was withheld from a step since its attempt began.
    pub(crate) fn has_withheld_since(&self, begin: AttemptBegin) -> bool {
        self.withheld_since(begin) > 0
    }

    /// Counts an attempt of a step.
    pub(crate) fn end_attempt(&mut self, begin: AttemptBegin, result: AttemptResult) {
        let checks = self.checks.get() - begin.checks;
        let counts = &mut self.tally.counts;
        counts.attempts[result as usize] += 1;
        counts.attempt_checks[result as usize] += checks;
    }

    /// Why a step without a placement has none.
    pub(crate) fn failed_result(
        &self,
        view: &StepView,
        candidates: &[Candidate],
        begin: AttemptBegin,
    ) -> AttemptResult {
        let has_granted = candidates
            .iter()
            .any(|candidate| candidate.permission == Permission::Granted);
        if has_granted || self.has_withheld_since(begin) {
            return AttemptResult::Withheld;
        }
        if !candidates.is_empty() {
            return AttemptResult::ExpiredPermit;
        }
        self.permit_or_room(view)
    }

    /// Why a gang without room for all members has none.
    pub(crate) fn failed_gang_result(
        &self,
        view: &StepView,
        candidates: &[Candidate],
        begin: AttemptBegin,
    ) -> AttemptResult {
        if candidates.is_empty() && self.has_withheld_since(begin) {
            return AttemptResult::Withheld;
        }
        self.permit_or_room(view)
    }

    fn permit_or_room(&self, view: &StepView) -> AttemptResult {
        let has_permits = view.queue.permits.is_none() || view.permits.allowed().next().is_some();
        if has_permits {
            AttemptResult::NoRoom
        } else {
            AttemptResult::NoPermit
        }
    }
}
