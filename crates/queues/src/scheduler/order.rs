//! Which step is served first.
//!
//! Answers the load pattern in which a burst of one kind takes the room of the others: work that
//! can still meet its objective comes before work that cannot, urgent queues come before others,
//! and within a queue the earliest objective comes first. A step whose remaining chain no longer
//! fits before the objective is late already: started first, it would end late and make those
//! behind it late too. Work that is late keeps a share, so that it ends at some time.

use std::cmp::Ordering;

use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::steps::StepView;

/// How far the objective of a step is from being missed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// It can be met.
    InTime,
    /// It is missed, but the job is still of use.
    Late,
    /// The job is of no more use to most callers, but is owed.
    Useless,
}

/// The place of a step in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// How late it is.
    pub lateness: Lateness,
    /// The priority of its queue.
    pub priority: u32,
    /// When its job should be done.
    pub objective: Millis,
    /// The step.
    pub key: StepKey,
}

impl Rank {
    /// The rank of a step.
    pub fn of(step: &StepView, now: Millis) -> Rank {
        let lateness = if now + step.remaining_path_ms <= step.objective {
            Lateness::InTime
        } else if now <= step.useless {
            Lateness::Late
        } else {
            Lateness::Useless
        };
        Rank {
            lateness,
            priority: step.queue.priority,
            objective: step.objective,
            key: step.key,
        }
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        self.lateness
            .cmp(&other.lateness)
            .then(self.priority.cmp(&other.priority))
            .then(self.objective.cmp(&other.objective))
            .then(self.key.cmp(&other.key))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
