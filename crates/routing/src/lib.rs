//! Request routing of one entry: admission, claims, choice of an upstream, retries and answers.
//!
//! The package does no I/O. [`Router::handle`] takes an event with the current time and returns
//! actions, and random numbers come from a seeded generator, so that a failing run can be replayed.
//!
//! Invariants:
//!
//! - A refused request did not run: it was never handed to a connection, or the upstream confirmed
//!   that it did not run it.
//! - A non-idempotent request is handed to a connection again only if it is certain that the
//!   earlier attempt did not run.
//! - A connection carries one request at a time.

mod admission;
mod claims;
mod config;
mod connections;
mod event;
mod health;
mod planned_stop;
mod retry;
mod roster;
mod router;
mod selection;
mod table;
mod timers;

pub use crate::admission::AdmissionQueue;
pub use crate::admission::QueuedRequest;
pub use crate::claims::Claims;
pub use crate::claims::ExistingClaim;
pub use crate::config::ClassLimits;
pub use crate::config::Disabled;
pub use crate::config::RouterConfig;
pub use crate::connections::Connections;
pub use crate::event::Action;
pub use crate::event::Answer;
pub use crate::event::CallKey;
pub use crate::event::ClaimFailure;
pub use crate::event::ConnectionKey;
pub use crate::event::Event;
pub use crate::event::NewRequest;
pub use crate::event::RefusalReason;
pub use crate::event::ReplyToken;
pub use crate::event::RequestKey;
pub use crate::event::ResponseSummary;
pub use crate::event::SendKey;
pub use crate::event::UnknownReason;
pub use crate::health::Health;
pub use crate::planned_stop::PlannedStop;
pub use crate::planned_stop::StopPhase;
pub use crate::retry::RetryBudget;
pub use crate::roster::Roster;
pub use crate::roster::RosterChange;
pub use crate::roster::RosterEntry;
pub use crate::roster::Share;
pub use crate::router::Router;
pub use crate::router::Stats;
pub use crate::router::UpstreamView;
pub use crate::selection::Candidate;
pub use crate::selection::select_upstream;
pub use crate::table::UpstreamTable;
