//! Jobs and their tasks.

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

/// Workers on which a task or a job failed.
pub(crate) type FailedWorkers = SmallVec<[WorkerId; 4]>;

/// Why the waiting tasks of a job were not placed when they were last looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitReason {
    /// Not looked at yet.
    Queued,
    /// No eligible worker has room.
    NoCapacity,
    /// Room that fits is reserved for another job.
    Reserved { holder: JobId },
    /// The quota of the team is used up.
    Quota(ResourceKind),
    /// Tasks were asked to stop for it.
    Preempting,
    /// Room for some tasks of the gang only.
    GangPartialFit { fit: u32 },
    /// The volume of the gang exceeds what is free.
    GangShortage(ResourceKind),
}

/// One job that has not ended.
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
    /// Tasks that wait for the end of a backoff.
    pub(crate) delayed: u32,
    /// The position in the queue while tasks wait.
    pub(crate) queue_key: Option<QueueKey>,
    pub(crate) reason: WaitReason,
    pub(crate) infeasible: Option<InfeasibleCause>,
    /// The value of `Workers::gains` when room was last sought in vain.
    pub(crate) failed_at_generation: u64,
    /// The value of `Workers::shape_changes` when the job was last found to fit when empty.
    pub(crate) checked_at_generation: u64,
    pub(crate) warned_late: bool,
    /// Bound tasks in each failure domain and rack.
    pub(crate) tasks_by_domain: FxHashMap<usize, u32>,
    pub(crate) tasks_by_rack: FxHashMap<usize, u32>,
    /// Distinct workers on which tasks of the job failed.
    pub(crate) failed_workers: FailedWorkers,
    /// Whether a task of the job ended with success.
    pub(crate) succeeded: bool,
}

impl Job {
    pub(crate) fn is_gang(&self) -> bool {
        matches!(self.policy, JobPolicy::Gang { .. })
    }

    /// Whether the waiting tasks may be placed now. A gang starts only as a whole.
    pub(crate) fn is_startable(&self) -> bool {
        let whole = !self.is_gang() || (self.bound.is_empty() && self.delayed == 0);
        whole && !self.waiting.is_empty() && self.infeasible.is_none()
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.waiting.is_empty() && self.bound.is_empty() && self.delayed == 0
    }
}

/// Whether a bound task was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stopping {
    No,
    /// For an urgent task.
    Preempted,
    /// Because its gang starts again.
    GangBroken,
}

/// Where a task is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// In its job's list of waiting tasks.
    Waiting,
    /// Waits for the end of a backoff.
    Delayed,
    /// Holds room on a worker.
    Bound {
        worker: WorkerId,
        started: Millis,
        /// When nine of ten such tasks have ended; the end of time for a service.
        pessimistic_end: Millis,
        stopping: Stopping,
    },
}

/// Room that is kept for an urgent task on the worker where tasks are stopping for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) worker: WorkerId,
    pub(crate) amount: Resources,
    pub(crate) until: Millis,
}

/// One task that has not ended.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    /// `None` while a bound task's job has not been submitted.
    pub(crate) job: Option<JobId>,
    pub(crate) state: TaskState,
    pub(crate) resources: Resources,
    pub(crate) preemptions: u8,
    /// When the attempt that is bound next started, if it runs already.
    pub(crate) started: Option<Millis>,
    pub(crate) failures: u32,
    pub(crate) failed_workers: FailedWorkers,
    pub(crate) hold: Option<Hold>,
    /// The team whose quota the bound task is charged to.
    pub(crate) charged_team: Option<TeamId>,
}
