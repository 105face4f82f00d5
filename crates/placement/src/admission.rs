//! Submission, update and removal of jobs, and their position in the queue.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Priority;
use sapphirepost_types::TaskId;

use crate::estimate::Estimate;
use crate::job::Job;
use crate::job::TaskState;
use crate::job::WaitReason;
use crate::placer::Placer;
use crate::policy::batch;
use crate::queue::QueueClass;
use crate::queue::QueueKey;
use crate::view::JobPolicy;
use crate::view::JobView;

impl Placer {
    pub(crate) fn admit(&mut self, view: JobView) {
        let id = view.id;
        match self.jobs.contains_key(&id) {
            true => self.replace_job(&view),
            false => self.add_job(&view),
        }
        for task in &view.tasks {
            self.admit_task(&view, task);
        }
        if let JobPolicy::Batch {
            deadline: Some(deadline),
            ..
        } = view.policy
        {
            self.jobs_by_deadline.insert((deadline, id));
        }
        self.enqueue(id);
        self.remove_if_ended(id);
    }

    fn add_job(&mut self, view: &JobView) {
        let team = self.quotas.id(&view.team);
        let job = Job {
            id: view.id,
            team,
            name: view.name.clone(),
            series: self.estimates.series(team, &view.name),
            policy: view.policy,
            priority: view.priority,
            need: view.resources,
            checkpoint_cost_ms: view.checkpoint_cost_ms,
            submitted: view.submitted,
            waiting: VecDeque::new(),
            bound: Vec::new(),
            delayed: 0,
            queue_key: None,
            reason: WaitReason::Queued,
            infeasible: None,
            failed_at_generation: 0,
            checked_at_generation: 0,
            warned_late: false,
            tasks_by_domain: FxHashMap::default(),
            tasks_by_rack: FxHashMap::default(),
            failed_workers: Default::default(),
            succeeded: false,
        };
        self.jobs.insert(view.id, job);
    }

    fn replace_job(&mut self, view: &JobView) {
        let wanted: FxHashSet<TaskId> = view.tasks.iter().map(|task| task.id).collect();
        let Some(job) = self.jobs.get_mut(&view.id) else {
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
            self.jobs_by_deadline.remove(&(deadline, view.id));
        }
        job.policy = view.policy;
        job.priority = view.priority;
        job.need = view.resources;
        job.checkpoint_cost_ms = view.checkpoint_cost_ms;
        job.failed_at_generation = 0;
        job.checked_at_generation = 0;
        job.infeasible = None;
        self.infeasible_jobs.remove(&view.id);
        let unwanted = job
            .waiting
            .iter()
            .copied()
            .filter(|task| !wanted.contains(task));
        for task in unwanted.collect::<Vec<TaskId>>() {
            self.remove_task(task);
        }
    }

    fn admit_task(&mut self, view: &JobView, task: &crate::view::TaskView) {
        let Some(known) = self.tasks.get_mut(&task.id) else {
            let record = Placer::new_task(view.id, view.resources, task);
            self.tasks.insert(task.id, record);
            if let Some(job) = self.jobs.get_mut(&view.id) {
                job.waiting.push_back(task.id);
            }
            return;
        };
        known.preemptions = known.preemptions.max(task.preemptions);
        match known.state {
            TaskState::Bound { .. } if known.job.is_none() => {
                known.job = Some(view.id);
                self.adopt_bound_task(view.id, task);
            }
            TaskState::Bound { .. } => {}
            TaskState::Waiting | TaskState::Delayed => known.resources = view.resources,
        }
    }

    /// Puts a job with waiting tasks into the queue, unless it is queued already.
    pub(crate) fn enqueue(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.queue_key.is_some() || job.waiting.is_empty() {
            return;
        }
        let key = self.key_of(job);
        self.queue.insert(key);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.queue_key = Some(key);
        }
    }

    /// Computes the queue key of a job from its current estimate.
    pub(crate) fn key_of(&self, job: &Job) -> QueueKey {
        let (class, order) = match job.policy {
            _ if job.priority == Priority::Urgent => (QueueClass::Urgent, job.submitted.0),
            JobPolicy::Service => (QueueClass::Service, job.submitted.0),
            JobPolicy::Gang { .. } => (QueueClass::Gang, job.submitted.0),
            JobPolicy::Batch {
                deadline,
                run_time_ms,
            } => {
                let estimate = self.estimates.estimate(job.series, run_time_ms);
                let position = batch::position(job.submitted, deadline, self.now, &estimate);
                (position.0, position.1.0)
            }
        };
        QueueKey {
            class,
            order,
            job: job.id,
        }
    }

    /// Updates the position of a queued job after its estimate or the time changed.
    pub(crate) fn reposition(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (old, new) = (job.queue_key, self.key_of(job));
        if old == Some(new) || old.is_none() {
            return;
        }
        if let Some(old) = old {
            self.queue.remove(&old);
        }
        self.queue.insert(new);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.queue_key = Some(new);
        }
    }

    /// Removes the reservation of a job that ended or was cancelled, and its mark as infeasible, in
    /// a time that does not depend on its tasks. Its entry in the queue is left to
    /// `remove_if_ended` or, after a cancellation, to `purge_cancelled`.
    pub(crate) fn remove_job_references(&mut self, job: &Job) {
        self.infeasible_jobs.remove(&job.id);
        self.remove_reservation(job.id);
    }

    /// Removes a job that has no tasks left.
    pub(crate) fn remove_if_ended(&mut self, id: JobId) {
        if !self.jobs.get(&id).is_some_and(Job::has_ended) {
            return;
        }
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        self.remove_job_references(&job);
        if let Some(key) = job.queue_key {
            self.queue.remove(&key);
        }
        if let JobPolicy::Batch {
            deadline: Some(deadline),
            ..
        } = job.policy
        {
            self.jobs_by_deadline.remove(&(deadline, id));
        }
    }

    /// Removes a task that has no resources allocated.
    pub(crate) fn remove_task(&mut self, id: TaskId) {
        let Some(task) = self.tasks.remove(&id) else {
            return;
        };
        if let Some(hold) = task.hold {
            self.release_hold(&hold);
        }
        let Some(job) = task.job.and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        match task.state {
            TaskState::Waiting => job.waiting.retain(|&waiting| waiting != id),
            TaskState::Delayed => job.delayed -= 1,
            TaskState::Bound { .. } => job.bound.retain(|&bound| bound != id),
        }
    }

    /// The run-time estimate of one task of a job; `None` for a service.
    pub(crate) fn estimate_of(&self, job: &Job) -> Option<Estimate> {
        let declared_ms = job.policy.run_time_ms()?;
        Some(self.estimates.estimate(job.series, declared_ms))
    }

    /// The end of a task of the job that started at `started`, by the 90th percentile of its
    /// run-time estimate; `u64::MAX` for a service.
    pub(crate) fn pessimistic_end(&self, job: &Job, started: Millis) -> Millis {
        match self.estimate_of(job) {
            Some(estimate) => started + estimate.pessimistic_ms,
            None => Millis(u64::MAX),
        }
    }
}
