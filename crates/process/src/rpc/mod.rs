//! JSON-RPC 2.0 over WebSocket between the processes of the system.
//!
//! Parameters are sent as an array with one element, because JSON-RPC allows only arrays and
//! objects and some parameters are plain strings. All messages are calls with a reply, because the
//! server of `jsonrpsee` ignores notifications. The shared key is sent in the `authorization`
//! header of the WebSocket handshake; if the server has a key, it rejects a connection without the
//! key before any call.

mod acceptor;
mod auth;
mod client;
mod connection;
mod counted_stream;
mod error;
mod message_meter;
mod ordered_runtime;
mod server;

pub use crate::rpc::client::RpcClient;
pub use crate::rpc::client::RpcClientConfig;
pub use crate::rpc::error::RpcError;
pub use crate::rpc::ordered_runtime::OrderedRuntime;
pub use crate::rpc::server::Responder;
pub use crate::rpc::server::RpcMethods;
pub use crate::rpc::server::RpcServer;
pub use crate::rpc::server::RpcServerConfig;
pub use crate::rpc::server::RpcServerError;

use std::io;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Maximum size of one message; snapshot chunks and full worker lists are smaller.
pub const MESSAGE_MAX_BYTES: u32 = 8 * 1024 * 1024;

/// The path in the handshake of a client whose connections have priority.
const PRIORITY_PATH: &str = "/priority";

/// Creates the Tokio runtime for the network code of a process, with the given number of worker
/// threads. The runtime stops when it is dropped.
pub fn runtime(threads: usize) -> io::Result<Runtime> {
    named_runtime("network", threads)
}

/// Like [`runtime`], with threads called `name`, which tells them apart in
/// [`thread_times`](crate::process_metrics::thread_times). Linux keeps 15 bytes of it.
pub fn named_runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}
