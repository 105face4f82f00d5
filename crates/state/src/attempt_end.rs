//! The end of attempts, and its effect on the task and its job.

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_types::JobId;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::jobs::Job;
use crate::jobs::JobPhase;
use crate::outcome::Change;
use crate::state::State;
use crate::tasks::Phase;
use crate::tasks::Stop;
use crate::tasks::StopReason;
use crate::tasks::Task;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The attempt ended by itself with success.
    Finished,
    /// The attempt ended by itself with an error.
    Failed,
    /// The worker stopped the attempt on command or because its lease ended.
    Stopped,
    /// The worker has certainly stopped running the attempt, without reporting how it ended.
    Lost,
}

/// What happens to a task after its attempt has ended.
enum TaskTransition {
    /// The task waits for another attempt.
    Requeue,
    /// The task is deleted, as a surplus replica.
    Remove,
    /// The task has ended and is not placed again.
    End { success: bool },
}

impl State {
    /// Releases the resources of an attempt and updates its task and job. An attempt that holds no
    /// resources has ended before, so a repeated report has no effect, except for a late finish.
    pub(crate) fn end_attempt(&mut self, worker_id: WorkerId, key: AttemptKey, end: AttemptEnd) {
        let released = self
            .workers
            .get_mut(worker_id)
            .and_then(|worker| worker.release(key));
        if released.is_none() && !self.disabled.attempt_fencing {
            self.accept_late_finish(key, end);
            return;
        }
        self.record_change(Change::Worker(worker_id));
        if self.is_current(worker_id, key) {
            self.end_current_attempt(key.task, worker_id, end);
        }
    }

    /// Whether a successful end of the attempt still counts if it is reported now, after the
    /// resources were released. This is the case if the task waits again, for instance because the
    /// lease ended before the report arrived, and no newer attempt has been placed since.
    pub fn is_late_finish(&self, key: AttemptKey) -> bool {
        let Some(task) = self.tasks.get(key.task) else {
            return false;
        };
        let job = self.jobs.get(task.job);
        let accepts_finish = job.is_some_and(|job| job.is_active() && !job.is_service());
        accepts_finish && task.is_waiting() && task.attempt == key.attempt
    }

    /// Ends the task of an attempt whose success is reported after its resources were released, for
    /// instance at the end of the worker's lease, unless the task was placed again.
    fn accept_late_finish(&mut self, key: AttemptKey, end: AttemptEnd) {
        if end != AttemptEnd::Finished || !self.is_late_finish(key) {
            return;
        }
        let Some(task) = self.tasks.get_mut(key.task) else {
            return;
        };
        task.phase = Phase::Ended { success: true };
        let job_id = task.job;
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.finished += 1;
        }
        self.record_task_change(key.task);
        self.reconcile_job(job_id);
    }

    /// Whether the key refers to the current attempt of its task and this attempt is placed on the
    /// worker.
    pub(crate) fn is_current(&self, worker: WorkerId, key: AttemptKey) -> bool {
        let Some(task) = self.tasks.get(key.task) else {
            return false;
        };
        if self.disabled.attempt_fencing {
            return task.worker().is_some();
        }
        task.attempt == key.attempt && task.worker() == Some(worker)
    }

    fn end_current_attempt(&mut self, id: TaskId, worker: WorkerId, end: AttemptEnd) {
        let now_unix_ms = self.clock_unix_ms;
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let job_id = task.job;
        job.placed = job.placed.saturating_sub(1);
        let was_unreachable = task.unreachable;
        let transition = transition_after(task, job, worker, end);
        task.stop = None;
        task.unreachable = false;
        task.waiting_since_unix_ms = now_unix_ms;
        task.phase = match transition {
            TaskTransition::Requeue | TaskTransition::Remove => Phase::Waiting,
            TaskTransition::End { success } => Phase::Ended { success },
        };
        match transition {
            TaskTransition::End { success: true } => job.finished += 1,
            TaskTransition::End { success: false } if job.is_active() => job.failed += 1,
            _ => {}
        }
        let team = job.spec.team.clone();
        let resources = job.spec.resources;
        match was_unreachable {
            true => self.release_unreachable(&team, &resources),
            false => self.quotas.release(&team, &resources),
        }
        self.record_task_change(id);
        if matches!(transition, TaskTransition::Remove) {
            self.remove_task(job_id, id);
        }
        self.reconcile_job(job_id);
    }

    /// Updates a job after one of its tasks has changed: stops an incomplete gang, adjusts the
    /// replicas of a service and ends the job if nothing is left to do.
    pub(crate) fn reconcile_job(&mut self, id: JobId) {
        self.stop_broken_gang(id);
        self.adjust_replicas(id);
        self.end_job_if_done(id);
        self.record_end_if_released(id);
    }

    /// Requests the stop of all placed tasks of a gang if one of its tasks waits or is being stopped,
    /// because the tasks of a gang must start together.
    pub(crate) fn stop_broken_gang(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if !job.is_gang() || !job.is_active() {
            return;
        }
        let checkpoint = job.spec.checkpoint_cost_ms.is_some();
        let members: Vec<TaskId> = job.tasks.iter().copied().collect();
        let is_broken = members
            .iter()
            .filter_map(|member| self.tasks.get(*member))
            .any(|task| task.is_waiting() || task.stop.is_some());
        if !is_broken {
            return;
        }
        for member in members {
            let Some(task) = self.tasks.get_mut(member) else {
                continue;
            };
            if task.worker().is_none() || task.stop.is_some() {
                continue;
            }
            task.stop = Some(Stop {
                reason: StopReason::GangBroken,
                checkpoint,
            });
            self.record_task_change(member);
        }
    }

    /// Sets the final phase of a job whose tasks have all ended, and of a gang as soon as one task
    /// has failed for good. Services end only when they are cancelled.
    fn end_job_if_done(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !job.is_active() || job.is_service() {
            return;
        }
        let is_given_up = job.is_gang() && job.failed > 0;
        let is_done = job.finished + job.failed == job.tasks.len() as u32;
        if !is_given_up && !is_done {
            return;
        }
        let last_failure = job
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(*id))
            .filter(|task| task.phase == Phase::Ended { success: false })
            .find_map(|task| task.last_failure.clone());
        job.phase = match job.failed {
            0 => JobPhase::Finished,
            failed => JobPhase::Failed {
                reason: format!(
                    "{failed} tasks failed after repeated attempts, one with: {}",
                    last_failure.unwrap_or_default()
                ),
            },
        };
        self.record_change(Change::Job(id));
    }

    /// Records the end of a job that is not active and has no placed task.
    pub(crate) fn record_end_if_released(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.is_active() || job.placed > 0 || job.ended_unix_ms.is_some() {
            return;
        }
        self.jobs.record_end(id, self.clock_unix_ms);
        self.record_change(Change::Job(id));
    }
}

/// Decides what happens to a task after its attempt, and counts a failure if it was one.
fn transition_after(
    task: &mut Task,
    job: &Job,
    worker: WorkerId,
    end: AttemptEnd,
) -> TaskTransition {
    let is_service = job.is_service();
    if end == AttemptEnd::Finished && !is_service {
        return TaskTransition::End { success: true };
    }
    if !job.is_active() {
        return TaskTransition::End { success: false };
    }
    if task.is_surplus() {
        return TaskTransition::Remove;
    }
    let ended_by_itself = matches!(end, AttemptEnd::Finished | AttemptEnd::Failed);
    if !ended_by_itself || task.stop.is_some() {
        return TaskTransition::Requeue;
    }
    task.count_failure(worker);
    match task.has_exhausted_attempts() && !is_service {
        true => TaskTransition::End { success: false },
        false => TaskTransition::Requeue,
    }
}
