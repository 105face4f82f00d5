//! The placer: calls in, decisions out.

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::config::PlacementConfig;
use crate::decision::Decisions;
use crate::explanation::Explanation;
use crate::view::JobView;
use crate::view::TaskEnd;
use crate::view::WorkerView;

/// Decides which waiting task starts where. Volatile; rebuilt from the replicated state.
pub struct Placer;

impl Placer {
    /// A placer without workers and jobs.
    pub fn new(_config: PlacementConfig, _seed: u64) -> Placer {
        Placer
    }

    /// Adds a worker or replaces what is known of it; its tasks stay bound.
    pub fn upsert_worker(&mut self, _worker: WorkerView) {}

    /// Forgets a worker. Tasks that are still bound to it must be released by the caller.
    pub fn remove_worker(&mut self, _worker: WorkerId) {}

    /// Sets the quota of a team; `None` lifts the limit.
    pub fn set_quota(&mut self, _team: &Name, _limit: Option<Resources>) {}

    /// Adds a job, or replaces what is known of it: tasks that are new wait, tasks that are
    /// missing do not wait any more, bound tasks stay bound.
    pub fn submit(&mut self, _now: Millis, _job: JobView) {}

    /// Stops placing the tasks of a job. Bound tasks hold their room until they are released.
    pub fn cancel(&mut self, _now: Millis, _job: JobId) {}

    /// Records that a task holds room on a worker; confirms a placement if it matches one.
    pub fn bind(&mut self, _task: TaskId, _worker: WorkerId, _resources: Resources) {}

    /// Frees the room of a task. Unless the end is final, the task waits again.
    pub fn release(&mut self, _now: Millis, _task: TaskId, _end: TaskEnd) {}

    /// Records the observed use of a worker, which lags and only ever raises what is taken.
    pub fn report_usage(&mut self, _now: Millis, _worker: WorkerId, _usage: Resources) {}

    /// Decides about waiting tasks, about `budget` of them at most; a gang counts once for each
    /// task and is never split.
    pub fn decide(&mut self, _now: Millis, _budget: usize) -> Decisions {
        Decisions::default()
    }

    /// Says why a job waits, runs where it runs, or was refused.
    pub fn explain(&self, job: JobId) -> Explanation {
        Explanation {
            job,
            lines: Vec::new(),
        }
    }
}
