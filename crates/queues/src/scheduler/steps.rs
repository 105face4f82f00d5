//! Steps of live jobs as the leader sees them.

use std::collections::BTreeSet;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::Millis;

use crate::command::Placement;
use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::job::Job;
use crate::job::TaskPhase;
use crate::scheduler::Scheduler;
use crate::scheduler::preempt::MadeRoom;
use crate::scheduler::rejections::Rejections;
use crate::scheduler::step_permits::StepPermits;
use crate::scheduler::step_permits::Wanted;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::spec::StepSpec;
use crate::spec::SubmittedSpec;
use crate::state::QueueState;
use crate::table::PermitCost;
use crate::table::Queue;

/// The objective of a job is late, but of use, up to this many times.
pub const LATE_FACTOR: u64 = 3;

/// What a step has from its queue.
#[derive(Clone, Debug)]
pub struct StepQueue {
    /// The service whose workers may run it.
    pub service: Arc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// The cost of permits, if the queue needs them.
    pub permits: Option<PermitCost>,
}

/// One step that has tasks left.
#[derive(Debug)]
pub struct StepView {
    /// The step.
    pub key: StepKey,
    /// The work of the job.
    pub job_spec: Arc<SubmittedSpec>,
    /// The name of the queue.
    pub queue_name: Arc<str>,
    /// What the queue says.
    pub queue: StepQueue,
    /// Whether the job is committed.
    pub is_committed: bool,
    /// Whether the steps that it depends on are done.
    pub is_due: bool,
    /// When the job should be done.
    pub objective: Millis,
    /// When the job is of no more use.
    pub useless: Millis,
    /// The estimated time from the start of the step to the end of the job.
    pub remaining_path_ms: u64,
    /// Tasks that wait, without those whose start is proposed.
    pub waiting: BTreeSet<u32>,
    /// Tasks whose start is proposed.
    pub proposed: BTreeSet<u32>,
    /// Tasks that a worker has.
    pub placed: FxHashMap<u32, (u32, WorkerIndex)>,
    /// Workers on which a run of the step failed or stood still; others are tried first.
    pub avoided: FxHashSet<WorkerIndex>,
    /// Workers that rejected a start.
    pub rejections: Rejections,
    /// How often each task had to give its place to a gang.
    pub displaced: FxHashMap<u32, u32>,
    /// Since when a gang finds no room.
    pub waits_since: Option<Millis>,
    /// Room that was made for a gang.
    pub made_room: MadeRoom,
    /// What the placement policy has answered.
    pub permits: StepPermits,
}

impl StepView {
    /// The step as submitted.
    pub fn spec(&self) -> &StepSpec {
        &self.job_spec.steps[usize::from(self.key.step)]
    }

    /// Whether its queue comes before all others.
    pub fn is_urgent(&self) -> bool {
        self.queue.priority == 0
    }

    /// The estimated processor time of the tasks that wait.
    pub fn waiting_core_ms(&self) -> u64 {
        let spec = self.spec();
        let task_core_ms = spec.resources.millicores * spec.estimate_ms / 1_000;
        self.waiting.len() as u64 * task_core_ms
    }

    /// Whether the step may ever run on a worker.
    pub fn suits(&self, worker: &WorkerView) -> bool {
        let spec = self.spec();
        let has_label = |label: &Arc<str>| worker.record.has_label(label);
        *worker.record.service == *self.queue.service
            && spec.resources.fits_in(&worker.record.capacity)
            && spec.required_label.as_ref().is_none_or(has_label)
    }
}

impl Scheduler {
    /// A job arrived and its commit is under way: what can be asked early is asked. A job that is
    /// sent again meanwhile changes nothing.
    pub fn handle_submission(
        &mut self,
        key: JobKey,
        queue: &Queue,
        spec: &Arc<SubmittedSpec>,
        now: Millis,
    ) {
        if self.job_steps.contains_key(&key) {
            return;
        }
        self.job_steps.insert(key, spec.steps.len() as u16);
        for (step, remaining_path_ms) in spec.remaining_paths_ms().into_iter().enumerate() {
            let step = StepKey {
                job: key,
                step: step as u16,
            };
            let mut view = new_view(step, spec, queue, remaining_path_ms, now);
            if view.spec().after.is_empty() && view.queue.permits.is_some() {
                view.permits.want(Wanted::More, now);
                self.desk.is_dispatch_due = true;
            }
            self.steps.entry(view.key).or_insert(view);
        }
        self.rounds.is_due = true;
    }

    /// The jobs of a queue of which no worker has shown a started task.
    pub fn waiting_jobs(&self, queue: &str) -> u64 {
        let waiting = self
            .jobs_without_progress
            .values()
            .filter(|name| &***name == queue);
        waiting.count() as u64
    }

    /// Adds the steps of a committed job.
    pub(crate) fn add_job(
        &mut self,
        state: &QueueState,
        key: JobKey,
        arrived: Millis,
        is_committed: bool,
    ) {
        let Some(job) = state.job(key).filter(|job| !job.phase.has_ended()) else {
            return;
        };
        self.job_steps.insert(key, job.steps.len() as u16);
        if !job.has_progress() {
            self.jobs_without_progress
                .insert(key, job.queue.name.clone());
        }
        // A queue that was removed keeps the rules that it had.
        let queue = state.table().and_then(|table| table.queue(&job.queue.name));
        let queue = queue.unwrap_or(&job.queue);
        for (step, remaining_path_ms) in job.spec.remaining_paths_ms().into_iter().enumerate() {
            let key = StepKey {
                job: key,
                step: step as u16,
            };
            let view = self
                .steps
                .entry(key)
                .or_insert_with(|| new_view(key, &job.spec, queue, remaining_path_ms, arrived));
            view.is_committed = is_committed;
        }
        self.refresh_job(job);
    }

    /// Takes the tasks of a job from the state.
    fn refresh_job(&mut self, job: &Arc<Job>) {
        for (position, step) in job.steps.iter().enumerate() {
            let key = StepKey {
                job: job.key,
                step: position as u16,
            };
            if step.left == 0 {
                self.steps.remove(&key);
                self.desk.forget(key);
                continue;
            }
            let Some(view) = self.steps.get_mut(&key) else {
                continue;
            };
            view.is_due = job.is_due(key.step);
            let tasks = step.tasks.iter().enumerate();
            let waiting = tasks.filter(|(_, task)| task.phase == TaskPhase::Waiting);
            let waiting = waiting.map(|(index, _)| index as u32);
            view.waiting = waiting
                .filter(|index| !view.proposed.contains(index))
                .collect();
        }
    }

    /// A task of a step waits again, or is done.
    pub(crate) fn step_changed(&mut self, state: &QueueState, step: StepKey) {
        if let Some(job) = state.job(step.job).filter(|job| !job.phase.has_ended()) {
            let job = job.clone();
            self.refresh_job(&job);
        }
    }

    /// A start was applied.
    pub(crate) fn note_placed(&mut self, step: StepKey, placement: &Placement) {
        let Some(index) = self.index(&placement.worker) else {
            return;
        };
        if let Some(view) = self.steps.get_mut(&step) {
            view.proposed.remove(&placement.index);
            view.waiting.remove(&placement.index);
            view.placed.insert(placement.index, (placement.run, index));
        }
    }

    /// Forgets a job; returns the runs that workers have of it.
    pub(crate) fn forget_job(&mut self, job: JobKey) -> Vec<(TaskKey, u32, WorkerIndex)> {
        let mut runs = Vec::new();
        self.jobs_without_progress.remove(&job);
        let steps = self.job_steps.remove(&job).unwrap_or(0);
        for key in (0..steps).map(|step| StepKey { job, step }) {
            self.desk.forget(key);
            let Some(view) = self.steps.remove(&key) else {
                continue;
            };
            let placed = view.placed.into_iter();
            runs.extend(placed.map(|(index, (run, worker))| (key.task(index), run, worker)));
        }
        runs.sort_unstable();
        runs
    }

    /// The table was replaced: steps follow the rules of their queues.
    pub(crate) fn table_changed(&mut self, state: &QueueState) {
        let Some(table) = state.table() else {
            return;
        };
        for view in self.steps.values_mut() {
            if let Some(queue) = table.queue(&view.queue_name) {
                view.queue = step_queue(queue);
            }
        }
    }

    /// Notes in the steps what the workers already have.
    pub(crate) fn note_adopted(&mut self) {
        for (index, worker) in self.workers.iter() {
            for (task, run) in &worker.runs {
                if let Some(view) = self.steps.get_mut(&task.step)
                    && run.stage != RunStage::Proposed
                {
                    view.placed.insert(task.index, (run.run, index));
                }
            }
        }
    }
}

fn step_queue(queue: &Queue) -> StepQueue {
    StepQueue {
        service: queue.service.clone(),
        priority: queue.priority,
        permits: queue.permits,
    }
}

fn new_view(
    key: StepKey,
    spec: &Arc<SubmittedSpec>,
    queue: &Queue,
    remaining_path_ms: u64,
    arrived: Millis,
) -> StepView {
    let objective_ms = objective_ms(queue, spec);
    StepView {
        key,
        job_spec: spec.clone(),
        queue_name: queue.name.clone(),
        queue: step_queue(queue),
        is_committed: false,
        is_due: false,
        objective: arrived + objective_ms,
        useless: arrived + LATE_FACTOR * objective_ms,
        remaining_path_ms,
        waiting: BTreeSet::new(),
        proposed: BTreeSet::new(),
        placed: FxHashMap::default(),
        avoided: FxHashSet::default(),
        rejections: Rejections::default(),
        displaced: FxHashMap::default(),
        waits_since: None,
        made_room: MadeRoom::default(),
        permits: StepPermits::default(),
    }
}

/// The time in which a job of a queue should be done.
pub fn objective_ms(queue: &Queue, spec: &SubmittedSpec) -> u64 {
    (spec.critical_path_ms() as f64 * queue.deadline_factor) as u64 + queue.target_ms
}
