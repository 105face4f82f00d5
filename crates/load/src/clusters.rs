//! Clusters that the experiments simulate, and the distributions of task sizes on them.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_placement::WorkerMode;
use sapphirepost_placement::WorkerView;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;

const MIB_PER_GIB: u64 = 1_024;

/// Size of a cluster and of its tasks.
#[derive(Clone, Copy, Debug)]
pub struct Cluster {
    /// Prefix of the metric names in reports.
    pub name: &'static str,
    /// Number of workers.
    pub workers: u32,
    /// Number of failure domains.
    pub failure_domains: u32,
    /// Number of workers in each rack.
    pub workers_per_rack: u32,
    /// Capacity of a worker that has no accelerators.
    pub capacity: Resources,
    /// Accelerators in the whole cluster. A worker has [`ACCELERATORS_PER_WORKER`] or none.
    pub accelerators: u32,
    /// The largest batch task takes the processors of a worker divided by this.
    pub largest_task_divisor: u64,
}

/// The cluster of a cooperative of climbing walls.
pub const COOPERATIVE: Cluster = Cluster {
    name: "cooperative",
    workers: 50,
    failure_domains: 3,
    workers_per_rack: 8,
    capacity: Resources::new(64_000, 256 * MIB_PER_GIB, 0),
    accelerators: 0,
    largest_task_divisor: 4,
};

/// The cluster of an assay laboratory.
pub const LABORATORY: Cluster = Cluster {
    name: "laboratory",
    workers: 50,
    failure_domains: 4,
    workers_per_rack: 6,
    capacity: Resources::new(32_000, 128 * MIB_PER_GIB, 0),
    accelerators: 0,
    largest_task_divisor: 4,
};

/// The largest cluster that the design has to support in the next two years.
pub const DESIGN: Cluster = Cluster {
    name: "design",
    workers: 800,
    failure_domains: 9,
    workers_per_rack: 8,
    capacity: Resources::new(64_000, 256 * MIB_PER_GIB, 0),
    accelerators: 1_800,
    // 5,500 running tasks are seven for each worker, so tasks are larger than in small clusters.
    largest_task_divisor: 2,
};

const ACCELERATORS_PER_WORKER: u32 = 8;

impl Cluster {
    /// Returns the same kind of cluster with another number of workers. The number of accelerators
    /// is scaled in proportion and rounded up to whole workers.
    pub fn scaled(&self, workers: u32) -> Cluster {
        let accelerators = self.accelerators * workers / self.workers;
        Cluster {
            workers,
            accelerators: accelerators.next_multiple_of(ACCELERATORS_PER_WORKER),
            ..*self
        }
    }

    /// Returns the workers, assigned to the failure domains in round-robin order.
    pub fn views(&self) -> Vec<WorkerView> {
        (0..self.workers).map(|id| self.view(id)).collect()
    }

    fn view(&self, id: u32) -> WorkerView {
        let domain = id % self.failure_domains;
        let rack = id / self.failure_domains / self.workers_per_rack;
        let with_accelerators = self.accelerators / ACCELERATORS_PER_WORKER;
        // The workers with accelerators are spread evenly over the IDs and thus over the failure
        // domains.
        let before = u64::from(id) * u64::from(with_accelerators) / u64::from(self.workers);
        let after = u64::from(id + 1) * u64::from(with_accelerators) / u64::from(self.workers);
        let accelerators = if after > before {
            ACCELERATORS_PER_WORKER
        } else {
            0
        };
        WorkerView {
            id: WorkerId(id),
            failure_domain: name(&format!("fd{domain}")),
            rack: name(&format!("rack{rack}")),
            capacity: Resources {
                accelerators,
                ..self.capacity
            },
            mode: WorkerMode::Ready,
        }
    }

    /// Returns the total capacity of all workers.
    pub fn total(&self) -> Resources {
        self.views().iter().fold(Resources::ZERO, |sum, view| {
            sum.checked_add(&view.capacity).unwrap_or(sum)
        })
    }

    /// Draws the resources of a batch task. The processors are at most a quarter of the largest
    /// task for 60 % of the tasks, and at most half of it for another 30 %. Memory per core is
    /// between half and twice that of the workers. In a cluster with accelerators, 8 % of the tasks
    /// need one to four of them.
    pub fn batch_task(&self, rng: &mut Pcg64Mcg) -> Resources {
        let cores = self.capacity.millicores / 1_000 / self.largest_task_divisor;
        let largest = match rng.random_range(0..100) {
            0..60 => cores / 4,
            60..90 => cores / 2,
            _ => cores,
        };
        let millicores = rng.random_range(1..=largest * 4) * 250;
        let mut task = self.with_memory(millicores, rng);
        if self.accelerators > 0 && rng.random_range(0..100) < 8 {
            task.accelerators = rng.random_range(1..=4);
        }
        task
    }

    /// Draws the resources of a task of a service: half a core to four cores.
    pub fn service_task(&self, rng: &mut Pcg64Mcg) -> Resources {
        let millicores = rng.random_range(1..=8) * 500;
        self.with_memory(millicores, rng)
    }

    fn with_memory(&self, millicores: u64, rng: &mut Pcg64Mcg) -> Resources {
        let per_core_mib = self.capacity.memory_mib * 1_000 / self.capacity.millicores;
        let factor = 2f64.powf(rng.random_range(-1.0..1.0));
        let memory_mib = (millicores as f64 / 1_000.0 * per_core_mib as f64 * factor) as u64;
        Resources::new(millicores, memory_mib.next_multiple_of(64), 0)
    }
}

/// Converts a text that is known to be a valid name; panics if it is not.
pub fn name(text: &str) -> Name {
    Name::new(text).expect("the experiments use valid names")
}
