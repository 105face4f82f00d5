//! The phases of a planned stop (graceful shutdown).
//!
//! The process first reports that it is not ready but still serves, so that the load balancer stops
//! sending requests to it. It then accepts nothing new and finishes the requests in flight, and
//! exits when none are left or the time for them is over.

use sapphirepost_types::Millis;

/// A phase of a planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop was requested.
    Serving,
    /// The process reports that it is not ready; new connections and requests are still served.
    NotReady,
    /// New connections and requests are not accepted; requests in flight are finished.
    Finishing,
    /// Nothing is in flight, the time is over, or a second signal came: the process may exit.
    Finished,
}

/// The state machine of a planned stop, driven by [`PlannedStop::signal`] and
/// [`PlannedStop::tick`].
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    phase: StopPhase,
    phase_started: Millis,
    not_ready_ms: u64,
    finish_ms: u64,
}

impl PlannedStop {
    /// Starts in [`StopPhase::Serving`]. `not_ready_ms` is the length of [`StopPhase::NotReady`],
    /// `finish_ms` the longest time in [`StopPhase::Finishing`].
    pub fn new(not_ready_ms: u64, finish_ms: u64) -> PlannedStop {
        PlannedStop {
            phase: StopPhase::Serving,
            phase_started: Millis::ZERO,
            not_ready_ms,
            finish_ms,
        }
    }

    /// The phase after the last signal or tick.
    pub fn phase(&self) -> StopPhase {
        self.phase
    }

    /// Handles a stop signal: the first starts the stop, a second one ends it at once.
    pub fn signal(&mut self, now: Millis) {
        let next = match self.phase {
            StopPhase::Serving => StopPhase::NotReady,
            _ => StopPhase::Finished,
        };
        self.enter(now, next);
    }

    /// Enters the next phase if its time has come or, while finishing, if nothing is in flight.
    /// Returns the current phase.
    pub fn tick(&mut self, now: Millis, in_flight: usize) -> StopPhase {
        let elapsed_ms = now.since(self.phase_started);
        if self.phase == StopPhase::NotReady && elapsed_ms >= self.not_ready_ms {
            self.enter(now, StopPhase::Finishing);
        } else if self.phase == StopPhase::Finishing
            && (in_flight == 0 || elapsed_ms >= self.finish_ms)
        {
            self.enter(now, StopPhase::Finished);
        }
        self.phase
    }

    fn enter(&mut self, now: Millis, phase: StopPhase) {
        self.phase = phase;
        self.phase_started = now;
    }
}
