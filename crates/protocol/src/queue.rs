//! Calls about the queues of callers' jobs, the workers that run these jobs, placement permits, and
//! control processes that join.

use std::sync::Arc;

use sapphirepost_queues::ApiKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::PermitAnswer;
use sapphirepost_queues::scheduler::PermitRequest;
use sapphirepost_queues::scheduler::WorkerReport;
use sapphirepost_queues::table::TableDocument;
use sapphirepost_types::Incarnation;
use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// Parameters of [`method::QUEUE`](crate::method::QUEUE).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueueCall {
    /// A caller's request about a job or a queue.
    Caller(CallerRequest),
    /// Replaces the queue table, unless the current one has the same or a higher version. The call
    /// is idempotent.
    PutTable(QueueTable),
    /// Reads the current queue table.
    GetTable,
    /// A worker reports its properties and its state.
    Report {
        /// The properties of the worker, which are replicated when they change.
        record: WorkerRecord,
        /// The state of the worker, which the leader keeps in memory.
        report: WorkerReport,
    },
    /// A worker has shut down; no task runs on it any more.
    Left {
        /// The ID of the worker.
        worker: Arc<str>,
        /// The incarnation that has shut down, if the worker says so.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        incarnation: Option<Incarnation>,
    },
    /// Long poll of a policy client, which queries the placement policy on behalf of the leader,
    /// for the next permit request.
    WaitForQuestion {
        /// The name of the policy client. The leader holds only the newest poll of each name.
        caller: Arc<str>,
        /// The policy's answer to the permit request in the reply to the previous poll; `None` if
        /// there is no answer to report.
        answer: Option<PermitAnswer>,
    },
    /// A follower asks up to which entry the leader has applied the log.
    LeaderIndex,
    /// A control process asks to become a member of the replicated group. It repeats the call until
    /// it votes.
    Join {
        /// The ID of the process.
        member: MemberId,
        /// The inner address of the process.
        address: String,
    },
}

/// A caller's request about a job or a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    /// The host in the caller's request, which with the path selects the queue.
    pub host: String,
    /// The path of the caller's request: the path prefix of a queue, followed by the key of a job
    /// or by nothing.
    pub path: String,
    /// The key that the caller has presented. Members of an earlier version do not know the field,
    /// and can read a request without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<ApiKey>,
    /// What to do with the job or queue.
    pub action: CallerAction,
}

/// The action on the job or queue that the path selects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum CallerAction {
    /// Submits a job. A job that exists already stays unchanged.
    Submit(SubmittedSpec),
    /// Reads the phase of a job, or the number of waiting jobs of a queue.
    Read,
    /// Cancels a job. A job that has already ended stays unchanged.
    Cancel,
}

/// The answer to a [`QueueCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueueReply {
    /// The job is committed, or it existed already.
    Accepted,
    /// The job was refused by admission control: it is not stored and will not run.
    Refused {
        /// After how long the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// The reason, for people.
        reason: String,
    },
    /// No queue has this host and path.
    NoQueue,
    /// No queue table has been set yet.
    NoTable,
    /// The request has no key of a tenant, or an unknown one; nothing was done.
    Unauthorized,
    /// The job belongs to another tenant than the key; nothing was done.
    Forbidden,
    /// The phase of a job.
    Phase(JobPhase),
    /// The number of jobs of a queue that have not started any task.
    Waiting(u64),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// The job does not exist.
    UnknownJob,
    /// The call is malformed or cannot be carried out; nothing was done. Holds the reason.
    Invalid(String),
    /// The queue table that was sent, or one with a higher version, is current.
    TableInForce,
    /// The document of the current queue table, as the operator wrote it.
    Table(TableDocument),
    /// The report, or the shutdown, of a worker was recorded.
    Reported,
    /// The answer to [`QueueCall::WaitForQuestion`].
    Question {
        /// The permit request to pass to the placement policy; `None` if there was none for some
        /// time, and the policy client is to poll again.
        request: Option<PermitRequest>,
        /// The inner addresses of the members of the replicated group, at which the policy client
        /// finds a later leader.
        members: Vec<String>,
    },
    /// The answer to [`QueueCall::LeaderIndex`].
    LeaderIndex(u64),
    /// The progress of a process that joins.
    Joining {
        /// Whether the process is a voting member.
        is_voter: bool,
    },
}
