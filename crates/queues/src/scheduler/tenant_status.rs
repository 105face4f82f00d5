//! What each tenant uses, waits for and was rejected, for metrics and operators.

use std::sync::Arc;

use sapphirepost_types::Resources;

use crate::scheduler::Scheduler;
use crate::scheduler::rate_limits::RejectedJobs;
use crate::state::QueueState;
use crate::tenant::Tenant;
use crate::tenant::TenantLimits;

/// The status of a tenant of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantStatus {
    /// The name.
    pub name: Arc<str>,
    /// The limits in the table.
    pub limits: TenantLimits,
    /// What its runs may take at present.
    pub used: Resources,
    /// The number of these runs.
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
        let reports = self.tenant_reports();
        let status = |tenant: &Tenant| {
            let report = reports.iter().find(|report| report.name == tenant.name);
            TenantStatus {
                name: tenant.name.clone(),
                limits: tenant.limits,
                used: report.map_or(Resources::ZERO, |report| report.used),
                running_tasks: report.map_or(0, |report| report.running_tasks),
                waiting_steps: report.map_or(0, |report| report.waiting_steps as u64),
                steps_at_quota: report.map_or(0, |report| report.steps_at_quota as u64),
                rejected: self.rate_limits.rejected(&tenant.name),
            }
        };
        tenants.iter().map(status).collect()
    }
}
