//! Messages between the processes of the system, and the bodies of its HTTP interfaces.
//!
//! The package holds data only. Inner messages travel as JSON-RPC 2.0 parameters and results;
//! the method names stand in [`method`]. Unknown fields are errors, so that a misspelt field is
//! reported instead of ignored.

pub mod claim;
pub mod config;
pub mod consensus;
pub mod error;
pub mod gossip;
pub mod header;
pub mod method;
pub mod operator;
pub mod operator_http;
pub mod queue;
pub mod worker;
