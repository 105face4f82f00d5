//! Snapshots of this member's state.
//!
//! The state is copied on the core thread and encoded on a separate thread, since encoding a large
//! state would delay heartbeats for too long.

use std::io;
use std::thread;

use bytes::Bytes;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_state::State;
use sapphirepost_types::Millis;

use crate::storage_thread::StorageRequest;
use crate::storage_thread::StorageSender;

/// After a snapshot found the disk out of space, the next one is due no earlier than this.
const RETRY_INTERVAL_MS: u64 = 4_000;
/// New entries wait for a snapshot in progress once the entries since the last one have this many
/// times the size at which one is due.
const LONG_LOG_FACTOR: usize = 2;

/// How much of the log is applied between two snapshots; either limit makes one due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SnapshotInterval {
    pub(crate) entries: u64,
    /// The size of the entries, which the log holds on the disk and in memory until the snapshot.
    pub(crate) bytes: usize,
}

/// Decides when a snapshot is due, and passes it to the encoding thread.
pub(crate) struct Snapshots {
    interval: SnapshotInterval,
    last_index: Index,
    /// Size of the entries that were applied after the last snapshot was taken.
    applied_bytes: usize,
    /// Size of the entries that the snapshot in progress frees.
    in_progress_bytes: usize,
    is_busy: bool,
    /// Whether the disk has no room for records: a snapshot is due whatever was applied.
    is_disk_full: bool,
    retry_at: Millis,
    encoder: flume::Sender<(SnapshotMeta, State)>,
}

impl Snapshots {
    /// Starts the encoding thread, which hands snapshots to the storage thread.
    pub(crate) fn start(
        interval: SnapshotInterval,
        last_index: Index,
        storage_requests: StorageSender,
    ) -> io::Result<Snapshots> {
        let (encoder, queue) = flume::bounded::<(SnapshotMeta, State)>(1);
        let encode = move || {
            for (meta, state) in queue {
                let data = Bytes::from(state.snapshot());
                if storage_requests
                    .send(StorageRequest::SaveSnapshot(Snapshot { meta, data }))
                    .is_err()
                {
                    return;
                }
            }
        };
        thread::Builder::new()
            .name("snapshot".to_owned())
            .spawn(encode)?;
        Ok(Snapshots {
            interval,
            last_index,
            applied_bytes: 0,
            in_progress_bytes: 0,
            is_busy: false,
            is_disk_full: false,
            retry_at: Millis(0),
            encoder,
        })
    }

    /// An entry was applied.
    pub(crate) fn record_applied(&mut self, size_bytes: usize) {
        self.applied_bytes += size_bytes;
    }

    pub(crate) fn is_due(&self, now: Millis, applied: Index) -> bool {
        if self.is_busy || applied <= self.last_index || now < self.retry_at {
            return false;
        }
        self.is_disk_full
            || applied >= self.last_index + self.interval.entries
            || self.applied_bytes >= self.interval.bytes
    }

    pub(crate) fn take(&mut self, meta: SnapshotMeta, state: State) {
        self.is_busy = self.encoder.try_send((meta, state)).is_ok();
        if self.is_busy {
            self.in_progress_bytes = std::mem::take(&mut self.applied_bytes);
        }
    }

    /// Size of the applied entries that no saved snapshot covers.
    pub(crate) fn log_bytes(&self) -> usize {
        self.applied_bytes + self.in_progress_bytes
    }

    /// Whether the log grows faster than its snapshot in progress is saved, so that new entries
    /// have to wait.
    pub(crate) fn is_log_too_long(&self) -> bool {
        self.is_busy && self.log_bytes() >= LONG_LOG_FACTOR.saturating_mul(self.interval.bytes)
    }

    /// A snapshot that this member has taken was saved.
    pub(crate) fn saved(&mut self, index: Index) {
        self.is_busy = false;
        self.in_progress_bytes = 0;
        self.last_index = self.last_index.max(index);
    }

    /// A snapshot that this member has taken was not saved because the disk is out of space.
    pub(crate) fn skipped(&mut self, now: Millis) {
        self.is_busy = false;
        self.applied_bytes += std::mem::take(&mut self.in_progress_bytes);
        self.retry_at = now + RETRY_INTERVAL_MS;
    }

    /// A snapshot of another member was installed.
    pub(crate) fn installed(&mut self, index: Index) {
        self.last_index = self.last_index.max(index);
        self.applied_bytes = 0;
    }

    /// Whether the disk has room for records has changed. If it has none, a snapshot is due at
    /// once, since only that frees some.
    pub(crate) fn set_disk_full(&mut self, is_full: bool) {
        self.is_disk_full = is_full;
        self.retry_at = Millis(0);
    }
}
