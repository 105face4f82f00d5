//! Simulated workers and upstreams for tests and for trying out a cluster.
//!
//! They use only the public HTTP interfaces of the entries. They write a journal of the task
//! attempts and requests that actually ran, and the checker verifies it against the invariants.

pub mod agent;
pub mod check;
pub mod entries;
pub mod journal;
pub mod task;
pub mod upstream;
pub mod worker;
