//! How long steps wait for the leader rather than for room.
//!
//! The steps that wait for a commit, a permit or a round, divided by the rate at which the leader
//! places steps, give the wait of a new one. It decides on new jobs only while the leader is seen to
//! be the limit.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::admission::LeaderWait;
use crate::scheduler::backlog::QueueBacklog;
use crate::table::Queue;

/// The end of a job waits for a reply of its worker, which takes about as long as a commit on a
/// leader that is behind, and for a commit.
const COMMITS_AFTER_START: u64 = 2;
/// Fewer waiting steps are no reason to refuse a job: some jobs have to be accepted for the rate to be
/// measured.
const LEADER_STEPS_MIN: u64 = 8;
/// A shorter wait for the leader is no reason to refuse a job.
const LEADER_WAIT_MIN_MS: u64 = 200;
/// Callers that are refused together return over this time.
pub(crate) const LEADER_RETRY_SPREAD_MS: u64 = 1_000;

/// The steps that a leader places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementLoad {
    /// Steps that were placed in the last second.
    pub steps_per_s: u64,
    /// The time that scheduling took in the last second.
    pub scheduling_ms: u64,
    /// Whether the leader places fewer steps than there is room for.
    pub is_limited: bool,
}

/// The waiting steps of one queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueWait {
    /// The name of the queue.
    pub queue: Arc<str>,
    /// Its waiting steps when the last round began, also those that lack room.
    pub steps: u64,
    /// Steps that wait for the leader, of all queues that are at least as urgent.
    pub leader_steps: u64,
    /// How long a new step is expected to wait for its placement by the leader, without regard to
    /// room.
    pub expected_ms: u64,
}

impl Scheduler {
    /// What the leader places.
    pub fn placement_load(&self, now: Millis) -> PlacementLoad {
        PlacementLoad {
            steps_per_s: self.placement_rate.starts(u32::MAX),
            scheduling_ms: self.placement_rate.scheduling_ms(),
            is_limited: self.placement_rate.is_limited(now),
        }
    }

    /// The waiting steps of each queue that has some.
    pub fn queue_waits(&self) -> Vec<QueueWait> {
        let backlog = &self.rounds.backlog;
        let wait = |queue: &QueueBacklog| {
            let leader_steps = backlog.leader_steps(queue.priority);
            QueueWait {
                queue: queue.queue.clone(),
                steps: queue.steps,
                leader_steps,
                expected_ms: self.placement_rate.wait_ms(leader_steps, queue.priority),
            }
        };
        backlog.queues().map(wait).collect()
    }

    /// The wait of a new job of a queue behind the steps that are at least as urgent, if the leader
    /// places as many steps as it can; the job can spare `spare_ms`.
    pub(crate) fn leader_wait(
        &self,
        queue: &Queue,
        spare_ms: u64,
        now: Millis,
    ) -> Option<LeaderWait> {
        if !self.placement_rate.is_limited(now) {
            return None;
        }
        let steps = self.rounds.backlog.leader_steps(queue.priority);
        if steps < LEADER_STEPS_MIN {
            return None;
        }
        let start_ms = self.placement_rate.wait_ms(steps, queue.priority);
        let end_ms = COMMITS_AFTER_START * self.overload.commit_ms();
        Some(LeaderWait {
            expected_ms: start_ms + end_ms.min(3 * spare_ms / 8),
            limit_ms: (spare_ms / 2).max(LEADER_WAIT_MIN_MS),
        })
    }

    /// Records in the placement rate that tasks of a step were started, if no further ones wait.
    pub(crate) fn record_placed_step(&mut self, step: StepKey, now: Millis) {
        let view = self.steps.get(&step);
        if let Some(view) = view.filter(|view| view.waiting.is_empty()) {
            self.placement_rate.record_start(view.queue.priority, now);
            self.rounds.backlog.remove_step(view);
            if !view.lacked_room && !view.spec().is_gang && view.spec().after.is_empty() {
                let is_slow = now.since(view.arrived) >= view.slow_start_ms();
                self.placement_rate.record_wait(is_slow, now);
            }
        }
    }
}
