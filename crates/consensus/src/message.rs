//! Messages between the members of a group.

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
    /// Group of the sender; a member ignores messages of other groups.
    pub group: GroupId,
    /// Term of the sender; in a pre-vote and in its positive reply, the term that the candidate
    /// would campaign for.
    pub term: Term,
    /// The request or reply itself.
    pub body: Body,
}

impl Message {
    /// Approximate size of what the message carries: entries, or a part of a snapshot.
    pub fn size_bytes(&self) -> usize {
        match &self.body {
            Body::Append { entries, .. } => entries.iter().map(Entry::size_bytes).sum(),
            Body::SnapshotChunk { data, .. } => data.len(),
            _ => 0,
        }
    }
}

/// The request or reply in a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender, without starting a new term.
    PreVote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answers a pre-vote. If granted, the message carries the term of the request.
    PreVoteReply {
        /// Whether the candidate would get the vote.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the campaign is part of a leadership transfer. Voters then handle the request even
        /// if they have a live leader.
        transfer: bool,
    },
    /// Answers a vote request; sent only after the vote is synced.
    VoteReply {
        /// Whether the candidate gets the vote.
        granted: bool,
    },
    /// Entries from the leader; without entries, a heartbeat.
    Append {
        /// Index of the entry before the first one in `entries`.
        prev_index: Index,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Consecutive entries after `prev_index`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's latest read round; the reply confirms it.
        round: u64,
    },
    /// Answers an append message or a complete snapshot: the log of the sender matches the leader's
    /// up to `matched` and is synced up to there.
    Accepted {
        /// The last matching index.
        matched: Index,
        /// Read round of the answered message.
        round: u64,
    },
    /// Answers an append message: the sender lacks the entry at `prev_index`, or has one of another
    /// term. Also answers an append message or a snapshot chunk of an earlier term.
    Rejected {
        /// `prev_index` of the answered message; 0 if that message is of an earlier term.
        prev_index: Index,
        /// Upper bound of the last index at which the logs match.
        hint: Index,
        /// Read round of the answered message; 0 if that message is of an earlier term.
        round: u64,
    },
    /// A chunk of a snapshot from the leader.
    SnapshotChunk {
        /// Metadata of the snapshot; it identifies the snapshot across chunks.
        meta: SnapshotMeta,
        /// Size of the data of the whole snapshot.
        total_bytes: u64,
        /// Offset in bytes of this chunk in the data.
        offset: u64,
        /// Data of this chunk.
        #[serde(with = "crate::base64_bytes")]
        data: Bytes,
        /// The leader's latest read round; the reply confirms it.
        round: u64,
    },
    /// Answers a chunk of a snapshot that is still incomplete.
    SnapshotReply {
        /// Index of the snapshot.
        index: Index,
        /// Number of consecutive bytes that the sender has received.
        received: u64,
        /// Read round of the answered message.
        round: u64,
    },
    /// Asks the receiver to campaign immediately, as part of a leadership transfer.
    TimeoutNow,
}

/// A message together with its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The member that receives the message.
    pub to: MemberId,
    /// The message to send.
    pub message: Message,
}
