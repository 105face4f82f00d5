//! Plans: what the confirmation of an intent would do.
//!
//! A plan names the versions of the objects that it rests on. A confirmation is refused when one
//! of them has changed since.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::ids::ObjectVersion;
use crate::ids::PlanId;
use crate::intent::Intent;
use crate::name::Name;
use crate::resources::ResourceKind;

/// An object whose version a plan may rest on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ObjectKey {
    /// A job by name.
    Job(Name),
    /// A worker by name.
    Worker(Name),
    /// The quota of a team.
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
    /// Its version when the plan was made.
    pub version: ObjectVersion,
}

/// One thing that the confirmation would do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Effect {
    /// Tasks of a job are placed; where is decided when there is room.
    PlaceTasks {
        /// The job.
        job: Name,
        /// How many tasks.
        tasks: u32,
        /// How many of them have room now.
        fit_now: u32,
    },
    /// Tasks of a job stop.
    StopTasks {
        /// The job.
        job: Name,
        /// How many tasks.
        tasks: u32,
    },
    /// Tasks leave a worker.
    MoveTasks {
        /// The job.
        job: Name,
        /// How many tasks.
        tasks: u32,
        /// The worker that they leave.
        from: Name,
        /// The worker that would take them now, if any has room.
        to: Option<Name>,
    },
    /// A worker takes no more tasks.
    CloseWorker {
        /// The worker.
        worker: Name,
    },
    /// A worker takes tasks again.
    OpenWorker {
        /// The worker.
        worker: Name,
    },
    /// A quota changes.
    ChangeQuota {
        /// The team.
        team: Name,
    },
    /// A configuration value changes.
    ChangeConfig {
        /// The key.
        key: Name,
        /// The value before.
        old: Option<String>,
        /// The value after.
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
    /// The tasks wait for room.
    MustWait {
        /// The resource that is short.
        limiting: ResourceKind,
    },
    /// The deadline will probably be missed.
    DeadlineAtRisk {
        /// When the last task will probably finish, in milliseconds since the Unix epoch.
        expected_unix_ms: u64,
        /// The deadline.
        deadline_unix_ms: u64,
    },
    /// The tasks exceed the quota of the team and wait until it allows them.
    OverQuota {
        /// The team.
        team: Name,
        /// The resource that is short.
        limiting: ResourceKind,
    },
    /// These tasks cannot move now, so the drain will not complete by itself.
    CannotMove {
        /// The job.
        job: Name,
        /// Why not.
        reason: String,
    },
    /// The only replica of a service would stop.
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
    /// The plan's id, which a confirmation names.
    pub id: PlanId,
    /// The intent that it answers.
    pub intent: Intent,
    /// The versions that it rests on.
    pub rests_on: SmallVec<[VersionedObject; 4]>,
    /// What the confirmation would do.
    pub effects: Vec<Effect>,
    /// What the operator should know.
    pub warnings: Vec<Warning>,
    /// When the plan was made, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
}
