//! Starts of tasks on workers: from the committed decision to the reply.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::command::Placement;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::scheduler::Action;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::RejectReason;
use crate::scheduler::messages::StopReason;
use crate::scheduler::messages::WorkerReply;
use crate::scheduler::messages::WorkerRequest;
use crate::scheduler::messages::WorkerRequestError;
use crate::scheduler::messages::WorkerRequestKind;
use crate::scheduler::restarts::OpenStart;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;

/// The number of unanswered start requests for one run after which the run is stopped instead.
pub(crate) const START_ATTEMPTS_MAX: u32 = 3;

impl Scheduler {
    /// Sends the start requests of a committed start, unless the capacity or the quota of the
    /// tenant has shrunk, or the worker has started again or announced that it leaves meanwhile. A
    /// gang is started as a whole or not at all.
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
        let can_send = self.is_within_quota(step) && self.can_send_starts(step, placements, now);
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

    pub(super) fn send_start(
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

    /// Marks a run as not started whose first start certainly reached no worker, so that it is no
    /// suspect if its worker has crashed.
    pub(super) fn forget_first_start(&mut self, index: WorkerIndex, kind: &WorkerRequestKind) {
        let WorkerRequestKind::Start { task, run, .. } = kind else {
            return;
        };
        if let Some(view) = self.run_mut(index, *task, *run)
            && view.stage == (RunStage::StartSent { attempts: 1 })
        {
            view.stage = RunStage::Proposed;
        }
    }

    /// Forgets that a start may be carried out late, if its outcome is certain.
    pub(super) fn close_start(
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

    pub(super) fn start_answered(
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
    pub(super) fn stopped_start_answered(
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

    pub(super) fn start_rejected(
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
    pub(super) fn not_started(
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
    pub(super) fn give_up_start(
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
                if is_proposed && let Some(index) = self.index(&placement.worker) {
                    self.workers.remove_run(index, task, placement.run);
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
