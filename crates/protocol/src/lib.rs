//! Messages between the processes of the system, and the bodies of its HTTP interfaces.
//!
//! The package has no logic except for one digest. The processes talk to each other over the inner
//! protocol, whose messages are parameters and results of JSON-RPC 2.0 calls; [`method`] lists the
//! method names. Unknown fields are errors, so that a misspelt field is reported instead of
//! ignored.

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
