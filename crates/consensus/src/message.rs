//! Messages between members.

use bytes::Bytes;
use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::Entry;
use crate::entry::GroupId;
use crate::entry::Index;
use crate::entry::SnapshotMeta;
use crate::entry::Term;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Message {
    /// The group of the sender.
    pub group: GroupId,
    /// The term of the sender; in a pre-vote, the term that it would campaign for.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Body {
    /// Asks whether a campaign could succeed.
    PreVote {
        /// The sender's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    /// Answers a pre-vote; a granted one repeats the term that was asked for.
    PreVoteReply {
        /// Whether the receiver would get the vote.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// The sender's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
        /// Whether the leader asked the sender to take over; a live leader then is no obstacle.
        transfer: bool,
    },
    /// Answers a vote request; sent after the vote was synced.
    VoteReply {
        /// Whether the receiver got the vote.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append {
        /// The entry before the first one sent.
        prev_index: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The current read round.
        round: u64,
    },
    /// The log of the sender matches the leader's up to `matched`, and is synced up to there.
    Accepted {
        /// The last matching index.
        matched: Index,
        /// The read round of the message that is answered.
        round: u64,
    },
    /// The sender lacks the entry before the first one sent, or has a different one.
    Rejected {
        /// `prev_index` of the message that is answered.
        prev_index: Index,
        /// The last index that may match.
        hint: Index,
        /// The read round of the message that is answered.
        round: u64,
    },
    /// A part of a snapshot.
    SnapshotChunk {
        /// The snapshot.
        meta: SnapshotMeta,
        /// The size of the whole snapshot.
        total_bytes: u64,
        /// Where this part starts.
        offset: u64,
        /// The part.
        #[serde(with = "crate::base64_bytes")]
        data: Bytes,
        /// The current read round.
        round: u64,
    },
    /// Answers a part of a snapshot.
    SnapshotReply {
        /// The index of the snapshot.
        index: Index,
        /// How much of it the sender has.
        received: u64,
        /// The read round of the message that is answered.
        round: u64,
    },
    /// Asks the receiver to campaign at once, for a planned stop of the leader.
    TimeoutNow,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: MemberId,
    /// The message.
    pub message: Message,
}
