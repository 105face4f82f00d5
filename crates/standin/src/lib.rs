//! Stand-ins for workers and upstream runners, for test runs and first steps.
//!
//! They meet the entries through the published HTTP interfaces only, and write a journal of what
//! really ran, against which a checker compares what the system reported.

pub mod agent;
pub mod check;
pub mod entries;
pub mod journal;
pub mod task;
pub mod upstream;
pub mod worker;
