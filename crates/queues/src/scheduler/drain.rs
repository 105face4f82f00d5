//! Stops runs on draining workers and stalled runs, so that their tasks run elsewhere.

use sapphirepost_types::Millis;

use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::StopReason;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::state::QueueState;

/// A running task whose progress has not changed for this long is stalled.
const STALL_MS: u64 = 1_800;
/// If this many tasks on a worker are stalled, the worker is the likely cause, and they are stopped
/// without waiting for `SINGLE_STALL_MS`.
const STALLED_TASKS_MIN: usize = 2;
/// A member of a gang with at least this progress may be waiting for the other members.
const NEARLY_DONE_PERCENT: u32 = 98;
/// A task that is the only stalled one on its worker is stopped only after this time without
/// progress, since the cause may be the task and not the worker.
const SINGLE_STALL_MS: u64 = 4_000;
/// Runs of a worker whose last reply to a poll is older than this are not judged: no poll is sent
/// while ends are being committed, so the reported progress is out of date. It is shorter than
/// `STALL_MS` and as long as a worker may hold a poll.
const PROGRESS_VALID_MS: u64 = 900;

impl Scheduler {
    /// Stops runs with checkpoints that are not expected to end before their worker leaves, so that
    /// they resume elsewhere.
    pub(crate) fn move_off_draining_workers(&mut self, state: &QueueState, now: Millis) {
        let mut moves: Vec<(WorkerIndex, TaskKey, u32)> = Vec::new();
        for (index, worker) in self.workers.iter() {
            let Some(leaves_at) = worker.leaves_at else {
                continue;
            };
            for (task, run) in &worker.runs {
                if run.stage != RunStage::Running || run.ends_by(leaves_at, now) {
                    continue;
                }
                let job = state.job(task.step.job);
                let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
                // Without a checkpoint the work done so far would be lost, and the worker may stay
                // longer.
                if step.is_some_and(|step| step.has_checkpoints) {
                    moves.push((index, *task, run.run));
                }
            }
        }
        for (index, task, run) in moves {
            self.stop_run(index, (task, run), StopReason::WorkerLeaves, now);
        }
    }

    /// Stops runs that make no progress although they should.
    pub(crate) fn stop_stalled_runs(&mut self, state: &QueueState, now: Millis) {
        let mut stalled: Vec<(WorkerIndex, TaskKey, u32)> = Vec::new();
        for (index, worker) in self.workers.iter() {
            let has_replied = worker.poll.has_replied_within(PROGRESS_VALID_MS, now);
            if !worker.lease.is_reachable() || !has_replied {
                continue;
            }
            let is_stalled = |task: &TaskKey, run: &RunView| {
                run.stage == RunStage::Running
                    && now.since(run.progressed.max(run.confirmed)) >= STALL_MS
                    && self.should_progress(task, run)
            };
            let worker_stalled: Vec<_> = worker
                .runs
                .iter()
                .filter(|(task, run)| is_stalled(task, run))
                .map(|(task, run)| (index, *task, run.run, run.progressed.max(run.confirmed)))
                .collect();
            let has_several_stalled = worker_stalled.len() >= STALLED_TASKS_MIN;
            for (index, task, run, since) in worker_stalled {
                if has_several_stalled || now.since(since) >= SINGLE_STALL_MS {
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
                self.stop_run(index, (task, run), StopReason::StandsStill, now);
            }
        }
    }

    /// Whether a task should make progress. Tasks of a service need not make any. The members of a
    /// gang make progress only together, and a member that is nearly done may be waiting for the
    /// others. A member is stalled only if another one has made progress since.
    fn should_progress(&self, task: &TaskKey, run: &RunView) -> bool {
        let Some(step) = self.steps.get(&task.step) else {
            return false;
        };
        if !step.spec().is_gang {
            return !step.spec().is_service;
        }
        run.progress_percent < NEARLY_DONE_PERCENT && self.progressed_since(step, run.progressed)
    }

    /// Whether a member of a gang made progress well after `since`.
    fn progressed_since(&self, step: &StepView, since: Millis) -> bool {
        step.placed.iter().any(|(index, (_, worker))| {
            let worker = self.workers.get(*worker);
            let run = worker.and_then(|worker| worker.runs.get(&step.key.task(*index)));
            run.is_some_and(|run| run.progressed > since + STALL_MS / 2)
        })
    }
}
