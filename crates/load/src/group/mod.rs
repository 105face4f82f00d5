//! Experiments with real control processes.

pub mod commits;
pub mod cost;
pub mod processes;
pub mod recovery;

mod cluster;
mod relay;
mod simulated_worker;
