//! A task of a stand-in worker: a timer.
//!
//! The payload consists of words: `run_ms=<number>` sets the run time, `fail` makes the task end
//! with an error. Without a run time, and without a declared one, the task runs until stopped.

use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_types::Attempt;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Resources;

/// When a task without a run time fails, if it is meant to.
const FAIL_AFTER_MS: u64 = 50;

/// A stop that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopping {
    pub(crate) until: Millis,
    pub(crate) checkpointed: bool,
}

/// A running attempt.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) resources: Resources,
    pub(crate) on_partition: OnPartition,
    pub(crate) stopping: Option<Stopping>,
    /// Whether a sync that was answered has reported it.
    pub(crate) is_reported: bool,
    fails: bool,
    /// Work that is left at full speed.
    left_ms: Option<u64>,
    /// The share of its processors that the task may use.
    percent: u64,
    since: Millis,
}

/// What a task is started with.
pub(crate) struct Start<'a> {
    pub(crate) attempt: Attempt,
    pub(crate) job: Name,
    pub(crate) resources: Resources,
    pub(crate) on_partition: OnPartition,
    pub(crate) payload: &'a str,
    pub(crate) run_time_ms: Option<u64>,
    pub(crate) must_fail: bool,
}

impl Task {
    pub(crate) fn new(now: Millis, start: Start<'_>) -> Task {
        let mut left_ms = start.run_time_ms;
        let mut fails = start.must_fail;
        for word in start.payload.split_whitespace() {
            if word == "fail" {
                fails = true;
            }
            if let Some(text) = word.strip_prefix("run_ms=") {
                left_ms = text.parse().ok().or(left_ms);
            }
        }
        if start.must_fail {
            left_ms = Some(FAIL_AFTER_MS);
        }
        if fails {
            left_ms = left_ms.or(Some(FAIL_AFTER_MS));
        }
        Task {
            attempt: start.attempt,
            resources: start.resources,
            on_partition: start.on_partition,
            stopping: None,
            is_reported: false,
            fails,
            left_ms,
            percent: 100,
            since: now,
        }
    }

    /// Changes the speed of the task.
    pub(crate) fn throttle(&mut self, now: Millis, percent: u8) {
        self.left_ms = self.left(now);
        self.since = now;
        self.percent = u64::from(percent.clamp(1, 100));
    }

    fn left(&self, now: Millis) -> Option<u64> {
        let done_ms = now.since(self.since) * self.percent / 100;
        Some(self.left_ms?.saturating_sub(done_ms))
    }

    /// How the task has ended by `now`, if it has.
    pub(crate) fn end(&self, now: Millis) -> Option<TaskStatus> {
        if let Some(stopping) = self.stopping {
            let checkpointed = stopping.checkpointed;
            let status = TaskStatus::Stopped { checkpointed };
            return (now >= stopping.until).then_some(status);
        }
        if self.left(now)? > 0 {
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
