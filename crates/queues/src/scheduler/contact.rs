//! What a leader knows of a worker's clock, and when the worker's lease is certainly over.
//!
//! A lease ends at a time on the worker's own clock. The leader has seen that clock in an answer
//! and knows the slowest rate at which it may run, so it can tell when a silent worker must have
//! stopped everything. A later order of an earlier leader extends the lease at most as far as
//! that leader could have asked for before it noticed that it no longer leads.

use sapphirepost_types::Millis;

/// The slowest rate of a worker's clock against the leader's, in hundredths.
pub const CLOCK_RATE_MIN_PERCENT: u64 = 98;
/// Covers the rounding of clock readings to whole milliseconds.
const ROUNDING_MS: u64 = 5;

/// The clock and lease of one worker.
#[derive(Clone, Copy, Debug)]
pub struct Contact {
    /// When the leader's term began here.
    since: Millis,
    /// The worker's clock in the last answer, and when the answer came.
    heard: Option<(u64, Millis)>,
    /// The latest end of the lease that was asked for, on the worker's clock.
    asked_until_ms: u64,
    /// When an order first went unanswered since the last answer.
    silent_since: Option<Millis>,
}

impl Contact {
    /// A worker that this leader has not heard yet.
    pub fn new(now: Millis) -> Contact {
        Contact {
            since: now,
            heard: None,
            asked_until_ms: 0,
            silent_since: None,
        }
    }

    /// An answer came that was written at `clock_ms` on the worker's clock.
    pub fn answered(&mut self, clock_ms: u64, now: Millis) {
        // Answers on different connections may overtake each other.
        let is_newer = self.clock_ms(now).is_none_or(|known| clock_ms >= known);
        if is_newer {
            self.heard = Some((clock_ms, now));
        }
        self.silent_since = None;
    }

    /// An order that was sent at `sent` had no answer.
    pub fn missed(&mut self, sent: Millis) {
        self.silent_since.get_or_insert(sent);
    }

    /// Whether the last order was answered.
    pub fn is_reachable(&self) -> bool {
        self.heard.is_some() && self.silent_since.is_none()
    }

    /// How long the worker has not answered.
    pub fn silent_ms(&self, now: Millis) -> u64 {
        match (self.silent_since, self.heard) {
            (Some(since), _) => now.since(since),
            (None, Some(_)) => 0,
            (None, None) => now.since(self.since),
        }
    }

    /// The lowest value that the worker's clock can have now.
    pub fn clock_ms(&self, now: Millis) -> Option<u64> {
        let (clock_ms, at) = self.heard?;
        Some(clock_ms + now.since(at) * CLOCK_RATE_MIN_PERCENT / 100)
    }

    /// The end of a lease that starts now, on the worker's clock; `None` before the first answer.
    pub fn lease_until_ms(&mut self, now: Millis, lease_ms: u64) -> Option<u64> {
        let until_ms = self.clock_ms(now)? + lease_ms;
        self.asked_until_ms = self.asked_until_ms.max(until_ms);
        Some(until_ms)
    }

    /// Whether nothing can run on the worker any more, unless it is started after this moment.
    pub fn is_lease_over(&self, now: Millis, lease_ms: u64, hand_over_ms: u64) -> bool {
        let Some((clock_ms, at)) = self.heard else {
            let wait_ms = hand_over_ms + lease_ms * 100 / CLOCK_RATE_MIN_PERCENT + ROUNDING_MS;
            return now.since(self.since) > wait_ms;
        };
        // An earlier leader may have sent orders until `hand_over_ms` after this term began.
        let handed_over = self.since + hand_over_ms;
        let earlier_until_ms = clock_ms + handed_over.since(at) + lease_ms;
        let until_ms = self.asked_until_ms.max(earlier_until_ms) + ROUNDING_MS;
        self.clock_ms(now)
            .is_some_and(|clock_ms| clock_ms > until_ms)
    }
}
