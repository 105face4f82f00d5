//! The clusters of the experiments and the sizes of their tasks.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_placement::WorkerMode;
use sapphirepost_placement::WorkerView;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;

/// MiB in a GiB.
const GIB: u64 = 1_024;

/// One kind of cluster.
#[derive(Clone, Copy, Debug)]
pub struct Cluster {
    /// The name in reports.
    pub name: &'static str,
    /// Workers.
    pub workers: u32,
    /// Failure domains.
    pub domains: u32,
    /// Workers to a rack.
    pub per_rack: u32,
    /// Capacity of a worker without accelerators.
    pub capacity: Resources,
    /// Accelerators in the whole cluster, eight to a worker.
    pub accelerators: u32,
    /// The largest batch task is a worker divided by this.
    pub largest_divisor: u64,
}

/// The cooperative of climbing walls.
pub const COOPERATIVE: Cluster = Cluster {
    name: "cooperative",
    workers: 50,
    domains: 3,
    per_rack: 8,
    capacity: Resources::new(64_000, 256 * GIB, 0),
    accelerators: 0,
    largest_divisor: 4,
};

/// The assay laboratory.
pub const LABORATORY: Cluster = Cluster {
    name: "laboratory",
    workers: 50,
    domains: 4,
    per_rack: 6,
    capacity: Resources::new(32_000, 128 * GIB, 0),
    accelerators: 0,
    largest_divisor: 4,
};

/// The design scale of the next two years.
pub const DESIGN: Cluster = Cluster {
    name: "design",
    workers: 800,
    domains: 9,
    per_rack: 8,
    capacity: Resources::new(64_000, 256 * GIB, 0),
    accelerators: 1_800,
    // At 5,500 running tasks a worker has seven, so tasks are larger than in small clusters.
    largest_divisor: 2,
};

const ACCELERATORS_PER_WORKER: u32 = 8;

impl Cluster {
    /// The same kind of cluster with another number of workers.
    pub fn scaled(&self, workers: u32) -> Cluster {
        let accelerators = self.accelerators * workers / self.workers;
        Cluster {
            workers,
            accelerators: accelerators.next_multiple_of(ACCELERATORS_PER_WORKER),
            ..*self
        }
    }

    /// The workers, in turn over the failure domains.
    pub fn views(&self) -> Vec<WorkerView> {
        (0..self.workers).map(|id| self.view(id)).collect()
    }

    fn view(&self, id: u32) -> WorkerView {
        let domain = id % self.domains;
        let rack = id / self.domains / self.per_rack;
        let with_accelerators = self.accelerators / ACCELERATORS_PER_WORKER;
        // Spread evenly over the ids, and so over the failure domains.
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

    /// All that the workers have.
    pub fn total(&self) -> Resources {
        self.views().iter().fold(Resources::ZERO, |sum, view| {
            sum.checked_add(&view.capacity).unwrap_or(sum)
        })
    }

    /// The size of a batch task: six of ten are at most a quarter, and three at most half of the
    /// largest. Memory per core varies around that of the workers.
    pub fn batch_task(&self, rng: &mut Pcg64Mcg) -> Resources {
        let cores = self.capacity.millicores / 1_000 / self.largest_divisor;
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

    /// The size of a task of a service.
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

/// A name of a known form.
pub fn name(text: &str) -> Name {
    Name::new(text).expect("the experiments use valid names")
}
