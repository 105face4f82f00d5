//! Requests of operators about the tenants of the queue table.

use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::TenantReport;
use sapphirepost_queues::scheduler::AdmissionLimit;
use sapphirepost_queues::scheduler::TenantStatus;

use crate::core::Core;

impl Core {
    /// The tenants of the table; none if this process does not schedule queues.
    pub(crate) fn list_tenants(&self) -> OperatorReply {
        let scheduler = self.queues.scheduler.as_ref();
        let statuses = scheduler.map(|s| s.tenant_statuses(self.state.queues()));
        let reports = statuses.unwrap_or_default();
        OperatorReply::Tenants(reports.iter().map(report).collect())
    }
}

fn report(status: &TenantStatus) -> TenantReport {
    let rejected = AdmissionLimit::ALL.iter().zip(status.rejected);
    let rejected = rejected.filter(|(_, jobs)| *jobs > 0);
    TenantReport {
        name: status.name.to_string(),
        weight: status.limits.weight,
        quota: status.limits.quota,
        used: status.used,
        running_tasks: status.running_tasks,
        waiting_steps: status.waiting_steps,
        rejected: rejected
            .map(|(limit, jobs)| (limit.label().to_owned(), jobs))
            .collect(),
    }
}
