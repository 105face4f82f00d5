//! The platform listener: workers sync and upstreams announce themselves.
//!
//! `POST /v1/workers/sync` is relayed to the leader, which holds it until it has a command.
//! `POST /v1/upstreams/announce` is checked and handed to the router. Connections, header and
//! body sizes and times are bounded, so that slow senders cannot exhaust the entry.
//!
//! `main` calls [`PlatformServer::start`] and stops it with [`PlatformServer::stop`].

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use sapphirepost_process::SharedKey;
use sapphirepost_protocol::error::ErrorBody;
use sapphirepost_protocol::gossip::AnnounceReply;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::method;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::control_client::CallOptions;
use crate::control_client::ControlClient;
use crate::control_client::ControlError;
use crate::control_client::Repeat;

/// The longest time for which a sync is held.
pub const SYNC_HOLD_MAX_MS: u64 = 1000;
/// Time beyond the hold within which the leader answers a sync.
const SYNC_SLACK: Duration = Duration::from_millis(1500);
/// When an upstream announces itself next.
const ANNOUNCE_INTERVAL_MS: u64 = 1000;
const HEAD_MAX_BYTES: usize = 16 * 1024;
const BODY_MAX_BYTES: usize = 1024 * 1024;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections at a time: 800 workers that all reach one entry, and the upstreams.
const CONNECTIONS_MAX: usize = 2048;
const SYNC_PATH: &str = "/v1/workers/sync";
const ANNOUNCE_PATH: &str = "/v1/upstreams/announce";

type Answer = Response<Full<Bytes>>;

/// What the listener needs.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Where to listen.
    pub address: SocketAddr,
    /// The key that workers and upstreams present; without one every request is refused.
    pub key: Option<SharedKey>,
}

struct Parts {
    key: Option<SharedKey>,
    control: ControlClient,
    announcements: flume::Sender<Announcement>,
}

/// The running listener.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
}

impl PlatformServer {
    /// Binds the address and starts to serve; checked announcements go to `announcements`.
    pub fn start(
        runtime: &Handle,
        config: PlatformConfig,
        control: ControlClient,
        announcements: flume::Sender<Announcement>,
    ) -> io::Result<PlatformServer> {
        let listener = runtime.block_on(TcpListener::bind(config.address))?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::new(Semaphore::new(CONNECTIONS_MAX));
        let parts = Arc::new(Parts {
            key: config.key,
            control,
            announcements,
        });
        runtime.spawn(accept(listener, parts, connections.clone(), stopped));
        Ok(PlatformServer {
            address,
            stop,
            connections,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, and waits up to `limit` for held requests; the number still open.
    pub async fn stop(&self, limit: Duration) -> usize {
        let _ = self.stop.send(true);
        let all = CONNECTIONS_MAX as u32;
        let _ = tokio::time::timeout(limit, self.connections.acquire_many(all)).await;
        CONNECTIONS_MAX - self.connections.available_permits()
    }
}

async fn accept(
    listener: TcpListener,
    parts: Arc<Parts>,
    connections: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, parts.clone(), permit, stopped.clone()));
            }
            Err(error) => {
                // Out of file descriptors, for instance; accepting at once again would spin.
                log::warn!("platform listener cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    parts: Arc<Parts>,
    permit: OwnedSemaphorePermit,
    mut stopped: watch::Receiver<bool>,
) {
    let _permit = permit;
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let parts = parts.clone();
        async move { Ok::<_, Infallible>(handle(&parts, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => log_end(result),
        _ = stopped.changed() => {
            connection.as_mut().graceful_shutdown();
            log_end(connection.await);
        }
    }
}

fn log_end(result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!("platform connection ended: {error}");
    }
}

/// A request that is answered with an error.
struct Refused {
    status: StatusCode,
    error: &'static str,
    message: String,
}

impl Refused {
    fn new(status: StatusCode, error: &'static str, message: impl Into<String>) -> Refused {
        Refused {
            status,
            error,
            message: message.into(),
        }
    }

    fn bad_request(message: impl Into<String>) -> Refused {
        Refused::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    fn unavailable(message: impl Into<String>) -> Refused {
        Refused::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message)
    }

    fn into_answer(self) -> Answer {
        let body = ErrorBody {
            error: self.error.to_owned(),
            message: self.message,
        };
        let mut answer = json(self.status, &body);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            answer.headers_mut().insert(RETRY_AFTER, 1.into());
        }
        answer
    }
}

async fn handle(parts: &Parts, request: Request<Incoming>) -> Answer {
    match respond(parts, request).await {
        Ok(answer) => answer,
        Err(refused) => refused.into_answer(),
    }
}

async fn respond(parts: &Parts, request: Request<Incoming>) -> Result<Answer, Refused> {
    let path = request.uri().path().to_owned();
    if path != SYNC_PATH && path != ANNOUNCE_PATH {
        let message = "no such path";
        return Err(Refused::new(StatusCode::NOT_FOUND, "not_found", message));
    }
    if request.method() != Method::POST {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return Err(Refused::new(status, "method", "use POST"));
    }
    check_key(parts, &request)?;
    let body = read(request).await?;
    if path == SYNC_PATH {
        return relay_sync(parts, parse(&body)?).await;
    }
    announce(parts, parse(&body)?)
}

fn check_key(parts: &Parts, request: &Request<Incoming>) -> Result<(), Refused> {
    let Some(key) = &parts.key else {
        let message = "this entry has no platform key, so it takes no reports";
        return Err(Refused::new(StatusCode::FORBIDDEN, "no_key", message));
    };
    let header = request.headers().get(AUTHORIZATION);
    if key.matches(header.and_then(|value| value.to_str().ok())) {
        return Ok(());
    }
    let message = "the platform key is missing or wrong";
    Err(Refused::new(
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        message,
    ))
}

async fn read(request: Request<Incoming>) -> Result<Bytes, Refused> {
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("a body has at most {BODY_MAX_BYTES} bytes");
            Err(Refused::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_long",
                message,
            ))
        }
        Ok(Err(error)) => Err(Refused::bad_request(error.to_string())),
        Err(_) => {
            let message = "the body did not arrive in time";
            Err(Refused::new(
                StatusCode::REQUEST_TIMEOUT,
                "timeout",
                message,
            ))
        }
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body).map_err(|error| match error.classify() {
        Category::Syntax | Category::Eof => {
            Refused::new(StatusCode::BAD_REQUEST, "not_json", error.to_string())
        }
        Category::Data | Category::Io => Refused::bad_request(error.to_string()),
    })
}

async fn relay_sync(parts: &Parts, mut sync: WorkerSync) -> Result<Answer, Refused> {
    sync.wait_ms = sync.wait_ms.min(SYNC_HOLD_MAX_MS);
    let limit = Duration::from_millis(sync.wait_ms) + SYNC_SLACK;
    let options = CallOptions {
        total: limit,
        attempt: limit,
        // The worker counts its lease from when it sent the sync; it sends a new one instead.
        repeat: Repeat::Never,
    };
    let answer = parts
        .control
        .call::<_, WorkerSyncReply>(method::WORKER_SYNC, &sync, options)
        .await;
    match answer {
        Ok(reply) => Ok(json(StatusCode::OK, &reply)),
        Err(ControlError::Invalid(problem)) => Err(Refused::bad_request(problem)),
        Err(error @ ControlError::Unavailable(_)) => Err(Refused::unavailable(error.to_string())),
        Err(error @ ControlError::OutcomeUnknown(_)) => Err(Refused::new(
            StatusCode::GATEWAY_TIMEOUT,
            "outcome_unknown",
            error.to_string(),
        )),
    }
}

fn announce(parts: &Parts, announcement: Announcement) -> Result<Answer, Refused> {
    if announcement.address.parse::<SocketAddr>().is_err() {
        return Err(Refused::bad_request("`address` is not of the form ip:port"));
    }
    if announcement.slots == 0 || announcement.connections == 0 {
        let message = "`slots` and `connections` are at least 1";
        return Err(Refused::bad_request(message));
    }
    if parts.announcements.try_send(announcement).is_err() {
        return Err(Refused::unavailable("the router has too much to do"));
    }
    let reply = AnnounceReply {
        next_ms: ANNOUNCE_INTERVAL_MS,
    };
    Ok(json(StatusCode::OK, &reply))
}

fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
