//! Admission of jobs of tenants.
//!
//! A job that can never start within the quota of its tenant is rejected. A job within the rate of
//! its tenant is compared only with work that is owed service, and with the work of its own tenant.
//! A job beyond the rate is rejected while its service is under load. A job that comes back for the
//! token that it was promised is admitted behind a backlog that would reject others.

use sapphirepost_types::Millis;

use crate::ids::JobKey;
use crate::scheduler::Scheduler;
use crate::scheduler::admission::Admission;
use crate::scheduler::admission::TenantRejection;
use crate::scheduler::quota_feasibility;
use crate::scheduler::token_bucket::Claim;
use crate::spec::SubmittedSpec;
use crate::state::QueueState;
use crate::table::Queue;
use crate::tenant::JobTenant;

impl Scheduler {
    /// What a new job of a queue would wait for; `None` if the job is known and has not ended, or
    /// if its commit is in progress. A caller that submits such a job again must not be told that
    /// it is refused, since it may run.
    ///
    /// A job that is not rejected has to be submitted, since it takes a token of its tenant.
    pub fn admission(
        &mut self,
        key: JobKey,
        queue: &Queue,
        spec: &SubmittedSpec,
        tenant: Option<&JobTenant>,
        now: Millis,
    ) -> Option<Admission> {
        if self.job_steps.contains_key(&key) {
            return None;
        }
        let Some(tenant) = tenant else {
            return Some(self.service_admission(key, queue, spec, None, now));
        };
        let admission = self.tenant_admission(key, queue, spec, tenant, now);
        self.rate_limits.record(tenant, &admission, now);
        Some(admission)
    }

    fn tenant_admission(
        &mut self,
        key: JobKey,
        queue: &Queue,
        spec: &SubmittedSpec,
        tenant: &JobTenant,
        now: Millis,
    ) -> Admission {
        if let Some(excess) = quota_feasibility::find_excess(spec, &tenant.limits.quota) {
            return Admission::of_tenant(TenantRejection::Quota(excess));
        }
        if let Some(retry_ms) = self.overload.stuck_retry_ms() {
            return Admission::of_overloaded_leader(retry_ms);
        }
        match self.rate_limits.claim(tenant, key, now) {
            Claim::Token => {
                // Also a job that the backlog rejects takes a token. Otherwise a tenant could be
                // told for any number of jobs a second to come back at the same time.
                self.rate_limits.take(tenant, key, Claim::Token, now);
                self.owed_admission(key, queue, spec, tenant, now)
            }
            Claim::PromisedToken => {
                let mut admission = self.owed_admission(key, queue, spec, tenant, now);
                admission.is_promised = true;
                if admission.rejection().is_none() {
                    self.rate_limits
                        .take(tenant, key, Claim::PromisedToken, now);
                }
                admission
            }
            Claim::Nothing if self.is_under_load(&queue.service, now) => {
                let retry_ms = self.rate_limits.promise(tenant, key, now);
                Admission::of_tenant(TenantRejection::Rate { retry_ms })
            }
            Claim::Nothing => {
                let admission = self.service_admission(key, queue, spec, None, now);
                if admission.rejection().is_none() {
                    self.rate_limits.take(tenant, key, Claim::Nothing, now);
                    let excess = &mut self.rate_limits.excess;
                    excess.add(key, &tenant.name, &self.job_steps);
                }
                admission
            }
        }
    }

    /// The admission of a job that is owed service.
    fn owed_admission(
        &mut self,
        key: JobKey,
        queue: &Queue,
        spec: &SubmittedSpec,
        tenant: &JobTenant,
        now: Millis,
    ) -> Admission {
        let excess = &mut self.rate_limits.excess;
        excess.update(&self.job_steps, &self.steps, now);
        self.service_admission(key, queue, spec, Some(&*tenant.name), now)
    }

    /// Whether jobs beyond the rates of their tenants are rejected: the waiting work would occupy
    /// the workers of the service for longer than the shortest target time of its queues, or this
    /// leader does not admit all jobs.
    fn is_under_load(&self, service: &str, now: Millis) -> bool {
        if self.overload.is_shedding(now) {
            return true;
        }
        let capacity_millicores = self.rounds.backlog.millicores(service);
        if capacity_millicores == 0 {
            return false;
        }
        let queues = self.rounds.backlog.queues();
        let queues = queues.filter(|queue| *queue.service == *service);
        let waiting_core_ms: u64 = queues.map(|queue| queue.all_core_ms).sum();
        let wait_ms = waiting_core_ms * 1_000 / capacity_millicores;
        wait_ms > self.rate_limits.load_min_ms(service)
    }

    /// Takes the tenants and the target times of a replaced table.
    pub(crate) fn update_rate_limits(&mut self, state: &QueueState) {
        if let Some(table) = state.table() {
            self.rate_limits.table_changed(table);
        }
    }
}
