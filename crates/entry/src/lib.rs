//! The entry process, to which callers, upstreams, workers and operators connect.
//!
//! [`daemon::run`] starts all parts. If the settings name control processes, it creates one
//! [`control_client::ControlClient`] for them and passes clones of it to [`peers::Peers::new`],
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
