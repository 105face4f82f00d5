//! Urgent jobs: placed first, and allowed to preempt other tasks.
//!
//! The search first excludes reserved capacity, then includes it. If both fail, the tasks that are
//! cheapest to preempt are stopped, chosen among a sample of the workers, and the capacity for the
//! urgent task is held on their worker until they have stopped.

use rand::seq::IndexedRandom;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::resources::ResourceKind;
use smallvec::SmallVec;

use crate::decision::Decisions;
use crate::decision::StopCause;
use crate::decision::TaskStop;
use crate::job::Hold;
use crate::job::Stopping;
use crate::job::TaskState;
use crate::job::WaitReason;
use crate::placer::Placer;
use crate::policy::JobSnapshot;
use crate::search::Request;
use crate::search::SearchResult;
use crate::view::JobPolicy;
use crate::workers::Worker;

/// The number of workers whose tasks are compared for one preemption.
const WORKER_SAMPLE: usize = 48;

/// The number of waiting tasks of one job that one pass considers at most.
const MAX_TASKS_PER_PASS: usize = 256;

/// The cost of preempting a task that cannot write a checkpoint, in addition to the run time that
/// it loses.
const NO_CHECKPOINT_COST_MS: u64 = 3_600_000;

/// A task that may be preempted.
#[derive(Clone, Copy)]
struct Victim {
    task: TaskId,
    /// The checkpoint time, or the penalty and the lost run time of a task without checkpoints.
    cost_ms: u64,
    resources: Resources,
    checkpoint_cost_ms: Option<u64>,
}

/// The tasks to stop on one worker so that one urgent task fits; none if the tasks that already
/// stop there suffice.
struct Preemption {
    slot: usize,
    cost_ms: u64,
    /// How long the tasks that already stop there may still take.
    stopping_ms: u64,
    victims: SmallVec<[Victim; 8]>,
}

impl Placer {
    /// Places the waiting tasks of an urgent job, or preempts other tasks for them. Returns how
    /// much of the budget was used.
    pub(crate) fn place_urgent(
        &mut self,
        job: &JobSnapshot,
        budget: usize,
        out: &mut Decisions,
    ) -> usize {
        let waiting = self.jobs.get(&job.id).map(|job| &job.waiting);
        let waiting = waiting.into_iter().flatten().copied();
        let tasks: Vec<TaskId> = waiting.take(MAX_TASKS_PER_PASS.min(budget)).collect();
        let mut used = 0;
        for task in tasks {
            if self.is_over_quota(job, 1) {
                break;
            }
            used += 1;
            if !self.place_urgent_task(job, task, out) {
                break;
            }
        }
        used
    }

    /// Places one task, on the worker with the capacity held for it if there is one, or preempts
    /// other tasks for it. Returns whether the next task of the job should be tried as well.
    fn place_urgent_task(&mut self, job: &JobSnapshot, task: TaskId, out: &mut Decisions) -> bool {
        let hold = self.tasks.get(&task).and_then(|task| task.hold);
        if let Some(hold) = hold {
            return self.place_on_held_worker(job, task, &hold, out);
        }
        match self.find_urgent(job, task) {
            SearchResult::Worker(slot) => {
                self.place(job, task, slot, out);
                true
            }
            found => self.preempt_for(job, task, found, out),
        }
    }

    fn find_urgent(&mut self, job: &JobSnapshot, task: TaskId) -> SearchResult {
        let spread = job.policy == JobPolicy::Service;
        let found = match spread {
            true => self.find_spread(job, task),
            false => self.find_batch(job, task),
        };
        match found {
            SearchResult::Reserved(_) => self.find(&Request {
                need: job.need,
                pessimistic_end: job.pessimistic_end,
                avoid: &[],
                job: job.id,
                respect_reservation: false,
            }),
            found => found,
        }
    }

    /// Places the task on the worker with the capacity held for it, once the preempted tasks have
    /// stopped. Releases the held capacity on a timeout or when the worker becomes ineligible.
    fn place_on_held_worker(
        &mut self,
        job: &JobSnapshot,
        task: TaskId,
        hold: &Hold,
        out: &mut Decisions,
    ) -> bool {
        let slot = self.workers.slot(hold.worker);
        let eligible = slot.filter(|&slot| self.workers.eligible.contains(slot));
        let worker = eligible.and_then(|slot| self.workers.get(slot));
        let fits = worker.is_some_and(|worker| job.need.fits_in(&worker.free_with(&hold.amount)));
        if let (true, Some(slot)) = (fits, eligible) {
            self.place(job, task, slot, out);
            return true;
        }
        if eligible.is_some() && self.now < hold.until {
            return true;
        }
        self.release_hold(hold);
        if let Some(task) = self.tasks.get_mut(&task) {
            task.hold = None;
        }
        true
    }

    /// Requests the stop of the tasks that are cheapest to preempt, and holds capacity for the
    /// urgent task on their worker.
    fn preempt_for(
        &mut self,
        job: &JobSnapshot,
        task: TaskId,
        found: SearchResult,
        out: &mut Decisions,
    ) -> bool {
        let preemption = match self.config.mechanisms.preemption {
            true => self.choose_victims(&job.need),
            false => None,
        };
        let Some(preemption) = preemption else {
            self.record_search_failure(job, found);
            return false;
        };
        let Some(worker) = self.workers.get(preemption.slot).map(|worker| worker.id) else {
            return false;
        };
        let mut slowest_ms = preemption.stopping_ms;
        for victim in &preemption.victims {
            slowest_ms = slowest_ms.max(victim.checkpoint_cost_ms.unwrap_or(0));
            self.request_stop(victim.task, Stopping::Preempted);
            let job_of_victim = self.tasks.get(&victim.task).and_then(|task| task.job);
            out.stops.extend(job_of_victim.map(|preempted| TaskStop {
                job: preempted,
                task: victim.task,
                worker,
                checkpoint: victim.checkpoint_cost_ms.is_some(),
                cause: StopCause::Displaced { by: job.id },
            }));
        }
        let until = self.now + slowest_ms + self.config.preemption_timeout_ms;
        let hold = Hold {
            worker,
            amount: job.need,
            until,
        };
        self.add_hold(task, hold);
        if let Some(job) = self.jobs.get_mut(&job.id) {
            job.reason = WaitReason::Preempting;
        }
        true
    }

    /// Marks a bound task as asked to stop, for the given reason.
    pub(crate) fn request_stop(&mut self, id: TaskId, why: Stopping) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        let job = task.job.and_then(|job| self.jobs.get(&job));
        let checkpoint_ms = job.and_then(|job| job.checkpoint_cost_ms).unwrap_or(0);
        if let TaskState::Bound { stopping, .. } = &mut task.state {
            *stopping = why;
            task.stops_until = self.now + checkpoint_ms + self.config.preemption_timeout_ms;
            self.stopping.insert(id);
        }
    }

    /// Chooses the cheapest preemption among a random sample of the eligible workers and those on
    /// which tasks already stop.
    fn choose_victims(&mut self, need: &Resources) -> Option<Preemption> {
        let candidates: Vec<usize> = self.workers.eligible.iter().collect();
        let sample = candidates.choose_multiple(&mut self.rng, WORKER_SAMPLE);
        let mut sample: Vec<usize> = sample.copied().collect();
        sample.extend(self.workers_with_stopping_tasks().take(WORKER_SAMPLE));
        let preemptions = sample.into_iter();
        let preemptions = preemptions.filter_map(|slot| self.victims_on(slot, need));
        preemptions.min_by_key(|preemption| {
            (
                preemption.cost_ms,
                preemption.victims.len(),
                preemption.slot,
            )
        })
    }

    /// The slots of the eligible workers with tasks that were asked to stop and are still expected
    /// to.
    fn workers_with_stopping_tasks(&self) -> impl Iterator<Item = usize> + '_ {
        let tasks = self.stopping.iter().filter_map(|task| self.tasks.get(task));
        let expected = tasks.filter(|task| self.now < task.stops_until);
        let slots = expected.filter_map(|task| match task.state {
            TaskState::Bound { worker, .. } => self.workers.slot(worker),
            TaskState::Waiting | TaskState::Delayed => None,
        });
        slots.filter(|&slot| self.workers.eligible.contains(slot))
    }

    /// Selects tasks on the worker, in ascending order of cost, until their resources and those of
    /// the tasks that already stop there suffice.
    fn victims_on(&self, slot: usize, need: &Resources) -> Option<Preemption> {
        let worker = self.workers.get(slot)?;
        if !need.fits_in(&worker.capacity) {
            return None;
        }
        let mut victims: SmallVec<[Victim; 16]> = worker
            .tasks
            .iter()
            .filter_map(|&task| self.victim(task))
            .collect();
        victims.sort_unstable_by_key(|victim| (victim.cost_ms, victim.task));
        let (stopping, stopping_ms) = self.stopping_on(worker);
        let mut available = worker.free_after(&stopping);
        let mut preemption = Preemption {
            slot,
            cost_ms: stopping_ms,
            stopping_ms,
            victims: SmallVec::new(),
        };
        for victim in victims {
            let Some(kind) = need.limiting(&available) else {
                break;
            };
            if !provides(&victim.resources, kind) {
                continue;
            }
            available = available.checked_add(&victim.resources)?;
            preemption.cost_ms = preemption.cost_ms.saturating_add(victim.cost_ms);
            preemption.victims.push(victim);
        }
        let is_needed = !preemption.victims.is_empty() || !need.fits_in(&worker.free);
        (need.fits_in(&available) && is_needed).then_some(preemption)
    }

    /// The resources of the tasks on the worker that were asked to stop and are still expected to,
    /// and how long the slowest of their checkpoints may still take.
    fn stopping_on(&self, worker: &Worker) -> (Resources, u64) {
        let mut sum = Resources::ZERO;
        let mut slowest_ms = 0;
        let tasks = worker.tasks.iter().filter_map(|task| self.tasks.get(task));
        for task in tasks.filter(|task| self.now < task.stops_until) {
            sum = sum.checked_add(&task.resources).unwrap_or(sum);
            let left_ms = task.stops_until.since(self.now);
            slowest_ms = slowest_ms.max(left_ms);
        }
        let checkpoint_ms = slowest_ms.saturating_sub(self.config.preemption_timeout_ms);
        (sum, checkpoint_ms)
    }

    /// Returns the task with its preemption cost if it may be preempted. Urgent jobs, gangs,
    /// services that cannot write checkpoints, and tasks that are already stopping or reached the
    /// maximum number of preemptions are exempt.
    fn victim(&self, id: TaskId) -> Option<Victim> {
        let task = self.tasks.get(&id)?;
        let job = self.jobs.get(&task.job?)?;
        let TaskState::Bound {
            started,
            stopping: Stopping::No,
            ..
        } = task.state
        else {
            return None;
        };
        let exempt = job.priority == Priority::Urgent
            || job.is_gang()
            || (job.policy == JobPolicy::Service && job.checkpoint_cost_ms.is_none())
            || task.preemptions >= self.config.max_preemptions;
        if exempt {
            return None;
        }
        let lost_ms = || NO_CHECKPOINT_COST_MS.saturating_add(self.now.since(started));
        Some(Victim {
            task: id,
            cost_ms: job.checkpoint_cost_ms.unwrap_or_else(lost_ms),
            resources: task.resources,
            checkpoint_cost_ms: job.checkpoint_cost_ms,
        })
    }
}

fn provides(resources: &Resources, kind: ResourceKind) -> bool {
    match kind {
        ResourceKind::Processor => resources.millicores > 0,
        ResourceKind::Memory => resources.memory_mib > 0,
        ResourceKind::Accelerator => resources.accelerators > 0,
    }
}
