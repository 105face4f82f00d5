//! The events of a recorded history.

use sapphirepost_types::Attempt;
use sapphirepost_types::Name;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

/// An event with the time at which it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timed {
    /// The time in milliseconds, on a clock that all events of the history share.
    pub at_ms: u64,
    /// The event.
    pub event: Event,
}

/// The answer that an operator received to a confirmation of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The confirmation took effect.
    Accepted {
        /// The objects that the plan was computed from, with the versions that it expects.
        rests_on: Vec<(String, u64)>,
        /// The new configuration version with the changed key and its value, which is `None` if the
        /// key was removed; `None` if the plan did not change the configuration.
        config: Option<(u64, Name, Option<String>)>,
    },
    /// The confirmation was refused.
    Refused,
}

/// The outcome of a request as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran and the caller has its answer.
    Done,
    /// The request was refused and did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Something that happened in the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The capacity of a worker was set or changed.
    WorkerSize {
        /// The worker.
        worker: Name,
        /// The resources that it offers to tasks.
        capacity: Resources,
    },
    /// An attempt of a task started to run.
    TaskStarted {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The resources that it uses.
        resources: Resources,
    },
    /// An attempt of a task stopped running.
    TaskStopped {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Whether it ended by itself and with success.
        finished: bool,
    },
    /// The cluster reported that a task had ended with success.
    FinishReported {
        /// The task.
        task: TaskId,
    },
    /// The VM of a worker was lost, and with it all attempts that ran there.
    WorkerLost {
        /// The worker.
        worker: Name,
    },
    /// An operator received the answer to a confirmation of a plan.
    ConfirmAnswered {
        /// The operation ID of the confirmation; a retry has the same one.
        operation: String,
        /// The plan.
        plan: PlanId,
        /// The answer.
        answer: Answer,
    },
    /// A process started that applies the configuration.
    ProcessStarted {
        /// The process.
        process: Name,
    },
    /// A process that applies the configuration stopped.
    ProcessStopped {
        /// The process.
        process: Name,
    },
    /// A process lost contact with the other processes, or regained it.
    ProcessCutOff {
        /// The process.
        process: Name,
        /// Whether it has lost contact.
        cut_off: bool,
    },
    /// A process applied a configuration version.
    ConfigApplied {
        /// The process.
        process: Name,
        /// The version.
        version: u64,
        /// The value of each key in this version, as the process sees it.
        values: Vec<(Name, String)>,
    },
    /// An upstream started to run a request.
    RequestRan {
        /// The ID of the request; a retry has the same one.
        request: String,
        /// The submission of the request that ran; a retry is another submission.
        submission: u64,
        /// Whether it may run more than once.
        idempotent: bool,
    },
    /// A caller learned the outcome of one submission of a request. Without an answer, the outcome
    /// is [`Outcome::Unknown`].
    RequestAnswered {
        /// The number of the submission, unique in the history.
        submission: u64,
        /// The outcome.
        outcome: Outcome,
    },
}
