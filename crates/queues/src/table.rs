//! The queues and services of the whole cluster, replaced as one versioned document.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// All queues and services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueTable {
    /// The version; the highest one is in force.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The document as the operator wrote it.
    pub document: Arc<str>,
}

/// One queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// Paths that begin so belong to the queue; the longest prefix wins.
    pub path_prefix: Arc<str>,
    /// The service whose workers run the tasks.
    pub service: Arc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub attempts_max: u32,
    /// The objective of a job is this many times its longest chain, plus `target_ms`.
    pub deadline_factor: f64,
    /// Added to the objective.
    pub target_ms: u64,
    /// How long a caller's request may take.
    pub timeout_ms: u64,
    /// What the placement policy of the queue costs to ask.
    pub permits: Option<PermitCost>,
}

/// The cost and lifetime of permits of a queue's placement policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitCost {
    /// Time of a call.
    pub call_ms: f64,
    /// Additional time for each worker named.
    pub worker_ms: f64,
    /// How long a permit can be used.
    pub valid_ms: u64,
}

impl PermitCost {
    /// The time of a call that names `workers` workers.
    pub fn total_ms(&self, workers: usize) -> u64 {
        (self.call_ms + self.worker_ms * workers as f64).ceil() as u64
    }
}

impl Eq for Queue {}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Whether its workers refuse what does not fit.
    pub workers_check_room: bool,
}

/// Why a table is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A queue names a service that is not in the table.
    #[error("queue {queue} names the unknown service {service}")]
    UnknownService {
        /// The queue.
        queue: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two queues have the same host and prefix.
    #[error("queue {0} has the host and prefix of another queue")]
    DuplicatePath(Arc<str>),
    /// A queue has no time for a request.
    #[error("queue {0} has a timeout of 0")]
    ZeroTimeout(Arc<str>),
    /// Two queues or two services share a name.
    #[error("the name {0} stands twice")]
    DuplicateName(Arc<str>),
}

/// A place in the table that a request leads to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResolvedPath<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The rest of the path.
    pub rest: &'a str,
}

impl QueueTable {
    /// Checks what must hold between queues and services.
    pub fn check(&self) -> Result<(), TableError> {
        let mut services = BTreeSet::new();
        for service in &self.services {
            if !services.insert(service.name.clone()) {
                return Err(TableError::DuplicateName(service.name.clone()));
            }
        }
        let (mut places, mut names) = (BTreeSet::new(), BTreeSet::new());
        for queue in &self.queues {
            if !services.contains(&queue.service) {
                let (queue, service) = (queue.name.clone(), queue.service.clone());
                return Err(TableError::UnknownService { queue, service });
            }
            if !places.insert((queue.host.to_ascii_lowercase(), queue.path_prefix.clone())) {
                return Err(TableError::DuplicatePath(queue.name.clone()));
            }
            if queue.timeout_ms == 0 {
                return Err(TableError::ZeroTimeout(queue.name.clone()));
            }
            if !names.insert(queue.name.clone()) {
                return Err(TableError::DuplicateName(queue.name.clone()));
            }
        }
        Ok(())
    }

    /// The queue with the longest prefix of `path` at `host`.
    pub fn resolve<'a>(&'a self, host: &str, path: &'a str) -> Option<ResolvedPath<'a>> {
        let matching = self.queues.iter().filter(|queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&*queue.path_prefix)
        });
        let queue = matching.max_by_key(|queue| queue.path_prefix.len())?;
        let rest = &path[queue.path_prefix.len()..];
        Some(ResolvedPath { queue, rest })
    }

    /// The queue of that name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| &*queue.name == name)
    }
}
