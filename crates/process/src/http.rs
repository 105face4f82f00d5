//! A small HTTP/1.1 server with bounded memory, for listeners that take JSON bodies.
//!
//! The number of connections, the sizes of head and body, and the times within which head and body
//! must arrive are bounded, so that slow senders or large requests cannot exhaust the resources of
//! the process. The handler checks the head, including the shared key if one is required, before
//! the body is read.
//!
//! `rouille` is not used for these listeners: after a response it reads the rest of the declared
//! body into one allocation, so that a single request with a huge `content-length` terminates the
//! process, and it has no timeouts. The measurements are in docs/measurements.md.

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

/// The delay after a failed `accept`, for instance when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const RETRY_AFTER_S: u32 = 1;

/// A response whose body is completely in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// Resource limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum number of open connections; further ones wait until one closes.
    pub connections_max: usize,
    /// Maximum size of a request head.
    pub head_max_bytes: usize,
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
    /// The time within which a head must arrive. A connection that is idle for longer is closed.
    pub head_timeout: Duration,
    /// The time within which a body must arrive after its head.
    pub body_timeout: Duration,
}

/// An error response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpError {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl HttpError {
    /// Creates an error from a status, a machine-readable error code and a message for people.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> HttpError {
        HttpError {
            status,
            code,
            message: message.into(),
        }
    }

    /// Creates the error for a malformed request, with status 400.
    pub fn bad_request(message: impl Into<String>) -> HttpError {
        HttpError::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// Converts the error into a JSON response; status 503 gets a `retry-after` header.
    pub fn into_response(self) -> HttpResponse {
        let body = ErrorBody {
            error: self.code.to_owned(),
            message: self.message,
        };
        let mut response = json(self.status, &body);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let headers = response.headers_mut();
            headers.insert(RETRY_AFTER, RETRY_AFTER_S.into());
        }
        response
    }
}

/// Processes the requests of one listener.
pub trait HttpHandler: Send + Sync + 'static {
    /// Checks the head of a request, such as method and key, before its body is read; an error is
    /// sent as the response.
    fn check_head(&self, head: &Parts) -> Result<(), HttpError>;

    /// Processes a request whose body has been read completely.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = HttpResponse> + Send;
}

/// A running HTTP listener; it stops accepting connections when dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    connections_max: usize,
}

impl HttpServer {
    /// Binds the address and starts serving on `runtime`.
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

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits up to `timeout` for the requests in progress; returns the number
    /// of connections that are still open.
    pub async fn stop(&self, timeout: Duration) -> usize {
        let _ = self.stop.send(true);
        let all = self.connections_max as u32;
        let _ = tokio::time::timeout(timeout, self.connections.acquire_many(all)).await;
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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
        async move { Ok::<_, Infallible>(respond(&shared, request).await) }
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
        log::debug!("HTTP connection closed with an error: {error}");
    }
}

async fn respond<H: HttpHandler>(shared: &Shared<H>, request: Request<Incoming>) -> HttpResponse {
    let (head, body) = request.into_parts();
    if let Err(error) = shared.handler.check_head(&head) {
        return error.into_response();
    }
    match read_body(body, &shared.limits).await {
        Ok(body) => shared.handler.handle(Request::from_parts(head, body)).await,
        Err(error) => error.into_response(),
    }
}

async fn read_body(body: Incoming, limits: &HttpLimits) -> Result<Bytes, HttpError> {
    let body = Limited::new(body, limits.body_max_bytes);
    match tokio::time::timeout(limits.body_timeout, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!(
                "the body exceeds the limit of {} bytes",
                limits.body_max_bytes
            );
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

/// Checks that the `authorization` header of a request contains the shared key.
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

/// Parses a JSON body. Malformed JSON gives the error code `not_json`, valid JSON that does not
/// match `T` gives `bad_request`.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, HttpError> {
    serde_json::from_slice(body).map_err(|error| match error.classify() {
        Category::Syntax | Category::Eof => {
            HttpError::new(StatusCode::BAD_REQUEST, "not_json", error.to_string())
        }
        Category::Data | Category::Io => HttpError::bad_request(error.to_string()),
    })
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => content(status, "application/json", body),
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            text(status, format!("cannot serialize the response: {error}\n"))
        }
    }
}

/// Creates a response with a plain-text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    content(status, "text/plain; charset=utf-8", text)
}

/// Creates a response with the given content type and body.
pub fn content(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
