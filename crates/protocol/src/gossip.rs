//! Announcements of upstreams and their exchange among entries by gossip.
//!
//! Messages contain ages instead of points in time, because the clocks of two VMs differ.

use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamStatus {
    /// It accepts new requests.
    Serving,
    /// It finishes the requests that it has and accepts no new ones.
    Leaving,
}

/// The body of `POST /v1/upstreams/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the upstream, unique in the cluster.
    pub name: Name,
    /// The service whose requests it answers.
    pub service: Name,
    /// The address on which it listens, as `ip:port`.
    pub address: String,
    /// The failure domain that it runs in. Entries in the same one are preferred when its slots are
    /// divided among the entries.
    pub failure_domain: Name,
    /// How many requests it can run concurrently, at least 1.
    pub slots: u16,
    /// How many connections it accepts, at least 1.
    pub connections: u16,
    /// The incarnation of the upstream, higher at each start.
    pub incarnation: Incarnation,
    /// Increases with each announcement of an incarnation; an announcement with a lower number that
    /// arrives late is ignored.
    pub sequence: u64,
    /// Whether it accepts new requests.
    pub status: UpstreamStatus,
}

/// The answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceReply {
    /// After how long the next announcement is expected, in milliseconds.
    pub next_ms: u64,
}

/// An announcement with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgedAnnouncement {
    /// The newest announcement of an upstream that the sender knows.
    pub announcement: Announcement,
    /// Milliseconds since an entry received the announcement from the upstream.
    pub age_ms: u64,
}

/// A newer announcement that differs from the previous one only in its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refresh {
    /// The name of the upstream.
    pub name: Name,
    /// The incarnation of the upstream. The receiver ignores the refresh unless its own announcement
    /// of the upstream is of the same incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the newest announcement.
    pub sequence: u64,
    /// Milliseconds since an entry received this announcement from the upstream.
    pub age_ms: u64,
}

/// Parameters of [`method::GOSSIP`](crate::method::GOSSIP).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// The entry that sends the message.
    pub from: EntryId,
    /// The incarnation of the sender. When it changes, the receiver sends its whole table in its
    /// next message to the sender.
    pub incarnation: Incarnation,
    /// Announcements with content that is new since the previous message, or the whole table.
    pub changed: Vec<AgedAnnouncement>,
    /// Newer announcements with unchanged content.
    pub refreshed: Vec<Refresh>,
    /// A digest of the content of the sender's table, without sequence numbers and ages.
    pub digest: u64,
    /// Whether the receiver is to reply with its whole table, because the sender has started
    /// recently and may not know all upstreams yet.
    pub want_all: bool,
}

/// Result of [`method::GOSSIP`](crate::method::GOSSIP).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipReply {
    /// The whole table of the replying entry if [`Gossip::want_all`] was set, else empty.
    pub table: Vec<AgedAnnouncement>,
    /// Whether the sender of the [`Gossip`] is to send its whole table in the next message, because
    /// the digests of the two tables have differed repeatedly.
    pub want_all: bool,
}
