//! Durable storage for the log and the snapshots of one member, in one data directory.
//!
//! [`DiskStore`] stores them in files; [`MemoryStore`] is a fake for tests that loses unsynced records
//! in a simulated crash.

mod disk;
mod error;
mod frame;
mod identity;
mod memory;
mod reserve;
mod segment;
mod snapshot_file;
mod store;

pub use crate::disk::DiskOptions;
pub use crate::disk::DiskStore;
pub use crate::error::StoreError;
pub use crate::memory::MemoryStore;
pub use crate::store::LogStore;
