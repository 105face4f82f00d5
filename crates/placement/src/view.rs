//! What the caller of [`Placer`](crate::Placer) knows of workers, jobs and ended tasks.

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerMode {
    /// It takes tasks.
    Ready,
    /// It keeps its tasks and takes no more.
    Draining,
    /// It has no contact; its tasks hold their room and it takes no more.
    Disconnected,
}

/// One worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// The worker.
    pub id: WorkerId,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack, unique within the failure domain.
    pub rack: Name,
    /// All that it has for tasks.
    pub capacity: Resources,
    /// Whether it takes new tasks.
    pub mode: WorkerMode,
}

/// The kind of a job, with times on the clock of `now`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPolicy {
    /// Runs until cancelled and is kept at its size.
    Service,
    /// Runs to its end.
    Batch {
        /// When the last task must have finished.
        deadline: Option<Millis>,
        /// The declared run time of one task.
        run_time_ms: u64,
    },
    /// Runs to its end; all tasks start together or none does.
    Gang {
        /// The declared run time of one task.
        run_time_ms: u64,
    },
}

impl JobPolicy {
    /// The declared run time of one task; `None` for a service.
    pub fn run_time_ms(&self) -> Option<u64> {
        match self {
            JobPolicy::Service => None,
            JobPolicy::Batch { run_time_ms, .. } | JobPolicy::Gang { run_time_ms } => {
                Some(*run_time_ms)
            }
        }
    }
}

/// One task that the job wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// The task.
    pub id: TaskId,
    /// How many times it was displaced before.
    pub preemptions: u8,
    /// When the running attempt started, if the task runs; used when the placer is rebuilt.
    pub started: Option<Millis>,
}

impl TaskView {
    /// A task that has never run.
    pub fn new(id: TaskId) -> TaskView {
        TaskView {
            id,
            preemptions: 0,
            started: None,
        }
    }
}

/// One job with the tasks that it wants to run; ended tasks are left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its name; run times are learned per team and name without a trailing number.
    pub name: Name,
    /// The team whose quota is charged.
    pub team: Name,
    /// The kind with its own fields.
    pub policy: JobPolicy,
    /// How urgently it starts.
    pub priority: Priority,
    /// What one task needs.
    pub resources: Resources,
    /// What a checkpoint of one task costs in milliseconds; `None` if it cannot checkpoint.
    pub checkpoint_cost_ms: Option<u64>,
    /// When the job was confirmed.
    pub submitted: Millis,
    /// The tasks.
    pub tasks: Vec<TaskView>,
}

/// How an attempt of a task ended, or why it holds no room any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TaskEnd {
    /// It ended by itself with success. A service's task is placed again.
    Finished,
    /// It ended by itself with an error. It is placed again, away from that worker, until it has
    /// failed on several workers.
    Failed,
    /// It was stopped, for instance for a displacement or a drain. It is placed again.
    Stopped,
    /// Its worker is certain not to run it any more. It is placed again.
    Lost,
    /// The placement was not accepted by the replicated state. It is placed again.
    Rejected,
    /// It is not wanted any more.
    Cancelled,
}
