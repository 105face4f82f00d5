//! The pass over workers' syncs: registration, reports, renewal, expiry.

use std::collections::BTreeMap;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_protocol::worker::tasks_digest;
use sapphirepost_state::Request;
use sapphirepost_state::Verdict;
use sapphirepost_state::workers::Contact;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::Name;
use sapphirepost_types::WorkerId;

use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;
use crate::message::Reply;
use crate::message::ReplyToken;
use crate::sessions::HeldSync;
use crate::sessions::Joining;
use crate::sessions::PendingReport;
use crate::sessions::Session;

impl Leader {
    /// Takes a worker's sync.
    pub fn worker_sync(
        &mut self,
        ctx: &Context<'_>,
        sync: WorkerSync,
        token: ReplyToken,
        out: &mut Output,
    ) {
        let known = ctx.state.workers().by_name(&sync.worker);
        let Some((id, worker)) = known.filter(|(_, known)| known.incarnation >= sync.incarnation)
        else {
            self.join(ctx, sync, token, out);
            return;
        };
        if worker.incarnation > sync.incarnation {
            // An older run must not act; its reply grants nothing.
            out.reply(token, Reply::Worker(empty_reply(sync.sequence)));
            return;
        }
        self.ensure_session(ctx, id, worker);
        self.note_spec(ctx, worker, &sync, out);
        if let Some(usage) = sync.usage {
            self.placer.report_usage(ctx.now, id, usage);
        }
        self.take_sync(ctx, id, worker, sync, token, out);
        self.touched.insert(id);
        self.answer_touched(ctx, out);
    }

    /// Registers a worker or a run; the sync is taken again when that was applied.
    fn join(&mut self, ctx: &Context<'_>, sync: WorkerSync, token: ReplyToken, out: &mut Output) {
        let Some(spec) = sync.spec.clone() else {
            let reply = WorkerSyncReply {
                send_spec: true,
                send_full: true,
                ..empty_reply(sync.sequence)
            };
            out.reply(token, Reply::Worker(reply));
            return;
        };
        let request = Request::RegisterWorker {
            worker: sync.worker.clone(),
            incarnation: sync.incarnation,
            spec,
        };
        out.propose(ctx, request);
        let joining = Joining {
            token,
            since: ctx.now,
            sync: sync.clone(),
        };
        if let Some(earlier) = self.sessions.joining.insert(sync.worker, joining) {
            let reply = empty_reply(earlier.sync.sequence);
            out.reply(earlier.token, Reply::Worker(reply));
        }
    }

    pub(crate) fn worker_registered(&mut self, ctx: &Context<'_>, name: &Name, out: &mut Output) {
        if let Some((id, worker)) = ctx.state.workers().by_name(name) {
            self.ensure_session(ctx, id, worker);
        }
        if let Some(joining) = self.sessions.joining.remove(name) {
            self.worker_sync(ctx, joining.sync, joining.token, out);
        }
    }

    fn ensure_session(&mut self, ctx: &Context<'_>, id: WorkerId, worker: &Worker) {
        let lease_until = ctx.now + self.config.certain_end_ms();
        let session = self
            .sessions
            .by_worker
            .entry(id)
            .or_insert_with(|| Session::new(worker.incarnation, worker.sequence, lease_until));
        if session.incarnation != worker.incarnation {
            session.restart(worker.incarnation);
        }
    }

    fn note_spec(
        &mut self,
        ctx: &Context<'_>,
        worker: &Worker,
        sync: &WorkerSync,
        out: &mut Output,
    ) {
        let Some(spec) = &sync.spec else {
            return;
        };
        if *spec != worker.spec {
            let request = Request::RegisterWorker {
                worker: sync.worker.clone(),
                incarnation: sync.incarnation,
                spec: spec.clone(),
            };
            out.propose(ctx, request);
        }
    }

    fn take_sync(
        &mut self,
        ctx: &Context<'_>,
        id: WorkerId,
        worker: &Worker,
        sync: WorkerSync,
        token: ReplyToken,
        out: &mut Output,
    ) {
        let Some(session) = self.sessions.by_worker.get_mut(&id) else {
            return;
        };
        if sync.sequence <= session.last_sequence {
            out.reply(token, Reply::Worker(empty_reply(sync.sequence)));
            return;
        }
        session.last_sequence = sync.sequence;
        let is_readable = sync.full || worker.contact == Contact::Connected;
        if is_readable {
            take_report(ctx, id, worker, &sync, session, out);
        }
        check_digest(worker, &sync, session);
        let hold_ms = sync.wait_ms.min(self.config.hold_max_ms);
        session.held.push_back(HeldSync {
            token,
            sequence: sync.sequence,
            until: ctx.now + hold_ms,
        });
        while session.held.len() > self.config.held_syncs_max {
            if let Some(oldest) = session.held.pop_front() {
                out.reply(oldest.token, Reply::Worker(empty_reply(oldest.sequence)));
            }
        }
    }

    pub(crate) fn report_applied(
        &mut self,
        ctx: &Context<'_>,
        id: WorkerId,
        sequence: u64,
        verdict: &Verdict,
    ) {
        let Some(session) = self.sessions.by_worker.get_mut(&id) else {
            return;
        };
        let position = session
            .pending
            .iter()
            .position(|pending| pending.sequence == sequence);
        if let Some(position) = position {
            let pending = session.pending.remove(position);
            if *verdict == Verdict::Applied {
                session.acknowledged.extend(pending.ended);
            }
        }
        let worker = ctx.state.workers().get(id);
        let is_connected = worker.is_some_and(|worker| worker.contact == Contact::Connected);
        if is_connected && session.owes_lease {
            // The deadline of the lease before must not end a connection that has just begun.
            let lease_until = ctx.now + self.config.certain_end_ms();
            session.lease_until = session.lease_until.max(lease_until);
        }
        self.touched.insert(id);
    }

    /// Proposes the expiry of workers whose lease has certainly ended. From then on no renewal is
    /// answered, so that the worker cannot run on while its tasks start elsewhere.
    pub(crate) fn expire_leases(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let timeout_ms = self.config.proposal_timeout_ms;
        for (id, session) in &mut self.sessions.by_worker {
            let Some(worker) = ctx.state.workers().get(*id) else {
                continue;
            };
            let is_proposed = session
                .expiring
                .is_some_and(|since| ctx.now.since(since) < timeout_ms);
            if worker.is_expired() || is_proposed || ctx.now < session.lease_until {
                continue;
            }
            session.expiring = Some(ctx.now);
            let request = Request::ExpireWorker {
                worker: *id,
                incarnation: worker.incarnation,
            };
            out.propose(ctx, request);
        }
        self.sessions
            .by_worker
            .retain(|id, _| ctx.state.workers().get(*id).is_some());
    }

    pub(crate) fn expiry_applied(&mut self, id: WorkerId, verdict: &Verdict) {
        self.events.expired_leases += u64::from(*verdict == Verdict::Applied);
        if let Some(session) = self.sessions.by_worker.get_mut(&id) {
            session.expiring = None;
            session.wants_full = true;
            session.owes_lease = true;
            session.sent.clear();
        }
        self.touched.insert(id);
    }

    /// Forgets reports and registrations whose proposals were lost.
    pub(crate) fn expire_reports(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let timeout_ms = self.config.proposal_timeout_ms;
        for session in self.sessions.by_worker.values_mut() {
            let before = session.pending.len();
            session
                .pending
                .retain(|pending| ctx.now.since(pending.since) < timeout_ms);
            session.wants_full |= session.pending.len() < before;
        }
        let is_lost = |joining: &Joining| ctx.now.since(joining.since) >= timeout_ms;
        let lost: Vec<Name> = self
            .sessions
            .joining
            .iter()
            .filter(|(_, joining)| is_lost(joining))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            if let Some(joining) = self.sessions.joining.remove(&name) {
                let reply = empty_reply(joining.sync.sequence);
                out.reply(joining.token, Reply::Worker(reply));
            }
        }
    }
}

/// A reply that grants and asks nothing.
pub(crate) fn empty_reply(sequence: u64) -> WorkerSyncReply {
    WorkerSyncReply {
        sequence,
        lease_ms: 0,
        send_spec: false,
        send_full: false,
        commands: Vec::new(),
        acknowledged: Vec::new(),
    }
}

/// Proposes what is new in a report, and acknowledges ends that were applied before.
fn take_report(
    ctx: &Context<'_>,
    id: WorkerId,
    worker: &Worker,
    sync: &WorkerSync,
    session: &mut Session,
    out: &mut Output,
) {
    let mut news = Vec::new();
    let mut ended = Vec::new();
    for report in &sync.tasks {
        let key = key_of(report);
        let held = worker.held(key);
        match &report.status {
            TaskStatus::Running if held.is_some_and(|held| held.reported) => {}
            TaskStatus::Running => news.push(report.clone()),
            status if held.is_some() || is_late_finish(ctx, key, status) => {
                news.push(report.clone());
                ended.push(key);
            }
            _ => session.acknowledged.push(key),
        }
    }
    if sync.full {
        session.wants_full = false;
        news = sync.tasks.clone();
    }
    let is_needed = match sync.full {
        true => worker.contact != Contact::Connected || differs(ctx, worker, sync),
        false => !news.is_empty(),
    };
    if !is_needed {
        return;
    }
    session.pending.push(PendingReport {
        sequence: sync.sequence,
        since: ctx.now,
        ended,
    });
    let request = Request::ReportTasks {
        worker: id,
        incarnation: sync.incarnation,
        sequence: sync.sequence,
        full: sync.full,
        tasks: news,
    };
    out.propose(ctx, request);
}

/// Whether a full report says anything that is not applied yet.
fn differs(ctx: &Context<'_>, worker: &Worker, sync: &WorkerSync) -> bool {
    let reports: BTreeMap<AttemptKey, &TaskStatus> = sync
        .tasks
        .iter()
        .map(|report| (key_of(report), &report.status))
        .collect();
    let is_missing = worker
        .held
        .iter()
        .any(|held| held.reported && !reports.contains_key(&held.key()));
    let is_new = reports.iter().any(|(key, status)| {
        let held = worker.held(*key);
        match status {
            TaskStatus::Running => !held.is_some_and(|held| held.reported),
            status => held.is_some() || is_late_finish(ctx, *key, status),
        }
    });
    is_missing || is_new
}

fn is_late_finish(ctx: &Context<'_>, key: AttemptKey, status: &TaskStatus) -> bool {
    *status == TaskStatus::Finished && ctx.state.is_late_finish(key)
}

/// Asks for a full report when the running attempts are not those that were reported. While a
/// report is not applied the two cannot be compared.
fn check_digest(worker: &Worker, sync: &WorkerSync, session: &mut Session) {
    if worker.contact != Contact::Connected {
        session.wants_full |= session.pending.is_empty();
        return;
    }
    if !session.pending.is_empty() || sync.full {
        return;
    }
    let reported = worker.held.iter().filter(|held| held.reported);
    let expected = tasks_digest(reported.map(|held| held.key()));
    session.wants_full |= expected != sync.digest;
}

fn key_of(report: &TaskReport) -> AttemptKey {
    AttemptKey {
        task: report.task,
        attempt: report.attempt,
    }
}
