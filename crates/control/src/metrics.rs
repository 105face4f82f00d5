//! Metrics of the control process.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use sapphirepost_process::metrics::Metrics;

/// Metrics of the core and storage threads.
#[derive(Clone, Debug, Default)]
pub struct CoreMetrics {
    /// The current term of this member.
    pub term: Gauge,
    /// 1 while this member leads.
    pub is_leader: Gauge,
    /// The highest index known to be committed.
    pub commit: Gauge,
    /// The index of the last entry applied to the state.
    pub applied: Gauge,
    /// Log entries with commands that this member has proposed.
    pub proposals: Counter,
    /// Syncs of the log; one may cover many records.
    pub syncs: Counter,
    /// Log records made durable by these syncs.
    pub synced_records: Counter,
    /// Size of the applied log entries that no snapshot covers.
    pub log_bytes: Gauge,
    /// The size of these entries at which a snapshot is due.
    pub log_bytes_due: Gauge,
    /// Size of the last snapshot that this member has taken and saved.
    pub snapshot_bytes: Gauge,
    /// Snapshots that the disk had no room for.
    pub snapshots_skipped: Counter,
}

impl CoreMetrics {
    /// Registers all metrics under their exported names.
    pub fn register(metrics: &Metrics) -> CoreMetrics {
        CoreMetrics {
            term: metrics.register("control_term", "Current term", Gauge::default()),
            is_leader: metrics.register("control_is_leader", "1 while leading", Gauge::default()),
            commit: metrics.register("control_commit_index", "Commit index", Gauge::default()),
            applied: metrics.register("control_applied_index", "Applied index", Gauge::default()),
            proposals: metrics.register(
                "control_proposals",
                "Commands proposed",
                Counter::default(),
            ),
            syncs: metrics.register("control_syncs", "Syncs of the log", Counter::default()),
            synced_records: metrics.register(
                "control_synced_records",
                "Log records made durable",
                Counter::default(),
            ),
            log_bytes: metrics.register(
                "control_log_bytes",
                "Size of the applied log entries that no snapshot covers",
                Gauge::default(),
            ),
            log_bytes_due: metrics.register(
                "control_log_bytes_due",
                "Size of these entries at which a snapshot is due",
                Gauge::default(),
            ),
            snapshot_bytes: metrics.register(
                "control_snapshot_bytes",
                "Size of the last snapshot of this member",
                Gauge::default(),
            ),
            snapshots_skipped: metrics.register(
                "control_snapshots_skipped",
                "Snapshots that the disk had no room for",
                Counter::default(),
            ),
        }
    }
}
