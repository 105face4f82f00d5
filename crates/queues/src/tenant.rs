//! Tenants: groups of callers that share the workers.
//!
//! A tenant authenticates its requests with one of its keys. It has a share of the workers when
//! they are full, and a limit on what it may run at the same time.

use std::fmt;
use std::sync::Arc;

use sapphirepost_types::Resources;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

/// A key of a tenant. Comparisons take the same time for all keys of one length, and `Debug` output
/// does not contain the text.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// The key with this text.
    pub fn new(text: &str) -> ApiKey {
        ApiKey(Arc::from(text))
    }

    /// Whether the text is empty. Such a key is not valid.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl PartialEq for ApiKey {
    fn eq(&self, other: &ApiKey) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for ApiKey {}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// A tenant and its settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The name, unique among the tenants.
    pub name: Arc<str>,
    /// The keys, each of which authenticates requests of the tenant.
    pub keys: Vec<ApiKey>,
    /// The share and the limit of the tenant.
    pub limits: TenantLimits,
}

/// The share of a tenant, and the limit on what it runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The share of the workers when they are full, relative to the weights of other tenants, and
    /// the number of jobs a second that the tenant may submit however full the workers are.
    pub weight: f64,
    /// What its tasks may take on all workers together.
    pub quota: Resources,
}

impl Eq for TenantLimits {}

/// The tenant of a job, with the limits at the time of the submission. They stay in force for the
/// job if the tenant is removed from the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobTenant {
    /// The name of the tenant.
    pub name: Arc<str>,
    /// Its limits.
    pub limits: TenantLimits,
}

impl From<&Tenant> for JobTenant {
    fn from(tenant: &Tenant) -> JobTenant {
        JobTenant {
            name: tenant.name.clone(),
            limits: tenant.limits,
        }
    }
}
