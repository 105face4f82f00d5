//! Requests of operators and their answers.

use std::collections::BTreeMap;

use sapphirepost_types::ConfigVersion;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::MemberId;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::Plan;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_types::VersionedObject;
use serde::Deserialize;
use serde::Serialize;

/// Parameters of [`method::OPERATOR`](crate::method::OPERATOR).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OperatorRequest {
    /// Make a plan for an intent.
    Propose(Propose),
    /// Put a plan into effect.
    Confirm(Confirm),
    /// Show a plan.
    ShowPlan {
        /// The plan.
        plan: PlanId,
    },
    /// Show the cluster.
    Status,
    /// Say why a job or a task waits, runs where it runs, or was refused.
    Explain {
        /// The job.
        job: Name,
    },
    /// Show configuration values.
    GetConfig,
    /// Show past configuration changes, the newest first.
    ConfigHistory {
        /// The most changes to show.
        limit: u32,
    },
    /// Wait until every entry has applied a version.
    WaitConfig {
        /// The version.
        version: ConfigVersion,
        /// The longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Show the control processes.
    ListMembers,
    /// Add a control process: first without a vote, promoted once it has caught up.
    AddMember {
        /// The member.
        member: MemberId,
        /// Its inner address.
        address: String,
    },
    /// Remove a control process.
    RemoveMember {
        /// The member.
        member: MemberId,
    },
}

/// Asks for a plan. The body of `POST /v1/plans`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Propose {
    /// The operation; a resend gets the same plan.
    pub operation: OperationId,
    /// The intent.
    pub intent: Intent,
}

/// Confirms a plan. The body of `POST /v1/plans/<id>/confirm`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The operation; a resend gets the recorded answer.
    pub operation: OperationId,
    /// The plan.
    pub plan: PlanId,
}

/// Why a change was refused. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Refusal {
    /// The intent cannot be met.
    Invalid {
        /// Why.
        reason: String,
    },
    /// The job can never run in this cluster.
    NeverFits {
        /// Why, with the resource that is short.
        reason: String,
    },
    /// An object that the plan rests on has changed.
    Stale {
        /// The objects with their versions now.
        changed: Vec<VersionedObject>,
        /// The plan, confirmed by somebody else, that changed them, if it is known.
        won: Option<PlanId>,
        /// A new plan for the same intent, if one can be made.
        fresh: Option<Box<Plan>>,
    },
    /// The plan was confirmed before, under another operation.
    AlreadyConfirmed {
        /// That operation.
        by: OperationId,
    },
    /// The operation is older than the record of operations.
    OperationTooOld,
    /// The operation lies further in the future than clocks may differ.
    OperationTooNew,
    /// The operation was used for another request.
    OperationMismatch,
    /// The named object does not exist.
    NotFound {
        /// What does not exist.
        what: String,
    },
}

/// What a confirmation did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirmed {
    /// The plan.
    pub plan: PlanId,
    /// The operation that confirmed it.
    pub operation: OperationId,
    /// The configuration version after a change of the configuration.
    pub config_version: Option<ConfigVersion>,
    /// What happened, in words, for instance which end a racing cancel met.
    pub detail: String,
}

/// The state of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobStatus {
    /// The name.
    pub name: Name,
    /// The team.
    pub team: Name,
    /// The kind.
    pub kind: JobKind,
    /// Wanted tasks.
    pub wanted: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that are placed but not yet reported as running.
    pub starting: u32,
    /// Tasks that wait for room.
    pub waiting: u32,
    /// Tasks on workers without contact.
    pub unreachable: u32,
    /// Tasks that ended with success.
    pub finished: u32,
    /// Tasks that ended with an error and are not tried again.
    pub failed: u32,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// The state of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerStatus {
    /// The name.
    pub name: Name,
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// All that it has.
    pub capacity: Resources,
    /// What is taken.
    pub used: Resources,
    /// How many tasks it has.
    pub tasks: u32,
    /// Whether it has contact.
    pub connected: bool,
    /// Whether it takes no more tasks.
    pub draining: bool,
    /// Whether it was set aside because tasks fail on it.
    pub quarantined: bool,
}

/// The state of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterStatus {
    /// The jobs that have not been forgotten.
    pub jobs: Vec<JobStatus>,
    /// The workers.
    pub workers: Vec<WorkerStatus>,
    /// The configuration version.
    pub config_version: ConfigVersion,
    /// The leader.
    pub leader: MemberId,
    /// Its term.
    pub term: u64,
}

/// One past change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// The version after the change.
    pub version: ConfigVersion,
    /// The key.
    pub key: Name,
    /// The value before.
    pub old: Option<String>,
    /// The value after.
    pub new: Option<String>,
    /// The operation that made it.
    pub operation: OperationId,
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// One control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberStatus {
    /// The member.
    pub member: MemberId,
    /// Its inner address.
    pub address: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
    /// The last log index that it is known to hold.
    pub matched: u64,
    /// Milliseconds since it was last heard from; `None` for the leader itself.
    pub silent_ms: Option<u64>,
}

/// Result of [`method::OPERATOR`](crate::method::OPERATOR).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OperatorReply {
    /// A plan.
    Plan(Box<Plan>),
    /// The confirmation took effect.
    Confirmed(Confirmed),
    /// Nothing was changed.
    Refused(Refusal),
    /// The cluster.
    Status(Box<ClusterStatus>),
    /// An explanation, a line each.
    Explanation {
        /// The lines.
        lines: Vec<String>,
    },
    /// The configuration.
    Config {
        /// Its version.
        version: ConfigVersion,
        /// Its values.
        values: BTreeMap<Name, String>,
    },
    /// Past changes.
    History(Vec<ConfigRecord>),
    /// The state of a version's distribution.
    InForce {
        /// The version that was asked for.
        version: ConfigVersion,
        /// Entries that have applied it.
        applied: Vec<Name>,
        /// Entries that have not, or are not heard from.
        lacking: Vec<Name>,
    },
    /// The control processes.
    Members(Vec<MemberStatus>),
    /// The membership change was committed.
    MembershipChanged {
        /// What happened.
        detail: String,
    },
}
