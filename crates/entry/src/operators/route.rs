//! Parses the paths, query parameters and bodies of operators' requests.

use std::str::FromStr;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use sapphirepost_process::http;
use sapphirepost_process::http::HttpError;
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

const HISTORY_LIMIT_DEFAULT: u32 = 20;
const HISTORY_LIMIT_MAX: u32 = 1000;
const WAIT_MAX_MS: u64 = 60_000;

/// Translates an HTTP request into the request to the leader.
pub(crate) fn parse(request: &Request<Bytes>) -> Result<OperatorRequest, HttpError> {
    let Some(rest) = request.uri().path().strip_prefix("/v1/") else {
        return Err(no_such_path());
    };
    let parts: Vec<&str> = rest.split('/').collect();
    match *request.method() {
        Method::GET => parse_read(request, &parts),
        Method::POST => parse_post(request, &parts),
        Method::PUT => parse_put(request, &parts),
        _ => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            Err(HttpError::new(status, "method", "use GET, POST or PUT"))
        }
    }
}

fn parse_read(request: &Request<Bytes>, parts: &[&str]) -> Result<OperatorRequest, HttpError> {
    match parts {
        ["status"] => Ok(OperatorRequest::Status),
        ["control"] => Ok(OperatorRequest::ListMembers),
        ["tenants"] => Ok(OperatorRequest::ListTenants),
        ["config"] => Ok(OperatorRequest::GetConfig),
        // The answer contains all values. The key is parsed only to report an invalid one.
        ["config", key] => parse_text::<Name>("key", key).map(|_| OperatorRequest::GetConfig),
        ["config-history"] => parse_config_history(request),
        ["config-wait"] => parse_config_wait(request),
        ["explain", job] => Ok(OperatorRequest::Explain {
            job: parse_text("job", job)?,
        }),
        ["plans", plan] => Ok(OperatorRequest::ShowPlan {
            plan: parse_text::<PlanId>("plan", plan)?,
        }),
        _ => Err(no_such_path()),
    }
}

fn parse_post(request: &Request<Bytes>, parts: &[&str]) -> Result<OperatorRequest, HttpError> {
    match parts {
        ["plans"] => Ok(OperatorRequest::Propose(parse_body(request)?)),
        ["plans", plan, "confirm"] => parse_confirm(request, plan),
        ["jobs", job, "cancel"] => {
            let job = parse_text("job", job)?;
            let CancelBody { operation } = parse_body(request)?;
            let intent = Intent::Cancel { job };
            Ok(OperatorRequest::Propose(Propose { operation, intent }))
        }
        ["control"] => Ok(match parse_body(request)? {
            MembershipBody::Add { member, address } => {
                OperatorRequest::AddMember { member, address }
            }
            MembershipBody::Remove { member } => OperatorRequest::RemoveMember { member },
        }),
        _ => Err(no_such_path()),
    }
}

fn parse_put(request: &Request<Bytes>, parts: &[&str]) -> Result<OperatorRequest, HttpError> {
    let ["config", key] = parts else {
        return Err(no_such_path());
    };
    let key = parse_text("key", key)?;
    let SetConfigBody {
        operation,
        value,
        expected,
    } = parse_body(request)?;
    let intent = Intent::SetConfig {
        key,
        value,
        expected,
    };
    Ok(OperatorRequest::Propose(Propose { operation, intent }))
}

fn parse_confirm(request: &Request<Bytes>, plan: &str) -> Result<OperatorRequest, HttpError> {
    let plan: PlanId = parse_text("plan", plan)?;
    let confirm: Confirm = parse_body(request)?;
    if confirm.plan != plan {
        let named = confirm.plan;
        let message = format!("the path names {plan} and the body {named}");
        return Err(HttpError::bad_request(&message));
    }
    Ok(OperatorRequest::Confirm(confirm))
}

fn parse_config_history(request: &Request<Bytes>) -> Result<OperatorRequest, HttpError> {
    let limit = match query_parameter(request, "limit") {
        Some(limit) => parse_text("limit", limit)?,
        None => HISTORY_LIMIT_DEFAULT,
    };
    if !(1..=HISTORY_LIMIT_MAX).contains(&limit) {
        let message = format!("`limit` is 1 to {HISTORY_LIMIT_MAX}");
        return Err(HttpError::bad_request(&message));
    }
    Ok(OperatorRequest::ConfigHistory { limit })
}

fn parse_config_wait(request: &Request<Bytes>) -> Result<OperatorRequest, HttpError> {
    let version = query_parameter(request, "version")
        .ok_or_else(|| HttpError::bad_request("`version` is missing"))?;
    let wait_ms: u64 = parse_text(
        "wait_ms",
        query_parameter(request, "wait_ms").unwrap_or("0"),
    )?;
    if wait_ms > WAIT_MAX_MS {
        let message = format!("`wait_ms` is at most {WAIT_MAX_MS}");
        return Err(HttpError::bad_request(&message));
    }
    Ok(OperatorRequest::WaitConfig {
        version: ConfigVersion(parse_text("version", version)?),
        wait_ms,
    })
}

fn parse_text<T: FromStr>(what: &str, text: &str) -> Result<T, HttpError>
where
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error| HttpError::bad_request(format!("`{what}`: {error}")))
}

fn parse_body<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, HttpError> {
    http::parse_json(request.body())
}

fn query_parameter<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn no_such_path() -> HttpError {
    HttpError::new(StatusCode::NOT_FOUND, "not_found", "no such path")
}
