//! Whether this leader is too slow for the work that arrives.
//!
//! A leader that lacks processor time commits later and later, while the callers of what it commits
//! have already left. From the commit times it can tell that it falls behind, and refuses new jobs
//! at once, so that the jobs that it has accepted get the processor.

use sapphirepost_types::Millis;

/// A commit that takes longer than this is slow. A job with a short deadline has lost most of its
/// time by then.
const SLOW_COMMIT_MS: u64 = 150;
/// Slow commits without a faster one over this time show that the leader falls behind. A single one
/// shows nothing: a disk or another member may have paused.
const SLOW_SINCE_MS: u64 = 200;
/// The last commits show nothing any more after this long. While all new jobs are refused, there may
/// be nothing left to commit.
const VALID_MS: u64 = 500;
/// The shortest time after which a refused caller may retry.
const RETRY_MIN_MS: u64 = 1_000;
/// How many times as long as its commits take a leader needs to catch up.
const RETRY_FACTOR: u64 = 4;
/// The longest time after which a refused caller may retry.
const RETRY_MAX_MS: u64 = 5_000;

/// Slow commits without a faster one between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SlowCommits {
    /// When the first one ended.
    since: Millis,
    /// When the last one ended.
    last: Millis,
    /// How long the last one took.
    took_ms: u64,
}

impl SlowCommits {
    /// Whether they show at `now` that the leader falls behind.
    fn are_evidence(&self, now: Millis) -> bool {
        self.last.since(self.since) >= SLOW_SINCE_MS && self.is_recent(now)
    }

    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.last) < VALID_MS
    }
}

/// The commit times of a leader in its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overload {
    /// The slow commits in a row up to the last commit.
    slow: Option<SlowCommits>,
    /// The age of the oldest commit in progress.
    in_progress_ms: u64,
}

impl Overload {
    /// Records a commit that ended now and took `took_ms`.
    pub fn record_commit(&mut self, took_ms: u64, now: Millis) {
        self.slow = if took_ms < SLOW_COMMIT_MS {
            None
        } else {
            let recent = self.slow.filter(|slow| slow.is_recent(now));
            let since = recent.map_or(now, |slow| slow.since);
            Some(SlowCommits {
                since,
                last: now,
                took_ms,
            })
        };
    }

    /// Records the age of the oldest commit in progress.
    pub fn record_in_progress(&mut self, age_ms: u64) {
        self.in_progress_ms = age_ms;
    }

    /// The time after which a new job may be submitted again; `None` while the leader keeps up.
    pub fn retry_after_ms(&self, now: Millis) -> Option<u64> {
        let slow = self.slow.filter(|slow| slow.are_evidence(now));
        let is_stuck = self.in_progress_ms >= SLOW_COMMIT_MS + SLOW_SINCE_MS;
        if slow.is_none() && !is_stuck {
            return None;
        }
        let took_ms = slow.map_or(0, |slow| slow.took_ms);
        let took_ms = took_ms.max(self.in_progress_ms);
        Some((RETRY_FACTOR * took_ms).clamp(RETRY_MIN_MS, RETRY_MAX_MS))
    }
}
