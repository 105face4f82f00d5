//! A client connection and the calls on it.
//!
//! For each call, the client of `jsonrpsee` starts a timer on a separate timer thread, which wakes
//! that thread twice. Calls here bypass that timer and go directly to the library's [`RpcService`];
//! `RpcClient` applies the timeout.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use jsonrpsee::async_client::Client;
use jsonrpsee::async_client::ClientBuilder;
use jsonrpsee::async_client::RpcService;
use jsonrpsee::core::client::Error;
use jsonrpsee::core::client::TransportReceiverT;
use jsonrpsee::core::client::TransportSenderT;
use jsonrpsee::core::middleware::RpcServiceBuilder;
use jsonrpsee::core::middleware::RpcServiceT;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::rpc_params;
use jsonrpsee::types::Id;
use jsonrpsee::types::Request;
use jsonrpsee::types::ResponseSuccess;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// An open WebSocket connection to a server, closed on drop.
#[derive(Debug)]
pub(crate) struct Connection {
    client: Client<RpcService>,
    /// The service of `client` that makes calls without a timer; captured while `client` is built.
    service: Arc<OnceLock<RpcService>>,
    next_id: AtomicU64,
    opened: Instant,
    /// Milliseconds from `opened` to the last reply; 0 before the first one.
    last_reply_ms: AtomicU64,
}

impl Connection {
    /// Starts the tasks of a connection on the current Tokio runtime.
    pub(crate) fn start<S, R>(builder: ClientBuilder, (sender, receiver): (S, R)) -> Connection
    where
        S: TransportSenderT + Send,
        R: TransportReceiverT + Send,
    {
        let service = Arc::new(OnceLock::new());
        let capture = {
            let service = service.clone();
            move |built: RpcService| service.get_or_init(|| built).clone()
        };
        let middleware = RpcServiceBuilder::new().layer_fn(capture);
        let client = builder
            .set_rpc_middleware(middleware)
            .build_with_tokio(sender, receiver);
        Connection {
            client,
            service,
            next_id: AtomicU64::new(0),
            opened: Instant::now(),
            last_reply_ms: AtomicU64::new(0),
        }
    }

    /// Returns whether the connection is open.
    pub(crate) fn is_connected(&self) -> bool {
        self.client.is_connected()
    }

    /// Returns whether the last reply to any call came after `since`, and at most `age_max` ago.
    pub(crate) fn has_replied(&self, since: Instant, age_max: Duration) -> bool {
        let last_reply_ms = self.last_reply_ms.load(Ordering::Relaxed);
        let last_reply = self.opened + Duration::from_millis(last_reply_ms);
        last_reply_ms > 0 && last_reply > since && last_reply.elapsed() <= age_max
    }

    fn record_reply(&self) {
        let now_ms = self.opened.elapsed().as_millis() as u64;
        self.last_reply_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Calls a method and waits for its reply without a timeout, as long as the connection is open.
    pub(crate) async fn call<P, R>(&self, method: &str, params: &P) -> Result<R, Error>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let id = Id::Number(self.next_id.fetch_add(1, Ordering::Relaxed));
        let params = rpc_params![params].to_rpc_params()?;
        let request = Request::borrowed(method, params.as_deref(), id);
        let service = self.service.get().ok_or(Error::ServiceDisconnect)?;
        let response = service.call(request).await;
        if matches!(response, Ok(_) | Err(Error::Call(_))) {
            self.record_reply();
        }
        let response = response?;
        let response = ResponseSuccess::try_from(response.into_response().into_inner())?;
        Ok(serde_json::from_str(response.result.get())?)
    }
}
