//! The number of replicas of services.
//!
//! Unreachable replicas may still run. They do not count towards the number of replicas, but they
//! are not removed either: additional replicas with their own task IDs replace them, and are
//! removed first when the unreachable ones return.

use sapphirepost_types::JobId;
use sapphirepost_types::TaskId;

use crate::outcome::Change;
use crate::state::State;
use crate::tasks::Phase;
use crate::tasks::Stop;
use crate::tasks::StopReason;
use crate::tasks::Task;

impl State {
    pub(crate) fn add_task(&mut self, job: JobId, task: Task) {
        let id = self.tasks.add(task);
        if let Some(job) = self.jobs.get_mut(job) {
            job.tasks.insert(id);
        }
        self.record_task_change(id);
        self.record_change(Change::Job(job));
    }

    pub(crate) fn remove_task(&mut self, job: JobId, id: TaskId) {
        self.tasks.remove(id);
        if let Some(job) = self.jobs.get_mut(job) {
            job.tasks.remove(&id);
        }
        self.record_task_change(id);
        self.record_change(Change::Job(job));
    }

    /// Adds or removes replicas until a service has the specified number of reachable ones.
    pub(crate) fn adjust_replicas(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if !job.is_service() || !job.is_active() {
            return;
        }
        let target = job.spec.tasks as usize;
        let live: Vec<(TaskId, &Task)> = job
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(*id).map(|task| (*id, task)))
            .filter(|(_, task)| !task.is_surplus())
            .collect();
        let has_unreachable = live.iter().any(|(_, task)| task.unreachable);
        let reachable: Vec<(TaskId, &Task)> = live
            .into_iter()
            .filter(|(_, task)| !task.unreachable)
            .collect();
        if reachable.len() < target {
            for _ in reachable.len()..target {
                self.add_task(id, Task::new(id, has_unreachable, self.clock_unix_ms));
            }
            return;
        }
        let surplus = choose_surplus(reachable, target);
        for task in surplus {
            self.remove_replica(id, task);
        }
        if !has_unreachable {
            self.clear_additional(id);
        }
    }

    /// Makes additional replicas ordinary ones, once no replica of the service is unreachable.
    fn clear_additional(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        for task in &job.tasks {
            if let Some(task) = self.tasks.get_mut(*task) {
                task.additional = false;
            }
        }
    }

    /// Removes a waiting replica at once and requests the stop of a placed one.
    fn remove_replica(&mut self, job: JobId, id: TaskId) {
        let Some(task) = self.tasks.get_mut(id) else {
            return;
        };
        if task.is_waiting() {
            self.remove_task(job, id);
            return;
        }
        task.stop = Some(Stop {
            reason: StopReason::Surplus,
            checkpoint: false,
        });
        self.record_task_change(id);
    }
}

/// Chooses the replicas to remove, in this order: waiting ones, additional ones, those that do not
/// run yet or are being stopped, and the newest.
fn choose_surplus(mut replicas: Vec<(TaskId, &Task)>, target: usize) -> Vec<TaskId> {
    replicas.sort_by_key(|(id, task)| {
        let is_running = matches!(task.phase, Phase::Running(_));
        let is_placed = !task.is_waiting();
        let is_original = !task.additional;
        let is_stable = is_running && task.stop.is_none();
        let age = u32::MAX - id.0;
        (is_placed, is_original, is_stable, age)
    });
    let surplus = replicas.len().saturating_sub(target);
    replicas
        .into_iter()
        .take(surplus)
        .map(|(id, _)| id)
        .collect()
}
