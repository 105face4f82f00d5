//! Calls about queues: what is answered from the state, and what is proposed.
//!
//! A call that is answered from the state waits until a quorum has confirmed this leader, where
//! an old state would be a wrong answer.

use std::sync::Arc;

use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::scheduler::AnsweredPermitRequest;
use sapphirepost_queues::scheduler::PermitAnswer;
use sapphirepost_queues::scheduler::PermitOutcome;
use sapphirepost_types::Millis;

use crate::calls::Reading;
use crate::core::Core;

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
                let is_new = scheduler.is_some_and(|s| s.handle_report(&record, report, now));
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
                        let question = scheduler.handle_permit_answer(&answer, now);
                        log_answer(question, &answer);
                    }
                    scheduler.policy_client_waits(&caller, now);
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
        let admission = scheduler.admission(key, &queue, &spec, now);
        if let Some(admission) = admission
            && let Some(retry_after_ms) = admission.retry_after_ms()
        {
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
        scheduler.handle_submission(key, &queue, &spec, now);
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
}

fn log_answer(question: Option<AnsweredPermitRequest>, answer: &PermitAnswer) {
    let Some(question) = question else {
        log::debug!(question = answer.id; "an answer of the policy came too late");
        return;
    };
    let (outcome, allowed) = match &answer.outcome {
        PermitOutcome::Allowed(allowed) => ("allowed", allowed.len()),
        PermitOutcome::Busy => ("busy", 0),
        PermitOutcome::Refused => ("refused", 0),
        PermitOutcome::Unanswered => ("unanswered", 0),
    };
    log::info!(
        step:% = question.step, caller = &*question.client, workers = question.workers, outcome,
        allowed, took_ms = question.took_ms, expected_ms = question.expected_ms;
        "policy answered"
    );
}
