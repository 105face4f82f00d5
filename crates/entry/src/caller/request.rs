//! From a caller's request to what the router and the upstream get.

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

/// The longest head of a request: request line and headers.
pub const HEAD_MAX_BYTES: usize = 16 * 1024;
/// A request ID that is older is refused, because its claim may have been forgotten.
pub const ID_AGE_MAX_MS: u64 = 10 * 60 * 1000;
/// A request ID may lie this far in the future; clocks of callers differ.
const ID_AHEAD_MAX_MS: u64 = 60 * 1000;
/// The longest deadline that a caller may ask for.
const DEADLINE_MAX_MS: u64 = 10 * 60 * 1000;
/// The longest name of a caller.
const CALLER_MAX_BYTES: usize = 128;

/// Limits for reading requests.
#[derive(Debug)]
pub struct Limits {
    /// The longest time for a body.
    pub body_timeout: Duration,
    /// The memory for bodies, in units of 1 KiB.
    pub budget: Arc<Semaphore>,
}

/// A request that is answered by the listener itself. It was not run.
#[derive(Debug)]
pub struct Rejected {
    /// The status.
    pub status: StatusCode,
    /// The short word.
    pub error: &'static str,
    /// The explanation.
    pub message: String,
    /// Whether the rest of the connection cannot be read.
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

    fn bad(message: impl Into<String>) -> Rejected {
        Rejected::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    fn closing(mut self) -> Rejected {
        self.close = true;
        self
    }

    /// The entry has more to do than it accepts.
    pub fn busy() -> Rejected {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Rejected::new(status, "overload", "the entry has too much to do")
    }

    /// The router is gone; only at the end of the process.
    pub fn lost() -> Rejected {
        let status = StatusCode::BAD_GATEWAY;
        Rejected::new(status, "lost", "the entry is ending")
    }
}

/// Checks the head, reads the body, and returns both parts of the request.
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
    let id = id_of(&head.headers, clock.unix_ms())?;
    let caller = caller_of(&head.headers, peer)?;
    let (body, budget) = read_body(limits, &head.headers, body).await?;
    let new = NewRequest {
        key,
        service,
        class,
        // The time for the body counts, since the caller waits from the start of the request.
        deadline: Millis(arrived.0 + deadline_ms),
        idempotent,
        digest: digest(&head.method, &target, &body),
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

/// The service, and what the upstream gets as path and query.
fn split_path(head: &Head) -> Result<(Name, String), Rejected> {
    let path = head.uri.path();
    let (service, rest) = match path.strip_prefix('/') {
        Some(path) => path.split_once('/').unwrap_or((path, "")),
        None => return Err(Rejected::bad("the path has the form /<service>/<rest>")),
    };
    let service = Name::new(service)
        .map_err(|error| Rejected::bad(format!("the service in the path: {error}")))?;
    let target = match head.uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    Ok((service, target))
}

/// The value of a header that may occur once.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Rejected> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Rejected::bad(format!("`{name}` is given more than once")));
    }
    let text = value
        .to_str()
        .map_err(|_| Rejected::bad(format!("`{name}` is not visible ASCII")))?;
    Ok(Some(text))
}

fn parsed<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, Rejected>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    single(headers, name)?
        .map(str::parse)
        .transpose()
        .map_err(|error| Rejected::bad(format!("`{name}`: {error}")))
}

fn class_of(head: &Head) -> Result<RequestClass, Rejected> {
    let class = parsed(&head.headers, names::CLASS)?;
    Ok(class.unwrap_or(RequestClass::Standard))
}

/// The time for a request without a deadline of its own, in milliseconds.
fn default_deadline_ms(class: RequestClass) -> u64 {
    match class {
        RequestClass::Lookup => 1_000,
        RequestClass::Standard => 10_000,
        RequestClass::Recalculation => 300_000,
    }
}

fn deadline_of(head: &Head, class: RequestClass) -> Result<u64, Rejected> {
    let deadline_ms =
        parsed(&head.headers, names::DEADLINE_MS)?.unwrap_or(default_deadline_ms(class));
    if !(1..=DEADLINE_MAX_MS).contains(&deadline_ms) {
        let name = names::DEADLINE_MS;
        let message = format!("`{name}` is from 1 to {DEADLINE_MAX_MS}, got {deadline_ms}");
        return Err(Rejected::bad(message));
    }
    Ok(deadline_ms)
}

fn idempotent_of(head: &Head) -> Result<bool, Rejected> {
    let given = parsed::<bool>(&head.headers, names::IDEMPOTENT)?;
    Ok(given.unwrap_or_else(|| head.method.is_idempotent()))
}

fn id_of(headers: &HeaderMap, unix_ms: u64) -> Result<Option<RequestId>, Rejected> {
    let Some(id) = parsed::<RequestId>(headers, names::REQUEST_ID)? else {
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

fn caller_of(headers: &HeaderMap, peer: SocketAddr) -> Result<u64, Rejected> {
    let mut hasher = SipHasher13::new();
    match single(headers, names::CALLER)? {
        Some(name) if name.len() > CALLER_MAX_BYTES => {
            let message = format!("`{}` has at most {CALLER_MAX_BYTES} bytes", names::CALLER);
            return Err(Rejected::bad(message));
        }
        Some(name) => name.hash(&mut hasher),
        None => peer.ip().hash(&mut hasher),
    }
    Ok(hasher.finish())
}

fn digest(method: &Method, target: &str, body: &[u8]) -> u64 {
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
        return Err(too_long());
    }
    if headers
        .get(header::EXPECT)
        .is_some_and(|value| !value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
    {
        let status = StatusCode::EXPECTATION_FAILED;
        return Err(Rejected::new(status, "expect", "unknown expectation").closing());
    }
    // A body without a declared length may become as long as the limit.
    let kib = declared.unwrap_or(BODY_MAX_BYTES as u64).div_ceil(1024) as u32;
    let budget = limits.budget.clone().try_acquire_many_owned(kib);
    let budget = budget.map_err(|_| Rejected::busy().closing())?;
    let collected = Limited::new(body, BODY_MAX_BYTES).collect();
    match tokio::time::timeout(limits.body_timeout, collected).await {
        Ok(Ok(collected)) => Ok((collected.to_bytes(), Some(budget))),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_long()),
        Ok(Err(error)) => Err(Rejected::bad(format!("the body: {error}")).closing()),
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            let message = "the body did not arrive in time";
            Err(Rejected::new(status, "timeout", message).closing())
        }
    }
}

fn too_long() -> Rejected {
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    let message = format!("a body has at most {BODY_MAX_BYTES} bytes");
    Rejected::new(status, "body_too_long", message).closing()
}
