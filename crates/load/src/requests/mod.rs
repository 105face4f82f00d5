//! Experiments on callers' requests: real entry processes, runners inside this process, loopback.

mod answer;
mod cluster;
pub mod connections;
pub mod entry;
pub mod faults;
mod generator;
pub mod latency;
pub mod leaving;
pub mod overload;
pub mod runner;
