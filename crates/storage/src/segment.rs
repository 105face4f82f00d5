//! Segment files of the log.
//!
//! Only the last segment is written to; every other segment was synced completely before the next
//! one was created. Damage in an earlier segment, or before the last synced offset, is an error.
//! Data after that offset in the last segment may be torn; it is truncated at the first damaged
//! frame. A last segment without any record was never started: its file was removed when the disk
//! was full, or the process ended while it created it. The one before it is then the last one.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::Record;

use crate::error::StoreError;
use crate::frame;
use crate::frame::Frame;
use crate::identity::sync_directory;
use crate::snapshot_file::list_files;

const MAGIC: &[u8; 8] = b"splog001";
const PREFIX: &str = "log-";
const SUFFIX: &str = ".seg";

/// A segment that is no longer written to.
pub(crate) struct SealedSegment {
    pub(crate) path: PathBuf,
    /// The greatest index of an entry in the segment; 0 if it contains no entries.
    pub(crate) max_index: Index,
}

/// The segment that records are appended to.
pub(crate) struct ActiveSegment {
    path: PathBuf,
    file: File,
    number: u64,
    length_bytes: u64,
    max_index: Index,
}

/// Contents of a segment file.
struct SegmentContent {
    records: Vec<Record>,
    /// Length of the file up to the end of the last intact frame.
    intact_bytes: u64,
}

fn segment_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{PREFIX}{number:020}{SUFFIX}"))
}

/// Lists the segment files, the oldest first.
pub(crate) fn list(directory: &Path) -> Result<Vec<PathBuf>, StoreError> {
    list_files(directory, PREFIX, SUFFIX)
}

/// Reads all segments, passes their records to `on_record`, and opens the last segment for
/// appending; creates one if there is none.
pub(crate) fn open_all(
    directory: &Path,
    mut on_record: impl FnMut(Record),
) -> Result<(Vec<SealedSegment>, ActiveSegment), StoreError> {
    let mut paths = list(directory)?;
    let mut last = paths.pop();
    if let Some(path) = last.take_if(|path| !paths.is_empty() && is_unstarted(path)) {
        remove(directory, &path)?;
        last = paths.pop();
    }
    let mut sealed = Vec::new();
    for path in paths {
        let content = read(&path, false)?;
        let max_index = max_index(&content.records);
        content.records.into_iter().for_each(&mut on_record);
        sealed.push(SealedSegment { path, max_index });
    }
    let Some(path) = last else {
        return Ok((sealed, ActiveSegment::create(directory, 1)?));
    };
    let content = read(&path, true)?;
    let max_index = max_index(&content.records);
    content.records.into_iter().for_each(&mut on_record);
    let active = ActiveSegment::reopen(directory, path, content.intact_bytes, max_index)?;
    Ok((sealed, active))
}

/// Whether a segment contains no more than its magic number.
fn is_unstarted(path: &Path) -> bool {
    fs::metadata(path).is_ok_and(|metadata| metadata.len() <= MAGIC.len() as u64)
}

/// Deletes a segment that could not be started. The deletion is durable before anything else is
/// written: if a power failure undid it, the segment before would count as complete.
fn remove(directory: &Path, path: &Path) -> Result<(), StoreError> {
    fs::remove_file(path).map_err(StoreError::io("delete", path))?;
    sync_directory(directory)
}

fn max_index(records: &[Record]) -> Index {
    let indexes = records.iter().map(|record| match record {
        Record::Entry(entry) => entry.index,
        Record::HardState(_) | Record::Reset { .. } => 0,
    });
    indexes.max().unwrap_or(0)
}

fn read(path: &Path, is_last: bool) -> Result<SegmentContent, StoreError> {
    let bytes = fs::read(path).map_err(StoreError::io("read", path))?;
    let mut content = SegmentContent {
        records: Vec::new(),
        intact_bytes: 0,
    };
    if !bytes.starts_with(MAGIC) {
        if is_last && bytes.len() < MAGIC.len() {
            // The process ended while it created the segment.
            return Ok(content);
        }
        return Err(StoreError::corrupt(path, 0, "not a log segment"));
    }
    let mut offset = MAGIC.len();
    while offset < bytes.len() {
        match frame::decode(&bytes, offset) {
            Ok((Frame::Record(record), next)) => {
                content.records.push(record);
                offset = next;
            }
            Ok((Frame::SyncMarker(_), next)) => offset = next,
            Err(error) => {
                let synced = frame::max_synced_offset(&bytes, offset);
                let is_synced = synced.is_some_and(|synced| synced > offset as u64);
                if is_synced || !is_last {
                    return Err(StoreError::corrupt(path, offset as u64, error.reason()));
                }
                break;
            }
        }
    }
    content.intact_bytes = offset as u64;
    Ok(content)
}

impl ActiveSegment {
    fn create(directory: &Path, number: u64) -> Result<ActiveSegment, StoreError> {
        let path = segment_path(directory, number);
        let options = OpenOptions::new().append(true).create(true).to_owned();
        let file = options
            .open(&path)
            .map_err(StoreError::write("create", &path))?;
        let mut active = ActiveSegment {
            path,
            file,
            number,
            length_bytes: 0,
            max_index: 0,
        };
        if let Err(error) = active.write_header(directory) {
            remove(directory, &active.path)?;
            return Err(error);
        }
        Ok(active)
    }

    fn write_header(&mut self, directory: &Path) -> Result<(), StoreError> {
        self.write(MAGIC)?;
        self.file
            .sync_all()
            .map_err(StoreError::write("sync", &self.path))?;
        sync_directory(directory)
    }

    /// Opens the last segment for appending and truncates its torn tail.
    fn reopen(
        directory: &Path,
        path: PathBuf,
        intact_bytes: u64,
        max_index: Index,
    ) -> Result<ActiveSegment, StoreError> {
        let number = segment_number(&path)?;
        let options = OpenOptions::new().append(true).to_owned();
        let file = options.open(&path).map_err(StoreError::io("open", &path))?;
        file.set_len(intact_bytes)
            .map_err(StoreError::io("truncate", &path))?;
        let length_bytes = intact_bytes;
        let mut active = ActiveSegment {
            path,
            file,
            number,
            length_bytes,
            max_index,
        };
        if intact_bytes == 0 {
            active.write(MAGIC)?;
        }
        active.sync_records()?;
        active.write_sync_marker()?;
        sync_directory(directory)?;
        Ok(active)
    }

    pub(crate) fn length_bytes(&self) -> u64 {
        self.length_bytes
    }

    /// The greatest index of an entry in the segment; 0 if it contains no entries.
    pub(crate) fn max_index(&self) -> Index {
        self.max_index
    }

    pub(crate) fn write_records(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut buffer = Vec::new();
        for record in records {
            let encoded = frame::encode_record(record, &mut buffer).map_err(std::io::Error::from);
            encoded.map_err(StoreError::io("encode a record for", &self.path))?;
        }
        self.write(&buffer)?;
        self.max_index = self.max_index.max(max_index(records));
        Ok(())
    }

    /// Writes all bytes; if the write fails, truncates the file to its former length.
    fn write(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        let written = self.file.write_all(bytes);
        if let Err(error) = written.map_err(StoreError::write("write", &self.path)) {
            self.file
                .set_len(self.length_bytes)
                .map_err(StoreError::io("truncate", &self.path))?;
            return Err(error);
        }
        self.length_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Makes the written records durable.
    pub(crate) fn sync_records(&mut self) -> Result<(), StoreError> {
        self.file
            .sync_data()
            .map_err(StoreError::io("sync", &self.path))
    }

    /// Appends a marker with the synced offset. The marker becomes durable only with the next sync,
    /// but it survives the end of the process. No marker is written at the end of a segment that is
    /// followed by another one, since a power failure could tear it.
    pub(crate) fn write_sync_marker(&mut self) -> Result<(), StoreError> {
        match self.write(&frame::encode_sync_marker(self.length_bytes)) {
            // The records are durable nevertheless; the next write reports that the disk is full.
            Err(error) if error.is_out_of_space() => Ok(()),
            result => result,
        }
    }

    /// Replaces this segment, which must be synced, with a new one that starts with `records`, and
    /// returns it as sealed. On an error this segment stays active.
    pub(crate) fn roll(
        &mut self,
        directory: &Path,
        records: &[Record],
    ) -> Result<SealedSegment, StoreError> {
        let mut next = ActiveSegment::create(directory, self.number + 1)?;
        let written = next
            .write_records(records)
            .and_then(|()| next.sync_records());
        if let Err(error) = written {
            remove(directory, &next.path)?;
            return Err(error);
        }
        let old = std::mem::replace(self, next);
        Ok(SealedSegment {
            path: old.path,
            max_index: old.max_index,
        })
    }
}

fn segment_number(path: &Path) -> Result<u64, StoreError> {
    let name = path
        .file_name()
        .map(|name| name.to_string_lossy().into_owned());
    let digits = name
        .as_deref()
        .and_then(|name| name.strip_prefix(PREFIX)?.strip_suffix(SUFFIX));
    let number = digits.and_then(|digits| digits.parse().ok());
    number.ok_or_else(|| StoreError::corrupt(path, 0, "unexpected file name"))
}
