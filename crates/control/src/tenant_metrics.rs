//! Metrics of the tenants of the queue table, set by the member that leads. The values of a tenant
//! are removed when the table has it no more.

use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use rustc_hash::FxHashSet;

use sapphirepost_process::metrics::Metrics;
use sapphirepost_queues::scheduler::AdmissionLimit;
use sapphirepost_queues::scheduler::TenantStatus;
use sapphirepost_types::Resources;

/// A tenant, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TenantLabel {
    tenant: String,
}

/// A tenant and a resource, as labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResourceLabel {
    tenant: String,
    resource: &'static str,
}

/// A tenant and the limit that rejects its jobs, as labels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RejectionLabel {
    tenant: String,
    reason: &'static str,
}

/// Metrics of the tenants. The counter goes on across terms.
#[derive(Clone, Debug)]
pub(crate) struct TenantMetrics {
    rejected: Family<RejectionLabel, Counter>,
    used: Family<ResourceLabel, Gauge>,
    /// Resources without a limit have no value.
    quota: Family<ResourceLabel, Gauge>,
    running_tasks: Family<TenantLabel, Gauge>,
    waiting_steps: Family<TenantLabel, Gauge>,
    steps_at_quota: Family<TenantLabel, Gauge>,
    /// The tenants that have values.
    names: FxHashSet<Arc<str>>,
}

impl TenantMetrics {
    pub(crate) fn register(metrics: &Metrics) -> TenantMetrics {
        let by_tenant = |name: &str, help: &str| metrics.register(name, help, Family::default());
        let by_resource = |name: &str, help: &str| metrics.register(name, help, Family::default());
        TenantMetrics {
            rejected: metrics.register(
                "queue_tenant_jobs_rejected",
                "Jobs of a tenant rejected on arrival, by the limit",
                Family::default(),
            ),
            used: by_resource(
                "queue_tenant_used",
                "What the placed tasks of a tenant take: millicores, MiB and accelerators",
            ),
            quota: by_resource(
                "queue_tenant_quota",
                "What the tasks of a tenant may take: millicores, MiB and accelerators",
            ),
            running_tasks: by_tenant(
                "queue_tenant_running_tasks",
                "Tasks of a tenant that are placed on workers",
            ),
            waiting_steps: by_tenant(
                "queue_tenant_waiting_steps",
                "Steps of a tenant with tasks that could start and wait",
            ),
            steps_at_quota: by_tenant(
                "queue_tenant_steps_at_quota",
                "Steps of a tenant that wait since it is at its quota",
            ),
            names: FxHashSet::default(),
        }
    }

    /// Counts a rejected job of a tenant.
    pub(crate) fn count_rejected(&mut self, tenant: &Arc<str>, limit: AdmissionLimit) {
        self.names.insert(tenant.clone());
        let label = RejectionLabel {
            tenant: tenant.to_string(),
            reason: limit.label(),
        };
        self.rejected.get_or_create(&label).inc();
    }

    /// Sets the values of all tenants of the table.
    pub(crate) fn set(&mut self, statuses: &[TenantStatus]) {
        self.retain(|name| statuses.iter().any(|status| *status.name == *name));
        for status in statuses {
            self.names.insert(status.name.clone());
            set_resources(&self.used, &status.name, &status.used);
            set_resources(&self.quota, &status.name, &status.limits.quota);
            let label = tenant_label(&status.name);
            let counts = [
                (&self.running_tasks, status.running_tasks),
                (&self.waiting_steps, status.waiting_steps),
                (&self.steps_at_quota, status.steps_at_quota),
            ];
            for (gauge, value) in counts {
                gauge.get_or_create(&label).set(value as i64);
            }
        }
    }

    /// Removes the values that only a leader knows.
    pub(crate) fn stop_leading(&self) {
        self.used.clear();
        self.quota.clear();
        self.running_tasks.clear();
        self.waiting_steps.clear();
        self.steps_at_quota.clear();
    }

    /// Removes the values of tenants that the table does not have.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        let gone = self.names.extract_if(|name| !is_known(name));
        for name in gone {
            let label = tenant_label(&name);
            self.running_tasks.remove(&label);
            self.waiting_steps.remove(&label);
            self.steps_at_quota.remove(&label);
            for (resource, _) in amounts(&Resources::ZERO) {
                let label = resource_label(&name, resource);
                self.used.remove(&label);
                self.quota.remove(&label);
            }
            for limit in AdmissionLimit::ALL {
                self.rejected.remove(&RejectionLabel {
                    tenant: name.to_string(),
                    reason: limit.label(),
                });
            }
        }
    }
}

fn tenant_label(name: &str) -> TenantLabel {
    TenantLabel {
        tenant: name.to_owned(),
    }
}

fn resource_label(name: &str, resource: &'static str) -> ResourceLabel {
    ResourceLabel {
        tenant: name.to_owned(),
        resource,
    }
}

/// Each resource with its amount; `None` if that is not limited.
fn amounts(resources: &Resources) -> [(&'static str, Option<i64>); 3] {
    let limited = |amount: u64| i64::try_from(amount).ok();
    let accelerators = Some(resources.accelerators).filter(|amount| *amount < u32::MAX);
    [
        ("processor", limited(resources.millicores)),
        ("memory", limited(resources.memory_mib)),
        ("accelerator", accelerators.map(i64::from)),
    ]
}

fn set_resources(family: &Family<ResourceLabel, Gauge>, name: &str, resources: &Resources) {
    for (resource, amount) in amounts(resources) {
        let label = resource_label(name, resource);
        match amount {
            Some(amount) => drop(family.get_or_create(&label).set(amount)),
            None => drop(family.remove(&label)),
        }
    }
}
