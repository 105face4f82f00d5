//! The output of [`Placer::decide`](crate::Placer::decide).

use std::fmt;

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;

/// A task to start on a worker. The placer already counts its resources as allocated; if the
/// placement is not accepted, the caller must release the task with
/// [`TaskEnd::Rejected`](crate::TaskEnd::Rejected).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task to start.
    pub task: TaskId,
    /// The worker on which it starts.
    pub worker: WorkerId,
}

/// Why a running task must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The task is preempted, because an urgent job needs its resources.
    Displaced {
        /// The urgent job.
        by: JobId,
    },
    /// Another task of the same gang ended early, so the whole gang must be restarted.
    GangBroken,
}

/// A running task that must stop. Its resources stay allocated until the caller releases it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskStop {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task to stop.
    pub task: TaskId,
    /// The worker on which it runs.
    pub worker: WorkerId,
    /// Whether the task should write a checkpoint before it stops.
    pub checkpoint: bool,
    /// Why the task must stop.
    pub cause: StopCause,
}

/// Why a job cannot run in this cluster even when all workers are empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InfeasibleCause {
    /// No worker's capacity suffices for one task. Every worker has too little of this resource or,
    /// if there is no such resource, the worker that has too little of the fewest resources does.
    Worker(ResourceKind),
    /// The workers together hold fewer tasks than the gang has, even when all are empty.
    Gang {
        /// The number of tasks that fit.
        fitting: u32,
        /// The resource of which the gang needs the largest share of the cluster's total.
        limiting: ResourceKind,
    },
    /// The team's quota has too little of this resource for one task, or for the whole gang.
    Quota(ResourceKind),
}

impl InfeasibleCause {
    /// The resource of which there is too little.
    pub fn limiting(&self) -> ResourceKind {
        match self {
            InfeasibleCause::Worker(kind) | InfeasibleCause::Quota(kind) => *kind,
            InfeasibleCause::Gang { limiting, .. } => *limiting,
        }
    }
}

impl fmt::Display for InfeasibleCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InfeasibleCause::Worker(kind) => write!(f, "no worker has enough {kind} for one task"),
            InfeasibleCause::Gang { fitting, limiting } => write!(
                f,
                "the empty cluster holds only {fitting} of its tasks: too little {limiting}"
            ),
            InfeasibleCause::Quota(kind) => {
                write!(f, "the quota of its team has too little {kind}")
            }
        }
    }
}

/// A job that cannot run even on an empty cluster. It gets no reservation and is checked again
/// when the workers' capacities or the quotas change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InfeasibleJob {
    /// The infeasible job.
    pub job: JobId,
    /// Why the job cannot run.
    pub cause: InfeasibleCause,
}

/// A batch job that will probably miss its deadline. It is reported once for each job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateWarning {
    /// The job at risk.
    pub job: JobId,
    /// The expected end of the job, from median run times.
    pub expected_end: Millis,
    /// The deadline that the job will probably miss.
    pub deadline: Millis,
}

/// A task that failed on several distinct workers and is not placed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultyTask {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task that is given up.
    pub task: TaskId,
    /// The number of distinct workers on which it failed.
    pub workers: u8,
}

/// The health state of a worker, derived from the outcomes of its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Health {
    /// Takes tasks without restriction.
    #[default]
    Healthy,
    /// Takes no new tasks, because several distinct tasks failed on it.
    Quarantined,
    /// Takes a limited number of tasks after a quarantine, to test whether it has recovered.
    Probation,
}

/// A change of the health state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthChange {
    /// The worker whose state changed.
    pub worker: WorkerId,
    /// The new state.
    pub health: Health,
}

/// A task to throttle because the usage of its worker exceeds the worker's processors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The task to throttle.
    pub task: TaskId,
    /// The worker on which it runs.
    pub worker: WorkerId,
    /// The share of its declared processors that the task keeps, in percent.
    pub percent: u8,
}

/// The result of one call of [`Placer::decide`](crate::Placer::decide).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Tasks to start. All tasks of a gang are in the same `Decisions`, next to each other.
    pub placements: Vec<Placement>,
    /// Running tasks to stop.
    pub stops: Vec<TaskStop>,
    /// Jobs that were newly found to be infeasible, or infeasible for another reason than before.
    pub infeasible_jobs: Vec<InfeasibleJob>,
    /// Jobs that will probably miss their deadline.
    pub late_warnings: Vec<LateWarning>,
    /// Tasks that failed on several workers and are given up.
    pub faulty_tasks: Vec<FaultyTask>,
    /// Changes of the health state of workers, in the order in which they happened.
    pub health_changes: Vec<HealthChange>,
    /// Tasks to throttle.
    pub throttles: Vec<Throttle>,
    /// Whether the budget was exhausted before the end of the queue was reached, and another call
    /// may place more tasks. If set, the caller should call again.
    pub more: bool,
}

impl Decisions {
    /// Whether there is nothing to carry out; ignores `more`.
    pub fn is_empty(&self) -> bool {
        *self
            == Decisions {
                more: self.more,
                ..Decisions::default()
            }
    }
}
