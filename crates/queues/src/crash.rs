//! Crashes of workers as evidence against the tasks that ran on them.
//!
//! A worker that another incarnation has replaced has crashed, and a task that ran there may be the
//! cause. A planned end proves nothing. Silence and an expired lease are evidence only if worker
//! after worker falls silent at the start of the same task and does not return. Most tasks on a
//! crashed worker are innocent: those that had started long before are not even suspected, and a
//! suspected one is given up only after a crash that is attributed to its job alone. Until then its
//! runs are isolated, so that the next crash can be attributed.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobKey;
use crate::ids::TaskKey;

/// A task is given up after it was a suspect of this many crashes, if one of them is attributed to
/// its job.
const CRASHES_MAX: u32 = 2;
/// After this many crashes, a task that was never suspected gets a worker for itself: it may crash
/// its workers long after its start.
const SHARED_CRASHES_MAX: u32 = 4;

/// A task is given up after it was a suspect of this many workers that have crashed, or that are
/// silent since their lease expired, if enough of them are attributed to its job. The silent ones
/// may stay down for longer than the task can wait for their return.
const SILENT_MAX: u32 = 4;
/// How many of them have to be attributed to its job.
const SILENT_ATTRIBUTED_MIN: u32 = 2;
/// After this many silent workers of which it is a suspect, a task is isolated.
const SILENT_ISOLATED_MIN: u32 = 2;

/// The crashes of workers on which a task ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CrashCount {
    /// The workers that crashed while the task ran on them.
    pub workers: u32,
    /// Those at which the task was a suspect.
    pub suspected: u32,
    /// Those at which only tasks of its job were suspects.
    pub attributed: u32,
    /// When the lease of a worker last expired of which the task is a suspect, how many such
    /// workers were silent.
    pub silent: u32,
    /// Those of them at which only tasks of its job were suspects.
    pub silent_attributed: u32,
}

/// How a task has to be kept apart from tasks of other jobs, so that a crash can be attributed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Isolation {
    /// It may start beside any task.
    #[default]
    None,
    /// Nothing else may start on its worker shortly before or after it.
    ExclusiveStart,
    /// Nothing else may run on its worker.
    ExclusiveWorker,
}

/// The runs that ended with their worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LostRuns {
    /// The tasks that may have run there.
    pub tasks: Vec<TaskKey>,
    /// Those that are suspected to have crashed the worker: tasks that had just started there, and
    /// those that had the worker for themselves.
    pub suspects: Vec<TaskKey>,
    /// Whether it is unknown which of the suspects had just started, because an earlier leader
    /// started them. The crash is then only attributed to a task that was a suspect before, since
    /// that one was isolated.
    #[serde(default)]
    pub is_inconclusive: bool,
}

impl CrashCount {
    /// Whether no worker has crashed under the task, or has fallen silent at its start.
    pub fn is_zero(&self) -> bool {
        *self == CrashCount::default()
    }

    /// Records a crash that ended a run of `task`.
    pub fn record(&mut self, task: TaskKey, lost: &LostRuns) {
        let is_suspect = lost.is_suspect(task);
        let is_attributed = self.is_attributed(task, lost);
        self.workers += 1;
        self.suspected += u32::from(is_suspect);
        self.attributed += u32::from(is_attributed);
    }

    /// Whether the loss of a worker is attributed to the job of `task` alone.
    fn is_attributed(&self, task: TaskKey, lost: &LostRuns) -> bool {
        let is_conclusive = !lost.is_inconclusive || self.suspected > 0;
        lost.is_suspect(task) && is_conclusive && lost.is_only_suspect(task.step.job)
    }

    /// Sets the counts of the silent workers of which `task` is a suspect.
    pub fn set_silent<'a>(&mut self, task: TaskKey, silent: impl Iterator<Item = &'a LostRuns>) {
        (self.silent, self.silent_attributed) = (0, 0);
        for lost in silent {
            self.silent += 1;
            self.silent_attributed += u32::from(self.is_attributed(task, lost));
        }
    }

    /// Whether the task has crashed so many workers that it is not started again.
    pub fn is_given_up(&self) -> bool {
        let is_suspect = self.suspected >= CRASHES_MAX || self.workers > SHARED_CRASHES_MAX;
        let has_crashed = is_suspect && self.attributed > 0;
        let lost = self.suspected + self.silent;
        let attributed = self.attributed + self.silent_attributed;
        has_crashed || lost >= SILENT_MAX && attributed >= SILENT_ATTRIBUTED_MIN
    }

    /// How the next run of the task is isolated.
    pub fn isolation(&self) -> Isolation {
        if self.suspected > 0 || self.silent >= SILENT_ISOLATED_MIN {
            Isolation::ExclusiveStart
        } else if self.workers >= SHARED_CRASHES_MAX {
            Isolation::ExclusiveWorker
        } else {
            Isolation::None
        }
    }
}

impl LostRuns {
    /// Adds runs that ended later with the same incarnation of a worker.
    pub fn merge(&mut self, later: &LostRuns) {
        self.tasks.extend_from_slice(&later.tasks);
        self.suspects.extend_from_slice(&later.suspects);
        for tasks in [&mut self.tasks, &mut self.suspects] {
            tasks.sort_unstable();
            tasks.dedup();
        }
        self.is_inconclusive |= later.is_inconclusive;
    }

    /// Whether no run was lost.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Whether a task is a suspect.
    pub fn is_suspect(&self, task: TaskKey) -> bool {
        self.suspects.contains(&task)
    }

    /// Whether only tasks of this job are suspects.
    pub fn is_only_suspect(&self, job: JobKey) -> bool {
        !self.suspects.is_empty() && self.suspects.iter().all(|task| task.step.job == job)
    }
}
