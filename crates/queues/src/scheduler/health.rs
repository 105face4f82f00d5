//! Telling a bad worker from a bad task.
//!
//! Answers the load pattern in which a few workers fail or stall all that they start, and
//! therefore look the emptiest. A worker is suspected after failures of several jobs without a
//! success in between. It then gets no work for a pause, and after that a single task at a time
//! until one succeeds.

use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::ids::JobKey;

/// Failures of different jobs in a row after which a worker is suspected.
const FAILURES_MAX: usize = 2;
/// The first pause of a suspected worker.
const PAUSE_MIN_MS: u64 = 2_000;
/// The longest pause.
const PAUSE_MAX_MS: u64 = 8_000;
/// Weight of a new observation in the pace, in hundredths.
const PACE_WEIGHT: f64 = 0.1;
/// The least and the greatest pace.
const PACE_RANGE: (f64, f64) = (0.5, 8.0);

/// What was seen of a worker's runs.
#[derive(Clone, Debug)]
pub struct Health {
    /// Jobs that failed there since the last success.
    failed: SmallVec<[JobKey; 4]>,
    /// No task may start there before this time.
    paused_until: Millis,
    pause_ms: u64,
    /// Time that runs take there against their estimates.
    pace: f64,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            failed: SmallVec::new(),
            paused_until: Millis::ZERO,
            pause_ms: PAUSE_MIN_MS,
            pace: 1.0,
        }
    }
}

impl Health {
    /// A run did its work in `took_ms`, where `expected_ms` was estimated.
    pub fn succeeded(&mut self, took_ms: u64, expected_ms: u64) {
        self.failed.clear();
        self.paused_until = Millis::ZERO;
        self.pause_ms = PAUSE_MIN_MS;
        let ratio = took_ms.max(1) as f64 / expected_ms.max(1) as f64;
        let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.pace += (ratio - self.pace) * PACE_WEIGHT;
    }

    /// A run of a job failed or stalled there.
    pub fn failed(&mut self, job: JobKey, now: Millis) {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        if self.failed.len() >= FAILURES_MAX {
            self.pause(now);
        }
    }

    /// The worker says that it is not healthy.
    pub fn pause(&mut self, now: Millis) {
        if now < self.paused_until {
            return;
        }
        self.paused_until = now + self.pause_ms;
        self.pause_ms = (2 * self.pause_ms).min(PAUSE_MAX_MS);
    }

    /// How many tasks the worker may hold at `now`.
    pub fn tasks_max(&self, now: Millis) -> usize {
        if now < self.paused_until {
            return 0;
        }
        if self.failed.len() >= FAILURES_MAX {
            return 1;
        }
        usize::MAX
    }

    /// Time that runs take there against their estimates.
    pub fn pace(&self) -> f64 {
        self.pace
    }
}
