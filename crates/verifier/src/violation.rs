//! Violations of invariants.

use std::fmt;

/// An invariant of the design.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A VM never has more work than it holds.
    Room,
    /// A task never runs in two places at once, nor again after it finished.
    OnePlace,
    /// A request refused as not run did not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// An accepted configuration arrives everywhere and never reverts.
    Configuration,
    /// Of two confirmations that rest on the same version at most one is accepted, and the answer
    /// to an operation does not change.
    Answers,
    /// An accepted step that could run does not wait longer than a bound.
    Liveness,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Invariant::Room => "I1",
            Invariant::OnePlace => "I2",
            Invariant::NotRun => "I4",
            Invariant::AtMostOnce => "I5",
            Invariant::Configuration => "I8",
            Invariant::Answers => "I8 (answers)",
            Invariant::Liveness => "liveness",
        })
    }
}

/// One violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// When, on the clock of the history.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {} ms: {}",
            self.invariant, self.at_ms, self.detail
        )
    }
}
