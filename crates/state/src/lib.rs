//! The replicated state machine.
//!
//! [`State`] is equal on every member that has applied the same commands: it reads no clock, uses
//! no random numbers and no unordered maps, and takes its time from the `at_unix_ms` of the
//! commands. The public modules hold the records (configuration, plans, jobs, tasks, workers,
//! quotas, claims, operations, contacts of entries) together with their size limits; the private
//! modules implement the commands that change several kinds of records, and drop old records.
//!
//! Invariants:
//!
//! - The resources of an attempt are released only after its end was reported, after its worker no
//!   longer reports it, after the worker's lease has certainly ended, or after an operator declared
//!   the worker lost.
//! - A report of an older attempt never changes a newer one.
//! - No change gives an object a version that the object had before.

pub mod claims;
pub mod command;
pub mod config;
pub mod entries;
pub mod jobs;
pub mod operations;
pub mod outcome;
pub mod plans;
pub mod quotas;
pub mod state;
pub mod tasks;
pub mod workers;

mod attempt_end;
mod confirm;
mod expiry;
mod placement;
mod replicas;
mod reports;
mod retention;

pub use crate::command::Command;
pub use crate::command::Placement;
pub use crate::command::PlanDraft;
pub use crate::command::Request;
pub use crate::command::StopRequest;
pub use crate::outcome::Change;
pub use crate::outcome::CommandResult;
pub use crate::outcome::Outcome;
pub use crate::outcome::PlacementError;
pub use crate::state::Disabled;
pub use crate::state::State;
pub use crate::state::StateError;
