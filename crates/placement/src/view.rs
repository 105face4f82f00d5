//! The caller's description of workers, jobs and task ends, as input for
//! [`Placer`](crate::Placer).

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
    /// It accepts new tasks.
    Ready,
    /// It keeps its tasks and accepts no new ones.
    Draining,
    /// It is out of contact. Its tasks keep their resources allocated, and it gets no new ones.
    Disconnected,
}

/// The description of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// The identity of the worker. A later view with the same ID updates the worker.
    pub id: WorkerId,
    /// The failure domain that services are spread over.
    pub failure_domain: Name,
    /// The rack. The name is unique within the failure domain only.
    pub rack: Name,
    /// The total resources that the worker has for tasks.
    pub capacity: Resources,
    /// Whether it accepts new tasks.
    pub mode: WorkerMode,
}

/// The kind of a job. Absolute times are on the clock of the `now` arguments of
/// [`Placer`](crate::Placer).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobPolicy {
    /// Runs until it is cancelled. A task that ends is started again.
    Service,
    /// Runs to completion; tasks start independently of each other.
    Batch {
        /// When the last task should have finished; `None` if the job has no deadline.
        deadline: Option<Millis>,
        /// The run time of one task as its owner declared it.
        run_time_ms: u64,
    },
    /// Runs to completion; all tasks start together or none does.
    Gang {
        /// The run time of one task as its owner declared it.
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

/// A task that its job wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// The identity of the task, unique across all jobs.
    pub id: TaskId,
    /// The number of times that the task was preempted so far.
    pub preemptions: u8,
    /// The start time of the running attempt, if the task already runs. It keeps run times correct
    /// when the placer is rebuilt.
    pub started: Option<Millis>,
}

impl TaskView {
    /// Creates the view of a task that has never run.
    pub fn new(id: TaskId) -> TaskView {
        TaskView {
            id,
            preemptions: 0,
            started: None,
        }
    }
}

/// The description of one job with the tasks that it wants to run. Ended tasks are left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// The identity of the job. A second submission with the same ID updates the job, but not its
    /// name, team and submission time.
    pub id: JobId,
    /// The name of the job. Run times are learned per team and name without trailing digits and
    /// separators.
    pub name: Name,
    /// The team to whose quota the tasks are charged.
    pub team: Name,
    /// The kind of the job, with its deadline and declared run time where they apply.
    pub policy: JobPolicy,
    /// The priority; urgent jobs are placed first and may preempt other tasks.
    pub priority: Priority,
    /// The resources that one task needs.
    pub resources: Resources,
    /// The time that a checkpoint of one task takes, in milliseconds; `None` if its tasks cannot
    /// write checkpoints.
    pub checkpoint_cost_ms: Option<u64>,
    /// When the submission of the job was confirmed.
    pub submitted: Millis,
    /// The tasks that are running or should run.
    pub tasks: Vec<TaskView>,
}

/// How an attempt of a task ended, or why its resources are released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TaskEnd {
    /// It ended by itself with success. A task of a service is placed again after a backoff.
    Finished,
    /// It ended by itself with an error. It is placed again after a backoff, if possible on another
    /// worker. A task that is not part of a service is given up once it has failed on several
    /// workers.
    Failed,
    /// It was stopped on request, for instance by a preemption or a drain. It is placed again.
    Stopped,
    /// Its worker was lost and is certain not to run it any more. It is placed again.
    Lost,
    /// The placement was not accepted by the replicated state. It is placed again.
    Rejected,
    /// It was cancelled. It is not placed again.
    Cancelled,
}
