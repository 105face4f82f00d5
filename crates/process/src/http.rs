//! A small HTTP/1.1 server with bounded memory, for listeners that take JSON bodies.
//!
//! The number of connections, the sizes of head and body, and the times within which head and body
//! must arrive are bounded, so that slow senders or large requests cannot exhaust the resources of
//! the process. The handler checks the head, including the shared key if one is required, before
//! the body is read. All listeners of a process share the memory for requests, see [`ByteBudget`].
//!
//! `rouille` is not used for these listeners: after a response it reads the rest of the declared
//! body into one allocation, so that a single request with a huge `content-length` terminates the
//! process, and it has no timeouts. The measurements are in docs/measurements.md.

pub mod body;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
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
use tokio::sync::watch;

use crate::byte_budget::Account;
use crate::byte_budget::ByteBudget;
use crate::byte_budget::OverBudget;
use crate::byte_budget::Part;
use crate::byte_budget::Phase;
use crate::connections::ConnectionPermit;
use crate::connections::Connections;
use crate::http::body::BodyError;
use crate::metered_stream::MeteredStream;
use crate::shared_key::SharedKey;

/// The time from the first byte of a head to its last one, unless the limits of the listener are
/// lower. Clients of the platform send a head within 3 s.
const HEAD_ARRIVAL_MAX: Duration = Duration::from_secs(5);
/// Bodies of at most this size are handled without counting what their decoded form needs.
const DECODED_FREE_BYTES: usize = 32 * 1024;
/// The memory that a handler needs for a larger body and its forwarded form, in body sizes.
const HANDLER_FACTOR: usize = 2;
const RETRY_AFTER_S: u32 = 1;

/// A response whose body is completely in memory.
pub type HttpResponse = Response<Full<Bytes>>;

/// Resource limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Maximum number of open connections. For a further one, a connection without a complete
    /// request is closed: one that has had no response, then an idle one, then the slowest request.
    /// If there is none, the further one waits until a connection closes.
    pub connections_max: usize,
    /// Maximum size of a request head.
    pub head_max_bytes: usize,
    /// Maximum size of a request body.
    pub body_max_bytes: usize,
    /// The time within which a head must arrive, at most 5 s. A connection that is idle for longer
    /// than this setting is closed.
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
    connections: Connections,
}

impl HttpServer {
    /// Binds the address and starts serving on `runtime`, with the requests counted in `budget`.
    pub async fn start(
        runtime: &Handle,
        address: SocketAddr,
        limits: HttpLimits,
        budget: &ByteBudget,
        handler: impl HttpHandler,
    ) -> io::Result<HttpServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let connections = Connections::new(budget, limits.connections_max);
        let shared = Arc::new(Shared { limits, handler });
        runtime.spawn(accept(listener, shared, connections.clone(), stopped));
        Ok(HttpServer {
            address,
            stop,
            connections,
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
        let _ = tokio::time::timeout(timeout, self.connections.all_closed()).await;
        self.connections.open()
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
    connections: Connections,
    mut stopped: watch::Receiver<bool>,
) {
    let head_timeout = shared.limits.head_timeout.min(HEAD_ARRIVAL_MAX);
    let closing = connections.close_slow_heads(head_timeout);
    let mut closing = std::pin::pin!(closing);
    loop {
        let (stream, _, permit) = tokio::select! {
            accepted = connections.accept(&listener) => accepted,
            _ = stopped.changed() => return,
            () = &mut closing => return,
        };
        tokio::spawn(serve(stream, shared.clone(), permit, stopped.clone()));
    }
}

async fn serve<H: HttpHandler>(
    stream: TcpStream,
    shared: Arc<Shared<H>>,
    permit: ConnectionPermit,
    mut stopped: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = shared.limits;
    let account = permit.account.clone();
    let service = service_fn(move |request| {
        let (shared, account) = (shared.clone(), account.clone());
        async move {
            let response = respond(&shared, &account, request).await;
            account.release(Part::Buffer);
            account.release(Part::Body);
            account.release(Part::Handler);
            account.enter(Phase::Idle);
            Ok::<_, Infallible>(response)
        }
    });
    let stream = MeteredStream::new(stream, permit.account.clone(), limits.head_max_bytes);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_max_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = permit.account.closed() => return,
        _ = stopped.changed() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection.as_mut() => result,
                () = permit.account.closed() => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("HTTP connection closed with an error: {error}");
    }
}

async fn respond<H: HttpHandler>(
    shared: &Shared<H>,
    account: &Account,
    request: Request<Incoming>,
) -> HttpResponse {
    let (head, body) = request.into_parts();
    if let Err(error) = shared.handler.check_head(&head) {
        return error.into_response();
    }
    account.enter(Phase::Body);
    let (length_max, timeout) = (shared.limits.body_max_bytes, shared.limits.body_timeout);
    let read = body::read(body, account, length_max, timeout).await;
    let body = match read.and_then(|body| reserve_handling(account, body)) {
        Ok(body) => body,
        Err(error) => return body_error(&error),
    };
    account.enter(Phase::Running);
    account.release(Part::Buffer);
    shared.handler.handle(Request::from_parts(head, body)).await
}

/// Counts the memory that a handler needs for a long body beyond the body itself.
fn reserve_handling(account: &Account, body: Bytes) -> Result<Bytes, BodyError> {
    if body.len() > DECODED_FREE_BYTES {
        account.grow(Part::Handler, body.len() * HANDLER_FACTOR)?;
    }
    Ok(body)
}

fn body_error(error: &BodyError) -> HttpResponse {
    let message = error.to_string();
    match error {
        BodyError::TooLong(_) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            HttpError::new(status, "too_long", message).into_response()
        }
        BodyError::TimedOut => {
            let status = StatusCode::REQUEST_TIMEOUT;
            HttpError::new(status, "timeout", message).into_response()
        }
        BodyError::OverBudget(error) => over_budget(*error),
        BodyError::Broken(_) => HttpError::bad_request(message).into_response(),
    }
}

/// The request has not run, since its body was not passed to the handler.
fn over_budget(error: OverBudget) -> HttpResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = HttpError::new(status, "overload", error.to_string()).into_response();
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
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
