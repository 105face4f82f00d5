//! Counts of what placement costs and what comes of it, for the log and the metrics.

use std::cell::Cell;

use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;

/// The result of one try to place a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryResult {
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
}

impl TryResult {
    /// All results, in the order of [`PlacementCounts::tries`].
    pub const ALL: [TryResult; 7] = [
        TryResult::Placed,
        TryResult::NotReady,
        TryResult::NoRoom,
        TryResult::NoPermit,
        TryResult::ExpiredPermit,
        TryResult::Withheld,
        TryResult::FormerRun,
    ];

    /// The name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            TryResult::Placed => "placed",
            TryResult::NotReady => "not_ready",
            TryResult::NoRoom => "no_room",
            TryResult::NoPermit => "no_permit",
            TryResult::ExpiredPermit => "expired_permit",
            TryResult::Withheld => "withheld",
            TryResult::FormerRun => "former_run",
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
}

impl VisitKind {
    /// All kinds, in the order of [`PlacementCounts::visits`].
    pub const ALL: [VisitKind; 7] = [
        VisitKind::Round,
        VisitKind::Freed,
        VisitKind::Candidate,
        VisitKind::Rack,
        VisitKind::Request,
        VisitKind::Reservation,
        VisitKind::Preemption,
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
    /// Tries of steps by result, in the order of [`TryResult::ALL`].
    pub tries: [u64; TryResult::ALL.len()],
    /// Checks that the tries took, by result.
    pub try_checks: [u64; TryResult::ALL.len()],
    /// Tries outside of rounds, after an answer of the policy; `tries` includes them.
    pub urgent_tries: u64,
    /// Tasks placed.
    pub tasks: u64,
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

    fn take(&mut self) -> PlacementCounts {
        let mut counts = std::mem::take(&mut self.counts);
        counts.visits = std::array::from_fn(|position| self.visits[position].take());
        counts
    }
}

/// The values of counters before a try.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TryBegin {
    checks: u64,
    withheld: u64,
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

    /// The counters before a try of a step.
    pub(crate) fn begin_try(&self) -> TryBegin {
        TryBegin {
            checks: self.checks.get(),
            withheld: self.tally.withheld.get(),
        }
    }

    /// The tasks that would fit on workers with free resources which were withheld from a step since
    /// its try began.
    pub(crate) fn withheld_since(&self, begin: TryBegin) -> u64 {
        self.tally.withheld.get() - begin.withheld
    }

    /// Whether a worker with free resources was withheld from a step since its try began.
    pub(crate) fn has_withheld_since(&self, begin: TryBegin) -> bool {
        self.withheld_since(begin) > 0
    }

    /// Counts a try of a step.
    pub(crate) fn end_try(&mut self, begin: TryBegin, result: TryResult) {
        let checks = self.checks.get() - begin.checks;
        let counts = &mut self.tally.counts;
        counts.tries[result as usize] += 1;
        counts.try_checks[result as usize] += checks;
    }

    /// Why a step without a placement has none.
    pub(crate) fn failed_result(
        &self,
        view: &StepView,
        candidates: &[Candidate],
        begin: TryBegin,
    ) -> TryResult {
        let has_granted = candidates
            .iter()
            .any(|candidate| candidate.permission == Permission::Granted);
        if has_granted || self.has_withheld_since(begin) {
            return TryResult::Withheld;
        }
        if !candidates.is_empty() {
            return TryResult::ExpiredPermit;
        }
        self.permit_or_room(view)
    }

    /// Why a gang without room for all members has none.
    pub(crate) fn failed_gang_result(
        &self,
        view: &StepView,
        candidates: &[Candidate],
        begin: TryBegin,
    ) -> TryResult {
        if candidates.is_empty() && self.has_withheld_since(begin) {
            return TryResult::Withheld;
        }
        self.permit_or_room(view)
    }

    fn permit_or_room(&self, view: &StepView) -> TryResult {
        let has_permits = view.queue.permits.is_none() || view.permits.allowed().next().is_some();
        if has_permits {
            TryResult::NoRoom
        } else {
            TryResult::NoPermit
        }
    }
}
