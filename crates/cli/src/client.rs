//! Requests to the operator listeners of the entries.
//!
//! An address that does not answer is passed over. What may have taken effect is sent again only
//! if the receiver recognises a resend by its operation ID, and then unchanged.

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
/// A request that may be sent again waits for this part of the whole time at one address, so that
/// an entry that accepts connections and never answers does not use up all of it.
const ATTEMPT_PART: u32 = 3;
/// The pause after all addresses were tried, while an election may be under way.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
const STATUS_UNAVAILABLE: u16 = 503;
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// Whether a request may be sent again after it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resend {
    /// It only reads, or carries an operation ID.
    Allowed,
    /// A second one could act again.
    Never,
}

/// One request.
pub(crate) struct Call<'a, B> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Option<&'a B>,
    pub(crate) resend: Resend,
    /// Time that the receiver may hold the request, in addition to the usual time.
    pub(crate) hold: Duration,
}

/// How one attempt ended.
enum Attempt {
    Answered(u16, String),
    /// Certainly without effect.
    NotDone(String),
    /// Possibly with effect.
    Unknown(String),
}

/// Sends a request that only reads.
pub(crate) fn get(settings: &Settings, path: &str) -> Result<OperatorReply, Failure> {
    get_held(settings, path, Duration::ZERO)
}

/// Sends a request that only reads and that the receiver may hold.
pub(crate) fn get_held(
    settings: &Settings,
    path: &str,
    hold: Duration,
) -> Result<OperatorReply, Failure> {
    let call = Call::<()> {
        method: Method::GET,
        path,
        body: None,
        resend: Resend::Allowed,
        hold,
    };
    send(settings, &call)
}

/// Sends a change.
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
        hold: Duration::ZERO,
    };
    send(settings, &call)
}

fn send<B: Serialize>(settings: &Settings, call: &Call<'_, B>) -> Result<OperatorReply, Failure> {
    if settings.entries.is_empty() {
        let message = "--entries (SAPPHIREPOST_ENTRIES): must be given";
        return Err(Failure::Usage(message.to_owned()));
    }
    let deadline = Instant::now() + settings.timeout + call.hold;
    let mut unknown = None;
    let mut last = String::new();
    for address in settings.entries.iter().cycle() {
        if Instant::now() >= deadline {
            break;
        }
        match attempt(settings, *address, call, deadline) {
            Attempt::Answered(status, text) => return read(status, &text),
            Attempt::NotDone(problem) => last = format!("{address}: {problem}"),
            Attempt::Unknown(problem) => {
                let problem = format!("{address}: {problem}");
                if call.resend == Resend::Never {
                    return Err(Failure::Unknown(problem));
                }
                unknown = Some(problem);
            }
        }
        if Some(address) == settings.entries.last() {
            thread::sleep(ROUND_PAUSE.min(deadline.saturating_duration_since(Instant::now())));
        }
    }
    match unknown {
        // A read without an answer has changed nothing.
        Some(problem) if call.method == Method::GET => Err(Failure::Unreachable(problem)),
        Some(problem) => Err(Failure::Unknown(problem)),
        None => Err(Failure::Unreachable(last)),
    }
}

fn attempt<B: Serialize>(
    settings: &Settings,
    address: SocketAddr,
    call: &Call<'_, B>,
    deadline: Instant,
) -> Attempt {
    // The library does not tell a failed connection from a lost answer; this connection does.
    if let Err(error) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        return Attempt::NotDone(error.to_string());
    }
    let left = deadline.saturating_duration_since(Instant::now());
    let limit = match call.resend {
        Resend::Allowed => left.min(settings.timeout / ATTEMPT_PART + call.hold),
        Resend::Never => left,
    };
    let request = request(settings, address, call, limit);
    let answer = match call.body {
        Some(body) => request.json(body).and_then(|request| request.send()),
        None => request.send(),
    };
    match answer.and_then(read_whole) {
        Ok((STATUS_UNAVAILABLE, text)) => Attempt::NotDone(message(&text)),
        Ok((STATUS_GATEWAY_TIMEOUT, text)) => Attempt::Unknown(message(&text)),
        Ok((status, text)) => Attempt::Answered(status, text),
        Err(error) => Attempt::Unknown(error.to_string()),
    }
}

/// The status and the body. The library accepts a body that is shorter than declared.
fn read_whole(answer: Response) -> attohttpc::Result<(u16, String)> {
    let status = answer.status().as_u16();
    let declared = answer.headers().get("content-length").cloned();
    let text = answer.text()?;
    let declared = declared.and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| text.len() < length) {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok((status, text))
}

fn request<B>(
    settings: &Settings,
    address: SocketAddr,
    call: &Call<'_, B>,
    limit: Duration,
) -> RequestBuilder {
    let url = format!("http://{address}{}", call.path);
    let mut request = RequestBuilder::new(call.method.clone(), url)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(limit)
        .timeout(limit);
    if let Some(key) = &settings.key {
        request = request.header("authorization", key.authorization());
    }
    request
}

fn message(text: &str) -> String {
    match serde_json::from_str::<ErrorBody>(text) {
        Ok(body) => body.message,
        Err(_) => text.to_owned(),
    }
}

fn read(status: u16, text: &str) -> Result<OperatorReply, Failure> {
    if let Ok(reply) = serde_json::from_str::<OperatorReply>(text) {
        return match reply {
            OperatorReply::Refused(Refusal::NotFound { what }) => Err(Failure::NotFound(what)),
            OperatorReply::Refused(refusal) => Err(Failure::Refused(show::refusal(&refusal))),
            reply => Ok(reply),
        };
    }
    match status {
        404 => Err(Failure::NotFound(message(text))),
        200..=299 => Err(Failure::Unknown("the answer cannot be read".to_owned())),
        _ => Err(Failure::Refused(message(text))),
    }
}

/// Reads the dump of the process with this admin address.
pub(crate) fn dump(settings: &Settings, address: SocketAddr) -> Result<String, Failure> {
    let unreachable = |error: attohttpc::Error| Failure::Unreachable(error.to_string());
    let answer = attohttpc::get(format!("http://{address}/dump"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(settings.timeout)
        .send()
        .map_err(unreachable)?;
    let is_success = answer.is_success();
    let text = answer.text().map_err(unreachable)?;
    if is_success {
        return Ok(text);
    }
    Err(Failure::Refused(text.trim_end().to_owned()))
}
