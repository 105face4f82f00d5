//! Paths, parameters and bodies of operators' requests.

use std::io::Read;
use std::str::FromStr;

use rouille::Request;
use sapphirepost_protocol::operator::Confirm;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Propose;
use sapphirepost_protocol::operator_http::CancelBody;
use sapphirepost_protocol::operator_http::MembershipBody;
use sapphirepost_protocol::operator_http::SetConfigBody;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::Intent;
use sapphirepost_types::Name;
use sapphirepost_types::PlanId;
use serde::de::DeserializeOwned;
use serde_json::error::Category;

use crate::operators::answer::Refused;

/// The greatest size of a body; the payload of a job is the only long text.
const BODY_MAX_BYTES: u64 = 256 * 1024;
const HISTORY_LIMIT_DEFAULT: u32 = 20;
const HISTORY_LIMIT_MAX: u32 = 1000;
const WAIT_MAX_MS: u64 = 60_000;

/// The request to the leader that an HTTP request stands for.
pub(crate) fn parse(request: &Request) -> Result<OperatorRequest, Refused> {
    let url = request.url();
    let Some(rest) = url.strip_prefix("/v1/") else {
        return Err(no_such_path());
    };
    let parts: Vec<&str> = rest.split('/').collect();
    match request.method() {
        "GET" => parse_read(request, &parts),
        "POST" => parse_post(request, &parts),
        "PUT" => parse_put(request, &parts),
        _ => Err(Refused::new(405, "method", "use GET, POST or PUT")),
    }
}

fn parse_read(request: &Request, parts: &[&str]) -> Result<OperatorRequest, Refused> {
    match parts {
        ["status"] => Ok(OperatorRequest::Status),
        ["control"] => Ok(OperatorRequest::ListMembers),
        ["config"] => Ok(OperatorRequest::GetConfig),
        // The answer holds all values; the key is checked so that a wrong one is reported.
        ["config", key] => text::<Name>("key", key).map(|_| OperatorRequest::GetConfig),
        ["config-history"] => history(request),
        ["config-wait"] => wait(request),
        ["explain", job] => Ok(OperatorRequest::Explain {
            job: text("job", job)?,
        }),
        ["plans", plan] => Ok(OperatorRequest::ShowPlan {
            plan: text::<PlanId>("plan", plan)?,
        }),
        _ => Err(no_such_path()),
    }
}

fn parse_post(request: &Request, parts: &[&str]) -> Result<OperatorRequest, Refused> {
    match parts {
        ["plans"] => Ok(OperatorRequest::Propose(body(request)?)),
        ["plans", plan, "confirm"] => confirm(request, plan),
        ["jobs", job, "cancel"] => {
            let job = text("job", job)?;
            let CancelBody { operation } = body(request)?;
            let intent = Intent::Cancel { job };
            Ok(OperatorRequest::Propose(Propose { operation, intent }))
        }
        ["control"] => Ok(match body(request)? {
            MembershipBody::Add { member, address } => {
                OperatorRequest::AddMember { member, address }
            }
            MembershipBody::Remove { member } => OperatorRequest::RemoveMember { member },
        }),
        _ => Err(no_such_path()),
    }
}

fn parse_put(request: &Request, parts: &[&str]) -> Result<OperatorRequest, Refused> {
    let ["config", key] = parts else {
        return Err(no_such_path());
    };
    let key = text("key", key)?;
    let SetConfigBody {
        operation,
        value,
        expected,
    } = body(request)?;
    let intent = Intent::SetConfig {
        key,
        value,
        expected,
    };
    Ok(OperatorRequest::Propose(Propose { operation, intent }))
}

fn confirm(request: &Request, plan: &str) -> Result<OperatorRequest, Refused> {
    let plan: PlanId = text("plan", plan)?;
    let confirm: Confirm = body(request)?;
    if confirm.plan != plan {
        let named = confirm.plan;
        let message = format!("the path names {plan} and the body {named}");
        return Err(Refused::bad_request(&message));
    }
    Ok(OperatorRequest::Confirm(confirm))
}

fn history(request: &Request) -> Result<OperatorRequest, Refused> {
    let limit = match request.get_param("limit") {
        Some(limit) => text("limit", &limit)?,
        None => HISTORY_LIMIT_DEFAULT,
    };
    if !(1..=HISTORY_LIMIT_MAX).contains(&limit) {
        let message = format!("`limit` is 1 to {HISTORY_LIMIT_MAX}");
        return Err(Refused::bad_request(&message));
    }
    Ok(OperatorRequest::ConfigHistory { limit })
}

fn wait(request: &Request) -> Result<OperatorRequest, Refused> {
    let version = request
        .get_param("version")
        .ok_or_else(|| Refused::bad_request("`version` is missing"))?;
    let wait_ms = request.get_param("wait_ms").unwrap_or("0".to_owned());
    let wait_ms: u64 = text("wait_ms", &wait_ms)?;
    if wait_ms > WAIT_MAX_MS {
        let message = format!("`wait_ms` is at most {WAIT_MAX_MS}");
        return Err(Refused::bad_request(&message));
    }
    Ok(OperatorRequest::WaitConfig {
        version: ConfigVersion(text("version", &version)?),
        wait_ms,
    })
}

fn text<T: FromStr>(what: &str, text: &str) -> Result<T, Refused>
where
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error| Refused::bad_request(&format!("`{what}`: {error}")))
}

fn body<T: DeserializeOwned>(request: &Request) -> Result<T, Refused> {
    let too_long = || {
        let message = format!("a body has at most {BODY_MAX_BYTES} bytes");
        Refused::new(413, "too_long", &message)
    };
    let declared = request.header("content-length").map(str::parse::<u64>);
    if matches!(declared, Some(Ok(length)) if length > BODY_MAX_BYTES) {
        return Err(too_long());
    }
    let data = request
        .data()
        .ok_or_else(|| Refused::bad_request("the body was read before"))?;
    let mut bytes = Vec::new();
    data.take(BODY_MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| Refused::bad_request(&error.to_string()))?;
    if bytes.len() as u64 > BODY_MAX_BYTES {
        return Err(too_long());
    }
    serde_json::from_slice(&bytes).map_err(|error| match error.classify() {
        Category::Syntax | Category::Eof => Refused::new(400, "not_json", &error.to_string()),
        Category::Data | Category::Io => Refused::bad_request(&error.to_string()),
    })
}

fn no_such_path() -> Refused {
    Refused::new(404, "not_found", "no such path")
}
