//! Requests to workers and the handling of their replies.
//!
//! A worker may still carry out a request after the reply is overdue. A start without a reply is
//! therefore repeated with the same run number, which the worker recognises, and is abandoned only
//! by a stop. After the reply to a stop the run cannot begin any more, and its resources are free
//! as soon as a poll sent more than `stop_ms` later does not list it.

use sapphirepost_types::Millis;

use crate::command::QueueCommand;
use crate::crash::Isolation;
use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::job::JobPhase;
use crate::scheduler::Action;
use crate::scheduler::Scheduler;
use crate::scheduler::contact_loss::ContactLoss;
use crate::scheduler::isolation::task_isolation;
use crate::scheduler::messages::RunningTask;
use crate::scheduler::messages::StopReason;
use crate::scheduler::messages::WorkerReply;
use crate::scheduler::messages::WorkerRequest;
use crate::scheduler::messages::WorkerRequestError;
use crate::scheduler::messages::WorkerRequestKind;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;
use crate::worker::EndKind;
use crate::worker::Worker;

/// Time after which an unanswered stop is sent again.
const STOP_RETRY_MS: u64 = 500;

impl RunView {
    /// Records that the worker has the run.
    pub(super) fn confirm(&mut self, now: Millis) {
        self.stage = RunStage::Running;
        self.has_begun = true;
        self.confirmed = now;
    }

    /// Updates the run with what a poll reported.
    pub(crate) fn update(&mut self, reported_task: &RunningTask, now: Millis) {
        self.unlisted_since = None;
        self.has_begun = true;
        if matches!(self.stage, RunStage::Unknown | RunStage::StartSent { .. }) {
            self.confirm(now);
        }
        if reported_task.checkpoint.is_some() && reported_task.checkpoint != self.checkpoint {
            self.checkpoint = reported_task.checkpoint.clone();
            self.checkpointed = Some(now);
        }
        if reported_task.progress_percent != self.progress_percent {
            self.progress_percent = reported_task.progress_percent;
            self.progressed = now;
        }
    }

    /// Whether a run that should end needs a stop, since a poll that was sent at `polled` lists it.
    /// An unanswered stop is repeated by [`Scheduler::tick_runs`].
    pub(crate) fn needs_stop(&self, polled: Millis, stop_ms: u64) -> bool {
        match self.stage {
            RunStage::StartSent { .. } | RunStage::Running | RunStage::Unknown => true,
            // The worker has acknowledged a stop and has not carried it out in time.
            RunStage::StopAnswered { at } => polled > at + stop_ms,
            RunStage::Proposed | RunStage::Stopping { .. } => false,
        }
    }
}

impl Scheduler {
    /// Takes over the runs that an earlier leader started on a worker.
    pub(crate) fn adopt_runs(&mut self, state: &QueueState, worker: &Worker, now: Millis) {
        let Some(index) = self.workers.index(&worker.record.id) else {
            return;
        };
        for (task, held) in &worker.runs {
            let job = state.job(task.step.job);
            let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
            let run = RunView {
                run: held.run,
                resources: held.resources,
                tenant: None,
                stage: RunStage::Unknown,
                since: now,
                is_adopted: true,
                isolation: job.map_or(Isolation::None, |job| adopted_isolation(job, *task)),
                is_service: step.is_some_and(|step| step.is_service),
                usual_ms: step.map_or(0, |step| step.estimate_ms),
                expected_ms: step.map_or(0, |step| step.estimate_ms),
                checkpoint: None,
                checkpointed: None,
                progress_percent: 0,
                progressed: now,
                unlisted_since: Some(now),
                has_begun: false,
                is_remote: false,
                is_needless: job.is_some_and(|job| job.is_needless(*task, held.run)),
                confirmed: now,
            };
            let tenant = job.and_then(|job| job.tenant.as_deref());
            let tenant = self.adopted_tenant(tenant);
            self.workers.add_run(index, *task, run, tenant);
        }
    }

    /// Handles the reply to a request, or the reason why there is none.
    pub fn handle_reply(
        &mut self,
        state: &QueueState,
        request: &WorkerRequest,
        result: Result<WorkerReply, WorkerRequestError>,
        now: Millis,
    ) {
        if request.term != self.config.term {
            return;
        }
        if self.incarnation(&request.worker) != Some(request.incarnation) {
            return;
        }
        let Some(index) = self.index(&request.worker) else {
            return;
        };
        self.close_start(index, request, &result);
        match &result {
            Ok(WorkerReply::Accepted) => self.record_contact(index, now),
            Err(WorkerRequestError::OtherLife) => {
                self.forget_first_start(index, &request.kind);
                return self.remove_replaced_worker(index);
            }
            Err(
                error @ (WorkerRequestError::NoAnswer
                | WorkerRequestError::Broken
                | WorkerRequestError::NotSent
                | WorkerRequestError::Refused),
            ) => {
                self.counts.unanswered_requests += 1;
                self.record_contact_loss(index, request, *error, now);
                if *error == WorkerRequestError::Refused {
                    self.handle_crash_sign(index, now);
                }
            }
            _ => {}
        }
        match (&request.kind, result) {
            (WorkerRequestKind::Poll { .. }, Ok(WorkerReply::Polled(reply))) => {
                self.handle_poll_reply(index, request.sent, reply, now);
            }
            (WorkerRequestKind::Poll { .. }, Err(WorkerRequestError::OutOfResources)) => {
                self.handle_unsent_poll(index, now);
            }
            (WorkerRequestKind::Poll { .. }, _) => {
                self.handle_missed_poll(index, request.sent, now)
            }
            (WorkerRequestKind::Start { task, run, .. }, result) => {
                self.start_answered(state, index, (*task, *run), request.sent, result, now);
            }
            (WorkerRequestKind::Stop { task, run, .. }, Ok(_)) => {
                self.late_start_stopped(index, (*task, *run), now);
                if let Some(view) = self.run_mut(index, *task, *run) {
                    view.stage = RunStage::StopAnswered { at: now };
                }
            }
            // `tick_runs` sends the stop again.
            (WorkerRequestKind::Stop { .. }, Err(_)) => {}
        }
    }

    /// Whether a worker has answered this leader, and since its last reply no poll has failed and
    /// no start has gone unanswered.
    pub fn is_reachable(&self, worker: &str) -> bool {
        let worker = self.index(worker).and_then(|index| self.workers.get(index));
        worker.is_some_and(|worker| worker.lease.is_reachable())
    }

    fn record_contact(&mut self, index: WorkerIndex, now: Millis) {
        if let Some(worker) = self.workers.get_mut(index) {
            worker.lease.record_contact(now);
            worker.loss = ContactLoss::default();
        }
    }

    pub(super) fn release(&mut self, index: WorkerIndex, task: TaskKey, run: u32) {
        if let Some(worker) = self.workers.get(index) {
            let incarnation = worker.record.incarnation;
            let worker = worker.record.id.clone();
            self.propose(QueueCommand::Release {
                worker,
                incarnation,
                task,
                run,
            });
        }
    }

    pub(crate) fn record_missed(&mut self, index: WorkerIndex, sent: Millis) {
        if let Some(worker) = self.workers.get_mut(index) {
            worker.lease.record_missed(sent);
        }
    }

    /// Sends a stop for a run, whether it has started or may still start.
    pub(crate) fn stop_run(
        &mut self,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        reason: StopReason,
        now: Millis,
    ) {
        if let Some(view) = self.run_mut(index, task, run) {
            view.stage = RunStage::Stopping { sent: now, reason };
        }
        self.send_stop(index, (task, run), reason, now);
    }

    pub(crate) fn send_stop(
        &mut self,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        reason: StopReason,
        now: Millis,
    ) {
        let term = self.config.term;
        if let Some(worker) = self.workers.get(index) {
            let kind = WorkerRequestKind::Stop { task, run, reason };
            let request = WorkerRequest::new(&worker.record, worker.fence(term), now, kind);
            self.counts.stops[reason.index()] += 1;
            self.actions.push(Action::Send(request));
        }
    }

    pub(super) fn run_mut(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: u32,
    ) -> Option<&mut RunView> {
        let view = self.workers.get_mut(index)?.runs.get_mut(&task)?;
        (view.run == run).then_some(view)
    }

    /// A worker with another ID answers at the address, so this one has ended.
    pub(crate) fn remove_replaced_worker(&mut self, index: WorkerIndex) {
        if let Some(worker) = self.workers.get(index) {
            let (id, incarnation) = (worker.record.id.clone(), worker.record.incarnation);
            let checkpoints = worker.checkpoints();
            let command = if worker.is_leaving() {
                QueueCommand::RemoveWorker {
                    worker: id,
                    incarnation: Some(incarnation),
                    checkpoints,
                }
            } else {
                QueueCommand::Crash {
                    worker: id,
                    incarnation,
                    checkpoints,
                    lost: worker.lost_runs(),
                }
            };
            self.propose(command);
        }
    }

    /// Stops the remaining runs of a job that has ended. The runs of a completed job have ended by
    /// themselves. Runs that a later poll lists nevertheless are stopped then.
    pub(crate) fn job_ended(&mut self, job: JobKey, phase: JobPhase, now: Millis) {
        let runs = self.forget_job(job);
        if phase == JobPhase::Completed {
            return;
        }
        for (task, run, index) in runs {
            let stage = self.run_mut(index, task, run).map(|view| view.stage);
            match stage {
                // The start is applied after the end of the job, so it is never sent.
                Some(RunStage::Proposed) | None => {}
                Some(RunStage::StopAnswered { .. }) => {}
                Some(_) => self.stop_run(index, (task, run), StopReason::JobEnded, now),
            }
        }
    }

    /// Handles the end of a run, which frees its resources on the worker.
    pub(crate) fn run_ended(
        &mut self,
        state: &QueueState,
        id: &str,
        (task, run): (TaskKey, u32),
        kind: Option<EndKind>,
        now: Millis,
    ) {
        let Some(index) = self.workers.index(id) else {
            return;
        };
        let Some(view) = self.workers.remove_run(index, task, run) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let id = worker.record.id.clone();
        self.rounds.note_freed(index);
        if kind.is_some() {
            self.unstarted_jobs.remove(&task.step.job);
        }
        match kind {
            Some(EndKind::Done) => {
                let took_ms = now.since(view.since);
                let times_ms = (!view.is_remote).then_some((took_ms, view.usual_ms));
                worker.health.succeeded(times_ms);
                if view.is_measurable() {
                    self.record_duration(task.step, took_ms);
                }
                self.record_speed(task.step, index, &view, took_ms);
            }
            Some(EndKind::Failed) => {}
            Some(EndKind::GangIncomplete) => self.counts.incomplete_gang_ends += 1,
            Some(_) => {}
            None => self.record_lost_run(&id, task, &view, now),
        }
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.placed.remove(&task.index);
        }
        if kind == Some(EndKind::Failed) && !(view.is_service && view.was_at_work(now)) {
            self.record_failure(state, index, task, now);
        }
    }

    /// Records how long the tasks of a step take, once for each step.
    fn record_duration(&mut self, step: StepKey, took_ms: u64) {
        let Some(view) = self.steps.get_mut(&step) else {
            return;
        };
        if !std::mem::replace(&mut view.is_duration_recorded, true) {
            let estimate_ms = view.spec().estimate_ms;
            self.durations
                .record(&view.queue_name, estimate_ms, took_ms);
        }
    }

    /// Repeats unanswered stops, moves runs off draining workers and stops stalled runs.
    pub(crate) fn tick_runs(&mut self, state: &QueueState, now: Millis) {
        let mut stops = Vec::new();
        for (index, worker) in self.workers.iter() {
            for (task, run) in &worker.runs {
                if let RunStage::Stopping { sent, reason } = run.stage
                    && now.since(sent) >= STOP_RETRY_MS
                {
                    stops.push((index, (*task, run.run), reason));
                }
            }
        }
        for (index, run, reason) in stops {
            self.stop_run(index, run, reason, now);
        }
        self.tick_late_start_stops(now);
        self.move_off_draining_workers(state, now);
        self.stop_stalled_runs(state, now);
    }
}

/// How a task that an earlier leader started is isolated.
fn adopted_isolation(job: &crate::job::Job, task: TaskKey) -> Isolation {
    if job.phase.has_ended() {
        return Isolation::None;
    }
    task_isolation(job, task.step, task.index)
}
