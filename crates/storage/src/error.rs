//! Errors of a store.

use std::io;
use std::io::ErrorKind;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

/// Why a store cannot be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("cannot {action} {path}: {source}")]
    Io {
        /// What was attempted.
        action: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another process uses the directory.
    #[error("{path} is locked by another process")]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// Synced data is damaged. Starting without it could break a promise to other members.
    #[error("{path} is damaged at offset {offset}: {reason}")]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where the damaged part starts, in bytes.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// The directory holds data but no identity.
    #[error("{path} holds a log but no identity file")]
    NoIdentity {
        /// The directory.
        path: PathBuf,
    },
    /// The disk has no room. Nothing of the call was written; it may be tried again later.
    #[error("no space left to {action} {path}: {source}")]
    OutOfSpace {
        /// What was attempted.
        action: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// An earlier write or sync failed, so it is unknown what is on the disk.
    #[error("an earlier write or sync failed")]
    Failed,
}

impl StoreError {
    pub(crate) fn io(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
        let path = path.to_owned();
        move |source| StoreError::Io {
            action,
            path,
            source,
        }
    }

    /// Like [`StoreError::io`], for a write that leaves nothing behind if there is no room.
    pub(crate) fn write(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> StoreError {
        let path = path.to_owned();
        move |source| match source.kind() {
            ErrorKind::StorageFull | ErrorKind::QuotaExceeded | ErrorKind::FileTooLarge => {
                StoreError::OutOfSpace {
                    action,
                    path,
                    source,
                }
            }
            _ => StoreError::io(action, &path)(source),
        }
    }

    /// Whether the call had no effect and may succeed once the disk has room.
    pub fn is_out_of_space(&self) -> bool {
        matches!(self, StoreError::OutOfSpace { .. })
    }

    pub(crate) fn corrupt(path: &Path, offset: u64, reason: impl Into<String>) -> StoreError {
        StoreError::Corrupt {
            path: path.to_owned(),
            offset,
            reason: reason.into(),
        }
    }
}
