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
        /// The operation that failed, as a verb.
        action: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// Error of the operating system, or of the encoder.
        source: io::Error,
    },
    /// Another process uses the data directory.
    #[error("{path} is locked by another process")]
    Locked {
        /// The lock file.
        path: PathBuf,
    },
    /// Synced data is damaged. Starting without it could violate a vote or an acknowledgement that
    /// this member has given to other members.
    #[error("{path} is damaged at offset {offset}: {reason}")]
    Corrupt {
        /// The damaged file; for a gap in the log, the data directory.
        path: PathBuf,
        /// Where the damaged part starts, in bytes; 0 if it is not known.
        offset: u64,
        /// What was found to be wrong there.
        reason: String,
    },
    /// The data directory contains a log or a snapshot, but no identity file.
    #[error("{path} contains a log or a snapshot, but no identity file")]
    NoIdentity {
        /// The data directory.
        path: PathBuf,
    },
    /// The disk is full. Nothing of the call remains on the disk; it may be retried later.
    #[error("no space left to {action} {path}: {source}")]
    OutOfSpace {
        /// The operation that failed, as a verb.
        action: &'static str,
        /// The file that was written.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the contents of the disk are unknown. Also returned if
    /// the state is restored twice, or after a write.
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

    /// Like [`StoreError::io`], for a write that the caller undoes if the disk is full.
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

    /// Whether the call had no effect and may succeed once the disk has space again.
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
