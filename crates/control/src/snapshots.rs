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

use crate::storage_thread::StorageRequest;
use crate::storage_thread::StorageSender;

/// After a snapshot found the disk out of space, the next one is due after the interval divided by
/// this.
const RETRY_INTERVAL_DIVISOR: u64 = 8;

/// Decides when a snapshot is due, and passes it to the encoding thread.
pub(crate) struct Snapshots {
    interval_entries: u64,
    last_index: Index,
    is_busy: bool,
    encoder: flume::Sender<(SnapshotMeta, State)>,
}

impl Snapshots {
    /// Starts the encoding thread, which hands snapshots to the storage thread.
    pub(crate) fn start(
        interval_entries: u64,
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
            interval_entries,
            last_index,
            is_busy: false,
            encoder,
        })
    }

    pub(crate) fn is_due(&self, applied: Index) -> bool {
        !self.is_busy && applied >= self.last_index + self.interval_entries
    }

    pub(crate) fn take(&mut self, meta: SnapshotMeta, state: State) {
        self.is_busy = self.encoder.try_send((meta, state)).is_ok();
    }

    /// A snapshot that this member has taken was saved.
    pub(crate) fn saved(&mut self, index: Index) {
        self.is_busy = false;
        self.installed(index);
    }

    /// A snapshot that this member has taken was not saved because the disk is out of space. The
    /// next one is due after a part of the interval.
    pub(crate) fn skipped(&mut self, applied: Index) {
        self.is_busy = false;
        let retry_index = applied + (self.interval_entries / RETRY_INTERVAL_DIVISOR).max(1);
        self.last_index = retry_index.saturating_sub(self.interval_entries);
    }

    /// A snapshot of another member was installed.
    pub(crate) fn installed(&mut self, index: Index) {
        self.last_index = self.last_index.max(index);
    }
}
