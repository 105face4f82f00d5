//! Outcomes: what the application of a command did.

use std::fmt;

use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_types::JobId;
use sapphirepost_types::Name;
use sapphirepost_types::PlanId;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The answer to the command.
    pub result: CommandResult,
    /// The objects that changed, each named once, in order.
    pub changes: Vec<Change>,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// It was applied.
    Applied,
    /// It concerns something that is older or unknown, so nothing changed.
    Ignored,
    /// The plan that was recorded, now or by an earlier request of the same operation.
    Planned(PlanId),
    /// The confirmation took effect, now or by an earlier request of the same operation.
    Confirmed(Confirmed),
    /// The change was refused.
    Refused(Refusal),
    /// The worker's id.
    Registered(WorkerId),
    /// One result for each group of placements.
    Placed(Vec<Result<(), PlacementError>>),
    /// One verdict for each claim.
    Claimed(Vec<ClaimVerdict>),
}

/// Why a group of placements was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The task does not wait, or another attempt is the next one.
    NotWaiting(TaskId),
    /// The worker is unknown, has no contact or takes no tasks.
    WorkerUnavailable(WorkerId),
    /// The worker has too little room.
    InsufficientResources(WorkerId, ResourceKind),
    /// The quota of the team does not allow it.
    OverQuota(ResourceKind),
}

impl fmt::Display for PlacementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlacementError::NotWaiting(task) => write!(f, "{task} does not wait for this attempt"),
            PlacementError::WorkerUnavailable(worker) => write!(f, "{worker} takes no tasks"),
            PlacementError::InsufficientResources(worker, kind) => {
                write!(f, "{worker} has too little {kind}")
            }
            PlacementError::OverQuota(kind) => write!(f, "the quota has too little {kind}"),
        }
    }
}

/// An object that a command changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// A job was added, changed its size or state, or was forgotten.
    Job(JobId),
    /// A worker was added, changed, or was forgotten.
    Worker(WorkerId),
    /// A task was added, moved between phases, or was removed.
    Task(TaskId),
    /// The quota of a team.
    Quota(Name),
    /// The configuration.
    Config,
}
