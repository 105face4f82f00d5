//! The RPC client: one connection to one process, established on demand.
//!
//! A timeout of a call may mean that the connection is dead, so the next call opens a new one;
//! calls that still wait on the old connection keep it open until they end. A patient call
//! ([`RpcClient::call_patiently`]) keeps a connection that brings replies to other calls. After a failed
//! connection attempt, calls fail immediately until a backoff with jitter has passed, so that many
//! clients do not reconnect to a restarted process at the same moment.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jsonrpsee::async_client::ClientBuilder;
use jsonrpsee::async_client::PingConfig;
use jsonrpsee::client_transport::ws::HeaderMap;
use jsonrpsee::client_transport::ws::HeaderValue;
use jsonrpsee::client_transport::ws::Url;
use jsonrpsee::client_transport::ws::WsHandshakeError;
use jsonrpsee::client_transport::ws::WsTransportClientBuilder;
use jsonrpsee::core::client::Error as ClientError;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;
use tokio::sync::Mutex;
use tokio::sync::Semaphore;

use crate::rpc::MESSAGE_MAX_BYTES;
use crate::rpc::PRIORITY_PATH;
use crate::rpc::connection::Connection;
use crate::rpc::error::RpcError;
use crate::rpc::error::from_client_error;
use crate::shared_key::SharedKey;

/// Interval of the WebSocket pings, which detect a dead connection. Both ends send them; with the
/// replies they cost 12 bytes per interval from the client to the server and 4 bytes back.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(5);
/// A connection is closed after this time without any incoming traffic.
pub(crate) const INACTIVITY_TIMEOUT: Duration = Duration::from_secs(10);
/// A process whose last reply on a connection is older has stopped answering. It is shorter than an
/// election, so that a leader that is gone is left as soon as there may be another one.
const REPLY_AGE_MAX: Duration = Duration::from_millis(200);
const UNAUTHORIZED: u16 = 401;

/// The address, shared key and limits of an RPC client.
#[derive(Clone, Debug)]
pub struct RpcClientConfig {
    /// The RPC address of the process (its setting `inner-address`), as `ip:port`.
    pub address: String,
    /// The shared key to send in the handshake, if the server requires one.
    pub key: Option<SharedKey>,
    /// Maximum number of calls in progress; further ones fail with [`RpcError::Busy`].
    pub calls_max: usize,
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// Backoff after the first failed connection attempt, before jitter; doubles with each further
    /// failure up to `backoff_max`.
    pub backoff_min: Duration,
    /// Maximum backoff after a failed connection attempt.
    pub backoff_max: Duration,
    /// Whether the server is asked to serve the connection apart from those without priority.
    pub has_priority: bool,
}

impl RpcClientConfig {
    /// Creates a configuration with limits for an entry process that has the sync calls of 800
    /// workers in progress in addition to its own calls.
    pub fn new(address: impl Into<String>, key: Option<SharedKey>) -> RpcClientConfig {
        RpcClientConfig {
            address: address.into(),
            key,
            calls_max: 2048,
            connect_timeout: Duration::from_millis(500),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(1),
            has_priority: false,
        }
    }
}

/// A client for calls to one process; clones share the connection.
#[derive(Clone, Debug)]
pub struct RpcClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    runtime: Handle,
    config: RpcClientConfig,
    call_permits: Semaphore,
    state: Mutex<ConnectionState>,
}

#[derive(Debug, Default)]
struct ConnectionState {
    connection: Option<Arc<Connection>>,
    /// Failed connection attempts in a row. An attempt that the timeout of a call cuts short does
    /// not count.
    failures: u32,
    /// Until then, calls fail without a connection attempt.
    blocked_until: Option<Instant>,
}

/// How long a call waits for its reply.
#[derive(Clone, Copy, Debug)]
struct Patience {
    /// How long it waits at least, including the time to connect.
    attempt: Duration,
    /// How long it waits while the process answers other calls.
    total: Duration,
    /// Whether a timeout leaves a connection open that brings replies to other calls.
    keeps_connection: bool,
}

impl RpcClient {
    /// Creates a client that uses `runtime` and connects at its first call.
    pub fn new(runtime: Handle, config: RpcClientConfig) -> RpcClient {
        let inner = Inner {
            runtime,
            call_permits: Semaphore::new(config.calls_max),
            state: Mutex::new(ConnectionState::default()),
            config,
        };
        RpcClient {
            inner: Arc::new(inner),
        }
    }

    /// The RPC address of the process that this client calls.
    pub fn address(&self) -> &str {
        &self.inner.config.address
    }

    /// Calls a method and waits up to `timeout` for its reply; the timeout includes connecting.
    pub async fn call<P, R>(
        &self,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, RpcError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let patience = Patience {
            attempt: timeout,
            total: timeout,
            keeps_connection: false,
        };
        self.call_with(method, params, patience).await
    }

    /// Like [`RpcClient::call`], but goes on waiting after `timeout`, for at most `total_timeout`,
    /// while the process answers other calls on the connection. It then has the call too, and a
    /// repeated one would only add to its load.
    ///
    /// The call fails with [`RpcError::Late`] if the process still answers others when
    /// `total_timeout` is over; the connection is kept.
    pub async fn call_patiently<P, R>(
        &self,
        method: &str,
        params: &P,
        timeout: Duration,
        total_timeout: Duration,
    ) -> Result<R, RpcError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let patience = Patience {
            attempt: timeout.min(total_timeout),
            total: total_timeout,
            keeps_connection: true,
        };
        self.call_with(method, params, patience).await
    }

    async fn call_with<P, R>(
        &self,
        method: &str,
        params: &P,
        patience: Patience,
    ) -> Result<R, RpcError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let _permit = self
            .inner
            .call_permits
            .try_acquire()
            .map_err(|_| RpcError::Busy)?;
        let since = tokio::time::Instant::now();
        let deadline = since + patience.attempt;
        let connecting = tokio::time::timeout_at(deadline, self.inner.connect());
        let connection = connecting
            .await
            .map_err(|_| RpcError::NotSent("no connection in time".to_owned()))??;
        let sent = Instant::now();
        let is_answering =
            || patience.keeps_connection && connection.has_replied(sent, REPLY_AGE_MAX);
        let mut call = std::pin::pin!(connection.call::<P, R>(method, params));
        let end = since + patience.total;
        let mut deadline = deadline;
        let result = loop {
            let result = tokio::time::timeout_at(deadline, &mut call).await;
            if result.is_ok() || deadline >= end || !is_answering() {
                break result;
            }
            deadline = end.min(deadline + REPLY_AGE_MAX);
        };
        match result {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(ClientError::Call(object))) => Err(RpcError::from(object)),
            Ok(Err(error)) => {
                self.inner.discard(&connection).await;
                Err(from_client_error(error))
            }
            Err(_) => {
                let waited_ms = since.elapsed().as_millis();
                let detail = format!("timed out after {waited_ms} ms");
                if is_answering() {
                    return Err(RpcError::Late(detail));
                }
                self.inner.discard(&connection).await;
                Err(RpcError::NoAnswer(detail))
            }
        }
    }

    /// Like [`RpcClient::call`], but blocks the calling thread, which must not run tasks of a
    /// runtime.
    pub fn call_blocking<P, R>(
        &self,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, RpcError>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        self.inner
            .runtime
            .block_on(self.call(method, params, timeout))
    }

    /// Calls a method without waiting. `done` receives the result on a network thread and must not
    /// block; it can for instance pass the result to a channel with `try_send`.
    pub fn call_then<P, R>(
        &self,
        method: &'static str,
        params: P,
        timeout: Duration,
        done: impl FnOnce(Result<R, RpcError>) + Send + 'static,
    ) where
        P: Serialize + Send + Sync + 'static,
        R: DeserializeOwned + Send + 'static,
    {
        let client = self.clone();
        self.inner.runtime.spawn(async move {
            done(client.call(method, &params, timeout).await);
        });
    }
}

impl Inner {
    async fn connect(&self) -> Result<Arc<Connection>, RpcError> {
        let mut state = self.state.lock().await;
        if let Some(connection) = state
            .connection
            .as_ref()
            .filter(|connection| connection.is_connected())
        {
            return Ok(connection.clone());
        }
        state.connection = None;
        if let Some(until) = state.blocked_until
            && Instant::now() < until
        {
            return Err(RpcError::NotSent("waiting to reconnect".to_owned()));
        }
        match self.open().await {
            Ok(connection) => {
                let connection = Arc::new(connection);
                *state = ConnectionState {
                    connection: Some(connection.clone()),
                    ..ConnectionState::default()
                };
                Ok(connection)
            }
            Err(error) => {
                state.failures += 1;
                state.blocked_until = Some(Instant::now() + self.backoff(state.failures));
                Err(error)
            }
        }
    }

    async fn open(&self) -> Result<Connection, RpcError> {
        let ping = PingConfig::new()
            .ping_interval(PING_INTERVAL)
            .inactive_limit(INACTIVITY_TIMEOUT)
            .max_failures(1);
        let path = if self.config.has_priority {
            PRIORITY_PATH
        } else {
            ""
        };
        let url = Url::parse(&format!("ws://{}{path}", self.config.address))
            .map_err(|error| RpcError::NotSent(error.to_string()))?;
        let transport = WsTransportClientBuilder {
            connection_timeout: self.config.connect_timeout,
            headers: self.headers()?,
            max_request_size: MESSAGE_MAX_BYTES,
            max_response_size: MESSAGE_MAX_BYTES,
            max_frame_size: None,
            // The library counts the first attempt as well; with 0 it would make none.
            max_redirections: 1,
            tcp_no_delay: true,
        };
        let transport = transport.build(url).await.map_err(connect_error)?;
        let builder = ClientBuilder::default()
            .max_concurrent_requests(self.config.calls_max)
            .enable_ws_ping(ping);
        Ok(Connection::start(builder, transport))
    }

    fn headers(&self) -> Result<HeaderMap, RpcError> {
        let mut headers = HeaderMap::new();
        if let Some(key) = &self.config.key {
            let mut value = HeaderValue::from_str(&key.authorization())
                .map_err(|error| RpcError::NotSent(error.to_string()))?;
            value.set_sensitive(true);
            headers.insert("authorization", value);
        }
        Ok(headers)
    }

    /// Returns the backoff after a number of failures in a row: the minimum doubled with each
    /// failure after the first, at most the maximum, with jitter between half and all of it.
    fn backoff(&self, failures: u32) -> Duration {
        let exponential = self.config.backoff_min * 2u32.saturating_pow(failures.min(16) - 1);
        let capped = exponential.min(self.config.backoff_max);
        capped.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Makes the next call open a new connection, unless one has already replaced `connection`.
    async fn discard(&self, connection: &Arc<Connection>) {
        let mut state = self.state.lock().await;
        if state
            .connection
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, connection))
        {
            state.connection = None;
        }
    }
}

fn connect_error(error: WsHandshakeError) -> RpcError {
    match error {
        WsHandshakeError::Rejected {
            status_code: UNAUTHORIZED,
        } => RpcError::Unauthorized,
        error => RpcError::NotSent(error.to_string()),
    }
}
