//! Violations of invariants.

use std::fmt;

/// An invariant of the design.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// The attempts on a VM never use more than its capacity.
    Capacity,
    /// A task never has two running attempts, and no attempt starts after its end was reported.
    SingleAttempt,
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
            Invariant::Capacity => "I1",
            Invariant::SingleAttempt => "I2",
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
