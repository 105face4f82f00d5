//! What callers and workers observe of queued jobs, and the limits on a wait.

use std::sync::Arc;

use sapphirepost_types::Resources;

/// Identifies a step of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepName {
    /// The ID of the job, unique in the history.
    pub job: Arc<str>,
    /// The index of the step in the job, from 0.
    pub step: u32,
}

/// Identifies a task of a step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The step that the task belongs to.
    pub step: StepName,
    /// The index of the task in the step, from 0 and below [`StepNeed::count`].
    pub index: u32,
}

/// The tasks of a step and the conditions under which they can run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepNeed {
    /// The number of tasks. All of them must be done before a step that comes after this one can run.
    pub count: u32,
    /// The resources that each task uses.
    pub resources: Resources,
    /// The indices of the steps whose tasks must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks must start together: the step can run only while there are free resources
    /// for all of them.
    pub is_gang: bool,
    /// The label that a worker must have; `None` if any worker will do.
    pub label: Option<Arc<str>>,
    /// The maximum number of tasks of the step that one worker runs at a time; `None` for no limit.
    pub per_worker_max: Option<u32>,
}

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// With success. The task does not have to run again.
    Done,
    /// With success, but the worker was lost before the end was acknowledged: the task may count as
    /// done, or run again.
    Unacknowledged,
    /// Without success. The task has to run again.
    MustRerun,
}

/// An event that callers or workers observe, or a fault that a test injects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A job is submitted for the first time.
    Submitted {
        /// The ID of the job. A repeated submission changes nothing.
        job: Arc<str>,
        /// The requirements of its steps, in the order of their indices.
        steps: Vec<StepNeed>,
    },
    /// A caller learned that a job was accepted. Its steps are checked from now on.
    Accepted {
        /// The ID that the job was submitted with.
        job: Arc<str>,
    },
    /// A job may end by a cancellation, or was reported as ended. Its steps are no longer checked.
    Closed {
        /// The ID that the job was submitted with.
        job: Arc<str>,
    },
    /// A worker is reachable and accepts tasks.
    WorkerOpen {
        /// The ID of the worker. Runs that it had before still use its resources.
        worker: Arc<str>,
        /// The total resources that it offers to tasks, including those in use.
        capacity: Resources,
        /// All labels that it has from now on, see [`StepNeed::label`].
        labels: Vec<Arc<str>>,
    },
    /// A worker was lost, is unreachable, is affected by a fault or drains. Its runs use its
    /// resources until they are observed to stop.
    WorkerClosed {
        /// The ID of the worker, which accepts no tasks until it is open again.
        worker: Arc<str>,
    },
    /// A task started to run.
    Started {
        /// The ID of the worker whose resources the run uses.
        worker: Arc<str>,
        /// The task, which no longer waits.
        task: TaskName,
    },
    /// A run of a task stopped.
    Stopped {
        /// The ID of the worker whose resources the run used.
        worker: Arc<str>,
        /// The task. After [`TaskEnd::Done`], its end may be changed to
        /// [`TaskEnd::Unacknowledged`] by another such event.
        task: TaskName,
        /// How the run ended.
        end: TaskEnd,
    },
    /// A fault affected the control processes or something that their decisions depend on.
    Disturbed,
}

/// The parts of the longest wait, derived from the settings of the cluster that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// The time until a new leader has taken over.
    pub failover_ms: u64,
    /// The time until the lease of a worker has expired on the clock of the worker, which may run
    /// slow.
    pub lease_ms: u64,
    /// The time for which a suspected worker gets no tasks.
    pub pause_ms: u64,
    /// The time until the placement policy has answered the permit request of the step and those
    /// sent before it.
    pub permits_ms: u64,
    /// The maximum time that it takes to stop a run.
    pub stop_ms: u64,
    /// The time after which the tasks of an incomplete gang give up waiting for each other.
    pub gang_ms: u64,
    /// The maximum time for which resources may be reserved for a gang, which is the maximum run
    /// time of the tasks that it waits for.
    pub reservation_ms: u64,
}

impl WaitLimits {
    /// The maximum time in milliseconds that a step that could run may wait.
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
