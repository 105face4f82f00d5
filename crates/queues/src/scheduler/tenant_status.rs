//! What each tenant uses, waits for and was rejected, for metrics and operators.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Resources;

use crate::scheduler::Scheduler;
use crate::scheduler::rate_limits::RejectedJobs;
use crate::state::QueueState;
use crate::tenant::TenantLimits;

/// The status of a tenant of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantStatus {
    /// The name.
    pub name: Arc<str>,
    /// The limits in the table.
    pub limits: TenantLimits,
    /// What its placed tasks take.
    pub used: Resources,
    /// The number of its tasks that are placed on workers.
    pub running_tasks: u64,
    /// The number of its steps with tasks that could start and wait.
    pub waiting_steps: u64,
    /// The number of these steps that wait since the tenant is at its quota.
    pub steps_at_quota: u64,
    /// Its jobs that this leader has rejected, in the order of
    /// [`AdmissionLimit::ALL`](crate::scheduler::AdmissionLimit::ALL).
    pub rejected: RejectedJobs,
}

impl Scheduler {
    /// The status of each tenant of the table, in the order of the table. It passes over all steps.
    pub fn tenant_statuses(&self, state: &QueueState) -> Vec<TenantStatus> {
        let tenants = state.table().and_then(|table| table.tenants.as_deref());
        let tenants = tenants.unwrap_or_default();
        let mut statuses: Vec<TenantStatus> = tenants
            .iter()
            .map(|tenant| TenantStatus {
                name: tenant.name.clone(),
                limits: tenant.limits,
                used: Resources::ZERO,
                running_tasks: 0,
                waiting_steps: 0,
                steps_at_quota: 0,
                rejected: self.rate_limits.rejected(&tenant.name),
            })
            .collect();
        if !statuses.is_empty() {
            self.add_steps(state, &mut statuses);
        }
        statuses
    }

    fn add_steps(&self, state: &QueueState, statuses: &mut [TenantStatus]) {
        let names = statuses.iter().enumerate();
        let positions: FxHashMap<Arc<str>, usize> = names
            .map(|(position, status)| (status.name.clone(), position))
            .collect();
        for view in self.steps.values() {
            let job = state.job(view.key.job);
            let tenant = job.and_then(|job| job.tenant.as_ref());
            let Some(&position) = tenant.and_then(|tenant| positions.get(&tenant.name)) else {
                continue;
            };
            let status = &mut statuses[position];
            for _ in &view.placed {
                status.used = status.used.saturating_add(&view.spec().resources);
            }
            status.running_tasks += view.placed.len() as u64;
            status.waiting_steps += u64::from(view.is_ready && !view.waiting.is_empty());
        }
    }
}
