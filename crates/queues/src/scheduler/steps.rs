//! The leader's view of the steps of jobs that have not ended.

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
use crate::scheduler::gangs::Hold;
use crate::scheduler::locality_wait::LocalityWait;
use crate::scheduler::quotas::StepTenant;
use crate::scheduler::rejections::Rejections;
use crate::scheduler::reservations::ReservationTurn;
use crate::scheduler::retries::Retry;
use crate::scheduler::shortfall::Shortfall;
use crate::scheduler::speeds::StepEnds;
use crate::scheduler::step_permits::PermitNeed;
use crate::scheduler::step_permits::StepPermits;
use crate::scheduler::withheld_time::WithheldTime;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::spec::StepSpec;
use crate::spec::SubmittedSpec;
use crate::state::QueueState;
use crate::table::PermitCost;
use crate::table::Queue;
use crate::tenant::JobTenant;

/// A late job is still useful to its caller up to this multiple of the time to its deadline.
pub const USEFUL_FACTOR: u64 = 3;

/// The settings that a step takes from its queue.
#[derive(Clone, Debug)]
pub struct StepQueue {
    /// The service whose workers may run it.
    pub service: Arc<str>,
    /// The priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// The cost of permits, if the queue needs them.
    pub permits: Option<PermitCost>,
}

/// A step that has unfinished tasks.
#[derive(Debug)]
pub struct StepView {
    /// The key of the step.
    pub key: StepKey,
    /// The submitted specification of the whole job.
    pub job_spec: Arc<SubmittedSpec>,
    /// The name of the queue, to look it up in a new table.
    pub queue_name: Arc<str>,
    /// The current settings of the queue.
    pub queue: StepQueue,
    /// The tenant of the job; `None` if the caller needed no key.
    pub tenant: Option<StepTenant>,
    /// Whether nothing of it may start within the quota of the tenant, as of the last round.
    pub is_at_quota: bool,
    /// Whether the tenant has used up its share of the service, as of the last round.
    pub is_over_share: bool,
    /// Whether the job is committed; nothing starts before.
    pub is_committed: bool,
    /// Whether all steps that it depends on are done; `false` until the job is committed.
    pub is_ready: bool,
    /// Whether it is in the list of steps that placement has to look at.
    pub is_pending: bool,
    /// When the job should be done.
    pub deadline: Millis,
    /// The time after which the job is of no more use to most callers.
    pub useful_until: Millis,
    /// How long a task is expected to run on most workers.
    pub usual_ms: u64,
    /// The expected time from the start of the step to the end of the longest chain of steps that
    /// depend on it.
    pub remaining_path_ms: u64,
    /// Whether the duration of a run has been recorded.
    pub is_duration_recorded: bool,
    /// The last ends of its runs, to compare the speeds of workers.
    pub ends: StepEnds,
    /// Since when tasks of the step could have started; `None` while none waits.
    pub waiting_since: Option<Millis>,
    /// How long the tasks had waited when a start of the step was last proposed.
    pub last_wait_ms: u64,
    /// Indexes of waiting tasks, without those whose start is proposed.
    pub waiting: BTreeSet<u32>,
    /// Indexes of tasks whose start is proposed and not applied.
    pub proposed: BTreeSet<u32>,
    /// The run number and the worker of each task that is placed on a worker, by task index.
    pub placed: FxHashMap<u32, (u32, WorkerIndex)>,
    /// Workers on which a run of the step failed or stalled; others are tried first.
    pub avoided: FxHashSet<WorkerIndex>,
    /// The workers on which each task of a step that lasts has failed, by task index.
    pub failed_on: FxHashMap<u32, FxHashSet<WorkerIndex>>,
    /// Workers that rejected the last start of the step on them.
    pub rejections: Rejections,
    /// How often each task was preempted by a gang, by task index.
    pub preemption_counts: FxHashMap<u32, u32>,
    /// The time since which this gang could not be placed.
    pub blocked_since: Option<Millis>,
    /// The workers that this gang holds at present.
    pub hold: Hold,
    /// The room that this gang lacked when it was last tried; `None` if that is not known.
    pub shortfall: Option<Shortfall>,
    /// When the permits of this gang are to be looked at again; `None` if something has changed.
    pub renewal_due: Option<Millis>,
    /// No preemption for this gang is tried before this time.
    pub preempt_retry_at: Millis,
    /// Its turn to hold a reservation.
    pub reservation_turn: ReservationTurn,
    /// For how long free room was withheld from it.
    pub withheld_time: WithheldTime,
    /// Its wait for workers near its data.
    pub locality: LocalityWait,
    /// When a round last tried to place it; `None` if something has changed for it since.
    pub tried: Option<Millis>,
    /// When it is tried again although nothing is known to have changed for it.
    pub retry: Retry,
    /// Since when rounds have left it out, because they had done their limit of checks before it.
    pub left_out_at: Option<Millis>,
    /// Whether its waiting tasks have to be isolated and it had no turn for that when it was last tried.
    pub is_without_turn: bool,
    /// The permits known from the placement policy, and what to request next.
    pub permits: StepPermits,
}

impl StepView {
    /// Whether placement has nothing to decide for it until tasks of it wait again.
    pub fn is_settled(&self) -> bool {
        self.is_committed && self.waiting.is_empty()
    }

    /// The step as submitted.
    pub fn spec(&self) -> &StepSpec {
        &self.job_spec.steps[usize::from(self.key.step)]
    }

    /// Whether its queue has the most urgent priority.
    pub fn is_urgent(&self) -> bool {
        self.queue.priority == 0
    }

    /// The expected processor time of the waiting tasks.
    pub fn waiting_core_ms(&self) -> u64 {
        let task_core_ms = self.spec().resources.millicores * self.usual_ms / 1_000;
        self.waiting.len() as u64 * task_core_ms
    }

    /// Whether the worker could run a task of the step if it were empty.
    pub fn can_run_on(&self, worker: &WorkerView) -> bool {
        let spec = self.spec();
        let has_label = |label: &Arc<str>| worker.record.has_label(label);
        *worker.record.service == *self.queue.service
            && spec.resources.fits_in(&worker.record.capacity)
            && spec.required_label.as_ref().is_none_or(has_label)
    }
}

impl Scheduler {
    /// Handles a submitted job whose commit is in progress: the permits of the steps that depend on
    /// no other are requested early. A job that is submitted again meanwhile changes nothing.
    pub fn handle_submission(
        &mut self,
        key: JobKey,
        queue: &Queue,
        spec: &Arc<SubmittedSpec>,
        tenant: Option<&JobTenant>,
        now: Millis,
    ) {
        if self.job_steps.contains_key(&key) {
            return;
        }
        self.job_steps.insert(key, spec.steps.len() as u16);
        let durations_ms = self.durations.predict_steps_ms(&queue.name, spec);
        let tenant = self.step_tenant(tenant, queue);
        for mut view in new_views(key, spec, queue, &durations_ms, now) {
            view.tenant = tenant;
            let needs_permits = view.spec().after.is_empty() && view.queue.permits.is_some();
            if needs_permits && !self.is_at_quota(&view) {
                view.permits.set_need(PermitNeed::More, now);
                self.dispatcher.is_dispatch_due = true;
            }
            let view = self.steps.entry(view.key).or_insert(view);
            if !view.is_pending {
                view.is_pending = true;
                self.pending_steps.push(view.key);
            }
        }
        self.rounds.is_due = true;
    }

    /// The number of committed jobs of a queue that have not ended and of which no worker has
    /// reported a started task.
    pub fn waiting_jobs(&self, queue: &str) -> u64 {
        let waiting = self
            .unstarted_jobs
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
            self.unstarted_jobs.insert(key, job.queue.name.clone());
        }
        // A job keeps the settings of a queue that was removed.
        let queue = state.table().and_then(|table| table.queue(&job.queue.name));
        let queue = queue.unwrap_or(&job.queue);
        let durations_ms = self.durations.predict_steps_ms(&queue.name, &job.spec);
        let tenant = self.step_tenant(job.tenant.as_deref(), queue);
        for new in new_views(key, &job.spec, queue, &durations_ms, arrived) {
            let view = self.steps.entry(new.key).or_insert(new);
            view.is_committed = is_committed;
            view.tenant = tenant;
        }
        self.refresh_job(job, arrived);
    }

    /// Updates the steps of a job from the replicated state.
    fn refresh_job(&mut self, job: &Arc<Job>, now: Millis) {
        for (position, step) in job.steps.iter().enumerate() {
            let key = StepKey {
                job: job.key,
                step: position as u16,
            };
            if step.left == 0 {
                self.steps.remove(&key);
                self.locality.release(key);
                self.dispatcher.forget(key);
                continue;
            }
            let Some(view) = self.steps.get_mut(&key) else {
                continue;
            };
            let was_ready = std::mem::replace(&mut view.is_ready, job.is_ready(key.step));
            let tasks = step.tasks.iter().enumerate();
            let waiting = tasks.filter(|(_, task)| task.phase == TaskPhase::Waiting);
            let waiting = waiting.map(|(index, _)| index as u32);
            let waiting: BTreeSet<u32> = waiting
                .filter(|index| !view.proposed.contains(index))
                .collect();
            if view.is_ready != was_ready || waiting != view.waiting {
                view.tried = None;
                view.renewal_due = None;
                view.shortfall = None;
            }
            view.waiting = waiting;
            if !view.waiting.is_empty() && !view.is_pending {
                view.is_pending = true;
                self.pending_steps.push(key);
            }
            if !view.is_ready || view.waiting.is_empty() {
                view.waiting_since = None;
            } else {
                view.waiting_since.get_or_insert(now);
            }
        }
    }

    /// Handles a task of a step that waits again or is done.
    pub(crate) fn step_changed(&mut self, state: &QueueState, step: StepKey, now: Millis) {
        if let Some(job) = state.job(step.job).filter(|job| !job.phase.has_ended()) {
            let job = job.clone();
            self.refresh_job(&job, now);
        }
    }

    /// Records an applied start.
    pub(crate) fn record_placement(&mut self, step: StepKey, placement: &Placement) {
        let Some(index) = self.index(&placement.worker) else {
            return;
        };
        if let Some(view) = self.steps.get_mut(&step) {
            view.proposed.remove(&placement.index);
            view.waiting.remove(&placement.index);
            view.placed.insert(placement.index, (placement.run, index));
        }
    }

    /// Removes a job; returns its runs that are placed on workers.
    pub(crate) fn forget_job(&mut self, job: JobKey) -> Vec<(TaskKey, u32, WorkerIndex)> {
        let mut runs = Vec::new();
        self.unstarted_jobs.remove(&job);
        let steps = self.job_steps.remove(&job).unwrap_or(0);
        for key in (0..steps).map(|step| StepKey { job, step }) {
            self.dispatcher.forget(key);
            self.locality.release(key);
            let Some(view) = self.steps.remove(&key) else {
                continue;
            };
            let placed = view.placed.into_iter();
            runs.extend(placed.map(|(index, (run, worker))| (key.task(index), run, worker)));
        }
        runs.sort_unstable();
        runs
    }

    /// Handles a replaced table: steps take the settings of their queues from it.
    pub(crate) fn table_changed(&mut self, state: &QueueState) {
        let Some(table) = state.table() else {
            return;
        };
        for view in self.steps.values_mut() {
            if let Some(queue) = table.queue(&view.queue_name) {
                view.queue = step_queue(queue);
                view.tried = None;
                view.renewal_due = None;
                view.shortfall = None;
            }
        }
        self.update_limits(table);
    }

    /// Records in the steps the runs that were adopted from an earlier leader.
    pub(crate) fn record_adopted_runs(&mut self) {
        for index in self.workers.indexes() {
            let worker = self.workers.get(index);
            let tasks = worker.map(|worker| worker.runs.keys().copied().collect());
            let tasks: Vec<TaskKey> = tasks.unwrap_or_default();
            for task in tasks {
                self.record_placed(index, task);
            }
        }
    }

    /// Records in its step that a task is placed on a worker.
    pub(crate) fn record_placed(&mut self, index: WorkerIndex, task: TaskKey) {
        let worker = self.workers.get(index);
        let run = worker.and_then(|worker| worker.runs.get(&task));
        if let Some(view) = self.steps.get_mut(&task.step)
            && let Some(run) = run.filter(|run| run.stage != RunStage::Proposed)
        {
            view.placed.insert(task.index, (run.run, index));
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

/// The views of all steps of a job whose tasks are expected to take `durations_ms`.
fn new_views(
    job: JobKey,
    spec: &Arc<SubmittedSpec>,
    queue: &Queue,
    durations_ms: &[u64],
    arrived: Millis,
) -> Vec<StepView> {
    let deadline_ms = queue.deadline_ms(spec.critical_path_ms(durations_ms));
    let paths_ms = spec.remaining_paths_ms(durations_ms);
    let steps = durations_ms.iter().zip(paths_ms).enumerate();
    let new_view = |(step, (usual_ms, remaining_path_ms)): (usize, (&u64, u64))| StepView {
        key: StepKey {
            job,
            step: step as u16,
        },
        job_spec: spec.clone(),
        queue_name: queue.name.clone(),
        queue: step_queue(queue),
        tenant: None,
        is_at_quota: false,
        is_over_share: false,
        is_committed: false,
        is_ready: false,
        is_pending: false,
        deadline: arrived + deadline_ms,
        useful_until: arrived + USEFUL_FACTOR * deadline_ms,
        usual_ms: *usual_ms,
        remaining_path_ms,
        is_duration_recorded: false,
        ends: StepEnds::default(),
        waiting_since: None,
        last_wait_ms: 0,
        waiting: BTreeSet::new(),
        proposed: BTreeSet::new(),
        placed: FxHashMap::default(),
        avoided: FxHashSet::default(),
        failed_on: FxHashMap::default(),
        rejections: Rejections::default(),
        preemption_counts: FxHashMap::default(),
        blocked_since: None,
        hold: Hold::default(),
        shortfall: None,
        renewal_due: None,
        preempt_retry_at: Millis::ZERO,
        reservation_turn: ReservationTurn::default(),
        withheld_time: WithheldTime::default(),
        locality: LocalityWait::default(),
        tried: None,
        retry: Retry::Soon,
        left_out_at: None,
        is_without_turn: false,
        permits: StepPermits::default(),
    };
    steps.map(new_view).collect()
}
