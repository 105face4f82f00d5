//! Allocation and release of worker resources for tasks.
//!
//! Invariant: for each worker, `allocated` is the sum of the declared resources of the tasks in its
//! `tasks` list, and each of these tasks is `Bound` to it.

use rustc_hash::FxHashMap;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::job::Hold;
use crate::job::Stopping;
use crate::job::Task;
use crate::job::TaskState;
use crate::placer::Placer;
use crate::view::TaskView;

impl Placer {
    pub(crate) fn bind_task(&mut self, id: TaskId, worker: WorkerId, resources: Resources) {
        match self.tasks.get(&id).map(|task| (task.state, task.resources)) {
            Some((TaskState::Bound { worker: at, .. }, held))
                if at == worker && held == resources =>
            {
                return;
            }
            Some((TaskState::Bound { .. }, _)) => {
                self.unbind(id);
            }
            Some((TaskState::Waiting | TaskState::Delayed, _)) => self.dequeue_task(id),
            None => {
                let record = Task {
                    job: None,
                    ..Placer::new_task(JobId(0), resources, &TaskView::new(id))
                };
                self.tasks.insert(id, record);
            }
        }
        if let Some(task) = self.tasks.get_mut(&id) {
            task.resources = resources;
        }
        self.mark_bound(id, worker);
    }

    /// Removes a waiting or delayed task from the lists and counters of its job.
    fn dequeue_task(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get(&id) else {
            return;
        };
        let Some(job) = task.job.and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        match task.state {
            TaskState::Waiting if job.waiting.front() == Some(&id) => {
                job.waiting.pop_front();
            }
            TaskState::Waiting => job.waiting.retain(|&waiting| waiting != id),
            TaskState::Delayed => job.delayed -= 1,
            TaskState::Bound { .. } => {}
        }
    }

    /// Binds a waiting task to a worker and releases the capacity that was held for it.
    pub(crate) fn start_task(&mut self, id: TaskId, worker: WorkerId) {
        self.dequeue_task(id);
        if let Some(hold) = self.tasks.get_mut(&id).and_then(|task| task.hold.take()) {
            self.release_hold(&hold);
        }
        self.mark_bound(id, worker);
    }

    /// Marks a task as bound and accounts for it on its worker, in its job and in its team.
    fn mark_bound(&mut self, id: TaskId, worker: WorkerId) {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        let started = task.started.take().unwrap_or(now);
        task.stops_until = Millis::ZERO;
        task.state = TaskState::Bound {
            worker,
            started,
            pessimistic_end: Millis(u64::MAX),
            stopping: Stopping::No,
        };
        let job = task.job;
        match self.workers.slot(worker) {
            Some(slot) => self.allocate_on_worker(slot, id),
            None => self.housekeeping.has_orphans = true,
        }
        if let Some(job) = job {
            self.account_for_job(job, id, started);
        }
    }

    /// Allocates the resources of a bound task on its worker.
    pub(crate) fn allocate_on_worker(&mut self, slot: usize, id: TaskId) {
        let Some(task) = self.tasks.get(&id) else {
            return;
        };
        let resources = task.resources;
        self.workers.change(slot, |worker| {
            worker.allocated = worker
                .allocated
                .checked_add(&resources)
                .unwrap_or(worker.allocated);
            worker.tasks.push(id);
        });
    }

    /// Adds a bound task to its job, charges it to its team's quota, and estimates its end.
    fn account_for_job(&mut self, id: JobId, task_id: TaskId, started: Millis) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let end = self.pessimistic_end(job, started);
        let team = job.team;
        let Some(task) = self.tasks.get_mut(&task_id) else {
            return;
        };
        let resources = task.resources;
        task.charged_team = Some(team);
        let TaskState::Bound {
            worker,
            started: at,
            pessimistic_end,
            ..
        } = &mut task.state
        else {
            return;
        };
        *at = started;
        *pessimistic_end = end;
        let slot = self.workers.slot(*worker);
        self.quotas.charge(team, &resources);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.bound.push(task_id);
        if let Some(slot) = slot {
            self.update_spread(slot, task_id, true);
        }
    }

    /// Adds a task to its job's counts for the failure domain and the rack of the worker, or
    /// subtracts it.
    pub(crate) fn update_spread(&mut self, slot: usize, task: TaskId, add: bool) {
        let job = self.tasks.get(&task).and_then(|task| task.job);
        let Some(job) = job.and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        let Some(worker) = self.workers.get(slot) else {
            return;
        };
        if add {
            *job.tasks_by_domain.entry(worker.domain).or_default() += 1;
            *job.tasks_by_rack.entry(worker.rack).or_default() += 1;
        } else {
            decrement(&mut job.tasks_by_domain, worker.domain);
            decrement(&mut job.tasks_by_rack, worker.rack);
        }
    }

    /// Accounts in its job for a task that was bound before the job was submitted.
    pub(crate) fn adopt_bound_task(&mut self, job: JobId, view: &TaskView) {
        let started = view.started.unwrap_or(self.now);
        self.account_for_job(job, view.id, started);
    }

    /// Releases the resources of a bound task. The caller must then set the task's state or remove
    /// the task.
    pub(crate) fn unbind(&mut self, id: TaskId) {
        let Some(task) = self.tasks.get_mut(&id) else {
            return;
        };
        let TaskState::Bound { worker, .. } = task.state else {
            return;
        };
        let resources = task.resources;
        let job = task.job;
        self.stopping.remove(&id);
        if let Some(team) = task.charged_team.take() {
            self.quotas.credit(team, &resources);
        }
        let slot = self.workers.slot(worker);
        if let Some(slot) = slot {
            self.deallocate_on_worker(slot, id, &resources);
            self.update_spread(slot, id, false);
        }
        let Some(job) = job.and_then(|job| self.jobs.get_mut(&job)) else {
            return;
        };
        if let Some(position) = job.bound.iter().position(|&bound| bound == id) {
            job.bound.swap_remove(position);
        }
    }

    fn deallocate_on_worker(&mut self, slot: usize, id: TaskId, resources: &Resources) {
        self.workers.change(slot, |worker| {
            let Some(position) = worker.tasks.iter().position(|&bound| bound == id) else {
                return;
            };
            worker.tasks.swap_remove(position);
            worker.allocated = worker.allocated.saturating_sub(resources);
            // The last reported usage still includes the ended task.
            if let Some((_, usage)) = &mut worker.usage {
                *usage = usage.saturating_sub(resources);
            }
        });
    }

    /// Holds capacity on a worker for an urgent task.
    pub(crate) fn add_hold(&mut self, id: TaskId, hold: Hold) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.hold = Some(hold);
        }
        let Some(slot) = self.workers.slot(hold.worker) else {
            return;
        };
        self.workers.change(slot, |worker| {
            worker.held = worker.held.checked_add(&hold.amount).unwrap_or(worker.held);
        });
    }

    /// Releases held capacity.
    pub(crate) fn release_hold(&mut self, hold: &Hold) {
        let Some(slot) = self.workers.slot(hold.worker) else {
            return;
        };
        self.workers.change(slot, |worker| {
            worker.held = worker.held.saturating_sub(&hold.amount);
        });
    }
}

fn decrement(counts: &mut FxHashMap<usize, u32>, key: usize) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
