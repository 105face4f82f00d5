//! Faults that a simulated upstream injects.

use sapphirepost_types::Millis;

/// The faults of an upstream and the time at which they begin.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Accepts requests and never responds.
    pub stall: bool,
    /// Sends only half of each response body, then breaks the connection.
    pub truncate: bool,
    /// Delays each response by this time.
    pub delay_ms: u64,
    /// Responds to every request with status 500 without running it.
    pub fail_fast: bool,
    /// Stops responding on the connections that are open when the faults begin.
    pub silent: bool,
    /// Runs each request and responds that it was not run.
    pub false_refusal: bool,
    /// Time from the start of the process to the beginning of the faults.
    pub begin_after_ms: u64,
}

impl Faults {
    /// The faults that are active at `now`: all or none.
    pub(crate) fn at(&self, now: Millis) -> Faults {
        if now.0 >= self.begin_after_ms {
            return *self;
        }
        Faults::default()
    }

    /// Whether the `silent` fault blocks responses at `now` on a connection opened at `opened_at`.
    pub(crate) fn is_silent(&self, opened_at: Millis, now: Millis) -> bool {
        self.silent && now.0 >= self.begin_after_ms && opened_at.0 < self.begin_after_ms
    }
}
