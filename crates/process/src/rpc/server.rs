//! The server side: methods and the listener.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::RegisterMethodError;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::Params;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use crate::rpc::MESSAGE_MAX_BYTES;
use crate::rpc::auth::AuthLayer;
use crate::rpc::client::PING_INTERVAL;
use crate::rpc::client::SILENCE_MAX;
use crate::rpc::error::RpcError;
use crate::shared_key::SharedKey;

/// A connection without a handshake for this long is closed, so that silent ones cannot take all
/// places.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The place for the answer to one call.
///
/// It may be moved to another thread. When it is dropped unanswered, the caller learns that the
/// outcome is unknown.
#[derive(Debug)]
pub struct Responder<R>(oneshot::Sender<Result<R, RpcError>>);

impl<R> Responder<R> {
    /// A place for an answer, and where the answer arrives.
    pub fn channel() -> (Responder<R>, oneshot::Receiver<Result<R, RpcError>>) {
        let (sender, receiver) = oneshot::channel();
        (Responder(sender), receiver)
    }

    /// Answers the call; an answer to a caller that has gone is dropped.
    pub fn send(self, answer: Result<R, RpcError>) {
        let _ = self.0.send(answer);
    }

    /// Whether the caller has gone, so that no answer is needed.
    pub fn is_abandoned(&self) -> bool {
        self.0.is_closed()
    }
}

/// The methods that a process serves.
#[derive(Clone, Debug)]
pub struct RpcMethods(RpcModule<()>);

impl RpcMethods {
    /// No methods.
    pub fn new() -> RpcMethods {
        RpcMethods(RpcModule::new(()))
    }

    /// Adds a method whose calls are handed to `forward` together with the place for the answer.
    ///
    /// `forward` runs on a network thread and must not block: it puts both into a bounded ring
    /// with `try_send` and answers [`RpcError::Busy`] when the ring is full.
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
                    Ok(answer) => answer,
                    Err(_) => Err(RpcError::OutcomeUnknown("the call was dropped".to_owned())),
                }
            }
        })
    }

    /// Adds a method that is answered by an asynchronous function.
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
            let call = parse::<P>(&params).map(&handler);
            async move {
                match call {
                    Ok(answer) => answer.await.map_err(ErrorObjectOwned::from),
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

fn parse<P: DeserializeOwned>(params: &Params<'_>) -> Result<P, RpcError> {
    params
        .one::<P>()
        .map_err(|error| RpcError::Invalid(error.to_string()))
}

/// What the listener needs.
#[derive(Clone, Debug)]
pub struct RpcServerConfig {
    /// Where to listen.
    pub address: SocketAddr,
    /// The key that callers must present; without one every caller is accepted.
    pub key: Option<SharedKey>,
    /// The most connections at a time.
    pub connections_max: u32,
    /// The most answers that wait to be written to one connection.
    pub calls_per_connection_max: u32,
}

impl RpcServerConfig {
    /// Limits for an entry or control process of the design size.
    pub fn new(address: SocketAddr, key: Option<SharedKey>) -> RpcServerConfig {
        RpcServerConfig {
            address,
            key,
            connections_max: 128,
            calls_per_connection_max: 4096,
        }
    }
}

/// Why the listener did not start.
#[derive(Debug, Error)]
pub enum RpcServerError {
    /// The address could not be bound.
    #[error("cannot listen on {0}: {1}")]
    Bind(SocketAddr, io::Error),
    /// A method was added twice.
    #[error(transparent)]
    Method(#[from] RegisterMethodError),
}

/// The running listener; it stops when dropped.
#[derive(Debug)]
pub struct RpcServer {
    address: SocketAddr,
    handle: ServerHandle,
}

impl RpcServer {
    /// Binds the address and starts to serve on `runtime`. Must not be called on the runtime.
    pub fn start(
        runtime: &Handle,
        config: RpcServerConfig,
        methods: RpcMethods,
    ) -> Result<RpcServer, RpcServerError> {
        let address = config.address;
        let bind_error = |error| RpcServerError::Bind(address, error);
        let auth = AuthLayer {
            key: config.key.clone(),
        };
        let limits = server_limits(&config);
        let building = Server::builder()
            .set_config(limits)
            .set_http_middleware(tower::ServiceBuilder::new().layer(auth))
            .build(address);
        let server = runtime.block_on(building).map_err(bind_error)?;
        let address = server.local_addr().map_err(bind_error)?;
        let _entered = runtime.enter();
        let handle = server.start(methods.0);
        Ok(RpcServer { address, handle })
    }

    /// The bound address.
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
        .inactive_limit(SILENCE_MAX)
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
        .set_first_request_timeout(Some(HANDSHAKE_TIMEOUT))
        .enable_ws_ping(ping)
        .build()
}
