//! The storage interface.

use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::SnapshotMeta;

use crate::error::StoreError;

/// Durable storage for the records and snapshots of one member.
///
/// After an error from [`append`](LogStore::append), [`sync`](LogStore::sync) or
/// [`save_snapshot`](LogStore::save_snapshot) the contents of the disk are unknown: the process has
/// to stop and restore them at its next start. The exception is [`StoreError::OutOfSpace`]: the
/// call had no effect.
pub trait LogStore: Send {
    /// Appends records; they are durable after the next [`sync`](LogStore::sync).
    fn append(&mut self, records: &[Record]) -> Result<(), StoreError>;

    /// Makes all appended records durable.
    fn sync(&mut self) -> Result<(), StoreError>;

    /// Makes a snapshot durable; afterwards records that it covers may be deleted. A snapshot older
    /// than the newest one is ignored. The snapshot may cover entries that are not appended yet.
    fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError>;

    /// Returns the stored state. [`DiskStore`](crate::DiskStore) returns it only once, and only before
    /// the first write.
    fn restore(&mut self) -> Result<PersistentState, StoreError>;
}
