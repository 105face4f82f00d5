//! A file that keeps room for the next snapshot.
//!
//! Only a snapshot lets old segments be deleted, and it needs room itself before. If the log, or
//! something else on the disk, took all of it, the store could never free any. So a file of zeros
//! is kept that is larger than the last snapshot. It is deleted when a snapshot finds no room, and
//! written again once the segments that the snapshot covers are gone.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::error::StoreError;

const FILE_NAME: &str = "reserve";
/// The least room that is kept.
const RESERVE_MIN_BYTES: u64 = 2 << 20;
/// Zeros that are written at a time.
const WRITE_BYTES: usize = 64 << 10;

/// The room that is kept on the disk.
pub(crate) struct Reserve {
    path: PathBuf,
    length_bytes: u64,
}

impl Reserve {
    /// Finds the file, if there is one.
    pub(crate) fn open(directory: &Path) -> Reserve {
        let path = directory.join(FILE_NAME);
        let length_bytes = fs::metadata(&path).map_or(0, |metadata| metadata.len());
        Reserve { path, length_bytes }
    }

    /// Keeps room for a snapshot that is somewhat larger than the last one, if the disk has it. The
    /// file grows to more than that, so that a slowly growing state does not extend it each time.
    pub(crate) fn keep(&mut self, snapshot_bytes: u64) -> Result<(), StoreError> {
        let needed_bytes = (snapshot_bytes + snapshot_bytes / 4).max(RESERVE_MIN_BYTES);
        if self.length_bytes >= needed_bytes {
            return Ok(());
        }
        let wanted_bytes = (2 * snapshot_bytes).max(RESERVE_MIN_BYTES);
        match self.extend(wanted_bytes) {
            Err(error) if error.is_out_of_space() => Ok(()),
            result => result,
        }
    }

    /// Gives the room back to the disk. Returns whether there was any.
    pub(crate) fn release(&mut self) -> Result<bool, StoreError> {
        if self.length_bytes == 0 {
            return Ok(false);
        }
        fs::remove_file(&self.path).map_err(StoreError::io("delete", &self.path))?;
        self.length_bytes = 0;
        Ok(true)
    }

    fn extend(&mut self, wanted_bytes: u64) -> Result<(), StoreError> {
        let options = OpenOptions::new().append(true).create(true).to_owned();
        let opened = options.open(&self.path);
        let mut file = opened.map_err(StoreError::write("create", &self.path))?;
        let written = write_zeros(&mut file, wanted_bytes - self.length_bytes);
        if let Err(error) = written.map_err(StoreError::write("write", &self.path)) {
            // A part that does not suffice would take the room of the log for nothing.
            file.set_len(self.length_bytes)
                .map_err(StoreError::io("truncate", &self.path))?;
            return Err(error);
        }
        self.length_bytes = wanted_bytes;
        Ok(())
    }
}

fn write_zeros(file: &mut File, count_bytes: u64) -> std::io::Result<()> {
    let zeros = vec![0; WRITE_BYTES];
    let mut left_bytes = count_bytes;
    while left_bytes > 0 {
        let now_bytes = left_bytes.min(WRITE_BYTES as u64);
        file.write_all(&zeros[..now_bytes as usize])?;
        left_bytes -= now_bytes;
    }
    file.sync_data()
}
