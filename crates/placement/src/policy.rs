//! The placement policies for each kind of job, and what they share.

pub(crate) mod batch;
pub(crate) mod gang;
pub(crate) mod service;
pub(crate) mod urgent;

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::decision::Decisions;
use crate::decision::Placement;
use crate::job::Job;
use crate::job::WaitReason;
use crate::placer::Placer;
use crate::quota::TeamId;
use crate::search::Request;
use crate::search::SearchResult;
use crate::view::JobPolicy;

/// The fields of a job that a scheduling pass needs, copied so that the placer can be changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobSnapshot {
    pub(crate) id: JobId,
    pub(crate) team: TeamId,
    pub(crate) policy: JobPolicy,
    pub(crate) priority: Priority,
    pub(crate) need: Resources,
    /// The end of a task that starts now, by the 90th percentile of its run-time estimate.
    pub(crate) pessimistic_end: Millis,
}

impl Placer {
    fn snapshot(&self, job: &Job) -> JobSnapshot {
        JobSnapshot {
            id: job.id,
            team: job.team,
            policy: job.policy,
            priority: job.priority,
            need: job.need,
            pessimistic_end: self.pessimistic_end(job, self.now),
        }
    }

    /// Tries to place the waiting tasks of a job and returns how much of the budget was used.
    pub(crate) fn place_job(&mut self, id: JobId, budget: usize, out: &mut Decisions) -> usize {
        let free_generation = self.workers.free_generation;
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        // No worker gained free capacity since the last failed search for the job.
        if job.failed_at_generation == free_generation || !job.is_startable() {
            return 0;
        }
        let snapshot = self.snapshot(job);
        match snapshot.policy {
            JobPolicy::Gang { .. } => self.place_gang(&snapshot, out),
            _ if snapshot.priority == Priority::Urgent => self.place_urgent(&snapshot, budget, out),
            JobPolicy::Service => {
                self.place_independent_tasks(&snapshot, budget, out, Placer::find_spread)
            }
            JobPolicy::Batch { .. } => {
                self.place_independent_tasks(&snapshot, budget, out, Placer::find_batch)
            }
        }
    }

    /// Places waiting tasks one by one until the search for one fails.
    fn place_independent_tasks(
        &mut self,
        job: &JobSnapshot,
        budget: usize,
        out: &mut Decisions,
        find: fn(&mut Placer, &JobSnapshot, TaskId) -> SearchResult,
    ) -> usize {
        let mut used = 0;
        while used < budget {
            let Some(task) = self.next_waiting(job.id) else {
                break;
            };
            if self.is_over_quota(job, 1) {
                break;
            }
            // The memo holds searches that excluded reserved capacity, which the holder of a
            // reservation may use.
            if !self.has_reservation(job.id)
                && self
                    .memo
                    .covers(self.workers.free_generation, &job.need, job.pessimistic_end)
            {
                self.record_unplaced(job, WaitReason::NoCapacity);
                break;
            }
            used += 1;
            match find(self, job, task) {
                SearchResult::Worker(slot) => self.place(job, task, slot, out),
                found => {
                    self.record_search_failure(job, found);
                    break;
                }
            }
        }
        used
    }

    fn next_waiting(&self, job: JobId) -> Option<TaskId> {
        self.jobs.get(&job)?.waiting.front().copied()
    }

    /// Whether `tasks` more tasks exceed the quota of the team. If so, records the wait reason.
    pub(crate) fn is_over_quota(&mut self, job: &JobSnapshot, tasks: u32) -> bool {
        if !self.config.mechanisms.quota {
            return false;
        }
        let whole = job.need.checked_mul(tasks).unwrap_or(job.need);
        let Some(kind) = self.quotas.limiting(job.team, &whole) else {
            return false;
        };
        if let Some(job) = self.jobs.get_mut(&job.id) {
            job.reason = WaitReason::Quota(kind);
        }
        true
    }

    /// Records a failed search in the memo and as the job's wait reason.
    pub(crate) fn record_search_failure(&mut self, job: &JobSnapshot, found: SearchResult) {
        self.memo
            .add(self.workers.free_generation, &job.need, job.pessimistic_end);
        let reason = match found {
            SearchResult::Reserved(holder) => WaitReason::Reserved { holder },
            SearchResult::Worker(_) | SearchResult::NoCapacity => WaitReason::NoCapacity,
        };
        self.record_unplaced(job, reason);
    }

    /// Records why the job's tasks could not be placed, and updates its position in the queue.
    pub(crate) fn record_unplaced(&mut self, job: &JobSnapshot, reason: WaitReason) {
        let free_generation = self.workers.free_generation;
        if let Some(job) = self.jobs.get_mut(&job.id) {
            job.failed_at_generation = free_generation;
            job.reason = reason;
        }
        self.reposition(job.id);
    }

    /// Places a task on the worker in `slot`.
    pub(crate) fn place(
        &mut self,
        job: &JobSnapshot,
        task: TaskId,
        slot: usize,
        out: &mut Decisions,
    ) {
        let Some(worker) = self.workers.get(slot).map(|worker| worker.id) else {
            return;
        };
        self.record_start(slot, &job.need, job.pessimistic_end, job.id);
        self.start_task(task, worker);
        out.placements.push(Placement {
            job: job.id,
            task,
            worker,
        });
    }

    /// Searches without the workers on which the task failed, and falls back to all workers if that
    /// finds none.
    pub(crate) fn find_avoiding_failed(
        &mut self,
        job: &JobSnapshot,
        task: TaskId,
        mut find: impl FnMut(&mut Placer, &Request<'_>) -> SearchResult,
    ) -> SearchResult {
        let failed_workers = self
            .tasks
            .get(&task)
            .map(|task| task.failed_workers.clone());
        let failed_workers = failed_workers.unwrap_or_default();
        let mut request = Request {
            need: job.need,
            pessimistic_end: job.pessimistic_end,
            avoid: &failed_workers,
            job: job.id,
            respect_reservation: true,
        };
        let found = find(self, &request);
        if matches!(found, SearchResult::Worker(_)) || failed_workers.is_empty() {
            return found;
        }
        request.avoid = &[];
        find(self, &request)
    }
}
