//! Commands: the content of the replicated log.

use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_queues::QueueCommand;
use sapphirepost_types::Attempt;
use sapphirepost_types::Effect;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Intent;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use sapphirepost_types::RestsOn;
use sapphirepost_types::TaskId;
use sapphirepost_types::Warning;
use sapphirepost_types::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::tasks::StopReason;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The leader's wall clock. The state keeps the highest value, so its clock never goes back.
    pub at_unix_ms: u64,
    /// What to do.
    pub request: Request,
}

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Request {
    /// Advances the clock and drops what is past its retention.
    Tick,
    /// Changes the queues of callers' jobs, in order.
    Queues(Vec<QueueCommand>),
    /// Keeps a plan until it is confirmed or expires.
    RecordPlan {
        /// The operation that asked for it; `None` for the new plan after a stale confirmation.
        operation: Option<OperationId>,
        /// The plan without its id.
        draft: Box<PlanDraft>,
    },
    /// Puts a plan into effect.
    ConfirmPlan {
        /// The operation.
        operation: OperationId,
        /// The plan.
        plan: PlanId,
    },
    /// Makes a run of a worker known, or changes what it is.
    RegisterWorker {
        /// The worker.
        worker: Name,
        /// Its run; a lower one than known is ignored.
        incarnation: Incarnation,
        /// What it is.
        spec: WorkerSpec,
    },
    /// What a worker reports about its attempts.
    ReportTasks {
        /// The worker.
        worker: WorkerId,
        /// The run that reports.
        incarnation: Incarnation,
        /// The sequence number of the sync; a report that is not newer is ignored.
        sequence: u64,
        /// Whether `tasks` names all attempts on the worker.
        full: bool,
        /// The attempts.
        tasks: Vec<TaskReport>,
    },
    /// Starts tasks. Each group is applied as a whole or not at all.
    PlaceTasks {
        /// The groups; a gang is one group.
        groups: Vec<Vec<Placement>>,
    },
    /// Stops tasks that the job itself still wants, or that are more than it wants.
    StopTasks {
        /// The tasks.
        stops: Vec<StopRequest>,
    },
    /// The lease of a worker has certainly ended.
    ExpireWorker {
        /// The worker.
        worker: WorkerId,
        /// The run whose lease has ended.
        incarnation: Incarnation,
    },
    /// Claims on request ids, and outcomes.
    Claims(ClaimBatch),
    /// An entry is in contact.
    NoteEntry {
        /// The entry.
        entry: EntryId,
    },
}

/// A plan before it has an id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDraft {
    /// The intent.
    pub intent: Intent,
    /// The versions that the plan rests on.
    pub rests_on: SmallVec<[RestsOn; 4]>,
    /// What the confirmation would do.
    pub effects: Vec<Effect>,
    /// What the operator should know.
    pub warnings: Vec<Warning>,
}

/// One task on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The attempt that starts; it must be the next one.
    pub attempt: Attempt,
    /// The worker.
    pub worker: WorkerId,
}

/// One attempt to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopRequest {
    /// The task.
    pub task: TaskId,
    /// The attempt; the request has no effect on another one.
    pub attempt: Attempt,
    /// Why.
    pub reason: StopReason,
    /// Whether a checkpoint is written first.
    pub checkpoint: bool,
}
