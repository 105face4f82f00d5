//! The envelope of consensus messages.

use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// Parameters of [`method::CONSENSUS_STEP`](crate::method::CONSENSUS_STEP).
///
/// The receiver drops a message for another member: an address may be reused by a new member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step<M> {
    /// The sender.
    pub from: MemberId,
    /// The member that the message is meant for.
    pub to: MemberId,
    /// The inner address of the sender, for answers.
    pub from_address: String,
    /// The message of the consensus package.
    pub message: M,
}
