//! A bound on how fast a leader's wall clock moves the clock of the state.
//!
//! The state keeps the highest clock that a leader has written, so one leader whose wall clock is
//! far ahead would move it for good, and requests with correct ids would be refused as too old
//! until real time has caught up. Invariant: if the first clock that was seen is `c`, and the
//! commands of other leaders keep to the bound, then every reading a time T of the monotonic clock
//! later is at most `c + 1.1 T + 60 s`. Jumps of other leaders use up the same allowance.

use sapphirepost_types::Millis;

/// How far the readings may run ahead of the monotonic clock at once; as much as the ids of
/// operations and requests may be ahead of the state.
pub const JUMP_MAX_MS: u64 = 60_000;
/// What each millisecond adds to a used allowance, in microseconds. A clock that is a day ahead
/// moves the state 6 minutes an hour, less than the 10 minutes for which claims are remembered.
const REFILL_US_PER_MS: u64 = 100;

/// A reading of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The clock to use, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// How far the wall clock is ahead of it.
    pub ahead_ms: u64,
}

/// Where the clock of the state may be by the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Reference {
    unix_ms: u64,
    at: Millis,
}

/// Holds back a wall clock that runs ahead of the cluster.
#[derive(Clone, Debug)]
pub struct ClockBound {
    reference: Option<Reference>,
    allowance_us: u64,
}

impl Default for ClockBound {
    fn default() -> ClockBound {
        ClockBound {
            reference: None,
            allowance_us: JUMP_MAX_MS * 1_000,
        }
    }
}

impl ClockBound {
    /// Whether nothing was seen since the process started, so that the wall clock is trusted.
    pub fn is_unknown(&self) -> bool {
        self.reference.is_none()
    }

    /// Follows the clock of a command that was proposed since the process started.
    pub fn observe(&mut self, now: Millis, clock_unix_ms: u64) {
        let reference = self.advance(now, clock_unix_ms);
        let excess_ms = clock_unix_ms.saturating_sub(reference.unix_ms);
        self.allowance_us = self.allowance_us.saturating_sub(excess_ms * 1_000);
        // Never lowered: after a time without a quorum, commands are applied whose clock is old.
        self.reference = Some(Reference {
            unix_ms: reference.unix_ms.max(clock_unix_ms),
            at: reference.at,
        });
    }

    /// The wall clock as far as it may be used.
    pub fn read(&mut self, now: Millis, wall_unix_ms: u64) -> Reading {
        let reference = self.advance(now, wall_unix_ms);
        let limit_ms = reference.unix_ms.saturating_add(self.allowance_us / 1_000);
        let unix_ms = wall_unix_ms.min(limit_ms);
        self.observe(now, unix_ms);
        Reading {
            unix_ms,
            ahead_ms: wall_unix_ms - unix_ms,
        }
    }

    /// Moves the reference to `now`; the first one is at `first_unix_ms`.
    fn advance(&mut self, now: Millis, first_unix_ms: u64) -> Reference {
        let known = self.reference.unwrap_or(Reference {
            unix_ms: first_unix_ms,
            at: now,
        });
        let elapsed_ms = now.since(known.at);
        let refilled_us = self.allowance_us + elapsed_ms.saturating_mul(REFILL_US_PER_MS);
        self.allowance_us = refilled_us.min(JUMP_MAX_MS * 1_000);
        let moved = Reference {
            unix_ms: known.unix_ms.saturating_add(elapsed_ms),
            at: now.max(known.at),
        };
        self.reference = Some(moved);
        moved
    }
}
