//! Snapshots of this member's state.
//!
//! The state is copied on the core thread and encoded on a thread of its own, since encoding a
//! large state takes longer than a heartbeat may be late.

use std::io;
use std::thread;

use bytes::Bytes;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_state::State;

use crate::storage_thread::Job;

/// A snapshot without room is tried again after this share of the interval.
const RETRY_SHARE: u64 = 8;

/// Decides when a snapshot is due, and has it encoded.
pub(crate) struct Snapshots {
    interval_entries: u64,
    last_index: Index,
    is_busy: bool,
    work: flume::Sender<(SnapshotMeta, State)>,
}

impl Snapshots {
    /// Starts the encoding thread, which hands snapshots to the storage thread.
    pub(crate) fn start(
        interval_entries: u64,
        last_index: Index,
        jobs: flume::Sender<Job>,
    ) -> io::Result<Snapshots> {
        let (work, queue) = flume::bounded::<(SnapshotMeta, State)>(1);
        let encode = move || {
            for (meta, state) in queue {
                let data = Bytes::from(state.snapshot());
                if jobs
                    .send(Job::SaveSnapshot(Snapshot { meta, data }))
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
            work,
        })
    }

    pub(crate) fn is_due(&self, applied: Index) -> bool {
        !self.is_busy && applied >= self.last_index + self.interval_entries
    }

    pub(crate) fn take(&mut self, meta: SnapshotMeta, state: State) {
        self.is_busy = self.work.try_send((meta, state)).is_ok();
    }

    /// A snapshot of this member was saved.
    pub(crate) fn saved(&mut self, index: Index) {
        self.is_busy = false;
        self.installed(index);
    }

    /// A snapshot of this member found no room; the next one is due a while later.
    pub(crate) fn skipped(&mut self, applied: Index) {
        self.is_busy = false;
        let retry_index = applied + (self.interval_entries / RETRY_SHARE).max(1);
        self.last_index = retry_index.saturating_sub(self.interval_entries);
    }

    /// A snapshot of another member was installed.
    pub(crate) fn installed(&mut self, index: Index) {
        self.last_index = self.last_index.max(index);
    }
}
