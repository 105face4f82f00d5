//! Distinguishes faulty workers from faulty tasks.
//!
//! A worker that fails or stalls everything it starts has the most free resources and would attract
//! more tasks. A worker is suspected after failures of several jobs without a success in between.
//! It then gets no task during a pause, and after that one task at a time until one succeeds or the
//! trial period is over. Without an end of the trial, a gang that needs several tasks on each
//! worker would wait for ever if nothing else runs. A task is placed on another worker after a
//! failure, if possible, so a task that fails again is itself at fault, and its failures no longer
//! count against workers.

use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::ids::JobKey;
use crate::ids::TaskKey;
use crate::job::JobPhase;
use crate::scheduler::Scheduler;
use crate::scheduler::speeds::WorkerSpeed;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;

/// A worker is suspected after failures of this many different jobs without a success.
const FAILURES_MAX: usize = 2;
/// The first pause of a suspected worker; each further one doubles it.
const PAUSE_MIN_MS: u64 = 2_000;
/// The longest pause.
const PAUSE_MAX_MS: u64 = 8_000;
/// A task that has failed this often is at fault, and not the workers on which it failed.
const TASK_FAILURES_MAX: u32 = 2;
/// A run of a task that lasts and that fails after it has worked for this long is no evidence against
/// its worker: one that is at fault does not keep tasks at work.
const AT_WORK_MS: u64 = 5_000;
/// The weight of a new observation in the moving mean of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// The smallest and the largest slowdown that an observation counts as.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);

/// What the runs of a worker have shown about it.
#[derive(Clone, Debug)]
pub struct Health {
    /// Jobs that failed there since the last success.
    failed: SmallVec<[JobKey; 4]>,
    /// No task may start there before this time.
    paused_until: Millis,
    /// A suspected worker may run only one task before this time.
    trial_until: Millis,
    pause_ms: u64,
    /// Moving mean of the ratio of the duration of runs to their estimate.
    slowdown: f64,
    /// The speed by comparison with other workers.
    pub(crate) speed: WorkerSpeed,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            failed: SmallVec::new(),
            paused_until: Millis::ZERO,
            trial_until: Millis::ZERO,
            pause_ms: PAUSE_MIN_MS,
            slowdown: 1.0,
            speed: WorkerSpeed::default(),
        }
    }
}

impl Health {
    /// Records a run that was done. Its time, and the time that it takes on most workers, are `None`
    /// if they say nothing about the worker.
    pub fn succeeded(&mut self, times_ms: Option<(u64, u64)>) {
        self.failed.clear();
        self.paused_until = Millis::ZERO;
        self.pause_ms = PAUSE_MIN_MS;
        let Some((took_ms, usual_ms)) = times_ms else {
            return;
        };
        let ratio = took_ms.max(1) as f64 / usual_ms.max(1) as f64;
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown += (ratio - self.slowdown) * SLOWDOWN_WEIGHT;
    }

    /// Records a run of a job that failed or stalled there.
    pub fn failed(&mut self, job: JobKey, now: Millis) {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        if self.failed.len() >= FAILURES_MAX {
            self.pause(now);
        }
    }

    /// Starts a pause, for a worker that is suspected or says that it is unhealthy, unless one is
    /// in progress.
    pub fn pause(&mut self, now: Millis) {
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + self.pause_ms;
        self.pause_ms = (2 * self.pause_ms).min(PAUSE_MAX_MS);
        self.trial_until = self.paused_until + self.pause_ms;
    }

    /// Stops counting the failures of a job, since the job is at fault.
    fn clear_failures(&mut self, job: JobKey) {
        let was_suspected = self.failed.len() >= FAILURES_MAX;
        self.failed.retain(|failed| *failed != job);
        if was_suspected && self.failed.len() < FAILURES_MAX {
            self.paused_until = Millis::ZERO;
        }
    }

    /// How many tasks the worker may hold at `now`.
    pub fn tasks_max(&self, now: Millis) -> usize {
        if now < self.paused_until {
            return 0;
        }
        if self.failed.len() >= FAILURES_MAX && now < self.trial_until {
            return 1;
        }
        usize::MAX
    }

    /// Whether the number of tasks that it may hold changes after `now` by time alone.
    pub fn changes_after(&self, now: Millis) -> bool {
        self.tasks_max(now) != usize::MAX
    }

    /// How much longer than estimated runs take there, as a factor.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }
}

impl RunView {
    /// Whether the run has worked for so long that its worker can run tasks.
    pub(crate) fn was_at_work(&self, now: Millis) -> bool {
        self.has_begun && now.since(self.confirmed) >= AT_WORK_MS
    }
}

impl Scheduler {
    /// Records that a run of a task has failed on a worker, as evidence against the worker or against
    /// the task.
    pub(crate) fn record_failure(
        &mut self,
        state: &QueueState,
        index: WorkerIndex,
        task: TaskKey,
        now: Millis,
    ) {
        let mut is_service = false;
        if let Some(step) = self.steps.get_mut(&task.step) {
            step.avoided.insert(index);
            is_service = step.spec().is_service;
            if is_service {
                step.failed_on.entry(task.index).or_default().insert(index);
            }
        }
        let is_at_fault = self.is_task_at_fault(state, task);
        // A task that lasts may fail for ever, and each failure would lengthen the next pause.
        let is_evidence = !(is_service && is_at_fault);
        if let Some(worker) = self.workers.get_mut(index).filter(|_| is_evidence) {
            worker.health.failed(task.step.job, now);
        }
        if !is_at_fault {
            return;
        }
        let avoided = self.steps.get(&task.step).map(|step| &step.avoided);
        for index in avoided.into_iter().flatten() {
            if let Some(worker) = self.workers.get_mut(*index) {
                worker.health.clear_failures(task.step.job);
            }
        }
    }

    /// Whether a task has failed so often that its workers are not the cause. The members of a gang
    /// share their failures. The state counts none for tasks that last.
    fn is_task_at_fault(&self, state: &QueueState, task: TaskKey) -> bool {
        let Some(job) = state.job(task.step.job) else {
            return false;
        };
        if job.phase.has_ended() {
            return job.phase == JobPhase::Failed && job.queue.attempts_max >= TASK_FAILURES_MAX;
        }
        let position = usize::from(task.step.step);
        let spec = &job.spec.steps[position];
        if spec.is_service {
            let failed_on = self.steps.get(&task.step).map(|step| &step.failed_on);
            let workers = failed_on.and_then(|failed_on| failed_on.get(&task.index));
            return workers.is_some_and(|workers| workers.len() >= TASK_FAILURES_MAX as usize);
        }
        let index = if spec.is_gang { 0 } else { task.index as usize };
        job.steps[position].tasks[index].failures >= TASK_FAILURES_MAX
    }
}
