//! The workers listener: workers sync and upstreams announce themselves.
//!
//! `POST /v1/workers/sync` is relayed to the leader, which holds it until it has a command.
//! `POST /v1/upstreams/announce` is checked and handed to the router. Connections, header and
//! body sizes and times are bounded, so that slow senders cannot exhaust the entry.
//!
//! `main` calls [`WorkersServer::start`] and stops it with [`WorkersServer::stop`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::http::request::Parts;
use sapphirepost_process::SharedKey;
use sapphirepost_process::http;
use sapphirepost_process::http::HttpAnswer;
use sapphirepost_process::http::HttpError;
use sapphirepost_process::http::HttpHandler;
use sapphirepost_process::http::HttpLimits;
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

/// The longest time for which a sync is held.
pub const SYNC_HOLD_MAX_MS: u64 = 1000;
/// Time beyond the hold within which the leader answers a sync.
const SYNC_SLACK: Duration = Duration::from_millis(1500);
/// When an upstream announces itself next.
const ANNOUNCE_INTERVAL_MS: u64 = 1000;
const SYNC_PATH: &str = "/v1/workers/sync";
const ANNOUNCE_PATH: &str = "/v1/upstreams/announce";

const LIMITS: HttpLimits = HttpLimits {
    // 800 workers that all reach one entry, and the upstreams.
    connections_max: 2048,
    head_max_bytes: 16 * 1024,
    body_max_bytes: 1024 * 1024,
    head_timeout: Duration::from_secs(10),
    body_timeout: Duration::from_secs(5),
};

/// What the listener needs.
#[derive(Clone, Debug)]
pub struct WorkersConfig {
    /// Where to listen.
    pub address: SocketAddr,
    /// The key that workers and upstreams present; without one every request is refused.
    pub key: Option<SharedKey>,
}

struct Workers {
    key: Option<SharedKey>,
    control: ControlClient,
    announcements: flume::Sender<Announcement>,
}

/// The running listener.
#[derive(Debug)]
pub struct WorkersServer(HttpServer);

impl WorkersServer {
    /// Binds the address and starts to serve; checked announcements go to `announcements`. Must
    /// not be called on the runtime.
    pub fn start(
        runtime: &Handle,
        config: WorkersConfig,
        control: ControlClient,
        announcements: flume::Sender<Announcement>,
    ) -> io::Result<WorkersServer> {
        let workers = Workers {
            key: config.key,
            control,
            announcements,
        };
        let starting = HttpServer::start(runtime, config.address, LIMITS, workers);
        runtime.block_on(starting).map(WorkersServer)
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.0.address()
    }

    /// Stops accepting, and waits up to `limit` for held requests; the number still open.
    pub async fn stop(&self, limit: Duration) -> usize {
        self.0.stop(limit).await
    }
}

impl HttpHandler for Workers {
    fn admit(&self, head: &Parts) -> Result<(), HttpError> {
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

    async fn handle(&self, request: Request<Bytes>) -> HttpAnswer {
        let answer = match request.uri().path() {
            SYNC_PATH => self.relay_sync(request.body()).await,
            _ => self.announce(request.body()),
        };
        answer.unwrap_or_else(HttpError::into_answer)
    }
}

impl Workers {
    async fn relay_sync(&self, body: &[u8]) -> Result<HttpAnswer, HttpError> {
        let mut sync: WorkerSync = http::parse_json(body)?;
        sync.wait_ms = sync.wait_ms.min(SYNC_HOLD_MAX_MS);
        let limit = Duration::from_millis(sync.wait_ms) + SYNC_SLACK;
        let options = CallOptions {
            total_timeout: limit,
            attempt_timeout: limit,
            // The worker counts its lease from when it sent the sync; it sends a new one instead.
            retry: RetryPolicy::AtMostOnce,
        };
        let reply = self
            .control
            .call::<_, WorkerSyncReply>(method::WORKER_SYNC, &sync, options)
            .await
            .map_err(to_http)?;
        Ok(http::json(StatusCode::OK, &reply))
    }

    fn announce(&self, body: &[u8]) -> Result<HttpAnswer, HttpError> {
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

fn to_http(error: ControlError) -> HttpError {
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
