//! Identifiers of jobs, steps and tasks. `FromStr` parses the `Display` forms of jobs and tasks.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The length of a job key in hexadecimal digits.
pub(crate) const JOB_KEY_DIGITS: usize = 16;

/// The error for a text that is not a valid key, with the expected form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected {0}")]
pub struct ParseKeyError(&'static str);

/// The ID that a caller gives a job; as text, 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobKey(pub u64);

impl JobKey {
    /// A hash of the key from 0 to 999, spread evenly whatever keys the callers choose.
    pub(crate) fn spread_permille(self) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed >> 32) % 1_000
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<JobKey, ParseKeyError> {
        let error = ParseKeyError("16 lower-case hexadecimal digits");
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_KEY_DIGITS || !text.bytes().all(is_digit) {
            return Err(error);
        }
        u64::from_str_radix(text, 16).map(JobKey).map_err(|_| error)
    }
}

/// The key of a step: its job and its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepKey {
    /// The job that the step belongs to.
    pub job: JobKey,
    /// The zero-based position of the step in the job's specification.
    pub step: u16,
}

impl StepKey {
    /// The key of the task at `index` of the step.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

/// The occurrence number in the text form of keys; always 0, since each job runs once.
const ONLY_OCCURRENCE: u32 = 0;

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{ONLY_OCCURRENCE}.{}", self.job, self.step)
    }
}

/// The key of a task: its step and its index. It is serialised as text, since it is used as a map
/// key and JSON allows only text there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskKey {
    /// The step that the task belongs to.
    pub step: StepKey,
    /// The zero-based index of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl From<TaskKey> for String {
    fn from(key: TaskKey) -> String {
        key.to_string()
    }
}

impl TryFrom<String> for TaskKey {
    type Error = ParseKeyError;

    fn try_from(text: String) -> Result<TaskKey, ParseKeyError> {
        text.parse()
    }
}

impl FromStr for TaskKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<TaskKey, ParseKeyError> {
        let error = ParseKeyError("<job>.<occurrence>.<step>.<index>");
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(error);
        let job = next()?.parse()?;
        let occurrence: u32 = next()?.parse().map_err(|_| error)?;
        let step = next()?.parse().map_err(|_| error)?;
        let index = next()?.parse().map_err(|_| error)?;
        if occurrence != ONLY_OCCURRENCE || parts.next().is_some() {
            return Err(error);
        }
        Ok(StepKey { job, step }.task(index))
    }
}
