//! Requests to workers and their replies, independent of any wire format.

use std::sync::Arc;

use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;

use crate::command::RunEnd;
use crate::ids::TaskKey;
use crate::worker::WorkerRecord;

/// The bits of a token that hold the number of restarts. With the term above them, the token stays
/// below 2^53, up to which all readers of JSON numbers agree.
const RESTART_BITS: u32 = 20;

/// What keeps a worker from carrying out requests of earlier leaders, and late ones that were meant
/// for a former incarnation with its ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fence {
    /// The term of the leader.
    pub term: u64,
    /// How many restarts of workers the leader had noticed when it began to track the worker.
    pub restarts: u32,
}

impl Fence {
    fn token(self) -> u64 {
        let restarts = u64::from(self.restarts);
        self.term << RESTART_BITS | restarts.min((1 << RESTART_BITS) - 1)
    }
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRequest {
    /// The ID of the worker that the request is for.
    pub worker: Arc<str>,
    /// The incarnation of the worker that the request is for. The worker itself compares the ID
    /// alone.
    pub incarnation: Incarnation,
    /// The worker's network address, as `ip:port`.
    pub address: Arc<str>,
    /// The term of the leader that sends the request.
    pub term: u64,
    /// The worker rejects requests with a lower token than it has seen. It rises with the term, and
    /// with each restart of a worker that the leader notices.
    pub fencing_token: u64,
    /// When the request was created, on the leader's clock.
    pub sent: Millis,
    /// What the worker is asked to do.
    pub kind: WorkerRequestKind,
}

/// The kind of a request, with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerRequestKind {
    /// Renew the lease and report the running tasks and the ends.
    Poll {
        /// The end of the lease on the worker's clock; `None` requests no extension.
        until_ms: Option<u64>,
        /// The worker may forget ends up to this number.
        acknowledged: u64,
        /// How long the worker may wait for an end before it replies.
        wait_ms: u64,
    },
    /// Start a run.
    Start {
        /// The task to run.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// The payload of the job.
        payload: Arc<str>,
        /// The end of the lease on the worker's clock.
        until_ms: u64,
        /// The checkpoint to resume from, if there is one.
        checkpoint: Option<Arc<str>>,
        /// The permit of the placement policy, if the queue needs one.
        permit: Option<Arc<str>>,
    },
    /// Stop a run, and let no run of the task up to this number start any more.
    Stop {
        /// The task to stop.
        task: TaskKey,
        /// The number of the run.
        run: u32,
        /// Why the run is stopped, for the log.
        reason: StopReason,
    },
}

/// Why a run is stopped. The reason is logged and not sent to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended.
    JobEnded,
    /// Its start was not answered, so it is unknown whether it runs.
    Unanswered,
    /// Its worker is about to leave.
    WorkerLeaves,
    /// It makes no progress.
    StandsStill,
    /// It is preempted by a gang.
    Displaced,
    /// The worker reports it although it should not run there.
    Stray,
    /// Another member of its gang's run is over or cannot begin.
    GangIncomplete,
    /// Another run has done the work of its task.
    TaskDone,
}

impl StopReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [StopReason; 8] = [
        StopReason::JobEnded,
        StopReason::Unanswered,
        StopReason::WorkerLeaves,
        StopReason::StandsStill,
        StopReason::Displaced,
        StopReason::Stray,
        StopReason::GangIncomplete,
        StopReason::TaskDone,
    ];

    /// The position in [`StopReason::ALL`].
    pub fn index(self) -> usize {
        match self {
            StopReason::JobEnded => 0,
            StopReason::Unanswered => 1,
            StopReason::WorkerLeaves => 2,
            StopReason::StandsStill => 3,
            StopReason::Displaced => 4,
            StopReason::Stray => 5,
            StopReason::GangIncomplete => 6,
            StopReason::TaskDone => 7,
        }
    }

    /// The value of the label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            StopReason::JobEnded => "job_ended",
            StopReason::Unanswered => "start_unanswered",
            StopReason::WorkerLeaves => "worker_leaves",
            StopReason::StandsStill => "stalled",
            StopReason::Displaced => "preempted",
            StopReason::Stray => "unexpected",
            StopReason::GangIncomplete => "gang_incomplete",
            StopReason::TaskDone => "task_done",
        }
    }
}

/// A running task that a worker reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task that runs.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent, as the task reports it.
    pub progress_percent: u32,
}

/// The reply to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollReply {
    /// The incarnation that replied, which may be another one than the request is for.
    pub incarnation: Incarnation,
    /// The worker's clock when it replied.
    pub clock_ms: u64,
    /// The tasks that run on the worker.
    pub running: Vec<RunningTask>,
    /// Ends that are not acknowledged, with their numbers.
    pub ends: Vec<(u64, RunEnd)>,
    /// Whether the worker may hold further ends, which it lists once these are acknowledged.
    pub has_more_ends: bool,
}

/// The reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The reply to a poll.
    Polled(PollReply),
    /// The worker accepted a start or a stop.
    Accepted,
}

/// Why a worker rejects a request. A rejected start has started nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The worker has had requests of a leader with a higher term.
    Fenced,
    /// A run of the task with this number or a higher one was stopped or has ended there.
    Superseded,
    /// The requested end of the lease has passed.
    LeaseOver,
    /// The worker has too few free resources.
    NoRoom,
    /// The permit is missing, expired or for another step.
    NoPermit,
    /// The worker could not decode the request, or its reason is unknown to the leader.
    Invalid,
}

/// Why a request was not accepted, or why its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRequestError {
    /// There was no usable reply in time; the worker may have carried out the request or may do so
    /// later.
    NoAnswer,
    /// The connection broke before the reply; the worker may have carried out the request.
    Broken,
    /// The request was not sent.
    NotSent,
    /// The request was not sent, since the connection was refused: the worker's process has ended,
    /// or something on the way rejects connections to it.
    Refused,
    /// The request was not sent, since this process has no resources for it; this says nothing
    /// about the worker.
    OutOfResources,
    /// The worker says that it is unhealthy and has done nothing.
    Unhealthy,
    /// A worker with another ID answers at the address.
    OtherLife,
    /// The worker rejected the request.
    Rejected(RejectReason),
}

impl WorkerRequestError {
    /// Whether the worker may have carried out the request.
    pub fn is_uncertain(self) -> bool {
        matches!(
            self,
            WorkerRequestError::NoAnswer | WorkerRequestError::Broken
        )
    }

    /// Whether this error of a start means that the request has started nothing and the worker goes
    /// on under this leader.
    pub(crate) fn has_started_nothing(self) -> bool {
        match self {
            WorkerRequestError::NotSent
            | WorkerRequestError::Refused
            | WorkerRequestError::OutOfResources
            | WorkerRequestError::Unhealthy => true,
            WorkerRequestError::Rejected(reason) => reason != RejectReason::Fenced,
            WorkerRequestError::NoAnswer
            | WorkerRequestError::Broken
            | WorkerRequestError::OtherLife => false,
        }
    }
}

impl WorkerRequest {
    pub(crate) fn new(
        record: &WorkerRecord,
        fence: Fence,
        sent: Millis,
        kind: WorkerRequestKind,
    ) -> WorkerRequest {
        WorkerRequest {
            worker: record.id.clone(),
            incarnation: record.incarnation,
            address: record.address.clone(),
            term: fence.term,
            fencing_token: fence.token(),
            sent,
            kind,
        }
    }
}
