//! Jobs and their tasks in the replicated state.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobKey;
use crate::spec::SubmittedSpec;
use crate::table::Queue;

/// What a caller sees of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Active,
    /// All tasks are done.
    Completed,
    /// A task or gang failed too often.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Whether nothing more is to run.
    pub fn has_ended(self) -> bool {
        !matches!(self, JobPhase::Queued | JobPhase::Active)
    }
}

/// One job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The caller's ID.
    pub key: JobKey,
    /// The queue as it was when it accepted the job.
    pub queue: Arc<Queue>,
    /// The work.
    pub spec: Arc<SubmittedSpec>,
    /// Where it stands.
    pub phase: JobPhase,
    /// When it was accepted, by the clock of the log.
    pub accepted_unix_ms: u64,
    /// When it ended, by the clock of the log.
    pub ended_unix_ms: Option<u64>,
    /// The steps.
    pub steps: Vec<Step>,
}

/// One step of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Tasks that are not done.
    pub left: u32,
    /// The tasks.
    pub tasks: Vec<Task>,
    /// For a gang, the last run that is counted as failed.
    pub failed_run: u32,
}

/// One task of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Where it stands.
    pub phase: TaskPhase,
    /// The number of the last run, 0 before the first.
    pub run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// The newest known checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// It waits for its turn or for room.
    #[default]
    Waiting,
    /// A worker has it.
    Placed,
    /// It is done.
    Done,
}

impl Job {
    /// A new job.
    pub fn new(
        key: JobKey,
        queue: Arc<Queue>,
        spec: Arc<SubmittedSpec>,
        accepted_unix_ms: u64,
    ) -> Job {
        let steps = spec.steps.iter().map(|step| Step {
            left: step.count,
            tasks: vec![Task::default(); step.count as usize],
            failed_run: 0,
        });
        Job {
            key,
            queue,
            steps: steps.collect(),
            spec,
            phase: JobPhase::Queued,
            accepted_unix_ms,
            ended_unix_ms: None,
        }
    }

    /// Whether a run of a task has shown a result.
    pub fn has_progress(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.any(|task| {
            task.phase == TaskPhase::Done || task.failures > 0 || task.checkpoint.is_some()
        })
    }

    /// Ends the job and drops what only a running one needs.
    pub fn end(&mut self, phase: JobPhase, at_unix_ms: u64) {
        self.phase = phase;
        self.ended_unix_ms = Some(at_unix_ms);
        self.spec = Arc::default();
        self.steps = Vec::new();
    }

    /// Whether the tasks of the steps that `step` depends on are all done.
    pub fn is_due(&self, step: u16) -> bool {
        let after = &self.spec.steps[usize::from(step)].after;
        after
            .iter()
            .all(|&earlier| self.steps[usize::from(earlier)].left == 0)
    }
}
