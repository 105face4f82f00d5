//! The entry: where callers, upstreams, workers and operators reach the system.
//!
//! `main` makes one [`control_client::ControlClient`], and hands clones of it to
//! [`platform::PlatformServer::start`], [`operators::OperatorServer::start`] and
//! [`config_watch::start`].

pub mod config_watch;
pub mod control_client;
pub mod operators;
pub mod platform;
