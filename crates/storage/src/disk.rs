//! The store on disk.
//!
//! The data directory contains `lock`, `identity.json`, `log-<number>.seg`, `snapshot-<index>.snap`
//! and `reserve`, which keeps room for the next snapshot. A failed sync of the log, or a write that
//! fails for any reason but a full disk, makes the store unusable, since the operating system may
//! have dropped the pages that it could not write.

use std::fs;
use std::fs::File;
use std::fs::TryLockError;
use std::path::Path;
use std::path::PathBuf;

use sapphirepost_consensus::HardState;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_types::MemberId;

use crate::error::StoreError;
use crate::identity;
use crate::reserve::Reserve;
use crate::segment;
use crate::segment::ActiveSegment;
use crate::segment::SealedSegment;
use crate::snapshot_file;
use crate::store::LogStore;

const LOCK_FILE_NAME: &str = "lock";

/// Configuration of a [`DiskStore`].
#[derive(Clone, Debug)]
pub struct DiskOptions {
    /// Size at which a segment is sealed and a new one is started; checked after each sync.
    pub segment_bytes: u64,
    /// Identity for a new directory; if `None`, it is chosen at random. Ignored if the directory has an
    /// identity.
    pub new_member: Option<MemberId>,
}

impl Default for DiskOptions {
    fn default() -> DiskOptions {
        DiskOptions {
            segment_bytes: 16 * 1024 * 1024,
            new_member: None,
        }
    }
}

/// A store in a data directory, which it locks against use by other processes.
pub struct DiskStore {
    directory: PathBuf,
    options: DiskOptions,
    member: MemberId,
    sealed: Vec<SealedSegment>,
    active: ActiveSegment,
    reserve: Reserve,
    /// The last entry that the newest snapshot covers; 0 if there is none.
    snapshot_index: Index,
    /// The latest appended hard state.
    hard_state: Option<HardState>,
    /// The state found when the store was opened, until it is returned or the first write.
    restored: Option<PersistentState>,
    is_failed: bool,
    /// Keeps the directory locked until the store is dropped.
    _lock: File,
}

impl DiskStore {
    /// Opens a data directory, or creates it with a new identity.
    pub fn open(directory: &Path, options: DiskOptions) -> Result<DiskStore, StoreError> {
        create_directory(directory)?;
        let lock = lock(directory)?;
        let has_log = !segment::list(directory)?.is_empty();
        let has_data = has_log || !snapshot_file::list(directory)?.is_empty();
        let member = identity::load_or_create(directory, has_data, options.new_member)?;
        let snapshot = snapshot_file::load(directory)?;
        let mut restored = PersistentState::default();
        let mut hard_state = None;
        let (sealed, active) = segment::open_all(directory, |record| {
            if let Record::HardState(found) = &record {
                hard_state = Some(*found);
            }
            restored.apply(record);
        })?;
        let mut snapshot_index = 0;
        let mut reserve = Reserve::open(directory);
        reserve.keep(snapshot.as_ref().map_or(0, |found| found.data.len() as u64))?;
        if let Some(snapshot) = snapshot {
            snapshot_index = snapshot.meta.index;
            restored.install(snapshot);
        }
        check_sequence(directory, &restored)?;
        Ok(DiskStore {
            directory: directory.to_owned(),
            options,
            member,
            sealed,
            active,
            reserve,
            snapshot_index,
            hard_state,
            restored: Some(restored),
            is_failed: false,
            _lock: lock,
        })
    }

    /// ID of the member that the directory belongs to.
    pub fn member(&self) -> MemberId {
        self.member
    }

    /// Runs a write operation. After any error but a full disk, all later calls fail.
    fn run_write(
        &mut self,
        write: impl FnOnce(&mut DiskStore) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.is_failed {
            return Err(StoreError::Failed);
        }
        self.restored = None;
        let result = write(self);
        self.is_failed = result.as_ref().is_err_and(|error| !error.is_out_of_space());
        result
    }

    /// Starts a new segment. It begins with the latest hard state, so that older segments can be
    /// deleted. Returns false if the disk is full; the current segment then stays in use.
    fn roll(&mut self) -> Result<bool, StoreError> {
        let hard_state = self.hard_state.map(Record::HardState);
        match self.active.roll(&self.directory, hard_state.as_slice()) {
            Ok(sealed) => self.sealed.push(sealed),
            Err(error) if error.is_out_of_space() => return Ok(false),
            Err(error) => return Err(error),
        }
        Ok(true)
    }

    /// Saves a snapshot that found the disk full with `error`, in the room that is kept for it. The
    /// segment in use is replaced if the snapshot covers it, so that it can be deleted as well.
    fn save_snapshot_on_full_disk(
        &mut self,
        meta: &SnapshotMeta,
        data: &[u8],
        error: StoreError,
    ) -> Result<(), StoreError> {
        if !self.reserve.release()? {
            return Err(error);
        }
        if let Err(error) = snapshot_file::save(&self.directory, meta, data) {
            self.reserve.keep(data.len() as u64)?;
            return Err(error);
        }
        if self.active.max_index() <= meta.index {
            self.active.sync_records()?;
            self.roll()?;
        }
        Ok(())
    }

    /// Deletes the oldest segments up to the first one with entries that the snapshot does not cover.
    fn delete_obsolete_segments(&mut self, snapshot_index: Index) -> Result<(), StoreError> {
        let is_obsolete = |segment: &&SealedSegment| segment.max_index <= snapshot_index;
        let count = self.sealed.iter().take_while(is_obsolete).count();
        for segment in self.sealed.drain(..count) {
            fs::remove_file(&segment.path).map_err(StoreError::io("delete", &segment.path))?;
        }
        if count > 0 {
            identity::sync_directory(&self.directory)?;
        }
        Ok(())
    }
}

impl LogStore for DiskStore {
    fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        self.run_write(|store| {
            store.active.write_records(records)?;
            for record in records {
                if let Record::HardState(hard_state) = record {
                    store.hard_state = Some(*hard_state);
                }
            }
            Ok(())
        })
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.run_write(|store| {
            store.active.sync_records()?;
            let is_due = store.active.length_bytes() >= store.options.segment_bytes;
            if is_due && store.roll()? {
                return Ok(());
            }
            store.active.write_sync_marker()
        })
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
        self.run_write(|store| {
            if meta.index < store.snapshot_index {
                return Ok(());
            }
            match snapshot_file::save(&store.directory, meta, data) {
                Err(error) if error.is_out_of_space() => {
                    store.save_snapshot_on_full_disk(meta, data, error)?;
                }
                result => result?,
            }
            store.snapshot_index = meta.index;
            store.delete_obsolete_segments(meta.index)?;
            store.reserve.keep(data.len() as u64)
        })
    }

    fn restore(&mut self) -> Result<PersistentState, StoreError> {
        self.restored.take().ok_or(StoreError::Failed)
    }
}

fn create_directory(directory: &Path) -> Result<(), StoreError> {
    if directory.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(directory).map_err(StoreError::io("create", directory))?;
    match directory.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => identity::sync_directory(parent),
        _ => Ok(()),
    }
}

fn lock(directory: &Path) -> Result<File, StoreError> {
    let path = directory.join(LOCK_FILE_NAME);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path);
    let file = file.map_err(StoreError::io("open", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path }),
        Err(TryLockError::Error(error)) => Err(StoreError::io("lock", &path)(error)),
    }
}

/// Checks that the entries follow the snapshot without gaps and that terms never decrease. Detects a
/// missing segment only if entries after it remain.
fn check_sequence(directory: &Path, restored: &PersistentState) -> Result<(), StoreError> {
    let meta = restored.snapshot.as_ref().map(|snapshot| &snapshot.meta);
    let (mut index, mut term) = meta.map_or((0, 0), |meta| (meta.index, meta.term));
    for entry in &restored.entries {
        if entry.index != index + 1 || entry.term < term {
            let reason = format!(
                "entry {} does not continue the log after entry {index}",
                entry.index
            );
            return Err(StoreError::corrupt(directory, 0, reason));
        }
        (index, term) = (entry.index, entry.term);
    }
    Ok(())
}
