//! One connection of a client and the calls on it.
//!
//! Each call of the library's own client starts a timer of a separate timer thread, which wakes
//! that thread twice. Calls here go to the library's service below that timer; the caller limits
//! their time.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

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

/// A connection. It is closed when this is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    client: Client<RpcService>,
    /// Set when the client is built.
    service: Arc<OnceLock<RpcService>>,
    next_id: AtomicU64,
}

impl Connection {
    /// Starts the tasks of a connection on the runtime of the caller.
    pub(crate) fn start<S, R>(builder: ClientBuilder, (sender, receiver): (S, R)) -> Connection
    where
        S: TransportSenderT + Send,
        R: TransportReceiverT + Send,
    {
        let service = Arc::new(OnceLock::new());
        let keep = {
            let service = service.clone();
            move |built: RpcService| service.get_or_init(|| built).clone()
        };
        let middleware = RpcServiceBuilder::new().layer_fn(keep);
        let client = builder
            .set_rpc_middleware(middleware)
            .build_with_tokio(sender, receiver);
        Connection {
            client,
            service,
            next_id: AtomicU64::new(0),
        }
    }

    /// Whether the connection is open.
    pub(crate) fn is_connected(&self) -> bool {
        self.client.is_connected()
    }

    /// Calls a method and waits for its answer as long as the connection is open.
    pub(crate) async fn call<P, R>(&self, method: &str, params: &P) -> Result<R, Error>
    where
        P: Serialize + Sync,
        R: DeserializeOwned,
    {
        let id = Id::Number(self.next_id.fetch_add(1, Ordering::Relaxed));
        let params = rpc_params![params].to_rpc_params()?;
        let request = Request::borrowed(method, params.as_deref(), id);
        let service = self.service.get().ok_or(Error::ServiceDisconnect)?;
        let answer = service.call(request).await?;
        let answer = ResponseSuccess::try_from(answer.into_response().into_inner())?;
        Ok(serde_json::from_str(answer.result.get())?)
    }
}
