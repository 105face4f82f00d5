//! Starts the processes of a scenario, runs its steps and checks the journals.

pub mod callers;
pub mod cluster;
pub mod history;
pub mod programs;
pub mod relay;
pub mod steps;
