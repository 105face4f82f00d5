//! The replicated state machine.
//!
//! [`State`] is equal on every member that has applied the same commands: it uses no clock,
//! random number or unordered map, and its time is the `at_unix_ms` of the commands. Each module
//! of data (configuration, plans, jobs, tasks, workers, quotas, claims, operations) keeps its own
//! bounds; the passes over them stand in modules of their own.
//!
//! Invariants: room on a worker is released only by a confirmed end or a certain expiry; a report
//! of an older attempt never changes a newer one; an object version is never used twice.

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
