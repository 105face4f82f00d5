//! Feasibility checks: whether a job could run if all workers were empty.

use sapphirepost_types::JobId;
use sapphirepost_types::Resources;

use crate::decision::InfeasibleCause;
use crate::decision::InfeasibleJob;
use crate::free_index::amounts;
use crate::job::Job;
use crate::placer::Placer;
use crate::reservation::count_fitting;

impl Placer {
    /// Returns why tasks with these needs, or a gang of `gang` such tasks, cannot run even on an
    /// empty cluster and an unused quota; `None` if they can.
    pub(crate) fn infeasible_cause(
        &self,
        need: &Resources,
        gang: Option<u32>,
        quota: Option<&Resources>,
    ) -> Option<InfeasibleCause> {
        if let Some(cause) = self.infeasible_on_workers(need) {
            return Some(cause);
        }
        let whole = need.checked_mul(gang.unwrap_or(1));
        let whole = whole.unwrap_or(Resources::new(u64::MAX, u64::MAX, u32::MAX));
        if let Some(kind) = quota.and_then(|quota| whole.limiting(quota)) {
            return Some(InfeasibleCause::Quota(kind));
        }
        self.infeasible_as_gang(need, gang?)
    }

    fn infeasible_on_workers(&self, need: &Resources) -> Option<InfeasibleCause> {
        let capacity_counts = &self.workers.capacity_counts;
        if capacity_counts
            .keys()
            .any(|capacity| need.fits_in(capacity))
        {
            return None;
        }
        // Name the resource that no worker has enough of. If each resource alone is sufficient on
        // some worker, name the one that the worker with the fewest shortages lacks.
        let largest = capacity_counts
            .keys()
            .fold(Resources::ZERO, |largest, capacity| largest.max(capacity));
        if let Some(kind) = need.limiting(&largest) {
            return Some(InfeasibleCause::Worker(kind));
        }
        let missing = |capacity: &Resources| {
            let pairs = amounts(need).into_iter().zip(amounts(capacity));
            pairs.filter(|(need, have)| need > have).count()
        };
        let closest = capacity_counts
            .keys()
            .min_by_key(|capacity| (missing(capacity), capacity.millicores, capacity.memory_mib))?;
        need.limiting(closest).map(InfeasibleCause::Worker)
    }

    fn infeasible_as_gang(&self, need: &Resources, tasks: u32) -> Option<InfeasibleCause> {
        let mut fitting = 0u32;
        for (capacity, &workers) in &self.workers.capacity_counts {
            fitting = fitting.saturating_add(count_fitting(capacity, need).saturating_mul(workers));
        }
        if fitting >= tasks {
            return None;
        }
        let whole = need.checked_mul(tasks).unwrap_or(*need);
        let shares = amounts(&whole)
            .into_iter()
            .zip(amounts(&self.workers.total_capacity));
        let shares = shares.map(|(need, have)| need as f64 / have.max(1) as f64);
        let kinds = [
            sapphirepost_types::resources::ResourceKind::Processor,
            sapphirepost_types::resources::ResourceKind::Memory,
            sapphirepost_types::resources::ResourceKind::Accelerator,
        ];
        let largest = kinds
            .into_iter()
            .zip(shares)
            .max_by(|a, b| a.1.total_cmp(&b.1));
        largest.map(|(limiting, _)| InfeasibleCause::Gang { fitting, limiting })
    }

    fn infeasible_cause_of(&self, job: &Job) -> Option<InfeasibleCause> {
        let gang = job.is_gang().then_some(job.waiting.len() as u32);
        let limit = self.quotas.team(job.team).limit.as_ref();
        self.infeasible_cause(&job.need, gang, limit)
    }

    /// Checks the feasibility of a job, at most once for each change of the workers, the quotas or
    /// the job. Adds the job to `out` if it is infeasible for a new cause. Returns whether the job
    /// is feasible.
    pub(crate) fn check_feasible(&mut self, id: JobId, out: &mut Vec<InfeasibleJob>) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        if job.checked_at_generation == self.workers.feasibility_generation {
            return job.infeasible.is_none();
        }
        let cause = self.infeasible_cause_of(job);
        let changed = cause != job.infeasible;
        let changes = self.workers.feasibility_generation;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.checked_at_generation = changes;
            job.infeasible = cause;
            job.failed_at_generation = 0;
        }
        match cause {
            Some(cause) => {
                self.infeasible_jobs.insert(id);
                if changed {
                    out.push(InfeasibleJob { job: id, cause });
                }
            }
            None => {
                self.infeasible_jobs.remove(&id);
            }
        }
        cause.is_none()
    }
}
