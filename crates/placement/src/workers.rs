//! Workers with their capacity, failure domains and racks.
//!
//! Each worker has a slot, a small integer that is reused after the worker is removed. Invariant:
//! the index holds each worker under its current free capacity, and `eligible` holds exactly the
//! workers that may take a new task now.

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::bitset::SlotSet;
use crate::decision::Health;
use crate::free_index::FreeIndex;
use crate::free_index::ResourceIndex;
use crate::free_index::amounts;
use crate::health::HealthRecord;
use crate::view::WorkerMode;
use crate::view::WorkerView;

/// The record of one worker.
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) domain: usize,
    pub(crate) rack: usize,
    pub(crate) capacity: Resources,
    pub(crate) mode: WorkerMode,
    /// The sum of the declared resources of the tasks that are bound to the worker.
    pub(crate) allocated: Resources,
    /// Capacity held for urgent tasks that wait for preempted tasks to stop.
    pub(crate) held: Resources,
    /// The last reported usage, with the time of the report.
    pub(crate) usage: Option<(Millis, Resources)>,
    /// The earliest time at which the next throttle may be requested.
    pub(crate) throttle_after: Millis,
    pub(crate) tasks: Vec<TaskId>,
    pub(crate) health: HealthRecord,
    /// The capacity minus the larger of declared and reported usage, minus `held`.
    pub(crate) free: Resources,
}

impl Worker {
    /// The free capacity for a task to which the part `held` of the worker's held capacity belongs.
    pub(crate) fn free_with(&self, held: &Resources) -> Resources {
        let others = self.held.saturating_sub(held);
        self.unused().saturating_sub(&others)
    }

    /// The free capacity once tasks with these resources have stopped.
    pub(crate) fn free_after(&self, stopping: &Resources) -> Resources {
        let unused = self.unused();
        let sum = unused.checked_add(stopping).unwrap_or(unused);
        sum.saturating_sub(&self.held)
    }

    fn unused(&self) -> Resources {
        let observed = self.usage.map_or(Resources::ZERO, |(_, usage)| usage);
        // Accelerators are allocated as whole units, so reported usage says nothing about them.
        let observed = Resources {
            accelerators: 0,
            ..observed
        };
        self.capacity.saturating_sub(&self.allocated.max(&observed))
    }

    fn is_eligible(&self, trial_tasks: u32) -> bool {
        let healthy = match self.health.state {
            Health::Healthy => true,
            Health::Quarantined => false,
            Health::Probation => (self.tasks.len() as u32) < trial_tasks,
        };
        healthy && self.mode == WorkerMode::Ready
    }
}

/// The data of a worker that a search reads, kept in one small record so that scoring a sample of
/// workers touches little memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SearchData {
    pub(crate) free: Resources,
    /// The reciprocal of the worker's processors.
    pub(crate) per_millicore: f64,
    /// The reciprocal of the worker's memory.
    pub(crate) per_mib: f64,
}

/// The workers of a failure domain or a rack.
#[derive(Default)]
pub(crate) struct Group {
    pub(crate) members: SlotSet,
}

/// All known workers, indexed for the search.
pub(crate) struct Workers {
    slots: Vec<Option<Worker>>,
    /// The search data of each slot; all zero for an empty slot.
    pub(crate) search_data: Vec<SearchData>,
    free_slots: Vec<usize>,
    by_id: FxHashMap<WorkerId, usize>,
    domain_ids: FxHashMap<Name, usize>,
    rack_ids: FxHashMap<(usize, Name), usize>,
    pub(crate) domains: Vec<Group>,
    pub(crate) racks: Vec<Group>,
    pub(crate) eligible: SlotSet,
    /// Eligible workers without a free accelerator.
    pub(crate) without_accelerators: SlotSet,
    pub(crate) index: FreeIndex,
    /// The sum of the free capacity of all eligible workers.
    pub(crate) total_free: Resources,
    pub(crate) total_capacity: Resources,
    /// The number of workers with each distinct capacity.
    pub(crate) capacity_counts: FxHashMap<Resources, u32>,
    /// Incremented whenever a worker gains free capacity or a reservation changes, which makes the
    /// results of earlier failed searches obsolete.
    pub(crate) free_generation: u64,
    /// Incremented whenever `capacity_counts` or a quota changes, which makes the results of
    /// earlier feasibility checks obsolete.
    pub(crate) feasibility_generation: u64,
    trial_tasks: u32,
}

impl Workers {
    pub(crate) fn new(trial_tasks: u32) -> Workers {
        Workers {
            slots: Vec::new(),
            search_data: Vec::new(),
            free_slots: Vec::new(),
            by_id: FxHashMap::default(),
            domain_ids: FxHashMap::default(),
            rack_ids: FxHashMap::default(),
            domains: Vec::new(),
            racks: Vec::new(),
            eligible: SlotSet::default(),
            without_accelerators: SlotSet::default(),
            index: FreeIndex::new(),
            total_free: Resources::ZERO,
            total_capacity: Resources::ZERO,
            capacity_counts: FxHashMap::default(),
            free_generation: 1,
            feasibility_generation: 1,
            trial_tasks,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// The number of slots, including empty ones.
    pub(crate) fn slot_count(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn slot(&self, id: WorkerId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn get(&self, slot: usize) -> Option<&Worker> {
        self.slots.get(slot)?.as_ref()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (usize, &Worker)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(slot, worker)| worker.as_ref().map(|worker| (slot, worker)))
    }

    /// Changes a worker and updates the index and the totals. Does nothing for an empty slot.
    pub(crate) fn change(&mut self, slot: usize, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.slots.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        let old = worker.free;
        change(worker);
        let new = worker.free_with(&Resources::ZERO);
        worker.free = new;
        self.search_data[slot] = SearchData {
            free: new,
            per_millicore: 1.0 / worker.capacity.millicores.max(1) as f64,
            per_mib: 1.0 / worker.capacity.memory_mib.max(1) as f64,
        };
        let eligible = worker.is_eligible(self.trial_tasks);
        self.index.update(slot, &old, &new);
        let was_eligible = self.eligible.contains(slot);
        if was_eligible {
            self.total_free = self.total_free.saturating_sub(&old);
        }
        if eligible {
            self.total_free = self.total_free.checked_add(&new).unwrap_or(self.total_free);
        }
        if eligible && (!was_eligible || !new.fits_in(&old)) {
            self.free_generation += 1;
        }
        self.eligible.set(slot, eligible);
        self.without_accelerators
            .set(slot, eligible && new.accelerators == 0);
    }

    /// Adds or updates a worker and returns its slot.
    pub(crate) fn upsert(&mut self, view: WorkerView) -> usize {
        let domain = self.domain_id(&view.failure_domain);
        let rack = self.rack_id(domain, &view.rack);
        let slot = match self.slot(view.id) {
            Some(slot) => slot,
            None => self.add(&view, domain, rack),
        };
        self.set_domain_and_rack(slot, domain, rack);
        self.set_capacity(slot, &view.capacity);
        self.change(slot, |worker| worker.mode = view.mode);
        slot
    }

    fn add(&mut self, view: &WorkerView, domain: usize, rack: usize) -> usize {
        let slot = self.free_slots.pop().unwrap_or(self.slots.len());
        if slot == self.slots.len() {
            self.slots.push(None);
            self.search_data.push(SearchData::default());
        }
        self.slots[slot] = Some(Worker {
            id: view.id,
            domain,
            rack,
            capacity: Resources::ZERO,
            mode: view.mode,
            allocated: Resources::ZERO,
            held: Resources::ZERO,
            usage: None,
            throttle_after: Millis::ZERO,
            tasks: Vec::new(),
            health: HealthRecord::default(),
            free: Resources::ZERO,
        });
        self.by_id.insert(view.id, slot);
        *self.capacity_counts.entry(Resources::ZERO).or_default() += 1;
        self.index.grow(self.slots.len());
        self.index.insert(slot, &Resources::ZERO);
        slot
    }

    fn set_domain_and_rack(&mut self, slot: usize, domain: usize, rack: usize) {
        let Some(worker) = self.slots[slot].as_mut() else {
            return;
        };
        self.domains[worker.domain].members.remove(slot);
        self.racks[worker.rack].members.remove(slot);
        worker.domain = domain;
        worker.rack = rack;
        self.domains[domain].members.insert(slot);
        self.racks[rack].members.insert(slot);
    }

    fn set_capacity(&mut self, slot: usize, capacity: &Resources) {
        let Some(worker) = self.get(slot) else {
            return;
        };
        let old = worker.capacity;
        if old == *capacity {
            return;
        }
        self.remove_capacity_count(&old);
        *self.capacity_counts.entry(*capacity).or_default() += 1;
        self.total_capacity = self.total_capacity.saturating_sub(&old);
        self.total_capacity = self
            .total_capacity
            .checked_add(capacity)
            .unwrap_or(self.total_capacity);
        self.change(slot, |worker| worker.capacity = *capacity);
    }

    fn remove_capacity_count(&mut self, capacity: &Resources) {
        self.feasibility_generation += 1;
        if let Some(count) = self.capacity_counts.get_mut(capacity) {
            *count -= 1;
            if *count == 0 {
                self.capacity_counts.remove(capacity);
            }
        }
    }

    /// Removes a worker and returns it.
    pub(crate) fn remove(&mut self, id: WorkerId) -> Option<Worker> {
        let slot = self.by_id.remove(&id)?;
        self.change(slot, |worker| worker.mode = WorkerMode::Draining);
        let worker = self.slots[slot].take()?;
        self.index.remove(slot, &worker.free);
        self.search_data[slot] = SearchData::default();
        self.remove_capacity_count(&worker.capacity);
        self.total_capacity = self.total_capacity.saturating_sub(&worker.capacity);
        self.domains[worker.domain].members.remove(slot);
        self.racks[worker.rack].members.remove(slot);
        self.free_slots.push(slot);
        Some(worker)
    }

    fn domain_id(&mut self, name: &Name) -> usize {
        if let Some(&id) = self.domain_ids.get(name) {
            return id;
        }
        self.domains.push(Group::default());
        self.domain_ids.insert(name.clone(), self.domains.len() - 1);
        self.domains.len() - 1
    }

    fn rack_id(&mut self, domain: usize, name: &Name) -> usize {
        let key = (domain, name.clone());
        if let Some(&id) = self.rack_ids.get(&key) {
            return id;
        }
        self.racks.push(Group::default());
        self.rack_ids.insert(key, self.racks.len() - 1);
        self.racks.len() - 1
    }

    /// The resource of which `need` takes the largest share of the free capacity in the cluster.
    pub(crate) fn scarcest(&self, need: &Resources) -> ResourceIndex {
        let free = amounts(&self.total_free);
        let mut scarcest = 0;
        let mut largest = -1.0;
        for (resource, amount) in amounts(need).into_iter().enumerate() {
            let share = amount as f64 / free[resource].max(1) as f64;
            if share > largest {
                largest = share;
                scarcest = resource;
            }
        }
        scarcest
    }
}
