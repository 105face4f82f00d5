//! What operators ask for.
//!
//! An intent changes nothing by itself: it is answered with a [`Plan`](crate::plan::Plan), and
//! only the confirmation of that plan takes effect.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ConfigVersion;
use crate::name::Name;
use crate::resources::Resources;

/// What a task does while its worker has no contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnPartition {
    /// Runs on; it is not placed again until its worker is heard from or declared lost.
    Keep,
    /// Stops when the lease ends; it is then placed again.
    Move,
}

/// How urgently a job starts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Waits for free room.
    #[default]
    Normal,
    /// May displace normal tasks.
    Urgent,
}

/// The kind of a job with what only that kind has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobKind {
    /// Runs until cancelled and is kept at its size.
    Service,
    /// Runs to its end.
    Batch {
        /// When the last task must have finished, in milliseconds since the Unix epoch.
        deadline_unix_ms: Option<u64>,
        /// The declared run time of one task.
        run_time_ms: u64,
    },
    /// Runs to its end; all tasks start together or none does.
    Gang {
        /// The declared run time of one task.
        run_time_ms: u64,
    },
}

impl JobKind {
    /// The choice for a cut-off failure domain where the intent names none: services keep
    /// running, other work moves.
    pub fn default_on_partition(&self) -> OnPartition {
        match self {
            JobKind::Service => OnPartition::Keep,
            JobKind::Batch { .. } | JobKind::Gang { .. } => OnPartition::Move,
        }
    }

    /// The declared run time of one task; `None` for a service.
    pub fn run_time_ms(&self) -> Option<u64> {
        match self {
            JobKind::Service => None,
            JobKind::Batch { run_time_ms, .. } | JobKind::Gang { run_time_ms } => {
                Some(*run_time_ms)
            }
        }
    }
}

/// A job as an operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The name, unique among the jobs that have not ended.
    pub name: Name,
    /// The team whose quota is charged.
    pub team: Name,
    /// The kind with its own fields.
    pub kind: JobKind,
    /// How many tasks run.
    pub tasks: u32,
    /// What one task needs.
    pub resources: Resources,
    /// How urgently it starts.
    #[serde(default)]
    pub priority: Priority,
    /// The choice for a cut-off failure domain; the default depends on the kind.
    #[serde(default)]
    pub on_partition: Option<OnPartition>,
    /// What a checkpoint of one task costs in milliseconds; `None` if it cannot checkpoint.
    #[serde(default)]
    pub checkpoint_cost_ms: Option<u64>,
    /// The text handed to the worker, for instance a command line; the system does not read it.
    #[serde(default)]
    pub payload: String,
}

impl JobSpec {
    /// The choice for a cut-off failure domain that is in force.
    pub fn on_partition(&self) -> OnPartition {
        self.on_partition
            .unwrap_or_else(|| self.kind.default_on_partition())
    }
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Intent {
    /// Run a job.
    Run(JobSpec),
    /// Change the size of a running service.
    Resize {
        /// The service.
        job: Name,
        /// The new number of tasks.
        tasks: u32,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: Name,
    },
    /// Move all tasks off a worker and place nothing more there.
    Drain {
        /// The worker.
        worker: Name,
        /// Allows the only replica of a service to stop before its successor runs.
        #[serde(default)]
        allow_interruption: bool,
    },
    /// Let a drained worker take tasks again.
    Undrain {
        /// The worker.
        worker: Name,
    },
    /// Declare a silent worker lost, so that its `keep` tasks are placed again.
    DeclareLost {
        /// The worker.
        worker: Name,
    },
    /// Set the quota of a team.
    SetQuota {
        /// The team.
        team: Name,
        /// The most that its running tasks may use together; `None` lifts the limit.
        limit: Option<Resources>,
    },
    /// Set a configuration value.
    SetConfig {
        /// The key.
        key: Name,
        /// The new value; `None` removes the key.
        value: Option<String>,
        /// The version that the operator has seen; when given and not current, the intent is
        /// refused.
        #[serde(default)]
        expected: Option<ConfigVersion>,
    },
}
