//! The queues on the core thread: calls, the scheduler of the leader, and its actions.
//!
//! Commands of one round are proposed together, so that many submissions share a commit. A call
//! that has an effect is answered when its command is applied; if this member stops leading
//! first, the call ends with an unknown outcome.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use rustc_hash::FxHashMap;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::Member;
use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::MembershipChange;
use sapphirepost_consensus::ProposeError;
use sapphirepost_consensus::Term;
use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::Action;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::Scheduler;
use sapphirepost_queues::SchedulerConfig;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::scheduler::Order;
use sapphirepost_queues::scheduler::OrderError;
use sapphirepost_queues::scheduler::OrderReply;
use sapphirepost_queues::scheduler::PermitRequest;
use sapphirepost_queues::state::QueueChange;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::calls::Reading;
use crate::core::Core;
use crate::event::Event;
use crate::event::EventRing;
use crate::group_size;
use crate::group_size::MemberView;
use crate::queue_metrics::QueueMetrics;

const MILLIS_PER_SECOND: f64 = 1_000.0;
/// How long a caller of the placement policy waits for a question before it asks again.
const QUESTION_WAIT_MS: u64 = 500;
/// A member that is silent for longer counts as dead.
const SILENT_MAX_MS: u64 = 2_500;
/// The most commands in one log entry.
const BATCH_MAX_COMMANDS: usize = 512;

/// How workers are called; the border to what speaks their protocol.
pub trait WorkerGateway: Send {
    /// Sends an order without blocking. `done` gets the answer and may be called on any thread.
    fn send(&self, order: Order, done: OrderDone);
}

/// Takes the answer to an order.
pub type OrderDone = Box<dyn FnOnce(Result<OrderReply, OrderError>) + Send>;

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

type Answer = (Responder<QueueReply>, QueueReply);

/// The queues of one process.
pub(crate) struct Queues {
    parts: Option<QueueParts>,
    ring: EventRing,
    scheduler: Option<Scheduler>,
    batch: Vec<QueueCommand>,
    batch_answers: Vec<Answer>,
    /// Answers that wait for the commit of a log entry.
    committing: VecDeque<(Index, Millis, Vec<Answer>)>,
    /// Callers of the placement policy that wait for a question.
    waiting: FxHashMap<Arc<str>, (Millis, Responder<QueueReply>)>,
    metrics: QueueMetrics,
    /// When jobs were accepted, and whether a task of theirs was placed.
    accepted: FxHashMap<JobKey, (Millis, bool)>,
}

impl Queues {
    pub(crate) fn new(parts: Option<QueueParts>, ring: EventRing, metrics: QueueMetrics) -> Queues {
        Queues {
            parts,
            ring,
            scheduler: None,
            batch: Vec::new(),
            batch_answers: Vec::new(),
            committing: VecDeque::new(),
            waiting: FxHashMap::default(),
            metrics,
            accepted: FxHashMap::default(),
        }
    }

    /// Drops what only a leader has. Calls that wait end with an unknown outcome.
    pub(crate) fn stop_leading(&mut self) {
        self.scheduler = None;
        self.batch.clear();
        self.batch_answers.clear();
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

    fn add(&mut self, command: QueueCommand, answer: Option<Answer>) {
        self.batch.push(command);
        self.batch_answers.extend(answer);
    }
}

impl Core {
    /// A call about queues. Calls that are answered from the state wait until a quorum has
    /// confirmed this leader, where an old state would be a wrong answer.
    pub(crate) fn queue_call(&mut self, now: Millis, call: QueueCall, done: Responder<QueueReply>) {
        if let Err(error) = self.node.ensure_leading(now) {
            return done.send(Err(self.rpc_error(error)));
        }
        if let QueueCall::Join { member, address } = call {
            return self.join(now, member, address, done);
        }
        if self.queues.scheduler.is_none() {
            return done.send(Err(RpcError::Busy));
        }
        match call {
            QueueCall::Caller(request) => self.caller(now, request, done),
            QueueCall::PutTable(table) => self.put_table(table, done),
            QueueCall::GetTable => self.confirm_queue_call(now, QueueCall::GetTable, done),
            QueueCall::Report { record, report } => {
                let scheduler = self.queues.scheduler.as_mut();
                let is_new = scheduler.is_some_and(|s| s.reported(&record, report, now));
                let reply = self.reported();
                if is_new {
                    let command = QueueCommand::PutWorker(Box::new(record));
                    return self.queues.add(command, Some((done, reply)));
                }
                done.send(Ok(reply));
            }
            QueueCall::Left { worker } => {
                let reply = self.reported();
                if self.state.queues().worker(&worker).is_none() {
                    return done.send(Ok(reply));
                }
                let checkpoints = Vec::new();
                let command = QueueCommand::RemoveWorker {
                    worker,
                    checkpoints,
                };
                self.queues.add(command, Some((done, reply)));
            }
            QueueCall::WaitForQuestion { caller, answer } => {
                if let Some(scheduler) = &mut self.queues.scheduler {
                    if let Some(answer) = answer {
                        scheduler.permits_answered(&answer, now);
                    }
                    scheduler.caller_waits(&caller, now);
                    self.queues.waiting.insert(caller, (now, done));
                }
            }
            // Needs no scheduler and is answered above.
            QueueCall::Join { .. } => {}
        }
    }

    fn reported(&self) -> QueueReply {
        let address = self.peers.address(self.node.id(), self.node.membership());
        QueueReply::Reported {
            leader_address: address.unwrap_or_default(),
        }
    }

    fn confirm_queue_call(&mut self, now: Millis, call: QueueCall, done: Responder<QueueReply>) {
        let token = self.calls.read(Reading::Queue(Box::new(call), done));
        self.start_read(now, token);
    }

    /// A call that a quorum has confirmed this leader for.
    pub(crate) fn confirmed_queue_call(&mut self, call: QueueCall, done: Responder<QueueReply>) {
        let reply = match call {
            QueueCall::GetTable => match self.state.queues().table() {
                Some(table) => QueueReply::Table(table.document.clone()),
                None => QueueReply::NoTable,
            },
            QueueCall::Caller(request) => self.read(&request),
            _ => return done.send(Err(RpcError::Invalid("not a read".to_owned()))),
        };
        done.send(Ok(reply));
    }

    /// The answer to a caller from the current state.
    fn read(&self, request: &CallerRequest) -> QueueReply {
        let state = self.state.queues();
        let Some(table) = state.table() else {
            return QueueReply::NoTable;
        };
        let Some(resolved) = table.resolve(&request.host, &request.path) else {
            return QueueReply::NoQueue;
        };
        if resolved.rest.is_empty() && request.action == CallerAction::Read {
            let scheduler = self.queues.scheduler.as_ref();
            let waiting = scheduler.map_or(0, |s| s.waiting_jobs(&resolved.queue.name));
            return QueueReply::Waiting(waiting);
        }
        let Ok(key) = resolved.rest.parse::<JobKey>() else {
            return QueueReply::Invalid("the path names no job".to_owned());
        };
        match state.job(key) {
            Some(job) if job.phase.has_ended() && request.action == CallerAction::Cancel => {
                QueueReply::Cancelled
            }
            Some(job) => QueueReply::Phase(job.phase),
            None => QueueReply::UnknownJob,
        }
    }

    fn caller(&mut self, now: Millis, request: CallerRequest, done: Responder<QueueReply>) {
        let Some((queue, key)) = self.target(&request) else {
            // No queue, a count or a malformed path: the table must be the current one.
            let call = QueueCall::Caller(request);
            return self.confirm_queue_call(now, call, done);
        };
        let phase = self.state.queues().job(key).map(|job| job.phase);
        match (&request.action, phase) {
            (CallerAction::Submit(_), Some(_)) => done.send(Ok(QueueReply::Accepted)),
            (CallerAction::Submit(spec), None) => {
                let spec = Arc::new(spec.clone());
                self.submit(now, key, queue, spec, done);
            }
            (CallerAction::Read, Some(phase)) => done.send(Ok(QueueReply::Phase(phase))),
            (CallerAction::Cancel, Some(phase)) if !phase.has_ended() => {
                log::info!(job:% = key; "cancel proposed");
                self.queues.metrics.cancelled.inc();
                let command = QueueCommand::Cancel { job: key };
                self.queues
                    .add(command, Some((done, QueueReply::Cancelled)));
            }
            _ => self.confirm_queue_call(now, QueueCall::Caller(request), done),
        }
    }

    fn target(&self, request: &CallerRequest) -> Option<(Arc<Queue>, JobKey)> {
        let table = self.state.queues().table()?;
        let resolved = table.resolve(&request.host, &request.path)?;
        let key = resolved.rest.parse().ok()?;
        Some((Arc::new(resolved.queue.clone()), key))
    }

    fn submit(
        &mut self,
        now: Millis,
        key: JobKey,
        queue: Arc<Queue>,
        spec: Arc<SubmittedSpec>,
        done: Responder<QueueReply>,
    ) {
        if let Err(error) = spec.check() {
            return done.send(Ok(QueueReply::Invalid(error.to_string())));
        }
        let Some(scheduler) = &mut self.queues.scheduler else {
            return done.send(Err(RpcError::Busy));
        };
        let admission = scheduler.admission(&queue, &spec);
        if let Some(retry_after_ms) = admission.refusal_ms() {
            log::info!(
                job:% = key, queue = &*queue.name, backlog_core_ms = admission.backlog_core_ms,
                capacity_millicores = admission.capacity_millicores, retry_after_ms;
                "job refused: the backlog is too long"
            );
            self.queues.metrics.refused.inc();
            let reason = "the backlog is too long".to_owned();
            return done.send(Ok(QueueReply::Refused {
                retry_after_ms,
                reason,
            }));
        }
        scheduler.submitted(key, &queue, &spec, now);
        log::info!(job:% = key, queue = &*queue.name, steps = spec.steps.len(); "job proposed");
        let command = QueueCommand::Submit {
            job: key,
            queue,
            spec,
        };
        self.queues.add(command, Some((done, QueueReply::Accepted)));
    }

    fn put_table(&mut self, table: QueueTable, done: Responder<QueueReply>) {
        if let Err(error) = table.check() {
            return done.send(Ok(QueueReply::Invalid(error.to_string())));
        }
        let known = self.state.queues().table().map(|known| known.version);
        if known.is_some_and(|known| known >= table.version) {
            return done.send(Ok(QueueReply::TableInForce));
        }
        log::info!(version = table.version, queues = table.queues.len(); "table proposed");
        let command = QueueCommand::PutTable(Box::new(table));
        self.queues
            .add(command, Some((done, QueueReply::TableInForce)));
    }

    /// Adds a member, after one with the same address is removed: a process that lost its disk
    /// returns under a new identity at the old address.
    fn join(
        &mut self,
        now: Millis,
        member: MemberId,
        address: String,
        done: Responder<QueueReply>,
    ) {
        let members = &self.node.membership().members;
        if let Some(known) = members
            .get(&member)
            .filter(|known| known.address == address)
        {
            let is_voter = known.role == MemberRole::Voter;
            return done.send(Ok(QueueReply::Joining { is_voter }));
        }
        let former = members
            .iter()
            .find(|(id, known)| known.address == address || **id == member);
        let change = match former {
            Some((former, _)) => MembershipChange::Remove { member: *former },
            None => MembershipChange::Add {
                member,
                address: address.clone(),
                promote: false,
            },
        };
        match self.node.propose_membership(now, change.clone()) {
            Ok(_) => {
                log::info!(member:%, address, change:?; "member joins");
                done.send(Ok(QueueReply::Joining { is_voter: false }));
            }
            Err(ProposeError::Membership(error)) => {
                done.send(Ok(QueueReply::Invalid(error.to_string())));
            }
            Err(error) => done.send(Err(self.rpc_error(error))),
        }
    }

    /// Gives votes to the right members, one change at a time.
    fn adjust_voters(&mut self, now: Millis) {
        let own = self.node.id();
        let members = self.node.membership().members.iter();
        let view = |(id, member): (&MemberId, &Member)| {
            let progress = self.node.member_progress(*id);
            let silent_ms = progress.and_then(|progress| progress.silent_ms);
            MemberView {
                id: *id,
                is_voter: member.role == MemberRole::Voter,
                is_live: *id == own || silent_ms.is_some_and(|ms| ms <= SILENT_MAX_MS),
                is_self: *id == own,
            }
        };
        let members: Vec<MemberView> = members.map(view).collect();
        let Some(change) = group_size::next_change(&members) else {
            return;
        };
        // A change that is refused now, for instance since a member has not caught up, is
        // proposed again.
        if self.node.propose_membership(now, change.clone()).is_ok() {
            log::info!(change:?, members = members.len(); "voters change");
        }
    }

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
                scheduler.applied(self.state.queues(), command, changes, now);
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
        order: &Order,
        result: Result<OrderReply, OrderError>,
    ) {
        let Some(scheduler) = &mut self.queues.scheduler else {
            return;
        };
        let was_reachable = scheduler.is_reachable(&order.worker);
        let error = result.as_ref().err().copied();
        scheduler.answered(self.state.queues(), order, result, now);
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
            Action::Order(order) => self.send_order(order),
            Action::Ask { caller, request } => self.send_question(&caller, request),
        }
    }

    fn send_order(&mut self, order: Order) {
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
                scheduler.caller_gone(&caller);
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
        while !self.queues.batch.is_empty() {
            let count = self.queues.batch.len().min(BATCH_MAX_COMMANDS);
            let is_whole = count == self.queues.batch.len();
            let commands: Vec<QueueCommand> = self.queues.batch.drain(..count).collect();
            let state_unix_ms = self.state.clock_unix_ms();
            let unix_ms = self.cluster_clock.unix_ms(&*self.clock, state_unix_ms);
            let command = Command {
                at_unix_ms: unix_ms.max(state_unix_ms),
                request: Request::Queues(commands),
            };
            let Ok(bytes) = serde_json::to_vec(&command) else {
                log::error!("a queue command cannot be encoded");
                continue;
            };
            match self.node.propose(self.clock.now(), Bytes::from(bytes)) {
                Ok(index) => {
                    self.metrics.proposals.inc();
                    // The answers wait for the last part of the round.
                    if is_whole {
                        let answers = std::mem::take(&mut self.queues.batch_answers);
                        let now = self.clock.now();
                        self.queues.committing.push_back((index, now, answers));
                    }
                }
                Err(ProposeError::Busy) => {
                    let Request::Queues(mut commands) = command.request else {
                        return;
                    };
                    commands.append(&mut self.queues.batch);
                    self.queues.batch = commands;
                    return;
                }
                Err(error) => {
                    log::warn!(error:%; "queue commands are not proposed");
                    return;
                }
            }
        }
    }
}

fn log_change(change: &QueueChange, index: Index) {
    match change {
        QueueChange::Table => log::info!(index; "table in force"),
        QueueChange::Accepted(job) => log::info!(job:%, index; "job accepted"),
        QueueChange::Ended(job, phase) => log::info!(job:%, phase:?, index; "job ended"),
        QueueChange::Worker(worker) => log::info!(worker = &**worker, index; "worker known"),
        QueueChange::WorkerGone(worker) => log::info!(worker = &**worker, index; "worker gone"),
        QueueChange::Started(step, placements) => {
            for placement in placements {
                log::info!(
                    task:% = step.task(placement.index), run = placement.run,
                    worker = &*placement.worker, index; "task placed"
                );
            }
        }
        QueueChange::RunOver(worker, task, run, kind) => {
            log::info!(task:%, run, worker = &**worker, end:? = kind, index; "run over");
        }
        QueueChange::StepChanged(_) => {}
    }
}
