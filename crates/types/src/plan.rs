//! Plans: what the confirmation of an intent would do.
//!
//! A plan lists the versions of the objects that it was computed from. Its confirmation is refused
//! if one of them has changed since then.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::ids::ObjectVersion;
use crate::ids::PlanId;
use crate::intent::Intent;
use crate::name::Name;
use crate::resources::ResourceKind;

/// An object with a version that a plan can depend on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ObjectKey {
    /// The jobs with this name. The version changes when an operator runs, resizes or cancels one.
    Job(Name),
    /// The worker with this name. The version does not change with the tasks on it.
    Worker(Name),
    /// The quota of the team with this name. The version changes when the limit is set.
    Quota(Name),
    /// The configuration as a whole.
    Config,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ObjectKey::Job(name) => write!(f, "job/{name}"),
            ObjectKey::Worker(name) => write!(f, "worker/{name}"),
            ObjectKey::Quota(name) => write!(f, "quota/{name}"),
            ObjectKey::Config => f.write_str("config"),
        }
    }
}

/// An object with its version; version 0 means that the object does not exist.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedObject {
    /// The object that the version belongs to.
    pub object: ObjectKey,
    /// In a plan, its version when the plan was made; in a refusal, its current version.
    pub version: ObjectVersion,
}

/// One change that the confirmation of a plan would make.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Effect {
    /// Tasks of a job are placed, each on a worker that the scheduler chooses when there is free
    /// capacity.
    PlaceTasks {
        /// The name of the job that is started, or of the service that grows.
        job: Name,
        /// The number of tasks, in addition to those that the job has.
        tasks: u32,
        /// How many of them fit into the capacity that was free when the plan was made.
        fit_now: u32,
    },
    /// Tasks of a job stop.
    StopTasks {
        /// The name of the job that is cancelled, or of the service that shrinks.
        job: Name,
        /// The number of placed tasks of a cancelled job, or of replicas that a service loses.
        tasks: u32,
    },
    /// Tasks of a worker that is drained or declared lost are placed on another one.
    MoveTasks {
        /// The name of the job that the tasks belong to.
        job: Name,
        /// The number of tasks that move.
        tasks: u32,
        /// The worker that they leave.
        from: Name,
        /// The worker that had free capacity for them when the plan was made; `None` if no worker
        /// had, and for a gang on a drained worker, whose tasks may move to several workers. For a
        /// lost worker, only the capacity for one of the tasks is checked.
        to: Option<Name>,
    },
    /// A worker accepts no more tasks.
    CloseWorker {
        /// The name of the worker that is drained.
        worker: Name,
    },
    /// A worker accepts tasks again.
    OpenWorker {
        /// The name of the worker that is no longer drained.
        worker: Name,
    },
    /// The quota of a team changes; the intent of the plan has the new limit.
    ChangeQuota {
        /// The name of the team.
        team: Name,
    },
    /// A configuration value changes.
    ChangeConfig {
        /// The configuration key that is set or removed.
        key: Name,
        /// The value before the change; `None` if the key was not set.
        old: Option<String>,
        /// The value after the change; `None` if the key is removed.
        new: Option<String>,
    },
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::PlaceTasks {
                job,
                tasks,
                fit_now,
            } => {
                write!(f, "place {tasks} tasks of {job} ({fit_now} fit now)")
            }
            Effect::StopTasks { job, tasks } => write!(f, "stop {tasks} tasks of {job}"),
            Effect::MoveTasks {
                job,
                tasks,
                from,
                to: Some(to),
            } => {
                write!(f, "move {tasks} tasks of {job} from {from} to {to}")
            }
            Effect::MoveTasks {
                job,
                tasks,
                from,
                to: None,
            } => {
                write!(
                    f,
                    "move {tasks} tasks of {job} from {from} when there is room"
                )
            }
            Effect::CloseWorker { worker } => write!(f, "place nothing more on {worker}"),
            Effect::OpenWorker { worker } => write!(f, "place tasks on {worker} again"),
            Effect::ChangeQuota { team } => write!(f, "change the quota of {team}"),
            Effect::ChangeConfig { key, old, new } => {
                let old = old.as_deref().unwrap_or("unset");
                let new = new.as_deref().unwrap_or("unset");
                write!(f, "change {key} from {old} to {new}")
            }
        }
    }
}

/// Something that an operator should know before confirming.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Warning {
    /// Some tasks have to wait for free capacity.
    MustWait {
        /// The resource of which the largest number of workers has too little free for one task.
        limiting: ResourceKind,
    },
    /// The job is expected to miss its deadline.
    DeadlineAtRisk {
        /// When the last task is expected to finish, in milliseconds since the Unix epoch.
        expected_unix_ms: u64,
        /// The deadline, in milliseconds since the Unix epoch.
        deadline_unix_ms: u64,
    },
    /// The tasks exceed the quota of the team and wait until the quota allows them.
    OverQuota {
        /// The name of the team that the job belongs to.
        team: Name,
        /// The first resource, in the order of [`ResourceKind`], of which the quota has too little
        /// left.
        limiting: ResourceKind,
    },
    /// The tasks of the job cannot move now. The drain completes only when they have ended or can
    /// move.
    CannotMove {
        /// The name of the job.
        job: Name,
        /// Why they cannot move, for people.
        reason: String,
    },
    /// The service would have no running task, at least for some time.
    Interrupts {
        /// The name of the service that is resized to 0, or whose only replica is moved.
        job: Name,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::MustWait { limiting } => write!(f, "tasks wait: too little {limiting}"),
            Warning::DeadlineAtRisk {
                expected_unix_ms,
                deadline_unix_ms,
            } => write!(
                f,
                "deadline at risk: expected end {expected_unix_ms}, deadline {deadline_unix_ms}"
            ),
            Warning::OverQuota { team, limiting } => {
                write!(f, "over the quota of {team}: too little {limiting}")
            }
            Warning::CannotMove { job, reason } => write!(f, "{job} cannot move: {reason}"),
            Warning::Interrupts { job } => write!(f, "{job} is interrupted"),
        }
    }
}

/// The answer to an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The ID of the plan, which its confirmation refers to.
    pub id: PlanId,
    /// The intent that the plan carries out.
    pub intent: Intent,
    /// The objects that the plan was computed from; if the version of one changes, the
    /// confirmation is refused.
    pub rests_on: SmallVec<[VersionedObject; 4]>,
    /// The changes that the confirmation would make.
    pub effects: Vec<Effect>,
    /// What the operator should know before confirming.
    pub warnings: Vec<Warning>,
    /// When the plan was made, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
}
