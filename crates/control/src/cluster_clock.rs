//! The wall clock of this member, limited so that it cannot run far ahead of the cluster.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use sapphirepost_consensus::Index;
use sapphirepost_leader::ClockBound;
use sapphirepost_leader::clock_bound::JUMP_MAX_MS;
use sapphirepost_process::metrics::Metrics;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

/// The shortest time between two warnings that the wall clock is held back.
const WARNING_INTERVAL_MS: u64 = 60_000;

/// Metrics of the clock.
#[derive(Clone, Debug)]
pub(crate) struct ClockMetrics {
    jumps: Counter,
    ahead_ms: Gauge,
}

impl ClockMetrics {
    pub(crate) fn register(metrics: &Metrics) -> ClockMetrics {
        ClockMetrics {
            jumps: metrics.register(
                "control_clock_jumps",
                "Times that the wall clock was ahead of the cluster by more than the allowance",
                Counter::default(),
            ),
            ahead_ms: metrics.register(
                "control_clock_ahead_milliseconds",
                "How far the wall clock of this leader is held back",
                Gauge::default(),
            ),
        }
    }
}

/// The clock that this member uses for its commands.
pub(crate) struct ClusterClock {
    bound: ClockBound,
    /// The last entry that was in the log when the process started. Entries up to it may be applied
    /// long after they were proposed, so their clock values do not tell the current time.
    restored_index: Index,
    metrics: ClockMetrics,
    warned_at: Option<Millis>,
    is_held_back: bool,
}

impl ClusterClock {
    pub(crate) fn new(restored_index: Index, metrics: ClockMetrics) -> ClusterClock {
        ClusterClock {
            bound: ClockBound::default(),
            restored_index,
            metrics,
            warned_at: None,
            is_held_back: false,
        }
    }

    /// Takes the state's clock into account after a command was applied.
    pub(crate) fn observe_applied(&mut self, now: Millis, index: Index, clock_unix_ms: u64) {
        if index > self.restored_index {
            self.bound.observe(now, clock_unix_ms);
        }
    }

    /// The time for a leader's commands. The first reading trusts the wall clock if no command
    /// after `restored_index` was applied before it, because a cluster that was down for days must
    /// be able to start.
    pub(crate) fn unix_ms(&mut self, clock: &dyn Clock, state_unix_ms: u64) -> u64 {
        let (now, wall_unix_ms) = (clock.now(), clock.unix_ms());
        let step_ms = wall_unix_ms.saturating_sub(state_unix_ms);
        if self.bound.is_unknown() && state_unix_ms > 0 && step_ms > JUMP_MAX_MS {
            self.metrics.jumps.inc();
            log::warn!(step_ms; "the clock of the cluster jumps to the wall clock of this member");
        }
        let reading = self.bound.read(now, wall_unix_ms);
        self.metrics.ahead_ms.set(reading.ahead_ms as i64);
        let is_held_back = reading.ahead_ms > 0;
        if is_held_back && !self.is_held_back {
            self.metrics.jumps.inc();
        }
        self.is_held_back = is_held_back;
        let may_warn = self
            .warned_at
            .is_none_or(|warned_at| now.since(warned_at) >= WARNING_INTERVAL_MS);
        if is_held_back && may_warn {
            self.warned_at = Some(now);
            log::warn!(ahead_ms = reading.ahead_ms; "the wall clock is ahead of the cluster and is held back");
        }
        reading.unix_ms
    }
}
