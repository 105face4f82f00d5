//! Parameters of a member.

use sapphirepost_types::MemberId;

/// Parameters of a [`Node`](crate::Node).
#[derive(Clone, Debug)]
pub struct Config {
    /// This member.
    pub id: MemberId,
    /// The shortest election timeout; the timeout in use is drawn from this value up to twice it.
    pub election_timeout_ms: u64,
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// The most payload bytes in one append message; a single larger entry is sent alone.
    pub max_batch_bytes: usize,
    /// Larger payloads are refused: an entry that fits into no message would end replication.
    pub max_entry_bytes: usize,
    /// The most append messages under way to one member.
    pub max_inflight_messages: usize,
    /// Proposals are refused as busy while uncommitted payloads exceed this size.
    pub max_uncommitted_bytes: usize,
    /// The size of one snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept in memory behind a snapshot, so that a slightly slower member needs none.
    pub trailing_entries: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Mechanisms that tests switch off.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Config {
    /// The default parameters for a member.
    pub fn new(id: MemberId, seed: u64) -> Config {
        Config {
            id,
            election_timeout_ms: 250,
            heartbeat_ms: 60,
            max_batch_bytes: 256 * 1024,
            max_entry_bytes: 4 * 1024 * 1024,
            max_inflight_messages: 64,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            snapshot_chunk_bytes: 256 * 1024,
            trailing_entries: 1_000,
            seed,
            faults: Faults::default(),
        }
    }
}

/// Mechanisms that tests switch off, to show that the checks notice it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Campaigns without a pre-vote, and voters with a live leader answer vote requests.
    pub no_pre_vote: bool,
    /// A leader never steps down for lack of a quorum.
    pub no_check_quorum: bool,
    /// Votes and entries are acknowledged before the sync.
    pub ack_before_sync: bool,
    /// Entries of earlier terms are committed by counting replicas.
    pub commit_any_term: bool,
    /// Reads are answered without asking a quorum.
    pub unconfirmed_reads: bool,
}
