//! The ways in which an upstream misbehaves.

use sapphirepost_types::Millis;

/// Which faults an upstream has, and from when.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Accepts requests and never answers.
    pub stall: bool,
    /// Cuts the body of each answer short.
    pub truncate: bool,
    /// Answers later by this much.
    pub late_ms: u64,
    /// Fails every request at once.
    pub fail_fast: bool,
    /// Goes silent on the connections that are open when the faults begin.
    pub silent: bool,
    /// Runs each request and answers that it was not run.
    pub lie: bool,
    /// When the faults begin, after the start.
    pub after_ms: u64,
}

impl Faults {
    /// The faults that are in effect at `now`.
    pub(crate) fn at(&self, now: Millis) -> Faults {
        if now.0 >= self.after_ms {
            return *self;
        }
        Faults::default()
    }

    /// Whether a connection that was opened at `opened` is silent at `now`.
    pub(crate) fn is_silent(&self, opened: Millis, now: Millis) -> bool {
        self.silent && now.0 >= self.after_ms && opened.0 < self.after_ms
    }
}
