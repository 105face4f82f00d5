//! Decisions about callers' requests at one entry.
//!
//! The package does no I/O: events with the current time go in, actions come out, and random
//! numbers come from a seed, so that a failure can be replayed. [`Router`] ties the modules
//! together; each module has one responsibility.
//!
//! Invariants: a request that is refused as not run was never handed to a connection, or its
//! upstream confirmed that it did not run; a non-idempotent request is handed to a connection at
//! most once unless it is certain that the earlier one did not run; a connection carries one
//! request at a time.

mod admission;
mod choice;
mod claims;
mod config;
mod connections;
mod event;
mod health;
mod planned_stop;
mod retry;
mod roster;
mod router;
mod table;
mod timers;

pub use crate::admission::Admission;
pub use crate::admission::Queued;
pub use crate::choice::Candidate;
pub use crate::choice::choose;
pub use crate::claims::Claims;
pub use crate::claims::Held;
pub use crate::config::ClassLimits;
pub use crate::config::RouterConfig;
pub use crate::config::Without;
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
pub use crate::table::UpstreamTable;
