//! Stops runs of tasks whose work another run has done.
//!
//! A worker that was cut off may report an end as done after its lease was over and the task had
//! started again. The end counts, so the newer run works in vain. It takes resources until its own
//! end is reported, which changes nothing. That a run is needless follows from the replicated
//! state, so a new leader, which has not seen the late end, stops it as well.

use sapphirepost_types::Millis;

use crate::ids::TaskKey;
use crate::job::LateEffect;
use crate::scheduler::Scheduler;
use crate::scheduler::messages::StopReason;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::WorkerIndex;
use crate::state::LateEnd;

impl Scheduler {
    /// Stops the newer runs of a task, or of a gang, that a late end has shown to be done.
    pub(crate) fn stop_needless_runs(&mut self, late: &LateEnd, now: Millis) {
        if late.effect != LateEffect::Done {
            return;
        }
        let step = late.end.task.step;
        self.unstarted_jobs.remove(&step.job);
        let Some(view) = self.steps.get(&step) else {
            return;
        };
        let is_concerned = |task: TaskKey| view.spec().is_gang || task == late.end.task;
        let newer = view
            .placed
            .iter()
            .map(|(index, (run, worker))| (step.task(*index), *run, *worker));
        let mut newer: Vec<(TaskKey, u32, WorkerIndex)> = newer
            .filter(|(task, run, _)| is_concerned(*task) && *run > late.end.run)
            .collect();
        newer.sort_unstable();
        for (task, run, index) in newer {
            self.stop_needless_run(index, task, run, now);
        }
    }

    fn stop_needless_run(&mut self, index: WorkerIndex, task: TaskKey, run: u32, now: Millis) {
        let stage = self.mark_needless(index, task, run);
        // A run that an earlier leader started is stopped by the first poll that lists it.
        if let Some(RunStage::StartSent { .. } | RunStage::Running) = stage {
            self.stop_run(index, (task, run), StopReason::TaskDone, now);
        }
    }

    /// Marks a run as needless, so that it is stopped if a poll lists it, and returns its stage.
    pub(crate) fn mark_needless(
        &mut self,
        index: WorkerIndex,
        task: TaskKey,
        run: u32,
    ) -> Option<RunStage> {
        let held = self.workers.get_mut(index)?.runs.get_mut(&task)?;
        if held.run != run {
            return None;
        }
        held.is_needless = true;
        Some(held.stage)
    }
}
