//! The tenants: their limits in force, and what each uses, kept up to date by difference.
//!
//! Quotas and shares are compared with totals over all runs of a tenant. A sum over all runs in
//! each round would cost more than the rounds themselves, so each run is added to the totals when
//! it is placed on a worker and taken from them when it no longer takes resources. A run of no
//! tenant costs nothing.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Resources;

use crate::tenant::Tenant;
use crate::tenant::TenantLimits;

/// The position of a tenant in this leader's table of tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantIndex(u32);

impl TenantIndex {
    /// The position in tables that have one entry for each tenant.
    pub fn position(self) -> usize {
        self.0 as usize
    }
}

/// The position of a service in the table of the services in which tenants run tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(u32);

impl ServiceIndex {
    /// The position in tables that have one entry for each service.
    pub fn position(self) -> usize {
        self.0 as usize
    }
}

/// The tenant of a run, and the service whose workers it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunTenant {
    /// The tenant.
    pub tenant: TenantIndex,
    /// The service.
    pub service: ServiceIndex,
}

/// The runs of a tenant that take resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of runs.
    pub runs: u64,
    /// What they take.
    pub resources: Resources,
}

impl Usage {
    /// Adds a run.
    pub fn add(&mut self, resources: &Resources) {
        self.runs += 1;
        self.resources = self.resources.saturating_add(resources);
    }

    fn remove(&mut self, resources: &Resources) {
        self.runs = self.runs.saturating_sub(1);
        self.resources = self.resources.saturating_sub(resources);
    }
}

/// The tenants that this leader has met, and what they use.
#[derive(Debug, Default)]
pub struct Tenants {
    names: Vec<Arc<str>>,
    /// The limits by the table in force; `None` for a tenant that it lacks.
    limits: Vec<Option<TenantLimits>>,
    by_name: FxHashMap<Arc<str>, TenantIndex>,
    services: Vec<Arc<str>>,
    totals: Vec<Usage>,
    /// By service, then by tenant.
    by_service: Vec<Vec<Usage>>,
}

impl Tenants {
    /// Whether no tenant is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The index of the tenant with this name, which is added if it is not known.
    pub fn tenant(&mut self, name: &Arc<str>) -> TenantIndex {
        if let Some(known) = self.by_name.get(name) {
            return *known;
        }
        let index = TenantIndex(self.names.len() as u32);
        self.names.push(name.clone());
        self.limits.push(None);
        self.by_name.insert(name.clone(), index);
        self.totals.push(Usage::default());
        index
    }

    /// The index of the tenant with this name, if it is known.
    pub fn known_tenant(&self, name: &str) -> Option<TenantIndex> {
        self.by_name.get(name).copied()
    }

    /// The index of the service with this name, which is added if it is not known.
    pub fn service(&mut self, name: &Arc<str>) -> ServiceIndex {
        let known = self.services.iter().position(|known| known == name);
        let position = known.unwrap_or_else(|| {
            self.services.push(name.clone());
            self.by_service.push(Vec::new());
            self.services.len() - 1
        });
        ServiceIndex(position as u32)
    }

    /// The index of the service with this name, if a tenant has run or waited there.
    pub fn known_service(&self, name: &str) -> Option<ServiceIndex> {
        let known = self.services.iter().position(|known| **known == *name);
        known.map(|position| ServiceIndex(position as u32))
    }

    /// The limits of a tenant by the table in force, if that has the tenant.
    pub fn limits(&self, tenant: TenantIndex) -> Option<TenantLimits> {
        self.limits.get(tenant.position()).copied().flatten()
    }

    /// Replaces the limits of all tenants by those of a table.
    pub fn set_limits(&mut self, tenants: &[Tenant]) {
        self.limits.fill(None);
        for tenant in tenants {
            let index = self.tenant(&tenant.name);
            self.limits[index.position()] = Some(tenant.limits);
        }
    }

    /// The indexes and the names of all known tenants.
    pub fn tenants(&self) -> impl Iterator<Item = (TenantIndex, &Arc<str>)> {
        let names = self.names.iter().enumerate();
        names.map(|(position, name)| (TenantIndex(position as u32), name))
    }

    /// The indexes and the names of all known services.
    pub fn services(&self) -> impl Iterator<Item = (ServiceIndex, &Arc<str>)> {
        let names = self.services.iter().enumerate();
        names.map(|(position, name)| (ServiceIndex(position as u32), name))
    }

    /// What a tenant uses on all workers.
    pub fn total(&self, tenant: TenantIndex) -> Usage {
        self.totals
            .get(tenant.position())
            .copied()
            .unwrap_or_default()
    }

    /// What a tenant uses on the workers of one service.
    pub fn in_service(&self, key: RunTenant) -> Usage {
        let tenants = self.by_service.get(key.service.position());
        let usage = tenants.and_then(|tenants| tenants.get(key.tenant.position()));
        usage.copied().unwrap_or_default()
    }

    /// Adds a run.
    pub fn add(&mut self, key: RunTenant, resources: &Resources) {
        self.totals[key.tenant.position()].add(resources);
        let tenants = &mut self.by_service[key.service.position()];
        if tenants.len() <= key.tenant.position() {
            tenants.resize(key.tenant.position() + 1, Usage::default());
        }
        tenants[key.tenant.position()].add(resources);
    }

    /// Removes a run that was added before.
    pub fn remove(&mut self, key: RunTenant, resources: &Resources) {
        self.totals[key.tenant.position()].remove(resources);
        self.by_service[key.service.position()][key.tenant.position()].remove(resources);
    }
}
