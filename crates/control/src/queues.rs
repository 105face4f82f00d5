//! The queues on the core thread: the scheduler of the leader and its actions.
//!
//! Commands of one round are proposed together, so that many submissions share a commit. A call
//! that has an effect is answered when its command is applied; if this member stops leading
//! first, the call ends with an unknown outcome.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use rustc_hash::FxHashMap;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::ProposeError;
use sapphirepost_consensus::Term;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::Action;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::Scheduler;
use sapphirepost_queues::SchedulerConfig;
use sapphirepost_queues::scheduler::PermitRequest;
use sapphirepost_queues::scheduler::WaitingStep;
use sapphirepost_queues::scheduler::WorkerReply;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_queues::state::QueueChange;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_types::Millis;

use crate::core::Core;
use crate::event::Event;
use crate::event::EventRing;
use crate::queue_metrics::QueueMetrics;

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// How long a caller of the placement policy waits for a question before it asks again.
const QUESTION_WAIT_MS: u64 = 500;
/// Time between two surveys of steps that make no progress.
const SURVEY_INTERVAL_MS: u64 = 1_000;
/// The most commands in one log entry.
const BATCH_MAX_COMMANDS: usize = 512;

/// How workers are called; the border to what speaks their protocol.
pub trait WorkerGateway: Send {
    /// Sends an order without blocking. `done` gets the answer and may be called on any thread.
    fn send(&self, order: WorkerRequest, done: WorkerReplyCallback);
}

/// Takes the answer to an order.
pub type WorkerReplyCallback = Box<dyn FnOnce(Result<WorkerReply, WorkerRequestError>) + Send>;

/// Times of the workers' protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueTiming {
    /// How long a worker may run tasks without hearing from a leader.
    pub lease_ms: u64,
    /// The longest time in which a worker carries out a stop.
    pub stop_ms: u64,
    /// How long the members of a gang wait for each other.
    pub gang_ms: u64,
}

/// A worker gateway and its times.
pub struct QueueParts {
    /// How workers are called.
    pub gateway: Box<dyn WorkerGateway>,
    /// Times of their protocol.
    pub timing: QueueTiming,
}

/// The reply to a call once its command is applied.
type Answer = (Responder<QueueReply>, QueueReply);

/// A command that is to be committed.
pub(crate) struct Proposal {
    command: QueueCommand,
    answer: Option<Answer>,
}

/// The queues of one process.
pub(crate) struct Queues {
    pub(crate) parts: Option<QueueParts>,
    pub(crate) ring: EventRing,
    pub(crate) scheduler: Option<Scheduler>,
    /// What is proposed next, in order.
    batch: VecDeque<Proposal>,
    /// Answers that wait for the commit of a log entry.
    pub(crate) committing: VecDeque<(Index, Millis, Vec<Answer>)>,
    /// Callers of the placement policy that wait for a question.
    pub(crate) waiting: FxHashMap<Arc<str>, (Millis, Responder<QueueReply>)>,
    pub(crate) metrics: QueueMetrics,
    /// When jobs were accepted, and whether a task of theirs was placed.
    accepted: FxHashMap<JobKey, (Millis, bool)>,
    /// When steps without progress were looked for last.
    surveyed: Millis,
}

impl Queues {
    pub(crate) fn new(parts: Option<QueueParts>, ring: EventRing, metrics: QueueMetrics) -> Queues {
        Queues {
            parts,
            ring,
            scheduler: None,
            batch: VecDeque::new(),
            committing: VecDeque::new(),
            waiting: FxHashMap::default(),
            metrics,
            accepted: FxHashMap::default(),
            surveyed: Millis::ZERO,
        }
    }

    /// Drops what only a leader has. Calls that wait end with an unknown outcome.
    pub(crate) fn stop_leading(&mut self) {
        self.scheduler = None;
        self.batch.clear();
        self.committing.clear();
        self.waiting.clear();
        self.accepted.clear();
    }

    /// Notes the times of jobs.
    fn measure(&mut self, change: &QueueChange, now: Millis) {
        let seconds = |since: Millis| now.since(since) as f64 / MILLIS_PER_SECOND;
        match change {
            QueueChange::Accepted(job) => {
                self.metrics.accepted.inc();
                self.accepted.insert(*job, (now, false));
            }
            QueueChange::Started(step, _) => {
                if let Some((accepted, is_started)) = self.accepted.get_mut(&step.job)
                    && !*is_started
                {
                    *is_started = true;
                    self.metrics.first_start_seconds.observe(seconds(*accepted));
                }
            }
            QueueChange::Ended(job, _) => {
                self.metrics.ended.inc();
                if let Some((accepted, _)) = self.accepted.remove(job) {
                    self.metrics.job_seconds.observe(seconds(accepted));
                }
            }
            _ => {}
        }
    }

    pub(crate) fn add(&mut self, command: QueueCommand, answer: Option<Answer>) {
        self.batch.push_back(Proposal { command, answer });
    }

    /// Puts proposals back in front of the others.
    fn put_back(&mut self, commands: Vec<QueueCommand>, answers: Vec<Option<Answer>>) {
        let proposals = commands.into_iter().zip(answers);
        for (command, answer) in proposals.rev() {
            self.batch.push_front(Proposal { command, answer });
        }
    }
}

impl Core {
    /// Starts the scheduler of a term.
    pub(crate) fn start_queues(&mut self, now: Millis, term: Term, unix_ms: u64) {
        let Some(parts) = &self.queues.parts else {
            return;
        };
        let config = SchedulerConfig {
            term,
            lease_ms: parts.timing.lease_ms,
            stop_ms: parts.timing.stop_ms,
            gang_ms: parts.timing.gang_ms,
            hand_over_ms: 2 * self.leading.election_timeout_ms,
        };
        let scheduler = Scheduler::new(config, self.state.queues(), now, unix_ms);
        self.queues.scheduler = Some(scheduler);
    }

    /// Follows an applied entry with queue commands.
    pub(crate) fn queues_applied(&mut self, index: Index, commands: &[QueueCommand]) {
        let changes: Vec<Vec<QueueChange>> = self.state.take_queue_changes();
        let now = self.clock.now();
        // Followers and members that read their log again decide nothing and log nothing.
        if let Some(scheduler) = &mut self.queues.scheduler {
            for (command, changes) in commands.iter().zip(&changes) {
                scheduler.handle_applied(self.state.queues(), command, changes, now);
            }
            for change in changes.iter().flatten() {
                log_change(change, index);
                self.queues.measure(change, now);
            }
        }
        while let Some((at, ..)) = self.queues.committing.front() {
            if *at > index {
                break;
            }
            let Some((_, proposed, answers)) = self.queues.committing.pop_front() else {
                break;
            };
            let seconds = now.since(proposed) as f64 / MILLIS_PER_SECOND;
            self.queues.metrics.commit_seconds.observe(seconds);
            for (done, reply) in answers {
                done.send(Ok(reply));
            }
        }
    }

    /// The answer to an order.
    pub(crate) fn order_answered(
        &mut self,
        now: Millis,
        order: &WorkerRequest,
        result: Result<WorkerReply, WorkerRequestError>,
    ) {
        let Some(scheduler) = &mut self.queues.scheduler else {
            return;
        };
        let was_reachable = scheduler.is_reachable(&order.worker);
        let error = result.as_ref().err().copied();
        scheduler.handle_reply(self.state.queues(), order, result, now);
        let is_reachable = scheduler.is_reachable(&order.worker);
        if was_reachable && !is_reachable {
            let sent_ms_ago = now.since(order.sent);
            log::info!(worker = &*order.worker, error:?, sent_ms_ago; "worker silent");
        } else if is_reachable && !was_reachable {
            log::info!(worker = &*order.worker; "worker answers");
        }
    }

    /// Lets the scheduler do what is due, and carries out its actions.
    pub(crate) fn tick_queues(&mut self) {
        let now = self.clock.now();
        if self.queues.scheduler.is_none() {
            return;
        }
        self.release_idle_callers(now);
        self.adjust_voters(now);
        let Some(scheduler) = &mut self.queues.scheduler else {
            return;
        };
        scheduler.tick(self.state.queues(), now);
        if now.since(self.queues.surveyed) >= SURVEY_INTERVAL_MS {
            self.queues.surveyed = now;
            scheduler
                .find_waiting_steps(now)
                .iter()
                .for_each(log_waiting);
        }
        let actions = scheduler.take_actions();
        self.queues.metrics.add(scheduler.take_counts());
        let waiting = self.queues.waiting.len() as i64;
        self.queues.metrics.callers_waiting.set(waiting);
        if actions.is_empty() || self.node.ensure_leading(self.clock.now()).is_err() {
            return;
        }
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Propose(command) => self.queues.add(command, None),
            Action::Send(order) => self.send_order(order),
            Action::RequestPermits { client, request } => self.send_question(&client, request),
        }
    }

    fn send_order(&mut self, order: WorkerRequest) {
        let Some(parts) = &self.queues.parts else {
            return;
        };
        let ring = self.queues.ring.clone();
        let sent = order.clone();
        let done = move |result| {
            ring.required(Event::OrderAnswered(Box::new(sent), result));
        };
        parts.gateway.send(order, Box::new(done));
    }

    fn send_question(&mut self, caller: &str, request: PermitRequest) {
        if let Some((_, done)) = self.queues.waiting.remove(caller) {
            let members = self.member_addresses();
            done.send(Ok(QueueReply::Question {
                request: Some(request),
                members,
            }));
        }
    }

    fn member_addresses(&self) -> Vec<String> {
        let members = self.node.membership().members.values();
        members.map(|member| member.address.clone()).collect()
    }

    /// Answers callers of the placement policy that have waited long, so that a caller whose
    /// connection is gone is noticed.
    fn release_idle_callers(&mut self, now: Millis) {
        let idle: Vec<Arc<str>> = self
            .queues
            .waiting
            .iter()
            .filter(|(_, (since, done))| {
                now.since(*since) >= QUESTION_WAIT_MS || done.is_abandoned()
            })
            .map(|(caller, _)| caller.clone())
            .collect();
        for caller in idle {
            if let Some(scheduler) = &mut self.queues.scheduler {
                scheduler.policy_client_gone(&caller);
            }
            let members = self.member_addresses();
            if let Some((_, done)) = self.queues.waiting.remove(&caller) {
                done.send(Ok(QueueReply::Question {
                    request: None,
                    members,
                }));
            }
        }
    }

    /// Proposes the commands of this round.
    pub(crate) fn propose_queues(&mut self) {
        let mut count_max = BATCH_MAX_COMMANDS;
        while !self.queues.batch.is_empty() {
            let count = self.queues.batch.len().min(count_max);
            let proposals = self.queues.batch.drain(..count);
            let (commands, answers): (Vec<_>, Vec<_>) =
                proposals.map(|p| (p.command, p.answer)).unzip();
            let (commands, result) = self.propose_commands(commands);
            match result {
                Ok(index) => {
                    self.metrics.proposals.inc();
                    let now = self.clock.now();
                    let answers = answers.into_iter().flatten().collect();
                    self.queues.committing.push_back((index, now, answers));
                }
                Err(ProposeError::TooLarge(_)) if count > 1 => {
                    self.queues.put_back(commands, answers);
                    count_max = count / 2;
                }
                Err(error @ ProposeError::TooLarge(_)) => {
                    self.refuse_commands(&commands, answers, &error);
                }
                Err(ProposeError::Busy) => {
                    self.queues.put_back(commands, answers);
                    return;
                }
                Err(error) => {
                    log::warn!(error:%; "queue commands are not proposed");
                    return;
                }
            }
        }
    }

    /// Proposes commands as one entry of the log, and returns them.
    fn propose_commands(
        &mut self,
        commands: Vec<QueueCommand>,
    ) -> (Vec<QueueCommand>, Result<Index, ProposeError>) {
        let state_unix_ms = self.state.clock_unix_ms();
        let unix_ms = self.cluster_clock.unix_ms(&*self.clock, state_unix_ms);
        let command = Command {
            at_unix_ms: unix_ms.max(state_unix_ms),
            request: Request::Queues(commands),
        };
        let bytes = serde_json::to_vec(&command);
        let Request::Queues(commands) = command.request else {
            unreachable!("the request was made above");
        };
        let result = match bytes {
            Ok(bytes) => self.node.propose(self.clock.now(), Bytes::from(bytes)),
            Err(error) => {
                log::error!(error:%; "queue commands cannot be encoded");
                // Smaller parts leave only the command at fault behind.
                Err(ProposeError::TooLarge(usize::MAX))
            }
        };
        (commands, result)
    }

    /// Ends calls whose commands never fit into an entry of the log.
    fn refuse_commands(
        &mut self,
        commands: &[QueueCommand],
        answers: Vec<Option<Answer>>,
        error: &ProposeError,
    ) {
        log::error!(error:%; "a queue command is refused");
        for command in commands {
            if let Some(scheduler) = &mut self.queues.scheduler {
                scheduler.undo_proposal(self.state.queues(), command);
            }
        }
        for (done, _) in answers.into_iter().flatten() {
            done.send(Ok(QueueReply::Invalid(error.to_string())));
        }
    }
}

fn log_waiting(waiting: &WaitingStep) {
    log::info!(
        step:% = waiting.step, tasks = waiting.tasks, waits_ms = waiting.waits_ms,
        reason:? = waiting.reason, is_asking = waiting.is_asking,
        workers_with_room = waiting.workers_with_room; "step waits"
    );
}

fn log_change(change: &QueueChange, index: Index) {
    match change {
        QueueChange::Table => log::info!(index; "table in force"),
        QueueChange::Accepted(job) => log::info!(job:%, index; "job accepted"),
        QueueChange::Ended(job, phase) => log::info!(job:%, phase:?, index; "job ended"),
        QueueChange::Worker(worker) => log::info!(worker = &**worker, index; "worker known"),
        QueueChange::WorkerRemoved(worker) => log::info!(worker = &**worker, index; "worker gone"),
        QueueChange::Started(step, placements) => {
            for placement in placements {
                log::info!(
                    task:% = step.task(placement.index), run = placement.run,
                    worker = &*placement.worker, index; "task placed"
                );
            }
        }
        QueueChange::RunEnded(worker, task, run, kind) => {
            log::info!(task:%, run, worker = &**worker, end:? = kind, index; "run over");
        }
        QueueChange::StepChanged(_) => {}
    }
}
