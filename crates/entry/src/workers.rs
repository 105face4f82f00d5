//! The listener for the syncs of workers and the announcements of upstreams.
//!
//! `POST /v1/workers/sync` is forwarded to the leader, which holds it until there is something to
//! send to the worker or `wait_ms` has passed. `POST /v1/upstreams/announce` is checked and passed
//! to the router. The number of connections and the size and time of heads and bodies are limited,
//! so that slow senders cannot exhaust the entry.
//!
//! [`crate::daemon::run`] starts and stops the listener.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;
use sapphirepost_process::SharedKey;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::http;
use sapphirepost_process::http::HttpError;
use sapphirepost_process::http::HttpHandler;
use sapphirepost_process::http::HttpLimits;
use sapphirepost_process::http::HttpResponse;
use sapphirepost_process::http::HttpServer;
use sapphirepost_protocol::gossip::AnnounceReply;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::method;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use tokio::runtime::Handle;

use crate::control_client::CallOptions;
use crate::control_client::ControlClient;
use crate::control_client::ControlError;
use crate::control_client::RetryPolicy;

/// The longest time for which the leader holds a sync; a longer `wait_ms` is reduced to it.
pub const SYNC_HOLD_MAX_MS: u64 = 1000;
/// The time beyond the hold after which a sync without a reply fails.
const SYNC_TIMEOUT_MARGIN: Duration = Duration::from_millis(1500);
/// The time after which an upstream is to announce itself again, sent in the reply.
const ANNOUNCE_INTERVAL_MS: u64 = 1000;
const SYNC_PATH: &str = "/v1/workers/sync";
const ANNOUNCE_PATH: &str = "/v1/upstreams/announce";

const LIMITS: HttpLimits = HttpLimits {
    // Enough if all 800 workers and the upstreams connect to one entry.
    connections_max: 2048,
    head_max_bytes: 16 * 1024,
    body_max_bytes: 1024 * 1024,
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(5),
};

/// The address and the key of the listener.
#[derive(Clone, Debug)]
pub struct WorkersConfig {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The key that requests of workers and upstreams must carry; `None` refuses every request.
    pub key: Option<SharedKey>,
    /// Counts the requests.
    pub budget: ByteBudget,
}

/// Handles the requests of workers and upstreams.
struct WorkersHandler {
    key: Option<SharedKey>,
    control: ControlClient,
    announcements: flume::Sender<Announcement>,
}

/// The running listener; it stops accepting when dropped.
#[derive(Debug)]
pub struct WorkersServer(HttpServer);

impl WorkersServer {
    /// Binds the address and starts to serve; valid announcements are sent to `announcements`.
    /// Blocks the calling thread meanwhile, so it must not be called from a task of a runtime.
    pub fn start(
        runtime: &Handle,
        config: WorkersConfig,
        control: ControlClient,
        announcements: flume::Sender<Announcement>,
    ) -> io::Result<WorkersServer> {
        let handler = WorkersHandler {
            key: config.key,
            control,
            announcements,
        };
        let starting = HttpServer::start(runtime, config.address, LIMITS, &config.budget, handler);
        runtime.block_on(starting).map(WorkersServer)
    }

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Stops accepting and waits up to `limit` for open connections to close; returns how many
    /// remain open.
    pub async fn stop(&self, limit: Duration) -> usize {
        self.0.stop(limit).await
    }
}

impl HttpHandler for WorkersHandler {
    fn check_head(&self, head: &Parts) -> Result<(), HttpError> {
        if !matches!(head.uri.path(), SYNC_PATH | ANNOUNCE_PATH) {
            let status = StatusCode::NOT_FOUND;
            return Err(HttpError::new(status, "not_found", "no such path"));
        }
        if head.method != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(HttpError::new(status, "method", "use POST"));
        }
        let Some(key) = &self.key else {
            let message = "this entry has no workers key, so it takes no reports";
            return Err(HttpError::new(StatusCode::FORBIDDEN, "no_key", message));
        };
        http::check_key(key, head)
    }

    async fn handle(&self, request: Request<Bytes>) -> HttpResponse {
        let response = match request.uri().path() {
            SYNC_PATH => self.forward_sync(request.body()).await,
            _ => self.announce(request.body()),
        };
        response.unwrap_or_else(HttpError::into_response)
    }
}

impl WorkersHandler {
    async fn forward_sync(&self, body: &[u8]) -> Result<HttpResponse, HttpError> {
        let mut sync: WorkerSync = http::parse_json(body)?;
        sync.wait_ms = sync.wait_ms.min(SYNC_HOLD_MAX_MS);
        let timeout = Duration::from_millis(sync.wait_ms) + SYNC_TIMEOUT_MARGIN;
        let options = CallOptions {
            total_timeout: timeout,
            attempt_timeout: timeout,
            // The worker's lease counts from when it sent the sync, so after a failure it sends a
            // new one.
            retry: RetryPolicy::AtMostOnce,
        };
        let reply = self
            .control
            .call::<_, WorkerSyncReply>(method::WORKER_SYNC, &sync, options)
            .await
            .map_err(to_http_error)?;
        Ok(http::json(StatusCode::OK, &reply))
    }

    fn announce(&self, body: &[u8]) -> Result<HttpResponse, HttpError> {
        let announcement: Announcement = http::parse_json(body)?;
        if announcement.address.parse::<SocketAddr>().is_err() {
            let message = "`address` is not of the form ip:port";
            return Err(HttpError::bad_request(message));
        }
        if announcement.slots == 0 || announcement.connections == 0 {
            let message = "`slots` and `connections` are at least 1";
            return Err(HttpError::bad_request(message));
        }
        if self.announcements.try_send(announcement).is_err() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let message = "the router has too much to do";
            return Err(HttpError::new(status, "unavailable", message));
        }
        let reply = AnnounceReply {
            next_ms: ANNOUNCE_INTERVAL_MS,
        };
        Ok(http::json(StatusCode::OK, &reply))
    }
}

fn to_http_error(error: ControlError) -> HttpError {
    let message = error.to_string();
    match error {
        ControlError::Invalid(_) => HttpError::bad_request(message),
        ControlError::Unavailable(_) => {
            HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
        }
        ControlError::OutcomeUnknown(_) => {
            HttpError::new(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message)
        }
    }
}
