//! Tenants of the model, and the check that none exceeds its quota.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_queues::ApiKey;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobTenant;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::Tenant;
use sapphirepost_queues::TenantLimits;
use sapphirepost_types::Resources;

use super::Model;

pub const UNLIMITED: Resources = Resources::new(u64::MAX, u64::MAX, u32::MAX);

/// The jobs of the tenants, and what each tenant may use.
#[derive(Default)]
pub struct ModelTenants {
    by_job: BTreeMap<JobKey, Arc<str>>,
    /// The quota of each tenant, or what may have been running when the quota was lowered below it.
    bounds: BTreeMap<Arc<str>, Resources>,
}

pub fn tenant(name: &str, weight: f64, quota: Resources) -> Tenant {
    let limits = TenantLimits {
        priority: 0,
        weight,
        quota,
    };
    Tenant {
        name: Arc::from(name),
        keys: vec![ApiKey::new(name)],
        limits,
    }
}

impl Model {
    /// Replaces the tenants in the table, in a command that is applied at once.
    pub fn put_tenants(&mut self, tenants: Vec<Tenant>) {
        let known = self.state.table().unwrap();
        let table = QueueTable {
            version: known.version + 1,
            tenants: Some(tenants),
            ..QueueTable::clone(known)
        };
        self.apply(&[QueueCommand::PutTable(Box::new(table))]);
        self.update_bounds();
    }

    /// Submits a job of a tenant in the table.
    pub fn submit_as(&mut self, tenant: &str, key: u64, queue: &str, spec: SubmittedSpec) {
        let known = self.state.table().unwrap().tenant(tenant).unwrap();
        let tenant = Arc::new(JobTenant::from(known));
        self.tenants.by_job.insert(JobKey(key), tenant.name.clone());
        self.submit_for(key, queue, spec, Some(tenant));
    }

    /// What runs of a tenant on the workers.
    pub fn tenant_used(&self, name: &str) -> Resources {
        let used = self.used_by_tenant();
        used.get(name).copied().unwrap_or(Resources::ZERO)
    }

    fn used_by_tenant(&self) -> BTreeMap<Arc<str>, Resources> {
        let mut used: BTreeMap<Arc<str>, Resources> = BTreeMap::new();
        let workers = self.workers.values().filter(|worker| !worker.is_crashed);
        for (task, run) in workers.flat_map(|worker| &worker.running) {
            if let Some(tenant) = self.tenants.by_job.get(&task.step.job) {
                let sum = used.entry(tenant.clone()).or_default();
                *sum = sum.checked_add(&run.resources).unwrap();
            }
        }
        used
    }

    /// Lowers the bounds to the quotas in force, or to what the leader counts if that is more.
    fn update_bounds(&mut self) {
        let counted: BTreeMap<Arc<str>, Resources> = self
            .scheduler
            .tenant_statuses(&self.state)
            .into_iter()
            .map(|status| (status.name, status.used))
            .collect();
        let table = self.state.table().unwrap();
        for tenant in table.tenants.iter().flatten() {
            let counted = counted.get(&tenant.name).copied().unwrap_or_default();
            let known = self.tenants.bounds.get(&tenant.name).copied();
            let counted = min(counted, known.unwrap_or(UNLIMITED));
            let bound = tenant.limits.quota.max(&counted);
            self.tenants.bounds.insert(tenant.name.clone(), bound);
        }
    }

    /// Checks that no tenant exceeds its quota, and that the leader's totals are those of a
    /// recount.
    pub(super) fn check_quotas(&mut self) {
        if self.tenants.by_job.is_empty() {
            return;
        }
        for (name, used) in self.used_by_tenant() {
            let bound = self.tenants.bounds[&name];
            assert!(
                used.fits_in(&bound),
                "{name} uses {used} of {bound} at {}",
                self.now
            );
        }
        let counted = self.scheduler.tenant_usage();
        assert_eq!(
            counted,
            self.scheduler.recount_tenant_usage(),
            "{}",
            self.now
        );
        self.update_bounds();
    }
}

fn min(a: Resources, b: Resources) -> Resources {
    Resources {
        millicores: a.millicores.min(b.millicores),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}
