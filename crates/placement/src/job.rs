//! Internal records of jobs and their tasks.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;
use smallvec::SmallVec;

use crate::decision::InfeasibleCause;
use crate::estimate::SeriesId;
use crate::queue::QueueKey;
use crate::quota::TeamId;
use crate::view::JobPolicy;

/// Distinct workers on which a task, or any task of a job, failed.
pub(crate) type FailedWorkers = SmallVec<[WorkerId; 4]>;

/// Why the waiting tasks of a job were not placed when the job was last considered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// Not considered yet.
    Queued,
    /// No eligible worker has enough free capacity.
    NoCapacity,
    /// Capacity that fits is reserved for another job.
    Reserved { holder: JobId },
    /// The team has too little quota of this resource left.
    Quota(ResourceKind),
    /// Other tasks were asked to stop for it and have not all stopped yet.
    Preempting,
    /// Only `fit` tasks of the gang can be placed.
    GangPartialFit { fit: u32 },
    /// The gang as a whole needs more of this resource than is free in the cluster.
    GangShortage(ResourceKind),
}

/// A job that has not ended.
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) team: TeamId,
    pub(crate) name: Name,
    pub(crate) series: SeriesId,
    pub(crate) policy: JobPolicy,
    pub(crate) priority: Priority,
    pub(crate) need: Resources,
    pub(crate) checkpoint_cost_ms: Option<u64>,
    pub(crate) submitted: Millis,
    pub(crate) waiting: VecDeque<TaskId>,
    pub(crate) bound: Vec<TaskId>,
    /// The number of tasks that wait for the end of a retry backoff.
    pub(crate) delayed: u32,
    /// The key of the job in the queue; `None` while the job is not queued.
    pub(crate) queue_key: Option<QueueKey>,
    pub(crate) reason: WaitReason,
    pub(crate) infeasible: Option<InfeasibleCause>,
    /// The value of `Workers::free_generation` when the last search for a worker failed. 0, which
    /// the counter never has, makes the next pass search again.
    pub(crate) failed_at_generation: u64,
    /// The value of `Workers::feasibility_generation` at the last feasibility check, or 0.
    pub(crate) checked_at_generation: u64,
    pub(crate) warned_late: bool,
    /// The number of bound tasks in each failure domain and in each rack.
    pub(crate) tasks_by_domain: FxHashMap<usize, u32>,
    pub(crate) tasks_by_rack: FxHashMap<usize, u32>,
    pub(crate) failed_workers: FailedWorkers,
    /// Whether any task of the job finished successfully.
    pub(crate) succeeded: bool,
}

impl Job {
    pub(crate) fn is_gang(&self) -> bool {
        matches!(self.policy, JobPolicy::Gang { .. })
    }

    /// Whether the waiting tasks may be placed now. A gang may not while any of its tasks still
    /// runs or is in a retry backoff, since all its tasks must start together.
    pub(crate) fn is_startable(&self) -> bool {
        let whole = !self.is_gang() || (self.bound.is_empty() && self.delayed == 0);
        whole && !self.waiting.is_empty() && self.infeasible.is_none()
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.waiting.is_empty() && self.bound.is_empty() && self.delayed == 0
    }
}

/// Whether a bound task was asked to stop, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stopping {
    No,
    /// An urgent task needs its resources.
    Preempted,
    /// Another task of its gang ended early, and the gang must be restarted.
    GangBroken,
    /// The replicated state requests the stop, and this placer did not decide it.
    Recorded,
}

/// The scheduling state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// In its job's `waiting` list.
    Waiting,
    /// Waits for the end of a retry backoff.
    Delayed,
    /// Has resources allocated on a worker.
    Bound {
        worker: WorkerId,
        started: Millis,
        /// The end by the 90th percentile of the run-time estimate; `u64::MAX` for a service and
        /// while the job is unknown.
        pessimistic_end: Millis,
        stopping: Stopping,
    },
}

/// Capacity that is held for an urgent task on the worker where tasks are preempted for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) worker: WorkerId,
    pub(crate) amount: Resources,
    pub(crate) until: Millis,
}

/// A task that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// `None` while the task is bound but its job has not been submitted.
    pub(crate) job: Option<JobId>,
    pub(crate) state: TaskState,
    pub(crate) resources: Resources,
    pub(crate) preemptions: u8,
    /// The start time of an attempt that already runs, from the caller; consumed when the task is
    /// bound.
    pub(crate) started: Option<Millis>,
    pub(crate) failures: u32,
    pub(crate) failed_workers: FailedWorkers,
    pub(crate) hold: Option<Hold>,
    /// Until when the resources of the task count as about to be free, if it was asked to stop.
    pub(crate) stops_until: Millis,
    /// The team to whose quota the task is charged while it is bound.
    pub(crate) charged_team: Option<TeamId>,
}
