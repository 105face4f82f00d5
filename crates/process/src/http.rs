//! A small HTTP/1.1 server with bounded memory, for listeners that take JSON bodies.
//!
//! Connections, head and body sizes, and the times in which head and body arrive are bounded, so
//! that slow or oversized senders cannot exhaust the process. The head is admitted, which includes
//! the check of a key, before the body is read.
//!
//! `rouille` is not used for these listeners: after an answer it reads the rest of the declared
//! body into one allocation, so that a single request with a huge `content-length` ends the
//! process, and it has no timeouts. Figures: docs/measurements.md.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use sapphirepost_protocol::error::ErrorBody;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::error::Category;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::shared_key::SharedKey;

/// The pause after a failed `accept`, for instance for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
const RETRY_AFTER_S: u32 = 1;

/// An answer.
pub type HttpResponse = Response<Full<Bytes>>;

/// What a listener accepts.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Connections at a time.
    pub connections_max: usize,
    /// The greatest size of a head.
    pub head_max_bytes: usize,
    /// The greatest size of a body.
    pub body_max_bytes: usize,
    /// The time in which a head must arrive, which also ends idle connections.
    pub head_timeout: Duration,
    /// The time in which a body must arrive.
    pub body_timeout: Duration,
}

/// A request that is answered with an error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpError {
    status: StatusCode,
    error: &'static str,
    message: String,
}

impl HttpError {
    /// An error with a status, a word for programs and an explanation.
    pub fn new(status: StatusCode, error: &'static str, message: impl Into<String>) -> HttpError {
        HttpError {
            status,
            error,
            message: message.into(),
        }
    }

    /// The request is malformed.
    pub fn bad_request(message: impl Into<String>) -> HttpError {
        HttpError::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// The answer; an unavailable service says when to come back.
    pub fn into_response(self) -> HttpResponse {
        let body = ErrorBody {
            error: self.error.to_owned(),
            message: self.message,
        };
        let mut answer = json(self.status, &body);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let headers = answer.headers_mut();
            headers.insert(RETRY_AFTER, RETRY_AFTER_S.into());
        }
        answer
    }
}

/// Answers the requests of one listener.
pub trait HttpHandler: Send + Sync + 'static {
    /// Checks the head before the body is read.
    fn admit(&self, head: &Parts) -> Result<(), HttpError>;

    /// Answers a request whose body has arrived.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = HttpResponse> + Send;
}

/// The running listener; it stops accepting when dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    connections_max: usize,
}

impl HttpServer {
    /// Binds the address and starts to serve on `runtime`.
    pub async fn start(
        runtime: &Handle,
        address: SocketAddr,
        limits: HttpLimits,
        handler: impl HttpHandler,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let connections = Arc::new(Semaphore::new(limits.connections_max));
        let shared = Arc::new(Shared { limits, handler });
        runtime.spawn(accept(listener, shared, connections.clone(), stopped));
        Ok(HttpServer {
            address,
            stop,
            connections,
            connections_max: limits.connections_max,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, and waits up to `limit` for the requests in progress; the number of
    /// connections that are still open.
    pub async fn stop(&self, limit: Duration) -> usize {
        let _ = self.stop.send(true);
        let all = self.connections_max as u32;
        let _ = tokio::time::timeout(limit, self.connections.acquire_many(all)).await;
        self.connections_max - self.connections.available_permits()
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}

struct Shared<H> {
    limits: HttpLimits,
    handler: H,
}

async fn accept<H: HttpHandler>(
    listener: TcpListener,
    shared: Arc<Shared<H>>,
    connections: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let permit = tokio::select! {
            permit = connections.clone().acquire_owned() => permit,
            _ = stopped.changed() => return,
        };
        let Ok(permit) = permit else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, shared.clone(), permit, stopped.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<H: HttpHandler>(
    stream: TcpStream,
    shared: Arc<Shared<H>>,
    permit: OwnedSemaphorePermit,
    mut stopped: watch::Receiver<bool>,
) {
    let _permit = permit;
    let _ = stream.set_nodelay(true);
    let limits = shared.limits;
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(answer(&shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_max_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopped.changed() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection ended: {error}");
    }
}

async fn answer<H: HttpHandler>(shared: &Shared<H>, request: Request<Incoming>) -> HttpResponse {
    let (head, body) = request.into_parts();
    if let Err(error) = shared.handler.admit(&head) {
        return error.into_response();
    }
    match read(body, &shared.limits).await {
        Ok(body) => shared.handler.handle(Request::from_parts(head, body)).await,
        Err(error) => error.into_response(),
    }
}

async fn read(body: Incoming, limits: &HttpLimits) -> Result<Bytes, HttpError> {
    let body = Limited::new(body, limits.body_max_bytes);
    match tokio::time::timeout(limits.body_timeout, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("a body has at most {} bytes", limits.body_max_bytes);
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(HttpError::new(status, "too_long", message))
        }
        Ok(Err(error)) => Err(HttpError::bad_request(error.to_string())),
        Err(_) => {
            let message = "the body did not arrive in time";
            let status = StatusCode::REQUEST_TIMEOUT;
            Err(HttpError::new(status, "timeout", message))
        }
    }
}

/// Checks the `authorization` header of a request.
pub fn check_key(key: &SharedKey, head: &Parts) -> Result<(), HttpError> {
    let header = head.headers.get(AUTHORIZATION);
    if key.matches(header.and_then(|value| value.to_str().ok())) {
        return Ok(());
    }
    let message = "the key is missing or wrong";
    Err(HttpError::new(
        StatusCode::UNAUTHORIZED,
        "unauthorized",
        message,
    ))
}

/// Reads a JSON body; text that is no JSON is told apart from JSON of another form.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body).map_err(|error| match error.classify() {
        Category::Syntax | Category::Eof => {
            HttpError::new(StatusCode::BAD_REQUEST, "not_json", error.to_string())
        }
        Category::Data | Category::Io => HttpError::bad_request(error.to_string()),
    })
}

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => content(status, "application/json", body),
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            text(status, format!("cannot write the answer: {error}\n"))
        }
    }
}

/// An answer with a text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    content(status, "text/plain; charset=utf-8", text)
}

/// An answer with a body of a content type.
pub fn content(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
