//! Errors of RPC calls and whether the call may have had an effect.

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::ErrorObjectOwned;
use sapphirepost_protocol::error::CODE_BUSY;
use sapphirepost_protocol::error::CODE_NO_QUORUM;
use sapphirepost_protocol::error::CODE_NOT_LEADER;
use sapphirepost_protocol::error::CODE_OUTCOME_UNKNOWN;
use sapphirepost_protocol::error::CODE_UNAUTHORIZED;
use sapphirepost_protocol::error::NotLeader;
use thiserror::Error;

// Error codes defined by JSON-RPC 2.0.
const CODE_PARSE_ERROR: i32 = -32700;
const CODE_INVALID_REQUEST: i32 = -32600;
const CODE_METHOD_NOT_FOUND: i32 = -32601;
const CODE_INVALID_PARAMS: i32 = -32602;

/// Why an RPC call returned no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RpcError {
    /// The receiver is not the leader; the call had no effect.
    #[error("not the leader")]
    NotLeader {
        /// The RPC address of the leader, if the receiver knows it.
        hint: Option<String>,
    },
    /// The receiver has no quorum; the call had no effect.
    #[error("no quorum")]
    NoQuorum,
    /// The receiver cannot tell whether the call had an effect.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The receiver or this client is at its limit of queued calls, or the receiver could not
    /// forward the call; the call had no effect.
    #[error("busy")]
    Busy,
    /// The shared key is missing or wrong; the call had no effect.
    #[error("the shared key was refused")]
    Unauthorized,
    /// The receiver rejected the call before it ran, for instance because of an unknown method or
    /// invalid parameters; the call had no effect.
    #[error("invalid call: {0}")]
    Invalid(String),
    /// No connection could be established, so nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call was passed to a connection and no readable reply arrived; it may have had an
    /// effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The call timed out, though the receiver has just answered others on the same connection. It
    /// may have had an effect, or still have it.
    #[error("late: {0}")]
    Late(String),
}

impl RpcError {
    /// Returns whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(
            self,
            RpcError::OutcomeUnknown(_) | RpcError::NoAnswer(_) | RpcError::Late(_)
        )
    }
}

impl From<RpcError> for ErrorObjectOwned {
    fn from(error: RpcError) -> ErrorObjectOwned {
        let message = error.to_string();
        match error {
            RpcError::NotLeader { hint } => {
                let data = NotLeader {
                    leader_address: hint,
                };
                ErrorObjectOwned::owned(CODE_NOT_LEADER, message, Some(data))
            }
            RpcError::NoQuorum => error_without_data(CODE_NO_QUORUM, message),
            RpcError::OutcomeUnknown(detail) => error_without_data(CODE_OUTCOME_UNKNOWN, detail),
            RpcError::NoAnswer(_) | RpcError::Late(_) => {
                error_without_data(CODE_OUTCOME_UNKNOWN, message)
            }
            RpcError::Busy | RpcError::NotSent(_) => error_without_data(CODE_BUSY, message),
            RpcError::Unauthorized => error_without_data(CODE_UNAUTHORIZED, message),
            RpcError::Invalid(detail) => error_without_data(CODE_INVALID_PARAMS, detail),
        }
    }
}

fn error_without_data(code: i32, message: String) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(code, message, None::<()>)
}

impl From<ErrorObjectOwned> for RpcError {
    fn from(object: ErrorObjectOwned) -> RpcError {
        let detail = object.message().to_owned();
        match object.code() {
            CODE_NOT_LEADER => RpcError::NotLeader {
                hint: leader_hint(&object),
            },
            CODE_NO_QUORUM => RpcError::NoQuorum,
            CODE_OUTCOME_UNKNOWN => RpcError::OutcomeUnknown(detail),
            CODE_BUSY => RpcError::Busy,
            CODE_UNAUTHORIZED => RpcError::Unauthorized,
            // With these codes the server rejects a call before it runs; any other code may come
            // from a failure while the call ran.
            CODE_PARSE_ERROR
            | CODE_INVALID_REQUEST
            | CODE_METHOD_NOT_FOUND
            | CODE_INVALID_PARAMS => RpcError::Invalid(detail),
            _ => RpcError::OutcomeUnknown(detail),
        }
    }
}

fn leader_hint(object: &ErrorObjectOwned) -> Option<String> {
    let data = object.data()?;
    let hint: NotLeader = serde_json::from_str(data.get()).ok()?;
    hint.leader_address
}

/// Converts the error of a call that was passed to a connection.
pub(crate) fn from_client_error(error: ClientError) -> RpcError {
    match error {
        ClientError::Call(object) => RpcError::from(object),
        error => RpcError::NoAnswer(error.to_string()),
    }
}
