//! The RPC server: its methods and its listener.
//!
//! Connections that must not wait behind those of many other clients can be served by a runtime of
//! their own. The path of the handshake tells which ones these are.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use jsonrpsee::RpcModule;
use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::RegisterMethodError;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::server::stop_channel;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::byte_budget::ByteBudget;
use crate::connections::Connections;
use crate::rpc::MESSAGE_MAX_BYTES;
use crate::rpc::acceptor::Acceptor;
use crate::rpc::acceptor::Runtimes;
use crate::rpc::auth::AuthLayer;
use crate::rpc::client::INACTIVITY_TIMEOUT;
use crate::rpc::client::PING_INTERVAL;
use crate::rpc::error::RpcError;
use crate::shared_key::SharedKey;

/// Sends the reply to one call.
///
/// It may be moved to another thread. If a responder that [`RpcMethods::forward`] created is
/// dropped without a reply, the client gets [`RpcError::OutcomeUnknown`].
#[derive(Debug)]
pub struct Responder<R>(oneshot::Sender<Result<R, RpcError>>);

impl<R> Responder<R> {
    /// Creates a responder that is not tied to an RPC call, and the receiver of its reply.
    pub fn channel() -> (Responder<R>, oneshot::Receiver<Result<R, RpcError>>) {
        let (sender, receiver) = oneshot::channel();
        (Responder(sender), receiver)
    }

    /// Sends the reply; it is discarded if the receiver no longer waits for it.
    pub fn send(self, reply: Result<R, RpcError>) {
        let _ = self.0.send(reply);
    }

    /// Returns whether the receiver no longer waits, so that no reply is needed.
    pub fn is_abandoned(&self) -> bool {
        self.0.is_closed()
    }
}

/// The RPC methods that a process serves, by name.
#[derive(Clone, Debug)]
pub struct RpcMethods(RpcModule<()>);

impl RpcMethods {
    /// Creates an empty set of methods.
    pub fn new() -> RpcMethods {
        RpcMethods(RpcModule::new(()))
    }

    /// Adds a method whose calls are passed to `forward` together with a responder for the reply.
    ///
    /// `forward` runs on a network thread and must not block: it should send both to another thread
    /// over a bounded channel with `try_send`, and reply [`RpcError::Busy`] if the channel is full.
    pub fn forward<P, R, F>(
        &mut self,
        method: &'static str,
        forward: F,
    ) -> Result<(), RpcServerError>
    where
        P: DeserializeOwned + Send + 'static,
        R: Serialize + Clone + Send + 'static,
        F: Fn(P, Responder<R>) + Clone + Send + Sync + 'static,
    {
        self.handle(method, move |params: P| {
            let (sender, receiver) = oneshot::channel();
            forward(params, Responder(sender));
            async move {
                match receiver.await {
                    Ok(reply) => reply,
                    Err(_) => Err(RpcError::OutcomeUnknown("the call was dropped".to_owned())),
                }
            }
        })
    }

    /// Adds a method whose reply is computed by an asynchronous function.
    pub fn handle<P, R, F, A>(
        &mut self,
        method: &'static str,
        handler: F,
    ) -> Result<(), RpcServerError>
    where
        P: DeserializeOwned + Send + 'static,
        R: Serialize + Clone + Send + 'static,
        F: Fn(P) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<R, RpcError>> + Send + 'static,
    {
        self.0.register_async_method(method, move |params, _, _| {
            let call = parse_params::<P>(&params).map(&handler);
            async move {
                match call {
                    Ok(future) => future.await.map_err(ErrorObjectOwned::from),
                    Err(error) => Err(error.into()),
                }
            }
        })?;
        Ok(())
    }
}

impl Default for RpcMethods {
    fn default() -> RpcMethods {
        RpcMethods::new()
    }
}

fn parse_params<P: DeserializeOwned>(params: &Params<'_>) -> Result<P, RpcError> {
    params
        .one::<P>()
        .map_err(|error| RpcError::Invalid(error.to_string()))
}

/// The address, shared key and limits of an RPC server.
#[derive(Clone, Debug)]
pub struct RpcServerConfig {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The shared key that clients must send; if absent, every client is accepted.
    pub key: Option<SharedKey>,
    /// Maximum number of open connections.
    pub connections_max: u32,
    /// Maximum number of replies that are queued for writing on one connection.
    pub calls_per_connection_max: u32,
    /// Counts the messages that arrive.
    pub budget: ByteBudget,
}

impl RpcServerConfig {
    /// Creates a configuration with limits for an entry process or a control process of the largest
    /// cluster that the system is designed for.
    pub fn new(address: SocketAddr, key: Option<SharedKey>) -> RpcServerConfig {
        RpcServerConfig {
            address,
            key,
            connections_max: 128,
            calls_per_connection_max: 4096,
            budget: ByteBudget::default(),
        }
    }
}

/// Why the methods could not be set up or the listener did not start.
#[derive(Debug, Error)]
pub enum RpcServerError {
    /// The address could not be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// A method could not be added, because its name is already in use.
    #[error(transparent)]
    Method(#[from] RegisterMethodError),
}

/// A running RPC server; it stops when dropped.
#[derive(Debug)]
pub struct RpcServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl RpcServer {
    /// Binds the address and starts serving on `runtime`. Blocks the calling thread meanwhile, so
    /// it must not be called from a task of a runtime.
    pub fn start(
        runtime: &Handle,
        config: RpcServerConfig,
        methods: RpcMethods,
    ) -> Result<RpcServer, RpcServerError> {
        let runtimes = Runtimes {
            usual: runtime.clone(),
            priority: runtime.clone(),
        };
        RpcServer::start_on(runtimes, config, methods)
    }

    /// Like [`RpcServer::start`], but serves the connections of clients with
    /// [`RpcClientConfig::has_priority`](crate::rpc::RpcClientConfig::has_priority) on a runtime of
    /// their own, so that they do not wait for a thread that serves many others.
    pub fn start_with_priority(
        runtime: &Handle,
        priority_runtime: &Handle,
        config: RpcServerConfig,
        methods: RpcMethods,
    ) -> Result<RpcServer, RpcServerError> {
        let runtimes = Runtimes {
            usual: runtime.clone(),
            priority: priority_runtime.clone(),
        };
        RpcServer::start_on(runtimes, config, methods)
    }

    fn start_on(
        runtimes: Runtimes,
        config: RpcServerConfig,
        methods: RpcMethods,
    ) -> Result<RpcServer, RpcServerError> {
        let address = config.address;
        let bind_error = |error| RpcServerError::Bind(address, error);
        let auth = AuthLayer {
            key: config.key.clone(),
        };
        let services = Server::builder()
            .set_config(server_limits(&config))
            .set_http_middleware(tower::ServiceBuilder::new().layer(auth))
            .to_service_builder()
            .max_connections(config.connections_max);
        let binding = TcpListener::bind(address);
        let listener = runtimes.priority.block_on(binding).map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let (stop_handle, handle) = stop_channel();
        let priority_runtime = runtimes.priority.clone();
        let acceptor = Acceptor {
            runtimes,
            services,
            methods: methods.0.into(),
            stop_handle,
            connections: Connections::new(&config.budget, config.connections_max as usize),
        };
        priority_runtime.spawn(acceptor.run(listener));
        Ok(RpcServer { address, handle })
    }

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and calls.
    pub fn stop(&self) {
        let _ = self.handle.stop();
    }
}

impl Drop for RpcServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn server_limits(config: &RpcServerConfig) -> ServerConfig {
    let ping = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(INACTIVITY_TIMEOUT)
        .max_failures(1);
    ServerConfig::builder()
        .ws_only()
        .max_connections(config.connections_max)
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .max_subscriptions_per_connection(0)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_message_buffer_capacity(config.calls_per_connection_max)
        .set_tcp_no_delay(true)
        .enable_ws_ping(ping)
        .build()
}
