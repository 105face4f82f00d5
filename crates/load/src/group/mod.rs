//! Experiments that run real control processes.

pub mod claims;
pub mod commits;
pub mod cost;
pub mod processes;
pub mod recovery;

mod claim_faults;
mod cluster;
mod relay;
mod simulated_worker;
