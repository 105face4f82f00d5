//! The events of a history.

use sapphirepost_types::Attempt;
use sapphirepost_types::Name;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timed {
    /// Milliseconds of one clock that the whole history shares.
    pub at_ms: u64,
    /// What happened.
    pub event: Event,
}

/// What an operator was told about a confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It took effect.
    Accepted {
        /// The objects that the plan rests on, with the versions that it expects.
        rests_on: Vec<(String, u64)>,
        /// The version, key and value, if the configuration changed.
        config: Option<(u64, Name, Option<String>)>,
    },
    /// It was refused.
    Refused,
}

/// What a caller was told about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, and this is the answer.
    Done,
    /// It was not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One thing that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A worker has this much for tasks.
    WorkerSize {
        /// The worker.
        worker: Name,
        /// All that it has.
        capacity: Resources,
    },
    /// An attempt began to run.
    TaskStarted {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// What it uses.
        resources: Resources,
    },
    /// An attempt ran no more.
    TaskStopped {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Whether it ended by itself with success.
        finished: bool,
    },
    /// The system reported a task as ended with success.
    FinishReported {
        /// The task.
        task: TaskId,
    },
    /// The VM of a worker was lost with everything on it.
    WorkerLost {
        /// The worker.
        worker: Name,
    },
    /// An operator received the answer to a confirmation.
    ConfirmAnswered {
        /// The operation.
        operation: String,
        /// The plan.
        plan: PlanId,
        /// The answer.
        answer: Answer,
    },
    /// A process that applies the configuration started.
    ProcessStarted {
        /// The process.
        process: Name,
    },
    /// It stopped.
    ProcessStopped {
        /// The process.
        process: Name,
    },
    /// It can no longer reach the others, or can again.
    ProcessCutOff {
        /// The process.
        process: Name,
        /// Whether it is cut off.
        cut_off: bool,
    },
    /// A process put a version into force.
    ConfigApplied {
        /// The process.
        process: Name,
        /// The version.
        version: u64,
        /// The value of each key.
        values: Vec<(Name, String)>,
    },
    /// A runner began to run a request.
    RequestRan {
        /// The request; a resend carries the same one.
        request: String,
        /// Which sending of the request ran.
        submission: u64,
        /// Whether it may run more than once.
        idempotent: bool,
    },
    /// A caller received the answer to one submission of a request.
    RequestAnswered {
        /// The submission that was answered.
        submission: u64,
        /// The outcome.
        outcome: Outcome,
    },
}
