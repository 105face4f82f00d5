//! Checks a recorded history of a cluster against the invariants of its design.
//!
//! The history records what really happened: where attempts ran, which answers operators and
//! callers received, and which configuration each process applied. The checks share no code with
//! the packages whose behaviour they check, so that they do not repeat a fault of these packages.
//!
//! [`check`] takes a complete history and covers the invariants I1 (capacity), I2 (one attempt at a
//! time), I4 (a request refused as not run did not run), I5 (at most once) and I8 (accepted changes
//! are applied everywhere and are not reverted). [`liveness`] checks a history of queued jobs while
//! it is being recorded.

pub mod event;
pub mod liveness;
pub mod violation;

mod answers;
mod capacity;
mod configuration;
mod requests;
mod running;

pub use crate::event::Answer;
pub use crate::event::Event;
pub use crate::event::Outcome;
pub use crate::event::Timed;
pub use crate::violation::Invariant;
pub use crate::violation::Violation;

/// Time limits of [`check`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The time within which every process that runs and is in contact must have applied an
    /// accepted configuration change, in milliseconds.
    pub config_in_force_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            config_in_force_ms: 12_000,
        }
    }
}

/// Returns all violations in a history whose events are sorted by time.
pub fn check(history: &[Timed], limits: &Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    capacity::check(history, &mut violations);
    running::check(history, &mut violations);
    requests::check(history, &mut violations);
    answers::check(history, &mut violations);
    configuration::check(history, limits, &mut violations);
    violations
}
