//! JSON-RPC method names.

/// A consensus message from one control process to another.
pub const CONSENSUS_STEP: &str = "consensus_step";
/// A request of an operator, relayed by an entry to the leader.
pub const OPERATOR: &str = "operator";
/// The renewal and report of a worker, relayed by an entry to the leader.
pub const WORKER_SYNC: &str = "worker_sync";
/// A group of request claims and outcomes from an entry to the leader.
pub const CLAIM: &str = "claim";
/// Waits for a configuration newer than the one that an entry has applied.
pub const WATCH_CONFIG: &str = "watch_config";
/// Differences of the upstream table between entries.
pub const GOSSIP: &str = "gossip";
/// The state of a process.
pub const DUMP: &str = "dump";
/// A call about queues, called workers or permits, to the leader.
pub const QUEUE: &str = "queue";
