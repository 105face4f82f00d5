//! Requests of operators and the replies to them.

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
    /// Compute a plan for an intent.
    Propose(Propose),
    /// Put a plan into effect.
    Confirm(Confirm),
    /// Return a plan.
    ShowPlan {
        /// The ID of the plan. Plans are recorded for about a day.
        plan: PlanId,
    },
    /// Return the state of the cluster.
    Status,
    /// Explain why the tasks of a job wait, run where they run, or have ended.
    Explain {
        /// The name of the job. If several jobs had this name, the newest is explained.
        job: Name,
    },
    /// Return all configuration values.
    GetConfig,
    /// Return past configuration changes, the newest first.
    ConfigHistory {
        /// The maximum number of changes.
        limit: u32,
    },
    /// Wait until every entry has applied a configuration version.
    WaitConfig {
        /// The version to wait for; a higher one also counts.
        version: ConfigVersion,
        /// How long to wait at most, in milliseconds; the leader reduces a longer time to its own
        /// limit.
        wait_ms: u64,
    },
    /// List the tenants of the queue table.
    ListTenants,
    /// List the control processes.
    ListMembers,
    /// Add a control process as a non-voter, and promote it to a voter once it has caught up.
    AddMember {
        /// The ID of the process.
        member: MemberId,
        /// The address of its inner listener, as `ip:port`.
        address: String,
    },
    /// Remove a control process.
    RemoveMember {
        /// The ID of the process.
        member: MemberId,
    },
}

/// Requests a plan. The body of `POST /v1/plans`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Propose {
    /// The ID of the operation; a retry with the same ID gets the same plan.
    pub operation: OperationId,
    /// The change to plan.
    pub intent: Intent,
}

/// Confirms a plan. The body of `POST /v1/plans/<id>/confirm`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirm {
    /// The ID of the operation; a retry with the same ID gets the recorded answer.
    pub operation: OperationId,
    /// The plan to carry out, the same one as in the path.
    pub plan: PlanId,
}

/// Why a change was refused. A refused change has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Refusal {
    /// The request is not valid, or not in the current state of the cluster.
    Invalid {
        /// The reason, for people.
        reason: String,
    },
    /// The job could not run even if the cluster were empty, or never within its quota.
    NeverFits {
        /// The reason with the limiting resource, for people.
        reason: String,
    },
    /// An object that the plan was computed from has changed, or the configuration version is not
    /// the expected one.
    Stale {
        /// The changed objects with their current versions.
        changed: Vec<VersionedObject>,
        /// The confirmed plan that changed one of them; `None` if no plan did.
        won: Option<PlanId>,
        /// A new plan for the same intent, in the answer to a confirmation; `None` if none could be
        /// computed, and in the answer to a request for a plan.
        fresh: Option<Box<Plan>>,
    },
    /// The plan was already confirmed, by another operation.
    AlreadyConfirmed {
        /// The operation that confirmed it.
        by: OperationId,
    },
    /// The operation ID is older than the time for which operations are recorded, so that a second
    /// execution cannot be ruled out.
    OperationTooOld,
    /// The time in the operation ID is further in the future than clocks may differ.
    OperationTooNew,
    /// The operation ID was used for another request.
    OperationMismatch,
    /// A job, worker, plan or member that the request refers to does not exist.
    NotFound {
        /// The kind and name of what does not exist.
        what: String,
    },
}

/// The result of a confirmation that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Confirmed {
    /// The plan that took effect.
    pub plan: PlanId,
    /// The operation that confirmed it.
    pub operation: OperationId,
    /// The new configuration version; `None` if the plan did not change the configuration.
    pub config_version: Option<ConfigVersion>,
    /// What was done, for people; for instance, that a job to cancel had already ended.
    pub detail: String,
}

/// The state of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobStatus {
    /// The name of the job. Ended jobs may have the name of a newer one.
    pub name: Name,
    /// The team whose quota its tasks count against.
    pub team: Name,
    /// Whether the job is a service, a batch or a gang.
    pub kind: JobKind,
    /// The number of tasks in the job specification.
    pub wanted: u32,
    /// Tasks that were reported as running.
    pub running: u32,
    /// Tasks that are placed on a worker but not yet reported as running.
    pub starting: u32,
    /// Tasks that wait to be placed.
    pub waiting: u32,
    /// Tasks that are kept on workers without contact.
    pub unreachable: u32,
    /// Tasks that ended with success.
    pub finished: u32,
    /// Tasks that ended with an error and are not retried.
    pub failed: u32,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// The state of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerStatus {
    /// The name of the worker.
    pub name: Name,
    /// The failure domain that it last reported.
    pub failure_domain: Name,
    /// The rack that it last reported, unique within the failure domain.
    pub rack: Name,
    /// The resources that it offers to tasks.
    pub capacity: Resources,
    /// The resources that are allocated to attempts.
    pub used: Resources,
    /// The number of attempts that hold resources on it.
    pub tasks: u32,
    /// Whether it is in contact with the leader.
    pub connected: bool,
    /// Whether it was drained and accepts no more tasks.
    pub draining: bool,
    /// Whether it is quarantined because tasks fail on it.
    pub quarantined: bool,
}

/// The state of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterStatus {
    /// The jobs, including ended ones that are still recorded.
    pub jobs: Vec<JobStatus>,
    /// All registered workers.
    pub workers: Vec<WorkerStatus>,
    /// The current configuration version.
    pub config_version: ConfigVersion,
    /// The control process that leads.
    pub leader: MemberId,
    /// The Raft term of the leader.
    pub term: u64,
}

/// One past change of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigRecord {
    /// The version after the change.
    pub version: ConfigVersion,
    /// The configuration key that was set or removed.
    pub key: Name,
    /// The value before the change; `None` if the key was not set.
    pub old: Option<String>,
    /// The value after the change; `None` if the key was removed.
    pub new: Option<String>,
    /// The operation that made the change.
    pub operation: OperationId,
    /// When the change was made, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

/// The state of one tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantReport {
    /// The name.
    pub name: String,
    /// The weight, which is also the number of jobs a second that the tenant is owed.
    pub weight: f64,
    /// What its tasks may take; the maximum of the number type if that is not limited.
    pub quota: Resources,
    /// What its placed tasks take.
    pub used: Resources,
    /// The number of its tasks that are placed on workers.
    pub running_tasks: u64,
    /// The number of its steps with tasks that could start and wait.
    pub waiting_steps: u64,
    /// Its jobs that the present leader has rejected, by the limit; without zeros.
    pub rejected: BTreeMap<String, u64>,
}

impl Eq for TenantReport {}

/// The state of one control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberStatus {
    /// The ID of the process.
    pub member: MemberId,
    /// The address of its inner listener, as `ip:port`.
    pub address: String,
    /// Whether it is a voting member.
    pub voter: bool,
    /// Whether it is the leader.
    pub leader: bool,
    /// The last log index that it is known to have synced to its disk.
    pub matched: u64,
    /// Milliseconds since its last reply to the leader; `None` for the leader itself.
    pub silent_ms: Option<u64>,
}

/// Result of [`method::OPERATOR`](crate::method::OPERATOR).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum OperatorReply {
    /// The plan that was requested.
    Plan(Box<Plan>),
    /// The confirmation took effect.
    Confirmed(Confirmed),
    /// The request was refused and has no effect.
    Refused(Refusal),
    /// The state of the cluster.
    Status(Box<ClusterStatus>),
    /// The explanation of a job.
    Explanation {
        /// The lines of the explanation, for people.
        lines: Vec<String>,
    },
    /// All configuration values.
    Config {
        /// The version of the configuration that has these values, the current one.
        version: ConfigVersion,
        /// The value of each key that is set.
        values: BTreeMap<Name, String>,
    },
    /// Past changes of the configuration, the newest first.
    History(Vec<ConfigRecord>),
    /// Which entries have applied a configuration version.
    InForce {
        /// The version that was asked for.
        version: ConfigVersion,
        /// The IDs of the entries that have applied this or a higher version, such as `entry1`.
        applied: Vec<Name>,
        /// The IDs of the entries that have not reported this or a higher version to the leader.
        lacking: Vec<Name>,
    },
    /// The tenants of the queue table, in its order.
    Tenants(Vec<TenantReport>),
    /// The members of the replicated group of control processes, voters and others.
    Members(Vec<MemberStatus>),
    /// The membership change was committed, or was not needed.
    MembershipChanged {
        /// What was changed, or that nothing had to be changed, for people.
        detail: String,
    },
}
