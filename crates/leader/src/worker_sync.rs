//! Processing of worker syncs: registration, reports, and the expiry of leases.

use std::collections::BTreeMap;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_protocol::worker::tasks_digest;
use sapphirepost_state::CommandResult;
use sapphirepost_state::Request;
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
use crate::sessions::PendingRegistration;
use crate::sessions::PendingReport;
use crate::sessions::Session;

impl Leader {
    /// Processes the sync of a worker. The reply may be delayed until there is something to send.
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
            self.register(ctx, sync, token, out);
            return;
        };
        if worker.incarnation > sync.incarnation {
            // An older incarnation must not act: the reply grants no lease and has no commands.
            out.reply(token, Reply::Worker(empty_reply(sync.sequence)));
            return;
        }
        self.ensure_session(ctx, id, worker);
        self.propose_spec_change(ctx, worker, &sync, out);
        if let Some(usage) = sync.usage {
            self.placer.report_usage(ctx.now, id, usage);
        }
        self.process_sync(ctx, id, worker, sync, token, out);
        self.dirty_workers.insert(id);
        self.answer_dirty_workers(ctx, out);
    }

    /// Proposes the registration of a worker or of a new incarnation. The sync is processed again
    /// once the registration is applied. A sync without a specification is answered with a request
    /// for one.
    fn register(
        &mut self,
        ctx: &Context<'_>,
        sync: WorkerSync,
        token: ReplyToken,
        out: &mut Output,
    ) {
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
        let registration = PendingRegistration {
            token,
            since: ctx.now,
            sync: sync.clone(),
        };
        if let Some(earlier) = self
            .sessions
            .registrations
            .insert(sync.worker, registration)
        {
            let reply = empty_reply(earlier.sync.sequence);
            out.reply(earlier.token, Reply::Worker(reply));
        }
    }

    pub(crate) fn worker_registered(&mut self, ctx: &Context<'_>, name: &Name, out: &mut Output) {
        if let Some((id, worker)) = ctx.state.workers().by_name(name) {
            self.ensure_session(ctx, id, worker);
        }
        if let Some(registration) = self.sessions.registrations.remove(name) {
            self.worker_sync(ctx, registration.sync, registration.token, out);
        }
    }

    fn ensure_session(&mut self, ctx: &Context<'_>, id: WorkerId, worker: &Worker) {
        let lease_until = ctx.now + self.config.lease_end_bound_ms();
        let session = self
            .sessions
            .by_worker
            .entry(id)
            .or_insert_with(|| Session::new(worker.incarnation, worker.sequence, lease_until));
        if session.incarnation != worker.incarnation {
            session.restart(worker.incarnation);
        }
    }

    fn propose_spec_change(
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

    fn process_sync(
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
        let can_use_report = sync.full || worker.contact == Contact::Connected;
        if can_use_report {
            propose_report(ctx, id, worker, &sync, session, out);
        }
        check_digest(worker, &sync, session);
        let hold_ms = sync.wait_ms.min(self.config.hold_max_ms);
        session.held_syncs.push_back(HeldSync {
            token,
            sequence: sync.sequence,
            until: ctx.now + hold_ms,
        });
        while session.held_syncs.len() > self.config.held_syncs_max {
            if let Some(oldest) = session.held_syncs.pop_front() {
                out.reply(oldest.token, Reply::Worker(empty_reply(oldest.sequence)));
            }
        }
    }

    pub(crate) fn report_applied(
        &mut self,
        ctx: &Context<'_>,
        id: WorkerId,
        sequence: u64,
        result: &CommandResult,
    ) {
        let Some(session) = self.sessions.by_worker.get_mut(&id) else {
            return;
        };
        let position = session
            .pending_reports
            .iter()
            .position(|pending| pending.sequence == sequence);
        if let Some(position) = position {
            let pending = session.pending_reports.remove(position);
            if *result == CommandResult::Applied {
                session.to_acknowledge.extend(pending.ended);
            }
        }
        let worker = ctx.state.workers().get(id);
        let is_connected = worker.is_some_and(|worker| worker.contact == Contact::Connected);
        if is_connected && session.needs_lease {
            // The worker has only just connected and must not expire at the deadline of its
            // previous lease.
            let lease_until = ctx.now + self.config.lease_end_bound_ms();
            session.lease_until = session.lease_until.max(lease_until);
        }
        self.dirty_workers.insert(id);
    }

    /// Proposes the expiry of workers whose lease has certainly ended. Leases are not renewed after
    /// the proposal, so that a worker cannot go on running tasks that start elsewhere.
    pub(crate) fn expire_leases(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let timeout_ms = self.config.proposal_timeout_ms;
        for (id, session) in &mut self.sessions.by_worker {
            let Some(worker) = ctx.state.workers().get(*id) else {
                continue;
            };
            let is_proposed = session
                .expiry_proposed_at
                .is_some_and(|since| ctx.now.since(since) < timeout_ms);
            if worker.is_expired() || is_proposed || ctx.now < session.lease_until {
                continue;
            }
            session.expiry_proposed_at = Some(ctx.now);
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

    pub(crate) fn expiry_applied(&mut self, id: WorkerId, result: &CommandResult) {
        self.events.expired_leases += u64::from(*result == CommandResult::Applied);
        if let Some(session) = self.sessions.by_worker.get_mut(&id) {
            session.expiry_proposed_at = None;
            session.wants_full_report = true;
            session.needs_lease = true;
            session.sent_commands.clear();
        }
        self.dirty_workers.insert(id);
    }

    /// Drops pending reports and registrations whose proposals have timed out.
    pub(crate) fn expire_pending_proposals(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let timeout_ms = self.config.proposal_timeout_ms;
        for session in self.sessions.by_worker.values_mut() {
            let before = session.pending_reports.len();
            session
                .pending_reports
                .retain(|pending| ctx.now.since(pending.since) < timeout_ms);
            session.wants_full_report |= session.pending_reports.len() < before;
        }
        let is_timed_out =
            |registration: &PendingRegistration| ctx.now.since(registration.since) >= timeout_ms;
        let timed_out: Vec<Name> = self
            .sessions
            .registrations
            .iter()
            .filter(|(_, registration)| is_timed_out(registration))
            .map(|(name, _)| name.clone())
            .collect();
        for name in timed_out {
            if let Some(registration) = self.sessions.registrations.remove(&name) {
                let reply = empty_reply(registration.sync.sequence);
                out.reply(registration.token, Reply::Worker(reply));
            }
        }
    }
}

/// A reply that grants no lease, has no commands and requests nothing.
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

/// Proposes the attempts of a report that the state does not reflect yet, or all attempts of a full
/// report that differs from the state or comes from a worker that is not connected. Queues
/// acknowledgements for ends that would change nothing.
fn propose_report(
    ctx: &Context<'_>,
    id: WorkerId,
    worker: &Worker,
    sync: &WorkerSync,
    session: &mut Session,
    out: &mut Output,
) {
    let mut changed = Vec::new();
    let mut ended = Vec::new();
    for report in &sync.tasks {
        let key = key_of(report);
        let allocation = worker.allocation(key);
        match &report.status {
            TaskStatus::Running if allocation.is_some_and(|allocation| allocation.reported) => {}
            TaskStatus::Running => changed.push(report.clone()),
            status if allocation.is_some() || is_late_finish(ctx, key, status) => {
                changed.push(report.clone());
                ended.push(key);
            }
            _ => session.to_acknowledge.push(key),
        }
    }
    if sync.full {
        session.wants_full_report = false;
        changed = sync.tasks.clone();
    }
    let is_needed = match sync.full {
        true => worker.contact != Contact::Connected || differs_from_state(ctx, worker, sync),
        false => !changed.is_empty(),
    };
    if !is_needed {
        return;
    }
    session.pending_reports.push(PendingReport {
        sequence: sync.sequence,
        since: ctx.now,
        ended,
    });
    let request = Request::ReportTasks {
        worker: id,
        incarnation: sync.incarnation,
        sequence: sync.sequence,
        full: sync.full,
        tasks: changed,
    };
    out.propose(ctx, request);
}

/// Whether a full report differs from what the state knows of the worker.
fn differs_from_state(ctx: &Context<'_>, worker: &Worker, sync: &WorkerSync) -> bool {
    let reports: BTreeMap<AttemptKey, &TaskStatus> = sync
        .tasks
        .iter()
        .map(|report| (key_of(report), &report.status))
        .collect();
    let is_missing = worker
        .held
        .iter()
        .any(|allocation| allocation.reported && !reports.contains_key(&allocation.key()));
    let is_new = reports.iter().any(|(key, status)| {
        let allocation = worker.allocation(*key);
        match status {
            TaskStatus::Running => !allocation.is_some_and(|allocation| allocation.reported),
            status => allocation.is_some() || is_late_finish(ctx, *key, status),
        }
    });
    is_missing || is_new
}

fn is_late_finish(ctx: &Context<'_>, key: AttemptKey, status: &TaskStatus) -> bool {
    *status == TaskStatus::Finished && ctx.state.is_late_finish(key)
}

/// Requests a full report from a worker that is not connected, and from a connected one whose digest
/// of its running attempts differs from that of the attempts reported so far. Requests nothing after
/// a full report, or while a report is pending, because the state does not reflect it yet.
fn check_digest(worker: &Worker, sync: &WorkerSync, session: &mut Session) {
    if worker.contact != Contact::Connected {
        session.wants_full_report |= session.pending_reports.is_empty();
        return;
    }
    if !session.pending_reports.is_empty() || sync.full {
        return;
    }
    let reported = worker.held.iter().filter(|allocation| allocation.reported);
    let expected = tasks_digest(reported.map(|allocation| allocation.key()));
    session.wants_full_report |= expected != sync.digest;
}

fn key_of(report: &TaskReport) -> AttemptKey {
    AttemptKey {
        task: report.task,
        attempt: report.attempt,
    }
}
