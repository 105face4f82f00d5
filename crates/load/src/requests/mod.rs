//! Experiments on requests of callers, with real entry processes and with runners inside this
//! process, all on the loopback interface.

mod cluster;
pub mod connections;
pub mod entry;
pub mod faults;
mod generator;
pub mod latency;
pub mod leaving;
pub mod overload;
mod response_body;
pub mod runner;
