//! The leader's view of the workers: resources, runs, lease and health.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::crash::Isolation;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::scheduler::contact_loss::ContactLoss;
use crate::scheduler::health::Health;
use crate::scheduler::isolation::StartReservation;
use crate::scheduler::lease::WorkerLease;
use crate::scheduler::messages::StopReason;
use crate::scheduler::polls::PollState;
use crate::scheduler::restarts::LateStartStop;
use crate::scheduler::restarts::OpenStart;
use crate::scheduler::tenants::RunTenant;
use crate::scheduler::tenants::TenantIndex;
use crate::scheduler::tenants::Tenants;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

/// The position of a worker in this leader's table of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerIndex(u32);

impl WorkerIndex {
    /// The position in tables that have one entry for each worker.
    pub fn position(self) -> usize {
        self.0 as usize
    }
}

/// How far a run has come between the decision to start it and its certain end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// The start is proposed.
    Proposed,
    /// The start was sent and is not answered.
    StartSent {
        /// How often the start was sent.
        attempts: u32,
    },
    /// The worker has accepted or reported the run.
    Running,
    /// An earlier leader may have sent the start, and no reply to this leader has confirmed the
    /// run.
    Unknown,
    /// A stop was sent and is not answered.
    Stopping {
        /// When the stop was last sent.
        sent: Millis,
        /// Why the run is stopped.
        reason: StopReason,
    },
    /// The worker has answered the stop, so the run cannot begin any more.
    StopAnswered {
        /// When the reply came.
        at: Millis,
    },
}

/// A run that is placed on a worker or proposed for it.
#[derive(Clone, Debug)]
pub struct RunView {
    /// The number of the run.
    pub run: u32,
    /// The resources that it takes; zero once the worker has reported its end.
    pub resources: Resources,
    /// The tenant whose usage includes the run; `None` for a run of no tenant, and once the worker
    /// has reported the end.
    pub tenant: Option<RunTenant>,
    /// How far it has come.
    pub stage: RunStage,
    /// When the start was proposed, or when this leader took the run over.
    pub since: Millis,
    /// Whether an earlier leader started it.
    pub is_adopted: bool,
    /// How it is kept apart from other jobs.
    pub isolation: Isolation,
    /// Whether the task lasts until its job is cancelled.
    pub is_service: bool,
    /// The expected duration on most workers.
    pub usual_ms: u64,
    /// The expected duration on this worker.
    pub expected_ms: u64,
    /// Whether another run has done the work of the task.
    pub is_needless: bool,
    /// Whether it is remote from its data, so that it takes longer than on most workers.
    pub is_remote: bool,
    /// Whether the worker has accepted the start or listed the run.
    pub has_begun: bool,
    /// The last checkpoint that the worker reported.
    pub checkpoint: Option<Arc<str>>,
    /// When the worker reported that checkpoint for the first time.
    pub checkpointed: Option<Millis>,
    /// The last progress that the worker reported, in percent.
    pub progress_percent: u32,
    /// When the reported progress last changed.
    pub progressed: Millis,
    /// When its start was last sent or answered by this leader, or when this leader took the run over,
    /// unless a poll has listed it since.
    /// The worker compares only its ID, so another incarnation may have begun it.
    pub unlisted_since: Option<Millis>,
    /// When the worker first accepted or reported the run, or `since` before. A run cannot make
    /// progress while its start is being committed, which may take seconds on a slow disk.
    pub confirmed: Millis,
}

impl RunView {
    /// Whether the time since `since` is the whole time that the task has taken: the run does not
    /// resume from a checkpoint, this leader started it, and it is not remote from its data.
    pub fn is_measurable(&self) -> bool {
        self.run == 1 && !self.is_adopted && !self.is_remote
    }

    /// When the run is expected to end; `None` for a task that lasts.
    pub fn expected_end(&self, now: Millis) -> Option<Millis> {
        if self.is_service {
            return None;
        }
        let end = self.since + self.expected_ms;
        if end > now {
            return Some(end);
        }
        // The estimate is used up; assume that the run needs another quarter of it.
        Some(now + self.expected_ms / 4)
    }

    /// Whether the run is expected to end at `at` or earlier.
    pub fn ends_by(&self, at: Millis, now: Millis) -> bool {
        self.expected_end(now).is_some_and(|end| end <= at)
    }
}

/// The leader's view of one incarnation of a worker.
#[derive(Debug)]
pub struct WorkerView {
    /// What the worker reports about itself, as committed.
    pub record: WorkerRecord,
    /// The resources that its runs take.
    pub used: Resources,
    /// Its runs by task, including those whose start is only proposed.
    pub runs: FxHashMap<TaskKey, RunView>,
    /// The number of runs of each step, for the limit of a step on one worker.
    pub runs_by_step: FxHashMap<StepKey, u32>,
    /// Its clock and its lease.
    pub lease: WorkerLease,
    /// How contact with it was lost, if it was.
    pub loss: ContactLoss,
    /// Its failures and its speed.
    pub health: Health,
    /// The state of polling it, including which of its ends are applied.
    pub poll: PollState,
    /// When its last report came, or when this leader began to track it.
    pub reported_at: Millis,
    /// What it reported last, by the number of the report; it may not be committed yet.
    pub reported: WorkerRecord,
    /// While it drains, the earliest time at which it may leave.
    pub leaves_at: Option<Millis>,
    /// When a start there was last proposed, or when this leader began to track it.
    pub last_start: Millis,
    /// The last isolated start there, or the one that is about to come.
    pub exclusive: Option<StartReservation>,
    /// The incarnation that has appeared under its ID; the command that replaces it is proposed.
    pub successor: Option<Incarnation>,
    /// Start requests without an answer, also those that were meant for a former incarnation.
    pub open_starts: Vec<OpenStart>,
    /// Unanswered stops of starts that were meant for a former incarnation.
    pub late_start_stops: Vec<LateStartStop>,
    /// How many restarts of workers this leader had noticed when it began to track the worker.
    pub restarts: u32,
}

impl WorkerView {
    /// An incarnation that has not answered this leader yet, and that followed another one with
    /// the same ID at `restarted`.
    pub fn new(worker: &Worker, restarted: Option<Millis>, now: Millis) -> WorkerView {
        WorkerView {
            reported: worker.record.clone(),
            record: worker.record.clone(),
            used: Resources::ZERO,
            runs: FxHashMap::default(),
            runs_by_step: FxHashMap::default(),
            lease: WorkerLease::new(now, restarted),
            loss: ContactLoss::default(),
            health: Health::default(),
            poll: PollState::new(worker.applied_ends, now),
            reported_at: now,
            leaves_at: None,
            last_start: now,
            exclusive: None,
            successor: None,
            open_starts: Vec::new(),
            late_start_stops: Vec::new(),
            restarts: 0,
        }
    }

    /// The capacity that its runs do not take.
    pub fn free(&self) -> Resources {
        self.record.capacity.saturating_sub(&self.used)
    }

    /// Whether the runs that may have started there, and the given ones of those that have not,
    /// fit in the last reported capacity, which may be smaller than when they were placed.
    pub fn has_room_for(&self, is_next: impl Fn(&TaskKey) -> bool) -> bool {
        let counted = self
            .runs
            .iter()
            .filter(|(task, run)| run.stage != RunStage::Proposed || is_next(task));
        let used = counted.fold(Resources::ZERO, |sum, (_, run)| {
            sum.saturating_add(&run.resources)
        });
        used.fits_in(&self.reported.capacity)
    }

    /// Whether it has announced that it leaves, also if the report is not committed yet.
    pub fn is_leaving(&self) -> bool {
        self.record.is_draining || self.reported.is_draining || self.leaves_at.is_some()
    }

    /// Whether a task may be placed on it now, if there are enough free resources. A worker that
    /// has shrunk below what its runs take accepts none, whatever resource is short.
    pub fn accepts_tasks(&self, now: Millis) -> bool {
        !self.is_leaving()
            && self.used.fits_in(&self.record.capacity)
            && !self.has_uncounted_runs()
            && self.lease.is_reachable()
            && self.runs.len() < self.health.tasks_max(now)
    }

    /// Adds a run, or replaces and returns an earlier run of the task.
    fn add_run(&mut self, task: TaskKey, run: RunView) -> Option<RunView> {
        self.used = self.used.saturating_add(&run.resources);
        let earlier = self.runs.insert(task, run);
        match &earlier {
            Some(earlier) => self.used = self.used.saturating_sub(&earlier.resources),
            None => *self.runs_by_step.entry(task.step).or_default() += 1,
        }
        earlier
    }

    /// Frees and returns the resources of a run that has ended, before its end is applied, and the
    /// tenant whose usage included them.
    fn release_resources(&mut self, task: TaskKey, run: u32) -> Option<(RunTenant, Resources)> {
        let held = self.runs.get_mut(&task).filter(|held| held.run == run)?;
        let freed = std::mem::replace(&mut held.resources, Resources::ZERO);
        self.used = self.used.saturating_sub(&freed);
        Some((held.tenant.take()?, freed))
    }

    /// Removes and returns the run of a task if its number is `run`.
    fn remove_run(&mut self, task: TaskKey, run: u32) -> Option<RunView> {
        if self.runs.get(&task)?.run != run {
            return None;
        }
        let removed = self.runs.remove(&task)?;
        self.used = self.used.saturating_sub(&removed.resources);
        if let Some(count) = self.runs_by_step.get_mut(&task.step) {
            *count -= 1;
            if *count == 0 {
                self.runs_by_step.remove(&task.step);
            }
        }
        Some(removed)
    }

    /// The last reported checkpoints, for a command that ends all runs of the worker.
    pub fn checkpoints(&self) -> Vec<(TaskKey, Arc<str>)> {
        let seen = |(task, run): (&TaskKey, &RunView)| Some((*task, run.checkpoint.clone()?));
        let mut seen: Vec<_> = self.runs.iter().filter_map(seen).collect();
        seen.sort_unstable_by_key(|(task, _)| *task);
        seen
    }
}

/// All workers known to this leader. The index of a removed worker is not used again.
#[derive(Debug, Default)]
pub struct Workers {
    slots: Vec<Option<WorkerView>>,
    by_id: FxHashMap<Arc<str>, WorkerIndex>,
    /// Workers that may have been changed since the last call of `take_changed`, each once.
    changed: Vec<WorkerIndex>,
    /// Whether a worker is among these, by index.
    is_changed: Vec<bool>,
    /// What the tenants use on all workers.
    pub tenants: Tenants,
}

impl Workers {
    /// The index of the worker with this ID.
    pub fn index(&self, id: &str) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    /// The worker at an index, unless it was removed.
    pub fn get(&self, index: WorkerIndex) -> Option<&WorkerView> {
        self.slots.get(index.0 as usize)?.as_ref()
    }

    /// The worker at an index, unless it was removed. It counts as changed.
    pub fn get_mut(&mut self, index: WorkerIndex) -> Option<&mut WorkerView> {
        self.note_changed(index);
        self.slots.get_mut(index.0 as usize)?.as_mut()
    }

    fn note_changed(&mut self, index: WorkerIndex) {
        if let Some(is_changed) = self.is_changed.get_mut(index.position())
            && !std::mem::replace(is_changed, true)
        {
            self.changed.push(index);
        }
    }

    /// Takes the workers that were added, removed or given out to be changed since the last call.
    pub fn take_changed(&mut self) -> Vec<WorkerIndex> {
        for index in &self.changed {
            self.is_changed[index.position()] = false;
        }
        std::mem::take(&mut self.changed)
    }

    /// The worker with this ID.
    pub fn by_id_mut(&mut self, id: &str) -> Option<&mut WorkerView> {
        let index = self.index(id)?;
        self.get_mut(index)
    }

    /// Adds a worker and returns its index.
    pub fn insert(&mut self, worker: WorkerView) -> WorkerIndex {
        let index = WorkerIndex(self.slots.len() as u32);
        self.by_id.insert(worker.record.id.clone(), index);
        self.slots.push(Some(worker));
        self.is_changed.push(false);
        self.note_changed(index);
        index
    }

    /// Removes and returns a worker; its index is not used again.
    pub fn remove(&mut self, id: &str) -> Option<WorkerView> {
        let index = self.by_id.remove(id)?;
        self.note_changed(index);
        let removed = self.slots[index.0 as usize].take()?;
        for run in removed.runs.values() {
            self.remove_usage(run);
        }
        Some(removed)
    }

    /// Adds a run of a tenant to a worker, or replaces an earlier run of the task.
    pub fn add_run(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        mut run: RunView,
        tenant: Option<TenantIndex>,
    ) {
        self.note_changed(index);
        let slot = self.slots.get_mut(index.position());
        let Some(worker) = slot.and_then(Option::as_mut) else {
            return;
        };
        run.tenant = tenant.map(|tenant| RunTenant {
            tenant,
            service: self.tenants.service(&worker.record.service),
        });
        if let Some(key) = run.tenant {
            self.tenants.add(key, &run.resources);
        }
        if let Some(earlier) = worker.add_run(task, run) {
            self.remove_usage(&earlier);
        }
    }

    /// Removes and returns the run of a task on a worker if its number is `run`.
    pub fn remove_run(&mut self, index: WorkerIndex, task: TaskKey, run: u32) -> Option<RunView> {
        let removed = self.get_mut(index)?.remove_run(task, run)?;
        self.remove_usage(&removed);
        Some(removed)
    }

    /// Frees the resources of a run that has ended, before its end is applied.
    pub fn release_resources(&mut self, index: WorkerIndex, task: TaskKey, run: u32) {
        let worker = self.get_mut(index);
        if let Some((key, freed)) = worker.and_then(|worker| worker.release_resources(task, run)) {
            self.tenants.remove(key, &freed);
        }
    }

    /// Takes a run that is no longer on a worker from the usage of its tenant.
    fn remove_usage(&mut self, run: &RunView) {
        if let Some(key) = run.tenant {
            self.tenants.remove(key, &run.resources);
        }
    }

    /// The number of workers, without removed ones.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All workers in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerView)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let worker = slot.as_ref()?;
            Some((WorkerIndex(index as u32), worker))
        })
    }

    /// The indexes of all workers.
    pub fn indexes(&self) -> Vec<WorkerIndex> {
        self.iter().map(|(index, _)| index).collect()
    }
}
