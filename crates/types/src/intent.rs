//! Changes that operators request.
//!
//! An intent changes nothing by itself: the answer to it is a [`Plan`](crate::plan::Plan), and only
//! the confirmation of that plan takes effect.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigVersion;
use crate::name::Name;
use crate::resources::Resources;

/// What happens to a task while its worker has no contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnPartition {
    /// It keeps running and is placed again only if an operator declares the worker lost or the
    /// worker returns without it. Meanwhile, a service runs additional replicas in its place.
    Keep,
    /// It stops when the lease of the worker expires and is then placed again.
    Move,
}

/// The priority of a job in the placement of its tasks.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// The tasks wait for free capacity.
    #[default]
    Normal,
    /// The tasks are placed before those of normal jobs and may preempt them.
    Urgent,
}

/// The kind of a job, with the parameters that only this kind has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobKind {
    /// Runs until it is cancelled; the number of running tasks is kept at the specified number.
    Service,
    /// Ends when its tasks have ended; the tasks start independently of each other.
    Batch {
        /// When the last task should have finished, in milliseconds since the Unix epoch; `None` if
        /// there is no deadline. The job continues after a deadline that it misses.
        deadline_unix_ms: Option<u64>,
        /// The declared run time of one task in milliseconds.
        run_time_ms: u64,
    },
    /// Ends when its tasks have ended or one has failed for good; either all tasks start together
    /// or none does.
    Gang {
        /// The declared run time of one task in milliseconds.
        run_time_ms: u64,
    },
}

impl JobKind {
    /// What happens to a task on a worker without contact if the job specification does not say:
    /// services keep running, tasks of other jobs move.
    pub fn default_on_partition(&self) -> OnPartition {
        match self {
            JobKind::Service => OnPartition::Keep,
            JobKind::Batch { .. } | JobKind::Gang { .. } => OnPartition::Move,
        }
    }

    /// The declared run time of one task in milliseconds; `None` for a service.
    pub fn run_time_ms(&self) -> Option<u64> {
        match self {
            JobKind::Service => None,
            JobKind::Batch { run_time_ms, .. } | JobKind::Gang { run_time_ms } => {
                Some(*run_time_ms)
            }
        }
    }
}

/// The specification of a job by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The name of the job, unique among the active jobs: once a job has ended or was cancelled, a
    /// new one can have its name.
    pub name: Name,
    /// The team whose quota the tasks count against.
    pub team: Name,
    /// Whether the job is a service, a batch or a gang.
    pub kind: JobKind,
    /// The number of tasks, at least 1. For a service, this is the number of replicas, which
    /// [`Intent::Resize`] can change, also to 0.
    pub tasks: u32,
    /// The resources that one task needs; at least one amount is not zero.
    pub resources: Resources,
    /// The priority of its tasks; urgent ones may preempt others in order to start.
    #[serde(default)]
    pub priority: Priority,
    /// What happens to a task on a worker without contact; `None` selects the default of the kind.
    #[serde(default)]
    pub on_partition: Option<OnPartition>,
    /// How long it takes to write a checkpoint of one task, in milliseconds; `None` if a task
    /// cannot write one.
    #[serde(default)]
    pub checkpoint_cost_ms: Option<u64>,
    /// The text that is passed to the worker, for instance a command line; the scheduler does not
    /// interpret it.
    #[serde(default)]
    pub payload: String,
}

impl JobSpec {
    /// What happens to a task on a worker without contact, with the default applied.
    pub fn on_partition(&self) -> OnPartition {
        self.on_partition
            .unwrap_or_else(|| self.kind.default_on_partition())
    }
}

/// A change that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Start a new job.
    Run(JobSpec),
    /// Change the number of tasks of an active service.
    Resize {
        /// The name of the service.
        job: Name,
        /// The new number of replicas; a service with 0 stays active and can be resized again.
        tasks: u32,
    },
    /// Cancel a job: its tasks are stopped without a checkpoint.
    Cancel {
        /// The name of an active job.
        job: Name,
    },
    /// Move all tasks off a worker and place no more tasks there.
    Drain {
        /// The name of a registered worker.
        worker: Name,
        /// Whether tasks are moved even if that interrupts a service with a single replica or
        /// loses the progress of a task that cannot write a checkpoint.
        #[serde(default)]
        allow_interruption: bool,
    },
    /// Let a drained worker take tasks again.
    Undrain {
        /// The name of a worker that is being drained or was drained.
        worker: Name,
    },
    /// Declare a worker without contact lost, so that its tasks with [`OnPartition::Keep`] are
    /// placed again.
    DeclareLost {
        /// The name of a worker whose lease has expired; any other is refused.
        worker: Name,
    },
    /// Set the quota of a team.
    SetQuota {
        /// The name of the team, which need not have any job.
        team: Name,
        /// The maximum that its placed tasks may use in total, not counting tasks on workers
        /// without contact; `None` removes the limit.
        limit: Option<Resources>,
    },
    /// Set a configuration value.
    SetConfig {
        /// The configuration key to set or remove.
        key: Name,
        /// The new value; `None` removes the key.
        value: Option<String>,
        /// The configuration version that the operator has read; the intent is refused if this is
        /// not the current version. `None` skips the check.
        #[serde(default)]
        expected: Option<ConfigVersion>,
    },
}
