//! Workers as the leader sees them: room, runs, contact.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::scheduler::contact::Contact;
use crate::scheduler::health::Health;
use crate::scheduler::looks::Looks;
use crate::scheduler::messages::StopReason;
use crate::worker::WorkerRecord;

/// A worker in the dense table of this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerIndex(u32);

/// Where a run stands between the decision and its certain end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStage {
    /// The start is proposed.
    Proposed,
    /// The order was sent and is not answered.
    Ordered {
        /// Orders sent.
        attempts: u32,
    },
    /// The worker has it.
    Running,
    /// It may or may not be there: another leader gave the order.
    Unknown,
    /// A stop is under way.
    Stopping {
        /// When the stop was last sent.
        sent: Millis,
        /// Why.
        reason: StopReason,
    },
    /// The worker has answered the stop, so the run cannot begin any more.
    StopAnswered {
        /// When.
        at: Millis,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct RunView {
    /// The run.
    pub run: u32,
    /// What it takes.
    pub resources: Resources,
    /// Where it stands.
    pub stage: RunStage,
    /// When it was given to the worker.
    pub since: Millis,
    /// The estimated duration there.
    pub expected_ms: u64,
    /// The last checkpoint that was seen.
    pub checkpoint: Option<Arc<str>>,
    /// The last progress that was seen, and when it changed.
    pub progress_percent: u32,
    /// When the progress changed.
    pub progressed: Millis,
}

impl RunView {
    /// When the run is expected to end.
    pub fn expected_end(&self, now: Millis) -> Millis {
        let end = self.since + self.expected_ms;
        if end > now {
            return end;
        }
        // A run that is late has used up its estimate; it is expected to need a part of it more.
        now + self.expected_ms / 4
    }
}

/// One worker.
#[derive(Debug)]
pub struct WorkerView {
    /// What it says of itself.
    pub record: WorkerRecord,
    /// What its runs take.
    pub used: Resources,
    /// Its runs.
    pub runs: FxHashMap<TaskKey, RunView>,
    /// Runs of each step, for the limit of a step on one worker.
    pub runs_by_step: FxHashMap<StepKey, u32>,
    /// Clock and lease.
    pub contact: Contact,
    /// Failures.
    pub health: Health,
    /// Looks and acknowledged ends.
    pub looks: Looks,
    /// When its last report came.
    pub reported: Millis,
    /// The sequence of its last report.
    pub sequence: u64,
    /// While it drains, when it may be gone.
    pub leaves_at: Option<Millis>,
}

impl WorkerView {
    /// A worker that was not heard yet.
    pub fn new(record: WorkerRecord, applied_ends: u64, now: Millis) -> WorkerView {
        WorkerView {
            record,
            used: Resources::ZERO,
            runs: FxHashMap::default(),
            runs_by_step: FxHashMap::default(),
            contact: Contact::new(now),
            health: Health::default(),
            looks: Looks::new(applied_ends, now),
            reported: now,
            sequence: 0,
            leaves_at: None,
        }
    }

    /// The room that is left.
    pub fn free(&self) -> Resources {
        self.record.capacity.saturating_sub(&self.used)
    }

    /// Whether a task may be given to it.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.record.is_draining
            && self.contact.is_reachable()
            && self.runs.len() < self.health.tasks_max(now)
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: TaskKey, run: RunView) {
        self.used = self.used.saturating_add(&run.resources);
        if let Some(earlier) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(&earlier.resources);
        } else {
            *self.runs_by_step.entry(task.step).or_default() += 1;
        }
    }

    /// Frees the room of a run that has ended, before its end is applied.
    pub fn release_room(&mut self, task: TaskKey, run: u32) {
        let ended = self.runs.get_mut(&task).filter(|held| held.run == run);
        if let Some(held) = ended {
            let room = std::mem::replace(&mut held.resources, Resources::ZERO);
            self.used = self.used.saturating_sub(&room);
        }
    }

    /// Removes a run; returns it if `run` is the one that is there.
    pub fn remove_run(&mut self, task: TaskKey, run: u32) -> Option<RunView> {
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

    /// Checkpoints that were seen, for a command that ends all runs.
    pub fn checkpoints(&self) -> Vec<(TaskKey, Arc<str>)> {
        let seen = |(task, run): (&TaskKey, &RunView)| Some((*task, run.checkpoint.clone()?));
        let mut seen: Vec<_> = self.runs.iter().filter_map(seen).collect();
        seen.sort_unstable_by_key(|(task, _)| *task);
        seen
    }
}

/// All workers of this leader; positions of former workers are not used again.
#[derive(Debug, Default)]
pub struct Workers {
    slots: Vec<Option<WorkerView>>,
    by_id: FxHashMap<Arc<str>, WorkerIndex>,
}

impl Workers {
    /// The position of a worker.
    pub fn index(&self, id: &str) -> Option<WorkerIndex> {
        self.by_id.get(id).copied()
    }

    /// A worker.
    pub fn get(&self, index: WorkerIndex) -> Option<&WorkerView> {
        self.slots.get(index.0 as usize)?.as_ref()
    }

    /// A worker.
    pub fn get_mut(&mut self, index: WorkerIndex) -> Option<&mut WorkerView> {
        self.slots.get_mut(index.0 as usize)?.as_mut()
    }

    /// A worker by its identity.
    pub fn by_id_mut(&mut self, id: &str) -> Option<&mut WorkerView> {
        let index = self.index(id)?;
        self.get_mut(index)
    }

    /// Adds a worker.
    pub fn insert(&mut self, worker: WorkerView) -> WorkerIndex {
        let index = WorkerIndex(self.slots.len() as u32);
        self.by_id.insert(worker.record.id.clone(), index);
        self.slots.push(Some(worker));
        index
    }

    /// Forgets a worker.
    pub fn remove(&mut self, id: &str) {
        if let Some(index) = self.by_id.remove(id) {
            self.slots[index.0 as usize] = None;
        }
    }

    /// How many workers there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All workers in the order of their arrival.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerView)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let worker = slot.as_ref()?;
            Some((WorkerIndex(index as u32), worker))
        })
    }

    /// The positions of all workers.
    pub fn indexes(&self) -> Vec<WorkerIndex> {
        self.iter().map(|(index, _)| index).collect()
    }
}
