//! A bound on how fast a leader's wall clock advances the clock of the replicated state.
//!
//! The clock of the state is the highest one that any leader has written. A single leader whose
//! wall clock is far ahead would therefore advance it irreversibly, and requests with correct IDs
//! would be refused as too old until real time has caught up.
//!
//! Invariant: if the first observed clock is `c`, and the commands of other leaders respect the
//! bound, then every reading at a time T later on the monotonic clock is at most
//! `c + 1.1 T + 60 s`. Clock jumps of other leaders are charged to the same allowance.

use sapphirepost_types::Millis;

/// How far a single reading may jump ahead of the monotonic clock, in milliseconds. Equal to how
/// far the IDs of operations and requests may be ahead of the state.
pub const JUMP_MAX_MS: u64 = 60_000;
/// Refill of the allowance in microseconds for each elapsed millisecond. With a wall clock that is
/// a day ahead, the clock of the state gains 6 minutes in an hour, less than the 10 minutes for
/// which claims are kept.
const REFILL_US_PER_MS: u64 = 100;

/// A bounded reading of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The clock to use, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// How far the wall clock is ahead of `unix_ms`; 0 if it is within the bound.
    pub ahead_ms: u64,
}

/// The expected clock of the state at a time of the monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Reference {
    unix_ms: u64,
    at: Millis,
}

/// Limits the readings of a wall clock that runs ahead of the cluster.
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
    /// Whether no clock was observed since the process started; the next reading then trusts the
    /// wall clock.
    pub fn is_unknown(&self) -> bool {
        self.reference.is_none()
    }

    /// Takes the clock of an applied command into account. Only for commands that were proposed
    /// since the process started.
    pub fn observe(&mut self, now: Millis, clock_unix_ms: u64) {
        let reference = self.advance(now, clock_unix_ms);
        let excess_ms = clock_unix_ms.saturating_sub(reference.unix_ms);
        self.allowance_us = self.allowance_us.saturating_sub(excess_ms * 1_000);
        // Never lowered: after a loss of the quorum, commands with an old clock are applied.
        self.reference = Some(Reference {
            unix_ms: reference.unix_ms.max(clock_unix_ms),
            at: reference.at,
        });
    }

    /// Reads the wall clock, limited to the allowance.
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

    /// Advances the reference to `now` and refills the allowance. Without a reference, one is
    /// created at `first_unix_ms`.
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
