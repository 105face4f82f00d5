//! Durable log and snapshots of one member, in one data directory.
//!
//! [`DiskStore`] keeps files; [`MemoryStore`] is a fake that loses unsynced records on a crash.

mod disk;
mod error;
mod frame;
mod identity;
mod memory;
mod segment;
mod snapshot_file;
mod store;

pub use crate::disk::DiskOptions;
pub use crate::disk::DiskStore;
pub use crate::error::StoreError;
pub use crate::memory::MemoryStore;
pub use crate::store::LogStore;
