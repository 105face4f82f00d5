//! The leader's scheduler: decides which task runs on which worker, which requests go to workers,
//! and which permits to request.
//!
//! Its inputs are the applied changes of the [`QueueState`], the replies of workers and of the
//! placement policy, and the time. Its outputs are [`Action`]s. It neither blocks nor reads a
//! clock, so a run can be replayed deterministically.

mod admission;
mod backlog;
mod contact_loss;
mod crash_evidence;
mod drain;
mod due_attempts;
mod durations;
mod ended_runs;
mod excess_work;
mod free_capacity;
mod gang_runs;
mod gangs;
mod health;
mod isolation;
mod lease;
mod locality;
mod locality_wait;
mod messages;
mod needless_runs;
mod overload;
mod permit_requests;
mod permits;
mod place;
mod placement_counts;
mod policy_clients;
mod polls;
mod preempt;
mod quarantine;
mod quarantine_set;
mod quota_feasibility;
mod quotas;
mod ranking;
mod rate_limits;
mod rejections;
mod reports;
mod reservations;
mod restarts;
mod retries;
mod rounds;
mod share_reservations;
mod shares;
mod shortfall;
mod speed_choice;
mod speeds;
mod starts;
mod step_permits;
mod steps;
mod tenant_admission;
mod tenant_status;
mod tenants;
mod token_bucket;
mod waiting;
mod withheld_time;
mod worker_requests;
mod workers;
mod written_off_runs;

use std::cell::Cell;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::command::QueueCommand;
use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::scheduler::backlog::Backlog;
use crate::scheduler::contact_loss::ContactLosses;
use crate::scheduler::durations::Durations;
use crate::scheduler::ended_runs::EndedRunTracker;
use crate::scheduler::isolation::IsolationTurns;
use crate::scheduler::locality_wait::LocalityWaits;
use crate::scheduler::overload::Overload;
use crate::scheduler::permits::PermitDispatcher;
use crate::scheduler::placement_counts::PlacementTally;
use crate::scheduler::quarantine::Quarantine;
use crate::scheduler::rate_limits::RateLimits;
use crate::scheduler::rounds::Rounds;
use crate::scheduler::speeds::Speeds;
use crate::scheduler::steps::StepView;
use crate::scheduler::steps::USEFUL_FACTOR;
use crate::scheduler::waiting::WaitTracker;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::Workers;
use crate::spec::SubmittedSpec;
use crate::state::QueueChange;
use crate::state::QueueState;
use crate::table::Queue;

pub use crate::scheduler::admission::Admission;
pub use crate::scheduler::admission::AdmissionLimit;
pub use crate::scheduler::admission::Rejection;
pub use crate::scheduler::admission::TenantRejection;
pub use crate::scheduler::ended_runs::AdoptedRuns;
pub use crate::scheduler::ended_runs::EndedJobRun;
pub use crate::scheduler::ended_runs::EndedJobRuns;
pub use crate::scheduler::lease::CLOCK_RATE_MIN_PERCENT;
pub use crate::scheduler::locality::LocalSlot;
pub use crate::scheduler::locality::LocalityChoice;
pub use crate::scheduler::locality::LocalityDecision;
pub use crate::scheduler::messages::PollReply;
pub use crate::scheduler::messages::RejectReason;
pub use crate::scheduler::messages::RunningTask;
pub use crate::scheduler::messages::StopReason;
pub use crate::scheduler::messages::WorkerReply;
pub use crate::scheduler::messages::WorkerRequest;
pub use crate::scheduler::messages::WorkerRequestError;
pub use crate::scheduler::messages::WorkerRequestKind;
pub use crate::scheduler::permits::AnsweredPermitRequest;
pub use crate::scheduler::permits::PermitAnswer;
pub use crate::scheduler::permits::PermitOutcome;
pub use crate::scheduler::permits::PermitRequest;
pub use crate::scheduler::placement_counts::AttemptResult;
pub use crate::scheduler::placement_counts::PlacementCounts;
pub use crate::scheduler::placement_counts::RequestCause;
pub use crate::scheduler::placement_counts::VisitKind;
pub use crate::scheduler::quarantine::QuarantineChange;
pub use crate::scheduler::quota_feasibility::QuotaExcess;
pub use crate::scheduler::ranking::Lateness;
pub use crate::scheduler::rate_limits::RejectedJobs;
pub use crate::scheduler::reports::WorkerReport;
pub use crate::scheduler::tenant_status::TenantStatus;
pub use crate::scheduler::waiting::WaitReason;
pub use crate::scheduler::waiting::WaitingStep;
pub use crate::scheduler::workers::RunStage;
pub use crate::scheduler::written_off_runs::WrittenOffRun;

/// Parameters of a [`Scheduler`]. Apart from the term, they are the same on every member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerConfig {
    /// The leader's term. Workers reject requests of earlier terms.
    pub term: u64,
    /// How long a worker may run tasks without hearing from a leader, on the worker's clock.
    pub lease_ms: u64,
    /// The longest lease that a worker grants, whatever a request asks for.
    pub lease_max_ms: u64,
    /// The longest time a worker takes to carry out a stop.
    pub stop_ms: u64,
    /// How long the members of a gang wait for each other before they end as incomplete.
    pub gang_ms: u64,
    /// How long after the start of this term an earlier leader may still send requests.
    pub hand_over_ms: u64,
    /// How many times as long a task takes that is remote from the rack of its data, or a gang that
    /// is on several racks although it should be on one. With 1, nothing waits for local workers.
    pub remote_factor: f64,
}

/// A side effect that the scheduler asks its owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Propose a command to the replicated log.
    Propose(QueueCommand),
    /// Send a request to a worker.
    Send(WorkerRequest),
    /// Send a permit request to a policy client that waits for one.
    RequestPermits {
        /// The name of the policy client.
        client: Arc<str>,
        /// The request to pass on to the placement policy.
        request: PermitRequest,
    },
}

/// Counts of events since the last call of [`Scheduler::take_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs whose start was sent to a worker for the first time.
    pub starts: u64,
    /// Stops that were sent, repeated ones included, in the order of [`StopReason::ALL`].
    pub stops: [u64; StopReason::ALL.len()],
    /// Runs that ended because the other members of their gang did not start in time.
    pub incomplete_gang_ends: u64,
    /// Requests to workers that got no reply or could not be sent.
    pub unanswered_requests: u64,
    /// Crashes of workers, by a refused connection shortly after a reply.
    pub worker_crashes: u64,
    /// Starts that workers rejected.
    pub rejected_starts: u64,
    /// Permit requests sent to the placement policy.
    pub permit_requests: u64,
    /// Permit requests that the placement policy refused.
    pub refused_permit_requests: u64,
}

/// The volatile part of one leader's scheduling state; a new leader rebuilds it.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) workers: Workers,
    pub(crate) steps: FxHashMap<StepKey, StepView>,
    /// The steps that placement has to look at: those with waiting tasks, those of jobs whose commit
    /// is in progress, and some that rounds have not dropped from the list yet.
    pub(crate) pending_steps: Vec<StepKey>,
    /// The number of steps of each job that has not ended, also of jobs whose commit is in
    /// progress.
    pub(crate) job_steps: FxHashMap<JobKey, u16>,
    /// Committed jobs that have not ended and of which no worker has reported a started task, with
    /// the names of their queues.
    pub(crate) unstarted_jobs: FxHashMap<JobKey, Arc<str>>,
    pub(crate) durations: Durations,
    pub(crate) speeds: Speeds,
    pub(crate) dispatcher: PermitDispatcher,
    /// Steps whose permit request was answered since the last tick.
    pub(crate) answered_steps: Vec<StepKey>,
    /// Workers that may be due for a poll.
    pub(crate) poll_candidates: Vec<WorkerIndex>,
    pub(crate) actions: Vec<Action>,
    pub(crate) counts: Counts,
    pub(crate) tally: PlacementTally,
    /// Runs that were written off since the last call of `take_written_off_runs`.
    pub(crate) written_off_runs: Vec<WrittenOffRun>,
    /// Checks of a worker for a step, and visits of steps, since the last call of `take_checks`.
    pub(crate) checks: Cell<u64>,
    pub(crate) rounds: Rounds,
    pub(crate) checked_at: Millis,
    /// When all runs were last checked.
    pub(crate) runs_checked_at: Millis,
    pub(crate) waits: WaitTracker,
    pub(crate) ended_runs: EndedRunTracker,
    pub(crate) isolation_turns: IsolationTurns,
    pub(crate) quarantine: Quarantine,
    pub(crate) contact_losses: ContactLosses,
    pub(crate) overload: Overload,
    pub(crate) rate_limits: RateLimits,
    pub(crate) locality: LocalityWaits,
    /// The number of restarts of workers under their IDs that this leader has noticed.
    pub(crate) restarts: u32,
}

impl Scheduler {
    /// Creates the scheduler of a new leader from the state applied so far.
    pub fn new(
        config: SchedulerConfig,
        state: &QueueState,
        now: Millis,
        unix_ms: u64,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            config,
            workers: Workers::default(),
            steps: FxHashMap::default(),
            pending_steps: Vec::new(),
            job_steps: FxHashMap::default(),
            unstarted_jobs: FxHashMap::default(),
            durations: Durations::default(),
            speeds: Speeds::default(),
            dispatcher: PermitDispatcher::new(config.term),
            answered_steps: Vec::new(),
            poll_candidates: Vec::new(),
            actions: Vec::new(),
            counts: Counts::default(),
            tally: PlacementTally::default(),
            written_off_runs: Vec::new(),
            checks: Cell::default(),
            rounds: Rounds::new(now),
            checked_at: now,
            runs_checked_at: now,
            waits: WaitTracker::default(),
            ended_runs: EndedRunTracker::default(),
            isolation_turns: IsolationTurns::default(),
            quarantine: Quarantine::default(),
            contact_losses: ContactLosses::default(),
            overload: Overload::new(now),
            rate_limits: RateLimits::default(),
            locality: LocalityWaits::default(),
            restarts: 0,
        };
        if let Some(table) = state.table() {
            scheduler.update_limits(table);
        }
        for worker in state.workers() {
            let age = |at| unix_ms.saturating_sub(at);
            let restarted = worker.restarted_unix_ms.map(|at| now - age(at));
            scheduler.add_worker(worker, restarted, now);
            scheduler.adopt_runs(state, worker, now);
        }
        for job in state.jobs().filter(|job| !job.phase.has_ended()) {
            let age_ms = unix_ms.saturating_sub(job.accepted_unix_ms);
            scheduler.add_job(state, job.key, now - age_ms, true);
        }
        scheduler.record_adopted_runs();
        scheduler.update_rate_limits(state);
        scheduler
    }

    /// Updates the scheduler with the changes of one applied command.
    pub fn handle_applied(
        &mut self,
        state: &QueueState,
        command: &QueueCommand,
        changes: &[QueueChange],
        now: Millis,
    ) {
        // A step that is done is forgotten, with the runs that are to be stopped.
        for change in changes {
            if let QueueChange::LateEnd(late) = change {
                self.stop_needless_runs(late, now);
            }
        }
        for change in changes {
            self.apply_change(state, change, now);
        }
        match command {
            QueueCommand::Start { step, placements } => {
                self.undo_unapplied_starts(state, *step, placements, now);
            }
            QueueCommand::End {
                worker,
                incarnation,
                upto,
                ..
            } if self.incarnation(worker) == Some(*incarnation) => {
                self.ends_applied(worker, *upto, now);
            }
            QueueCommand::Expire { worker, .. } => self.expiry_applied(worker),
            _ => {}
        }
        self.rounds.is_due |= !changes.is_empty();
    }

    /// Undoes what was decided along with a command that can never be committed.
    pub fn undo_proposal(&mut self, state: &QueueState, command: &QueueCommand, now: Millis) {
        match command {
            QueueCommand::Submit { job, .. } if state.job(*job).is_none() => {
                self.forget_job(*job);
            }
            QueueCommand::Start { step, placements } => {
                self.undo_unapplied_starts(state, *step, placements, now);
            }
            QueueCommand::RestartWorker { record, .. } => self.undo_restart(&record.id),
            _ => {}
        }
    }

    fn apply_change(&mut self, state: &QueueState, change: &QueueChange, now: Millis) {
        match change {
            QueueChange::Table => {
                self.table_changed(state);
                self.update_rate_limits(state);
            }
            QueueChange::Accepted(job) => self.add_job(state, *job, now, true),
            QueueChange::Ended(job, phase) => self.job_ended(*job, *phase, now),
            QueueChange::Worker(id) => self.worker_changed(state, id, now),
            QueueChange::WorkerRestarted(id) => self.worker_restarted(state, id, now),
            QueueChange::WorkerRemoved(id) => drop(self.workers.remove(id)),
            QueueChange::Started(step, placements) => {
                self.send_starts(state, *step, placements, now);
            }
            QueueChange::RunEnded(worker, task, run, kind) => {
                self.run_ended(state, worker, (*task, *run), *kind, now);
            }
            QueueChange::StepChanged(step) => {
                self.step_changed(state, *step, now);
                self.stop_broken_gang(state, *step, now);
            }
            QueueChange::WorkerCrashed(..)
            | QueueChange::CrashCounted(..)
            | QueueChange::LateEnd(_) => {}
        }
    }

    /// The number of workers that this leader knows.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Does everything that is due at `now`.
    pub fn tick(&mut self, state: &QueueState, now: Millis) {
        self.send_due_polls(now);
        if now.since(self.checked_at) >= CHECK_INTERVAL_MS {
            self.checked_at = now;
            self.tick_polls(now);
            self.tick_leases(now);
            self.tick_runs_if_due(state, now);
            self.tick_permits(now);
            self.tick_quarantine(now);
        }
        self.tick_placement(state, now);
        if self.dispatcher.take_due(now) {
            self.dispatch_requests(now);
        }
    }

    /// Checks all runs if that is due by the size of the cluster.
    fn tick_runs_if_due(&mut self, state: &QueueState, now: Millis) {
        let interval_ms = self.workers.len() as u64 / WORKERS_PER_RUN_CHECK_MS;
        if now.since(self.runs_checked_at) >= interval_ms.min(RUN_CHECK_INTERVAL_MAX_MS) {
            self.runs_checked_at = now;
            self.tick_runs(state, now);
        }
    }

    /// Records how long a call of [`Scheduler::tick`] took. The pauses between placement rounds grow
    /// with it, so that a slow leader has time for its other work.
    pub fn record_tick_time(&mut self, took_ms: u64) {
        self.rounds.record_time(took_ms);
    }

    /// Records that an entry with commands was applied `took_ms` after it was proposed, without the
    /// delay of a slow disk of the leader.
    pub fn record_commit(&mut self, took_ms: u64, now: Millis) {
        self.overload.record_commit(took_ms, now);
    }

    /// Records that the oldest entry in progress was proposed `age_ms` ago.
    pub fn record_commit_in_progress(&mut self, age_ms: u64) {
        self.overload.record_in_progress(age_ms);
    }

    /// The share of new jobs that this leader admits, in thousandths.
    pub fn admitted_permille(&self) -> u64 {
        self.overload.share_permille()
    }

    /// Takes the actions that have accumulated, in the order in which they are to be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes the counts of events since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    /// Takes the number of checks since the last call: how often a worker was checked for a step, or
    /// a step was visited. It measures the work of the scheduler independently of the processor, for
    /// tests and for the load figures of the leader.
    pub fn take_checks(&self) -> u64 {
        self.checks.take()
    }

    /// Counts checks.
    pub(crate) fn count_checks(&self, checks: usize) {
        self.checks.set(self.checks.get() + checks as u64);
    }

    /// How long the tasks of a step had waited when a start of the step was last proposed.
    pub fn last_wait_ms(&self, step: StepKey) -> u64 {
        self.steps.get(&step).map_or(0, |view| view.last_wait_ms)
    }

    pub(crate) fn propose(&mut self, command: QueueCommand) {
        self.actions.push(Action::Propose(command));
    }

    pub(crate) fn index(&self, id: &str) -> Option<WorkerIndex> {
        self.workers.index(id)
    }
}

/// Interval between two checks of all polls, leases and permit requests.
const CHECK_INTERVAL_MS: u64 = 50;
/// The longest interval between two checks of all runs.
const RUN_CHECK_INTERVAL_MAX_MS: u64 = 250;
/// The number of workers that lengthens this interval by a millisecond. A check reads all runs, of
/// which a large cluster has thousands.
const WORKERS_PER_RUN_CHECK_MS: u64 = 4;

impl Scheduler {
    /// What a new job would wait for. A job within the rate of `owed_tenant` is compared only with
    /// the work that is owed service, and with that of its own tenant.
    fn service_admission(
        &self,
        key: JobKey,
        queue: &Queue,
        spec: &SubmittedSpec,
        owed_tenant: Option<&str>,
        now: Millis,
    ) -> Admission {
        let durations_ms = self.durations.predict_steps_ms(&queue.name, spec);
        let critical_path_ms = spec.critical_path_ms(&durations_ms);
        let deadline_ms = queue.deadline_ms(critical_path_ms);
        let useful_ms = USEFUL_FACTOR * deadline_ms;
        let owed_permille = owed_tenant.map_or(1_000, |_| self.rate_limits.owed_permille());
        let overload = &self.overload;
        if let Some(retry_ms) = overload.retry_after_ms(key, useful_ms, owed_permille, now) {
            return Admission::of_overloaded_leader(retry_ms);
        }
        let job_millicores = spec.core_ms() * 1_000 / critical_path_ms.max(1);
        let (mut ahead_core_ms, mut backlog_core_ms) =
            self.preceding_core_ms(queue, &self.rounds.backlog);
        let excess = owed_tenant.into_iter();
        let excess = excess.flat_map(|tenant| self.rate_limits.excess.of_others(tenant));
        for excess in excess {
            let (excess_ahead_core_ms, excess_core_ms) = self.preceding_core_ms(queue, excess);
            ahead_core_ms = ahead_core_ms.saturating_sub(excess_ahead_core_ms);
            backlog_core_ms = backlog_core_ms.saturating_sub(excess_core_ms);
        }
        Admission {
            tenant_rejection: None,
            is_promised: false,
            overload_retry_ms: None,
            ahead_core_ms,
            backlog_core_ms,
            capacity_millicores: self.serving_millicores(queue, job_millicores, now),
            deadline_ms,
            useful_ms,
            critical_path_ms,
        }
    }

    /// Of some waiting work, the processor time of what is placed before a new job of a queue as
    /// long as the job can meet its deadline, and of all that is as urgent.
    fn preceding_core_ms(&self, queue: &Queue, backlog: &Backlog) -> (u64, u64) {
        let is_quarantined = self.quarantine.is_quarantined(&queue.name);
        let mut ahead_core_ms = 0;
        let mut backlog_core_ms = 0;
        for other in backlog.queues() {
            let precedes = other.priority <= queue.priority
                && other.service == queue.service
                && self.quarantine.share_workers(&other.queue, &queue.name);
            if !precedes {
                continue;
            }
            backlog_core_ms += other.all_core_ms;
            // The workers of a quarantined queue are often down, and late work of its own is all
            // that it has to place, so a job counts on neither.
            ahead_core_ms += if is_quarantined {
                other.all_core_ms
            } else {
                other.in_time_core_ms
            };
        }
        (ahead_core_ms, backlog_core_ms)
    }
}
