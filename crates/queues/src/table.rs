//! The queue table: the queues and services of the whole cluster, replaced as one versioned
//! document.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::tenant::ApiKey;
use crate::tenant::Tenant;

/// All queues and services of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueTable {
    /// The version; only a higher one replaces the current table.
    pub version: u64,
    /// The queues; a host and a path prefix select one of them.
    pub queues: Vec<Queue>,
    /// The services that the queues refer to.
    pub services: Vec<Service>,
    /// The tenants; `None` if callers need no key. Members of an earlier version do not know the
    /// field, and can read a table without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<Tenant>>,
    /// The document as the operator submitted it.
    pub document: TableDocument,
    /// For how long after its end callers are promised an answer about a job.
    #[serde(
        default = "default_ended_kept_ms",
        skip_serializing_if = "is_default_ended_kept"
    )]
    pub ended_kept_ms: u64,
}

/// The text of a queue table as the operator submitted it. `Debug` output does not contain the
/// text, since it holds the keys of the tenants.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TableDocument(Arc<str>);

impl TableDocument {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for TableDocument {
    fn from(text: &str) -> TableDocument {
        TableDocument(Arc::from(text))
    }
}

impl fmt::Debug for TableDocument {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TableDocument({} bytes)", self.0.len())
    }
}

/// The time for which ended jobs are kept if the platform names none.
pub const ENDED_KEPT_DEFAULT_MS: u64 = 120_000;

fn default_ended_kept_ms() -> u64 {
    ENDED_KEPT_DEFAULT_MS
}

/// Members of an earlier version do not know the field, and can read a table without it.
fn is_default_ended_kept(kept_ms: &u64) -> bool {
    *kept_ms == ENDED_KEPT_DEFAULT_MS
}

/// A queue and its settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// The name, unique among the queues.
    pub name: Arc<str>,
    /// The host name in the requests of callers, compared without regard to case.
    pub host: Arc<str>,
    /// The path prefix of requests for the queue; the longest matching prefix wins.
    pub path_prefix: Arc<str>,
    /// The name of the service whose workers run the tasks.
    pub service: Arc<str>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed runs of a task or gang after which the job fails.
    pub attempts_max: u32,
    /// The time from a job's arrival to its deadline is this multiple of the estimated duration of
    /// its longest chain of dependent steps, plus `target_ms`.
    pub deadline_factor: f64,
    /// The fixed part of the time to a job's deadline.
    pub target_ms: u64,
    /// How long a caller's request may take; must not be 0, and is otherwise not used.
    pub timeout_ms: u64,
    /// The cost of requests to the queue's placement policy; `None` if the queue needs no permits.
    pub permits: Option<PermitCost>,
    /// Whether requests need no key although the table has tenants.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_public: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The cost and validity of permits of a queue's placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitCost {
    /// The fixed time of a permit request.
    pub call_ms: f64,
    /// The additional time for each worker that the request names.
    pub worker_ms: f64,
    /// How long a permit is valid.
    pub valid_ms: u64,
}

impl PermitCost {
    /// The expected time of a request that names `workers` workers.
    pub fn total_ms(&self, workers: usize) -> u64 {
        (self.call_ms + self.worker_ms * workers as f64).ceil() as u64
    }
}

impl Eq for Queue {}

impl Queue {
    /// The time from the arrival of a job to its deadline, for the duration of its longest chain of
    /// dependent steps.
    pub fn deadline_ms(&self, critical_path_ms: u64) -> u64 {
        (critical_path_ms as f64 * self.deadline_factor) as u64 + self.target_ms
    }
}

/// A service: a group of workers that run the tasks of queues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, unique among the services.
    pub name: Arc<str>,
    /// Whether the workers reject tasks for which they have too few resources. The scheduler does
    /// not use it.
    pub workers_check_room: bool,
}

/// Why a queue table is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A queue names a service that is not in the table.
    #[error("queue {queue} refers to the unknown service {service}")]
    UnknownService {
        /// The name of the queue.
        queue: Arc<str>,
        /// The name of the missing service.
        service: Arc<str>,
    },
    /// Two queues have the same host and path prefix.
    #[error("queue {0} has the same host and path prefix as another queue")]
    DuplicatePath(Arc<str>),
    /// The request timeout of a queue is 0.
    #[error("queue {0} has a timeout of 0")]
    ZeroTimeout(Arc<str>),
    /// Two queues or two services have the same name.
    #[error("the name {0} stands twice")]
    DuplicateName(Arc<str>),
    /// A tenant has no name.
    #[error("a tenant has no name")]
    UnnamedTenant,
    /// A tenant has an empty key.
    #[error("tenant {0} has an empty key")]
    EmptyKey(Arc<str>),
    /// Two tenants have a key in common.
    #[error("tenants {first} and {second} share a key")]
    SharedKey {
        /// The name of the one tenant.
        first: Arc<str>,
        /// The name of the other tenant.
        second: Arc<str>,
    },
    /// The weight of a tenant is negative or no number.
    #[error("tenant {0} has an invalid weight")]
    InvalidWeight(Arc<str>),
}

/// A request has no valid key although its queue requires one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the key is missing or unknown")]
pub struct Unauthorized;

/// The queue that a request path resolves to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResolvedPath<'a> {
    /// The queue with the longest matching prefix.
    pub queue: &'a Queue,
    /// The path after the prefix: empty for the queue itself, and otherwise expected to be a job
    /// key.
    pub rest: &'a str,
}

impl QueueTable {
    /// Checks names, references, path prefixes and timeouts across all queues and services.
    pub fn check(&self) -> Result<(), TableError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(service.name.clone()) {
                return Err(TableError::DuplicateName(service.name.clone()));
            }
        }
        let (mut prefixes, mut names) = (BTreeSet::new(), BTreeSet::new());
        for queue in &self.queues {
            if !services.contains(&queue.service) {
                let (queue, service) = (queue.name.clone(), queue.service.clone());
                return Err(TableError::UnknownService { queue, service });
            }
            if !prefixes.insert((queue.host.to_ascii_lowercase(), queue.path_prefix.clone())) {
                return Err(TableError::DuplicatePath(queue.name.clone()));
            }
            if queue.timeout_ms == 0 {
                return Err(TableError::ZeroTimeout(queue.name.clone()));
            }
            if !names.insert(queue.name.clone()) {
                return Err(TableError::DuplicateName(queue.name.clone()));
            }
        }
        check_tenants(self.tenants.as_deref().unwrap_or_default())
    }

    /// The tenant whose key a request for a queue carries; `None` if the request needs no key. A
    /// key that is unknown is refused at public queues too.
    pub fn authenticate(
        &self,
        queue: &Queue,
        key: Option<&ApiKey>,
    ) -> Result<Option<&Tenant>, Unauthorized> {
        let Some(tenants) = &self.tenants else {
            return Ok(None);
        };
        match key {
            Some(key) => {
                let tenant = tenants.iter().find(|tenant| tenant.keys.contains(key));
                tenant.map(Some).ok_or(Unauthorized)
            }
            None if queue.is_public => Ok(None),
            None => Err(Unauthorized),
        }
    }

    /// The tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<&Tenant> {
        let mut tenants = self.tenants.iter().flatten();
        tenants.find(|tenant| &*tenant.name == name)
    }

    /// Resolves a path at a host to the queue with the longest matching prefix.
    pub fn resolve<'a>(&'a self, host: &str, path: &'a str) -> Option<ResolvedPath<'a>> {
        let matching = self.queues.iter().filter(|queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.path_prefix)
        });
        let queue = matching.max_by_key(|queue| queue.path_prefix.len())?;
        let rest = &path[queue.path_prefix.len()..];
        Some(ResolvedPath { queue, rest })
    }

    /// The queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}

fn check_tenants(tenants: &[Tenant]) -> Result<(), TableError> {
    let mut names = BTreeSet::new();
    for (position, tenant) in tenants.iter().enumerate() {
        let name = || tenant.name.clone();
        if tenant.name.is_empty() {
            return Err(TableError::UnnamedTenant);
        }
        if !names.insert(name()) {
            return Err(TableError::DuplicateName(name()));
        }
        if tenant.keys.iter().any(ApiKey::is_empty) {
            return Err(TableError::EmptyKey(name()));
        }
        let weight = tenant.limits.weight;
        if !weight.is_finite() || weight < 0.0 {
            return Err(TableError::InvalidWeight(name()));
        }
        let shares_key = |other: &&Tenant| tenant.keys.iter().any(|key| other.keys.contains(key));
        if let Some(other) = tenants[..position].iter().find(shares_key) {
            let (first, second) = (other.name.clone(), name());
            return Err(TableError::SharedKey { first, second });
        }
    }
    Ok(())
}
