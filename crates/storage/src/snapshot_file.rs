//! Snapshot files.
//!
//! A file holds magic (8 bytes), CRC-32 of the rest (4 bytes), length of the description
//! (4 bytes), the description as JSON, and the state. It appears under its name only once synced.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;

use crate::error::StoreError;
use crate::identity::sync_directory;
use crate::identity::write_durably;

const MAGIC: &[u8; 8] = b"spsnap01";
const PREFIX: &str = "snapshot-";
const SUFFIX: &str = ".snap";
const DESCRIPTION_OFFSET: usize = 16;

/// Saves a snapshot and deletes the older ones.
pub(crate) fn save(directory: &Path, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
    let path = directory.join(format!("{PREFIX}{:020}{SUFFIX}", meta.index));
    let description = serde_json::to_vec(meta).map_err(std::io::Error::from);
    let description = description.map_err(StoreError::io("encode", &path))?;
    let length = (description.len() as u32).to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    for part in [&length[..], &description, data] {
        hasher.update(part);
    }
    let checksum = hasher.finalize().to_le_bytes();
    write_durably(
        directory,
        &path,
        &[MAGIC, &checksum, &length, &description, data],
    )?;
    for older in list(directory)?.into_iter().filter(|found| *found < path) {
        fs::remove_file(&older).map_err(StoreError::io("delete", &older))?;
    }
    sync_directory(directory)
}

/// Reads the newest snapshot.
pub(crate) fn load(directory: &Path) -> Result<Option<Snapshot>, StoreError> {
    let Some(path) = list(directory)?.pop() else {
        return Ok(None);
    };
    let bytes = fs::read(&path).map_err(StoreError::io("read", &path))?;
    parse(&path, bytes).map(Some)
}

fn parse(path: &Path, bytes: Vec<u8>) -> Result<Snapshot, StoreError> {
    let corrupt = |offset: usize, reason: &str| StoreError::corrupt(path, offset as u64, reason);
    if bytes.len() < DESCRIPTION_OFFSET || !bytes.starts_with(MAGIC) {
        return Err(corrupt(0, "not a snapshot"));
    }
    if crc32fast::hash(&bytes[12..]).to_le_bytes() != bytes[8..12] {
        return Err(corrupt(8, "checksum mismatch"));
    }
    let mut length = [0; 4];
    length.copy_from_slice(&bytes[12..DESCRIPTION_OFFSET]);
    let data_offset = DESCRIPTION_OFFSET + u32::from_le_bytes(length) as usize;
    let description = bytes.get(DESCRIPTION_OFFSET..data_offset);
    let description = description.ok_or_else(|| corrupt(12, "wrong description length"))?;
    let meta = serde_json::from_slice(description);
    let meta = meta.map_err(|error| corrupt(DESCRIPTION_OFFSET, &error.to_string()))?;
    Ok(Snapshot {
        meta,
        data: Bytes::from(bytes).slice(data_offset..),
    })
}

/// The snapshot files, the oldest first.
pub(crate) fn list(directory: &Path) -> Result<Vec<PathBuf>, StoreError> {
    list_files(directory, PREFIX, SUFFIX)
}

/// Files with names made of a prefix, a number of fixed width and a suffix, in ascending order.
pub(crate) fn list_files(
    directory: &Path,
    prefix: &str,
    suffix: &str,
) -> Result<Vec<PathBuf>, StoreError> {
    let mut paths = Vec::new();
    for item in fs::read_dir(directory).map_err(StoreError::io("list", directory))? {
        let item = item.map_err(StoreError::io("list", directory))?;
        let name = item.file_name();
        let name = name.to_string_lossy();
        if name.starts_with(prefix) && name.ends_with(suffix) {
            paths.push(item.path());
        }
    }
    paths.sort();
    Ok(paths)
}
