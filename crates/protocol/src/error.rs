//! Error codes of the inner protocol and the error body of the HTTP interfaces.

use serde::Deserialize;
use serde::Serialize;

/// JSON-RPC error code: the receiver is not the leader; the data is a [`NotLeader`].
pub const CODE_NOT_LEADER: i32 = 1;
/// JSON-RPC error code: the receiver leads but has lost its quorum; nothing was done.
pub const CODE_NO_QUORUM: i32 = 2;
/// JSON-RPC error code: it is not known whether the proposal is or will be committed.
pub const CODE_OUTCOME_UNKNOWN: i32 = 3;
/// JSON-RPC error code: the receiver is overloaded or not ready yet; nothing was done.
pub const CODE_BUSY: i32 = 4;
/// JSON-RPC error code: the shared key is missing or wrong.
pub const CODE_UNAUTHORIZED: i32 = 5;

/// Data of [`CODE_NOT_LEADER`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotLeader {
    /// The inner address of the leader; `None` if the receiver does not know it.
    pub leader_address: Option<String>,
}

/// The JSON body of an HTTP error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    /// A stable error code for programs, for instance `bad_request`.
    pub error: String,
    /// An explanation for people; its wording may change.
    pub message: String,
}
