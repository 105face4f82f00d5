//! Calls about the queues of callers' jobs, the workers that run them, and placement permits.

use std::sync::Arc;

use sapphirepost_queues::JobPhase;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_queues::scheduler::PermitAnswer;
use sapphirepost_queues::scheduler::PermitRequest;
use sapphirepost_queues::scheduler::WorkerReport;
use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// Parameters of [`method::QUEUE`](crate::method::QUEUE).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueueCall {
    /// A caller's request.
    Caller(CallerRequest),
    /// Puts a table into force. It may be sent again.
    PutTable(QueueTable),
    /// Reads the table in force.
    GetTable,
    /// A worker says what it is.
    Report {
        /// What it is.
        record: WorkerRecord,
        /// The rest of the report.
        report: WorkerReport,
    },
    /// A worker has left; nothing runs there any more.
    Left {
        /// The worker.
        worker: Arc<str>,
    },
    /// A caller of the placement policy waits for a question.
    WaitForQuestion {
        /// The caller.
        caller: Arc<str>,
        /// The answer to its last question.
        answer: Option<PermitAnswer>,
    },
    /// A control process wants to be a member of the group. It may be sent again.
    Join {
        /// Its identity.
        member: MemberId,
        /// Its inner address.
        address: String,
    },
}

/// What a caller asks of a queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerRequest {
    /// The host that the caller names.
    pub host: String,
    /// The path.
    pub path: String,
    /// What to do.
    pub action: CallerAction,
}

/// What to do with the job or queue that a path names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum CallerAction {
    /// Submits a job; a job that is known already is not changed.
    Submit(SubmittedSpec),
    /// Reads the phase of a job, or the number of waiting jobs of a queue.
    Read,
    /// Cancels a job.
    Cancel,
}

/// The answer to a [`QueueCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum QueueReply {
    /// The job is stored.
    Accepted,
    /// The job is not stored and will not run.
    Refused {
        /// When the caller may return.
        retry_after_ms: u64,
        /// Why.
        reason: String,
    },
    /// No queue has that host and path.
    NoQueue,
    /// There is no table yet.
    NoTable,
    /// The phase of a job.
    Phase(JobPhase),
    /// The number of jobs of a queue of which no task has started.
    Waiting(u64),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// No such job is known.
    UnknownJob,
    /// The request is malformed; nothing was done.
    Invalid(String),
    /// The table, or a higher version, is in force.
    TableInForce,
    /// The table in force, as it was written.
    Table(Arc<str>),
    /// The report was taken.
    Reported {
        /// The inner address of the leader, which takes further reports with the least delay.
        leader_address: String,
    },
    /// A question for the placement policy, if there is one.
    Question {
        /// The question.
        request: Option<PermitRequest>,
        /// The inner addresses of the members.
        members: Vec<String>,
    },
    /// How far a member has come.
    Joining {
        /// Whether it votes.
        is_voter: bool,
    },
}
