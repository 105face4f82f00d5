//! Experiments with real control processes.

pub mod claims;
pub mod commits;
pub mod processes;
pub mod recovery;

mod claim_faults;
mod simulated_worker;
