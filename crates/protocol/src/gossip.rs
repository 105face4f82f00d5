//! Announcements of upstreams and their exchange among entries.
//!
//! Times travel as ages, because the clocks of two VMs differ.

use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use serde::Deserialize;
use serde::Serialize;

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamStatus {
    /// It takes requests.
    Serving,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// The body of `POST /v1/upstreams/announce`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The upstream's name, unique in the cell.
    pub name: Name,
    /// The service that it serves.
    pub service: Name,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub failure_domain: Name,
    /// How many requests it runs at a time.
    pub slots: u16,
    /// How many connections it accepts.
    pub connections: u16,
    /// Drawn anew, and higher, at each start of the upstream.
    pub incarnation: Incarnation,
    /// Raised with each announcement; a lower one that arrives late is ignored.
    pub sequence: u64,
    /// Whether it takes new requests.
    pub status: UpstreamStatus,
}

/// The answer to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceReply {
    /// When the next announcement is expected, in milliseconds.
    pub next_ms: u64,
}

/// An announcement with its age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgedAnnouncement {
    /// The announcement.
    pub announcement: Announcement,
    /// Milliseconds since an entry received it from the upstream.
    pub age_ms: u64,
}

/// A newer announcement that differs from the one before only in its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refresh {
    /// The upstream.
    pub name: Name,
    /// The run of the upstream.
    pub incarnation: Incarnation,
    /// The newest sequence number.
    pub sequence: u64,
    /// Milliseconds since an entry received it from the upstream.
    pub age_ms: u64,
}

/// Parameters of [`method::GOSSIP`](crate::method::GOSSIP).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gossip {
    /// The sender.
    pub from: EntryId,
    /// The run of the sender.
    pub incarnation: Incarnation,
    /// Announcements with content that is new since the last exchange.
    pub changed: Vec<AgedAnnouncement>,
    /// Announcements whose content is unchanged.
    pub refreshed: Vec<Refresh>,
    /// A digest of the content of the sender's table, without sequence numbers and ages.
    pub digest: u64,
    /// Asks for the receiver's whole table.
    pub want_all: bool,
}

/// Result of [`method::GOSSIP`](crate::method::GOSSIP).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GossipReply {
    /// The whole table, where it was asked for.
    pub table: Vec<AgedAnnouncement>,
    /// Asks the sender to send its whole table next time, because a difference is missing.
    pub want_all: bool,
}
