//! The scheduling decisions of the control process that leads the replicated group.
//!
//! A [`Leader`] exists for one term: it is created when the new leader has applied an entry of that
//! term, and dropped when the process steps down. It holds volatile data only (lease deadlines, held
//! calls and the placer's view of the cluster); whatever must survive it is proposed as a command to
//! the replicated state. It does no I/O: time and messages are inputs, proposals and replies are
//! outputs.
//!
//! Invariants:
//!
//! - A lease is renewed only for a connected worker whose expiry has not been proposed.
//! - An expiry is proposed only after the worker has certainly stopped every task that may run
//!   elsewhere once the lease ends.
//! - The end of an attempt is acknowledged only when the state has applied the report of it, or when
//!   the report would change nothing in the state.

pub mod clock_bound;
pub mod config;
pub mod leader;
pub mod message;
pub mod stats;

mod claims;
mod decisions;
mod distribution;
mod draining;
mod estimate;
mod mirror;
mod operators;
mod planning;
mod sessions;
mod status;
mod sync_reply;
mod worker_sync;

pub use crate::clock_bound::ClockBound;
pub use crate::config::Disabled;
pub use crate::config::LeaderConfig;
pub use crate::leader::Leader;
pub use crate::message::Context;
pub use crate::message::Output;
pub use crate::message::Reply;
pub use crate::message::ReplyToken;
pub use crate::stats::ClusterStats;
pub use crate::stats::Events;
pub use crate::stats::JobClass;
pub use crate::stats::Packing;
pub use crate::stats::Wait;
pub use crate::stats::WaitingTasks;
