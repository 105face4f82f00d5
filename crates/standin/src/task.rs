//! A simulated task. It executes nothing and ends when its run time has elapsed.
//!
//! The payload consists of words: `run_ms=<number>` replaces the declared run time, `fail` makes
//! the task end with an error. A task with neither a declared run time nor `run_ms` runs until it
//! is stopped.

use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_types::Attempt;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Resources;

/// Run time of a task that must fail and either has no run time or is on a worker where every
/// task fails.
const FAIL_AFTER_MS: u64 = 50;

/// A stop in progress, which completes at `until`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopping {
    pub(crate) until: Millis,
    pub(crate) checkpointed: bool,
}

/// A running or stopping attempt.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) resources: Resources,
    pub(crate) on_partition: OnPartition,
    pub(crate) stopping: Option<Stopping>,
    /// Whether a sync that received a reply has reported this attempt.
    pub(crate) is_reported: bool,
    fails: bool,
    /// Remaining run time at full speed as of `updated_at`, absent for a task without an end.
    remaining_ms: Option<u64>,
    /// The share of its declared processors that the task may use.
    speed_percent: u64,
    /// When `remaining_ms` was computed.
    updated_at: Millis,
}

/// The arguments of a start command.
pub(crate) struct TaskStart<'a> {
    pub(crate) attempt: Attempt,
    pub(crate) job: Name,
    pub(crate) resources: Resources,
    pub(crate) on_partition: OnPartition,
    pub(crate) payload: &'a str,
    pub(crate) run_time_ms: Option<u64>,
    /// Whether the task fails after [`FAIL_AFTER_MS`], whatever its payload says.
    pub(crate) must_fail: bool,
}

impl Task {
    pub(crate) fn new(now: Millis, start: TaskStart<'_>) -> Task {
        let mut remaining_ms = start.run_time_ms;
        let mut fails = start.must_fail;
        for word in start.payload.split_whitespace() {
            if word == "fail" {
                fails = true;
            }
            if let Some(text) = word.strip_prefix("run_ms=") {
                remaining_ms = text.parse().ok().or(remaining_ms);
            }
        }
        if start.must_fail {
            remaining_ms = Some(FAIL_AFTER_MS);
        }
        if fails {
            remaining_ms = remaining_ms.or(Some(FAIL_AFTER_MS));
        }
        Task {
            attempt: start.attempt,
            resources: start.resources,
            on_partition: start.on_partition,
            stopping: None,
            is_reported: false,
            fails,
            remaining_ms,
            speed_percent: 100,
            updated_at: now,
        }
    }

    /// Limits the task to `percent` of its declared processors, which slows its progress
    /// accordingly.
    pub(crate) fn throttle(&mut self, now: Millis, percent: u8) {
        self.remaining_ms = self.remaining_at(now);
        self.updated_at = now;
        self.speed_percent = u64::from(percent.clamp(1, 100));
    }

    fn remaining_at(&self, now: Millis) -> Option<u64> {
        let done_ms = now.since(self.updated_at) * self.speed_percent / 100;
        Some(self.remaining_ms?.saturating_sub(done_ms))
    }

    /// The final status, if the task has ended by `now`.
    pub(crate) fn final_status(&self, now: Millis) -> Option<TaskStatus> {
        if let Some(stopping) = self.stopping {
            let checkpointed = stopping.checkpointed;
            let status = TaskStatus::Stopped { checkpointed };
            return (now >= stopping.until).then_some(status);
        }
        if self.remaining_at(now)? > 0 {
            return None;
        }
        Some(if self.fails {
            TaskStatus::Failed {
                reason: "the payload asks for it".to_owned(),
            }
        } else {
            TaskStatus::Finished
        })
    }
}
