//! Error codes of the inner protocol and the error body of the HTTP interfaces.

use serde::Deserialize;
use serde::Serialize;

/// JSON-RPC code: the receiver is not the leader; the data is a [`NotLeader`].
pub const CODE_NOT_LEADER: i32 = 1;
/// JSON-RPC code: the receiver has no quorum, so it cannot decide.
pub const CODE_NO_QUORUM: i32 = 2;
/// JSON-RPC code: the proposal may or may not take effect.
pub const CODE_OUTCOME_UNKNOWN: i32 = 3;
/// JSON-RPC code: the receiver has more work queued than it accepts; nothing was done.
pub const CODE_BUSY: i32 = 4;
/// JSON-RPC code: the shared key is missing or wrong.
pub const CODE_UNAUTHORIZED: i32 = 5;

/// Data of [`CODE_NOT_LEADER`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotLeader {
    /// The inner address of the leader, if the receiver knows it.
    pub leader_address: Option<String>,
}

/// The JSON body of every HTTP error of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    /// A short stable word for programs, for instance `bad_request`.
    pub error: String,
    /// The explanation for people.
    pub message: String,
}
