//! The placement scheduler: assigns waiting tasks to workers.
//!
//! [`Placer`] keeps an in-memory model of workers, jobs and running tasks and decides which
//! waiting task starts on which worker. It is deterministic: it reads no clock and does no I/O,
//! the caller passes in the time, and random numbers come from a seeded generator, so a run can be
//! replayed.

mod admission;
mod binding;
mod bitset;
pub mod config;
mod decide;
pub mod decision;
mod estimate;
mod explain;
pub mod explanation;
mod feasibility;
mod free_index;
mod health;
mod housekeeping;
mod job;
pub mod placer;
mod policy;
mod queue;
mod quota;
mod reservation;
mod search;
mod task_end;
pub mod view;
mod worker_health;
mod workers;

pub use crate::config::Mechanisms;
pub use crate::config::PlacementConfig;
pub use crate::decision::Decisions;
pub use crate::decision::FaultyTask;
pub use crate::decision::Health;
pub use crate::decision::HealthChange;
pub use crate::decision::InfeasibleCause;
pub use crate::decision::InfeasibleJob;
pub use crate::decision::LateWarning;
pub use crate::decision::Placement;
pub use crate::decision::StopCause;
pub use crate::decision::TaskStop;
pub use crate::decision::Throttle;
pub use crate::explanation::Explanation;
pub use crate::placer::Placer;
pub use crate::view::JobPolicy;
pub use crate::view::JobView;
pub use crate::view::TaskEnd;
pub use crate::view::TaskView;
pub use crate::view::WorkerMode;
pub use crate::view::WorkerView;
