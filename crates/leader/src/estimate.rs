//! Estimates of how many tasks fit, for plans and drains. The placer decides later and
//! independently, so in a plan the numbers only tell the operator what to expect.

use sapphirepost_state::State;
use sapphirepost_state::jobs::Job;
use sapphirepost_state::workers::Contact;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;

/// The unreserved capacity of a set of workers, by worker.
#[derive(Clone, Debug)]
pub(crate) struct FreeCapacity {
    workers: Vec<(WorkerId, Resources)>,
}

impl FreeCapacity {
    /// The free capacity of each worker that accepts tasks.
    pub(crate) fn of(state: &State) -> FreeCapacity {
        let workers = state
            .workers()
            .iter()
            .filter(|(_, worker)| worker.accepts_tasks())
            .map(|(id, worker)| (id, worker.free()))
            .collect();
        FreeCapacity { workers }
    }

    pub(crate) fn without(mut self, id: WorkerId) -> FreeCapacity {
        self.workers.retain(|(known, _)| *known != id);
        self
    }

    /// How many tasks fit in total, at most `limit`.
    pub(crate) fn count(&self, resources: &Resources, limit: u32) -> u32 {
        let mut count = 0u64;
        for (_, free) in &self.workers {
            count += copies_that_fit(free, resources);
            if count >= u64::from(limit) {
                return limit;
            }
        }
        count as u32
    }

    /// Reserves capacity for one task on the first worker that has enough, and returns the worker.
    pub(crate) fn reserve(&mut self, resources: &Resources) -> Option<WorkerId> {
        let (id, free) = self
            .workers
            .iter_mut()
            .find(|(_, free)| resources.fits_in(free))?;
        *free = free.saturating_sub(resources);
        Some(*id)
    }

    /// Reserves capacity for all tasks of a gang, counting what its tasks hold on these
    /// workers as free. Reserves nothing and returns `false` if they do not all fit.
    pub(crate) fn reserve_gang(&mut self, state: &State, job: &Job) -> bool {
        let mut trial = self.clone();
        let resources = job.spec.resources;
        let mut wanted = 0;
        for task in job.tasks.iter().filter_map(|id| state.tasks().get(*id)) {
            if task.is_ended() {
                continue;
            }
            wanted += 1;
            let own = trial
                .workers
                .iter_mut()
                .find(|(id, _)| Some(*id) == task.worker());
            if let Some((_, free)) = own {
                *free = free.checked_add(&resources).unwrap_or(*free);
            }
        }
        let fits = (0..wanted).all(|_| trial.reserve(&resources).is_some());
        if fits {
            *self = trial;
        }
        fits
    }

    /// The resource of which the largest number of workers has too little for one task.
    pub(crate) fn limiting(&self, resources: &Resources) -> ResourceKind {
        most_lacking(self.workers.iter().map(|(_, free)| *free), resources)
    }
}

/// Why a job can never run in this cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InfeasibleCause {
    /// No worker has enough of the resource for one task.
    Task(ResourceKind),
    /// Only `fitting` tasks of a gang fit into the empty cluster.
    Gang {
        fitting: u32,
        limiting: ResourceKind,
    },
    /// The quota of the team is too small for the tasks that must run together.
    Quota(ResourceKind),
}

impl InfeasibleCause {
    pub(crate) fn reason(&self, spec: &JobSpec) -> String {
        match self {
            InfeasibleCause::Task(kind) => format!(
                "no worker has enough {kind} for one task of {} ({})",
                spec.name, spec.resources
            ),
            InfeasibleCause::Gang { fitting, limiting } => format!(
                "the empty cluster holds {fitting} of the {} tasks of {}: too little {limiting}",
                spec.tasks, spec.name
            ),
            InfeasibleCause::Quota(kind) => {
                format!("the quota of {} has too little {kind}", spec.team)
            }
        }
    }
}

/// Why a job could not run even if every worker were empty, or `None` if it could: all tasks of a
/// gang, or one task of any other job, must fit into the cluster and into the quota of the team.
/// Workers declared lost are left out; all others count, whether they accept tasks now or not.
pub(crate) fn infeasible_cause(state: &State, spec: &JobSpec) -> Option<InfeasibleCause> {
    let empty_workers: Vec<(WorkerId, Resources)> = state
        .workers()
        .iter()
        .filter(|(_, worker)| !matches!(worker.contact, Contact::Expired { lost: true, .. }))
        .map(|(id, worker)| (id, worker.spec.capacity))
        .collect();
    let is_gang = matches!(spec.kind, JobKind::Gang { .. });
    let together = if is_gang { spec.tasks } else { 1 };
    let empty_cluster = FreeCapacity {
        workers: empty_workers,
    };
    let fitting = empty_cluster.count(&spec.resources, together);
    if fitting == 0 && together > 0 {
        return Some(InfeasibleCause::Task(
            empty_cluster.limiting(&spec.resources),
        ));
    }
    if fitting < together {
        let limiting = empty_cluster.limiting_together(&spec.resources, together);
        return Some(InfeasibleCause::Gang { fitting, limiting });
    }
    let limit = state
        .quotas()
        .get(&spec.team)
        .and_then(|quota| quota.limit)?;
    let kind = match spec.resources.checked_mul(together) {
        Some(sum) => sum.limiting(&limit),
        None => Some(ResourceKind::Processor),
    };
    kind.map(InfeasibleCause::Quota)
}

impl FreeCapacity {
    /// The resource for which the fewest tasks fit when only that resource is considered.
    fn limiting_together(&self, resources: &Resources, wanted: u32) -> ResourceKind {
        let single_resources = [
            (
                ResourceKind::Processor,
                Resources::new(resources.millicores, 0, 0),
            ),
            (
                ResourceKind::Memory,
                Resources::new(0, resources.memory_mib, 0),
            ),
            (
                ResourceKind::Accelerator,
                Resources::new(0, 0, resources.accelerators),
            ),
        ];
        single_resources
            .into_iter()
            .min_by_key(|(_, one)| self.count(one, wanted))
            .map_or(ResourceKind::Processor, |(kind, _)| kind)
    }
}

fn copies_that_fit(free: &Resources, one: &Resources) -> u64 {
    let ratio = |has: u64, needs: u64| has.checked_div(needs).unwrap_or(u64::from(u32::MAX));
    ratio(free.millicores, one.millicores)
        .min(ratio(free.memory_mib, one.memory_mib))
        .min(ratio(
            u64::from(free.accelerators),
            u64::from(one.accelerators),
        ))
}

fn most_lacking(
    free_by_worker: impl Iterator<Item = Resources>,
    resources: &Resources,
) -> ResourceKind {
    let mut lacking = [0u32; 3];
    for free in free_by_worker {
        lacking[0] += u32::from(resources.millicores > free.millicores);
        lacking[1] += u32::from(resources.memory_mib > free.memory_mib);
        lacking[2] += u32::from(resources.accelerators > free.accelerators);
    }
    let most = lacking.iter().copied().max().unwrap_or(0);
    match lacking.iter().position(|count| *count == most) {
        Some(1) => ResourceKind::Memory,
        Some(2) => ResourceKind::Accelerator,
        _ => ResourceKind::Processor,
    }
}
