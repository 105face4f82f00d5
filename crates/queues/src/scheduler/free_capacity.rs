//! Free and total capacity of the workers, kept up to date by difference.
//!
//! Each round needs the workers that accept tasks in the order of their free processor capacity,
//! the largest free amounts, and sums. A pass over all workers would cost as much with one change as
//! with a thousand, so an update visits only the workers that were changed since the one before, and
//! those whose pauses change with time alone.

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::scheduler::shares::Amounts;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::scheduler::workers::Workers;

/// The part of a worker that counts, as of the last update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Counted {
    /// The position of its service.
    service: usize,
    capacity: Resources,
    /// What is free; `None` while the worker accepts no tasks.
    open: Option<Resources>,
}

/// The capacity of the workers of one service.
#[derive(Debug)]
struct ServiceCapacity {
    service: Arc<str>,
    /// The processor capacity of all workers.
    millicores: u128,
    /// The memory of all workers.
    memory_mib: u128,
    /// The accelerators of all workers.
    accelerators: u64,
    sums: OpenSums,
}

/// Sums over the workers that accept tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OpenSums {
    free_millicores: u128,
    free_memory_mib: u128,
    millicores: u128,
    memory_mib: u128,
}

impl OpenSums {
    fn add(&mut self, free: Resources, capacity: Resources) {
        self.free_millicores += u128::from(free.millicores);
        self.free_memory_mib += u128::from(free.memory_mib);
        self.millicores += u128::from(capacity.millicores);
        self.memory_mib += u128::from(capacity.memory_mib);
    }

    fn remove(&mut self, free: Resources, capacity: Resources) {
        self.free_millicores -= u128::from(free.millicores);
        self.free_memory_mib -= u128::from(free.memory_mib);
        self.millicores -= u128::from(capacity.millicores);
        self.memory_mib -= u128::from(capacity.memory_mib);
    }

    /// Whether half of the processor capacity and of the memory is free.
    fn is_half_free(&self) -> bool {
        self.free_millicores * 2 >= self.millicores && self.free_memory_mib * 2 >= self.memory_mib
    }
}

/// The capacity as of the last update.
#[derive(Debug, Default)]
pub struct FreeCapacity {
    /// By worker index; `None` for removed workers.
    counted: Vec<Option<Counted>>,
    /// The workers that accept tasks, with their free processor capacity in millicores, those with
    /// the most first.
    by_free: Vec<(u64, WorkerIndex)>,
    /// The number of these workers by free memory in MiB.
    by_memory: BTreeMap<u64, u32>,
    /// The number of these workers by free accelerators.
    by_accelerators: BTreeMap<u32, u32>,
    sums: OpenSums,
    services: Vec<ServiceCapacity>,
    /// Workers whose limit of tasks changes with time alone.
    paused: Vec<WorkerIndex>,
}

/// What an update found.
#[derive(Debug, Default)]
pub struct CapacityChange {
    /// Workers that accept tasks and have more free than before, or did not accept any.
    pub freed: Vec<WorkerIndex>,
    /// The number of workers that were visited.
    pub visits: usize,
}

impl FreeCapacity {
    /// Takes over the changes of the workers since the last update.
    pub fn update(&mut self, workers: &mut Workers, now: Millis) -> CapacityChange {
        let mut changed = workers.take_changed();
        changed.append(&mut self.paused);
        changed.sort_unstable();
        changed.dedup();
        let mut change = CapacityChange {
            freed: Vec::new(),
            visits: changed.len(),
        };
        for index in changed {
            let worker = workers.get(index);
            if worker.is_some_and(|worker| worker.health.changes_after(now)) {
                self.paused.push(index);
            }
            if self.update_worker(index, worker, now) {
                change.freed.push(index);
            }
        }
        change
    }

    /// Takes over a worker. Returns whether more is free there than before.
    fn update_worker(
        &mut self,
        index: WorkerIndex,
        worker: Option<&WorkerView>,
        now: Millis,
    ) -> bool {
        let position = index.position();
        if self.counted.len() <= position {
            self.counted.resize(position + 1, None);
        }
        let before = self.counted[position];
        let after = worker.map(|worker| Counted {
            service: self.service(&worker.record.service),
            capacity: worker.record.capacity,
            open: worker.accepts_tasks(now).then(|| worker.free()),
        });
        // Most replies of workers leave their free capacity as it was.
        if after == before {
            return false;
        }
        self.counted[position] = after;
        let open_before = before.and_then(|before| before.open);
        let open_after = after.and_then(|after| after.open);
        if let Some(before) = before {
            self.remove(index, &before);
        }
        if let Some(after) = after {
            self.add(index, &after);
        }
        match (open_before, open_after) {
            (_, None) => false,
            (None, Some(_)) => true,
            (Some(before), Some(after)) => !after.fits_in(&before),
        }
    }

    fn add(&mut self, index: WorkerIndex, worker: &Counted) {
        let service = &mut self.services[worker.service];
        service.millicores += u128::from(worker.capacity.millicores);
        service.memory_mib += u128::from(worker.capacity.memory_mib);
        service.accelerators += u64::from(worker.capacity.accelerators);
        let Some(free) = worker.open else {
            return;
        };
        let entry = (free.millicores, index);
        if let Err(position) = self.position(entry) {
            self.by_free.insert(position, entry);
        }
        *self.by_memory.entry(free.memory_mib).or_default() += 1;
        *self.by_accelerators.entry(free.accelerators).or_default() += 1;
        self.sums.add(free, worker.capacity);
        self.services[worker.service]
            .sums
            .add(free, worker.capacity);
    }

    fn remove(&mut self, index: WorkerIndex, worker: &Counted) {
        let service = &mut self.services[worker.service];
        service.millicores -= u128::from(worker.capacity.millicores);
        service.memory_mib -= u128::from(worker.capacity.memory_mib);
        service.accelerators -= u64::from(worker.capacity.accelerators);
        let Some(free) = worker.open else {
            return;
        };
        if let Ok(position) = self.position((free.millicores, index)) {
            self.by_free.remove(position);
        }
        decrement(&mut self.by_memory, free.memory_mib);
        decrement(&mut self.by_accelerators, free.accelerators);
        self.sums.remove(free, worker.capacity);
        self.services[worker.service]
            .sums
            .remove(free, worker.capacity);
    }

    /// The position of a worker in `by_free`, or the one to insert it at.
    fn position(&self, (millicores, index): (u64, WorkerIndex)) -> Result<usize, usize> {
        let order = |(millicores, index): (u64, WorkerIndex)| (u64::MAX - millicores, index);
        let wanted = order((millicores, index));
        self.by_free
            .binary_search_by_key(&wanted, |entry| order(*entry))
    }

    fn service(&mut self, service: &Arc<str>) -> usize {
        let known = self
            .services
            .iter()
            .position(|known| known.service == *service);
        known.unwrap_or_else(|| {
            self.services.push(ServiceCapacity {
                service: service.clone(),
                millicores: 0,
                memory_mib: 0,
                accelerators: 0,
                sums: OpenSums::default(),
            });
            self.services.len() - 1
        })
    }

    /// The workers that accept tasks, with their free processor capacity in millicores, those with
    /// the most first.
    pub fn by_free(&self) -> &[(u64, WorkerIndex)] {
        &self.by_free
    }

    /// The largest free amount of each resource on any worker that accepts tasks.
    pub fn max_free(&self) -> Resources {
        let millicores = self.by_free.first().map(|(millicores, _)| *millicores);
        let memory_mib = self.by_memory.last_key_value().map(|(free, _)| *free);
        let accelerators = self.by_accelerators.last_key_value().map(|(free, _)| *free);
        Resources {
            millicores: millicores.unwrap_or(0),
            memory_mib: memory_mib.unwrap_or(0),
            accelerators: accelerators.unwrap_or(0),
        }
    }

    /// Whether half of the processor capacity and of the memory of the workers that accept tasks is
    /// free.
    pub fn is_half_free(&self) -> bool {
        self.sums.is_half_free()
    }

    /// The same of the workers of one service. Other services may be full at the same time.
    pub fn is_service_half_free(&self, service: &str) -> bool {
        let mut services = self.services.iter();
        let known = services.find(|known| *known.service == *service);
        known.is_some_and(|known| known.sums.is_half_free())
    }

    /// The capacity of all workers of one service.
    pub fn service_amounts(&self, service: &str) -> Amounts {
        let mut services = self.services.iter();
        let known = services.find(|known| *known.service == *service);
        known.map_or(Amounts::default(), |known| Amounts {
            millicores: known.millicores as f64,
            memory_mib: known.memory_mib as f64,
            accelerators: known.accelerators as f64,
        })
    }

    /// The processor capacity of the workers of each service, in millicores.
    pub fn by_service(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        self.services.iter().map(|known| {
            let millicores = u64::try_from(known.millicores).unwrap_or(u64::MAX);
            (&known.service, millicores)
        })
    }
}

/// Counts one worker less at a value.
fn decrement<T: Ord + Copy>(counts: &mut BTreeMap<T, u32>, value: T) {
    if let Some(count) = counts.get_mut(&value) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&value);
        }
    }
}
