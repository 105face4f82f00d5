//! A fake store for tests that loses unsynced records in a simulated crash.

use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;

use crate::error::StoreError;
use crate::store::LogStore;

/// An in-memory store for tests.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    durable: PersistentState,
    unsynced: Vec<Record>,
    is_sync_failing: bool,
}

impl MemoryStore {
    /// An empty store.
    pub fn new() -> MemoryStore {
        MemoryStore::default()
    }

    /// Simulates a crash: of the unsynced records only the first `surviving` ones remain.
    pub fn crash(&mut self, surviving: usize) {
        let records: Vec<Record> = self.unsynced.drain(..).take(surviving).collect();
        records
            .into_iter()
            .for_each(|record| self.durable.apply(record));
    }

    /// Number of records that are not synced and that a crash could lose.
    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    /// Makes all later syncs fail with [`StoreError::Failed`]; the unsynced records stay unsynced.
    pub fn fail_syncs(&mut self) {
        self.is_sync_failing = true;
    }
}

impl LogStore for MemoryStore {
    fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        self.unsynced.extend_from_slice(records);
        Ok(())
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        if self.is_sync_failing {
            return Err(StoreError::Failed);
        }
        let records = std::mem::take(&mut self.unsynced);
        records
            .into_iter()
            .for_each(|record| self.durable.apply(record));
        Ok(())
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
        let newest = self.durable.snapshot.as_ref().map_or(0, |s| s.meta.index);
        if meta.index < newest {
            return Ok(());
        }
        let data = bytes::Bytes::copy_from_slice(data);
        self.durable.install(Snapshot {
            meta: meta.clone(),
            data,
        });
        Ok(())
    }

    fn restore(&mut self) -> Result<PersistentState, StoreError> {
        let mut restored = self.durable.clone();
        if let Some(snapshot) = restored.snapshot.clone() {
            // Records of entries that the snapshot covers may have been synced after it.
            restored.install(snapshot);
        }
        self.durable = restored.clone();
        Ok(restored)
    }
}
