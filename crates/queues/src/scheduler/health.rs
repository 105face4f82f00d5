//! Telling a bad worker from a bad task.
//!
//! Answers the load pattern in which a few workers fail or stall all that they start, and
//! therefore look the emptiest. A worker is suspected after failures of several jobs without a
//! success in between. It then gets no work for a pause, and after that a single task at a time
//! until one succeeds or the trial is over: a gang that needs several tasks on each worker would
//! otherwise wait for ever where nothing else runs. A task that fails again on another worker is
//! to blame itself, so its failures no longer count against workers.

use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::ids::JobKey;
use crate::ids::TaskKey;
use crate::job::JobPhase;
use crate::scheduler::Scheduler;
use crate::state::QueueState;

/// Failures of different jobs in a row after which a worker is suspected.
const FAILURES_MAX: usize = 2;
/// The first pause of a suspected worker.
const PAUSE_MIN_MS: u64 = 2_000;
/// The longest pause.
const PAUSE_MAX_MS: u64 = 8_000;
/// Failures after which a task is to blame and not the workers that it failed on.
const TASK_FAILURES_MAX: u32 = 2;
/// Weight of a new observation in the pace, in hundredths.
const PACE_WEIGHT: f64 = 0.1;
/// The least and the greatest pace.
const PACE_RANGE: (f64, f64) = (0.5, 8.0);

/// What was seen of a worker's runs.
#[derive(Clone, Debug)]
pub struct Health {
    /// Jobs that failed there since the last success.
    failed: SmallVec<[JobKey; 4]>,
    /// No task may start there before this time.
    paused_until: Millis,
    /// Only one task may run there before this time.
    trial_until: Millis,
    pause_ms: u64,
    /// Time that runs take there against their estimates.
    pace: f64,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            failed: SmallVec::new(),
            paused_until: Millis::ZERO,
            trial_until: Millis::ZERO,
            pause_ms: PAUSE_MIN_MS,
            pace: 1.0,
        }
    }
}

impl Health {
    /// A run did its work in `took_ms`, where `expected_ms` was estimated.
    pub fn succeeded(&mut self, took_ms: u64, expected_ms: u64) {
        self.failed.clear();
        self.paused_until = Millis::ZERO;
        self.pause_ms = PAUSE_MIN_MS;
        let ratio = took_ms.max(1) as f64 / expected_ms.max(1) as f64;
        let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace += (ratio - self.pace) * PACE_WEIGHT;
    }

    /// A run of a job failed or stalled there.
    pub fn failed(&mut self, job: JobKey, now: Millis) {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        if self.failed.len() >= FAILURES_MAX {
            self.pause(now);
        }
    }

    /// The worker says that it is not healthy.
    pub fn pause(&mut self, now: Millis) {
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + self.pause_ms;
        self.pause_ms = (2 * self.pause_ms).min(PAUSE_MAX_MS);
        self.trial_until = self.paused_until + self.pause_ms;
    }

    /// The failures of a job were its own.
    fn excuse(&mut self, job: JobKey) {
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

    /// Time that runs take there against their estimates.
    pub fn pace(&self) -> f64 {
        self.pace
    }
}

impl Scheduler {
    /// Excuses the workers on which a task has failed, once the task is to blame.
    pub(crate) fn excuse_workers(&mut self, state: &QueueState, task: TaskKey) {
        if !is_to_blame(state, task) {
            return;
        }
        let Some(step) = self.steps.get(&task.step) else {
            return;
        };
        for index in &step.avoided {
            if let Some(worker) = self.workers.get_mut(*index) {
                worker.health.excuse(task.step.job);
            }
        }
    }
}

/// Whether a task has failed too often for its workers to be the cause. The members of a gang
/// share their failures.
fn is_to_blame(state: &QueueState, task: TaskKey) -> bool {
    let Some(job) = state.job(task.step.job) else {
        return false;
    };
    if job.phase.has_ended() {
        return job.phase == JobPhase::Failed && job.queue.attempts_max >= TASK_FAILURES_MAX;
    }
    let position = usize::from(task.step.step);
    let is_gang = job.spec.steps[position].is_gang;
    let index = if is_gang { 0 } else { task.index as usize };
    job.steps[position].tasks[index].failures >= TASK_FAILURES_MAX
}
