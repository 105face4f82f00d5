//! The worker's renewal, report and commands.
//!
//! One sync renews the lease of the worker, reports its tasks and brings back commands. The
//! worker counts the lease from when it sent the sync. Reports of ended tasks are repeated until
//! they are acknowledged, also by a later run of the agent, so that no end is lost: a task whose
//! end is lost runs again.

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

/// What a worker is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Its failure domain.
    pub failure_domain: Name,
    /// Its rack.
    pub rack: Name,
    /// All that it has for tasks.
    pub capacity: Resources,
}

/// The status of one attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TaskStatus {
    /// It runs.
    Running,
    /// It ended by itself with success.
    Finished,
    /// It ended by itself with an error.
    Failed {
        /// What the worker knows of the cause.
        reason: String,
    },
    /// It was stopped on command or at the end of the lease.
    Stopped {
        /// Whether a checkpoint was written first.
        checkpointed: bool,
    },
}

impl TaskStatus {
    /// Whether the attempt uses no more room.
    pub fn is_ended(&self) -> bool {
        !matches!(self, TaskStatus::Running)
    }
}

/// The report of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// What it does.
    pub status: TaskStatus,
}

/// The body of `POST /v1/workers/sync` and the parameters of
/// [`method::WORKER_SYNC`](crate::method::WORKER_SYNC).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSync {
    /// The worker.
    pub worker: Name,
    /// The run of the worker's agent; a restart draws a higher one.
    pub incarnation: Incarnation,
    /// Raised with each sync; a lower one that arrives late is ignored.
    pub sequence: u64,
    /// Sent with the first sync of an incarnation, and when it was asked for.
    #[serde(default)]
    pub spec: Option<WorkerSpec>,
    /// Whether `tasks` names all attempts on the worker instead of changes only.
    #[serde(default)]
    pub full: bool,
    /// Attempts that changed, ended attempts that are not acknowledged, or all.
    #[serde(default)]
    pub tasks: Vec<TaskReport>,
    /// The digest of all running attempts; see [`tasks_digest`].
    pub digest: u64,
    /// Observed use, which lags.
    #[serde(default)]
    pub usage: Option<Resources>,
    /// The longest time to hold the sync when there is no command, in milliseconds.
    #[serde(default)]
    pub wait_ms: u64,
}

/// A command to a worker. Each is repeated until a report shows that it was carried out.
///
/// A worker carries out the commands of a reply only while the lease that the reply grants, counted
/// from when the sync was sent, lasts: a later `Start` could meet a successor elsewhere. For at
/// least as long it remembers the highest attempt of each task that it started or was told to
/// stop, so that a `Start` that arrives again or late cannot repeat an attempt that has ended.
///
/// A worker that has something to report does not wait for the answer to a sync that is held: it
/// sends another, upon which the leader answers the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum WorkerCommand {
    /// Start an attempt, unless this or a higher attempt of the task is known.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The job's name.
        job: Name,
        /// What it may use.
        resources: Resources,
        /// What to do when the lease ends.
        on_partition: OnPartition,
        /// The text that the operator gave.
        payload: String,
        /// The declared run time; `None` for a service.
        run_time_ms: Option<u64>,
    },
    /// Stop an attempt; the report of its end confirms it.
    ///
    /// A worker that does not know the attempt reports it as stopped and ignores a later `Start`
    /// of this or a lower attempt, because the two commands may arrive in either order.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Write a checkpoint first.
        checkpoint: bool,
    },
    /// Limit an attempt to a share of its processors.
    Throttle {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Percent of the declared processors.
        percent: u8,
    },
}

/// Names one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptKey {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// The answer to a sync.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSyncReply {
    /// The sequence number of the sync that is answered.
    pub sequence: u64,
    /// How long the lease lasts, counted from when the sync was sent; 0 if it is not renewed.
    pub lease_ms: u64,
    /// Asks for `spec` in the next sync.
    pub send_spec: bool,
    /// Asks for a full report in the next sync.
    pub send_full: bool,
    /// What to do.
    pub commands: Vec<WorkerCommand>,
    /// Ended attempts that need not be reported again.
    pub acknowledged: Vec<AttemptKey>,
}

/// The digest of a set of running attempts, independent of their order.
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
