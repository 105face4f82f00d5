//! Simple placement rules, used as baselines of the experiments.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_types::Resources;

use crate::clusters::Cluster;

/// How a worker is chosen for a task. No rule has an index: each checks one worker after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The first worker with enough free resources.
    FirstFit,
    /// A random worker with enough free resources.
    Random,
    /// The worker with the least free resources after the placement: the sum of the free shares of
    /// its processors and memory in thousandths, plus one for each free accelerator.
    BestFit,
}

/// Free resources of the workers of a simulated cluster.
#[derive(Clone)]
pub struct SimpleCluster {
    capacity: Vec<Resources>,
    free: Vec<Resources>,
    rule: Rule,
    rng: Pcg64Mcg,
}

impl SimpleCluster {
    /// Creates a cluster without tasks. `seed` is used by [`Rule::Random`] only.
    pub fn new(cluster: &Cluster, rule: Rule, seed: u64) -> SimpleCluster {
        let capacity: Vec<Resources> = cluster.views().iter().map(|view| view.capacity).collect();
        SimpleCluster {
            free: capacity.clone(),
            capacity,
            rule,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Allocates resources for a task and returns the index of the worker, or `None` if the task
    /// fits on no worker.
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
        // A random start and stride give a random order without a shuffle. A stride that shares a
        // factor with the number of workers skips some workers; the full scan after it covers them.
        let order = (0..count).map(|step| (start + step * stride) % count);
        let mut order = order.chain(0..count);
        order.find(|&worker| need.fits_in(&self.free[worker]))
    }

    fn best_fit(&self, need: &Resources) -> Option<usize> {
        let workers = 0..self.free.len();
        let fitting = workers.filter(|&worker| need.fits_in(&self.free[worker]));
        let remaining = |&worker: &usize| {
            let remaining = self.free[worker].saturating_sub(need);
            let capacity = &self.capacity[worker];
            remaining.millicores * 1_000 / capacity.millicores.max(1)
                + remaining.memory_mib * 1_000 / capacity.memory_mib.max(1)
                + u64::from(remaining.accelerators)
        };
        fitting.min_by_key(remaining)
    }

    /// Releases the resources that [`SimpleCluster::place`] allocated on `worker` for a task.
    pub fn release(&mut self, worker: usize, need: &Resources) {
        let free = &mut self.free[worker];
        *free = free.checked_add(need).unwrap_or(*free);
    }
}
