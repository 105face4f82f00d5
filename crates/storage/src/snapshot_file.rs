//! Snapshot files.
//!
//! A file consists of a magic number (8 bytes), a CRC-32 of everything after it (4 bytes), the length
//! of the metadata (4 bytes), the metadata as JSON, and the state. It is written under a temporary
//! name and renamed only once it is synced.
//!
//! The module also lists the numbered files of a directory.

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
const METADATA_OFFSET: usize = 16;

/// Makes a snapshot durable and deletes the older ones.
pub(crate) fn save(directory: &Path, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
    let path = directory.join(format!("{PREFIX}{:020}{SUFFIX}", meta.index));
    let metadata = serde_json::to_vec(meta).map_err(std::io::Error::from);
    let metadata = metadata.map_err(StoreError::io("encode", &path))?;
    let length = (metadata.len() as u32).to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    for part in [&length[..], &metadata, data] {
        hasher.update(part);
    }
    let checksum = hasher.finalize().to_le_bytes();
    write_durably(
        directory,
        &path,
        &[MAGIC, &checksum, &length, &metadata, data],
    )?;
    for older in list(directory)?.into_iter().filter(|found| *found < path) {
        fs::remove_file(&older).map_err(StoreError::io("delete", &older))?;
    }
    sync_directory(directory)
}

/// Reads the newest snapshot, if there is one.
pub(crate) fn load(directory: &Path) -> Result<Option<Snapshot>, StoreError> {
    let Some(path) = list(directory)?.pop() else {
        return Ok(None);
    };
    let bytes = fs::read(&path).map_err(StoreError::io("read", &path))?;
    parse(&path, bytes).map(Some)
}

fn parse(path: &Path, bytes: Vec<u8>) -> Result<Snapshot, StoreError> {
    let corrupt = |offset: usize, reason: &str| StoreError::corrupt(path, offset as u64, reason);
    if bytes.len() < METADATA_OFFSET || !bytes.starts_with(MAGIC) {
        return Err(corrupt(0, "not a snapshot file"));
    }
    if crc32fast::hash(&bytes[12..]).to_le_bytes() != bytes[8..12] {
        return Err(corrupt(8, "checksum mismatch"));
    }
    let mut length = [0; 4];
    length.copy_from_slice(&bytes[12..METADATA_OFFSET]);
    let data_offset = METADATA_OFFSET + u32::from_le_bytes(length) as usize;
    let metadata = bytes.get(METADATA_OFFSET..data_offset);
    let metadata = metadata.ok_or_else(|| corrupt(12, "metadata length exceeds the file"))?;
    let meta = serde_json::from_slice(metadata);
    let meta = meta.map_err(|error| corrupt(METADATA_OFFSET, &error.to_string()))?;
    Ok(Snapshot {
        meta,
        data: Bytes::from(bytes).slice(data_offset..),
    })
}

/// Lists the snapshot files, the oldest first.
pub(crate) fn list(directory: &Path) -> Result<Vec<PathBuf>, StoreError> {
    list_files(directory, PREFIX, SUFFIX)
}

/// Lists the files whose names start with `prefix` and end with `suffix`, in ascending order of their
/// names. The names contain a number of fixed width, so this is the order of the numbers.
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
