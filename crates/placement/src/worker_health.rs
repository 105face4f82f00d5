//! Worker health: quarantine, probation, and throttling by reported usage.

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::decision::Health;
use crate::decision::HealthChange;
use crate::decision::Throttle;
use crate::job::TaskState;
use crate::placer::Placer;
use crate::view::JobPolicy;

/// The share of its declared processors that a throttled task keeps, in percent.
const THROTTLE_PERCENT: u8 = 50;

/// The minimum time between two throttles on one worker, because reported usage lags behind.
const THROTTLE_INTERVAL_MS: u64 = 10_000;

impl Placer {
    /// Records the usage that a worker reported.
    ///
    /// Usage above the declared resources reduces the worker's free capacity. Usage below them does
    /// not increase it, since reports lag behind.
    pub fn report_usage(&mut self, now: Millis, worker: WorkerId, usage: Resources) {
        self.advance(now);
        let Some(slot) = self.workers.slot(worker) else {
            return;
        };
        let now = self.now;
        self.workers
            .change(slot, |worker| worker.usage = Some((now, usage)));
    }

    /// Discards an outdated usage report, and chooses a task to throttle on an overused worker.
    pub(crate) fn review_usage(&mut self, slot: usize, out: &mut Vec<Throttle>) {
        let Some((worker, usage)) = self.workers.get(slot).and_then(|w| Some((w, w.usage?))) else {
            return;
        };
        if self.now.since(usage.0) > self.config.usage_validity_ms {
            self.workers.change(slot, |worker| worker.usage = None);
            return;
        }
        let overused = usage.1.millicores > worker.capacity.millicores;
        if !overused || self.now < worker.throttle_after {
            return;
        }
        let id = worker.id;
        let candidates = worker
            .tasks
            .iter()
            .filter_map(|&task| self.throttle_rank(task));
        let Some((_, task)) = candidates.max() else {
            return;
        };
        out.push(Throttle {
            task,
            worker: id,
            percent: THROTTLE_PERCENT,
        });
        let after = self.now + THROTTLE_INTERVAL_MS;
        self.workers
            .change(slot, |worker| worker.throttle_after = after);
    }

    /// The rank of a task for throttling; the highest is throttled. Normal priority comes before
    /// urgent, batch jobs before others, and then the task with the most processors.
    fn throttle_rank(&self, id: TaskId) -> Option<((bool, bool, u64), TaskId)> {
        let task = self.tasks.get(&id)?;
        let job = self.jobs.get(&task.job?)?;
        let normal = job.priority == Priority::Normal;
        let batch = matches!(job.policy, JobPolicy::Batch { .. });
        Some(((normal, batch, task.resources.millicores), id))
    }

    /// Records the success of a task on a worker.
    pub(crate) fn record_success(&mut self, worker: WorkerId) {
        let Some(slot) = self.workers.slot(worker) else {
            return;
        };
        self.workers.change(slot, |worker| {
            worker.health.add_success();
            if worker.health.state == Health::Probation {
                worker.health.trial_successes += 1;
            }
        });
        self.end_probation(slot);
    }

    fn end_probation(&mut self, slot: usize) {
        let needed = self.config.trial_tasks;
        let Some(worker) = self.workers.get(slot) else {
            return;
        };
        if worker.health.state != Health::Probation || worker.health.trial_successes < needed {
            return;
        }
        let id = worker.id;
        self.workers.change(slot, |worker| {
            worker.health.state = Health::Healthy;
            worker.health.quarantine_count = 0;
            worker.health.clear_failures();
        });
        self.pending.health_changes.push(HealthChange {
            worker: id,
            health: Health::Healthy,
        });
    }

    /// Records the failure of a task for its job and its worker. If the job is faulty, its failures
    /// do not count against workers; otherwise the worker may be quarantined.
    pub(crate) fn record_failed_task(&mut self, id: JobId, task: TaskId, worker: WorkerId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.failed_workers.contains(&worker) {
            job.failed_workers.push(worker);
        }
        if self.is_faulty_job(id) {
            self.discard_failures_of_job(id);
            return;
        }
        let Some(slot) = self.workers.slot(worker) else {
            return;
        };
        let now = self.now;
        self.workers
            .change(slot, |worker| worker.health.add_failure(now, task, id));
        self.quarantine_if_faulty(slot, id);
    }

    /// Whether tasks of the job failed on several distinct workers and none succeeded.
    fn is_faulty_job(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let limit = usize::from(self.config.faulty_task_min_workers);
        job.failed_workers.len() >= limit && !self.has_success(id)
    }

    /// Whether a task of the job finished successfully or has run for at least `trial_run_ms`.
    fn has_success(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let ran_long = |task: &TaskId| match self.tasks.get(task).map(|task| task.state) {
            Some(TaskState::Bound { started, .. }) => {
                self.now.since(started) >= self.config.trial_run_ms
            }
            _ => false,
        };
        job.succeeded || job.bound.iter().any(ran_long)
    }

    fn discard_failures_of_job(&mut self, id: JobId) {
        let workers = self.jobs.get(&id).map(|job| job.failed_workers.clone());
        for worker in workers.unwrap_or_default() {
            if let Some(slot) = self.workers.slot(worker) {
                self.workers
                    .change(slot, |worker| worker.health.discard_failures_of(id));
            }
        }
    }

    /// Quarantines a worker on which enough distinct tasks failed, the last one of job `id`.
    fn quarantine_if_faulty(&mut self, slot: usize, id: JobId) {
        let Some(worker) = self.workers.get(slot) else {
            return;
        };
        let (tasks, jobs) = worker.health.distinct();
        // Failures of a single job indicate a faulty worker rather than a faulty job only if the
        // job succeeds elsewhere.
        let conclusive = jobs >= 2 || self.has_success(id);
        let faulty = match worker.health.state {
            Health::Healthy => tasks >= self.config.faulty_worker_min_tasks && conclusive,
            Health::Probation => true,
            Health::Quarantined => false,
        };
        if !faulty || !self.config.mechanisms.quarantine || !self.may_quarantine(slot) {
            return;
        }
        let doublings = worker.health.quarantine_count.min(16);
        let quarantine_ms = self.config.quarantine_ms << doublings;
        let until = self.now + quarantine_ms.min(self.config.quarantine_max_ms);
        let id = worker.id;
        self.workers.change(slot, |worker| {
            worker.health.state = Health::Quarantined;
            worker.health.quarantine_count += 1;
            worker.health.quarantined_until = until;
        });
        self.invalidate_reservations_on(slot);
        self.pending.health_changes.push(HealthChange {
            worker: id,
            health: Health::Quarantined,
        });
    }

    /// Whether quarantining this worker keeps within `max_quarantined_percent`. Workers on
    /// probation count as well, so that the limit also holds if their trials fail.
    fn may_quarantine(&self, slot: usize) -> bool {
        let others = self.workers.iter().filter(|&(other, _)| other != slot);
        let unhealthy = others.filter(|(_, worker)| worker.health.state != Health::Healthy);
        let unhealthy = unhealthy.count() + 1;
        unhealthy * 100 <= self.workers.len() * self.config.max_quarantined_percent
    }

    /// Ends a quarantine that has expired, or a probation in which enough tasks ran for long.
    pub(crate) fn review_health(&mut self, slot: usize, out: &mut Vec<HealthChange>) {
        let Some(worker) = self.workers.get(slot) else {
            return;
        };
        let id = worker.id;
        match worker.health.state {
            Health::Healthy => {}
            Health::Quarantined if self.now >= worker.health.quarantined_until => {
                self.workers.change(slot, |worker| {
                    worker.health.state = Health::Probation;
                    worker.health.trial_successes = 0;
                    worker.health.quarantined_until = Millis::ZERO;
                });
                out.push(HealthChange {
                    worker: id,
                    health: Health::Probation,
                });
            }
            Health::Quarantined => {}
            Health::Probation => self.count_long_running_trials(slot),
        }
    }

    fn count_long_running_trials(&mut self, slot: usize) {
        let Some(worker) = self.workers.get(slot) else {
            return;
        };
        let ran_long = |task: &&TaskId| match self.tasks.get(*task).map(|task| task.state) {
            Some(TaskState::Bound { started, .. }) => {
                self.now.since(started) >= self.config.trial_run_ms
            }
            _ => false,
        };
        let long_running = worker.tasks.iter().filter(ran_long).count() as u32;
        if long_running < self.config.trial_tasks {
            return;
        }
        self.workers
            .change(slot, |worker| worker.health.trial_successes = long_running);
        self.end_probation(slot);
    }
}
