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
    /// The job with this name.
    Job(Name),
    /// The worker with this name.
    Worker(Name),
    /// The quota of the team with this name.
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
///
/// A plan lists the objects that it was computed from, and its confirmation is refused when the
/// version of one of them has changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedObject {
    /// The object.
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
        /// The job.
        job: Name,
        /// The number of tasks.
        tasks: u32,
        /// How many of them fit into the capacity that was free when the plan was made.
        fit_now: u32,
    },
    /// Tasks of a job stop.
    StopTasks {
        /// The job.
        job: Name,
        /// The number of tasks.
        tasks: u32,
    },
    /// Tasks stop on a worker and are placed on another one.
    MoveTasks {
        /// The job.
        job: Name,
        /// The number of tasks.
        tasks: u32,
        /// The worker that they leave.
        from: Name,
        /// The worker that has free capacity for them now; `None` if no worker has, and for a gang,
        /// whose tasks may move to several workers.
        to: Option<Name>,
    },
    /// A worker accepts no more tasks.
    CloseWorker {
        /// The worker.
        worker: Name,
    },
    /// A worker accepts tasks again.
    OpenWorker {
        /// The worker.
        worker: Name,
    },
    /// The quota of a team changes.
    ChangeQuota {
        /// The team.
        team: Name,
    },
    /// A configuration value changes.
    ChangeConfig {
        /// The key.
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
        /// The resource that is short.
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
        /// The team.
        team: Name,
        /// The resource that is short.
        limiting: ResourceKind,
    },
    /// The tasks of the job cannot move now, so the drain does not complete by itself.
    CannotMove {
        /// The job.
        job: Name,
        /// Why not.
        reason: String,
    },
    /// The service would have no running task, at least for some time.
    Interrupts {
        /// The service.
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
