//! Admission control for jobs.
//!
//! When more work arrives than the workers can do, a job that could only be done long after it is
//! useful is refused on arrival, with the time after which the backlog is expected to have gone
//! down. Late work is placed after a job that can still meet its deadline, so it is no reason to
//! refuse that job. A leader that cannot keep up with what it has accepted refuses all new jobs.
//! Jobs of tenants may also be rejected for the limits of their tenant.

use crate::scheduler::quota_feasibility::QuotaExcess;

/// The waiting work in front of a new job, and its limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Admission {
    /// The limit of its tenant that rejects the job.
    pub tenant_rejection: Option<TenantRejection>,
    /// Whether the job has come for a token that it was promised. A backlog of jobs that are owed
    /// service like it is no reason to reject it, unless that is too long for the leader.
    pub is_promised: bool,
    /// The time after which the caller may retry, if the leader itself falls behind.
    pub overload_retry_ms: Option<u64>,
    /// Processor time of the waiting work that is placed before the job as long as the job can meet
    /// its deadline.
    pub ahead_core_ms: u64,
    /// Processor time of all waiting work in queues of the same service that are at least as
    /// urgent.
    pub backlog_core_ms: u64,
    /// The processor capacity of all workers of the queue's service, also of those that could not
    /// run the job.
    pub capacity_millicores: u64,
    /// Time from the arrival of the job to its deadline.
    pub deadline_ms: u64,
    /// Time from the arrival of the job until it is of no more use.
    pub useful_ms: u64,
    /// The estimated duration of the job's longest chain of dependent steps.
    pub critical_path_ms: u64,
}

/// A limit of a tenant that rejects a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantRejection {
    /// The job is beyond the rate of the tenant, and its service is under load.
    Rate {
        /// The time after which the tenant is owed the job.
        retry_ms: u64,
    },
    /// The job can never start within the quota of the tenant.
    Quota(QuotaExcess),
}

/// A limit for which a job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionLimit {
    /// The leader falls behind.
    Overload,
    /// The waiting work of the service.
    Backlog,
    /// The rate of the tenant.
    Rate,
    /// The quota of the tenant.
    Quota,
}

impl AdmissionLimit {
    /// All limits, in the order of their declaration.
    pub const ALL: [AdmissionLimit; 4] = [
        AdmissionLimit::Overload,
        AdmissionLimit::Backlog,
        AdmissionLimit::Rate,
        AdmissionLimit::Quota,
    ];

    /// The position in [`AdmissionLimit::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The value in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            AdmissionLimit::Overload => "overload",
            AdmissionLimit::Backlog => "backlog",
            AdmissionLimit::Rate => "rate",
            AdmissionLimit::Quota => "quota",
        }
    }
}

/// The rejection of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The limit that rejects it.
    pub limit: AdmissionLimit,
    /// The time after which the caller may retry.
    pub retry_after_ms: u64,
}

impl Rejection {
    fn new(limit: AdmissionLimit, retry_after_ms: u64) -> Rejection {
        Rejection {
            limit,
            retry_after_ms,
        }
    }
}

/// A job that can never start within the quota of its tenant may be tried again after this time,
/// since only a new table can change that.
const RETRY_QUOTA_MS: u64 = 600_000;
/// The shortest time after which a refused caller may retry.
const RETRY_MIN_MS: u64 = 500;
/// The longest time after which a refused caller may retry.
const RETRY_MAX_MS: u64 = 5_000;
/// While the backlog would occupy all workers for longer than this, a job that could meet its
/// deadline is accepted only if it would still be useful behind the whole backlog. This bounds the
/// leader's memory and decision time under lasting overload.
const BACKLOG_MAX_MS: u64 = 60_000;

impl Admission {
    /// A leader that falls behind looks at nothing else.
    pub(crate) fn of_overloaded_leader(retry_ms: u64) -> Admission {
        Admission {
            overload_retry_ms: Some(retry_ms),
            ..Admission::default()
        }
    }

    /// A limit of the tenant rejects the job, whatever the service has to do.
    pub(crate) fn of_tenant(rejection: TenantRejection) -> Admission {
        Admission {
            tenant_rejection: Some(rejection),
            ..Admission::default()
        }
    }

    /// `None` if the job is accepted, or the time after which the refused caller may retry.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.rejection().map(|rejection| rejection.retry_after_ms)
    }

    /// Which limit rejects the job, and when the caller may retry; `None` if the job is accepted.
    pub fn rejection(&self) -> Option<Rejection> {
        match self.tenant_rejection {
            Some(TenantRejection::Quota(_)) => {
                return Some(Rejection::new(AdmissionLimit::Quota, RETRY_QUOTA_MS));
            }
            Some(TenantRejection::Rate { retry_ms }) => {
                return Some(Rejection::new(AdmissionLimit::Rate, retry_ms));
            }
            None => {}
        }
        if let Some(retry_ms) = self.overload_retry_ms {
            return Some(Rejection::new(AdmissionLimit::Overload, retry_ms));
        }
        let retry_ms = self.backlog_retry_ms()?;
        Some(Rejection::new(AdmissionLimit::Backlog, retry_ms))
    }

    /// The time after which the backlog is expected to have gone down; `None` if it does not reject
    /// the job.
    fn backlog_retry_ms(&self) -> Option<u64> {
        if self.capacity_millicores == 0 {
            return None;
        }
        let backlog_ms = self.wait_ms(self.backlog_core_ms);
        let ends_in_ms = self.wait_ms(self.ahead_core_ms) + self.critical_path_ms;
        if ends_in_ms <= self.deadline_ms && backlog_ms <= BACKLOG_MAX_MS {
            return None;
        }
        if self.is_promised && backlog_ms <= BACKLOG_MAX_MS {
            return None;
        }
        let excess_ms = (backlog_ms + self.critical_path_ms).saturating_sub(self.useful_ms);
        if excess_ms == 0 {
            return None;
        }
        Some(excess_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS))
    }

    /// How long all workers together take for `core_ms` of processor time.
    fn wait_ms(&self, core_ms: u64) -> u64 {
        core_ms * 1_000 / self.capacity_millicores
    }
}
