//! Queued jobs: stages of tasks that callers submit, and the workers that are called to run them.
//!
//! The package does no I/O. [`QueueState`] is the replicated part and changes only by applied
//! [`QueueCommand`]s. [`Scheduler`] is what a leader decides: it takes answers of workers and the
//! time, and returns [`Action`]s to propose, order or ask.

pub mod command;
pub mod ids;
pub mod job;
pub mod scheduler;
pub mod spec;
pub mod state;
pub mod table;
pub mod worker;

pub use crate::command::Placement;
pub use crate::command::QueueCommand;
pub use crate::command::RunEnd;
pub use crate::ids::JobKey;
pub use crate::ids::StepKey;
pub use crate::ids::TaskKey;
pub use crate::job::Job;
pub use crate::job::JobPhase;
pub use crate::scheduler::Action;
pub use crate::scheduler::Scheduler;
pub use crate::scheduler::SchedulerConfig;
pub use crate::spec::SpecError;
pub use crate::spec::StepSpec;
pub use crate::spec::SubmittedSpec;
pub use crate::state::QueueState;
pub use crate::table::Queue;
pub use crate::table::QueueTable;
pub use crate::table::TableError;
pub use crate::worker::EndKind;
pub use crate::worker::WorkerRecord;
