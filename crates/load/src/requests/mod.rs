//! Experiments on callers' requests: real entry processes, runners inside this process, loopback.

mod cluster;
pub mod connections;
mod entry;
pub mod faults;
mod generator;
pub mod latency;
pub mod leaving;
pub mod overload;
mod runner;
