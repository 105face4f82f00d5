//! The interface of a store.

use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::SnapshotMeta;

use crate::error::StoreError;

/// Durable records and snapshots of one member.
///
/// After an error from [`append`](LogStore::append), [`sync`](LogStore::sync) or
/// [`save_snapshot`](LogStore::save_snapshot) it is unknown what is on the disk; the process has
/// to stop and restore. [`StoreError::OutOfSpace`] is the exception: the call had no effect.
pub trait LogStore: Send {
    /// Appends records; they are durable after the next [`sync`](LogStore::sync).
    fn append(&mut self, records: &[Record]) -> Result<(), StoreError>;

    /// Makes all appended records durable.
    fn sync(&mut self) -> Result<(), StoreError>;

    /// Saves a snapshot durably; afterwards records that it contains may be deleted.
    fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError>;

    /// Reads what is stored.
    fn restore(&mut self) -> Result<PersistentState, StoreError>;
}
