//! The order in which steps are placed.
//!
//! Steps of tenants within their share come before those of tenants that have used it up. Among
//! these, steps that can still meet the deadline of their job come before steps that cannot, so
//! that a burst of one kind of job does not take the resources of the others. Then come the more
//! urgent queues, within a priority the more urgent tenants, and then the earliest deadline.
//!
//! A step counts as late as soon as its remaining path no longer fits before the deadline: if it
//! started first, it would end late and make the steps behind it late too. Late steps are still
//! placed with the resources that are left.

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
    /// Whether its tenant has used up its share of the service.
    pub is_over_share: bool,
    /// Whether the step can meet the deadline.
    pub lateness: Lateness,
    /// The priority of its queue; 0 is the most urgent.
    pub priority: u32,
    /// The priority of its tenant; the least urgent one if it has none.
    pub tenant_priority: u32,
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
        let tenant = step.tenant.as_ref();
        Rank {
            is_over_share: step.is_over_share,
            lateness,
            priority: step.queue.priority,
            tenant_priority: tenant.map_or(u32::MAX, |tenant| tenant.limits.priority),
            deadline: step.deadline,
            key: step.key,
        }
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        self.is_over_share
            .cmp(&other.is_over_share)
            .then(self.lateness.cmp(&other.lateness))
            .then(self.priority.cmp(&other.priority))
            .then(self.tenant_priority.cmp(&other.tenant_priority))
            .then(self.deadline.cmp(&other.deadline))
            .then(self.key.cmp(&other.key))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
