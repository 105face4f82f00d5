//! The client side: one connection to one process, made when it is needed.
//!
//! A call that times out may mean a connection that has gone silent, so the next call uses a new
//! one; calls that are held on the old connection keep it until they end. After a failed attempt
//! to connect, calls fail at once until a back-off with jitter has passed, so that many clients
//! do not return to a restarted process at the same moment.

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
use crate::rpc::connection::Connection;
use crate::rpc::error::RpcError;
use crate::rpc::error::from_client;
use crate::shared_key::SharedKey;

/// How often an idle connection is probed; 6 bytes every 5 s in each direction.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(5);
/// A connection without any traffic for this long is closed.
pub(crate) const SILENCE_MAX: Duration = Duration::from_secs(10);
const UNAUTHORIZED: u16 = 401;

/// Where and how to call.
#[derive(Clone, Debug)]
pub struct RpcClientConfig {
    /// The inner address of the process, as `ip:port`.
    pub address: String,
    /// The key to present.
    pub key: Option<SharedKey>,
    /// The most calls that wait for their answers at a time.
    pub calls_max: usize,
    /// The longest time to make a connection.
    pub connect_timeout: Duration,
    /// The shortest pause after a failed connection; it doubles up to `backoff_max`.
    pub backoff_min: Duration,
    /// The longest pause after a failed connection.
    pub backoff_max: Duration,
}

impl RpcClientConfig {
    /// Limits for an entry that holds the syncs of 800 workers and its own calls.
    pub fn new(address: impl Into<String>, key: Option<SharedKey>) -> RpcClientConfig {
        RpcClientConfig {
            address: address.into(),
            key,
            calls_max: 2048,
            connect_timeout: Duration::from_millis(500),
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(1),
        }
    }
}

/// A handle to one process; clones share the connection.
#[derive(Clone, Debug)]
pub struct RpcClient {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    runtime: Handle,
    config: RpcClientConfig,
    calls: Semaphore,
    link: Mutex<Link>,
}

#[derive(Debug, Default)]
struct Link {
    client: Option<Arc<Connection>>,
    failures: u32,
    blocked_until: Option<Instant>,
}

impl RpcClient {
    /// A client that connects with its first call, on `runtime`.
    pub fn new(runtime: Handle, config: RpcClientConfig) -> RpcClient {
        let inner = Inner {
            runtime,
            calls: Semaphore::new(config.calls_max),
            link: Mutex::new(Link::default()),
            config,
        };
        RpcClient {
            inner: Arc::new(inner),
        }
    }

    /// The address that this client calls.
    pub fn address(&self) -> &str {
        &self.inner.config.address
    }

    /// Calls a method and waits for its answer up to `timeout`.
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
        let _permit = self.inner.calls.try_acquire().map_err(|_| RpcError::Busy)?;
        let deadline = tokio::time::Instant::now() + timeout;
        let connecting = tokio::time::timeout_at(deadline, self.inner.connect());
        let client = connecting
            .await
            .map_err(|_| RpcError::NotSent("no connection in time".to_owned()))??;
        let call = client.call::<P, R>(method, params);
        match tokio::time::timeout_at(deadline, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(ClientError::Call(object))) => Err(RpcError::from(object)),
            Ok(Err(error)) => {
                self.inner.forget(&client).await;
                Err(from_client(error))
            }
            Err(_) => {
                self.inner.forget(&client).await;
                let waited = timeout.as_millis();
                Err(RpcError::NoAnswer(format!("timed out after {waited} ms")))
            }
        }
    }

    /// Calls a method from a thread outside the runtime and waits for its answer.
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

    /// Calls a method without waiting; `done` gets the answer on a network thread and must not
    /// block, for instance by putting it into a ring with `try_send`.
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
        let mut link = self.link.lock().await;
        if let Some(client) = link.client.as_ref().filter(|client| client.is_connected()) {
            return Ok(client.clone());
        }
        link.client = None;
        if let Some(until) = link.blocked_until
            && Instant::now() < until
        {
            return Err(RpcError::NotSent("waiting to reconnect".to_owned()));
        }
        match self.open().await {
            Ok(client) => {
                let client = Arc::new(client);
                *link = Link {
                    client: Some(client.clone()),
                    ..Link::default()
                };
                Ok(client)
            }
            Err(error) => {
                link.failures += 1;
                link.blocked_until = Some(Instant::now() + self.backoff(link.failures));
                Err(error)
            }
        }
    }

    async fn open(&self) -> Result<Connection, RpcError> {
        let ping = PingConfig::new()
            .ping_interval(PING_INTERVAL)
            .inactive_limit(SILENCE_MAX)
            .max_failures(1);
        let url = Url::parse(&format!("ws://{}", self.config.address))
            .map_err(|error| RpcError::NotSent(error.to_string()))?;
        let transport = WsTransportClientBuilder {
            connection_timeout: self.config.connect_timeout,
            headers: self.headers()?,
            max_request_size: MESSAGE_MAX_BYTES,
            max_response_size: MESSAGE_MAX_BYTES,
            max_frame_size: None,
            // The library counts the first attempt too; with 0 it makes none.
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

    /// The pause after a number of failures in a row: between half and all of the doubled time.
    fn backoff(&self, failures: u32) -> Duration {
        let doubled = self.config.backoff_min * 2u32.saturating_pow(failures.min(16) - 1);
        let longest = doubled.min(self.config.backoff_max);
        longest.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    async fn forget(&self, client: &Arc<Connection>) {
        let mut link = self.link.lock().await;
        if link
            .client
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, client))
        {
            link.client = None;
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
