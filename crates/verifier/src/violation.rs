//! The invariants and their violations.

use std::fmt;

/// An invariant that the cluster must maintain. `Display` prints its number in the design, except
/// for liveness, which has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// The attempts on a VM never use more than its capacity.
    Capacity,
    /// A task never has two running attempts, is reported as finished only if an attempt finished,
    /// and does not start again after that report.
    SingleAttempt,
    /// A submission of a request that was refused as not run did not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// An accepted configuration change is applied by every process and is not reverted.
    Configuration,
    /// Of the confirmations of plans for the same version of an object, at most one is accepted,
    /// and the answer to an operation never changes.
    Answers,
    /// A step of an accepted job that could run is started within a bounded time.
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

/// A violation of an invariant, found in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that does not hold.
    pub invariant: Invariant,
    /// The time in milliseconds at which it was detected, on the clock of the history.
    pub at_ms: u64,
    /// A description for people of what was observed and of the objects concerned.
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
