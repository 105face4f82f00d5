//! What callers and workers see of queued jobs, and the bound on a wait.

use std::sync::Arc;

use sapphirepost_types::Resources;

/// A step of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The job.
    pub job: Arc<str>,
    /// The number of the step in the job.
    pub step: u32,
}

/// A task of a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The step.
    pub step: StepName,
    /// The number of the task in the step.
    pub index: u32,
}

/// What the tasks of a step need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepNeed {
    /// The number of tasks.
    pub count: u32,
    /// What each task uses.
    pub resources: Resources,
    /// Steps whose tasks must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks start all together.
    pub is_gang: bool,
    /// A label that the worker must carry.
    pub label: Option<Arc<str>>,
    /// Tasks of the step that one worker may run at a time.
    pub per_worker_max: Option<u32>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// With success.
    Done,
    /// With success, but the worker was lost before the end was acknowledged: the task may be
    /// known as done, or run again.
    Unacknowledged,
    /// The task has to run again.
    MustRerun,
}

/// What callers and workers see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A job is sent for the first time.
    Submitted {
        /// The job.
        job: Arc<str>,
        /// Its steps.
        steps: Vec<StepNeed>,
    },
    /// It was accepted.
    Accepted {
        /// The job.
        job: Arc<str>,
    },
    /// A job was cancelled, or its end was told.
    Closed {
        /// The job.
        job: Arc<str>,
    },
    /// A worker is reachable and takes work.
    WorkerOpen {
        /// The worker.
        worker: Arc<str>,
        /// All that it has.
        capacity: Resources,
        /// Its labels.
        labels: Vec<Arc<str>>,
    },
    /// A worker is gone, unreachable, disturbed or leaving. Its runs stay until they stop.
    WorkerClosed {
        /// The worker.
        worker: Arc<str>,
    },
    /// A task began to run.
    Started {
        /// The worker.
        worker: Arc<str>,
        /// The task.
        task: TaskName,
    },
    /// A task ran no more.
    Stopped {
        /// The worker.
        worker: Arc<str>,
        /// The task.
        task: TaskName,
        /// How the run ended.
        end: TaskEnd,
    },
    /// The processes that decide, or what they need to decide, were disturbed.
    Disturbed,
}

/// The parts of the longest wait, from the settings of the system that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// Until another leader has taken over.
    pub failover_ms: u64,
    /// Until the lease of a worker is over on its own clock, which may be slow.
    pub lease_ms: u64,
    /// Until a worker that was suspected is tried again.
    pub pause_ms: u64,
    /// Until the policy has answered what was asked before, and the question about the step.
    pub permits_ms: u64,
    /// The longest stop of a run.
    pub stop_ms: u64,
    /// Until the members of a gang give each other up.
    pub gang_ms: u64,
    /// For how long room may be kept for a gang: the longest run of what it waits for.
    pub reservation_ms: u64,
}

impl WaitLimits {
    /// The longest wait of a step that could run.
    pub fn total_ms(&self) -> u64 {
        self.failover_ms
            + self.lease_ms
            + self.pause_ms
            + self.permits_ms
            + self.stop_ms
            + self.gang_ms
            + self.reservation_ms
    }
}
