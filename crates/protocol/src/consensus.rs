//! The envelope of consensus messages between control processes.

use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// Parameters of [`method::CONSENSUS_STEP`](crate::method::CONSENSUS_STEP).
///
/// The receiver drops a message that is addressed to another member, because a new member may have
/// taken over the address of a former one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step<M> {
    /// The member that sends the message.
    pub from: MemberId,
    /// The member that the message is addressed to.
    pub to: MemberId,
    /// The inner address of the sender, to which answers are sent.
    pub from_address: String,
    /// The payload, a message of the consensus package.
    pub message: M,
}
