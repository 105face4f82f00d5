//! Lease renewal and task reports of workers, and the commands to them.
//!
//! One sync renews the lease of the worker, reports its tasks and returns commands. The lease
//! begins when the worker sends the sync. The agent repeats the report of an ended task until it is
//! acknowledged, also after a restart of the agent, because a task whose end is lost runs again.

use std::hash::Hash;
use std::hash::Hasher;

use sapphirepost_types::Attempt;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

/// The properties of a worker, as it reports them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The failure domain that it runs in. The replicas of a service are spread over failure
    /// domains and, within one, over racks.
    pub failure_domain: Name,
    /// The rack that it runs in; the name is unique within the failure domain only.
    pub rack: Name,
    /// The resources that it offers to tasks.
    pub capacity: Resources,
}

/// The status of one attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TaskStatus {
    /// It is running.
    Running,
    /// It ended by itself with success.
    Finished,
    /// It ended by itself with an error.
    Failed {
        /// The cause as far as the worker knows it, for people.
        reason: String,
    },
    /// It was stopped by a command or because the lease expired.
    Stopped {
        /// Whether a checkpoint was written first.
        checkpointed: bool,
    },
}

impl TaskStatus {
    /// Whether the attempt has ended and no longer uses resources.
    pub fn is_ended(&self) -> bool {
        !matches!(self, TaskStatus::Running)
    }
}

/// The report of one attempt, which need not be the newest of its task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task that the attempt belongs to.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The status of the attempt on the worker that reports it.
    pub status: TaskStatus,
}

/// The body of `POST /v1/workers/sync` and the parameters of
/// [`method::WORKER_SYNC`](crate::method::WORKER_SYNC).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSync {
    /// The name of the worker, unique in the cluster.
    pub worker: Name,
    /// The incarnation of the worker's agent, higher after each restart.
    pub incarnation: Incarnation,
    /// Increases with each sync of an incarnation; a sync with a lower number that arrives late is
    /// ignored.
    pub sequence: u64,
    /// The properties of the worker; sent with the first sync of an incarnation and after a reply
    /// with [`WorkerSyncReply::send_spec`].
    #[serde(default)]
    pub spec: Option<WorkerSpec>,
    /// Whether `tasks` lists all attempts on the worker instead of only the changed ones.
    #[serde(default)]
    pub full: bool,
    /// Attempts that changed and ended attempts that are not acknowledged; if `full` is set, all
    /// attempts.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
    /// The digest of all running attempts; see [`tasks_digest`].
    pub digest: u64,
    /// The measured use of resources, which lags behind the actual use; `None` if it is not
    /// measured.
    #[serde(default)]
    pub usage: Option<Resources>,
    /// How long the leader may hold the sync if there is no command, in milliseconds. Entry and
    /// leader reduce a longer time to their own limits.
    #[serde(default)]
    pub wait_ms: u64,
}

/// A command to a worker. The leader repeats a start or a stop until a report shows that it was
/// carried out; no report confirms a throttle, so it is not repeated.
///
/// A worker carries out the commands of a reply only until the lease that the reply grants expires,
/// because after that the leader may have started a newer attempt elsewhere. For at least this time
/// it remembers the highest attempt of each task that it started or was told to stop, so that a
/// duplicate or delayed `Start` cannot repeat an attempt that has ended.
///
/// A worker that has something to report need not wait for the reply to a sync that the leader
/// holds: it can send another one, and the leader then replies to the one that it held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WorkerCommand {
    /// Start an attempt, unless the worker knows this attempt or a higher one of the task.
    Start {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt to start.
        attempt: Attempt,
        /// The name of the job that the task belongs to.
        job: Name,
        /// The resources that the attempt may use.
        resources: Resources,
        /// Whether the attempt keeps running or stops when the lease expires.
        on_partition: OnPartition,
        /// The payload of the job specification, for instance a command line.
        payload: String,
        /// The declared run time in milliseconds; `None` for a service.
        run_time_ms: Option<u64>,
    },
    /// Stop an attempt. The report that it has ended confirms the command.
    ///
    /// A worker that does not know the attempt reports it as stopped and ignores a later `Start` of
    /// this attempt or a lower one, because the two commands may arrive in either order.
    Stop {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt to stop; other attempts of the task are not affected.
        attempt: Attempt,
        /// Whether to write a checkpoint first.
        checkpoint: bool,
    },
    /// Limit the processor time of an attempt to a percentage of what it declared.
    Throttle {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt to throttle; other attempts of the task are not affected.
        attempt: Attempt,
        /// The limit in percent of the declared processor time.
        percent: u8,
    },
}

/// Identifies an attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptKey {
    /// The task that the attempt belongs to.
    pub task: TaskId,
    /// The number of the attempt, unique among the attempts of the task.
    pub attempt: Attempt,
}

/// The reply to a sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSyncReply {
    /// The sequence number of the sync that this is the reply to.
    pub sequence: u64,
    /// The duration of the lease from when the worker sent the sync, in milliseconds; 0 if the
    /// lease is not renewed.
    pub lease_ms: u64,
    /// Whether the next sync is to contain the properties of the worker.
    pub send_spec: bool,
    /// Whether the next sync is to report all attempts.
    pub send_full: bool,
    /// The commands for the worker; none if the lease is not renewed.
    pub commands: Vec<WorkerCommand>,
    /// Ended attempts whose reports are acknowledged and need not be repeated.
    pub acknowledged: Vec<AttemptKey>,
}

/// A digest of a set of running attempts, independent of their order. The leader compares it with
/// the digest of the attempts that it believes to be running, and asks for a full report if the two
/// differ.
pub fn tasks_digest(attempts: impl IntoIterator<Item = AttemptKey>) -> u64 {
    attempts
        .into_iter()
        .map(attempt_digest)
        .fold(0, u64::wrapping_add)
}

fn attempt_digest(key: AttemptKey) -> u64 {
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    hasher.finish()
}
