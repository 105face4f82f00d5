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
    /// What happened at this time.
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
    /// The capacity of a worker was set or changed. It is zero until the first such event.
    WorkerSize {
        /// The name that identifies the worker in the history.
        worker: Name,
        /// The total resources that the worker offers to tasks from now on.
        capacity: Resources,
    },
    /// An attempt of a task started to run.
    TaskStarted {
        /// The worker that runs the attempt.
        worker: Name,
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt within its task.
        attempt: Attempt,
        /// The resources of the worker that the attempt uses until it stops.
        resources: Resources,
    },
    /// An attempt of a task stopped running.
    TaskStopped {
        /// The worker that ran the attempt.
        worker: Name,
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The number of the attempt within its task.
        attempt: Attempt,
        /// Whether it ended by itself and with success.
        finished: bool,
    },
    /// The cluster reported that a task had ended with success.
    FinishReported {
        /// The task, which must not start again after this.
        task: TaskId,
    },
    /// A worker was lost with its VM or its process, and with it all attempts that ran there.
    WorkerLost {
        /// The name of the worker, which may start again under the same name.
        worker: Name,
    },
    /// An operator received the answer to a confirmation of a plan.
    ConfirmAnswered {
        /// The operation ID of the confirmation; a retry has the same one.
        operation: String,
        /// The plan that the operation confirms.
        plan: PlanId,
        /// The answer, which must be the same for a retry.
        answer: Answer,
    },
    /// A process started that applies the configuration.
    ProcessStarted {
        /// The name of the process, which stays the same when it restarts.
        process: Name,
    },
    /// A process that applies the configuration stopped.
    ProcessStopped {
        /// The name of the process that stopped.
        process: Name,
    },
    /// A process lost contact with the other processes, or regained it.
    ProcessCutOff {
        /// The name of the process that lost or regained contact.
        process: Name,
        /// Whether it has lost contact. A process that starts is in contact.
        cut_off: bool,
    },
    /// A process applied a configuration version.
    ConfigApplied {
        /// The name of the process that applied it.
        process: Name,
        /// The configuration version, which must not decrease while the process runs.
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
        /// What the caller knows about this submission only, not about the whole request.
        outcome: Outcome,
    },
}
