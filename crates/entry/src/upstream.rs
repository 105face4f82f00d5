//! One connection to an upstream.
//!
//! The router decides when a connection is opened, used and closed; one task per connection carries
//! this out and reports the results as events. A connection carries one request at a time. A
//! response is passed on only after its declared end has arrived.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper::header::HeaderValue;
use hyper_util::rt::TokioIo;
use sapphirepost_protocol::claim::KEPT_BODY_MAX_BYTES;
use sapphirepost_protocol::header as names;
use sapphirepost_routing::ConnectionKey;
use sapphirepost_routing::Event;
use sapphirepost_routing::ResponseSummary;
use sapphirepost_routing::SendKey;
use sapphirepost_types::Millis;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::clock::EntryClock;
use crate::hop;
use crate::router_thread::Input;
use crate::router_thread::Inputs;

/// The longest body of a request or response, in bytes.
pub const BODY_MAX_BYTES: usize = 1024 * 1024;
/// The size of the read buffer of a connection, which limits the head of a response.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// If a response declares a longer body, the arrival of its head is reported before the body has
/// arrived, which shows that the upstream responds.
const EARLY_HEAD_BODY_BYTES: u64 = 64 * 1024;
/// What one permit of the memory budget stands for.
const BUDGET_UNIT_BYTES: usize = 1024;

/// A request as it is sent to an upstream.
#[derive(Debug)]
pub struct Payload {
    /// The method of the caller's request.
    pub method: Method,
    /// The caller's path and query without the leading service name.
    pub target: String,
    /// The headers without hop-by-hop headers, `content-length` and `expect`.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The part of the memory budget that the body holds; `None` without a body.
    pub _budget: Option<OwnedSemaphorePermit>,
}

/// A complete response of an upstream.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The status that the upstream returned.
    pub status: StatusCode,
    /// The headers without hop-by-hop headers; `content-length` stays only in responses that cannot
    /// have a body: to `HEAD`, or with status 204 or 304.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The part of the memory budget that the body holds; `None` without a body.
    pub _budget: Option<OwnedSemaphorePermit>,
}

/// Tells the task of a connection to send a request.
#[derive(Debug)]
pub struct SendCommand {
    /// Identifies the attempt in events.
    pub send: SendKey,
    /// The request.
    pub payload: Arc<Payload>,
    /// From this time on the request is not sent. The clock is read right before the request is
    /// passed to the connection.
    pub not_after: Millis,
    /// Whether [`ResponseSummary`] needs content type and body, to be recorded with the claim.
    pub keep: bool,
}

/// What the tasks of all connections share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Receives the events of the connections.
    pub inputs: Inputs,
    /// The router's clock, by which `not_after` is checked.
    pub clock: EntryClock,
    /// The memory budget for response bodies; a permit stands for 1 KiB.
    pub budget: Arc<Semaphore>,
}

/// How an attempt ended.
enum AttemptEnd {
    /// No byte of the request was written.
    NotSent,
    /// The request may have been sent, and there is no complete response.
    Broken,
    Complete(Box<(CompleteResponse, ResponseSummary)>),
}

/// Opens a connection and serves it until `commands` is closed or the connection ends.
pub async fn run(
    key: ConnectionKey,
    address: String,
    mut commands: mpsc::Receiver<SendCommand>,
    shared: Shared,
) {
    let opened = tokio::select! {
        opened = open(&address) => opened,
        _ = commands.recv() => None,
    };
    let Some((mut sender, mut connection_task)) = opened else {
        shared.report(Event::OpenFailed(key)).await;
        return;
    };
    shared.report(Event::Opened(key)).await;
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            _ = &mut connection_task.0 => None,
        };
        let Some(command) = command else { break };
        let send = command.send;
        let end = tokio::select! {
            end = exchange(key, &mut sender, &command, &address, &shared) => end,
            // The router has closed the connection.
            _ = commands.recv() => break,
        };
        let input = match end {
            AttemptEnd::NotSent => Input::Event(Event::NotSent {
                connection: key,
                send,
            }),
            AttemptEnd::Broken => Input::Event(Event::ResponseTruncated {
                connection: key,
                send,
            }),
            AttemptEnd::Complete(complete) => {
                let (response, summary) = *complete;
                Input::Response {
                    connection: key,
                    send,
                    summary,
                    response,
                }
            }
        };
        shared.inputs.send(input).await;
    }
    drop(connection_task);
    commands.close();
    while let Some(command) = commands.recv().await {
        // The connection ended before this command was received.
        let send = command.send;
        let connection = key;
        shared.report(Event::NotSent { connection, send }).await;
    }
    shared.report(Event::Closed(key)).await;
}

impl Shared {
    async fn report(&self, event: Event) {
        self.inputs.send(Input::Event(event)).await;
    }
}

/// The task that does the I/O of a connection; it is aborted on drop.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn open(address: &str) -> Option<(SendRequest<Full<Bytes>>, ConnectionTask)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("upstream connection ended: {error}");
        }
    });
    Some((sender, ConnectionTask(task)))
}

async fn exchange(
    key: ConnectionKey,
    sender: &mut SendRequest<Full<Bytes>>,
    command: &SendCommand,
    address: &str,
    shared: &Shared,
) -> AttemptEnd {
    if sender.ready().await.is_err() {
        return AttemptEnd::NotSent;
    }
    let left_ms = command.not_after.since(shared.clock.now());
    if left_ms == 0 {
        return AttemptEnd::NotSent;
    }
    let Some(request) = build_request(command, address, left_ms) else {
        return AttemptEnd::NotSent;
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        // `hyper` returns the request only if no byte of it was written.
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => AttemptEnd::NotSent,
                None => AttemptEnd::Broken,
            };
        }
    };
    if response.body().size_hint().lower() > EARLY_HEAD_BODY_BYTES {
        let send = command.send;
        let connection = key;
        shared
            .report(Event::ResponseHead { connection, send })
            .await;
    }
    match read_response(response, command, shared).await {
        Some((response, mut summary)) => {
            summary.reusable &= !sender.is_closed();
            AttemptEnd::Complete(Box::new((response, summary)))
        }
        None => AttemptEnd::Broken,
    }
}

fn build_request(
    command: &SendCommand,
    address: &str,
    left_ms: u64,
) -> Option<Request<Full<Bytes>>> {
    let payload = &command.payload;
    let mut request = Request::builder()
        .method(payload.method.clone())
        .uri(&payload.target)
        .body(Full::new(payload.body.clone()))
        .ok()?;
    let headers = request.headers_mut();
    headers.clone_from(&payload.headers);
    headers.insert(header::HOST, HeaderValue::from_str(address).ok()?);
    headers.insert(names::DEADLINE_MS, HeaderValue::from(left_ms));
    Some(request)
}

/// Reads the response to its end; `None` if it is truncated, malformed, too long or informational
/// (status 1xx), or has no declared end.
async fn read_response(
    response: Response<Incoming>,
    command: &SendCommand,
    shared: &Shared,
) -> Option<(CompleteResponse, ResponseSummary)> {
    let (head, body) = response.into_parts();
    let no_body = command.payload.method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    let declared = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    // A body that ends with the connection cannot be distinguished from a truncated one.
    if !declared && !no_body || head.status.is_informational() {
        return None;
    }
    let reusable = head.version == Version::HTTP_11 && !hop::closes(&head.headers);
    let (body, budget) = read_body(body, &shared.budget).await?;
    let not_run = head
        .headers
        .get(names::OUTCOME)
        .is_some_and(|value| value == names::OUTCOME_REFUSED);
    let content_type = head.headers.get(header::CONTENT_TYPE);
    let summary = ResponseSummary {
        status: head.status.as_u16(),
        not_run,
        reusable,
        content_type: content_type
            .filter(|_| command.keep)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: Some(&body)
            .filter(|body| command.keep && body.len() <= KEPT_BODY_MAX_BYTES)
            .and_then(|body| std::str::from_utf8(body).ok())
            .map(str::to_owned),
    };
    let mut headers = head.headers;
    hop::strip(&mut headers);
    if !no_body {
        headers.remove(header::CONTENT_LENGTH);
    }
    let response = CompleteResponse {
        status: head.status,
        headers,
        body,
        _budget: budget,
    };
    Some((response, summary))
}

/// Reads a body; `None` if it is truncated, malformed or too long. While the memory budget is used
/// up, the connection is not read.
async fn read_body(
    mut body: Incoming,
    budget: &Arc<Semaphore>,
) -> Option<(Bytes, Option<OwnedSemaphorePermit>)> {
    let mut permit: Option<OwnedSemaphorePermit> = None;
    let mut buffer = BytesMut::new();
    let mut first: Option<Bytes> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let length = first.as_ref().map_or(buffer.len(), Bytes::len) + data.len();
        if length > BODY_MAX_BYTES {
            return None;
        }
        let units = data.len().div_ceil(BUDGET_UNIT_BYTES) as u32;
        let more = budget.clone().acquire_many_owned(units).await.ok()?;
        match &mut permit {
            Some(permit) => permit.merge(more),
            None => permit = Some(more),
        }
        match first.take() {
            None if buffer.is_empty() => first = Some(data),
            Some(earlier) => {
                buffer.extend_from_slice(&earlier);
                buffer.extend_from_slice(&data);
            }
            None => buffer.extend_from_slice(&data),
        }
    }
    let body = first.unwrap_or_else(|| buffer.freeze());
    Some((body, permit))
}
