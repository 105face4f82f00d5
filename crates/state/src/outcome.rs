//! The outcome of applying a command.

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

/// The result of a command and the objects that it changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The result for the proposer of the command.
    pub result: CommandResult,
    /// The changed objects, sorted and without duplicates.
    pub changes: Vec<Change>,
}

/// The result of a command for its proposer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The command was applied.
    Applied,
    /// The command was outdated, refers to an unknown object or does not apply in the current
    /// state, so it had no effect.
    Ignored,
    /// The plan was recorded, by this command or by an earlier one of the same operation.
    Planned(PlanId),
    /// The plan was confirmed, by this command or by an earlier one of the same operation.
    Confirmed(Confirmed),
    /// The operator's request was refused; nothing changed.
    Refused(Refusal),
    /// The worker is registered under this ID.
    Registered(WorkerId),
    /// One result for each group of placements, in order.
    Placed(Vec<Result<(), PlacementError>>),
    /// One result for each claim, in order.
    Claimed(Vec<ClaimVerdict>),
}

/// Why a group of placements was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// The task is not waiting, its job is not active, the attempt is not the next one, or the
    /// group names the task twice or does not place its whole gang.
    NotWaiting(TaskId),
    /// The worker is unknown, not connected or draining.
    WorkerUnavailable(WorkerId),
    /// The worker has too little of a resource free.
    InsufficientResources(WorkerId, ResourceKind),
    /// The quota of the team has too little of a resource left.
    OverQuota(ResourceKind),
}

impl fmt::Display for PlacementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlacementError::NotWaiting(task) => write!(f, "{task} is not waiting for this attempt"),
            PlacementError::WorkerUnavailable(worker) => write!(f, "{worker} accepts no tasks"),
            PlacementError::InsufficientResources(worker, kind) => {
                write!(f, "{worker} has too little {kind}")
            }
            PlacementError::OverQuota(kind) => {
                write!(f, "the quota of the team has too little {kind} left")
            }
        }
    }
}

/// An object that a command changed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// A job that was added, resized, changed in its phase or its set of tasks, whose end was
    /// recorded, or that was dropped after its retention.
    Job(JobId),
    /// A worker that was added or changed, or dropped after its retention.
    Worker(WorkerId),
    /// A task that was added, changed or removed. Tasks dropped together with their job are not
    /// listed.
    Task(TaskId),
    /// The quota of a team, or the part of its usage that unreachable tasks hold.
    Quota(Name),
    /// The configuration: one key was set or removed.
    Config,
}
