//! A leader whose processor is slow: its work takes time on the virtual clock.
//!
//! Each check of the scheduler, each event and each action costs time. While the leader is busy,
//! events that become due wait, and no tick happens. By default the work costs nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_types::Millis;

use super::Event;
use super::Model;
use super::NET_MS;
use super::STEP_MS;

/// The leader handles up to this many events between two ticks.
const EVENTS_PER_TICK: usize = 512;

/// A job that a caller submits.
#[derive(Clone)]
pub struct Submission {
    pub key: u64,
    pub queue: Arc<str>,
    pub spec: SubmittedSpec,
    /// Whether it was refused before.
    pub is_retry: bool,
    /// How long after the first offer the caller may return; `None` for a caller that returns once.
    pub useful_ms: Option<u64>,
}

/// How a job was offered to the leader.
pub struct Offer {
    pub queue: Arc<str>,
    /// When the caller sent it for the first time.
    pub first_at: Millis,
    /// When the caller sent it for the last time.
    pub last_at: Millis,
    pub refusals: usize,
}

/// What the leader's work costs, and how far it is behind.
#[derive(Default)]
pub struct LeaderTime {
    /// The time that a check of a worker for a step takes.
    pub check_cost_ns: u64,
    /// The time that an event or an action takes.
    pub event_cost_us: u64,
    /// The longest time that the leader was busy without a break.
    pub longest_busy_ms: u64,
    /// The longest time that an event waited until it was handled.
    pub oldest_event_ms: u64,
    /// The number of refused submissions, also those of jobs that come back.
    pub refused: u64,
    /// The number of jobs whose callers were refused and do not return.
    pub refused_for_good: u64,
    /// All offered jobs.
    pub offers: BTreeMap<JobKey, Offer>,
    /// The checks of the scheduler.
    pub checks: u64,
    /// The time that all work of the leader has taken.
    pub work_ns: u64,
    busy_until_ns: u64,
    /// The end of the last break.
    busy_since_ns: u64,
    /// Events that are due and wait until the leader handles them, with the time at which they
    /// became due.
    waiting: VecDeque<(Millis, Event)>,
    /// Events handled since the last tick.
    events_since_tick: usize,
}

impl LeaderTime {
    /// A new leader has no events and no work to finish.
    pub fn restart(&mut self) {
        self.waiting.clear();
        self.events_since_tick = 0;
        self.busy_until_ns = 0;
    }

    /// Records work that the leader has just done.
    pub fn spend(&mut self, checks: u64, events: usize) {
        self.checks += checks;
        let took_ns = checks * self.check_cost_ns + events as u64 * self.event_cost_us * 1_000;
        self.work_ns += took_ns;
        self.busy_until_ns += took_ns;
        let busy_ns = self.busy_until_ns.saturating_sub(self.busy_since_ns);
        self.longest_busy_ms = self.longest_busy_ms.max(busy_ns / 1_000_000);
    }

    /// Whether the leader is busy for the whole present step of the model.
    fn is_busy(&self, now: Millis) -> bool {
        self.busy_until_ns >= (now + STEP_MS).0 * 1_000_000
    }

    /// Records a break, if the leader has done all its work before `now`.
    fn take_break(&mut self, now: Millis) {
        let now_ns = now.0 * 1_000_000;
        if self.waiting.is_empty() && self.busy_until_ns <= now_ns {
            self.busy_until_ns = now_ns;
            self.busy_since_ns = now_ns;
        }
    }
}

impl Model {
    /// Sends a job to the leader, which accepts or refuses it. A refused job comes back once.
    pub fn offer(&mut self, key: u64, queue: &str, spec: SubmittedSpec) {
        self.send_first(key, queue, spec, None);
    }

    /// The same, and a refused job comes back if this is less than `useful_ms` after the first
    /// offer.
    pub fn offer_while_useful(
        &mut self,
        key: u64,
        queue: &str,
        spec: SubmittedSpec,
        useful_ms: u64,
    ) {
        self.send_first(key, queue, spec, Some(useful_ms));
    }

    fn send_first(&mut self, key: u64, queue: &str, spec: SubmittedSpec, useful_ms: Option<u64>) {
        let submission = Submission {
            key,
            queue: Arc::from(queue),
            spec,
            is_retry: false,
            useful_ms,
        };
        let offer = Offer {
            queue: submission.queue.clone(),
            first_at: self.now,
            last_at: self.now,
            refusals: 0,
        };
        self.leader.offers.insert(JobKey(key), offer);
        self.schedule(NET_MS, Event::Submitted(submission));
    }

    pub(super) fn handle_submitted(&mut self, submission: Submission) {
        let table = self.state.table().unwrap();
        let queue = table.queue(&submission.queue).unwrap();
        let key = JobKey(submission.key);
        let admission = self
            .scheduler
            .admission(key, queue, &submission.spec, None, self.now);
        let Some(retry_after_ms) = admission.and_then(|admission| admission.retry_after_ms())
        else {
            return self.submit(submission.key, &submission.queue, submission.spec);
        };
        self.leader.refused += 1;
        let offer = self.leader.offers.get_mut(&key).unwrap();
        offer.refusals += 1;
        let returns_at = self.now + retry_after_ms;
        let returns = match submission.useful_ms {
            Some(useful_ms) => returns_at.since(offer.first_at) < useful_ms,
            None => !submission.is_retry,
        };
        if !returns {
            self.leader.refused_for_good += 1;
            return;
        }
        offer.last_at = returns_at;
        let retry = Submission {
            is_retry: true,
            ..submission
        };
        self.schedule(retry_after_ms, Event::Submitted(retry));
    }

    /// Handles an event, or lets it wait while the leader is busy.
    pub(super) fn leader_event(&mut self, due: Millis, event: Event) {
        self.leader.take_break(self.now);
        self.leader.waiting.push_back((due, event));
        self.handle_waiting_events();
    }

    fn handle_waiting_events(&mut self) {
        while !self.leader.is_busy(self.now) {
            if self.leader.events_since_tick >= EVENTS_PER_TICK && self.leader.event_cost_us > 0 {
                self.leader.events_since_tick = 0;
                self.tick();
                continue;
            }
            let Some((due, event)) = self.leader.waiting.pop_front() else {
                return;
            };
            let handled_ms = self.leader.busy_until_ns / 1_000_000;
            let waited_ms = handled_ms.max(self.now.0) - due.0;
            self.leader.oldest_event_ms = self.leader.oldest_event_ms.max(waited_ms);
            let events = match &event {
                Event::Applied(commands) => {
                    let took_ms = self.commit_ms + waited_ms;
                    self.scheduler.record_commit(took_ms, self.now);
                    commands.len()
                }
                _ => 1,
            };
            self.handle(event);
            self.leader.events_since_tick += 1;
            let checks = self.scheduler.take_checks();
            self.leader.spend(checks, events);
        }
    }

    /// Handles the events that wait. Returns whether the leader has time for a tick after them.
    pub(super) fn finish_leader_events(&mut self) -> bool {
        self.leader.take_break(self.now);
        self.handle_waiting_events();
        let has_time = !self.leader.is_busy(self.now);
        if has_time {
            self.leader.events_since_tick = 0;
        }
        has_time
    }
}
