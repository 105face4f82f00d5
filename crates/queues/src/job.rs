//! Jobs, steps and tasks in the replicated state.

use std::ops::Range;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::command::RunEnd;
use crate::crash::CrashCount;
use crate::ids::JobKey;
use crate::ids::TaskKey;
use crate::spec::SubmittedSpec;
use crate::table::Queue;
use crate::tenant::JobTenant;
use crate::tenant::Tenant;
use crate::worker::EndKind;

/// How many runs of a task that were written off are kept.
const WRITTEN_OFF_MAX: usize = 8;

/// The phase of a job, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task has been placed.
    Queued,
    /// A task has been placed.
    Active,
    /// All tasks are done.
    Completed,
    /// A task or gang failed too often, or a task crashed its workers.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Whether the phase is final.
    pub fn has_ended(self) -> bool {
        !matches!(self, JobPhase::Queued | JobPhase::Active)
    }
}

/// A job and the state of its steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The ID that the caller gave the job.
    pub key: JobKey,
    /// The queue at the time of the submission. Its `attempts_max` stays in force; a new leader
    /// takes the other settings from it only if the table has no such queue.
    pub queue: Arc<Queue>,
    /// The submitted specification; empty after the end of the job.
    pub spec: Arc<SubmittedSpec>,
    /// The tenant that submitted the job; `None` if it needed no key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<Arc<JobTenant>>,
    /// The phase; it no longer changes once the job has ended.
    pub phase: JobPhase,
    /// When the job was accepted, by the time in the log.
    pub accepted_unix_ms: u64,
    /// When the job ended, by the time in the log.
    pub ended_unix_ms: Option<u64>,
    /// The state of each step; empty after the end of the job.
    pub steps: Vec<Step>,
    /// The number of its runs that workers hold, also after its end. Until there are none, its ID
    /// is not free for another job.
    #[serde(default)]
    pub held_runs: u32,
    /// Whether its retention is over. It is dropped when no worker holds runs of it any more.
    #[serde(default)]
    pub is_past_retention: bool,
}

/// The state of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The number of tasks that are not done; the step is done when it is 0.
    pub left: u32,
    /// The state of each task.
    pub tasks: Vec<Task>,
    /// For a gang, the number of the last run that was counted as failed.
    pub failed_run: u32,
}

/// The state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Whether the task waits, is placed or is done.
    pub phase: TaskPhase,
    /// The number of the last run, 0 before the first one; once the task is done, the number of the
    /// run that did its work.
    pub run: u32,
    /// The number of failed runs; for a gang, the first task counts them.
    pub failures: u32,
    /// The last checkpoint that was known when a run ended, from which the next run resumes. All
    /// members of a gang resume from the checkpoint of the first member that has one.
    pub checkpoint: Option<Arc<str>>,
    /// The last runs that were written off with the leases of their workers, and these workers. Only
    /// their ends may be learnt late.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub written_off: Vec<(u32, Arc<str>)>,
    /// The workers that crashed under the task.
    #[serde(default, skip_serializing_if = "CrashCount::is_zero")]
    pub crashes: CrashCount,
}

/// What the end of a run changes that was written off before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateEffect {
    /// Nothing.
    None,
    /// The next run of the task resumes from the checkpoint.
    Checkpoint,
    /// The task is done, or all tasks of the gang.
    Done,
}

/// The phase of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// It waits for earlier steps or for a worker.
    #[default]
    Waiting,
    /// Its start is committed, and the run has not ended.
    Placed,
    /// A run of it has done its work. In a gang, one such run counts for all members.
    Done,
}

impl Task {
    /// Records that a run was written off with the lease of its worker.
    pub fn write_off(&mut self, run: u32, worker: &Arc<str>) {
        if self.written_off.len() == WRITTEN_OFF_MAX {
            self.written_off.remove(0);
        }
        self.written_off.push((run, worker.clone()));
    }

    fn was_written_off(&self, run: u32, worker: &str) -> bool {
        let mut known = self.written_off.iter();
        known.any(|(known, on)| *known == run && **on == *worker)
    }
}

impl Step {
    /// Marks tasks as done by a run.
    pub fn finish(&mut self, tasks: Range<usize>, run: u32) {
        for task in &mut self.tasks[tasks] {
            if task.phase != TaskPhase::Done {
                task.phase = TaskPhase::Done;
                task.run = run;
                self.left -= 1;
            }
        }
    }
}

impl Job {
    /// Creates a queued job whose tasks all wait.
    pub fn new(
        key: JobKey,
        queue: Arc<Queue>,
        spec: Arc<SubmittedSpec>,
        tenant: Option<Arc<JobTenant>>,
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
            tenant,
            phase: JobPhase::Queued,
            accepted_unix_ms,
            ended_unix_ms: None,
            held_runs: 0,
            is_past_retention: false,
        }
    }

    /// Whether a task is done, has failed, has written a checkpoint or was on a worker that
    /// crashed.
    pub fn has_progress(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        tasks.any(|task| {
            task.phase == TaskPhase::Done
                || task.failures > 0
                || task.checkpoint.is_some()
                || !task.crashes.is_zero()
        })
    }

    /// Whether a caller may use the job. A caller without a tenant comes through a queue that needs
    /// no key.
    pub fn is_accessible_to(&self, caller: Option<&Tenant>) -> bool {
        match (&self.tenant, caller) {
            (Some(own), Some(caller)) => own.name == caller.name,
            _ => true,
        }
    }

    /// A task of the job; `None` if there is none with this key, which may belong to an earlier job
    /// whose ID was used again, or if the job has ended.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let step = self.steps.get(usize::from(key.step.step))?;
        step.tasks.get(key.index as usize)
    }

    /// The indexes of the tasks that are done if a run of this task is: all members of a gang.
    pub fn done_with(&self, key: TaskKey) -> Range<usize> {
        let (step, index) = (usize::from(key.step.step), key.index as usize);
        if self.spec.steps[step].is_gang {
            0..self.steps[step].tasks.len()
        } else {
            index..index + 1
        }
    }

    /// What the end of a run on `worker` changes that was written off before. The worker had certainly
    /// lost its lease, so a newer run may have started; the work of the older one is done all the
    /// same.
    pub fn late_effect(&self, worker: &str, end: &RunEnd) -> LateEffect {
        let spec = self.spec.steps.get(usize::from(end.task.step.step));
        let (Some(spec), Some(task)) = (spec, self.task(end.task)) else {
            return LateEffect::None;
        };
        if task.phase == TaskPhase::Done || !task.was_written_off(end.run, worker) {
            return LateEffect::None;
        }
        let is_next_run_open = task.phase == TaskPhase::Waiting && end.run == task.run;
        if end.kind == EndKind::Done && !spec.is_service {
            LateEffect::Done
        } else if is_next_run_open && end.checkpoint.is_some() {
            LateEffect::Checkpoint
        } else {
            LateEffect::None
        }
    }

    /// Whether a run that a worker holds is needless: another run has done the work of the task.
    pub fn is_needless(&self, key: TaskKey, run: u32) -> bool {
        let task = self.task(key);
        task.is_some_and(|task| task.phase == TaskPhase::Done && task.run != run)
    }

    /// Ends the job and drops its specification and steps.
    pub fn end(&mut self, phase: JobPhase, at_unix_ms: u64) {
        self.phase = phase;
        self.ended_unix_ms = Some(at_unix_ms);
        self.spec = Arc::default();
        self.steps = Vec::new();
    }

    /// Whether all tasks of the steps that `step` depends on are done.
    pub fn is_ready(&self, step: u16) -> bool {
        let after = &self.spec.steps[usize::from(step)].after;
        after
            .iter()
            .all(|&earlier| self.steps[usize::from(earlier)].left == 0)
    }
}
