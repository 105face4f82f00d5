//! JSON-RPC 2.0 over WebSocket between the processes of the system.
//!
//! Parameters travel as one positional value, because JSON-RPC allows only arrays and objects and
//! some parameters are plain strings. All messages are calls with an answer: the server of
//! `jsonrpsee` ignores notifications. The shared key stands in the `authorization` header of the
//! WebSocket handshake; a connection without it is rejected before any call.

mod auth;
mod client;
mod connection;
mod error;
mod server;

pub use crate::rpc::client::RpcClient;
pub use crate::rpc::client::RpcClientConfig;
pub use crate::rpc::error::RpcError;
pub use crate::rpc::server::Responder;
pub use crate::rpc::server::RpcMethods;
pub use crate::rpc::server::RpcServer;
pub use crate::rpc::server::RpcServerConfig;
pub use crate::rpc::server::RpcServerError;

use std::io;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// The greatest size of one message; a snapshot chunk and a full worker list stay below it.
pub const MESSAGE_MAX_BYTES: u32 = 8 * 1024 * 1024;

/// The asynchronous runtime of a process; the owner keeps it until shutdown.
pub fn runtime(threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("network")
        .enable_all()
        .build()
}
