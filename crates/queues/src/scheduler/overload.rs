//! How large a share of the new jobs this leader admits.
//!
//! A leader that lacks processor time commits later and later, while the callers of what it commits
//! have already left. The share of admitted jobs falls step by step while commits or placements are
//! slow, and rises slowly while they are not, so that what is admitted is served in time. Refusing
//! all jobs until a commit is fast again would let all callers return at once.
//!
//! All queues have the same share. Whether a job is admitted follows from its key and the share, so
//! a caller that returns too early gets the same answer, and callers return in the order in which
//! the rising share reaches them.

use sapphirepost_types::Millis;

use crate::ids::JobKey;

/// The delay of commits or placements above which the share falls. A job waits for three commits,
/// and a short one has little more time than its tasks take.
const DELAY_MAX_MS: u64 = 60;
/// The share is reconsidered at this interval, by the shortest commit in it. A longer one shows
/// nothing: a disk or another member may have paused.
const WINDOW_MS: u64 = 100;
/// The number of slow intervals in a row after which the share falls.
const SLOW_WINDOWS: u32 = 2;
/// After the share has fallen, it falls again only after this time, when commits can show the
/// effect.
const FALL_INTERVAL_MS: u64 = 300;
/// The smallest part of the share that is left when it falls.
const FALL_MIN_PERCENT: u64 = 60;
/// How much the share rises in an interval without a delay, in thousandths of all jobs.
const RISE_PERMILLE: u64 = 6;
/// How much it rises after a slow takeover. Nothing shows that the leader lacks processor time for
/// the jobs themselves, and the work of a takeover is over soon.
const TAKEOVER_RISE_PERMILLE: u64 = 50;
/// The share of a new leader whose first commit is slow. It polls all workers and takes over all runs,
/// while the callers of the former leader return.
const START_PERMILLE: u64 = 250;
/// A first commit that ends later shows nothing about the takeover.
const TAKEOVER_MS: u64 = 1_500;
/// The smallest share, in thousandths of all jobs. Commits may be slow for another reason than load,
/// and then refusals do not help.
const SHARE_MIN_PERMILLE: u64 = 100;
const ALL_PERMILLE: u64 = 1_000;
/// All jobs are admitted after this time without a commit, since nothing shows a delay any more.
const VALID_MS: u64 = 500;
/// No job is admitted while a commit has been in progress for this long.
const STUCK_MS: u64 = 500;

/// The shortest time after which a refused caller may retry.
const RETRY_MIN_MS: u64 = 2_000;
/// The shortest time after which a caller that was refused during a takeover may retry.
const RETRY_TAKEOVER_MS: u64 = 500;
/// The time after which a refused caller may retry while the share does not rise.
const RETRY_FALLING_MS: u64 = 5_000;
/// The time until the share is expected to reach a job is multiplied by this, since the share may
/// fall once more meanwhile.
const RISE_SLACK: u64 = 2;
/// A refused job that stays useful for long may retry after this part of that time, so that it does
/// not cost the leader a call again and again.
const USEFUL_PER_RETRY: u64 = 2;

/// The share of new jobs that a leader admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload {
    share_permille: u64,
    /// When the term began.
    began: Millis,
    /// Whether a commit has ended in this term.
    has_committed: bool,
    /// The begin of the present interval.
    window_began: Millis,
    /// The shortest commit that ended in it.
    shortest_commit_ms: Option<u64>,
    /// When a commit last ended, or the term began.
    committed_at: Millis,
    /// The age of the oldest commit in progress.
    in_progress_ms: u64,
    /// For how long the last placement round left steps out.
    left_out_ms: u64,
    /// The number of slow intervals in a row.
    slow_windows: u32,
    /// When the share last fell, or began to rise.
    fallen_at: Option<Millis>,
    /// Whether the share is below all jobs only because of a slow takeover.
    is_taking_over: bool,
}

impl Overload {
    /// A new leader admits all jobs unless its first commit is slow.
    pub fn new(now: Millis) -> Overload {
        Overload {
            share_permille: ALL_PERMILLE,
            began: now,
            has_committed: false,
            window_began: now,
            shortest_commit_ms: None,
            committed_at: now,
            in_progress_ms: 0,
            left_out_ms: 0,
            slow_windows: 0,
            fallen_at: None,
            is_taking_over: false,
        }
    }

    /// Records a commit that ended now and took `took_ms` without the delay of a slow disk, which
    /// leaves time for more jobs.
    pub fn record_commit(&mut self, took_ms: u64, now: Millis) {
        self.advance(now);
        let shortest_ms = self.shortest_commit_ms.unwrap_or(took_ms);
        self.shortest_commit_ms = Some(shortest_ms.min(took_ms));
        self.committed_at = now;
        if self.is_slow_takeover(took_ms, now) {
            self.begin_at_start_share(now);
        }
        self.has_committed = true;
    }

    /// Records the age of the oldest commit in progress.
    pub fn record_in_progress(&mut self, age_ms: u64) {
        self.in_progress_ms = age_ms;
    }

    /// Records for how long the steps that a placement round has left out have been left out.
    pub fn record_left_out(&mut self, left_out_ms: u64) {
        self.left_out_ms = left_out_ms;
    }

    /// The share of new jobs that is admitted, in thousandths.
    pub fn share_permille(&self) -> u64 {
        self.share_permille
    }

    /// Whether this leader admits less than all new jobs.
    pub fn is_shedding(&self, now: Millis) -> bool {
        let mut level = *self;
        level.advance(now);
        level.share_permille < ALL_PERMILLE || level.in_progress_ms >= STUCK_MS
    }

    /// The time after which any new job may be submitted again, while a commit is in progress for
    /// so long that no job is admitted.
    pub fn stuck_retry_ms(&self) -> Option<u64> {
        let retry_ms = RETRY_MIN_MS.max(2 * self.in_progress_ms);
        (self.in_progress_ms >= STUCK_MS).then_some(retry_ms.min(RETRY_FALLING_MS))
    }

    /// The time after which a new job that stays useful for `useful_ms` may be submitted again;
    /// `None` if it is admitted. Of all jobs that compete with it, `owed_permille` are owed service
    /// like it, and the others are rejected first.
    pub fn retry_after_ms(
        &self,
        job: JobKey,
        useful_ms: u64,
        owed_permille: u64,
        now: Millis,
    ) -> Option<u64> {
        let mut level = *self;
        level.advance(now);
        if level.is_slow_takeover(level.in_progress_ms, now) {
            level.begin_at_start_share(now);
        }
        if let Some(retry_ms) = level.stuck_retry_ms() {
            return Some(retry_ms);
        }
        let rank = job.spread_permille() * owed_permille / ALL_PERMILLE;
        if rank < level.share_permille {
            return None;
        }
        let rises = (rank - level.share_permille) / level.rise_permille() + 1;
        if level.is_taking_over {
            return Some(RETRY_TAKEOVER_MS.max(RISE_SLACK * rises * WINDOW_MS));
        }
        let is_falling = level
            .fallen_at
            .is_some_and(|at| now.since(at) < RETRY_FALLING_MS);
        let retry_ms = if is_falling {
            RETRY_FALLING_MS
        } else {
            RETRY_MIN_MS.max(RISE_SLACK * rises * WINDOW_MS)
        };
        Some(retry_ms.max(useful_ms / USEFUL_PER_RETRY))
    }

    /// Reconsiders the share for each interval that has ended. Intervals that nothing was recorded in
    /// for long show nothing, whatever is in progress now.
    fn advance(&mut self, now: Millis) {
        let is_idle = now.since(self.committed_at) >= VALID_MS;
        if is_idle && self.in_progress_ms < DELAY_MAX_MS {
            self.share_permille = ALL_PERMILLE;
            self.fallen_at = None;
        }
        let unseen_ms = now.since(self.window_began);
        if is_idle || unseen_ms >= VALID_MS {
            self.rise(unseen_ms / WINDOW_MS);
            self.slow_windows = 0;
            self.window_began = now;
            self.shortest_commit_ms = None;
            return;
        }
        while now.since(self.window_began) >= WINDOW_MS {
            self.window_began = self.window_began + WINDOW_MS;
            // The age that the commit in progress had when the interval ended.
            let age_ms = self
                .in_progress_ms
                .saturating_sub(now.since(self.window_began));
            self.end_window(age_ms);
        }
    }

    /// Whether a commit of this age is the first one of a leader that has just begun, and slow.
    fn is_slow_takeover(&self, commit_ms: u64, now: Millis) -> bool {
        let is_first = !self.has_committed && now.since(self.began) < TAKEOVER_MS;
        is_first && commit_ms > DELAY_MAX_MS
    }

    fn begin_at_start_share(&mut self, now: Millis) {
        self.share_permille = START_PERMILLE;
        self.fallen_at = Some(now);
        self.is_taking_over = true;
    }

    fn end_window(&mut self, in_progress_ms: u64) {
        let commit_ms = self.shortest_commit_ms.take();
        let delay_ms = commit_ms.unwrap_or(in_progress_ms).max(self.left_out_ms);
        if delay_ms <= DELAY_MAX_MS {
            self.slow_windows = 0;
            self.rise(1);
            return;
        }
        self.slow_windows += 1;
        let now = self.window_began;
        let has_effect = self
            .fallen_at
            .is_none_or(|at| now.since(at) >= FALL_INTERVAL_MS);
        if self.slow_windows >= SLOW_WINDOWS && has_effect {
            let left_percent = (100 * DELAY_MAX_MS / delay_ms).max(FALL_MIN_PERCENT);
            let share = self.share_permille * left_percent / 100;
            self.share_permille = share.max(SHARE_MIN_PERMILLE);
            self.fallen_at = Some(now);
            self.is_taking_over = false;
        }
    }

    /// How much the share rises in an interval.
    fn rise_permille(&self) -> u64 {
        match self.is_taking_over {
            true => TAKEOVER_RISE_PERMILLE,
            false => RISE_PERMILLE,
        }
    }

    /// Lets the share rise for some intervals.
    fn rise(&mut self, intervals: u64) {
        let risen = self.share_permille + self.rise_permille() * intervals;
        self.share_permille = ALL_PERMILLE.min(risen);
        self.is_taking_over &= self.share_permille < ALL_PERMILLE;
    }
}
