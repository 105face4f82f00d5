//! What the tenants use and what they wait for, for the log and the metrics.

use std::sync::Arc;

use sapphirepost_types::Resources;

use crate::scheduler::Scheduler;
use crate::scheduler::steps::StepView;
use crate::scheduler::tenants::TenantIndex;

/// The present state of one tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantReport {
    /// The name.
    pub name: Arc<str>,
    /// What its runs may take at present, also proposed ones and those on silent workers.
    pub used: Resources,
    /// What they may take on all workers together. The maximum of a number is no limit.
    pub quota: Resources,
    /// The number of these runs.
    pub running_tasks: u64,
    /// The number of ready steps with waiting tasks.
    pub waiting_steps: usize,
    /// The number of these steps for which the quota leaves no room.
    pub steps_at_quota: usize,
    /// The expected processor time of the waiting tasks of the steps at the quota.
    pub at_quota_core_ms: u64,
    /// Whether it has more than its share of a service in which steps of it wait.
    pub is_over_share: bool,
}

impl Scheduler {
    /// The state of all tenants that the table in force names. Goes through all waiting steps; call
    /// it about once a second.
    pub fn tenant_reports(&self) -> Vec<TenantReport> {
        let tenants = self.workers.tenants.tenants();
        let mut reports: Vec<Option<TenantReport>> = tenants
            .map(|(index, name)| self.usage_report(index, name))
            .collect();
        let pending = self.pending_steps.iter();
        for view in pending.filter_map(|key| self.steps.get(key)) {
            let Some(tenant) = view.tenant else {
                continue;
            };
            if let Some(report) = &mut reports[tenant.index.position()] {
                self.report_step(view, report);
            }
        }
        reports.into_iter().flatten().collect()
    }

    /// The report without the waiting steps; `None` for a tenant that the table lacks.
    fn usage_report(&self, index: TenantIndex, name: &Arc<str>) -> Option<TenantReport> {
        let limits = self.workers.tenants.limits(index)?;
        let usage = self.workers.tenants.total(index);
        Some(TenantReport {
            name: name.clone(),
            used: usage.resources,
            quota: limits.quota,
            running_tasks: usage.runs,
            waiting_steps: 0,
            steps_at_quota: 0,
            at_quota_core_ms: 0,
            is_over_share: false,
        })
    }

    /// Adds a step to the report of its tenant.
    fn report_step(&self, view: &StepView, report: &mut TenantReport) {
        if !view.is_ready || view.waiting.is_empty() {
            return;
        }
        report.waiting_steps += 1;
        if self.is_at_quota(view) {
            report.steps_at_quota += 1;
            report.at_quota_core_ms += view.waiting_core_ms();
        }
        report.is_over_share |= self.exceeds_share(view);
    }
}
