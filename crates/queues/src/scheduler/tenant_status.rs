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
    /// What its runs may take at present, including proposed ones and those on silent workers.
    pub used: Resources,
    /// The number of these runs.
    pub running_tasks: u64,
    /// The number of its steps with tasks that could start and wait.
    pub waiting_steps: u64,
    /// The number of these steps for which the quota leaves no room.
    pub steps_at_quota: u64,
    /// Its jobs that this leader has rejected, in the order of
    /// [`AdmissionLimit::ALL`](crate::scheduler::AdmissionLimit::ALL).
    pub rejected: RejectedJobs,
}

/// The numbers of waiting steps of a tenant.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingCounts {
    all: u64,
    at_quota: u64,
}

impl Scheduler {
    /// The status of each tenant of the table, in the order of the table. Passes over all waiting
    /// steps; call it about once a second.
    pub fn tenant_statuses(&self, state: &QueueState) -> Vec<TenantStatus> {
        let tenants = state.table().and_then(|table| table.tenants.as_deref());
        let tenants = tenants.unwrap_or_default();
        let waiting = self.waiting_counts();
        let status = |tenant: &Tenant| {
            let index = self.workers.tenants.known_tenant(&tenant.name);
            let usage = index.map(|index| self.workers.tenants.total(index));
            let usage = usage.unwrap_or_default();
            let waiting = index.map(|index| waiting[index.position()]);
            let waiting = waiting.unwrap_or_default();
            TenantStatus {
                name: tenant.name.clone(),
                limits: tenant.limits,
                used: usage.resources,
                running_tasks: usage.runs,
                waiting_steps: waiting.all,
                steps_at_quota: waiting.at_quota,
                rejected: self.rate_limits.rejected(&tenant.name),
            }
        };
        tenants.iter().map(status).collect()
    }

    /// Counts the ready steps with waiting tasks, by the position of their tenant.
    fn waiting_counts(&self) -> Vec<WaitingCounts> {
        let mut by_tenant = vec![WaitingCounts::default(); self.workers.tenants.tenants().count()];
        let pending = self.pending_steps.iter();
        let views = pending.filter_map(|key| self.steps.get(key));
        for view in views.filter(|view| view.is_ready && !view.waiting.is_empty()) {
            if let Some(tenant) = view.tenant {
                let waiting = &mut by_tenant[tenant.index.position()];
                waiting.all += 1;
                waiting.at_quota += u64::from(self.is_at_quota(view));
            }
        }
        by_tenant
    }
}
