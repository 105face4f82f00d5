//! Rejection of jobs that can never start within the quota of their tenant.
//!
//! A gang runs all its tasks at the same time. The tasks of other steps may run one after the
//! other.

use sapphirepost_types::Resources;
use sapphirepost_types::resources::ResourceKind;

use crate::spec::StepSpec;
use crate::spec::SubmittedSpec;

/// A step that can never start within the quota of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaExcess {
    /// The index of the step.
    pub step: u16,
    /// Whether the step is a gang, which needs the resources of all its tasks at the same time.
    pub is_gang: bool,
    /// The first resource of which it needs more than the quota.
    pub resource: ResourceKind,
}

/// The first step of a job that can never start within a quota.
pub fn find_excess(spec: &SubmittedSpec, quota: &Resources) -> Option<QuotaExcess> {
    let mut steps = spec.steps.iter().enumerate();
    steps.find_map(|(index, step)| {
        Some(QuotaExcess {
            step: index as u16,
            is_gang: step.is_gang,
            resource: needed_at_once(step).limiting(quota)?,
        })
    })
}

/// What the step needs at the same time so that anything of it can start.
fn needed_at_once(step: &StepSpec) -> Resources {
    let task = step.resources;
    if !step.is_gang {
        return task;
    }
    Resources {
        millicores: task.millicores.saturating_mul(u64::from(step.count)),
        memory_mib: task.memory_mib.saturating_mul(u64::from(step.count)),
        accelerators: task.accelerators.saturating_mul(step.count),
    }
}
