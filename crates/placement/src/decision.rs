//! What one call of [`Placer::decide`](crate::Placer::decide) decided.

use std::fmt;

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;

/// A task that starts on a worker. Its room is taken from this moment; if the placement is not
/// accepted, the caller releases it with [`TaskEnd::Rejected`](crate::TaskEnd::Rejected).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The job.
    pub job: JobId,
    /// The task.
    pub task: TaskId,
    /// The worker.
    pub worker: WorkerId,
}

/// Why a running task must stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// An urgent job needs its room.
    Displaced {
        /// The urgent job.
        by: JobId,
    },
    /// Another task of the same gang ended early, so the gang starts again as a whole.
    GangBroken,
}

/// A running task that must stop. Its room stays taken until it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskStop {
    /// The job.
    pub job: JobId,
    /// The task.
    pub task: TaskId,
    /// Where it runs.
    pub worker: WorkerId,
    /// Whether it should write a checkpoint first.
    pub checkpoint: bool,
    /// Why.
    pub cause: StopCause,
}

/// What keeps a job from ever running in this cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InfeasibleCause {
    /// No worker has as much of this resource as one task needs, even when empty.
    Worker(ResourceKind),
    /// The workers together, even when empty, hold fewer tasks than the gang has.
    Gang {
        /// How many of the tasks they hold.
        hold: u32,
        /// The resource of which there is too little.
        limiting: ResourceKind,
    },
    /// The team's quota is smaller than one task, or than the whole gang.
    Quota(ResourceKind),
}

impl InfeasibleCause {
    /// The limiting resource.
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
            InfeasibleCause::Gang { hold, limiting } => write!(
                f,
                "the empty cluster holds only {hold} of its tasks: too little {limiting}"
            ),
            InfeasibleCause::Quota(kind) => {
                write!(f, "the quota of its team has too little {kind}")
            }
        }
    }
}

/// A job that can never run. It holds no room and is looked at again when workers or quotas
/// change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InfeasibleJob {
    /// The job.
    pub job: JobId,
    /// Why.
    pub cause: InfeasibleCause,
}

/// A batch job that will probably miss its deadline; told once for each job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateWarning {
    /// The job.
    pub job: JobId,
    /// The expected end of its last task.
    pub expected_end: Millis,
    /// Its deadline.
    pub deadline: Millis,
}

/// A task that failed on several workers and is not placed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultyTask {
    /// The job.
    pub job: JobId,
    /// The task.
    pub task: TaskId,
    /// On how many distinct workers it failed.
    pub workers: u8,
}

/// The standing of a worker by the ends of its tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Health {
    /// Takes tasks without restriction.
    #[default]
    Healthy,
    /// Takes nothing, because many distinct tasks failed on it.
    Quarantined,
    /// Takes a few trial tasks after a quarantine.
    Probation,
}

/// A worker whose standing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthChange {
    /// The worker.
    pub worker: WorkerId,
    /// Its standing now.
    pub health: Health,
}

/// A task to throttle because its worker uses more than it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    /// The task.
    pub task: TaskId,
    /// Where it runs.
    pub worker: WorkerId,
    /// Percent of its declared processors.
    pub percent: u8,
}

/// What one call decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Tasks that start. All tasks of a gang are in the same `Decisions`, one after the other.
    pub placements: Vec<Placement>,
    /// Running tasks that must stop.
    pub stops: Vec<TaskStop>,
    /// Jobs that can never run.
    pub infeasible_jobs: Vec<InfeasibleJob>,
    /// Jobs that will probably miss their deadline.
    pub late_warnings: Vec<LateWarning>,
    /// Tasks that are given up.
    pub faulty_tasks: Vec<FaultyTask>,
    /// Workers whose standing changed.
    pub health_changes: Vec<HealthChange>,
    /// Tasks to throttle.
    pub throttles: Vec<Throttle>,
    /// Whether the budget ended before all waiting work was looked at; call again.
    pub more: bool,
}

impl Decisions {
    /// Whether nothing was decided.
    pub fn is_empty(&self) -> bool {
        *self
            == Decisions {
                more: self.more,
                ..Decisions::default()
            }
    }
}
