//! Requests to workers and the handling of their replies.
//!
//! A worker may still carry out a request after the reply is overdue. A start without a reply is
//! therefore repeated with the same run number, which the worker recognises, and is abandoned only
//! by a stop. After the reply to a stop the run cannot begin any more, and its resources are free
//! as soon as a poll sent more than `stop_ms` later does not list it.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::command::Placement;
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
use crate::scheduler::messages::RejectReason;
use crate::scheduler::messages::RunningTask;
use crate::scheduler::messages::StopReason;
use crate::scheduler::messages::WorkerReply;
use crate::scheduler::messages::WorkerRequest;
use crate::scheduler::messages::WorkerRequestError;
use crate::scheduler::messages::WorkerRequestKind;
use crate::scheduler::restarts::OpenStart;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;
use crate::worker::EndKind;
use crate::worker::Worker;

/// The number of unanswered start requests for one run after which the run is stopped instead.
pub(crate) const START_ATTEMPTS_MAX: u32 = 3;
/// Time after which an unanswered stop is sent again.
const STOP_RETRY_MS: u64 = 500;

impl RunView {
    /// Records that the worker has the run.
    fn confirm(&mut self, now: Millis) {
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
        let Some(view) = self.workers.by_id_mut(&worker.record.id) else {
            return;
        };
        for (task, held) in &worker.runs {
            let job = state.job(task.step.job);
            let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
            let run = RunView {
                run: held.run,
                resources: held.resources,
                stage: RunStage::Unknown,
                since: now,
                is_adopted: true,
                isolation: job.map_or(Isolation::None, |job| adopted_isolation(job, *task)),
                usual_ms: step.map_or(0, |step| step.estimate_ms),
                expected_ms: step.map_or(0, |step| step.estimate_ms),
                checkpoint: None,
                checkpointed: None,
                progress_percent: 0,
                progressed: now,
                unlisted_since: Some(now),
                has_begun: false,
                is_needless: job.is_some_and(|job| job.is_needless(*task, held.run)),
                confirmed: now,
            };
            view.add_run(*task, run);
        }
    }

    /// Sends the start requests of a committed start, unless the capacity has shrunk, or the worker
    /// has started again or announced that it leaves meanwhile. A gang is started as a whole or not at all.
    pub(crate) fn send_starts(
        &mut self,
        state: &QueueState,
        step: StepKey,
        placements: &[Placement],
        now: Millis,
    ) {
        for placement in placements {
            self.record_placement(step, placement);
        }
        let can_send = self.can_send_starts(step, placements, now);
        for placement in placements {
            let task = step.task(placement.index);
            let Some(index) = self.index(&placement.worker) else {
                continue;
            };
            if can_send && self.may_start(&placement.worker, |other| *other == task) {
                self.send_start(state, index, task, placement.run, now);
            } else {
                self.release(index, task, placement.run);
            }
        }
    }

    /// Whether a committed start may be sent to a worker. The commit may have taken seconds.
    pub(crate) fn may_start(&self, worker: &str, is_next: impl Fn(&TaskKey) -> bool) -> bool {
        let worker = self.index(worker).and_then(|index| self.workers.get(index));
        worker.is_some_and(|worker| {
            let stays = worker.successor.is_none() && !worker.is_leaving();
            stays && worker.has_room_for(is_next)
        })
    }

    fn send_start(
        &mut self,
        state: &QueueState,
        index: WorkerIndex,
        task: TaskKey,
        run: u32,
        now: Millis,
    ) {
        let permit = self.permit(task.step, index);
        let (term, lease_ms) = (self.config.term, self.config.lease_ms);
        let exclusive_ms = self.exclusive_ms();
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(job) = state
            .job(task.step.job)
            .filter(|job| !job.phase.has_ended())
        else {
            return self.stop_run(index, (task, run), StopReason::JobEnded, now);
        };
        if job.is_needless(task, run) {
            self.mark_needless(index, task, run);
            return self.stop_run(index, (task, run), StopReason::TaskDone, now);
        }
        let Some(until_ms) = worker.lease.lease_until_ms(now, lease_ms) else {
            return self.stop_run(index, (task, run), StopReason::Unanswered, now);
        };
        let Some(view) = worker.runs.get_mut(&task) else {
            return;
        };
        let attempts = match view.stage {
            RunStage::StartSent { attempts } => attempts + 1,
            _ => 1,
        };
        view.stage = RunStage::StartSent { attempts };
        view.unlisted_since = Some(now);
        worker.record_open_start(task, run, now);
        worker.record_start(task.step.job, exclusive_ms, now);
        let kind = WorkerRequestKind::Start {
            task,
            run,
            payload: job.spec.payload.clone(),
            until_ms,
            checkpoint: resume_checkpoint(job, task),
            permit,
        };
        let request = WorkerRequest::new(&worker.record, worker.fence(term), now, kind);
        let evidence = &mut self.quarantine.evidence;
        evidence.record_start(index, &job.queue.name, now);
        self.counts.starts += u64::from(attempts == 1);
        self.actions.push(Action::Send(request));
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

    /// Marks a run as not started whose first start certainly reached no worker, so that it is no
    /// suspect if its worker has crashed.
    fn forget_first_start(&mut self, index: WorkerIndex, kind: &WorkerRequestKind) {
        let WorkerRequestKind::Start { task, run, .. } = kind else {
            return;
        };
        if let Some(view) = self.run_mut(index, *task, *run)
            && view.stage == (RunStage::StartSent { attempts: 1 })
        {
            view.stage = RunStage::Proposed;
        }
    }

    /// Whether a worker has answered this leader, and since its last reply no poll has failed and
    /// no start has gone unanswered.
    pub fn is_reachable(&self, worker: &str) -> bool {
        let worker = self.index(worker).and_then(|index| self.workers.get(index));
        worker.is_some_and(|worker| worker.lease.is_reachable())
    }

    /// Forgets that a start may be carried out late, if its outcome is certain.
    fn close_start(
        &mut self,
        index: WorkerIndex,
        request: &WorkerRequest,
        result: &Result<WorkerReply, WorkerRequestError>,
    ) {
        let WorkerRequestKind::Start { task, run, .. } = request.kind else {
            return;
        };
        if result.as_ref().is_err_and(|error| error.is_uncertain()) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(index) {
            let sent = request.sent;
            worker.forget_open_start(OpenStart { task, run, sent });
        }
    }

    fn record_contact(&mut self, index: WorkerIndex, now: Millis) {
        if let Some(worker) = self.workers.get_mut(index) {
            worker.lease.record_contact(now);
            worker.loss = ContactLoss::default();
        }
    }

    fn start_answered(
        &mut self,
        state: &QueueState,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        sent: Millis,
        result: Result<WorkerReply, WorkerRequestError>,
        now: Millis,
    ) {
        let Some(view) = self.run_mut(index, task, run) else {
            return;
        };
        let RunStage::StartSent { attempts } = view.stage else {
            return self.stopped_start_answered(index, (task, run), &result);
        };
        match result {
            Ok(_) => {
                view.confirm(now);
                view.unlisted_since = Some(now);
                self.unstarted_jobs.remove(&task.step.job);
                if let Some(step) = self.steps.get_mut(&task.step) {
                    step.rejections.forget(index);
                }
            }
            Err(WorkerRequestError::NoAnswer | WorkerRequestError::Broken) => {
                self.record_missed(index, sent);
                let is_useful = self.is_retry_useful(task.step, sent, now);
                let may_retry = is_useful
                    && self.workers.get(index).is_some_and(|worker| {
                        !worker.is_leaving()
                            && worker.successor.is_none()
                            && worker.has_room_for(|_| false)
                            && attempts < START_ATTEMPTS_MAX
                    });
                if may_retry {
                    self.send_start(state, index, task, run, now);
                } else {
                    self.give_up_start(state, index, (task, run), now);
                }
            }
            Err(WorkerRequestError::NotSent | WorkerRequestError::Refused) => {
                self.record_missed(index, sent);
                self.not_started(state, index, (task, run), attempts, now);
            }
            Err(WorkerRequestError::OutOfResources) => {
                self.not_started(state, index, (task, run), attempts, now);
            }
            Err(WorkerRequestError::Rejected(reason)) => {
                self.counts.rejected_starts += 1;
                self.start_rejected(state, index, (task, run), attempts, reason, now);
            }
            Err(WorkerRequestError::Unhealthy) => {
                if let Some(worker) = self.workers.get_mut(index) {
                    worker.health.pause(now);
                }
                self.not_started(state, index, (task, run), attempts, now);
            }
            Err(WorkerRequestError::OtherLife) => {}
        }
    }

    /// Handles the reply to the start of a run that is to be stopped: a run that certainly has not
    /// begun needs no stop.
    fn stopped_start_answered(
        &mut self,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        result: &Result<WorkerReply, WorkerRequestError>,
    ) {
        let has_open_start = self.workers.get(index).is_some_and(|worker| {
            let mut open = worker.open_starts.iter();
            open.any(|start| start.task == task && start.run == run)
        });
        let Some(view) = self.run_mut(index, task, run) else {
            return;
        };
        let is_stopping = matches!(
            view.stage,
            RunStage::Stopping { .. } | RunStage::StopAnswered { .. }
        );
        match result {
            Ok(_) => view.has_begun = true,
            Err(error) if is_stopping && !view.has_begun && error.has_started_nothing() => {
                if !has_open_start {
                    self.release(index, task, run);
                }
            }
            Err(_) => {}
        }
    }

    fn start_rejected(
        &mut self,
        state: &QueueState,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        attempts: u32,
        reason: RejectReason,
        now: Millis,
    ) {
        match reason {
            // A leader of a higher term exists; this one learns that from its quorum.
            RejectReason::Fenced => return,
            RejectReason::NoPermit => self.invalidate_permit(task.step, index),
            _ => {}
        }
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.rejections.record(index, now);
        }
        self.not_started(state, index, (task, run), attempts, now);
    }

    /// Handles a request that started nothing: it was rejected or not sent.
    fn not_started(
        &mut self,
        state: &QueueState,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        attempts: u32,
        now: Millis,
    ) {
        if attempts > 1 {
            // An earlier request for this start may have been carried out, or may still be.
            return self.give_up_start(state, index, (task, run), now);
        }
        self.release(index, task, run);
        self.stop_other_members(task, run, now);
    }

    /// Stops a run of which it is unknown whether it has begun. A gang is stopped as a whole, unless
    /// its progress shows that all members have begun.
    fn give_up_start(
        &mut self,
        state: &QueueState,
        index: WorkerIndex,
        (task, run): (TaskKey, u32),
        now: Millis,
    ) {
        if self.has_gang_progress(state, task, run) {
            if let Some(view) = self.run_mut(index, task, run) {
                view.confirm(now);
            }
            return;
        }
        self.stop_run(index, (task, run), StopReason::Unanswered, now);
        self.stop_other_members(task, run, now);
    }

    fn release(&mut self, index: WorkerIndex, task: TaskKey, run: u32) {
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

    fn run_mut(&mut self, index: WorkerIndex, task: TaskKey, run: u32) -> Option<&mut RunView> {
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
        let Some(worker) = self.workers.get_mut(index) else {
            return;
        };
        let Some(view) = worker.remove_run(task, run) else {
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
                worker.health.succeeded(took_ms, view.usual_ms);
                if view.is_measurable() {
                    self.record_duration(task.step, took_ms);
                }
            }
            Some(EndKind::Failed) => worker.health.failed(task.step.job, now),
            Some(EndKind::GangIncomplete) => self.counts.incomplete_gang_ends += 1,
            Some(_) => {}
            None => self.record_lost_run(&id, task, &view, now),
        }
        if let Some(step) = self.steps.get_mut(&task.step) {
            if kind == Some(EndKind::Failed) {
                step.avoided.insert(index);
            }
            step.placed.remove(&task.index);
        }
        if kind == Some(EndKind::Failed) {
            self.clear_worker_failures(state, task);
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

    /// Drops runs whose proposed start had no effect when it was applied, or can never be applied.
    pub(crate) fn undo_unapplied_starts(
        &mut self,
        state: &QueueState,
        step: StepKey,
        placements: &[Placement],
        now: Millis,
    ) {
        for placement in placements {
            let task = step.task(placement.index);
            let held = state
                .worker(&placement.worker)
                .and_then(|worker| worker.runs.get(&task));
            if held.is_some_and(|held| held.run == placement.run) {
                continue;
            }
            if let Some(worker) = self.workers.by_id_mut(&placement.worker) {
                let is_proposed = worker
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.stage == RunStage::Proposed);
                if is_proposed {
                    worker.remove_run(task, placement.run);
                }
            }
            if let Some(index) = self.index(&placement.worker) {
                self.rounds.note_freed(index);
            }
            if let Some(view) = self.steps.get_mut(&step) {
                view.proposed.remove(&placement.index);
            }
        }
        self.step_changed(state, step, now);
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

/// The checkpoint from which a task resumes; all members of a gang resume from the same one.
pub(crate) fn resume_checkpoint(job: &crate::job::Job, task: TaskKey) -> Option<Arc<str>> {
    let position = usize::from(task.step.step);
    let tasks = &job.steps[position].tasks;
    if !job.spec.steps[position].is_gang {
        return tasks[task.index as usize].checkpoint.clone();
    }
    tasks.iter().find_map(|member| member.checkpoint.clone())
}
