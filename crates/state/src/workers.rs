//! Workers and the attempts that hold room on them.

use std::collections::BTreeMap;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_types::Attempt;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::ObjectVersion;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use serde::Deserialize;
use serde::Serialize;

/// The most workers that are remembered; more cannot register.
pub const WORKERS_MAX: usize = 20_000;
/// How long an expired worker that holds nothing is remembered.
pub const WORKER_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// The contact with a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Contact {
    /// A full report of its run was applied.
    Connected,
    /// It registered; what it holds is known only after a full report.
    Reporting,
    /// Its lease ended.
    Expired {
        /// When, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
        /// Whether an operator confirmed that the VM is gone.
        lost: bool,
    },
}

/// An attempt that holds room, current or older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// What it holds.
    pub resources: Resources,
    /// Whether the worker ever reported it as running.
    pub reported: bool,
}

impl Allocation {
    /// The attempt's key.
    pub fn key(&self) -> AttemptKey {
        AttemptKey {
            task: self.task,
            attempt: self.attempt,
        }
    }
}

/// One worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// The name.
    pub name: Name,
    /// What it is.
    pub spec: WorkerSpec,
    /// Its newest run.
    pub incarnation: Incarnation,
    /// The sequence number of the newest report of that run.
    pub sequence: u64,
    /// The contact with it.
    pub contact: Contact,
    /// Whether it takes no more tasks and is to be emptied.
    pub draining: bool,
    /// Whether the drain may stop work that is interrupted by it.
    pub allow_interruption: bool,
    /// The version for plans; it changes when the worker registers, expires, is drained or
    /// undrained, but not with its tasks.
    pub version: ObjectVersion,
    /// The plan that made the newest version, if one did.
    pub changed_by: Option<PlanId>,
    /// The attempts that hold room.
    pub held: Vec<Allocation>,
    /// The sum of what they hold.
    pub used: Resources,
}

impl Worker {
    /// What is free; zero where more is held than the worker has.
    pub fn free(&self) -> Resources {
        self.spec.capacity.saturating_sub(&self.used)
    }

    /// Whether it takes tasks.
    pub fn accepts_tasks(&self) -> bool {
        self.contact == Contact::Connected && !self.draining
    }

    /// Whether its lease ended and it has not been heard from since.
    pub fn is_expired(&self) -> bool {
        matches!(self.contact, Contact::Expired { .. })
    }

    /// The record of an attempt.
    pub fn allocation(&self, key: AttemptKey) -> Option<&Allocation> {
        self.held.iter().find(|allocation| allocation.key() == key)
    }

    pub(crate) fn allocate(&mut self, allocation: Allocation) {
        self.used = self
            .used
            .checked_add(&allocation.resources)
            .unwrap_or(self.used);
        self.held.push(allocation);
    }

    pub(crate) fn release(&mut self, key: AttemptKey) -> Option<Allocation> {
        let position = self
            .held
            .iter()
            .position(|allocation| allocation.key() == key)?;
        let allocation = self.held.remove(position);
        self.used = self.used.saturating_sub(&allocation.resources);
        Some(allocation)
    }

    pub(crate) fn mark_reported(&mut self, key: AttemptKey) {
        if let Some(allocation) = self
            .held
            .iter_mut()
            .find(|allocation| allocation.key() == key)
        {
            allocation.reported = true;
        }
    }
}

/// All workers that are remembered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    next: WorkerId,
    records: BTreeMap<WorkerId, Worker>,
    names: BTreeMap<Name, WorkerId>,
}

impl Workers {
    /// A worker.
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.records.get(&id)
    }

    /// The worker of a name.
    pub fn id(&self, name: &Name) -> Option<WorkerId> {
        self.names.get(name).copied()
    }

    /// The worker of a name with its id.
    pub fn by_name(&self, name: &Name) -> Option<(WorkerId, &Worker)> {
        let id = self.id(name)?;
        Some((id, self.records.get(&id)?))
    }

    /// All workers in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        self.records.iter().map(|(id, worker)| (*id, worker))
    }

    /// How many workers are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no worker is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn get_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.records.get_mut(&id)
    }

    pub(crate) fn add(&mut self, worker: Worker) -> WorkerId {
        let id = self.next;
        self.next = id.next();
        self.names.insert(worker.name.clone(), id);
        self.records.insert(id, worker);
        id
    }

    pub(crate) fn remove(&mut self, id: WorkerId) {
        if let Some(worker) = self.records.remove(&id) {
            self.names.remove(&worker.name);
        }
    }
}
