//! The public interface of the placement scheduler and its state.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;
use smallvec::SmallVec;

use crate::bitset::SlotSet;
use crate::config::PlacementConfig;
use crate::decision::Decisions;
use crate::decision::InfeasibleCause;
use crate::estimate::Estimates;
use crate::housekeeping::HousekeepingState;
use crate::job::Job;
use crate::job::Stopping;
use crate::job::Task;
use crate::job::TaskState;
use crate::queue::Queue;
use crate::queue::QueueKey;
use crate::quota::Quotas;
use crate::reservation::Reservation;
use crate::search::FailureMemo;
use crate::view::JobPolicy;
use crate::view::JobView;
use crate::view::TaskView;
use crate::view::WorkerView;
use crate::workers::Workers;

/// Decides which waiting task starts on which worker.
///
/// The state is held in memory only. After a change of the leader it is rebuilt from the replicated
/// state through the same methods.
pub struct Placer {
    pub(crate) config: PlacementConfig,
    pub(crate) rng: Pcg64Mcg,
    /// The latest time that a caller passed in; it never goes back.
    pub(crate) now: Millis,
    pub(crate) workers: Workers,
    pub(crate) jobs: FxHashMap<JobId, Job>,
    pub(crate) tasks: FxHashMap<TaskId, Task>,
    pub(crate) quotas: Quotas,
    pub(crate) estimates: Estimates,
    pub(crate) queue: Queue,
    pub(crate) reservations: SmallVec<[Reservation; 2]>,
    /// Jobs whose last feasibility check failed.
    pub(crate) infeasible_jobs: FxHashSet<JobId>,
    /// The value of `Workers::feasibility_generation` when `infeasible_jobs` was last rechecked.
    pub(crate) infeasible_checked_generation: u64,
    /// Tasks in a retry backoff, by the time at which it ends.
    pub(crate) delayed: BinaryHeap<Reverse<(Millis, TaskId)>>,
    /// Cancelled jobs whose waiting tasks are not removed from `tasks` yet.
    pub(crate) cancelled: Vec<Job>,
    /// Batch jobs with a deadline, the earliest first.
    pub(crate) jobs_by_deadline: BTreeSet<(Millis, JobId)>,
    /// Bound tasks that were asked to stop.
    pub(crate) stopping: BTreeSet<TaskId>,
    /// Decisions made between two calls of `decide`, returned by the next one.
    pub(crate) pending: Decisions,
    pub(crate) memo: FailureMemo,
    pub(crate) housekeeping: HousekeepingState,
    /// The page of the queue that is being processed; kept to reuse its allocation.
    pub(crate) page_buffer: Vec<QueueKey>,
    /// Where the searches of the current call of `decide` start: the word of each bucket's slot
    /// set, and the first of equal failure domains.
    pub(crate) rotation: usize,
    /// The worker mask of a search; kept to reuse its allocation.
    pub(crate) scratch_mask: SlotSet,
}

impl Placer {
    /// Creates a placer without workers and jobs. `seed` determines all its random choices.
    pub fn new(config: PlacementConfig, seed: u64) -> Placer {
        Placer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Millis::ZERO,
            workers: Workers::new(config.trial_tasks),
            jobs: FxHashMap::default(),
            tasks: FxHashMap::default(),
            quotas: Quotas::default(),
            estimates: Estimates::new(),
            queue: Queue::default(),
            reservations: SmallVec::new(),
            infeasible_jobs: FxHashSet::default(),
            infeasible_checked_generation: 0,
            delayed: BinaryHeap::new(),
            cancelled: Vec::new(),
            jobs_by_deadline: BTreeSet::new(),
            stopping: BTreeSet::new(),
            pending: Decisions::default(),
            memo: FailureMemo::default(),
            housekeeping: HousekeepingState::default(),
            page_buffer: Vec::new(),
            rotation: 0,
            scratch_mask: SlotSet::default(),
            config,
        }
    }

    /// Adds a worker, or updates a known one, whose tasks stay bound.
    pub fn upsert_worker(&mut self, worker: WorkerView) {
        let id = worker.id;
        let known = self.workers.slot(id).is_some();
        let slot = self.workers.upsert(worker);
        if !known {
            self.adopt_tasks(id, slot);
        }
    }

    /// Allocates resources for tasks that were bound to a worker before the worker was known.
    fn adopt_tasks(&mut self, id: WorkerId, slot: usize) {
        let on_it =
            |task: &Task| matches!(task.state, TaskState::Bound { worker, .. } if worker == id);
        if !self.housekeeping.has_orphans {
            return;
        }
        let tasks = self.tasks.iter().filter(|(_, task)| on_it(task));
        let mut found: Vec<TaskId> = tasks.map(|(&id, _)| id).collect();
        found.sort_unstable();
        for task in found {
            self.allocate_on_worker(slot, task);
            self.update_spread(slot, task, true);
        }
    }

    /// Removes a worker. The caller must release the tasks that are still bound to it.
    pub fn remove_worker(&mut self, worker: WorkerId) {
        let Some(slot) = self.workers.slot(worker) else {
            return;
        };
        self.invalidate_reservations_on(slot);
        let tasks = self.workers.get(slot).map(|worker| worker.tasks.clone());
        for task in tasks.unwrap_or_default() {
            self.housekeeping.has_orphans = true;
            self.update_spread(slot, task, false);
        }
        self.workers.remove(worker);
    }

    /// Sets the quota of a team; `None` removes the limit.
    pub fn set_quota(&mut self, team: &Name, limit: Option<Resources>) {
        self.quotas.set_limit(team, limit);
        self.workers.feasibility_generation += 1;
    }

    /// Adds a job, or updates a known one: new tasks are queued, waiting tasks that are missing
    /// from `job` are removed, and bound tasks stay bound.
    pub fn submit(&mut self, now: Millis, job: JobView) {
        self.advance(now);
        self.admit(job);
    }

    /// Stops placing the tasks of a job. Bound tasks keep their resources until they are released.
    ///
    /// The cost does not depend on the number of tasks: later calls of [`Placer::decide`] remove
    /// the waiting ones in bounded steps.
    pub fn cancel(&mut self, now: Millis, job: JobId) {
        self.advance(now);
        if let Some(job) = self.jobs.remove(&job) {
            self.remove_job_references(&job);
            self.cancelled.push(job);
        }
    }

    /// Records that a task has resources allocated on a worker. A call that matches a placement of
    /// this placer changes nothing. The task's job and the worker may become known later.
    pub fn bind(&mut self, task: TaskId, worker: WorkerId, resources: Resources) {
        self.bind_task(task, worker, resources);
    }

    /// Records that the replicated state requests the stop of a bound task, which a former leader
    /// or the drain of a worker may have decided.
    pub fn record_stop(&mut self, now: Millis, task: TaskId) {
        self.advance(now);
        let state = self.tasks.get(&task).map(|task| task.state);
        if let Some(TaskState::Bound {
            stopping: Stopping::No,
            ..
        }) = state
        {
            self.request_stop(task, Stopping::Recorded);
        }
    }

    /// Checks whether the job could run if all workers were empty and its team used none of its
    /// quota. Returns the reason if it could not.
    pub fn check_feasibility(&self, job: &JobView) -> Result<(), InfeasibleCause> {
        let limit = self.quotas.find(&job.team).and_then(|team| team.limit);
        let gang = match job.policy {
            JobPolicy::Gang { .. } => Some(job.tasks.len() as u32),
            _ => None,
        };
        match self.infeasible_cause(&job.resources, gang, limit.as_ref()) {
            Some(cause) => Err(cause),
            None => Ok(()),
        }
    }

    /// Returns how many of `tasks` tasks fit into the capacity that is free now. It ignores quotas
    /// and reservations and scans all eligible workers; it is meant for plans, not for decisions.
    pub fn count_fitting_tasks(&self, need: Resources, tasks: u32) -> u32 {
        let free = self.workers.eligible.iter();
        let free = free.filter_map(|slot| self.workers.get(slot).map(|worker| worker.free));
        let mut fit = 0;
        for free in free {
            fit += crate::reservation::count_fitting(&free, &need);
            if fit >= tasks {
                return tasks;
            }
        }
        fit
    }

    /// The number of tasks that have resources allocated on a known worker.
    pub fn bound_tasks(&self) -> usize {
        self.workers
            .iter()
            .map(|(_, worker)| worker.tasks.len())
            .sum()
    }

    /// The share of the processors of all workers that bound tasks declare, from 0 to 1.
    pub fn processor_utilization(&self) -> f64 {
        let allocated = self
            .workers
            .iter()
            .map(|(_, worker)| worker.allocated.millicores);
        let allocated: u64 = allocated.sum();
        allocated as f64 / self.workers.total_capacity.millicores.max(1) as f64
    }

    /// The number of jobs with waiting tasks.
    pub fn waiting_jobs(&self) -> usize {
        self.jobs
            .values()
            .filter(|job| !job.waiting.is_empty())
            .count()
    }

    pub(crate) fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
    }

    /// Creates the record of a waiting task.
    pub(crate) fn new_task(job: JobId, need: Resources, view: &TaskView) -> Task {
        Task {
            job: Some(job),
            state: TaskState::Waiting,
            resources: need,
            preemptions: view.preemptions,
            started: view.started,
            failures: 0,
            failed_workers: Default::default(),
            hold: None,
            stops_until: Millis::ZERO,
            charged_team: None,
        }
    }
}
