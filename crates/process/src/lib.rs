//! Runtime infrastructure of all programs: settings, logging, clock, metrics, HTTP listeners,
//! signals and JSON-RPC.
//!
//! The package opens sockets and starts threads, so the packages that make decisions, such as
//! scheduling and consensus, do not depend on it. A program builds its settings with
//! [`settings::Reader`], starts logging with [`logging::init`] or [`logging::init_bounded`], serves
//! [`admin::AdminServer`], and communicates with other processes through [`rpc`].

pub mod admin;
pub mod byte_budget;
pub mod clock;
mod connections;
pub mod descriptors;
pub mod http;
pub mod line_limits;
pub mod logging;
mod metered_stream;
pub mod metrics;
pub mod process_metrics;
pub mod rate_limit;
pub mod readiness;
pub mod rpc;
pub mod settings;
pub mod shared_key;
pub mod shutdown;
pub mod write_timeout;

pub use crate::clock::SystemClock;
pub use crate::readiness::Readiness;
pub use crate::rpc::RpcError;
pub use crate::shared_key::SharedKey;
