//! HTTP client for the operator listeners of the entries.
//!
//! The client tries the addresses in turn until one gives a final response or the timeout expires.
//! A response with status 503 or 504 counts as a failed attempt. After an attempt that may have
//! taken effect, the request is resent only if it only reads, or if the receiver recognizes it by
//! its operation ID. It is resent unchanged.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Method;
use attohttpc::ProxySettings;
use attohttpc::RequestBuilder;
use attohttpc::Response;
use sapphirepost_protocol::error::ErrorBody;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::Refusal;
use serde::Serialize;

use crate::failure::Failure;
use crate::settings::Settings;
use crate::show;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// An attempt of a request that may be resent gets the whole timeout divided by this number, so
/// that an entry that accepts connections and never responds does not use up all of it.
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 3;
/// The pause after each round over all addresses. There may be no leader because an election is in
/// progress.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// Whether a request may be resent when an earlier attempt may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    /// The request only reads, or carries an operation ID.
    Allowed,
    /// A second request could take effect again.
    Never,
}

/// A request that may take several attempts.
pub(crate) struct Call<'a, B> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Option<&'a B>,
    pub(crate) resend: Resend,
    /// For a long poll, how long the receiver may hold the request. It is added to the timeout.
    pub(crate) hold_time: Duration,
}

/// How one attempt ended.
enum AttemptOutcome {
    /// The status and the body of the response.
    Responded(u16, String),
    /// The attempt certainly had no effect.
    NoEffect(String),
    /// The attempt may have taken effect.
    Unknown(String),
}

/// Sends a `GET` request.
pub(crate) fn get(settings: &Settings, path: &str) -> Result<OperatorReply, Failure> {
    get_with_hold(settings, path, Duration::ZERO)
}

/// Sends a `GET` request that the receiver may hold for `hold_time`.
pub(crate) fn get_with_hold(
    settings: &Settings,
    path: &str,
    hold_time: Duration,
) -> Result<OperatorReply, Failure> {
    let call = Call::<()> {
        method: Method::GET,
        path,
        body: None,
        resend: Resend::Allowed,
        hold_time,
    };
    send(settings, &call)
}

/// Sends a `POST` request with a JSON body.
pub(crate) fn post<B: Serialize>(
    settings: &Settings,
    path: &str,
    body: &B,
    resend: Resend,
) -> Result<OperatorReply, Failure> {
    let call = Call {
        method: Method::POST,
        path,
        body: Some(body),
        resend,
        hold_time: Duration::ZERO,
    };
    send(settings, &call)
}

fn send<B: Serialize>(settings: &Settings, call: &Call<'_, B>) -> Result<OperatorReply, Failure> {
    if settings.entries.is_empty() {
        let message = "--entries (SAPPHIREPOST_ENTRIES): must be given";
        return Err(Failure::Usage(message.to_owned()));
    }
    let deadline = Instant::now() + settings.timeout + call.hold_time;
    let mut unknown = None;
    let mut last_problem = String::new();
    for address in settings.entries.iter().cycle() {
        if Instant::now() >= deadline {
            break;
        }
        match send_once(settings, *address, call, deadline) {
            AttemptOutcome::Responded(status, text) => return parse_reply(status, &text),
            AttemptOutcome::NoEffect(problem) => last_problem = format!("{address}: {problem}"),
            AttemptOutcome::Unknown(problem) => {
                let problem = format!("{address}: {problem}");
                if call.resend == Resend::Never {
                    return Err(Failure::OutcomeUnknown(problem));
                }
                unknown = Some(problem);
            }
        }
        if Some(address) == settings.entries.last() {
            thread::sleep(ROUND_PAUSE.min(deadline.saturating_duration_since(Instant::now())));
        }
    }
    match unknown {
        // A read changes nothing, even if its response was lost.
        Some(problem) if call.method == Method::GET => Err(Failure::Unreachable(problem)),
        Some(problem) => Err(Failure::OutcomeUnknown(problem)),
        None => Err(Failure::Unreachable(last_problem)),
    }
}

fn send_once<B: Serialize>(
    settings: &Settings,
    address: SocketAddr,
    call: &Call<'_, B>,
    deadline: Instant,
) -> AttemptOutcome {
    // The errors of the HTTP library do not distinguish a failed connection from a lost response.
    // This separate connection shows whether the address is reachable.
    if let Err(error) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        return AttemptOutcome::NoEffect(error.to_string());
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    let timeout = match call.resend {
        Resend::Allowed => {
            remaining.min(settings.timeout / ATTEMPT_TIMEOUT_DIVISOR + call.hold_time)
        }
        Resend::Never => remaining,
    };
    let request = build_request(settings, address, call, timeout);
    let response = match call.body {
        Some(body) => request.json(body).and_then(|request| request.send()),
        None => request.send(),
    };
    match response.and_then(read_response) {
        Ok((STATUS_UNAVAILABLE, text)) => AttemptOutcome::NoEffect(error_message(&text)),
        Ok((STATUS_GATEWAY_TIMEOUT, text)) => AttemptOutcome::Unknown(error_message(&text)),
        Ok((status, text)) => AttemptOutcome::Responded(status, text),
        Err(error) => AttemptOutcome::Unknown(error.to_string()),
    }
}

/// Reads the status and the body. The HTTP library accepts a body that is shorter than its declared
/// length, so the length is checked here.
fn read_response(response: Response) -> attohttpc::Result<(u16, String)> {
    let status = response.status().as_u16();
    let declared_length = response.headers().get("content-length").cloned();
    let text = response.text()?;
    let declared_length =
        declared_length.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared_length.is_some_and(|length| text.len() < length) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok((status, text))
}

fn build_request<B>(
    settings: &Settings,
    address: SocketAddr,
    call: &Call<'_, B>,
    timeout: Duration,
) -> RequestBuilder {
    let url = format!("http://{address}{}", call.path);
    let mut request = RequestBuilder::new(call.method.clone(), url)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(timeout)
        .timeout(timeout);
    if let Some(key) = &settings.key {
        request = request.header("authorization", key.authorization());
    }
    request
}

fn error_message(text: &str) -> String {
    match serde_json::from_str::<ErrorBody>(text) {
        Ok(body) => body.message,
        Err(_) => text.to_owned(),
    }
}

fn parse_reply(status: u16, text: &str) -> Result<OperatorReply, Failure> {
    if let Ok(reply) = serde_json::from_str::<OperatorReply>(text) {
        return match reply {
            OperatorReply::Refused(Refusal::NotFound { what }) => Err(Failure::NotFound(what)),
            OperatorReply::Refused(refusal) => Err(Failure::Refused(show::refusal(&refusal))),
            reply => Ok(reply),
        };
    }
    match status {
        404 => Err(Failure::NotFound(error_message(text))),
        200..=299 => Err(Failure::OutcomeUnknown(
            "the answer cannot be read".to_owned(),
        )),
        _ => Err(Failure::Refused(error_message(text))),
    }
}

/// Reads the dump from the admin listener of a process.
pub(crate) fn dump(settings: &Settings, address: SocketAddr) -> Result<String, Failure> {
    let unreachable = |error: attohttpc::Error| Failure::Unreachable(error.to_string());
    let response = attohttpc::get(format!("http://{address}/dump"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(settings.timeout)
        .send()
        .map_err(unreachable)?;
    let is_success = response.is_success();
    let text = response.text().map_err(unreachable)?;
    if is_success {
        return Ok(text);
    }
    Err(Failure::Refused(text.trim_end().to_owned()))
}
