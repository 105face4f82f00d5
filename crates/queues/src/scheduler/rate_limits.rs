//! How many jobs each tenant is owed, and which ones are beyond its rate.
//!
//! The load is a tenant that submits many times its rate beside others that stay within theirs. The
//! weight of a tenant is the number of jobs a second that it is owed. Jobs beyond that are admitted
//! while the service has room, and rejected while it has none. The buckets are not replicated:
//! under a new leader each tenant may submit one second of its rate more.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::ids::JobKey;
use crate::scheduler::admission::Admission;
use crate::scheduler::admission::AdmissionLimit;
use crate::scheduler::excess_work::ExcessWork;
use crate::scheduler::token_bucket::Claim;
use crate::scheduler::token_bucket::TokenBucket;
use crate::table::QueueTable;
use crate::tenant::JobTenant;

/// Waiting work that the workers do within this time is no load: it waits for the next round.
const LOAD_MIN_MS: u64 = 100;
/// The time constant with which arrivals fade from the share of owed jobs.
const ARRIVALS_MS: f64 = 1_000.0;
const ALL_PERMILLE: u64 = 1_000;

/// Jobs that were rejected, in the order of [`AdmissionLimit::ALL`].
pub type RejectedJobs = [u64; AdmissionLimit::ALL.len()];

/// The rate limits of all tenants of the table.
#[derive(Debug, Default)]
pub struct RateLimits {
    tenants: FxHashMap<Arc<str>, TenantRate>,
    /// The shortest target time of the queues of each service.
    targets_ms: FxHashMap<Arc<str>, u64>,
    arrivals: Arrivals,
    /// The admitted jobs beyond the rates.
    pub(crate) excess: ExcessWork,
}

/// The rate limit of one tenant.
#[derive(Debug)]
struct TenantRate {
    bucket: TokenBucket,
    rejected: RejectedJobs,
}

/// Exponentially fading counts of jobs of tenants.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    all: f64,
    owed: f64,
    counted_at: Millis,
}

impl RateLimits {
    /// Handles a replaced table: forgets tenants that it does not have.
    pub fn table_changed(&mut self, table: &QueueTable) {
        self.tenants.retain(|name, _| table.tenant(name).is_some());
        self.targets_ms.clear();
        if table.tenants.is_none() {
            return;
        }
        for queue in &table.queues {
            let shortest = self.targets_ms.entry(queue.service.clone());
            let shortest_ms = shortest.or_insert(queue.target_ms);
            *shortest_ms = queue.target_ms.min(*shortest_ms);
        }
    }

    /// What a new job may take from the bucket of its tenant.
    pub fn claim(&mut self, tenant: &JobTenant, job: JobKey, now: Millis) -> Claim {
        let claim = self.bucket(tenant, now).claim(job, now);
        self.arrivals.count(claim != Claim::Nothing, now);
        claim
    }

    /// Takes what a job may take, since it is admitted.
    pub fn take(&mut self, tenant: &JobTenant, job: JobKey, claim: Claim, now: Millis) {
        self.bucket(tenant, now).take(job, claim);
    }

    /// Promises a token to a job that is rejected for the rate. Returns the time in milliseconds
    /// after which the caller may retry.
    pub fn promise(&mut self, tenant: &JobTenant, job: JobKey, now: Millis) -> u64 {
        self.bucket(tenant, now).promise(job, now)
    }

    /// Counts a rejected job.
    pub fn record(&mut self, tenant: &JobTenant, admission: &Admission, now: Millis) {
        if let Some(rejection) = admission.rejection() {
            self.rate(tenant, now).rejected[rejection.limit.index()] += 1;
        }
    }

    /// The jobs of a tenant that this leader has rejected.
    pub fn rejected(&self, tenant: &str) -> RejectedJobs {
        let rate = self.tenants.get(tenant);
        rate.map_or(RejectedJobs::default(), |rate| rate.rejected)
    }

    /// The share of the jobs of tenants that are owed service, in thousandths.
    pub fn owed_permille(&self) -> u64 {
        self.arrivals.owed_permille()
    }

    /// Waiting work that occupies the workers of a service for longer than this is load.
    pub fn load_min_ms(&self, service: &str) -> u64 {
        let target_ms = self.targets_ms.get(service).copied();
        target_ms.unwrap_or_default().max(LOAD_MIN_MS)
    }

    fn bucket(&mut self, tenant: &JobTenant, now: Millis) -> &mut TokenBucket {
        let rate = self.rate(tenant, now);
        rate.bucket.set_rate(tenant.limits.weight, now);
        &mut rate.bucket
    }

    fn rate(&mut self, tenant: &JobTenant, now: Millis) -> &mut TenantRate {
        let rate = self.tenants.entry(tenant.name.clone());
        rate.or_insert_with(|| TenantRate {
            bucket: TokenBucket::new(tenant.limits.weight, now),
            rejected: RejectedJobs::default(),
        })
    }
}

impl Arrivals {
    fn count(&mut self, is_owed: bool, now: Millis) {
        let passed_ms = now.since(self.counted_at) as f64;
        let left = (-passed_ms / ARRIVALS_MS).exp();
        self.counted_at = now;
        self.all = self.all * left + 1.0;
        self.owed = self.owed * left + if is_owed { 1.0 } else { 0.0 };
    }

    fn owed_permille(&self) -> u64 {
        if self.all <= 0.0 {
            return ALL_PERMILLE;
        }
        (self.owed / self.all * ALL_PERMILLE as f64).ceil().max(1.0) as u64
    }
}
