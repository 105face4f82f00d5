//! Configuration of a member.

use sapphirepost_types::MemberId;

/// Configuration of a [`Node`](crate::Node).
#[derive(Clone, Debug)]
pub struct Config {
    /// ID of this member.
    pub id: MemberId,
    /// Minimum election timeout; each timeout is chosen at random between this value and twice it.
    pub election_timeout_ms: u64,
    /// Interval between the heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// Maximum size of the entries in one append message; a larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum payload of a proposal. Larger ones are refused, since an entry that does not fit into
    /// any message would stop replication.
    pub max_entry_bytes: usize,
    /// Maximum number of unacknowledged append messages to one member.
    pub max_inflight_messages: usize,
    /// No further entries are sent to a member while those that it has not acknowledged are at least
    /// this large, since each of them takes memory on both sides until then.
    pub max_inflight_bytes: usize,
    /// Maximum size of the entries in [`Ready::committed`](crate::Ready::committed); a larger entry
    /// is returned alone. The owner handles messages and the time between two parts.
    pub max_committed_bytes: usize,
    /// Proposals are refused with [`ProposeError::Busy`](crate::ProposeError::Busy) while the
    /// uncommitted entries are larger than this.
    pub max_uncommitted_bytes: usize,
    /// Maximum size of the data in one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries up to the index of a snapshot that stay in memory, so that a member that
    /// lags slightly can be sent entries instead of the snapshot.
    pub trailing_entries: u64,
    /// Maximum size of these entries; if even the last one is larger, none stays.
    pub trailing_bytes: usize,
    /// Seed of the random election timeouts; it is combined with the member ID.
    pub seed: u64,
    /// Faults of the protocol that tests inject; none by default.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Config {
    /// The default configuration of a member.
    pub fn new(id: MemberId, seed: u64) -> Config {
        Config {
            id,
            election_timeout_ms: 250,
            heartbeat_ms: 60,
            max_batch_bytes: 256 * 1024,
            max_entry_bytes: 4 * 1024 * 1024,
            max_inflight_messages: 64,
            max_inflight_bytes: 2 * 1024 * 1024,
            max_committed_bytes: 64 * 1024,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            snapshot_chunk_bytes: 256 * 1024,
            trailing_entries: 1_000,
            trailing_bytes: 8 * 1024 * 1024,
            seed,
            faults: Faults::default(),
        }
    }
}

/// Protocol faults that tests inject, each by disabling a safety mechanism, to show that the checks
/// detect the consequences.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Members campaign without a pre-vote, and voters with a live leader handle vote requests.
    pub no_pre_vote: bool,
    /// A leader does not step down when it loses contact with a quorum.
    pub no_check_quorum: bool,
    /// Votes and entries are acknowledged before they are synced.
    pub ack_before_sync: bool,
    /// The leader also commits entries of earlier terms by counting replicas.
    pub commit_any_term: bool,
    /// Reads are confirmed without contacting a quorum.
    pub unconfirmed_reads: bool,
}
