//! Handles calls about queues: requests of callers, changes and reads of the queue table, reports
//! of workers and polls of policy clients.
//!
//! Where an outdated state could give a wrong answer, a read waits until a quorum has confirmed
//! this leader.

use std::sync::Arc;

use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobTenant;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::scheduler::AnsweredPermitRequest;
use sapphirepost_queues::scheduler::PermitAnswer;
use sapphirepost_queues::scheduler::PermitOutcome;
use sapphirepost_types::Millis;

use crate::core::Core;
use crate::incarnation_log;
use crate::pending_calls::PendingRead;
use crate::queue_log;
use crate::rejection_log;

/// The job that a caller's request names.
struct ResolvedJob {
    queue: Arc<Queue>,
    key: JobKey,
    /// The tenant whose key the caller has presented.
    tenant: Option<Arc<JobTenant>>,
}

impl Core {
    /// Answers a call about queues, or starts the read or the proposal that it needs.
    pub(crate) fn handle_queue_call(
        &mut self,
        now: Millis,
        call: QueueCall,
        done: Responder<QueueReply>,
    ) {
        if let QueueCall::Caller(request) = &call
            && let Some(phase) = self.recent_phase(now, request)
        {
            self.queues.metrics.follower_reads.inc();
            return done.send(Ok(QueueReply::Phase(phase)));
        }
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
            QueueCall::Caller(request) => self.handle_caller_request(now, request, done),
            QueueCall::PutTable(table) => self.put_table(table, done),
            QueueCall::GetTable => self.start_queue_read(now, QueueCall::GetTable, done),
            QueueCall::LeaderIndex => done.send(Ok(QueueReply::LeaderIndex(self.applied))),
            QueueCall::Report { record, report } => {
                let scheduler = self.queues.scheduler.as_mut();
                let command = scheduler.and_then(|scheduler| {
                    incarnation_log::log_report(scheduler, &record);
                    scheduler.handle_report(&record, report, now)
                });
                self.queues.metrics.reports.inc();
                if let Some(command) = command {
                    return self.queues.add(command, Some((done, QueueReply::Reported)));
                }
                done.send(Ok(QueueReply::Reported));
            }
            QueueCall::Left {
                worker,
                incarnation,
            } => {
                let scheduler = self.queues.scheduler.as_ref();
                let command = scheduler.and_then(|s| s.handle_sign_off(&worker, incarnation));
                if let Some(command) = command {
                    return self.queues.add(command, Some((done, QueueReply::Reported)));
                }
                incarnation_log::log_late_sign_off(&worker, incarnation);
                done.send(Ok(QueueReply::Reported));
            }
            QueueCall::WaitForQuestion { caller, answer } => {
                if let Some(scheduler) = &mut self.queues.scheduler {
                    if let Some(answer) = answer {
                        let answered = scheduler.handle_permit_answer(&answer, now);
                        log_permit_answer(answered, &answer);
                    }
                    scheduler.policy_client_waits(&caller, now);
                    self.queues.policy_clients.insert(caller, (now, done));
                }
            }
            // Answered above, since it needs no scheduler.
            QueueCall::Join { .. } => {}
        }
    }

    fn start_queue_read(&mut self, now: Millis, call: QueueCall, done: Responder<QueueReply>) {
        let token = self
            .calls
            .add_read(PendingRead::Queue(Box::new(call), done));
        self.start_read(now, token);
    }

    /// Answers a read after a quorum has confirmed this leader.
    pub(crate) fn answer_queue_read(&mut self, call: QueueCall, done: Responder<QueueReply>) {
        let reply = match call {
            QueueCall::GetTable => match self.state.queues().table() {
                Some(table) => QueueReply::Table(table.document.clone()),
                None => QueueReply::NoTable,
            },
            QueueCall::Caller(request) => match self.read_queue_state(&request) {
                Ok(reply) => reply,
                Err(error) => return done.send(Err(error)),
            },
            _ => return done.send(Err(RpcError::Invalid("not a read".to_owned()))),
        };
        done.send(Ok(reply));
    }

    /// The answer to a caller's request according to the applied state. Whether a job exists is
    /// open while its submission is being committed.
    fn read_queue_state(&self, request: &CallerRequest) -> Result<QueueReply, RpcError> {
        let state = self.state.queues();
        let Some(table) = state.table() else {
            return Ok(QueueReply::NoTable);
        };
        let Some(resolved) = table.resolve(&request.host, &request.path) else {
            return Ok(QueueReply::NoQueue);
        };
        let Ok(tenant) = table.authenticate(resolved.queue, request.key.as_ref()) else {
            return Ok(QueueReply::Unauthorized);
        };
        if resolved.rest.is_empty() && request.action == CallerAction::Read {
            let scheduler = self.queues.scheduler.as_ref();
            let waiting = scheduler.map_or(0, |s| s.waiting_jobs(&resolved.queue.name));
            return Ok(QueueReply::Waiting(waiting));
        }
        let Ok(key) = resolved.rest.parse::<JobKey>() else {
            return Ok(QueueReply::Invalid("the path names no job".to_owned()));
        };
        match state.job(key) {
            Some(job) if !job.is_accessible_to(tenant) => Ok(QueueReply::Forbidden),
            Some(job) if job.phase.has_ended() && request.action == CallerAction::Cancel => {
                Ok(QueueReply::Cancelled)
            }
            Some(job) => Ok(QueueReply::Phase(job.phase)),
            None if self.queues.submitting.contains_key(&key) => Err(RpcError::Busy),
            None => Ok(QueueReply::UnknownJob),
        }
    }

    fn handle_caller_request(
        &mut self,
        now: Millis,
        request: CallerRequest,
        done: Responder<QueueReply>,
    ) {
        if request.action == CallerAction::Read {
            self.queues.metrics.reads.inc();
        }
        let Some(resolved) = self.resolve_job(&request) else {
            // The path names no job: it belongs to no queue, is the path of a queue itself (a read
            // then returns the number of waiting jobs), or is malformed. Or the caller may not use
            // the job. Which of these is true depends on the current table, so a quorum must
            // confirm this leader first.
            let call = QueueCall::Caller(request);
            return self.start_queue_read(now, call, done);
        };
        if self.is_submitted_by_another_tenant(&resolved) {
            // Whether the job becomes that of the other tenant is open until it is committed.
            return done.send(Err(RpcError::Busy));
        }
        let ResolvedJob { queue, key, tenant } = resolved;
        let job = self.state.queues().job(key);
        // The ID is free again once the workers hold no runs of the former job any more.
        let is_id_in_use = job.is_some_and(|job| job.is_past_retention);
        let phase = job.map(|job| job.phase);
        match (&request.action, phase) {
            (CallerAction::Submit(_), Some(_)) if is_id_in_use => done.send(Err(RpcError::Busy)),
            (CallerAction::Submit(_), Some(_)) => done.send(Ok(QueueReply::Accepted)),
            (CallerAction::Submit(spec), None) => {
                if self.queues.submitting.contains_key(&key) {
                    self.load.record_repeated_submission();
                }
                let spec = Arc::new(spec.clone());
                self.submit(now, ResolvedJob { queue, key, tenant }, spec, done);
            }
            (CallerAction::Read, Some(phase)) => done.send(Ok(QueueReply::Phase(phase))),
            (CallerAction::Cancel, Some(phase)) if !phase.has_ended() => self.cancel(key, done),
            // The cancellation follows the submission in the log.
            (CallerAction::Cancel, None) if self.queues.submitting.contains_key(&key) => {
                self.cancel(key, done)
            }
            _ => self.start_queue_read(now, QueueCall::Caller(request), done),
        }
    }

    fn cancel(&mut self, key: JobKey, done: Responder<QueueReply>) {
        log::info!(job:% = key; "cancel proposed");
        self.queues.metrics.cancelled.inc();
        let command = QueueCommand::Cancel { job: key };
        self.queues
            .add(command, Some((done, QueueReply::Cancelled)));
    }

    /// The job that a request names; `None` if it names none, or if the caller may not use it.
    fn resolve_job(&self, request: &CallerRequest) -> Option<ResolvedJob> {
        let table = self.state.queues().table()?;
        let resolved = table.resolve(&request.host, &request.path)?;
        let key = resolved.rest.parse().ok()?;
        let tenant = table.authenticate(resolved.queue, request.key.as_ref());
        let tenant = tenant.ok()?;
        let job = self.state.queues().job(key);
        if job.is_some_and(|job| !job.is_accessible_to(tenant)) {
            return None;
        }
        Some(ResolvedJob {
            queue: Arc::new(resolved.queue.clone()),
            key,
            tenant: tenant.map(|tenant| Arc::new(JobTenant::from(tenant))),
        })
    }

    fn is_submitted_by_another_tenant(&self, resolved: &ResolvedJob) -> bool {
        let submitted = self.queues.submitting.get(&resolved.key);
        match (submitted.and_then(Option::as_ref), &resolved.tenant) {
            (Some(own), Some(caller)) => own.name != caller.name,
            _ => false,
        }
    }

    fn submit(
        &mut self,
        now: Millis,
        ResolvedJob { queue, key, tenant }: ResolvedJob,
        spec: Arc<SubmittedSpec>,
        done: Responder<QueueReply>,
    ) {
        if let Err(error) = spec.check() {
            return done.send(Ok(QueueReply::Invalid(error.to_string())));
        }
        let Some(scheduler) = &mut self.queues.scheduler else {
            return done.send(Err(RpcError::Busy));
        };
        let admission = scheduler.admission(key, &queue, &spec, tenant.as_deref(), now);
        if let Some(admission) = admission
            && let Some(rejection) = admission.rejection()
        {
            let by = tenant.as_deref();
            let reason = rejection_log::log_rejected(key, &queue, by, &admission, rejection);
            self.queues.metrics.refused.inc();
            if let Some(tenant) = &tenant {
                let metrics = &mut self.queues.metrics.tenants;
                metrics.count_rejected(&tenant.name, rejection.limit);
            }
            return done.send(Ok(QueueReply::Refused {
                retry_after_ms: rejection.retry_after_ms,
                reason,
            }));
        }
        scheduler.handle_submission(key, &queue, &spec, tenant.as_deref(), now);
        queue_log::log_proposed(key, &queue, &spec);
        self.queues.submitting.insert(key, tenant.clone());
        let command = QueueCommand::Submit {
            job: key,
            queue,
            spec,
            tenant,
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
        if known.is_none() && self.awaits_voters() {
            return done.send(Err(RpcError::Busy));
        }
        log::info!(version = table.version, queues = table.queues.len(); "table proposed");
        let command = QueueCommand::PutTable(Box::new(table));
        self.queues
            .add(command, Some((done, QueueReply::TableInForce)));
    }
}

fn log_permit_answer(answered: Option<AnsweredPermitRequest>, answer: &PermitAnswer) {
    let Some(answered) = answered else {
        log::debug!(question = answer.id; "an answer of the policy arrived too late");
        return;
    };
    let (outcome, allowed) = match &answer.outcome {
        PermitOutcome::Allowed(allowed) => ("allowed", allowed.len()),
        PermitOutcome::Busy => ("busy", 0),
        PermitOutcome::Refused => ("refused", 0),
        PermitOutcome::Unanswered => ("unanswered", 0),
    };
    log::info!(
        step:% = answered.step, caller = &*answered.client, workers = answered.workers, outcome,
        allowed, took_ms = answered.took_ms, expected_ms = answered.expected_ms;
        "policy answered"
    );
}
