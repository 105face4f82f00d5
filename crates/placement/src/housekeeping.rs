//! Periodic work that is spread over scheduling passes: each pass does a bounded part.

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;

use crate::decision::Decisions;
use crate::decision::LateWarning;
use crate::free_index::amounts;
use crate::job::Job;
use crate::job::TaskState;
use crate::placer::Placer;
use crate::queue::QueueClass;
use crate::queue::QueueKey;
use crate::view::JobPolicy;

/// The number of workers that one pass reviews.
const WORKERS_PER_PASS: usize = 16;

/// The number of jobs that each of the deadline checks reviews in one pass.
const JOBS_PER_PASS: usize = 16;

/// The number of tasks of cancelled jobs that one pass removes.
const PURGED_TASKS_PER_PASS: usize = 1_024;

/// The progress of the sweeps over workers and jobs, and related state.
#[derive(Default)]
pub(crate) struct HousekeepingState {
    next_worker: usize,
    next_running: Option<(Millis, JobId)>,
    next_waiting: Option<QueueKey>,
    /// The estimated time that the whole cluster needs for the waiting tasks visited so far in the
    /// current sweep.
    work_ahead_ms: f64,
    /// The earliest time at which reservations are maintained again.
    pub(crate) next_reservation: Millis,
    /// Whether tasks were ever bound to a worker that was not known or was removed.
    pub(crate) has_orphans: bool,
}

impl Placer {
    pub(crate) fn run_housekeeping(&mut self, out: &mut Decisions) {
        self.purge_cancelled();
        self.sweep_workers(out);
        self.sweep_running(out);
        self.sweep_waiting(out);
    }

    fn purge_cancelled(&mut self) {
        let mut budget = PURGED_TASKS_PER_PASS;
        while budget > 0 {
            let Some(mut job) = self.cancelled.pop() else {
                return;
            };
            if let Some(key) = job.queue_key.take() {
                self.queue.remove(&key);
            }
            if let JobPolicy::Batch {
                deadline: Some(deadline),
                ..
            } = job.policy
            {
                self.jobs_by_deadline.remove(&(deadline, job.id));
            }
            let count = job.waiting.len().min(budget);
            for task in job.waiting.drain(..count).collect::<Vec<TaskId>>() {
                self.remove_task(task);
            }
            // A job without waiting tasks counts as one task, so that the removal of many cancelled
            // jobs is spread over passes as well.
            budget -= count.max(1);
            if !job.waiting.is_empty() {
                self.cancelled.push(job);
            }
        }
    }

    fn sweep_workers(&mut self, out: &mut Decisions) {
        for _ in 0..WORKERS_PER_PASS.min(self.workers.slot_count()) {
            let slot = self.housekeeping.next_worker % self.workers.slot_count();
            self.housekeeping.next_worker = slot + 1;
            self.review_usage(slot, &mut out.throttles);
            self.review_health(slot, &mut out.health_changes);
        }
    }

    /// Warns about jobs with a deadline whose running tasks are expected to end after it.
    fn sweep_running(&mut self, out: &mut Decisions) {
        let from = self.housekeeping.next_running.unwrap_or_default();
        let page: Vec<(Millis, JobId)> = self
            .jobs_by_deadline
            .range(from..)
            .take(JOBS_PER_PASS)
            .copied()
            .collect();
        self.housekeeping.next_running = match page.len() < JOBS_PER_PASS {
            true => None,
            false => page.last().map(|&(deadline, job)| (deadline, job.next())),
        };
        for (deadline, id) in page {
            let Some(job) = self.jobs.get(&id).filter(|job| !job.warned_late) else {
                continue;
            };
            let expected_end = self.expected_end_of_bound(job);
            if expected_end > deadline {
                self.warn_late(id, expected_end, deadline, out);
            }
        }
    }

    fn expected_end_of_bound(&self, job: &Job) -> Millis {
        let Some(estimate) = self.estimate_of(job) else {
            return Millis::ZERO;
        };
        let tasks = job.bound.iter().filter_map(|task| self.tasks.get(task));
        let ends = tasks.filter_map(|task| match task.state {
            TaskState::Bound { started, .. } => Some((started + estimate.median_ms).max(self.now)),
            TaskState::Waiting | TaskState::Delayed => None,
        });
        ends.max().unwrap_or_default()
    }

    /// Warns about waiting jobs that are expected to miss their deadline, taking into account the
    /// work that is queued before them. Urgent jobs and services are skipped.
    fn sweep_waiting(&mut self, out: &mut Decisions) {
        let from = self.housekeeping.next_waiting.unwrap_or(QueueKey {
            class: QueueClass::Service,
            order: u64::MAX,
            job: JobId(u32::MAX),
        });
        let mut page = std::mem::take(&mut self.page_buffer);
        self.queue.page(Some(from), JOBS_PER_PASS, &mut page);
        for key in &page {
            self.review_waiting(key, out);
        }
        self.housekeeping.next_waiting = match page.len() < JOBS_PER_PASS {
            true => None,
            false => page.last().copied(),
        };
        if self.housekeeping.next_waiting.is_none() {
            self.housekeeping.work_ahead_ms = 0.0;
        }
        self.page_buffer = page;
    }

    fn review_waiting(&mut self, key: &QueueKey, out: &mut Decisions) {
        // The queue still has entries of jobs that were cancelled or started meanwhile.
        let Some(job) = self
            .jobs
            .get(&key.job)
            .filter(|job| !job.waiting.is_empty())
        else {
            return;
        };
        let Some(estimate) = self.estimate_of(job) else {
            return;
        };
        let share = self.share_of_cluster(job);
        let expected_end = self.now + self.housekeeping.work_ahead_ms as u64 + estimate.median_ms;
        self.housekeeping.work_ahead_ms +=
            share * job.waiting.len() as f64 * estimate.median_ms as f64;
        if let JobPolicy::Batch {
            deadline: Some(deadline),
            ..
        } = job.policy
            && !job.warned_late
            && expected_end > deadline
        {
            self.warn_late(key.job, expected_end, deadline, out);
        }
    }

    /// The share of the cluster's capacity that one task needs, of the resource for which this
    /// share is the largest.
    fn share_of_cluster(&self, job: &Job) -> f64 {
        let pairs = amounts(&job.need)
            .into_iter()
            .zip(amounts(&self.workers.total_capacity));
        let shares = pairs.map(|(need, have)| need as f64 / have.max(1) as f64);
        shares.fold(0.0, f64::max)
    }

    fn warn_late(
        &mut self,
        id: JobId,
        expected_end: Millis,
        deadline: Millis,
        out: &mut Decisions,
    ) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.warned_late = true;
        }
        out.late_warnings.push(LateWarning {
            job: id,
            expected_end,
            deadline,
        });
    }
}
