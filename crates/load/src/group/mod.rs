//! Experiments with real control processes.

pub mod commits;
pub mod processes;
pub mod recovery;

mod simulated_worker;
