//! The HTTP server of one upstream.
//!
//! The query of a request may set `run_ms=<number>`, its run time, and `reply_bytes=<number>`, the
//! length of filler text in the response. The response names the upstream and repeats the request's
//! method, URI, ID and body, so that a caller can check that the response belongs to its request.

use std::convert::Infallible;
use std::future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sapphirepost_protocol::header;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use crate::journal::JournalEvent;
use crate::upstream::Upstream;
use crate::upstream::faults::Faults;

const BODY_MAX_BYTES: usize = 1024 * 1024;
const TRUNCATE_PAUSE: Duration = Duration::from_millis(20);

type BoxedResponse = Response<BoxBody<Bytes, io::Error>>;

/// Accepts connections until the upstream closes. Connections above the limit are closed at once.
pub(crate) async fn accept(listener: TcpListener, upstream: Arc<Upstream>) {
    let mut closing = upstream.closing.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.changed() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        match upstream.connections.clone().try_acquire_owned() {
            Ok(permit) => {
                tokio::spawn(serve_connection(stream, upstream.clone(), permit));
            }
            Err(_) => log::warn!(upstream:% = upstream.name; "connection above the limit closed"),
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    upstream: Arc<Upstream>,
    permit: OwnedSemaphorePermit,
) {
    let _permit = permit;
    let _ = stream.set_nodelay(true);
    let opened_at = upstream.clock.now();
    let mut closing = upstream.closing.subscribe();
    let service = service_fn(move |request| {
        let upstream = upstream.clone();
        async move { Ok::<_, Infallible>(handle_request(&upstream, opened_at, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = closing.changed() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

async fn handle_request(
    upstream: &Upstream,
    opened_at: Millis,
    request: Request<Incoming>,
) -> BoxedResponse {
    let now = upstream.clock.now();
    let faults = upstream.faults.at(now);
    if faults.stall || upstream.faults.is_silent(opened_at, now) {
        return future::pending().await;
    }
    if faults.fail_fast {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, "fault");
    }
    let Ok(_slot) = upstream.slots.try_acquire() else {
        return refused_response(StatusCode::SERVICE_UNAVAILABLE, "all slots are taken");
    };
    let (head, body) = request.into_parts();
    let Ok(body) = Limited::new(body, BODY_MAX_BYTES).collect().await else {
        return refused_response(
            StatusCode::BAD_REQUEST,
            "the body is incomplete or too long",
        );
    };
    let head = Request::from_parts(head, ());
    record_run(upstream, &head);
    let run_ms = query_number(&head, "run_ms").unwrap_or(upstream.options.run_ms);
    tokio::time::sleep(Duration::from_millis(run_ms + faults.delay_ms)).await;
    if faults.false_refusal {
        return refused_response(StatusCode::SERVICE_UNAVAILABLE, "not run");
    }
    echo_response(upstream, &head, &body.to_bytes(), faults)
}

fn record_run(upstream: &Upstream, head: &Request<()>) {
    upstream.options.journal.record(&JournalEvent::RequestRan {
        upstream: upstream.name.clone(),
        request: header_text(head, header::REQUEST_ID),
        idempotent: is_idempotent(head),
        line: request_line(head),
        leaving_ms: upstream.leaving_ms(),
    });
}

fn is_idempotent(head: &Request<()>) -> bool {
    match header_text(head, header::IDEMPOTENT).as_deref() {
        Some("true") => true,
        Some("false") => false,
        _ => !matches!(*head.method(), Method::POST | Method::PATCH),
    }
}

fn header_text(head: &Request<()>, name: &str) -> Option<String> {
    let value = head.headers().get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn request_line(head: &Request<()>) -> String {
    format!("{} {}", head.method(), head.uri())
}

fn query_number(head: &Request<()>, name: &str) -> Option<u64> {
    head.uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}

fn echo_response(
    upstream: &Upstream,
    head: &Request<()>,
    body: &Bytes,
    faults: Faults,
) -> BoxedResponse {
    let filler = query_number(head, "reply_bytes").unwrap_or(0) as usize;
    let value = json!({
        "upstream": upstream.name,
        "line": request_line(head),
        "request": header_text(head, header::REQUEST_ID),
        "body": String::from_utf8_lossy(body),
        "filler": "x".repeat(filler.min(BODY_MAX_BYTES)),
    });
    let bytes = Bytes::from(value.to_string());
    let mut response = if faults.truncate {
        truncated_response(&bytes)
    } else {
        full_response(bytes)
    };
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A response that declares the whole length, sends half of the body and breaks the connection.
fn truncated_response(bytes: &Bytes) -> BoxedResponse {
    let half = bytes.slice(..bytes.len() / 2);
    let sent = stream::once(async move { Ok(Frame::data(half)) });
    // Without this pause, the connection breaks before the head and the half body are written.
    let broken = stream::once(async {
        tokio::time::sleep(TRUNCATE_PAUSE).await;
        Err(io::Error::other("cut short"))
    });
    let body = StreamBody::new(sent.chain(broken));
    let mut response = Response::new(BodyExt::boxed(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_LENGTH, bytes.len().into());
    response
}

fn refused_response(status: StatusCode, message: &'static str) -> BoxedResponse {
    let mut response = text_response(status, message);
    let value = HeaderValue::from_static(header::OUTCOME_REFUSED);
    response.headers_mut().insert(header::OUTCOME, value);
    response
}

fn text_response(status: StatusCode, message: &'static str) -> BoxedResponse {
    let mut response = full_response(Bytes::from_static(message.as_bytes()));
    *response.status_mut() = status;
    response
}

fn full_response(bytes: Bytes) -> BoxedResponse {
    Response::new(Full::new(bytes).map_err(|never| match never {}).boxed())
}
