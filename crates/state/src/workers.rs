//! Workers and the resources that attempts hold on them.

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

/// Maximum number of known workers; further ones cannot register.
pub const WORKERS_MAX: usize = 20_000;
/// How long a worker is kept after its lease ended, in milliseconds. A worker on which attempts
/// still hold resources is kept longer, and so is a drained one until it is undrained or declared
/// lost.
pub const WORKER_RETENTION_MS: u64 = 24 * 60 * 60 * 1_000;

/// Whether a worker is in contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Contact {
    /// A full report of its current incarnation was applied.
    Connected,
    /// A new incarnation has registered; which attempts it runs is known only after its full
    /// report.
    Reporting,
    /// Its lease has ended.
    Expired {
        /// When the end of the lease was recorded, in milliseconds since the Unix epoch.
        since_unix_ms: u64,
        /// Whether an operator declared the VM lost.
        lost: bool,
    },
}

/// The resources that an attempt holds on a worker. The attempt need not be the current one of
/// its task: an older one holds its resources until its end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// The task that the attempt belongs to.
    pub task: TaskId,
    /// The attempt that holds the resources.
    pub attempt: Attempt,
    /// The resources that a task of its job needs, or the capacity of the worker if the task is
    /// unknown.
    pub resources: Resources,
    /// Whether the worker has reported the attempt as running.
    pub reported: bool,
}

impl Allocation {
    /// The task and the number of the attempt.
    pub fn key(&self) -> AttemptKey {
        AttemptKey {
            task: self.task,
            attempt: self.attempt,
        }
    }
}

/// The record of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// The unique name, under which the worker registers.
    pub name: Name,
    /// The failure domain, rack and capacity.
    pub spec: WorkerSpec,
    /// The newest incarnation that has registered.
    pub incarnation: Incarnation,
    /// The sequence number of the newest report of that incarnation; 0 before the first.
    pub sequence: u64,
    /// Whether the worker is in contact.
    pub contact: Contact,
    /// Whether an operator drains it: it accepts no tasks, and its tasks are moved away.
    pub draining: bool,
    /// Whether the drain may stop tasks that lose their progress, and the only replica of a service.
    pub allow_interruption: bool,
    /// The version that plans refer to. It changes when the worker registers a new incarnation or
    /// specification, when its lease ends, when it reconnects after that, and when an operator
    /// drains, undrains or declares it lost, but not with its tasks.
    pub version: ObjectVersion,
    /// The plan that set the version; `None` if the worker itself or its lease did.
    pub changed_by: Option<PlanId>,
    /// The attempts that hold resources on the worker.
    pub held: Vec<Allocation>,
    /// The sum of the resources that these attempts hold.
    pub used: Resources,
}

impl Worker {
    /// The free resources; zero where more is allocated than the worker has.
    pub fn free(&self) -> Resources {
        self.spec.capacity.saturating_sub(&self.used)
    }

    /// Whether tasks may be placed on it.
    pub fn accepts_tasks(&self) -> bool {
        self.contact == Contact::Connected && !self.draining
    }

    /// Whether its lease has ended and neither a new registration nor a full report followed.
    pub fn is_expired(&self) -> bool {
        matches!(self.contact, Contact::Expired { .. })
    }

    /// The resources that the given attempt holds, if any.
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

/// All workers that have not been dropped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    next: WorkerId,
    records: BTreeMap<WorkerId, Worker>,
    names: BTreeMap<Name, WorkerId>,
}

impl Workers {
    /// The worker with the given ID, unless it was dropped.
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.records.get(&id)
    }

    /// The ID of the worker with the given name.
    pub fn id(&self, name: &Name) -> Option<WorkerId> {
        self.names.get(name).copied()
    }

    /// The worker with the given name, and its ID.
    pub fn by_name(&self, name: &Name) -> Option<(WorkerId, &Worker)> {
        let id = self.id(name)?;
        Some((id, self.records.get(&id)?))
    }

    /// All workers in the order of their IDs.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Worker)> {
        self.records.iter().map(|(id, worker)| (*id, worker))
    }

    /// Number of workers, including those whose lease has ended.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no worker, not even one whose lease has ended.
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
