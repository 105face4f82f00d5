//! The decisions of a leader: which task runs where, what workers are told, whom to ask.
//!
//! Inputs are the applied changes of the [`QueueState`], the answers of workers and of the
//! placement policy, and the time. Outputs are [`Action`]s. Nothing here blocks or reads a clock,
//! so a run can be replayed.

mod admission;
mod contact;
mod drain;
mod gangs;
mod health;
mod looks;
mod messages;
mod order;
mod orders;
mod permits;
mod place;
mod policy_clients;
mod preempt;
mod questions;
mod rejections;
mod reserve;
mod rounds;
mod step_permits;
mod steps;
mod waiting;
mod workers;

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::command::QueueCommand;
use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::scheduler::order::Lateness;
use crate::scheduler::order::Rank;
use crate::scheduler::permits::PermitDesk;
use crate::scheduler::rounds::Rounds;
use crate::scheduler::steps::LATE_FACTOR;
use crate::scheduler::steps::StepView;
use crate::scheduler::steps::objective_ms;
use crate::scheduler::waiting::Waits;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::scheduler::workers::Workers;
use crate::spec::SubmittedSpec;
use crate::state::QueueChange;
use crate::state::QueueState;
use crate::table::Queue;
use crate::worker::WorkerRecord;

pub use crate::scheduler::admission::Admission;
pub use crate::scheduler::contact::CLOCK_RATE_MIN_PERCENT;
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
pub use crate::scheduler::waiting::WaitReason;
pub use crate::scheduler::waiting::WaitingStep;

/// Parameters of a [`Scheduler`], the same on every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerConfig {
    /// The term of the leader, which fences orders of earlier leaders.
    pub term: u64,
    /// How long a worker may run tasks without hearing from a leader.
    pub lease_ms: u64,
    /// The longest time in which a worker carries out a stop.
    pub stop_ms: u64,
    /// How long the members of a gang wait for each other.
    pub gang_ms: u64,
    /// After this time a former leader no longer sends orders.
    pub hand_over_ms: u64,
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Propose a command.
    Propose(QueueCommand),
    /// Send an order to a worker.
    Send(WorkerRequest),
    /// Give a question to a caller of the placement policy that waits for one.
    RequestPermits {
        /// The caller.
        client: Arc<str>,
        /// The question.
        request: PermitRequest,
    },
}

/// Counts of events since the last call of [`Scheduler::take_counts`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs given to workers.
    pub starts: u64,
    /// Orders without an answer.
    pub unanswered_requests: u64,
    /// Starts that a worker rejected.
    pub rejected_starts: u64,
    /// Questions to the placement policy.
    pub permit_requests: u64,
    /// Questions that the policy did not accept.
    pub refused_permit_requests: u64,
}

/// The volatile decisions of one leader.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) workers: Workers,
    pub(crate) steps: FxHashMap<StepKey, StepView>,
    /// The number of steps of each live job.
    pub(crate) job_steps: FxHashMap<JobKey, u16>,
    /// The queues of live jobs of which no worker has shown a started task.
    pub(crate) jobs_without_progress: FxHashMap<JobKey, Arc<str>>,
    pub(crate) desk: PermitDesk,
    /// Steps whose question was answered since the last tick.
    pub(crate) answered_steps: Vec<StepKey>,
    /// Workers at which a look may be due.
    pub(crate) look_candidates: Vec<WorkerIndex>,
    pub(crate) actions: Vec<Action>,
    pub(crate) counts: Counts,
    pub(crate) rounds: Rounds,
    pub(crate) surveyed_at: Millis,
    pub(crate) waits: Waits,
}

impl Scheduler {
    /// The decisions over the state as applied by a new leader.
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
            job_steps: FxHashMap::default(),
            jobs_without_progress: FxHashMap::default(),
            desk: PermitDesk::new(config.term),
            answered_steps: Vec::new(),
            look_candidates: Vec::new(),
            actions: Vec::new(),
            counts: Counts::default(),
            rounds: Rounds::new(now),
            surveyed_at: now,
            waits: Waits::default(),
        };
        for worker in state.workers() {
            scheduler.worker_changed(state, &worker.record.id, now);
            scheduler.adopt_runs(state, worker, now);
        }
        for job in state.jobs().filter(|job| !job.phase.has_ended()) {
            let age_ms = unix_ms.saturating_sub(job.accepted_unix_ms);
            scheduler.add_job(state, job.key, now - age_ms, true);
        }
        scheduler.note_adopted();
        scheduler
    }

    /// Follows the changes of one applied command.
    pub fn handle_applied(
        &mut self,
        state: &QueueState,
        command: &QueueCommand,
        changes: &[QueueChange],
        now: Millis,
    ) {
        for change in changes {
            self.follow(state, change, now);
        }
        match command {
            QueueCommand::Start { step, placements } => {
                self.undo_unapplied(state, *step, placements);
            }
            QueueCommand::End { worker, upto, .. } => self.ends_applied(worker, *upto, now),
            QueueCommand::Expire { worker, .. } => self.expiry_applied(worker),
            _ => {}
        }
        self.rounds.is_due |= !changes.is_empty();
    }

    /// A command can never be committed, so what was decided with it is undone.
    pub fn undo_proposal(&mut self, state: &QueueState, command: &QueueCommand) {
        match command {
            QueueCommand::Submit { job, .. } if state.job(*job).is_none() => {
                self.forget_job(*job);
            }
            QueueCommand::Start { step, placements } => {
                self.undo_unapplied(state, *step, placements);
            }
            _ => {}
        }
    }

    fn follow(&mut self, state: &QueueState, change: &QueueChange, now: Millis) {
        match change {
            QueueChange::Table => self.table_changed(state),
            QueueChange::Accepted(job) => self.add_job(state, *job, now, true),
            QueueChange::Ended(job, phase) => self.job_ended(*job, *phase, now),
            QueueChange::Worker(id) => self.worker_changed(state, id, now),
            QueueChange::WorkerRemoved(id) => self.workers.remove(id),
            QueueChange::Started(step, placements) => {
                self.send_starts(state, *step, placements, now);
            }
            QueueChange::RunEnded(worker, task, run, kind) => {
                self.run_over(state, worker, (*task, *run), *kind, now);
            }
            QueueChange::StepChanged(step) => self.step_changed(state, *step),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, state: &QueueState, now: Millis) {
        self.send_due_looks(now);
        if now.since(self.surveyed_at) >= SURVEY_INTERVAL_MS {
            self.surveyed_at = now;
            self.tick_looks(now);
            self.tick_leases(now);
            self.tick_runs(state, now);
            self.tick_permits(now);
        }
        self.tick_placement(state, now);
        if std::mem::take(&mut self.desk.is_dispatch_due) {
            self.dispatch_questions(now);
        }
    }

    /// What is to be done, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The counts since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }

    pub(crate) fn propose(&mut self, command: QueueCommand) {
        self.actions.push(Action::Propose(command));
    }

    pub(crate) fn index(&self, id: &str) -> Option<WorkerIndex> {
        self.workers.index(id)
    }
}

/// Time between two looks through all runs and leases.
const SURVEY_INTERVAL_MS: u64 = 50;

/// What a worker reports of itself, beside its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    /// Rises with each report of one life.
    pub sequence: u64,
    /// While it drains, the least time until it leaves.
    pub remaining_ms: Option<u64>,
}

impl Scheduler {
    /// A worker reported. Returns whether what it says of itself has to be committed.
    pub fn handle_report(
        &mut self,
        record: &WorkerRecord,
        report: WorkerReport,
        now: Millis,
    ) -> bool {
        let Some(worker) = self.workers.by_id_mut(&record.id) else {
            return true;
        };
        worker.reported = now;
        if report.sequence < worker.sequence {
            return false;
        }
        worker.sequence = report.sequence;
        worker.leaves_at = report.remaining_ms.map(|remaining_ms| now + remaining_ms);
        worker.record != *record
    }

    pub(crate) fn worker_changed(&mut self, state: &QueueState, id: &str, now: Millis) {
        let Some(known) = state.worker(id) else {
            return;
        };
        match self.workers.by_id_mut(id) {
            Some(worker) => worker.record = known.record.clone(),
            None => {
                let view = WorkerView::new(known.record.clone(), known.applied_ends, now);
                let index = self.workers.insert(view);
                self.look_candidates.push(index);
            }
        }
    }
}

impl Scheduler {
    /// What a new job of a queue would wait for; `None` if its commit is under way already. A
    /// caller that sends such a job again must not be told that it is refused, since it may run.
    pub fn admission(
        &self,
        key: JobKey,
        queue: &Queue,
        spec: &SubmittedSpec,
        now: Millis,
    ) -> Option<Admission> {
        if self.job_steps.contains_key(&key) {
            return None;
        }
        let workers = self.workers.iter().map(|(_, worker)| worker);
        let serving = workers.filter(|w| *w.record.service == *queue.service);
        let capacity_millicores = serving.map(|w| w.record.capacity.millicores).sum();
        let before = || {
            let views = self.steps.values().filter(|view| {
                view.queue.priority <= queue.priority && *view.queue.service == *queue.service
            });
            views.map(|view| (view, view.waiting_core_ms()))
        };
        let ahead = before().filter(|(view, _)| Rank::of(view, now).lateness == Lateness::InTime);
        let objective_ms = objective_ms(queue, spec);
        Some(Admission {
            ahead_core_ms: ahead.map(|(_, core_ms)| core_ms).sum(),
            backlog_core_ms: before().map(|(_, core_ms)| core_ms).sum(),
            capacity_millicores,
            objective_ms,
            useful_ms: LATE_FACTOR * objective_ms,
            critical_path_ms: spec.critical_path_ms(),
        })
    }
}
