//! Handling of task ends: learning from them, and queueing tasks that must run again.

use std::cmp::Reverse;

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::decision::FaultyTask;
use crate::decision::StopCause;
use crate::decision::TaskStop;
use crate::job::Stopping;
use crate::job::TaskState;
use crate::placer::Placer;
use crate::view::JobPolicy;
use crate::view::TaskEnd;

/// The initial retry backoff of a task. It doubles with each failure.
const RETRY_DELAY_MS: u64 = 1_000;

/// The upper bound of the retry backoff.
const RETRY_DELAY_MAX_MS: u64 = 300_000;

/// The binding of a task at the time of its end.
#[derive(Clone, Copy)]
struct EndedTask {
    task: TaskId,
    worker: WorkerId,
    started: Millis,
    stopping: Stopping,
}

impl Placer {
    /// Releases the resources of a task. The task is queued again, possibly after a backoff, unless
    /// the end is final (see [`TaskEnd`]).
    pub fn release(&mut self, now: Millis, task: TaskId, end: TaskEnd) {
        self.advance(now);
        let Some(record) = self.tasks.get(&task) else {
            return;
        };
        let job = record.job;
        let TaskState::Bound {
            worker,
            started,
            stopping,
            ..
        } = record.state
        else {
            self.release_waiting(task, end);
            return;
        };
        let ended = EndedTask {
            task,
            worker,
            started,
            stopping,
        };
        self.unbind(task);
        match job.filter(|job| self.jobs.contains_key(job)) {
            Some(job) => self.handle_end(job, &ended, end),
            None => {
                self.tasks.remove(&task);
            }
        }
    }

    /// Handles the end of a task that is not bound: only a final end removes it.
    fn release_waiting(&mut self, task: TaskId, end: TaskEnd) {
        if !matches!(end, TaskEnd::Finished | TaskEnd::Cancelled) {
            return;
        }
        let job = self.tasks.get(&task).and_then(|task| task.job);
        self.remove_task(task);
        if let Some(job) = job {
            self.remove_if_ended(job);
        }
    }

    fn handle_end(&mut self, job: JobId, ended: &EndedTask, end: TaskEnd) {
        if ended.stopping == Stopping::Preempted && end != TaskEnd::Finished {
            self.count_preemption(ended.task);
        }
        match end {
            TaskEnd::Finished => self.handle_finished(job, ended),
            TaskEnd::Failed => self.handle_failed(job, ended),
            TaskEnd::Stopped => self.handle_stopped(job, ended),
            TaskEnd::Lost | TaskEnd::Rejected => self.set_waiting(ended.task, true),
            TaskEnd::Cancelled => {
                self.tasks.remove(&ended.task);
            }
        }
        if !matches!(end, TaskEnd::Finished | TaskEnd::Cancelled) {
            self.stop_rest_of_gang(job);
        }
        self.enqueue(job);
        self.remove_if_ended(job);
    }

    fn handle_finished(&mut self, id: JobId, ended: &EndedTask) {
        self.record_success(ended.worker);
        let preemptions = self
            .tasks
            .get(&ended.task)
            .map_or(0, |task| task.preemptions);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.succeeded = true;
        if job.policy == JobPolicy::Service {
            self.schedule_retry(ended.task);
            return;
        }
        // The last attempt of a preempted task covers only a part of its run time.
        if let Some(declared_ms) = job.policy.run_time_ms()
            && preemptions == 0
            && self.config.mechanisms.learning
        {
            let actual_ms = self.now.since(ended.started);
            self.estimates.learn(job.series, declared_ms, actual_ms);
        }
        self.tasks.remove(&ended.task);
    }

    fn handle_failed(&mut self, id: JobId, ended: &EndedTask) {
        self.record_failed_task(id, ended.task, ended.worker);
        let is_service = self
            .jobs
            .get(&id)
            .is_some_and(|job| job.policy == JobPolicy::Service);
        let Some(task) = self.tasks.get_mut(&ended.task) else {
            return;
        };
        task.failures += 1;
        if !task.failed_workers.contains(&ended.worker) {
            task.failed_workers.push(ended.worker);
        }
        let workers = task.failed_workers.len() as u8;
        if is_service && workers >= self.config.faulty_task_min_workers {
            // The tasks of a service are retried without limit, with an increasing backoff.
            task.failed_workers.clear();
        } else if workers >= self.config.faulty_task_min_workers {
            self.tasks.remove(&ended.task);
            self.pending.faulty_tasks.push(FaultyTask {
                job: id,
                task: ended.task,
                workers,
            });
            return;
        }
        self.schedule_retry(ended.task);
    }

    /// Counts a preemption, whatever ended the task before it stopped: the replicated state counts
    /// it when it is decided, and refuses more than the maximum.
    fn count_preemption(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.preemptions = task.preemptions.saturating_add(1);
        }
    }

    fn handle_stopped(&mut self, job: JobId, ended: &EndedTask) {
        let is_wanted = self.jobs.contains_key(&job);
        if is_wanted {
            self.set_waiting(ended.task, false);
        }
    }

    /// Puts a task at the front or the back of its job's list of waiting tasks.
    pub(crate) fn set_waiting(&mut self, id: TaskId, front: bool) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        task.state = TaskState::Waiting;
        let Some(job) = task.job.and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        match front {
            true => job.waiting.push_front(id),
            false => job.waiting.push_back(id),
        }
        job.failed_at_generation = 0;
    }

    /// Starts the retry backoff of a task.
    fn schedule_retry(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        task.state = TaskState::Delayed;
        let doublings = task.failures.saturating_sub(1).min(16);
        let delay_ms = (RETRY_DELAY_MS << doublings).min(RETRY_DELAY_MAX_MS);
        let Some(job) = task.job.and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        job.delayed += 1;
        self.delayed.push(Reverse((self.now + delay_ms, id)));
    }

    /// Queues tasks whose retry backoff has ended.
    pub(crate) fn requeue_delayed(&mut self) {
        while let Some(&Reverse((at, id))) = self.delayed.peek() {
            if at > self.now {
                return;
            }
            self.delayed.pop();
            let Some(task) = self.tasks.get(&id) else {
                continue;
            };
            let (state, job) = (task.state, task.job);
            let Some(job) = job.filter(|_| state == TaskState::Delayed) else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(&job) {
                job.delayed -= 1;
            }
            self.set_waiting(id, false);
            self.enqueue(job);
        }
    }

    /// Requests the stop of the remaining tasks of a gang after one of its tasks ended early.
    fn stop_rest_of_gang(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.is_gang()) else {
            return;
        };
        let checkpoint = job.checkpoint_cost_ms.is_some();
        for task in job.bound.clone() {
            let state = self.tasks.get(&task).map(|task| task.state);
            let Some(TaskState::Bound {
                worker,
                stopping: Stopping::No,
                ..
            }) = state
            else {
                continue;
            };
            self.request_stop(task, Stopping::GangBroken);
            self.pending.stops.push(TaskStop {
                job: id,
                task,
                worker,
                checkpoint,
                cause: StopCause::GangBroken,
            });
        }
    }
}
