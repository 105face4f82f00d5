//! How many steps this leader places a second, and whether that number is its limit.
//!
//! A leader that lacks processor time places fewer steps than there is room for. Its rate says how
//! long a new job has to wait behind the steps that wait for the leader. A rate that was measured
//! while there was little to place, or no room, says nothing. So it counts only while many steps
//! that never lacked room start late, and while scheduling takes a large part of the leader's time.

use std::collections::VecDeque;

use sapphirepost_types::Millis;
use smallvec::SmallVec;

/// The time over which the rate is measured.
const WINDOW_MS: u64 = 1_000;
/// The length of one slice of the window.
const SLICE_MS: u64 = 100;
/// Scheduling that takes this part of the time shows that processor time limits the leader.
const BUSY_PERCENT: u64 = 20;
/// Fewer slow starts may have reasons of their own, such as a slow answer of the policy.
const SLOW_STARTS_MIN: u64 = 8;
/// The part of the starts that must be slow.
const SLOW_PERCENT: u64 = 25;
/// A rate of fewer steps in the window is not precise enough to refuse jobs.
const STARTS_MIN: u64 = 8;
/// The seconds of which half of the best rate counts: a rate that is low because few jobs were
/// accepted must not lead to fewer accepted jobs.
const SECONDS_KEPT: usize = 4;
/// The leader counts as limited for this long after it was last seen to be.
const VALID_MS: u64 = 1_000;

/// What happened in a part of the window.
#[derive(Clone, Debug)]
struct Slice {
    begin: Millis,
    /// The time that scheduling took.
    scheduling_ms: u64,
    /// The number of placed steps by priority.
    starts: Starts,
    /// The number of starts of steps that never lacked room, and of the slow ones of these.
    with_room: u64,
    slow: u64,
}

/// Numbers of placed steps by priority.
type Starts = SmallVec<[(u32, u64); 4]>;

/// The steps that the leader placed in the last seconds.
#[derive(Clone, Debug, Default)]
pub struct PlacementRate {
    slices: VecDeque<Slice>,
    /// The steps placed in each of the last seconds, the latest first.
    seconds: VecDeque<Starts>,
    second_ended_at: Millis,
    /// When the leader was last seen to be limited.
    limited_at: Option<Millis>,
}

impl PlacementRate {
    /// Records a step of which all waiting tasks have been placed.
    pub fn record_start(&mut self, priority: u32, now: Millis) {
        let starts = &mut self.slice(now).starts;
        match starts.iter_mut().find(|(known, _)| *known == priority) {
            Some((_, count)) => *count += 1,
            None => starts.push((priority, 1)),
        }
    }

    /// Records the time that the last tick took.
    pub fn record_time(&mut self, took_ms: u64) {
        if let Some(slice) = self.slices.back_mut() {
            slice.scheduling_ms += took_ms;
        }
    }

    /// Records whether the first start of a step that never lacked room was slow.
    pub fn record_wait(&mut self, is_slow: bool, now: Millis) {
        let slice = self.slice(now);
        slice.with_room += 1;
        slice.slow += u64::from(is_slow);
    }

    /// Judges whether the leader is limited, by the last second.
    pub fn update(&mut self, now: Millis) {
        self.slice(now);
        let with_room: u64 = self.slices.iter().map(|slice| slice.with_room).sum();
        let slow: u64 = self.slices.iter().map(|slice| slice.slow).sum();
        let is_slow = slow >= SLOW_STARTS_MIN && slow * 100 >= SLOW_PERCENT * with_room;
        let is_busy = self.scheduling_ms() * 100 >= BUSY_PERCENT * WINDOW_MS;
        if is_busy && is_slow && self.starts(u32::MAX) >= STARTS_MIN {
            self.limited_at = Some(now);
        }
        if now.since(self.second_ended_at) >= WINDOW_MS {
            self.second_ended_at = now;
            self.end_second();
        }
    }

    /// Keeps the sums of the last second.
    fn end_second(&mut self) {
        let mut starts = Starts::new();
        for (priority, count) in self.slices.iter().flat_map(|slice| &slice.starts) {
            match starts.iter_mut().find(|(known, _)| known == priority) {
                Some((_, sum)) => *sum += count,
                None => starts.push((*priority, *count)),
            }
        }
        self.seconds.truncate(SECONDS_KEPT - 1);
        self.seconds.push_front(starts);
    }

    /// Whether the leader places as many steps as it can, and fewer than there is room for.
    pub fn is_limited(&self, now: Millis) -> bool {
        self.limited_at
            .is_some_and(|limited| now.since(limited) < VALID_MS)
    }

    /// The time that scheduling took in the last second.
    pub fn scheduling_ms(&self) -> u64 {
        self.slices.iter().map(|slice| slice.scheduling_ms).sum()
    }

    /// The number of steps that were placed in the last second, in queues that are at least as
    /// urgent as `priority`.
    pub fn starts(&self, priority: u32) -> u64 {
        let slices = self.slices.iter();
        slices
            .map(|slice| sum_starts(&slice.starts, priority))
            .sum()
    }

    /// The time that the leader needs to place so many steps.
    pub fn wait_ms(&self, steps: u64, priority: u32) -> u64 {
        steps * WINDOW_MS / self.rate(priority).max(1)
    }

    /// The steps that the leader places a second: in the last second, or half of the best one.
    fn rate(&self, priority: u32) -> u64 {
        let seconds = self.seconds.iter();
        let best = seconds.map(|starts| sum_starts(starts, priority)).max();
        self.starts(priority).max(best.unwrap_or(0) / 2)
    }

    /// The slice of this time, without those that are older than the window.
    fn slice(&mut self, now: Millis) -> &mut Slice {
        let oldest = |slice: &Slice| now.since(slice.begin) >= WINDOW_MS;
        while self.slices.front().is_some_and(oldest) {
            self.slices.pop_front();
        }
        let is_current = |slice: &Slice| now.since(slice.begin) < SLICE_MS;
        if !self.slices.back().is_some_and(is_current) {
            self.slices.push_back(Slice {
                begin: now,
                scheduling_ms: 0,
                starts: Starts::new(),
                with_room: 0,
                slow: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

/// The number of starts in queues that are at least as urgent as `priority`.
fn sum_starts(starts: &[(u32, u64)], priority: u32) -> u64 {
    let starts = starts.iter().filter(|(known, _)| *known <= priority);
    starts.map(|(_, count)| count).sum()
}
