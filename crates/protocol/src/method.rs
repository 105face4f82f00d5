//! Names of the JSON-RPC methods of the inner protocol.

/// A consensus message from one control process to another.
pub const CONSENSUS_STEP: &str = "consensus_step";
/// A request of an operator that an entry forwards to the leader.
pub const OPERATOR: &str = "operator";
/// The lease renewal and task report of a worker, which an entry forwards to the leader.
pub const WORKER_SYNC: &str = "worker_sync";
/// A batch of claims and outcomes of requests, from an entry to the leader.
pub const CLAIM: &str = "claim";
/// Long poll of an entry for a configuration newer than the one that it has applied.
pub const WATCH_CONFIG: &str = "watch_config";
/// Changes of the upstream table, from one entry to another.
pub const GOSSIP: &str = "gossip";
/// Returns the state of a control process for diagnosis.
pub const DUMP: &str = "dump";
/// A call to the leader about queues, the workers that run their jobs, placement permits or a
/// control process that joins.
pub const QUEUE: &str = "queue";
