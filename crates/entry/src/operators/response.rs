//! Maps the results of calls to the leader to HTTP responses.

use hyper::StatusCode;
use sapphirepost_process::http;
use sapphirepost_process::http::HttpError;
use sapphirepost_process::http::HttpResponse;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::Refusal;

use crate::control_client::ControlError;

/// Returns the HTTP response for the result of a call to the leader.
pub(crate) fn from_reply(reply: Result<OperatorReply, ControlError>) -> HttpResponse {
    let error = match reply {
        Ok(reply) => return http::json(status(&reply), &reply),
        Err(error) => error,
    };
    let message = error.to_string();
    match error {
        ControlError::Invalid(_) => HttpError::bad_request(message),
        ControlError::Unavailable(_) => {
            HttpError::new(StatusCode::SERVICE_UNAVAILABLE, "cannot_decide", message)
        }
        ControlError::OutcomeUnknown(_) => {
            HttpError::new(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message)
        }
    }
    .into_response()
}

fn status(reply: &OperatorReply) -> StatusCode {
    match reply {
        OperatorReply::Refused(refusal) => refusal_status(refusal),
        _ => StatusCode::OK,
    }
}

fn refusal_status(refusal: &Refusal) -> StatusCode {
    match refusal {
        Refusal::Invalid { .. } | Refusal::NeverFits { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::Stale { .. } | Refusal::AlreadyConfirmed { .. } | Refusal::OperationMismatch => {
            StatusCode::CONFLICT
        }
        Refusal::OperationTooOld => StatusCode::GONE,
        Refusal::OperationTooNew => StatusCode::BAD_REQUEST,
        Refusal::NotFound { .. } => StatusCode::NOT_FOUND,
    }
}
