//! The reasons for rejected jobs, as callers get them, and the log lines about them.

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobTenant;
use sapphirepost_queues::Queue;
use sapphirepost_queues::scheduler::Admission;
use sapphirepost_queues::scheduler::AdmissionLimit;
use sapphirepost_queues::scheduler::QuotaExcess;
use sapphirepost_queues::scheduler::Rejection;
use sapphirepost_queues::scheduler::TenantRejection;

/// Logs a rejected job, with the limit if it belongs to a tenant. Returns the reason.
pub(crate) fn log_rejected(
    job: JobKey,
    queue: &Queue,
    tenant: Option<&JobTenant>,
    admission: &Admission,
    rejection: Rejection,
) -> String {
    let reason = reason(tenant, admission, rejection);
    let retry_after_ms = rejection.retry_after_ms;
    match tenant {
        Some(tenant) => log::info!(
            job:% = job, queue = &*queue.name, tenant = &*tenant.name,
            limit = rejection.limit.label(), weight = tenant.limits.weight,
            backlog_core_ms = admission.backlog_core_ms,
            capacity_millicores = admission.capacity_millicores, retry_after_ms;
            "job refused: {reason}"
        ),
        None => log::info!(
            job:% = job, queue = &*queue.name, backlog_core_ms = admission.backlog_core_ms,
            capacity_millicores = admission.capacity_millicores, retry_after_ms;
            "job refused: {reason}"
        ),
    }
    reason
}

fn reason(tenant: Option<&JobTenant>, admission: &Admission, rejection: Rejection) -> String {
    match (admission.tenant_rejection, tenant) {
        (Some(TenantRejection::Rate { .. }), Some(tenant)) => format!(
            "tenant {} is beyond its rate of {} jobs/s and the service has no room",
            tenant.name, tenant.limits.weight
        ),
        (Some(TenantRejection::Quota(excess)), Some(tenant)) => quota_reason(tenant, excess),
        _ if rejection.limit == AdmissionLimit::Overload => "the leader falls behind".to_owned(),
        _ => "the backlog is too long".to_owned(),
    }
}

fn quota_reason(tenant: &JobTenant, excess: QuotaExcess) -> String {
    let QuotaExcess { step, resource, .. } = excess;
    let what = match excess.is_gang {
        true => "the gang",
        false => "a task",
    };
    format!(
        "{what} of step {step} needs more {resource} than the quota of tenant {} allows",
        tenant.name
    )
}
