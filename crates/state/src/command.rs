//! The commands that the replicated log holds.

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
use sapphirepost_types::TaskId;
use sapphirepost_types::VersionedObject;
use sapphirepost_types::Warning;
use sapphirepost_types::WorkerId;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::tasks::StopReason;

/// The content of one log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The leader's wall clock when it proposed the command, in milliseconds since the Unix epoch.
    /// The state keeps the highest value, so its clock never goes back.
    pub at_unix_ms: u64,
    /// The change to apply.
    pub request: Request,
}

/// The change that a command makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Request {
    /// Advances the clock of the state and drops records past their retention. Every other
    /// command does this too.
    Tick,
    /// Applies commands to the queues of callers' jobs, in order.
    Queues(Vec<QueueCommand>),
    /// Records a plan, so that it can be confirmed until it expires.
    RecordPlan {
        /// The operation that requested the plan; `None` for the plan that the leader makes anew
        /// after a confirmation was refused as stale.
        operation: Option<OperationId>,
        /// The plan without its ID.
        draft: Box<PlanDraft>,
    },
    /// Confirms a plan and applies its intent.
    ConfirmPlan {
        /// The operation that confirms the plan. Its result is recorded, so that a resend gets it.
        operation: OperationId,
        /// The plan to confirm; refused if it is unknown, already confirmed or stale.
        plan: PlanId,
    },
    /// Registers an incarnation of a worker, or changes the worker's specification.
    RegisterWorker {
        /// The unique name of the worker, by which it is known across incarnations.
        worker: Name,
        /// The incarnation; the command is ignored if a higher one is known.
        incarnation: Incarnation,
        /// The worker's failure domain, rack and capacity.
        spec: WorkerSpec,
    },
    /// Applies a worker's report on its attempts.
    ReportTasks {
        /// The worker that sent the report.
        worker: WorkerId,
        /// The incarnation that sent it; reports of another one are ignored.
        incarnation: Incarnation,
        /// The sequence number of the sync that carried the report; a report that is not newer
        /// than the last one is ignored.
        sequence: u64,
        /// Whether `tasks` lists all attempts on the worker, not only changed ones.
        full: bool,
        /// The status of each reported attempt: running, or how it ended.
        tasks: Vec<TaskReport>,
    },
    /// Places waiting tasks on workers. Each group is applied as a whole or not at all.
    PlaceTasks {
        /// The groups; all tasks of a gang are in one group.
        groups: Vec<Vec<Placement>>,
    },
    /// Requests that single attempts stop. The attempts of a cancelled job stop without such a
    /// request.
    StopTasks {
        /// The attempts to stop.
        stops: Vec<StopRequest>,
    },
    /// Ends the lease of a worker. The leader proposes this only when the lease has certainly
    /// ended.
    ExpireWorker {
        /// The worker whose lease has ended.
        worker: WorkerId,
        /// The incarnation whose lease has ended; the command is ignored for another one.
        incarnation: Incarnation,
    },
    /// Claims request IDs and records outcomes of claimed requests.
    Claims(ClaimBatch),
    /// Records that an entry is in contact.
    NoteEntry {
        /// The entry that made contact.
        entry: EntryId,
    },
}

/// A plan that has not been recorded yet, so it has no ID.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDraft {
    /// The change that the operator requested.
    pub intent: Intent,
    /// The objects that the plan was computed from, with their versions. The plan is stale once
    /// one of them has changed.
    pub rests_on: SmallVec<[VersionedObject; 4]>,
    /// The expected effects of the confirmation.
    pub effects: Vec<Effect>,
    /// Warnings for the operator, who may confirm the plan nevertheless.
    pub warnings: Vec<Warning>,
}

/// The placement of one task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The waiting task.
    pub task: TaskId,
    /// The attempt to start; it must directly follow the task's newest one.
    pub attempt: Attempt,
    /// The worker that runs the attempt.
    pub worker: WorkerId,
}

/// A request to stop one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopRequest {
    /// The task that the attempt belongs to.
    pub task: TaskId,
    /// The attempt to stop; the request has no effect if it is not the current one.
    pub attempt: Attempt,
    /// Why the attempt is stopped.
    pub reason: StopReason,
    /// Whether the worker writes a checkpoint before it stops the attempt.
    pub checkpoint: bool,
}
