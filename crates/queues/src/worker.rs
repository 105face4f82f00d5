//! Workers that are called, as the replicated state knows them.

use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_types::Resources;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::TaskKey;

/// One life of a worker, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRecord {
    /// The identity of this life.
    pub id: Arc<str>,
    /// Where it is called, as `ip:port`.
    pub address: Arc<str>,
    /// The service that it works for.
    pub service: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// What it has.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Whether it is about to leave.
    pub is_draining: bool,
}

impl WorkerRecord {
    /// Whether it has the label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| &**own == label)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndKind {
    /// The task did its work.
    Done,
    /// The task or the worker failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// The lease ran out.
    Expired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not come in time.
    GangIncomplete,
}

/// A run that takes room on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldRun {
    /// The run.
    pub run: u32,
    /// What it takes.
    pub resources: Resources,
}

/// A known worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// What it says of itself.
    pub record: WorkerRecord,
    /// Ends up to this number are applied.
    pub applied_ends: u64,
    /// Runs that take room there, until their end is certain.
    pub runs: OrdMap<TaskKey, HeldRun>,
}
