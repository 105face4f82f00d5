//! The order of a planned stop.
//!
//! First the process reports that it is not ready while it still serves, so that the balancer
//! turns away; then it stops accepting; then it finishes what is in flight; then it exits.

use sapphirepost_types::Millis;

/// A step of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was asked for.
    Serving,
    /// Not ready; new connections and requests are still served.
    NotReady,
    /// No new connections or requests; requests in flight are finished.
    Finishing,
    /// Nothing is in flight, or the time is over: the process may exit.
    Finished,
}

/// The state of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    phase: StopPhase,
    since: Millis,
    not_ready_ms: u64,
    finish_ms: u64,
}

impl PlannedStop {
    /// A process that serves; the times bound the two middle phases.
    pub fn new(not_ready_ms: u64, finish_ms: u64) -> PlannedStop {
        PlannedStop {
            phase: StopPhase::Serving,
            since: Millis::ZERO,
            not_ready_ms,
            finish_ms,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> StopPhase {
        self.phase
    }

    /// A stop signal: the first starts the stop, the second ends it.
    pub fn signal(&mut self, now: Millis) {
        let next = match self.phase {
            StopPhase::Serving => StopPhase::NotReady,
            _ => StopPhase::Finished,
        };
        self.enter(now, next);
    }

    /// Moves on where the time or the number of requests in flight allows it.
    pub fn tick(&mut self, now: Millis, in_flight: usize) -> StopPhase {
        let passed_ms = now.since(self.since);
        if self.phase == StopPhase::NotReady && passed_ms >= self.not_ready_ms {
            self.enter(now, StopPhase::Finishing);
        } else if self.phase == StopPhase::Finishing
            && (in_flight == 0 || passed_ms >= self.finish_ms)
        {
            self.enter(now, StopPhase::Finished);
        }
        self.phase
    }

    fn enter(&mut self, now: Millis, phase: StopPhase) {
        self.phase = phase;
        self.since = now;
    }
}
