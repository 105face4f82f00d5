//! Replies to worker syncs: commands, acknowledgements and lease renewals.

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::WorkerCommand;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_state::State;
use sapphirepost_state::tasks::Phase;
use sapphirepost_state::tasks::Task;
use sapphirepost_state::workers::Allocation;
use sapphirepost_state::workers::Contact;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::config::LeaderConfig;
use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;
use crate::message::Reply;
use crate::sessions::CommandKind;
use crate::sessions::SentCommand;
use crate::sessions::Session;
use crate::worker_sync::empty_reply;

impl Leader {
    /// Answers the held syncs of workers that are marked as dirty, if there is something to send or
    /// the hold time has passed.
    pub(crate) fn answer_dirty_workers(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for id in std::mem::take(&mut self.dirty_workers) {
            self.answer_sync(ctx, id, out);
        }
    }

    /// Answers the held syncs whose hold time has passed. The others are checked when something
    /// changes for their worker.
    pub(crate) fn answer_due_syncs(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.expire_pending_proposals(ctx, out);
        for (id, session) in &self.sessions.by_worker {
            let newest = session.held_syncs.back();
            if newest.is_some_and(|sync| ctx.now >= sync.until) {
                self.dirty_workers.insert(*id);
            }
        }
        self.answer_dirty_workers(ctx, out);
    }

    fn answer_sync(&mut self, ctx: &Context<'_>, id: WorkerId, out: &mut Output) {
        let Some(session) = self.sessions.by_worker.get_mut(&id) else {
            return;
        };
        let Some(worker) = ctx.state.workers().get(id) else {
            return;
        };
        answer_older(session, out);
        let Some(newest) = session.held_syncs.front() else {
            return;
        };
        let is_hold_over = ctx.now >= newest.until;
        // Until a pending report is applied, commands derived from the state would repeat what the
        // worker has already carried out.
        if !session.pending_reports.is_empty() && !is_hold_over {
            return;
        }
        session.forget_confirmed(worker);
        let renews_lease = renews_lease(&self.config, ctx.now, worker, session);
        let commands = match renews_lease {
            true => due_commands(&self.config, ctx, id, worker, session),
            false => Vec::new(),
        };
        let has_updates = !commands.is_empty() || session.has_updates(renews_lease);
        // Once an expiry is proposed, the sync waits for its outcome, which determines whether the
        // worker must send a full report.
        let may_answer = is_hold_over || (has_updates && session.expiry_proposed_at.is_none());
        if !may_answer {
            session.shorten_hold(ctx.now + self.config.hold_pending_ms);
            return;
        }
        let Some(newest) = session.held_syncs.pop_front() else {
            return;
        };
        let mut reply = session.reply(ctx.now, newest.sequence, commands);
        if renews_lease {
            session.lease_until = ctx.now + self.config.lease_end_bound_ms();
            session.needs_lease = false;
            reply.lease_ms = self.config.lease_ms;
        }
        out.reply(newest.token, Reply::Worker(reply));
    }
}

/// Answers all held syncs but the newest with an empty reply; only the newest gets updates.
fn answer_older(session: &mut Session, out: &mut Output) {
    while session.held_syncs.len() > 1 {
        if let Some(older) = session.held_syncs.pop_front() {
            out.reply(older.token, Reply::Worker(empty_reply(older.sequence)));
        }
    }
}

/// Whether a reply to the worker renews its lease.
fn renews_lease(config: &LeaderConfig, now: Millis, worker: &Worker, session: &Session) -> bool {
    let is_expiring =
        session.expiry_proposed_at.is_some() && !config.disabled.no_renewal_while_expiring;
    let receives_replies = !session.has_unconfirmed_start(now, config.unconfirmed_start_max_ms);
    worker.contact == Contact::Connected && !is_expiring && receives_replies
}

/// Commands that no report has confirmed and that are due to be sent or sent again.
fn due_commands(
    config: &LeaderConfig,
    ctx: &Context<'_>,
    id: WorkerId,
    worker: &Worker,
    session: &mut Session,
) -> Vec<WorkerCommand> {
    session.throttled.retain(|task, _| {
        let allocations = worker.held.iter();
        allocations
            .into_iter()
            .any(|allocation| allocation.task == *task)
    });
    worker
        .held
        .iter()
        .filter_map(|allocation| needed_command(ctx.state, id, allocation, session))
        .filter(|command| session.is_due(command, ctx.now, config.command_resend_ms))
        .collect()
}

fn needed_command(
    state: &State,
    id: WorkerId,
    allocation: &Allocation,
    session: &Session,
) -> Option<WorkerCommand> {
    let task = state.tasks().get(allocation.task);
    let current =
        task.filter(|task| task.attempt == allocation.attempt && task.worker() == Some(id));
    let Some(task) = current else {
        return Some(stop_command(allocation, false));
    };
    if !state.should_run(task) {
        return Some(stop_command(
            allocation,
            task.stop.is_some_and(|stop| stop.checkpoint),
        ));
    }
    match task.phase {
        Phase::Starting(_) => start_command(state, allocation, task),
        _ => session
            .throttled
            .get(&allocation.task)
            .map(|percent| WorkerCommand::Throttle {
                task: allocation.task,
                attempt: allocation.attempt,
                percent: *percent,
            }),
    }
}

fn stop_command(allocation: &Allocation, checkpoint: bool) -> WorkerCommand {
    WorkerCommand::Stop {
        task: allocation.task,
        attempt: allocation.attempt,
        checkpoint,
    }
}

fn start_command(state: &State, allocation: &Allocation, task: &Task) -> Option<WorkerCommand> {
    let job = state.jobs().get(task.job)?;
    Some(WorkerCommand::Start {
        task: allocation.task,
        attempt: allocation.attempt,
        job: job.spec.name.clone(),
        resources: allocation.resources,
        on_partition: job.spec.on_partition(),
        payload: job.spec.payload.clone(),
        run_time_ms: job.spec.kind.run_time_ms(),
    })
}

impl Session {
    /// Whether there is something to send to the worker besides commands.
    fn has_updates(&self, renews_lease: bool) -> bool {
        let gets_first_lease = renews_lease && self.needs_lease;
        !self.to_acknowledge.is_empty() || self.wants_full_report || gets_first_lease
    }

    /// Builds a reply with the commands and records them as sent. It grants no lease.
    fn reply(
        &mut self,
        now: Millis,
        sequence: u64,
        commands: Vec<WorkerCommand>,
    ) -> WorkerSyncReply {
        for command in &commands {
            self.record_sent(command, now);
        }
        WorkerSyncReply {
            send_full: self.wants_full_report,
            commands,
            acknowledged: std::mem::take(&mut self.to_acknowledge),
            ..empty_reply(sequence)
        }
    }

    /// Removes the records of commands that a report has confirmed.
    fn forget_confirmed(&mut self, worker: &Worker) {
        self.sent_commands.retain(|key, sent| {
            let allocation = worker.allocation(*key);
            let is_started = sent.kind == CommandKind::Start
                && allocation.is_some_and(|allocation| allocation.reported);
            allocation.is_some() && !is_started
        });
    }

    /// Makes a throttle of the task due again. It is chosen again while its worker stays overused,
    /// and the reply with the last throttle may have been lost.
    pub(crate) fn forget_sent_throttle(&mut self, task: TaskId) {
        self.sent_commands
            .retain(|key, sent| key.task != task || !matches!(sent.kind, CommandKind::Throttle(_)));
    }

    /// Limits the hold of the newest sync to `until` while a start or a stop is not confirmed.
    fn shorten_hold(&mut self, until: Millis) {
        let mut sent = self.sent_commands.values();
        let is_pending = sent.any(|sent| !matches!(sent.kind, CommandKind::Throttle(_)));
        if let Some(newest) = self.held_syncs.back_mut()
            && is_pending
        {
            newest.until = newest.until.min(until);
        }
    }

    fn is_due(&self, command: &WorkerCommand, now: Millis, command_resend_ms: u64) -> bool {
        let (key, kind) = command_key(command);
        match self.sent_commands.get(&key) {
            // No report confirms a throttle, so it is sent only when the placer chooses it.
            Some(sent) if sent.kind == kind => {
                !matches!(kind, CommandKind::Throttle(_)) && now.since(sent.at) >= command_resend_ms
            }
            _ => true,
        }
    }

    /// Whether a start was first sent at least `unconfirmed_start_max_ms` ago and no report has
    /// confirmed it.
    fn has_unconfirmed_start(&self, now: Millis, unconfirmed_start_max_ms: u64) -> bool {
        let mut sent = self.sent_commands.values();
        sent.any(|sent| {
            sent.kind == CommandKind::Start && now.since(sent.since) >= unconfirmed_start_max_ms
        })
    }

    fn record_sent(&mut self, command: &WorkerCommand, at: Millis) {
        let (key, kind) = command_key(command);
        let known = self
            .sent_commands
            .get(&key)
            .filter(|sent| sent.kind == kind);
        let since = known.map_or(at, |sent| sent.since);
        self.sent_commands
            .insert(key, SentCommand { kind, since, at });
    }
}

/// The attempt and the kind of a command.
fn command_key(command: &WorkerCommand) -> (AttemptKey, CommandKind) {
    let (task, attempt, kind) = match command {
        WorkerCommand::Start { task, attempt, .. } => (*task, *attempt, CommandKind::Start),
        WorkerCommand::Stop { task, attempt, .. } => (*task, *attempt, CommandKind::Stop),
        WorkerCommand::Throttle {
            task,
            attempt,
            percent,
        } => (*task, *attempt, CommandKind::Throttle(*percent)),
    };
    (AttemptKey { task, attempt }, kind)
}
