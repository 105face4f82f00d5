//! Queued jobs: callers submit jobs made of steps of tasks, and the leader sends the tasks to
//! workers.
//!
//! The package does no I/O. [`QueueState`] is the replicated part and changes only by applied
//! [`QueueCommand`]s. [`Scheduler`] makes a leader's decisions: its inputs are the replies of
//! workers and the time, and its outputs are [`Action`]s that propose commands or send requests.

pub mod command;
pub mod crash;
pub mod ids;
pub mod job;
pub mod lost_workers;
pub mod scheduler;
pub mod spec;
pub mod state;
pub mod table;
pub mod table_review;
pub mod tenant;
pub mod worker;
mod worker_changes;

pub use crate::command::Placement;
pub use crate::command::QueueCommand;
pub use crate::command::RunEnd;
pub use crate::crash::CrashCount;
pub use crate::crash::LostRuns;
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
pub use crate::tenant::ApiKey;
pub use crate::tenant::JobTenant;
pub use crate::tenant::Tenant;
pub use crate::tenant::TenantLimits;
pub use crate::worker::EndKind;
pub use crate::worker::WorkerRecord;
