//! Moving work away from workers that leave, and from workers on which it stands still.

use sapphirepost_types::Millis;

use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::StopReason;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;

/// A running task whose progress does not change for this long stands still.
const STALL_MS: u64 = 1_800;
/// A task of a worker with this many stalled tasks is not to blame itself.
const STALLED_TASKS_MIN: usize = 2;
/// A member of a gang with this progress may be waiting for the others.
const NEARLY_DONE_PERCENT: u32 = 98;
/// A single task may stand still for this long.
const STALL_ALONE_MS: u64 = 4_000;

impl Scheduler {
    /// Stops runs that will not be done before their worker leaves, so that they go on elsewhere.
    pub(crate) fn move_from_draining(&mut self, state: &QueueState, now: Millis) {
        let mut moves: Vec<(WorkerIndex, TaskKey, u32)> = Vec::new();
        for (index, worker) in self.workers.iter() {
            let Some(leaves_at) = worker.leaves_at else {
                continue;
            };
            for (task, run) in &worker.runs {
                if run.stage != RunStage::Running || run.expected_end(now) <= leaves_at {
                    continue;
                }
                let job = state.job(task.step.job);
                let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
                // Without a checkpoint the work so far is lost; the worker may stay longer.
                if step.is_some_and(|step| step.has_checkpoints) {
                    moves.push((index, *task, run.run));
                }
            }
        }
        for (index, task, run) in moves {
            self.give_up(index, (task, run), StopReason::WorkerLeaves, now);
        }
    }

    /// Stops tasks that make no progress although all members of their gang run.
    pub(crate) fn stop_stalled(&mut self, state: &QueueState, now: Millis) {
        let mut stalled: Vec<(WorkerIndex, TaskKey, u32)> = Vec::new();
        for (index, worker) in self.workers.iter() {
            if !worker.contact.is_reachable() {
                continue;
            }
            let is_still = |task: &TaskKey, run: &RunView| {
                run.stage == RunStage::Running
                    && now.since(run.progressed.max(run.since)) >= STALL_MS
                    && self.can_progress(task, run)
            };
            let still: Vec<_> = worker
                .runs
                .iter()
                .filter(|(task, run)| is_still(task, run))
                .map(|(task, run)| (index, *task, run.run, run.progressed.max(run.since)))
                .collect();
            let is_suspect = still.len() >= STALLED_TASKS_MIN;
            for (index, task, run, since) in still {
                if is_suspect || now.since(since) >= STALL_ALONE_MS {
                    stalled.push((index, task, run));
                }
            }
        }
        for (index, task, run) in stalled {
            let is_live = state
                .job(task.step.job)
                .is_some_and(|job| !job.phase.has_ended());
            if let Some(worker) = self.workers.get_mut(index) {
                worker.health.failed(task.step.job, now);
            }
            if let Some(step) = self.steps.get_mut(&task.step) {
                step.avoided.insert(index);
            }
            if is_live {
                self.give_up(index, (task, run), StopReason::StandsStill, now);
            }
        }
    }

    /// Whether a task should make progress. The members of a gang work only together, and one
    /// that has done its part waits for the others; it stands still alone if another one moves.
    fn can_progress(&self, task: &TaskKey, run: &RunView) -> bool {
        let Some(step) = self.steps.get(&task.step) else {
            return false;
        };
        if !step.spec().is_gang {
            return !step.spec().is_service;
        }
        run.progress_percent < NEARLY_DONE_PERCENT && self.moves_since(step, run.progressed)
    }

    /// Whether a member of a gang made progress after a time.
    fn moves_since(&self, step: &StepView, since: Millis) -> bool {
        step.placed.iter().any(|(index, (_, worker))| {
            let worker = self.workers.get(*worker);
            let run = worker.and_then(|worker| worker.runs.get(&step.key.task(*index)));
            run.is_some_and(|run| run.progressed > since + STALL_MS / 2)
        })
    }
}
