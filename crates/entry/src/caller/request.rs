//! Checks a caller's request and splits it into the properties for the router and the payload for
//! the upstream.

use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::http::request::Parts as Head;
use sapphirepost_protocol::header as names;
use sapphirepost_routing::NewRequest;
use sapphirepost_routing::RequestKey;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;
use sapphirepost_types::RequestId;
use siphasher::sip::SipHasher13;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::clock::EntryClock;
use crate::hop;
use crate::upstream::BODY_MAX_BYTES;
use crate::upstream::Payload;

/// The longest head of a request (method, URI and headers), in bytes.
pub const HEAD_MAX_BYTES: usize = 16 * 1024;
/// The greatest age of a request ID. Older ones are refused, because the record of their claim may
/// have been dropped.
pub const ID_AGE_MAX_MS: u64 = 10 * 60 * 1000;
/// How far the time of a request ID may lie in the future, to allow for clock differences.
const ID_AHEAD_MAX_MS: u64 = 60 * 1000;
/// The longest deadline that a caller may request.
const DEADLINE_MAX_MS: u64 = 10 * 60 * 1000;
/// The longest name of a caller, in the header `sapphirepost-caller`.
const CALLER_MAX_BYTES: usize = 128;

/// Limits for reading requests.
#[derive(Debug)]
pub struct Limits {
    /// The time limit for a body.
    pub body_timeout: Duration,
    /// The memory budget for request bodies; a permit stands for 1 KiB.
    pub budget: Arc<Semaphore>,
}

/// The answer to a request that does not reach the router, or whose answer from the router was
/// lost ([`Rejected::router_ended`]). Except in that case the request was not run.
#[derive(Debug)]
pub struct Rejected {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The error code for programs, as in [`ErrorBody`](sapphirepost_protocol::error::ErrorBody).
    pub error: &'static str,
    /// The explanation for people.
    pub message: String,
    /// Whether the connection closes after the answer, because the rest of the request is not read.
    pub close: bool,
}

impl Rejected {
    fn new(status: StatusCode, error: &'static str, message: impl Into<String>) -> Rejected {
        Rejected {
            status,
            error,
            message: message.into(),
            close: false,
        }
    }

    fn bad_request(message: impl Into<String>) -> Rejected {
        Rejected::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    fn closing(mut self) -> Rejected {
        self.close = true;
        self
    }

    /// The router's input channel is full, or the memory budget for request bodies is used up.
    pub fn busy() -> Rejected {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Rejected::new(status, "overload", "the entry has too much to do")
    }

    /// The router thread has ended, as it does at the end of the process. The request may have run.
    pub fn router_ended() -> Rejected {
        let status = StatusCode::BAD_GATEWAY;
        Rejected::new(status, "lost", "the entry is ending")
    }
}

/// Checks the head, reads the body, and returns the properties and the payload of the request.
pub async fn read(
    limits: &Limits,
    clock: &EntryClock,
    key: RequestKey,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Result<(NewRequest, Arc<Payload>), Rejected> {
    let arrived = clock.now();
    let (head, body) = request.into_parts();
    check_head(&head)?;
    let (service, target) = split_path(&head)?;
    let class = class_of(&head)?;
    let deadline_ms = deadline_of(&head, class)?;
    let idempotent = idempotent_of(&head)?;
    let id = request_id_of(&head.headers, clock.unix_ms())?;
    let caller = caller_key(&head.headers, peer)?;
    let (body, budget) = read_body(limits, &head.headers, body).await?;
    let new = NewRequest {
        key,
        service,
        class,
        // The deadline counts from the head, since the caller also waits while the body is sent.
        deadline: Millis(arrived.0 + deadline_ms),
        idempotent,
        digest: request_digest(&head.method, &target, &body),
        id,
        caller,
        body_bytes: body.len() as u32,
    };
    let mut headers = head.headers;
    hop::strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let payload = Payload {
        method: head.method,
        target,
        headers,
        body,
        _budget: budget,
    };
    Ok((new, Arc::new(payload)))
}

fn check_head(head: &Head) -> Result<(), Rejected> {
    let line = head.method.as_str().len() + head.uri.to_string().len();
    let headers: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    if line + headers > HEAD_MAX_BYTES {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let message = format!("a head has at most {HEAD_MAX_BYTES} bytes");
        return Err(Rejected::new(status, "head_too_long", message).closing());
    }
    if head.method == Method::CONNECT || head.method == Method::TRACE {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        let message = format!("{} is not supported", head.method);
        return Err(Rejected::new(status, "method", message).closing());
    }
    Ok(())
}

/// Splits the path into the service and the path and query for the upstream.
fn split_path(head: &Head) -> Result<(Name, String), Rejected> {
    let path = head.uri.path();
    let (service, rest) = match path.strip_prefix('/') {
        Some(path) => path.split_once('/').unwrap_or((path, "")),
        None => {
            return Err(Rejected::bad_request(
                "the path has the form /<service>/<rest>",
            ));
        }
    };
    let service = Name::new(service)
        .map_err(|error| Rejected::bad_request(format!("the service in the path: {error}")))?;
    let target = match head.uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Ok((service, target))
}

/// Returns the value of a header that may occur at most once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Rejected> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Rejected::bad_request(format!(
            "`{name}` is given more than once"
        )));
    }
    let text = value
        .to_str()
        .map_err(|_| Rejected::bad_request(format!("`{name}` is not visible ASCII")))?;
    Ok(Some(text))
}

fn parse_header<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, Rejected>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    single_value(headers, name)?
        .map(str::parse)
        .transpose()
        .map_err(|error| Rejected::bad_request(format!("`{name}`: {error}")))
}

fn class_of(head: &Head) -> Result<RequestClass, Rejected> {
    let class = parse_header(&head.headers, names::CLASS)?;
    Ok(class.unwrap_or(RequestClass::Standard))
}

/// The deadline, in milliseconds, of a request that states none.
fn default_deadline_ms(class: RequestClass) -> u64 {
    match class {
        RequestClass::Lookup => 1_000,
        RequestClass::Standard => 10_000,
        RequestClass::Recalculation => 300_000,
    }
}

fn deadline_of(head: &Head, class: RequestClass) -> Result<u64, Rejected> {
    let deadline_ms =
        parse_header(&head.headers, names::DEADLINE_MS)?.unwrap_or(default_deadline_ms(class));
    if !(1..=DEADLINE_MAX_MS).contains(&deadline_ms) {
        let name = names::DEADLINE_MS;
        let message = format!("`{name}` is from 1 to {DEADLINE_MAX_MS}, got {deadline_ms}");
        return Err(Rejected::bad_request(message));
    }
    Ok(deadline_ms)
}

fn idempotent_of(head: &Head) -> Result<bool, Rejected> {
    let given = parse_header::<bool>(&head.headers, names::IDEMPOTENT)?;
    Ok(given.unwrap_or_else(|| head.method.is_idempotent()))
}

fn request_id_of(headers: &HeaderMap, unix_ms: u64) -> Result<Option<RequestId>, Rejected> {
    let Some(id) = parse_header::<RequestId>(headers, names::REQUEST_ID)? else {
        return Ok(None);
    };
    if id.unix_ms() + ID_AGE_MAX_MS < unix_ms {
        let message = "the request ID is older than 10 min, so a second run cannot be ruled out";
        return Err(Rejected::new(StatusCode::CONFLICT, "id_too_old", message));
    }
    if id.unix_ms() > unix_ms + ID_AHEAD_MAX_MS {
        let message = "the time of the request ID lies in the future";
        return Err(Rejected::new(
            StatusCode::BAD_REQUEST,
            "id_too_new",
            message,
        ));
    }
    Ok(Some(id))
}

/// A hash of the caller name, or of the IP address of a caller without a name. Callers with
/// different keys share a queue of the router fairly.
fn caller_key(headers: &HeaderMap, peer: SocketAddr) -> Result<u64, Rejected> {
    let mut hasher = SipHasher13::new();
    match single_value(headers, names::CALLER)? {
        Some(name) if name.len() > CALLER_MAX_BYTES => {
            let message = format!("`{}` has at most {CALLER_MAX_BYTES} bytes", names::CALLER);
            return Err(Rejected::bad_request(message));
        }
        Some(name) => name.hash(&mut hasher),
        None => peer.ip().hash(&mut hasher),
    }
    Ok(hasher.finish())
}

/// A hash by which a request that reuses the ID of a different request is recognized.
fn request_digest(method: &Method, target: &str, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    method.as_str().hash(&mut hasher);
    target.hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}

async fn read_body(
    limits: &Limits,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Rejected> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > BODY_MAX_BYTES as u64) {
        return Err(body_too_long());
    }
    if headers
        .get(header::EXPECT)
        .is_some_and(|value| !value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
    {
        let status = StatusCode::EXPECTATION_FAILED;
        return Err(Rejected::new(status, "expect", "unknown expectation").closing());
    }
    // A body without a declared length reserves the budget for the longest permitted body.
    let kib = declared.unwrap_or(BODY_MAX_BYTES as u64).div_ceil(1024) as u32;
    let budget = limits.budget.clone().try_acquire_many_owned(kib);
    let budget = budget.map_err(|_| Rejected::busy().closing())?;
    let collected = Limited::new(body, BODY_MAX_BYTES).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(collected)) => Ok((collected.to_bytes(), Some(budget))),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(body_too_long()),
        Ok(Err(error)) => Err(Rejected::bad_request(format!("the body: {error}")).closing()),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            let message = "the body did not arrive in time";
            Err(Rejected::new(status, "timeout", message).closing())
        }
    }
}

fn body_too_long() -> Rejected {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    let message = format!("a body has at most {BODY_MAX_BYTES} bytes");
    Rejected::new(status, "body_too_long", message).closing()
}
