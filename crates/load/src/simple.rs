//! Simple placement rules: the baselines of the experiments.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_types::Resources;

use crate::clusters::Cluster;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The first worker with room, by a scan.
    FirstFit,
    /// A random worker with room, by a scan.
    Random,
    /// The worker with the least room left, by a scan.
    BestFit,
}

/// Free room of workers.
#[derive(Clone)]
pub struct SimpleCluster {
    capacity: Vec<Resources>,
    free: Vec<Resources>,
    rule: Rule,
    rng: Pcg64Mcg,
}

impl SimpleCluster {
    /// An empty cluster.
    pub fn new(cluster: &Cluster, rule: Rule, seed: u64) -> SimpleCluster {
        let capacity: Vec<Resources> = cluster.views().iter().map(|view| view.capacity).collect();
        SimpleCluster {
            free: capacity.clone(),
            capacity,
            rule,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes room for a task and returns the worker.
    pub fn place(&mut self, need: &Resources) -> Option<usize> {
        let worker = match self.rule {
            Rule::FirstFit => self.free.iter().position(|free| need.fits_in(free)),
            Rule::Random => self.random_fit(need),
            Rule::BestFit => self.best_fit(need),
        }?;
        self.free[worker] = self.free[worker].checked_sub(need)?;
        Some(worker)
    }

    fn random_fit(&mut self, need: &Resources) -> Option<usize> {
        let count = self.free.len();
        let start = self.rng.random_range(0..count);
        let stride = 2 * self.rng.random_range(0..count) + 1;
        // A start and a stride give a random order cheaply; the scan after it covers strides that
        // share a factor with the number of workers.
        let order = (0..count).map(|step| (start + step * stride) % count);
        let mut order = order.chain(0..count);
        order.find(|&worker| need.fits_in(&self.free[worker]))
    }

    fn best_fit(&self, need: &Resources) -> Option<usize> {
        let workers = 0..self.free.len();
        let fitting = workers.filter(|&worker| need.fits_in(&self.free[worker]));
        let left = |&worker: &usize| {
            let left = self.free[worker].saturating_sub(need);
            let capacity = &self.capacity[worker];
            left.millicores * 1_000 / capacity.millicores.max(1)
                + left.memory_mib * 1_000 / capacity.memory_mib.max(1)
                + u64::from(left.accelerators)
        };
        fitting.min_by_key(left)
    }

    /// Gives the room of a task back.
    pub fn free(&mut self, worker: usize, need: &Resources) {
        let free = &mut self.free[worker];
        *free = free.checked_add(need).unwrap_or(*free);
    }
}
