//! Checks a recorded history against the invariants.
//!
//! The history says what really happened: where attempts ran, what operators and callers were
//! told, which configuration each process applied. The checks share no code with the packages
//! that they check, so a fault there is not repeated here.
//!
//! Checked are I1 (capacity), I2 (one attempt at a time), I4 ("not run" was not run), I5 (at most once)
//! and I8 (accepted changes stay and arrive). [`liveness`] watches a history of queued jobs while it
//! is made.

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

/// Limits that the checks use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long after its acceptance a configuration must be in force at every running process.
    pub config_in_force_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            config_in_force_ms: 12_000,
        }
    }
}

/// All violations in a history whose events are in the order of time.
pub fn check(history: &[Timed], limits: &Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    capacity::check(history, &mut violations);
    running::check(history, &mut violations);
    requests::check(history, &mut violations);
    answers::check(history, &mut violations);
    configuration::check(history, limits, &mut violations);
    violations
}
