//! A first-fit placement for tests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirepost_leader::placing::Decisions;
use sapphirepost_leader::placing::Displacement;
use sapphirepost_leader::placing::JobPolicy;
use sapphirepost_leader::placing::JobView;
use sapphirepost_leader::placing::Placement;
use sapphirepost_leader::placing::Placing;
use sapphirepost_leader::placing::TaskEnd;
use sapphirepost_leader::placing::WorkerMode;
use sapphirepost_leader::placing::WorkerView;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

/// How many distinct tasks fail on a worker before it is set aside.
const FAILED_TASKS: usize = 3;

#[derive(Default)]
pub struct FirstFit {
    workers: BTreeMap<WorkerId, WorkerView>,
    jobs: BTreeMap<JobId, JobView>,
    job_of: BTreeMap<TaskId, JobId>,
    waiting: BTreeSet<TaskId>,
    bound: BTreeMap<TaskId, (WorkerId, Resources)>,
    quotas: BTreeMap<Name, Resources>,
    displaced: BTreeSet<TaskId>,
    failed: BTreeMap<WorkerId, BTreeSet<TaskId>>,
    set_aside: Option<WorkerId>,
}

impl FirstFit {
    fn free(&self, id: WorkerId) -> Resources {
        let used = self.bound.values().filter(|(worker, _)| *worker == id);
        let used = used.fold(Resources::ZERO, |sum, (_, r)| sum.checked_add(r).unwrap());
        self.workers[&id].capacity.saturating_sub(&used)
    }

    fn is_within_quota(&self, job: &JobView) -> bool {
        let Some(limit) = self.quotas.get(&job.team) else {
            return true;
        };
        let used = self.bound.iter().filter(|(task, _)| {
            let owner = self.job_of.get(task).and_then(|id| self.jobs.get(id));
            owner.is_some_and(|owner| owner.team == job.team)
        });
        let used = used.fold(job.resources, |sum, (_, (_, r))| {
            sum.checked_add(r).unwrap()
        });
        used.fits_in(limit)
    }

    fn find(&self, job: &JobView) -> Option<WorkerId> {
        if !self.is_within_quota(job) {
            return None;
        }
        let open = self
            .workers
            .values()
            .filter(|worker| worker.mode == WorkerMode::Ready && self.set_aside != Some(worker.id));
        open.map(|worker| worker.id)
            .find(|id| job.resources.fits_in(&self.free(*id)))
    }

    fn place(&mut self, job: &JobView, tasks: &[TaskId], is_gang: bool) -> Vec<Placement> {
        let mut placements = Vec::new();
        for task in tasks {
            let Some(worker) = self.find(job) else {
                break;
            };
            self.bound.insert(*task, (worker, job.resources));
            let task = *task;
            placements.push(Placement {
                job: job.id,
                task,
                worker,
            });
        }
        if is_gang && placements.len() < tasks.len() {
            for placement in placements.drain(..) {
                self.bound.remove(&placement.task);
            }
        }
        for placement in &placements {
            self.waiting.remove(&placement.task);
        }
        placements
    }

    fn displace_for(&mut self, job: &JobView) -> Option<Displacement> {
        let (task, _) = self.bound.iter().find(|(task, (worker, resources))| {
            let owner = self.job_of.get(task).and_then(|id| self.jobs.get(id));
            let is_normal = owner.is_some_and(|owner| {
                owner.priority == Priority::Normal
                    && !matches!(owner.policy, JobPolicy::Gang { .. })
                    && owner
                        .tasks
                        .iter()
                        .any(|view| view.id == **task && view.displaced < 3)
            });
            let room = self.free(*worker).checked_add(resources).unwrap();
            let is_open = self.workers[worker].mode == WorkerMode::Ready;
            is_normal && is_open && job.resources.fits_in(&room)
        })?;
        Some(Displacement {
            task: *task,
            checkpoint: true,
        })
    }
}

impl Placing for FirstFit {
    fn upsert_worker(&mut self, worker: WorkerView) {
        self.workers.insert(worker.id, worker);
    }

    fn remove_worker(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
    }

    fn set_quota(&mut self, team: &Name, limit: Option<Resources>) {
        match limit {
            Some(limit) => self.quotas.insert(team.clone(), limit),
            None => self.quotas.remove(team),
        };
    }

    fn submit(&mut self, _now: Millis, job: JobView) {
        self.cancel(Millis::ZERO, job.id);
        for task in &job.tasks {
            self.job_of.insert(task.id, job.id);
            if !self.bound.contains_key(&task.id) {
                self.waiting.insert(task.id);
            }
        }
        self.jobs.insert(job.id, job);
    }

    fn cancel(&mut self, _now: Millis, job: JobId) {
        let job_of = &self.job_of;
        self.waiting.retain(|task| job_of.get(task) != Some(&job));
    }

    fn bind(&mut self, task: TaskId, worker: WorkerId, resources: Resources) {
        self.waiting.remove(&task);
        self.bound.insert(task, (worker, resources));
    }

    fn release(&mut self, _now: Millis, task: TaskId, end: TaskEnd) {
        let freed = self.bound.remove(&task);
        self.displaced.remove(&task);
        match (end, freed) {
            (TaskEnd::Finished | TaskEnd::Cancelled, _) => return,
            (TaskEnd::Failed, Some((worker, _))) => {
                let failed = self.failed.entry(worker).or_default();
                failed.insert(task);
                if failed.len() >= FAILED_TASKS && self.set_aside.is_none() {
                    self.set_aside = Some(worker);
                }
            }
            _ => {}
        }
        self.waiting.insert(task);
    }

    fn report_usage(&mut self, _now: Millis, _worker: WorkerId, _usage: Resources) {}

    fn decide(&mut self, _now: Millis, budget: usize) -> Decisions {
        let mut decisions = Decisions::default();
        decisions
            .set_aside
            .extend(self.set_aside.map(|id| (id, true)));
        let mut jobs: Vec<JobView> = self.jobs.values().cloned().collect();
        jobs.sort_by_key(|job| (job.priority != Priority::Urgent, job.id));
        for job in jobs {
            let ids = job.tasks.iter().map(|task| task.id);
            let waiting: Vec<TaskId> = ids.filter(|id| self.waiting.contains(id)).collect();
            let is_gang = matches!(job.policy, JobPolicy::Gang { .. });
            let placements = self.place(&job, &waiting, is_gang);
            let is_short = placements.len() < waiting.len();
            decisions.placements.extend(placements);
            let may_displace = job.priority == Priority::Urgent && self.displaced.is_empty();
            if is_short
                && may_displace
                && let Some(displacement) = self.displace_for(&job)
            {
                self.displaced.insert(displacement.task);
                decisions.displacements.push(displacement);
            }
            if decisions.placements.len() >= budget {
                break;
            }
        }
        decisions
    }

    fn explain(&self, job: JobId) -> Vec<String> {
        let job_tasks = self.job_of.iter().filter(|(_, owner)| **owner == job);
        let waiting = job_tasks.filter(|(task, _)| self.waiting.contains(task));
        match waiting.count() {
            0 => Vec::new(),
            count => vec![format!("{count} tasks wait for a worker with room")],
        }
    }
}
