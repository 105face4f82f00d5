//! Workers in the replicated state.

use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Resources;
use serde::Deserialize;
use serde::Serialize;

use crate::crash::LostRuns;
use crate::ids::TaskKey;

/// One incarnation of a worker, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerRecord {
    /// The ID of the worker. A restarted worker has the same ID or another one.
    pub id: Arc<str>,
    /// Tells the incarnations with this ID apart; a later one has a higher number. 0 if the worker
    /// gives none, as one does that has a new ID after each restart.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// The address that accepts requests, as `ip:port`.
    pub address: Arc<str>,
    /// The name of the service that the worker belongs to.
    pub service: Arc<str>,
    /// The failure domain that the worker is in.
    pub failure_domain: Arc<str>,
    /// The resources that the worker offers.
    pub capacity: Resources,
    /// Labels such as the kind and the rack of the worker.
    pub labels: Vec<Arc<str>>,
    /// Whether the worker is about to leave and takes no more tasks.
    pub is_draining: bool,
    /// Increases with each report of this incarnation. A description with a lower number is older.
    #[serde(default)]
    pub sequence: u64,
}

impl WorkerRecord {
    /// Whether both describe the worker in the same way, apart from the number of the report.
    pub fn is_same_description(&self, other: &WorkerRecord) -> bool {
        let WorkerRecord {
            id,
            incarnation: _,
            address,
            service,
            failure_domain,
            capacity,
            labels,
            is_draining,
            sequence: _,
        } = other;
        self.id == *id
            && self.address == *address
            && self.service == *service
            && self.failure_domain == *failure_domain
            && self.capacity == *capacity
            && self.labels == *labels
            && self.is_draining == *is_draining
    }

    /// A record of another incarnation with this ID, of which nothing else is known: until it
    /// reports, it offers no resources.
    pub fn undescribed(&self, incarnation: Incarnation) -> WorkerRecord {
        WorkerRecord {
            incarnation,
            capacity: Resources::ZERO,
            labels: Vec::new(),
            is_draining: false,
            sequence: 0,
            ..self.clone()
        }
    }

    /// Whether the worker has the label.
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
    /// The leader stopped it.
    Stopped,
    /// The lease of the worker expired.
    Expired,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// A run that takes resources on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldRun {
    /// The number of the run.
    pub run: u32,
    /// The resources that it takes.
    pub resources: Resources,
}

/// A known worker with its runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// The worker's last committed description of itself. Once set, `is_draining` stays set.
    pub record: WorkerRecord,
    /// The number of the last applied end of a run, by the numbering of the incarnation.
    pub applied_ends: u64,
    /// When the present incarnation followed another one with the same ID, if it did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub restarted_unix_ms: Option<u64>,
    /// Runs that take resources there until their end is certain.
    pub runs: OrdMap<TaskKey, HeldRun>,
    /// The runs that ended when its lease expired, until the worker reports ends or gets tasks
    /// again. If another incarnation returns instead, the worker has crashed.
    #[serde(default, skip_serializing_if = "LostRuns::is_empty")]
    pub expired: LostRuns,
    /// Whether it has registered again since then, so that it is not silent any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_returned: bool,
}
