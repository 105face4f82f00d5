//! One connection to an upstream.
//!
//! The router decides when a connection is opened, used and closed; a task of this module carries
//! it out and reports what happened. A connection carries one request at a time. A response is
//! passed on only when its declared end has arrived.

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

/// The longest body in either direction.
pub const BODY_MAX_BYTES: usize = 1024 * 1024;
/// The read buffer of a connection; bounds the head of a response.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// A response with a longer body is reported at its head as a sign of life.
const REPORT_HEAD_BYTES: u64 = 64 * 1024;
/// The unit of the memory budget for bodies.
const BUDGET_UNIT_BYTES: usize = 1024;

/// A request as it is sent to an upstream.
#[derive(Debug)]
pub struct Payload {
    /// The method.
    pub method: Method,
    /// Path and query without the service.
    pub target: String,
    /// The headers without those of the caller's connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The body's part of the memory budget.
    pub _budget: Option<OwnedSemaphorePermit>,
}

/// A complete response of an upstream.
#[derive(Debug)]
pub struct Complete {
    /// The status.
    pub status: StatusCode,
    /// The headers without those of the upstream's connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The body's part of the memory budget.
    pub _budget: Option<OwnedSemaphorePermit>,
}

/// A request to be sent on a connection.
#[derive(Debug)]
pub struct Job {
    /// The try.
    pub send: SendKey,
    /// What to send.
    pub payload: Arc<Payload>,
    /// The clock is read right before the first byte; from this time on nothing is sent.
    pub not_after: Millis,
    /// Whether the summary needs content type and body.
    pub keep: bool,
}

/// What all connections share.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The ring of the router thread.
    pub inputs: Inputs,
    /// The clock.
    pub clock: EntryClock,
    /// The memory budget for responses, in units of 1 KiB.
    pub budget: Arc<Semaphore>,
}

/// How a try ended.
enum End {
    NotSent,
    Broken,
    Complete(Box<(Complete, ResponseSummary)>),
}

/// Opens a connection and serves it until `jobs` is closed or the connection ends.
pub async fn run(
    key: ConnectionKey,
    address: String,
    mut jobs: mpsc::Receiver<Job>,
    shared: Shared,
) {
    let opened = tokio::select! {
        opened = open(&address) => opened,
        _ = jobs.recv() => None,
    };
    let Some((mut sender, mut driver)) = opened else {
        shared.report(Event::OpenFailed(key)).await;
        return;
    };
    shared.report(Event::Opened(key)).await;
    loop {
        let job = tokio::select! {
            job = jobs.recv() => job,
            _ = &mut driver.0 => None,
        };
        let Some(job) = job else { break };
        let send = job.send;
        let end = tokio::select! {
            end = exchange(key, &mut sender, &job, &address, &shared) => end,
            // The router has closed the connection.
            _ = jobs.recv() => break,
        };
        let input = match end {
            End::NotSent => Input::Event(Event::NotSent {
                connection: key,
                send,
            }),
            End::Broken => Input::Event(Event::ResponseTruncated {
                connection: key,
                send,
            }),
            End::Complete(complete) => {
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
    drop(driver);
    jobs.close();
    while let Some(job) = jobs.recv().await {
        // The connection ended before this request was read from the channel.
        let send = job.send;
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

/// The task that moves the bytes of a connection; it ends with its owner.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn open(address: &str) -> Option<(SendRequest<Full<Bytes>>, Driver)> {
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
    Some((sender, Driver(task)))
}

async fn exchange(
    key: ConnectionKey,
    sender: &mut SendRequest<Full<Bytes>>,
    job: &Job,
    address: &str,
    shared: &Shared,
) -> End {
    if sender.ready().await.is_err() {
        return End::NotSent;
    }
    let left_ms = job.not_after.since(shared.clock.now());
    if left_ms == 0 {
        return End::NotSent;
    }
    let Some(request) = build(job, address, left_ms) else {
        return End::NotSent;
    };
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        // The library gives the request back only if no byte of it was written.
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => End::NotSent,
                None => End::Broken,
            };
        }
    };
    if response.body().size_hint().lower() > REPORT_HEAD_BYTES {
        let send = job.send;
        let connection = key;
        shared
            .report(Event::ResponseHead { connection, send })
            .await;
    }
    match complete(response, job, shared).await {
        Some((response, mut summary)) => {
            summary.reusable &= !sender.is_closed();
            End::Complete(Box::new((response, summary)))
        }
        None => End::Broken,
    }
}

fn build(job: &Job, address: &str, left_ms: u64) -> Option<Request<Full<Bytes>>> {
    let payload = &job.payload;
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

/// Reads the response to its end; `None` if it is cut off, too long, or has no declared end.
async fn complete(
    response: Response<Incoming>,
    job: &Job,
    shared: &Shared,
) -> Option<(Complete, ResponseSummary)> {
    let (head, body) = response.into_parts();
    let no_body = job.payload.method == Method::HEAD
        || head.status == StatusCode::NO_CONTENT
        || head.status == StatusCode::NOT_MODIFIED;
    let declared = head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING);
    // A body that ends with the connection cannot be told from one that was cut off.
    if !declared && !no_body || head.status.is_informational() {
        return None;
    }
    let reusable = head.version == Version::HTTP_11 && !hop::closes(&head.headers);
    let (body, budget) = collect(body, &shared.budget).await?;
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
            .filter(|_| job.keep)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: Some(&body)
            .filter(|body| job.keep && body.len() <= KEPT_BODY_MAX_BYTES)
            .and_then(|body| std::str::from_utf8(body).ok())
            .map(str::to_owned),
    };
    let mut headers = head.headers;
    hop::strip(&mut headers);
    if !no_body {
        headers.remove(header::CONTENT_LENGTH);
    }
    let response = Complete {
        status: head.status,
        headers,
        body,
        _budget: budget,
    };
    Some((response, summary))
}

/// Collects a body within the length limit and the memory budget. Where the budget is used up,
/// the connection is not read until there is room again.
async fn collect(
    mut body: Incoming,
    budget: &Arc<Semaphore>,
) -> Option<(Bytes, Option<OwnedSemaphorePermit>)> {
    let mut permit: Option<OwnedSemaphorePermit> = None;
    let mut parts = BytesMut::new();
    let mut first: Option<Bytes> = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let length = first.as_ref().map_or(parts.len(), Bytes::len) + data.len();
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
            None if parts.is_empty() => first = Some(data),
            Some(earlier) => {
                parts.extend_from_slice(&earlier);
                parts.extend_from_slice(&data);
            }
            None => parts.extend_from_slice(&data),
        }
    }
    let body = first.unwrap_or_else(|| parts.freeze());
    Some((body, permit))
}
