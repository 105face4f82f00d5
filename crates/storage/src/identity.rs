//! The identity of a member, generated when its data directory is created.
//!
//! An empty directory is given a new identity: a member that lost its disk has also lost its votes
//! and entries, so it must not act under the old identity.
//!
//! The module also contains the functions that write files durably.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::path::Path;

use sapphirepost_types::MemberId;
use serde::Deserialize;
use serde::Serialize;

use crate::error::StoreError;

const FILE_NAME: &str = "identity.json";

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Identity {
    member: MemberId,
    /// CRC-32 of the member number in decimal.
    checksum: u32,
}

fn checksum(member: MemberId) -> u32 {
    crc32fast::hash(member.0.to_string().as_bytes())
}

/// Reads the identity, or creates one if the directory is new: `new_member` or a random one. With
/// `has_data`, the directory is not new, so a missing identity is an error.
pub(crate) fn load_or_create(
    directory: &Path,
    has_data: bool,
    new_member: Option<MemberId>,
) -> Result<MemberId, StoreError> {
    let path = directory.join(FILE_NAME);
    match fs::read(&path) {
        Ok(bytes) => parse(&path, &bytes),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            if has_data {
                return Err(StoreError::NoIdentity {
                    path: directory.to_owned(),
                });
            }
            create(directory, &path, new_member)
        }
        Err(error) => Err(StoreError::io("read", &path)(error)),
    }
}

fn parse(path: &Path, bytes: &[u8]) -> Result<MemberId, StoreError> {
    let parsed: Result<Identity, _> = serde_json::from_slice(bytes);
    let identity = parsed.map_err(|error| StoreError::corrupt(path, 0, error.to_string()))?;
    if identity.checksum != checksum(identity.member) {
        return Err(StoreError::corrupt(path, 0, "checksum mismatch"));
    }
    Ok(identity.member)
}

fn create(
    directory: &Path,
    path: &Path,
    new_member: Option<MemberId>,
) -> Result<MemberId, StoreError> {
    // At most 2^53 - 1, so that programs that read JSON numbers as floating point preserve the value.
    let member = new_member.unwrap_or_else(|| MemberId(rand::random_range(1..1 << 53)));
    let identity = Identity {
        member,
        checksum: checksum(member),
    };
    let text = serde_json::to_vec(&identity).map_err(std::io::Error::from);
    let text = text.map_err(StoreError::io("encode", path))?;
    write_durably(directory, path, &[&text])?;
    Ok(member)
}

/// Writes a file atomically and durably: after a crash it exists completely or not at all.
pub(crate) fn write_durably(
    directory: &Path,
    path: &Path,
    parts: &[&[u8]],
) -> Result<(), StoreError> {
    let temporary_path = path.with_extension("tmp");
    if let Err(error) = write_synced(&temporary_path, parts) {
        // A partial file would take up space that the log needs.
        let _ = fs::remove_file(&temporary_path);
        return Err(error);
    }
    fs::rename(&temporary_path, path).map_err(StoreError::io("rename", &temporary_path))?;
    sync_directory(directory)
}

fn write_synced(path: &Path, parts: &[&[u8]]) -> Result<(), StoreError> {
    let mut file = File::create(path).map_err(StoreError::write("create", path))?;
    for part in parts {
        file.write_all(part)
            .map_err(StoreError::write("write", path))?;
    }
    file.sync_all().map_err(StoreError::write("sync", path))
}

/// Syncs a directory, so that created, renamed and deleted files in it are durable.
pub(crate) fn sync_directory(directory: &Path) -> Result<(), StoreError> {
    let handle = File::open(directory).map_err(StoreError::io("open", directory))?;
    handle.sync_all().map_err(StoreError::io("sync", directory))
}
