//! Builds the responses to callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;
use rand::Rng;
use sapphirepost_protocol::error::ErrorBody;
use sapphirepost_protocol::header as names;
use sapphirepost_routing::Answer as RouterAnswer;
use sapphirepost_routing::RefusalReason;
use sapphirepost_routing::UnknownReason;

use crate::caller::CallerResponse;
use crate::caller::request::Rejected;
use crate::upstream::CompleteResponse;

/// The range of `Retry-After` in refusals by the listener itself, in seconds. The value is drawn at
/// random so that refused callers do not all retry at the same time.
const RETRY_AFTER_S: std::ops::RangeInclusive<u32> = 1..=4;

/// Passes on the response of an upstream, with the outcome `done`.
pub fn forward(complete: CompleteResponse) -> CallerResponse {
    let mut response = Response::new(Full::new(complete.body));
    *response.status_mut() = complete.status;
    *response.headers_mut() = complete.headers;
    set_outcome(&mut response, names::OUTCOME_DONE);
    response
}

/// The response to a request that the listener itself answers.
pub fn rejected(rejected: &Rejected) -> CallerResponse {
    let mut response = error(rejected.status, rejected.error, rejected.message.clone());
    // A router that has ended may have sent the request; in all other cases it was not run.
    let outcome = if rejected.status == StatusCode::BAD_GATEWAY {
        names::OUTCOME_UNKNOWN
    } else {
        names::OUTCOME_REFUSED
    };
    set_outcome(&mut response, outcome);
    if rejected.status == StatusCode::SERVICE_UNAVAILABLE {
        let value = HeaderValue::from(rand::rng().random_range(RETRY_AFTER_S));
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    if rejected.close {
        close(&mut response);
    }
    response
}

/// Adds `connection: close`, after which `hyper` closes the connection.
pub fn close(response: &mut CallerResponse) {
    let value = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, value);
}

/// The response for an answer of the router. [`RouterAnswer::Forward`] is not expected here, since
/// [`forward`] handles it.
pub fn router_answer(answer: &RouterAnswer) -> CallerResponse {
    match answer {
        RouterAnswer::Recorded {
            status,
            content_type,
            body,
        } => recorded(*status, content_type.as_deref(), body.as_deref()),
        RouterAnswer::Refused {
            reason,
            retry_after_s,
        } => refused(*reason, *retry_after_s),
        RouterAnswer::Unknown { reason } => unknown(*reason),
        RouterAnswer::Forward(_) => unknown(UnknownReason::Broken),
    }
}

fn recorded(status: u16, content_type: Option<&str>, body: Option<&str>) -> CallerResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let Some(body) = body else {
        let message = format!(
            "the request ran and was answered with status {}; the body was too long to be kept",
            status.as_u16()
        );
        let mut response = error(StatusCode::CONFLICT, "already_done", message);
        set_outcome(&mut response, names::OUTCOME_DONE);
        return response;
    };
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    if let Some(value) = content_type.and_then(|text| HeaderValue::from_str(text).ok()) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    set_outcome(&mut response, names::OUTCOME_DONE);
    response
}

fn refused(reason: RefusalReason, retry_after_s: Option<u32>) -> CallerResponse {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let (status, code, message) = match reason {
        RefusalReason::Overload => (
            StatusCode::TOO_MANY_REQUESTS,
            "overload",
            "the wait would be too long",
        ),
        RefusalReason::Deadline => (
            unavailable,
            "deadline",
            "the request could not be run before its deadline",
        ),
        RefusalReason::NoUpstream => (
            unavailable,
            "no_upstream",
            "no upstream of this service is known",
        ),
        RefusalReason::TableUnknown => (
            unavailable,
            "starting",
            "the entry has not learnt the upstreams yet",
        ),
        RefusalReason::Unreachable => (
            unavailable,
            "unreachable",
            "no upstream of this service could be reached",
        ),
        RefusalReason::UpstreamRefused => (
            unavailable,
            "upstream_refused",
            "the upstream did not run the request",
        ),
        RefusalReason::ClaimUnavailable => (
            unavailable,
            "claim_unavailable",
            "the group that guards against a second run is out of reach",
        ),
        RefusalReason::Stopping => (unavailable, "stopping", "the entry is stopping"),
        RefusalReason::IdTooOld => (
            StatusCode::CONFLICT,
            "id_too_old",
            "the request ID is older than the record, so a second run cannot be ruled out",
        ),
        RefusalReason::IdTooNew => (
            StatusCode::BAD_REQUEST,
            "id_too_new",
            "the time of the request ID lies in the future",
        ),
        RefusalReason::IdMismatch => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "id_mismatch",
            "the request ID was used for another request",
        ),
    };
    let mut response = error(status, code, message.to_owned());
    set_outcome(&mut response, names::OUTCOME_REFUSED);
    if let Some(seconds) = retry_after_s {
        let value = HeaderValue::from(seconds);
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

fn unknown(reason: UnknownReason) -> CallerResponse {
    let (status, code, message) = match reason {
        UnknownReason::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "the deadline passed while an upstream had the request; it may have run",
        ),
        UnknownReason::Broken => (
            StatusCode::BAD_GATEWAY,
            "broken",
            "the connection to the upstream broke; the request may have run",
        ),
        UnknownReason::EarlierRun => (
            StatusCode::BAD_GATEWAY,
            "earlier_run",
            "an earlier request with this ID is under way or its end is not known",
        ),
    };
    let mut response = error(status, code, message.to_owned());
    set_outcome(&mut response, names::OUTCOME_UNKNOWN);
    response
}

fn error(status: StatusCode, code: &str, message: String) -> CallerResponse {
    let body = ErrorBody {
        error: code.to_owned(),
        message,
    };
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn set_outcome(response: &mut CallerResponse, outcome: &'static str) {
    let value = HeaderValue::from_static(outcome);
    response.headers_mut().insert(names::OUTCOME, value);
}
