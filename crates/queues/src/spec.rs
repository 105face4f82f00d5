//! Job specifications, as callers submit them.

use std::sync::Arc;

use sapphirepost_types::Resources;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use thiserror::Error;

/// The maximum length of a payload. The start request of every task carries a copy.
const PAYLOAD_MAX_BYTES: usize = 4_000;
/// The largest number of steps of a job.
const STEPS_MAX: usize = 256;
/// The largest number of tasks of a job, over all steps.
const TASKS_MAX: u64 = 20_000;

/// A duration in milliseconds for each step of a job.
pub type StepDurations = SmallVec<[u64; 4]>;

/// The specification of a job, without its key and queue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedSpec {
    /// The payload that every task of the job gets.
    pub payload: Arc<str>,
    /// The steps; a step can depend only on earlier ones.
    pub steps: Vec<StepSpec>,
}

/// The specification of a step: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// The number of tasks; at least 1.
    pub count: u32,
    /// The resources that each task takes on its worker.
    pub resources: Resources,
    /// The caller's estimate of a task's duration.
    pub estimate_ms: u64,
    /// The indexes of earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "SmallVec::is_empty")]
    pub after: SmallVec<[u16; 4]>,
    /// Whether the tasks form a gang: they run only together and share run numbers.
    #[serde(skip_serializing_if = "is_false")]
    pub is_gang: bool,
    /// Whether the tasks run slowly if they are spread over several racks. A gang is then placed on
    /// one rack if possible; other steps ignore this.
    #[serde(skip_serializing_if = "is_false")]
    pub is_single_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<Arc<str>>,
    /// The rack that holds the data of the tasks, as a worker label. Its workers are preferred,
    /// except for gangs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub preferred_rack: Option<Arc<str>>,
    /// The largest number of tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub per_worker_max: Option<u32>,
    /// Whether the tasks write checkpoints from which a later run resumes.
    #[serde(skip_serializing_if = "is_false")]
    pub has_checkpoints: bool,
    /// Whether copies of a task may run at the same time. The scheduler does not use it.
    #[serde(skip_serializing_if = "is_false")]
    pub may_run_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub is_service: bool,
}

impl StepSpec {
    /// The estimated processor time of one task.
    pub fn task_core_ms(&self) -> u64 {
        self.resources.millicores * self.estimate_ms / 1_000
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Why a job is refused as invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SpecError {
    /// The payload is too long; holds its length in bytes.
    #[error("the payload has {0} bytes, at most {PAYLOAD_MAX_BYTES} are allowed")]
    PayloadTooLong(usize),
    /// The job has no steps or too many; holds their number.
    #[error("a job has 1 to {STEPS_MAX} steps, got {0}")]
    StepCount(usize),
    /// A step has no tasks, or the job has too many.
    #[error("a step has at least one task and a job at most {TASKS_MAX}")]
    TaskCount,
    /// A step depends on itself, on a later step, or on one that does not exist.
    #[error("step {step} depends on step {after}, which is not an earlier one")]
    Dependency {
        /// The index of the step.
        step: usize,
        /// The index of the step that it depends on.
        after: u16,
    },
}

impl SubmittedSpec {
    /// Checks the payload length, the numbers of steps and tasks, and the dependencies.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.payload.len() > PAYLOAD_MAX_BYTES {
            return Err(SpecError::PayloadTooLong(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(SpecError::StepCount(self.steps.len()));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > TASKS_MAX || self.steps.iter().any(|step| step.count == 0) {
            return Err(SpecError::TaskCount);
        }
        for (step, spec) in self.steps.iter().enumerate() {
            let later = spec.after.iter().find(|&&after| usize::from(after) >= step);
            if let Some(&after) = later {
                return Err(SpecError::Dependency { step, after });
            }
        }
        Ok(())
    }

    /// The estimated durations of the tasks of each step.
    pub fn estimates_ms(&self) -> StepDurations {
        self.steps.iter().map(|step| step.estimate_ms).collect()
    }

    /// For each step, the time from its start to the end of the longest chain of steps that depend
    /// on it, if the tasks of the steps take `durations_ms`.
    pub fn remaining_paths_ms(&self, durations_ms: &[u64]) -> StepDurations {
        let mut remaining_paths_ms = StepDurations::from_elem(0, self.steps.len());
        for (index, step) in self.steps.iter().enumerate().rev() {
            remaining_paths_ms[index] += durations_ms[index];
            let remaining_path_ms = remaining_paths_ms[index];
            for &earlier in &step.after {
                let longest_ms = &mut remaining_paths_ms[usize::from(earlier)];
                *longest_ms = remaining_path_ms.max(*longest_ms);
            }
        }
        remaining_paths_ms
    }

    /// The estimated processor time of all tasks.
    pub fn core_ms(&self) -> u64 {
        let steps = self.steps.iter();
        steps
            .map(|step| u64::from(step.count) * step.task_core_ms())
            .sum()
    }

    /// The time of the longest chain of dependent steps, if the tasks of the steps take
    /// `durations_ms`.
    pub fn critical_path_ms(&self, durations_ms: &[u64]) -> u64 {
        let paths_ms = self.remaining_paths_ms(durations_ms);
        paths_ms.into_iter().max().unwrap_or(0)
    }
}
