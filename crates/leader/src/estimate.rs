//! Estimates of what fits, for plans and drains. The placement decides later; these figures only
//! tell an operator what to expect.

use sapphirepost_state::State;
use sapphirepost_state::jobs::Job;
use sapphirepost_state::workers::Contact;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;

/// The free room of workers that take tasks.
#[derive(Clone, Debug)]
pub(crate) struct FreeRoom {
    workers: Vec<(WorkerId, Resources)>,
}

impl FreeRoom {
    pub(crate) fn of(state: &State) -> FreeRoom {
        let workers = state
            .workers()
            .iter()
            .filter(|(_, worker)| worker.is_open())
            .map(|(id, worker)| (id, worker.free()))
            .collect();
        FreeRoom { workers }
    }

    pub(crate) fn without(mut self, id: WorkerId) -> FreeRoom {
        self.workers.retain(|(known, _)| *known != id);
        self
    }

    /// How many tasks fit, `limit` at most.
    pub(crate) fn count(&self, resources: &Resources, limit: u32) -> u32 {
        let mut count = 0u64;
        for (_, free) in &self.workers {
            count += times(free, resources);
            if count >= u64::from(limit) {
                return limit;
            }
        }
        count as u32
    }

    /// Takes the room of one task from the first worker that has it.
    pub(crate) fn take(&mut self, resources: &Resources) -> Option<WorkerId> {
        let (id, free) = self
            .workers
            .iter_mut()
            .find(|(_, free)| resources.fits_in(free))?;
        *free = free.saturating_sub(resources);
        Some(*id)
    }

    /// Takes the room of a whole gang, counting what its tasks on open workers give back.
    pub(crate) fn take_gang(&mut self, state: &State, job: &Job) -> bool {
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
        let fits = (0..wanted).all(|_| trial.take(&resources).is_some());
        if fits {
            *self = trial;
        }
        fits
    }

    /// The resource that most workers lack for one task.
    pub(crate) fn limiting(&self, resources: &Resources) -> ResourceKind {
        most_frequent(self.workers.iter().map(|(_, free)| *free), resources)
    }
}

/// Why a job can never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Never {
    Task(ResourceKind),
    Gang { hold: u32, limiting: ResourceKind },
    Quota(ResourceKind),
}

impl Never {
    pub(crate) fn reason(&self, spec: &JobSpec) -> String {
        match self {
            Never::Task(kind) => format!(
                "no worker has enough {kind} for one task of {} ({})",
                spec.name, spec.resources
            ),
            Never::Gang { hold, limiting } => format!(
                "the empty cluster holds {hold} of the {} tasks of {}: too little {limiting}",
                spec.tasks, spec.name
            ),
            Never::Quota(kind) => format!("the quota of {} has too little {kind}", spec.team),
        }
    }
}

/// Whether a job can never run in this cluster, with every worker empty.
pub(crate) fn never_fits(state: &State, spec: &JobSpec) -> Option<Never> {
    let empty: Vec<(WorkerId, Resources)> = state
        .workers()
        .iter()
        .filter(|(_, worker)| !matches!(worker.contact, Contact::Expired { lost: true, .. }))
        .map(|(id, worker)| (id, worker.spec.capacity))
        .collect();
    let is_gang = matches!(spec.kind, JobKind::Gang { .. });
    let together = if is_gang { spec.tasks } else { 1 };
    let room = FreeRoom { workers: empty };
    let hold = room.count(&spec.resources, together);
    if hold == 0 && together > 0 {
        return Some(Never::Task(room.limiting(&spec.resources)));
    }
    if hold < together {
        let limiting = room.limiting_together(&spec.resources, together);
        return Some(Never::Gang { hold, limiting });
    }
    let limit = state
        .quotas()
        .get(&spec.team)
        .and_then(|quota| quota.limit)?;
    let kind = match spec.resources.checked_mul(together) {
        Some(sum) => sum.limiting(&limit),
        None => Some(ResourceKind::Processor),
    };
    kind.map(Never::Quota)
}

impl FreeRoom {
    /// The resource of which the workers together hold the fewest tasks.
    fn limiting_together(&self, resources: &Resources, wanted: u32) -> ResourceKind {
        let one_only = [
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
        one_only
            .into_iter()
            .min_by_key(|(_, one)| self.count(one, wanted))
            .map_or(ResourceKind::Processor, |(kind, _)| kind)
    }
}

fn times(free: &Resources, one: &Resources) -> u64 {
    let ratio = |has: u64, needs: u64| has.checked_div(needs).unwrap_or(u64::from(u32::MAX));
    ratio(free.millicores, one.millicores)
        .min(ratio(free.memory_mib, one.memory_mib))
        .min(ratio(
            u64::from(free.accelerators),
            u64::from(one.accelerators),
        ))
}

fn most_frequent(rooms: impl Iterator<Item = Resources>, resources: &Resources) -> ResourceKind {
    let mut lacking = [0u32; 3];
    for room in rooms {
        lacking[0] += u32::from(resources.millicores > room.millicores);
        lacking[1] += u32::from(resources.memory_mib > room.memory_mib);
        lacking[2] += u32::from(resources.accelerators > room.accelerators);
    }
    let most = lacking.iter().copied().max().unwrap_or(0);
    match lacking.iter().position(|count| *count == most) {
        Some(1) => ResourceKind::Memory,
        Some(2) => ResourceKind::Accelerator,
        _ => ResourceKind::Processor,
    }
}
