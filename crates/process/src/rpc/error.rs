//! Errors of calls, with what is known about their effect.

use jsonrpsee::core::client::Error as ClientError;
use jsonrpsee::types::ErrorObjectOwned;
use sapphirepost_protocol::error::CODE_BUSY;
use sapphirepost_protocol::error::CODE_NO_QUORUM;
use sapphirepost_protocol::error::CODE_NOT_LEADER;
use sapphirepost_protocol::error::CODE_OUTCOME_UNKNOWN;
use sapphirepost_protocol::error::CODE_UNAUTHORIZED;
use sapphirepost_protocol::error::NotLeader;
use thiserror::Error;

// Codes that JSON-RPC 2.0 itself defines.
const CODE_PARSE_ERROR: i32 = -32700;
const CODE_INVALID_REQUEST: i32 = -32600;
const CODE_NO_METHOD: i32 = -32601;
const CODE_INVALID_PARAMS: i32 = -32602;

/// Why a call has no result.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RpcError {
    /// The receiver is not the leader; nothing was done.
    #[error("not the leader")]
    NotLeader {
        /// The inner address of the leader, if the receiver knows it.
        hint: Option<String>,
    },
    /// The receiver has no quorum; nothing was done.
    #[error("no quorum")]
    NoQuorum,
    /// The receiver answered that the effect is not known.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The receiver, or this client, has too much queued; nothing was done.
    #[error("busy")]
    Busy,
    /// The shared key is missing or wrong; nothing was done.
    #[error("the shared key was refused")]
    Unauthorized,
    /// The receiver could not read the parameters; nothing was done.
    #[error("invalid call: {0}")]
    Invalid(String),
    /// No connection could be made; nothing was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The call was handed to a connection and no answer arrived; it may have had an effect.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

impl RpcError {
    /// Whether it is certain that the call had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, RpcError::OutcomeUnknown(_) | RpcError::NoAnswer(_))
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
            RpcError::NoQuorum => plain(CODE_NO_QUORUM, message),
            RpcError::OutcomeUnknown(detail) => plain(CODE_OUTCOME_UNKNOWN, detail),
            RpcError::NoAnswer(_) => plain(CODE_OUTCOME_UNKNOWN, message),
            RpcError::Busy | RpcError::NotSent(_) => plain(CODE_BUSY, message),
            RpcError::Unauthorized => plain(CODE_UNAUTHORIZED, message),
            RpcError::Invalid(detail) => plain(CODE_INVALID_PARAMS, detail),
        }
    }
}

fn plain(code: i32, message: String) -> ErrorObjectOwned {
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
            // The server rejects the call before it runs; any other code may come from a failure
            // while the call ran.
            CODE_PARSE_ERROR | CODE_INVALID_REQUEST | CODE_NO_METHOD | CODE_INVALID_PARAMS => {
                RpcError::Invalid(detail)
            }
            _ => RpcError::OutcomeUnknown(detail),
        }
    }
}

fn leader_hint(object: &ErrorObjectOwned) -> Option<String> {
    let data = object.data()?;
    let hint: NotLeader = serde_json::from_str(data.get()).ok()?;
    hint.leader_address
}

/// The error of a call that was handed to a connection.
pub(crate) fn from_client(error: ClientError) -> RpcError {
    match error {
        ClientError::Call(object) => RpcError::from(object),
        error => RpcError::NoAnswer(error.to_string()),
    }
}
