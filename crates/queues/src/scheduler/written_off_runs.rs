//! Runs that were written off with their worker, for the log: what the leader had last seen of them
//! tells how much work is done again.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::workers::RunView;

/// The largest number of runs that are kept for the log.
const KEPT_MAX: usize = 64;

/// A run that was written off although it may have been at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenOffRun {
    /// The task of the run.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The ID of the worker that held it.
    pub worker: Arc<str>,
    /// The last checkpoint that the worker reported to this leader.
    pub checkpoint: Option<Arc<str>>,
    /// How long ago the worker reported that checkpoint for the first time.
    pub checkpoint_age_ms: Option<u64>,
    /// The last progress that the worker reported to this leader, in percent.
    pub progress_percent: u32,
    /// How long ago the reported progress last changed.
    pub progress_age_ms: u64,
}

impl Scheduler {
    /// Takes the runs that were written off since the last call; the first ones, if there are many.
    pub fn take_written_off_runs(&mut self) -> Vec<WrittenOffRun> {
        std::mem::take(&mut self.written_off_runs)
    }

    /// Keeps what is known of a run that was written off.
    pub(crate) fn record_lost_run(
        &mut self,
        worker: &Arc<str>,
        task: TaskKey,
        run: &RunView,
        now: Millis,
    ) {
        if !run.has_begun || self.written_off_runs.len() >= KEPT_MAX {
            return;
        }
        self.written_off_runs.push(WrittenOffRun {
            task,
            run: run.run,
            worker: worker.clone(),
            checkpoint: run.checkpoint.clone(),
            checkpoint_age_ms: run.checkpointed.map(|at| now.since(at)),
            progress_percent: run.progress_percent,
            progress_age_ms: now.since(run.progressed),
        });
    }
}
