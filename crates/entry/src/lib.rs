//! The entry: where callers, upstreams, workers and operators reach the system.
//!
//! `main` makes one [`control_client::ControlClient`], and hands clones of it to
//! [`workers::WorkersServer::start`], [`operators::OperatorServer::start`] and
//! [`config_watch::start`].

pub mod caller;
pub mod clock;
pub mod config_watch;
pub mod control_client;
pub mod daemon;
pub mod dump;
pub mod hop;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod roster;
pub mod router_thread;
pub mod settings;
pub mod upstream;
pub mod workers;
pub mod write_timeout;
