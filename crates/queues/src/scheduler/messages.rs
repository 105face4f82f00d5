//! What is said to workers and what they answer, apart from any wire format.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::command::RunEnd;
use crate::ids::TaskKey;
use crate::worker::WorkerRecord;

/// One order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRequest {
    /// The life of the worker that is meant.
    pub worker: Arc<str>,
    /// Where it is called.
    pub address: Arc<str>,
    /// The term of the leader that gives the order.
    pub term: u64,
    /// When it was decided, on the leader's clock.
    pub sent: Millis,
    /// What to do.
    pub kind: WorkerRequestKind,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerRequestKind {
    /// Renew the lease and report what runs and what has ended.
    Poll {
        /// The end of the lease on the worker's clock.
        until_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        acknowledged: u64,
        /// How long the worker may wait for an end before it answers.
        wait_ms: u64,
    },
    /// Start a run.
    Start {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// What the task is given.
        payload: Arc<str>,
        /// The end of the lease on the worker's clock.
        until_ms: u64,
        /// Where it resumes.
        checkpoint: Option<Arc<str>>,
        /// The permit of the placement policy.
        permit: Option<Arc<str>>,
    },
    /// Stop a run, and let no run up to it begin.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u32,
        /// Why.
        reason: StopReason,
    },
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job has ended.
    JobEnded,
    /// Its start was not answered, so nobody knows whether it runs.
    Unanswered,
    /// Its worker is about to leave.
    WorkerLeaves,
    /// It makes no progress.
    StandsStill,
    /// A gang takes its place.
    Displaced,
    /// The worker should not have it.
    Stray,
}

/// A running task that a worker reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: u32,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent.
    pub progress_percent: u32,
}

/// The answer to a look.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollReply {
    /// The worker's clock.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What has ended, by number.
    pub ends: Vec<(u64, RunEnd)>,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// A look.
    Polled(PollReply),
    /// A start or a stop was taken.
    Accepted {
        /// The worker's clock.
        clock_ms: u64,
    },
}

/// Why a worker rejects a start. Nothing was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// A leader of a higher term has given orders.
    Fenced,
    /// A run at least as high was stopped or has ended there.
    Superseded,
    /// The end of the lease is past.
    LeaseOver,
    /// It does not fit.
    NoRoom,
    /// The permit is missing, too old or of another step.
    NoPermit,
    /// The worker could not read the order.
    Invalid,
}

/// Why an order has no effect, or an unknown one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRequestError {
    /// It may be carried out, also later.
    NoAnswer,
    /// It did not leave this process.
    NotSent,
    /// The worker is not healthy and has done nothing.
    Unhealthy,
    /// Another life of a worker answers at the address.
    OtherLife,
    /// It was rejected.
    Rejected(RejectReason),
}

impl WorkerRequest {
    pub(crate) fn new(
        record: &WorkerRecord,
        term: u64,
        sent: Millis,
        kind: WorkerRequestKind,
    ) -> WorkerRequest {
        WorkerRequest {
            worker: record.id.clone(),
            address: record.address.clone(),
            term,
            sent,
            kind,
        }
    }
}
