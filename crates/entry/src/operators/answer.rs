//! Answers to operators.

use rouille::Response;
use sapphirepost_protocol::error::ErrorBody;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::Refusal;
use serde::Serialize;

use crate::control_client::ControlError;

/// A request that is not passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refused {
    status: u16,
    body: ErrorBody,
}

impl Refused {
    pub(crate) fn new(status: u16, error: &str, message: &str) -> Refused {
        let body = ErrorBody {
            error: error.to_owned(),
            message: message.to_owned(),
        };
        Refused { status, body }
    }

    pub(crate) fn bad_request(message: &str) -> Refused {
        Refused::new(400, "bad_request", message)
    }

    pub(crate) fn into_response(self) -> Response {
        json(self.status, &self.body)
    }
}

/// The answer for the outcome of a call to the leader.
pub(crate) fn from_reply(reply: Result<OperatorReply, ControlError>) -> Response {
    match reply {
        Ok(reply) => json(status(&reply), &reply),
        Err(ControlError::Invalid(problem)) => Refused::bad_request(&problem).into_response(),
        Err(error @ ControlError::Unavailable(_)) => {
            Refused::new(503, "cannot_decide", &error.to_string())
                .into_response()
                .with_additional_header("retry-after", "1")
        }
        Err(error @ ControlError::OutcomeUnknown(_)) => {
            Refused::new(504, "outcome_unknown", &error.to_string()).into_response()
        }
    }
}

fn status(reply: &OperatorReply) -> u16 {
    match reply {
        OperatorReply::Refused(refusal) => refusal_status(refusal),
        _ => 200,
    }
}

fn refusal_status(refusal: &Refusal) -> u16 {
    match refusal {
        Refusal::Invalid { .. } | Refusal::NeverFits { .. } => 422,
        Refusal::Stale { .. } | Refusal::AlreadyConfirmed { .. } | Refusal::OperationMismatch => {
            409
        }
        Refusal::OperationTooOld => 410,
        Refusal::OperationTooNew => 400,
        Refusal::NotFound { .. } => 404,
    }
}

fn json<T: Serialize>(status: u16, value: &T) -> Response {
    Response::json(value).with_status_code(status)
}
