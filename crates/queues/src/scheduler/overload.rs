//! Whether this leader is too slow for the work that arrives.
//!
//! A leader that lacks processor time commits later and later, while the callers of what it commits
//! have already left. From the commit times it can tell that it falls behind, and refuses new jobs
//! at once, so that the jobs that it has accepted get the processor.

use sapphirepost_types::Millis;

/// A commit that takes longer than this is slow. It is well above the time of a commit on slow
/// disks.
const SLOW_COMMIT_MS: u64 = 150;
/// Commits that are all slow for this long show that the leader falls behind. A single slow one
/// shows nothing: the disk or another member may have paused.
const SLOW_SINCE_MS: u64 = 200;
/// The shortest time after which a refused caller may retry.
const RETRY_MIN_MS: u64 = 1_000;
/// How many times as long as its commits take a leader needs to catch up.
const RETRY_FACTOR: u64 = 4;
/// The longest time after which a refused caller may retry.
const RETRY_MAX_MS: u64 = 5_000;

/// The commit times of a leader in its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    /// When the first of the slow commits in a row ended, and how long the last one took.
    slow: Option<(Millis, u64)>,
    /// The age of the oldest commit in progress.
    in_progress_ms: u64,
}

impl Overload {
    /// Records a commit that ended now and took `took_ms`.
    pub fn record_commit(&mut self, took_ms: u64, now: Millis) {
        self.slow = if took_ms < SLOW_COMMIT_MS {
            None
        } else {
            let since = self.slow.map_or(now, |(since, _)| since);
            Some((since, took_ms))
        };
    }

    /// Records the age of the oldest commit in progress.
    pub fn record_in_progress(&mut self, age_ms: u64) {
        self.in_progress_ms = age_ms;
    }

    /// The time after which a new job may be submitted again; `None` while the leader keeps up.
    pub fn retry_after_ms(&self, now: Millis) -> Option<u64> {
        let (slow_for_ms, took_ms) = self
            .slow
            .map_or((0, 0), |(since, took_ms)| (now.since(since), took_ms));
        let is_stuck = self.in_progress_ms >= SLOW_COMMIT_MS + SLOW_SINCE_MS;
        if slow_for_ms < SLOW_SINCE_MS && !is_stuck {
            return None;
        }
        let took_ms = took_ms.max(self.in_progress_ms);
        Some((RETRY_FACTOR * took_ms).clamp(RETRY_MIN_MS, RETRY_MAX_MS))
    }
}
