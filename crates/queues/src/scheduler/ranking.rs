//! The order in which steps are placed.
//!
//! Steps that can still meet the deadline of their job come before steps that cannot, so that a
//! burst of one kind of job does not take the resources of the others. Then come the more urgent
//! queues, and within a priority the earliest deadline. A step counts as late as soon as its
//! remaining path no longer fits before the deadline: if it started first, it would end late and
//! make the steps behind it late too. Late steps are still placed with the resources that are left.

use std::cmp::Ordering;

use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::steps::StepView;

/// Whether a step can meet the deadline of its job. The variants are in the order of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// It can meet the deadline.
    InTime,
    /// It cannot meet the deadline, but the job is still useful.
    Late,
    /// The job is of no more use to most callers, but was accepted.
    TooLate,
}

/// The rank of a step; lower ranks are placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Whether the step can meet the deadline.
    pub lateness: Lateness,
    /// The priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// The deadline of its job.
    pub deadline: Millis,
    /// The key of the step, as the last criterion.
    pub key: StepKey,
}

impl Rank {
    /// The rank of a step at `now`.
    pub fn of(step: &StepView, now: Millis) -> Rank {
        let lateness = if now + step.remaining_path_ms <= step.deadline {
            Lateness::InTime
        } else if now <= step.useful_until {
            Lateness::Late
        } else {
            Lateness::TooLate
        };
        Rank {
            lateness,
            priority: step.queue.priority,
            deadline: step.deadline,
            key: step.key,
        }
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        self.lateness
            .cmp(&other.lateness)
            .then(self.priority.cmp(&other.priority))
            .then(self.deadline.cmp(&other.deadline))
            .then(self.key.cmp(&other.key))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
