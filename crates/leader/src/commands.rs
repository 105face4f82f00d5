//! The pass that answers syncs: commands, acknowledgements and the lease.

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::WorkerCommand;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_state::State;
use sapphirepost_state::tasks::Phase;
use sapphirepost_state::tasks::Task;
use sapphirepost_state::workers::Contact;
use sapphirepost_state::workers::Held;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::Millis;
use sapphirepost_types::WorkerId;

use crate::config::LeaderConfig;
use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;
use crate::message::Reply;
use crate::renewal::empty_reply;
use crate::sessions::Sent;
use crate::sessions::SentKind;
use crate::sessions::Session;

impl Leader {
    /// Answers the held syncs of workers for which something changed.
    pub(crate) fn answer_touched(&mut self, ctx: &Context<'_>, out: &mut Output) {
        for id in std::mem::take(&mut self.touched) {
            self.answer(ctx, id, out);
        }
    }

    /// Answers the held syncs whose time is over. Others are looked at when something changes.
    pub(crate) fn answer_due_syncs(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.expire_reports(ctx, out);
        for (id, session) in &self.sessions.by_worker {
            let newest = session.held.back();
            if newest.is_some_and(|held| ctx.now >= held.until) {
                self.touched.insert(*id);
            }
        }
        self.answer_touched(ctx, out);
    }

    fn answer(&mut self, ctx: &Context<'_>, id: WorkerId, out: &mut Output) {
        let Some(session) = self.sessions.by_worker.get_mut(&id) else {
            return;
        };
        let Some(worker) = ctx.state.workers().get(id) else {
            return;
        };
        answer_older(session, out);
        let Some(newest) = session.held.front() else {
            return;
        };
        let is_over = ctx.now >= newest.until;
        // While a report is on its way into the state, the commands would repeat what it answers.
        if !session.pending.is_empty() && !is_over {
            return;
        }
        session.forget_confirmed(worker);
        let is_leased = is_leased(&self.config, ctx.now, worker, session);
        let commands = match is_leased {
            true => due_commands(&self.config, ctx, id, worker, session),
            false => Vec::new(),
        };
        let has_news = !commands.is_empty() || session.has_news(is_leased);
        // A sync of an expiring worker waits for the expiry, which decides what it must report.
        let may_answer = is_over || (has_news && session.expiring.is_none());
        if !may_answer {
            session.hold_shortly(ctx.now + self.config.hold_pending_ms);
            return;
        }
        let Some(newest) = session.held.pop_front() else {
            return;
        };
        let mut reply = session.reply(ctx.now, newest.sequence, commands);
        if is_leased {
            session.lease_until = ctx.now + self.config.certain_end_ms();
            session.owes_lease = false;
            reply.lease_ms = self.config.lease_ms;
        }
        out.reply(newest.token, Reply::Worker(reply));
    }
}

/// Answers all held syncs but the newest, which alone carries what is new.
fn answer_older(session: &mut Session, out: &mut Output) {
    while session.held.len() > 1 {
        if let Some(older) = session.held.pop_front() {
            out.reply(older.token, Reply::Worker(empty_reply(older.sequence)));
        }
    }
}

fn is_leased(config: &LeaderConfig, now: Millis, worker: &Worker, session: &Session) -> bool {
    let is_expiring = session.expiring.is_some() && !config.disabled.no_renewal_while_expiring;
    let hears = !session.has_unheard_start(now, config.unheard_start_ms);
    worker.contact == Contact::Connected && !is_expiring && hears
}

/// The commands that no report has confirmed and that were not sent lately.
fn due_commands(
    config: &LeaderConfig,
    ctx: &Context<'_>,
    id: WorkerId,
    worker: &Worker,
    session: &mut Session,
) -> Vec<WorkerCommand> {
    session.throttled.retain(|task, _| {
        let held = worker.held.iter();
        held.into_iter().any(|held| held.task == *task)
    });
    worker
        .held
        .iter()
        .filter_map(|held| wanted_command(ctx.state, id, held, session))
        .filter(|command| session.is_due(command, ctx.now, config.repeat_ms))
        .collect()
}

fn wanted_command(
    state: &State,
    id: WorkerId,
    held: &Held,
    session: &Session,
) -> Option<WorkerCommand> {
    let task = state.tasks().get(held.task);
    let current = task.filter(|task| task.attempt == held.attempt && task.worker() == Some(id));
    let Some(task) = current else {
        return Some(stop(held, false));
    };
    if !state.is_wanted(task) {
        return Some(stop(held, task.stop.is_some_and(|stop| stop.checkpoint)));
    }
    match task.phase {
        Phase::Starting(_) => start(state, held, task),
        _ => session
            .throttled
            .get(&held.task)
            .map(|percent| WorkerCommand::Throttle {
                task: held.task,
                attempt: held.attempt,
                percent: *percent,
            }),
    }
}

fn stop(held: &Held, checkpoint: bool) -> WorkerCommand {
    WorkerCommand::Stop {
        task: held.task,
        attempt: held.attempt,
        checkpoint,
    }
}

fn start(state: &State, held: &Held, task: &Task) -> Option<WorkerCommand> {
    let job = state.jobs().get(task.job)?;
    Some(WorkerCommand::Start {
        task: held.task,
        attempt: held.attempt,
        job: job.spec.name.clone(),
        resources: held.resources,
        on_partition: job.spec.on_partition(),
        payload: job.spec.payload.clone(),
        run_time_ms: job.spec.kind.run_time_ms(),
    })
}

impl Session {
    /// Whether the worker is to hear something besides commands.
    fn has_news(&self, is_leased: bool) -> bool {
        let gets_first_lease = is_leased && self.owes_lease;
        !self.acknowledged.is_empty() || self.wants_full || gets_first_lease
    }

    /// A reply with the commands, which are noted as sent. It grants no lease.
    fn reply(
        &mut self,
        now: Millis,
        sequence: u64,
        commands: Vec<WorkerCommand>,
    ) -> WorkerSyncReply {
        for command in &commands {
            self.note_sent(command, now);
        }
        WorkerSyncReply {
            send_full: self.wants_full,
            commands,
            acknowledged: std::mem::take(&mut self.acknowledged),
            ..empty_reply(sequence)
        }
    }

    /// Forgets commands that a report has confirmed.
    fn forget_confirmed(&mut self, worker: &Worker) {
        self.sent.retain(|key, sent| {
            let held = worker.held(*key);
            let is_started = sent.kind == SentKind::Start && held.is_some_and(|held| held.reported);
            held.is_some() && !is_started
        });
    }

    /// Shortens the hold while a start or a stop is not confirmed.
    fn hold_shortly(&mut self, until: Millis) {
        let mut sent = self.sent.values();
        let is_pending = sent.any(|sent| !matches!(sent.kind, SentKind::Throttle(_)));
        if let Some(newest) = self.held.back_mut()
            && is_pending
        {
            newest.until = newest.until.min(until);
        }
    }

    fn is_due(&self, command: &WorkerCommand, now: Millis, repeat_ms: u64) -> bool {
        let (key, kind) = identity(command);
        match self.sent.get(&key) {
            // A throttle has no report, so it is sent once for each value.
            Some(sent) if sent.kind == kind => {
                !matches!(kind, SentKind::Throttle(_)) && now.since(sent.at) >= repeat_ms
            }
            _ => true,
        }
    }

    fn has_unheard_start(&self, now: Millis, unheard_start_ms: u64) -> bool {
        let mut sent = self.sent.values();
        sent.any(|sent| sent.kind == SentKind::Start && now.since(sent.since) >= unheard_start_ms)
    }

    fn note_sent(&mut self, command: &WorkerCommand, at: Millis) {
        let (key, kind) = identity(command);
        let known = self.sent.get(&key).filter(|sent| sent.kind == kind);
        let since = known.map_or(at, |sent| sent.since);
        self.sent.insert(key, Sent { kind, since, at });
    }
}

fn identity(command: &WorkerCommand) -> (AttemptKey, SentKind) {
    let (task, attempt, kind) = match command {
        WorkerCommand::Start { task, attempt, .. } => (*task, *attempt, SentKind::Start),
        WorkerCommand::Stop { task, attempt, .. } => (*task, *attempt, SentKind::Stop),
        WorkerCommand::Throttle {
            task,
            attempt,
            percent,
        } => (*task, *attempt, SentKind::Throttle(*percent)),
    };
    (AttemptKey { task, attempt }, kind)
}
