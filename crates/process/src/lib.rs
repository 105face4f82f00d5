//! What all programs share: settings, logs, clock, metrics, listeners, signals and JSON-RPC.
//!
//! The package opens sockets and starts threads, so decision packages do not depend on it. A
//! program builds its settings with [`settings::Reader`], starts its log with [`logging::init`],
//! serves [`admin::AdminServer`], and talks to other processes through [`rpc`].

pub mod admin;
pub mod clock;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod process_metrics;
pub mod rate_limit;
pub mod readiness;
pub mod rpc;
pub mod settings;
pub mod shared_key;
pub mod shutdown;

pub use crate::clock::SystemClock;
pub use crate::readiness::Readiness;
pub use crate::rpc::RpcError;
pub use crate::shared_key::SharedKey;
