//! The lease of a worker: what the leader knows of the worker's clock, and when the lease has
//! certainly expired.
//!
//! A lease ends at a time on the worker's own clock. The leader has seen that clock in a reply and
//! knows the slowest rate at which it may run, so it can tell when a silent worker must have
//! stopped everything. A late request of an earlier leader extends the lease at most as far as that
//! leader could have requested before it noticed that it was no longer the leader.
//!
//! A worker that has started again has another clock. A request that was meant for the former
//! incarnation asks for a lease by the former clock and may get the longest one that a worker
//! grants.

use sapphirepost_types::Millis;

use crate::scheduler::SchedulerConfig;
use crate::scheduler::restarts::LATE_REQUEST_MAX_MS;

/// The slowest rate at which a worker's clock may run, in percent of the leader's clock.
pub const CLOCK_RATE_MIN_PERCENT: u64 = 98;
/// Covers the rounding of clock readings to whole milliseconds.
const ROUNDING_MS: u64 = 5;

/// The clock and the lease of one worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLease {
    /// When this leader began to track the worker.
    tracked_since: Millis,
    /// When the worker followed a former incarnation with the same ID, if it did.
    restarted: Option<Millis>,
    /// The worker's clock in the newest reply that has it, and when the reply came.
    last_clock: Option<(u64, Millis)>,
    /// When the newest reply came.
    last_reply: Option<Millis>,
    /// The latest end of the lease that this leader requested, on the worker's clock.
    requested_until_ms: u64,
    /// When the first missed request since the last recorded reply was sent, if there is one.
    silent_since: Option<Millis>,
}

impl WorkerLease {
    /// The lease of a worker that has not answered this leader yet, and that followed a former
    /// incarnation at `restarted`.
    pub fn new(now: Millis, restarted: Option<Millis>) -> WorkerLease {
        WorkerLease {
            tracked_since: now,
            restarted,
            last_clock: None,
            last_reply: None,
            requested_until_ms: 0,
            silent_since: None,
        }
    }

    /// Records a reply that was written at `clock_ms` on the worker's clock.
    pub fn record_clock(&mut self, clock_ms: u64, now: Millis) {
        // Replies on different connections may overtake each other.
        let is_newer = self.clock_ms(now).is_none_or(|known| clock_ms >= known);
        if is_newer {
            self.last_clock = Some((clock_ms, now));
        }
        self.record_contact(now);
    }

    /// Records a reply without a reading of the worker's clock.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_reply = Some(now);
        self.silent_since = None;
    }

    /// Records a missed request that was sent at `sent`: a poll that failed, or a start that could
    /// not be sent or got no reply.
    pub fn record_missed(&mut self, sent: Millis) {
        self.silent_since.get_or_insert(sent);
    }

    /// Whether the worker has answered this leader and no request was missed since its last reply.
    pub fn is_reachable(&self) -> bool {
        self.last_clock.is_some() && self.silent_since.is_none()
    }

    /// When the newest reply came, or when this leader began to track the worker.
    pub fn heard_at(&self) -> Millis {
        self.last_reply.unwrap_or(self.tracked_since)
    }

    /// When the newest reply to this leader came; `None` before the first one.
    pub fn last_reply(&self) -> Option<Millis> {
        self.last_reply
    }

    /// How long the worker has been silent.
    pub fn silent_ms(&self, now: Millis) -> u64 {
        match (self.silent_since, self.last_clock) {
            (Some(silent_since), _) => now.since(silent_since),
            (None, Some(_)) => 0,
            (None, None) => now.since(self.tracked_since),
        }
    }

    /// The lowest value that the worker's clock can have now; `None` before the first reply.
    pub fn clock_ms(&self, now: Millis) -> Option<u64> {
        let (clock_ms, at) = self.last_clock?;
        Some(clock_ms + now.since(at) * CLOCK_RATE_MIN_PERCENT / 100)
    }

    /// The end of a lease that starts now, on the worker's clock; `None` before the first reply.
    pub fn lease_until_ms(&mut self, now: Millis, lease_ms: u64) -> Option<u64> {
        let until_ms = self.clock_ms(now)? + lease_ms;
        self.requested_until_ms = self.requested_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Whether the lease has certainly expired, so that nothing runs on the worker unless it is
    /// started after `now`.
    pub fn is_lease_over(&self, now: Millis, config: &SchedulerConfig) -> bool {
        let hand_over_ms = config.hand_over_ms;
        let lease_ms = self.lease_max_ms(config);
        let Some((clock_ms, at)) = self.last_clock else {
            let wait_ms = hand_over_ms + lease_ms * 100 / CLOCK_RATE_MIN_PERCENT + ROUNDING_MS;
            return now.since(self.tracked_since) > wait_ms;
        };
        // An earlier leader may have sent requests until `hand_over_ms` after this one began to
        // track the worker.
        let handover_end = self.tracked_since + hand_over_ms;
        let earlier_until_ms = clock_ms + handover_end.since(at) + lease_ms;
        let until_ms = self.requested_until_ms.max(earlier_until_ms) + ROUNDING_MS;
        self.clock_ms(now)
            .is_some_and(|clock_ms| clock_ms > until_ms)
    }
    /// The longest lease that a request of another leader, or one for the former incarnation, may
    /// have got until the last reply.
    fn lease_max_ms(&self, config: &SchedulerConfig) -> u64 {
        let may_be_late = |restarted| self.heard_at().since(restarted) <= LATE_REQUEST_MAX_MS;
        if self.restarted.is_some_and(may_be_late) {
            config.lease_max_ms
        } else {
            config.lease_ms
        }
    }
}
