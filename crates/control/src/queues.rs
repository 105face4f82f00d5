//! Runs the leader's queue scheduler on the core thread and carries out its actions.
//!
//! Commands of one round are proposed together, so that many submissions share a commit, and while
//! a commit is in progress further ones are collected for a short time. A call
//! that has an effect is answered when its command is applied; if this member stops leading
//! first, the call ends with an unknown outcome.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use rustc_hash::FxHashMap;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::ProposeError;
use sapphirepost_consensus::Term;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::Action;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobTenant;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::Scheduler;
use sapphirepost_queues::SchedulerConfig;
use sapphirepost_queues::scheduler::PermitRequest;
use sapphirepost_queues::scheduler::WorkerReply;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_queues::state::QueueChange;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_types::Millis;

use crate::commit_path::Hop;
use crate::core::Core;
use crate::event::Event;
use crate::event::EventSender;
use crate::incarnation_log;
use crate::placement_load;
use crate::queue_log;
use crate::queue_metrics::MILLIS_PER_SECOND;
use crate::queue_metrics::QueueMetrics;

/// How long the poll of a policy client waits for a permit request before it is answered without
/// one.
const PERMIT_REQUEST_WAIT_MS: u64 = 500;
/// Time between two log reports of steps that make no progress and of runs of ended jobs.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// The most commands in one log entry.
const BATCH_MAX_COMMANDS: usize = 512;
/// While an entry is being committed, the next one follows this long after it at the earliest. It
/// shares the sync of the disks with the commands that come meanwhile, which costs less than a sync
/// takes, and each entry costs a message and a reply for every member.
const PROPOSAL_INTERVAL_MS: u64 = 6;

/// A write to the own disk that takes longer than this is delayed by the disk, and not by a lack of
/// processor time.
const WRITE_MAX_MS: u64 = 40;

/// Sends requests to workers in their own protocol; implemented by the embedding program.
pub trait WorkerGateway: Send {
    /// Sends a request without blocking. `done` receives the reply and may be called on any thread;
    /// it blocks while the channel to the core thread is full.
    fn send(&self, request: WorkerRequest, done: WorkerReplyCallback);
}

/// Receives the reply to a request to a worker, or why there is none.
pub type WorkerReplyCallback = Box<dyn FnOnce(Result<WorkerReply, WorkerRequestError>) + Send>;

/// Time limits in milliseconds for the workers, and what remote data costs; they must be the same
/// on every member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTiming {
    /// How long a worker may run tasks without hearing from a leader, on the worker's clock.
    pub lease_ms: u64,
    /// The longest lease that a worker grants, whatever a request asks for.
    pub lease_max_ms: u64,
    /// The longest time a worker takes to carry out a stop.
    pub stop_ms: u64,
    /// How long the tasks of a gang wait for each other before they end as incomplete.
    pub gang_ms: u64,
    /// How many times as long a task takes that is remote from its data; 1 if that makes no
    /// difference.
    pub remote_factor: f64,
}

/// What an embedding program provides so that this process schedules queues.
pub struct QueueParts {
    /// Sends the scheduler's requests to workers.
    pub gateway: Box<dyn WorkerGateway>,
    /// Time limits for the workers that the gateway reaches.
    pub timing: QueueTiming,
}

/// The responder of a call, and the reply to send once the call's command is applied.
type Answer = (Responder<QueueReply>, QueueReply);

/// A command to propose, and the answer that waits for it.
pub(crate) struct Proposal {
    command: QueueCommand,
    answer: Option<Answer>,
    queued_at: Instant,
}

/// The queue scheduler of this process, and the calls that wait for it.
pub(crate) struct Queues {
    pub(crate) parts: Option<QueueParts>,
    pub(crate) event_sender: EventSender,
    pub(crate) scheduler: Option<Scheduler>,
    /// The commands to propose next, in order.
    batch: VecDeque<Proposal>,
    /// Whether the consensus node was busy when commands were last proposed.
    is_node_busy: bool,
    /// For each proposed log entry: its index, when it was proposed, and the answers to send when
    /// it is applied.
    pub(crate) pending_answers: VecDeque<(Index, Millis, Vec<Answer>)>,
    /// The jobs whose submission is proposed and not applied yet, with their tenants. They may run
    /// later, so they are not unknown.
    pub(crate) submitting: FxHashMap<JobKey, Option<Arc<JobTenant>>>,
    /// The policy clients whose polls wait for a permit request, and since when.
    pub(crate) policy_clients: FxHashMap<Arc<str>, (Millis, Responder<QueueReply>)>,
    pub(crate) metrics: QueueMetrics,
    /// The active jobs that were accepted in this term: when, and whether a task of the job was
    /// placed.
    accepted: FxHashMap<JobKey, (Millis, bool)>,
    /// When the steps without progress and the runs of ended jobs were last logged.
    reported_at: Millis,
}

impl Queues {
    pub(crate) fn new(
        parts: Option<QueueParts>,
        event_sender: EventSender,
        metrics: QueueMetrics,
    ) -> Queues {
        Queues {
            parts,
            event_sender,
            scheduler: None,
            batch: VecDeque::new(),
            is_node_busy: false,
            pending_answers: VecDeque::new(),
            submitting: FxHashMap::default(),
            policy_clients: FxHashMap::default(),
            metrics,
            accepted: FxHashMap::default(),
            reported_at: Millis::ZERO,
        }
    }

    /// Drops the state of the leadership. Calls that wait end with an unknown outcome.
    pub(crate) fn stop_leading(&mut self) {
        self.scheduler = None;
        self.batch.clear();
        self.pending_answers.clear();
        self.submitting.clear();
        self.policy_clients.clear();
        self.accepted.clear();
        self.metrics.ended_job_runs.set(0);
        self.metrics.tenants.stop_leading();
    }

    /// The time until the collected commands are to be proposed; `None` if there are none.
    pub(crate) fn proposal_due_ms(&self, now: Millis) -> Option<u64> {
        if self.batch.is_empty() {
            return None;
        }
        let newest = self.pending_answers.back();
        Some(newest.map_or(0, |(_, proposed, _)| {
            PROPOSAL_INTERVAL_MS.saturating_sub(now.since(*proposed))
        }))
    }

    /// How long the core thread may wait before it proposes the collected commands; `None` if there
    /// are none, or if the consensus node has refused them as busy, which the next tick tries again.
    pub(crate) fn proposal_wait_ms(&self, now: Millis) -> Option<u64> {
        let due_ms = self.proposal_due_ms(now)?;
        (!self.is_node_busy).then_some(due_ms.max(1))
    }

    /// The number of workers that this member schedules; 0 unless it leads.
    pub(crate) fn workers(&self) -> usize {
        let scheduler = self.scheduler.as_ref();
        scheduler.map_or(0, Scheduler::worker_count)
    }

    /// How long ago the oldest entry in progress was proposed.
    fn commit_in_progress_ms(&self, now: Millis) -> u64 {
        let oldest = self.pending_answers.front();
        oldest.map_or(0, |(_, proposed, _)| now.since(*proposed))
    }

    /// Counts accepted and ended jobs, and records the waits of steps and the times of jobs to the
    /// first placement and to the end.
    fn record_change(&mut self, change: &QueueChange, now: Millis) {
        let seconds = |since: Millis| now.since(since) as f64 / MILLIS_PER_SECOND;
        match change {
            QueueChange::Accepted(job) => {
                self.metrics.accepted.inc();
                self.accepted.insert(*job, (now, false));
            }
            QueueChange::Started(step, placements) => {
                if let Some(scheduler) = &self.scheduler {
                    let wait_ms = scheduler.last_wait_ms(*step);
                    let tasks = placements.len();
                    self.metrics.observe_step_wait(tasks, wait_ms);
                }
                if let Some((accepted, is_started)) = self.accepted.get_mut(&step.job)
                    && !*is_started
                {
                    *is_started = true;
                    self.metrics.first_start_seconds.observe(seconds(*accepted));
                }
            }
            QueueChange::WorkerRestarted(_) => {
                self.metrics.worker_restarts.inc();
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
        self.batch.push_back(Proposal {
            command,
            answer,
            queued_at: Instant::now(),
        });
    }

    /// Records that a command is applied, or refused for good.
    fn command_ended(&mut self, command: &QueueCommand) {
        if let QueueCommand::Submit { job, .. } = command {
            self.submitting.remove(job);
        }
    }

    /// Returns proposals to the front of the batch.
    fn put_back(&mut self, commands: Vec<QueueCommand>, answers: Vec<Option<Answer>>) {
        let proposals = commands.into_iter().zip(answers);
        for (command, answer) in proposals.rev() {
            self.batch.push_front(Proposal {
                command,
                answer,
                queued_at: Instant::now(),
            });
        }
    }
}

impl Core {
    /// Starts the scheduler of a term, if an embedding program has provided [`QueueParts`].
    pub(crate) fn start_queues(&mut self, now: Millis, term: Term, unix_ms: u64) {
        let Some(parts) = &self.queues.parts else {
            return;
        };
        let config = SchedulerConfig {
            term,
            lease_ms: parts.timing.lease_ms,
            lease_max_ms: parts.timing.lease_max_ms,
            stop_ms: parts.timing.stop_ms,
            gang_ms: parts.timing.gang_ms,
            remote_factor: parts.timing.remote_factor,
            hand_over_ms: 2 * self.leader_settings.election_timeout_ms,
        };
        let scheduler = Scheduler::new(config, self.state.queues(), now, unix_ms);
        queue_log::log_adopted(&scheduler.adopted_runs());
        self.queues.reported_at = now;
        self.queues.scheduler = Some(scheduler);
    }

    /// Informs the scheduler of an applied entry with queue commands, and answers the calls that
    /// waited for it.
    pub(crate) fn handle_applied_queue_commands(
        &mut self,
        index: Index,
        commands: &[QueueCommand],
    ) {
        let changes: Vec<Vec<QueueChange>> = self.state.take_queue_changes();
        let now = self.clock.now();
        for command in commands {
            self.queues.command_ended(command);
        }
        if let Some(table) = self.state.queues().table()
            && changes.iter().flatten().any(|c| *c == QueueChange::Table)
        {
            let tenants = &mut self.queues.metrics.tenants;
            tenants.retain(|name| table.tenant(name).is_some());
        }
        // Followers and members that replay their log have no scheduler and log nothing.
        if let Some(scheduler) = &mut self.queues.scheduler {
            for (command, changes) in commands.iter().zip(&changes) {
                scheduler.handle_applied(self.state.queues(), command, changes, now);
            }
            for change in changes.iter().flatten() {
                queue_log::log_change(change, index, scheduler, self.state.queues());
            }
            let lost = scheduler.take_written_off_runs();
            lost.iter().for_each(queue_log::log_written_off_run);
            for change in changes.iter().flatten() {
                self.queues.record_change(change, now);
            }
        }
        while let Some((at, ..)) = self.queues.pending_answers.front() {
            if *at > index {
                break;
            }
            let Some((_, proposed, answers)) = self.queues.pending_answers.pop_front() else {
                break;
            };
            let took_ms = now.since(proposed);
            let seconds = took_ms as f64 / MILLIS_PER_SECOND;
            self.queues.metrics.commit_seconds.observe(seconds);
            if let Some(scheduler) = &mut self.queues.scheduler {
                let slow_disk_ms = self
                    .commit_path
                    .last_write_ms()
                    .saturating_sub(WRITE_MAX_MS);
                scheduler.record_commit(took_ms.saturating_sub(slow_disk_ms), now);
            }
            for (done, reply) in answers {
                done.send(Ok(reply));
            }
        }
    }

    /// Handles the reply to a request to a worker.
    pub(crate) fn handle_worker_reply(
        &mut self,
        now: Millis,
        request: &WorkerRequest,
        result: Result<WorkerReply, WorkerRequestError>,
    ) {
        let Some(scheduler) = &mut self.queues.scheduler else {
            return;
        };
        let was_reachable = scheduler.is_reachable(&request.worker);
        incarnation_log::log_reply(scheduler, request, &result);
        let error = result.as_ref().err().copied();
        scheduler.handle_reply(self.state.queues(), request, result, now);
        let is_reachable = scheduler.is_reachable(&request.worker);
        if was_reachable && !is_reachable {
            let sent_ms_ago = now.since(request.sent);
            log::info!(worker = &*request.worker, error:?, sent_ms_ago; "worker silent");
        } else if is_reachable && !was_reachable {
            log::info!(worker = &*request.worker; "worker answers");
        }
    }

    /// Answers the polls that have waited long enough, adjusts the voters, ticks the scheduler and
    /// carries out its actions. Does nothing without a scheduler, so a program that provides no
    /// [`QueueParts`] never adjusts the voters.
    pub(crate) fn tick_queues(&mut self) {
        let now = self.clock.now();
        if self.queues.scheduler.is_none() {
            return;
        }
        self.release_idle_policy_clients(now);
        self.adjust_voters(now);
        let commit_in_progress_ms = self.queues.commit_in_progress_ms(now);
        let Some(scheduler) = &mut self.queues.scheduler else {
            return;
        };
        scheduler.record_commit_in_progress(commit_in_progress_ms);
        scheduler.tick(self.state.queues(), now);
        scheduler.record_tick_time(self.clock.now().since(now));
        let quarantine_changes = scheduler.take_quarantine_changes();
        quarantine_changes
            .iter()
            .for_each(queue_log::log_quarantine);
        let quarantined = scheduler.quarantined_queues() as i64;
        self.queues.metrics.quarantined_queues.set(quarantined);
        if now.since(self.queues.reported_at) >= REPORT_INTERVAL_MS {
            let interval_ms = now.since(self.queues.reported_at);
            self.queues.reported_at = now;
            let placement = scheduler.take_placement_counts();
            let admitted_permille = scheduler.admitted_permille();
            placement_load::log(&placement, interval_ms, admitted_permille);
            self.queues.metrics.add_placement(&placement);
            let waiting = scheduler.find_waiting_steps(now);
            waiting.iter().for_each(queue_log::log_waiting);
            let ended = scheduler.find_ended_job_runs(now);
            ended.longest.iter().for_each(queue_log::log_ended_job_run);
            self.queues.metrics.ended_job_runs.set(ended.count as i64);
            let tenants = scheduler.tenant_statuses(self.state.queues());
            self.queues.metrics.tenants.set(&tenants);
        }
        let actions = scheduler.take_actions();
        self.queues.metrics.add_counts(scheduler.take_counts());
        let waiting = self.queues.policy_clients.len() as i64;
        self.queues.metrics.policy_clients_waiting.set(waiting);
        if actions.is_empty() || self.node.ensure_leading(self.clock.now()).is_err() {
            return;
        }
        for action in actions {
            self.perform_action(action);
        }
    }

    fn perform_action(&mut self, action: Action) {
        match action {
            Action::Propose(command) => self.queues.add(command, None),
            Action::Send(request) => self.send_worker_request(request),
            Action::RequestPermits { client, request } => {
                self.send_permit_request(&client, request)
            }
        }
    }

    fn send_worker_request(&mut self, request: WorkerRequest) {
        let Some(parts) = &self.queues.parts else {
            return;
        };
        let event_sender = self.queues.event_sender.clone();
        let sent = request.clone();
        let done = move |result| {
            event_sender.send_blocking(Event::WorkerReplied(Box::new(sent), result));
        };
        parts.gateway.send(request, Box::new(done));
    }

    fn send_permit_request(&mut self, client: &str, request: PermitRequest) {
        if let Some((_, done)) = self.queues.policy_clients.remove(client) {
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

    /// Answers the polls of policy clients that have waited for [`PERMIT_REQUEST_WAIT_MS`] or whose
    /// connection is gone, and tells the scheduler, so that it sends no permit request to a client
    /// that does not poll.
    fn release_idle_policy_clients(&mut self, now: Millis) {
        let idle: Vec<Arc<str>> = self
            .queues
            .policy_clients
            .iter()
            .filter(|(_, (since, done))| {
                now.since(*since) >= PERMIT_REQUEST_WAIT_MS || done.is_abandoned()
            })
            .map(|(client, _)| client.clone())
            .collect();
        for client in idle {
            if let Some(scheduler) = &mut self.queues.scheduler {
                scheduler.policy_client_gone(&client);
            }
            let members = self.member_addresses();
            if let Some((_, done)) = self.queues.policy_clients.remove(&client) {
                done.send(Ok(QueueReply::Question {
                    request: None,
                    members,
                }));
            }
        }
    }

    /// Proposes the queued commands in batches; a batch that is too large for a log entry is split.
    /// While the consensus node is busy, the remaining commands stay queued. While a commit is in
    /// progress, they stay queued for [`PROPOSAL_INTERVAL_MS`].
    pub(crate) fn propose_queues(&mut self) {
        let due_ms = self.queues.proposal_due_ms(self.clock.now());
        if due_ms.is_none_or(|due_ms| due_ms > 0) && self.queues.batch.len() < BATCH_MAX_COMMANDS {
            return;
        }
        let mut count_max = BATCH_MAX_COMMANDS;
        while !self.queues.batch.is_empty() {
            let count = self.queues.batch.len().min(count_max);
            let hops = self.commit_path.hops();
            for proposal in self.queues.batch.iter().take(count) {
                hops.record(Hop::Collect, proposal.queued_at.elapsed());
            }
            let proposals = self.queues.batch.drain(..count);
            let (commands, answers): (Vec<_>, Vec<_>) =
                proposals.map(|p| (p.command, p.answer)).unzip();
            let (commands, result) = self.propose_commands(commands);
            self.queues.is_node_busy = matches!(result, Err(ProposeError::Busy));
            match result {
                Ok(index) => {
                    self.metrics.proposals.inc();
                    self.commit_path.proposed(index);
                    let now = self.clock.now();
                    let answers = answers.into_iter().flatten().collect();
                    self.queues.pending_answers.push_back((index, now, answers));
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

    /// Proposes commands as one log entry, and returns them.
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
                // Splitting the batch, as if it were too large, isolates the faulty command.
                Err(ProposeError::TooLarge(usize::MAX))
            }
        };
        (commands, result)
    }

    /// Refuses commands that are too large for a log entry, and answers their calls.
    fn refuse_commands(
        &mut self,
        commands: &[QueueCommand],
        answers: Vec<Option<Answer>>,
        error: &ProposeError,
    ) {
        log::error!(error:%; "a queue command is refused");
        let now = self.clock.now();
        for command in commands {
            self.queues.command_ended(command);
            if let Some(scheduler) = &mut self.queues.scheduler {
                scheduler.undo_proposal(self.state.queues(), command, now);
            }
        }
        for (done, _) in answers.into_iter().flatten() {
            done.send(Ok(QueueReply::Invalid(error.to_string())));
        }
    }
}
