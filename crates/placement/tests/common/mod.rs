//! A model of a small cluster on a virtual clock, which checks the decisions of the placer.
//!
//! The checks share no code with the placer: they add up the resources of running tasks and compare
//! them with capacities and quotas, and the starts of a gang with its size.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_placement::Decisions;
use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::JobView;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_placement::Placer;
use sapphirepost_placement::TaskEnd;
use sapphirepost_placement::TaskView;
use sapphirepost_placement::WorkerMode;
use sapphirepost_placement::WorkerView;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

pub struct Running {
    pub job: JobId,
    pub worker: WorkerId,
    pub ends_at: Millis,
    stops_at: Option<Millis>,
    fails: bool,
}

pub struct JobModel {
    pub view: JobView,
    pub actual_ms: u64,
    pub unfinished: BTreeSet<TaskId>,
    pub first_start: Option<Millis>,
    pub cancelled: bool,
}

pub struct Cluster {
    pub placer: Placer,
    pub now: Millis,
    pub rng: Pcg64Mcg,
    pub workers: BTreeMap<WorkerId, WorkerView>,
    pub jobs: BTreeMap<JobId, JobModel>,
    pub running: BTreeMap<TaskId, Running>,
    pub quotas: BTreeMap<Name, Resources>,
    /// Workers on which every task fails.
    pub failing_workers: BTreeSet<WorkerId>,
    pub preemptions: BTreeMap<TaskId, u32>,
    pub decisions: Decisions,
    pub failed_starts: u32,
    pub violations: Vec<String>,
    next_task: u32,
}

pub fn name(text: &str) -> Name {
    text.parse().unwrap()
}

impl Cluster {
    pub fn new(config: PlacementConfig, seed: u64) -> Cluster {
        Cluster {
            placer: Placer::new(config, seed),
            now: Millis(0),
            rng: Pcg64Mcg::seed_from_u64(seed),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            quotas: BTreeMap::new(),
            failing_workers: BTreeSet::new(),
            preemptions: BTreeMap::new(),
            decisions: Decisions::default(),
            failed_starts: 0,
            violations: Vec::new(),
            next_task: 0,
        }
    }

    pub fn add_workers(&mut self, domains: u32, racks: u32, each: u32, capacity: Resources) {
        for position in 0..domains * racks * each {
            let domain = position / (racks * each);
            let rack = position / each % racks;
            self.put_worker(WorkerView {
                id: WorkerId(position),
                failure_domain: name(&format!("fd{domain}")),
                rack: name(&format!("r{rack}")),
                capacity,
                mode: WorkerMode::Ready,
            });
        }
    }

    pub fn put_worker(&mut self, view: WorkerView) {
        self.workers.insert(view.id, view.clone());
        self.placer.upsert_worker(view);
    }

    pub fn set_quota(&mut self, team: &str, limit: Resources) {
        self.quotas.insert(name(team), limit);
        self.placer.set_quota(&name(team), Some(limit));
    }

    /// Creates the view of a new job with defaults: normal priority, team `team`, no checkpoints.
    pub fn view(&mut self, policy: JobPolicy, tasks: u32, resources: Resources) -> JobView {
        let id = JobId(self.jobs.len() as u32);
        let first = self.next_task;
        self.next_task += tasks;
        JobView {
            id,
            name: name(&format!("job-{id}")),
            team: name("team"),
            policy,
            priority: Priority::Normal,
            resources,
            checkpoint_cost_ms: None,
            submitted: self.now,
            tasks: (first..self.next_task)
                .map(|id| TaskView::new(TaskId(id)))
                .collect(),
        }
    }

    /// Submits a job whose tasks run for `actual_ms`, whatever its declared run time.
    pub fn submit(&mut self, view: JobView, actual_ms: u64) -> JobId {
        let id = view.id;
        let model = JobModel {
            view: view.clone(),
            actual_ms,
            unfinished: view.tasks.iter().map(|task| task.id).collect(),
            first_start: None,
            cancelled: false,
        };
        self.jobs.insert(id, model);
        self.placer.submit(self.now, view);
        id
    }

    pub fn cancel(&mut self, id: JobId) {
        self.placer.cancel(self.now, id);
        self.jobs.get_mut(&id).unwrap().cancelled = true;
        for running in self
            .running
            .values_mut()
            .filter(|running| running.job == id)
        {
            running.stops_at = Some(self.now + 100);
        }
    }

    /// Advances the clock, ends the tasks that are due, runs a scheduling pass, and checks its
    /// decisions.
    pub fn step(&mut self, step_ms: u64, budget: usize) {
        self.now = self.now + step_ms;
        let due = self.running.iter().filter(|(_, running)| {
            running.ends_at <= self.now || running.stops_at.is_some_and(|at| at <= self.now)
        });
        for task in due.map(|(&task, _)| task).collect::<Vec<_>>() {
            self.end(task);
        }
        let decisions = self.placer.decide(self.now, budget);
        self.apply(decisions);
    }

    pub fn run(&mut self, duration_ms: u64, step_ms: u64) {
        let until = self.now + duration_ms;
        while self.now < until {
            self.step(step_ms, 200);
        }
    }

    fn end(&mut self, task: TaskId) {
        let running = self.running.remove(&task).unwrap();
        let job = self.jobs.get_mut(&running.job).unwrap();
        let end = if job.cancelled {
            TaskEnd::Cancelled
        } else if running.stops_at.is_some_and(|at| at <= self.now) {
            TaskEnd::Stopped
        } else if running.fails {
            TaskEnd::Failed
        } else {
            job.unfinished.remove(&task);
            TaskEnd::Finished
        };
        self.placer.release(self.now, task, end);
    }

    /// Releases a task early, for instance because its worker is lost.
    pub fn release(&mut self, task: TaskId, end: TaskEnd) {
        self.running.remove(&task);
        self.placer.release(self.now, task, end);
    }

    fn apply(&mut self, decisions: Decisions) {
        for placement in &decisions.placements {
            self.start(placement.job, placement.task, placement.worker);
        }
        for stop in &decisions.stops {
            let Some(running) = self.running.get_mut(&stop.task) else {
                continue;
            };
            running.stops_at = Some(self.now + 200);
            let by_urgent = !matches!(stop.cause, sapphirepost_placement::StopCause::GangBroken);
            let count = self.preemptions.entry(stop.task).or_default();
            *count += u32::from(by_urgent);
            if *count > 3 {
                self.violations
                    .push(format!("{} preempted {count} times", stop.task));
            }
        }
        for faulty in &decisions.faulty_tasks {
            self.jobs
                .get_mut(&faulty.job)
                .unwrap()
                .unfinished
                .remove(&faulty.task);
        }
        self.check_gangs(&decisions);
        self.check_capacity();
        self.check_quotas();
        self.decisions = decisions;
    }

    fn start(&mut self, job_id: JobId, task: TaskId, worker: WorkerId) {
        let job = self.jobs.get_mut(&job_id).unwrap();
        job.first_start.get_or_insert(self.now);
        if job.cancelled || !job.unfinished.contains(&task) {
            self.violations.push(format!(
                "{task} started although its job no longer wants it"
            ));
        }
        if self
            .workers
            .get(&worker)
            .is_none_or(|view| view.mode != WorkerMode::Ready)
        {
            self.violations.push(format!(
                "{task} started on {worker}, which accepts no tasks"
            ));
        }
        let fails = self.failing_workers.contains(&worker);
        self.failed_starts += u32::from(fails);
        let runs_ms = match (fails, job.view.policy) {
            (true, _) => 50,
            (false, JobPolicy::Service) => u64::MAX,
            (false, _) => job.actual_ms,
        };
        let running = Running {
            job: job_id,
            worker,
            ends_at: self.now + runs_ms,
            stops_at: None,
            fails,
        };
        if self.running.insert(task, running).is_some() {
            self.violations.push(format!("{task} runs twice"));
        }
    }

    /// Checks that a gang's placements in one pass are all of its unfinished tasks.
    fn check_gangs(&mut self, decisions: &Decisions) {
        let mut starts: BTreeMap<JobId, usize> = BTreeMap::new();
        for placement in &decisions.placements {
            *starts.entry(placement.job).or_default() += 1;
        }
        for (id, count) in starts {
            let job = &self.jobs[&id];
            let whole = job.unfinished.len();
            if matches!(job.view.policy, JobPolicy::Gang { .. }) && count != whole {
                self.violations
                    .push(format!("{count} of {whole} tasks of gang {id} started"));
            }
        }
    }

    fn check_capacity(&mut self) {
        let mut used: BTreeMap<WorkerId, Resources> = BTreeMap::new();
        for running in self.running.values() {
            let need = self.jobs[&running.job].view.resources;
            let sum = used.entry(running.worker).or_default();
            *sum = sum.checked_add(&need).unwrap();
        }
        for (worker, sum) in used {
            let fits = self
                .workers
                .get(&worker)
                .is_none_or(|view| sum.fits_in(&view.capacity));
            if !fits {
                self.violations
                    .push(format!("{worker} is overcommitted: {sum}"));
            }
        }
    }

    fn check_quotas(&mut self) {
        let mut used: BTreeMap<&Name, Resources> = BTreeMap::new();
        for running in self.running.values() {
            let view = &self.jobs[&running.job].view;
            let sum = used.entry(&view.team).or_default();
            *sum = sum.checked_add(&view.resources).unwrap();
        }
        for (team, sum) in used {
            if self
                .quotas
                .get(team)
                .is_some_and(|limit| !sum.fits_in(limit))
            {
                self.violations
                    .push(format!("team {team} exceeds its quota: {sum}"));
            }
        }
    }

    /// Returns the numbers of a job's running tasks by failure domain and by rack.
    pub fn spread(&self, job: JobId) -> (BTreeMap<Name, u32>, BTreeMap<(Name, Name), u32>) {
        let mut domains = BTreeMap::new();
        let mut racks = BTreeMap::new();
        for running in self.running.values().filter(|running| running.job == job) {
            let view = &self.workers[&running.worker];
            *domains.entry(view.failure_domain.clone()).or_default() += 1;
            let rack = (view.failure_domain.clone(), view.rack.clone());
            *racks.entry(rack).or_default() += 1;
        }
        (domains, racks)
    }

    pub fn unfinished_jobs(&self) -> Vec<JobId> {
        let unfinished = self.jobs.iter().filter(|(_, job)| {
            !job.cancelled && job.view.policy != JobPolicy::Service && !job.unfinished.is_empty()
        });
        unfinished.map(|(&id, _)| id).collect()
    }

    pub fn assert_no_violations(&self, seed: u64) {
        assert!(
            self.violations.is_empty(),
            "seed {seed}: {:?}",
            self.violations
        );
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }
}
