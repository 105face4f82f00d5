//! The leader's volatile decisions over the replicated state.
//!
//! [`Leader`] is made when a new leader has applied the first entry of its term, and dropped when
//! it steps down. It keeps lease deadlines, held calls and the placement's picture; everything
//! that must survive it is proposed as a command. It does no I/O: time and messages are inputs,
//! proposals and replies are outputs.
//!
//! Invariants: a lease is renewed only for a connected worker whose expiry is not proposed; an
//! expiry is proposed only after the worker has certainly stopped what moves; an ended attempt is
//! acknowledged only after its report was applied.

pub mod clock_bound;
pub mod config;
pub mod leader;
pub mod message;
pub mod stats;

mod claims;
mod commands;
mod deciding;
mod distribution;
mod draining;
mod estimate;
mod mirror;
mod operators;
mod planning;
mod renewal;
mod sessions;
mod status;

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
pub use crate::stats::Waiting;
