//! Real processes of one scenario, the steps that act on them, and the check of the journals.

pub mod callers;
pub mod cluster;
pub mod history;
pub mod programs;
pub mod relay;
pub mod steps;
