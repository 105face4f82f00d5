//! Tests of the store on disk: damage, torn tails, locks and identities.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use proptest::prelude::*;
use tempfile::TempDir;

use sapphirepost_consensus::Entry;
use sapphirepost_consensus::HardState;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_storage::DiskOptions;
use sapphirepost_storage::DiskStore;
use sapphirepost_storage::LogStore;
use sapphirepost_storage::StoreError;

fn entry(index: u64, term: u64) -> Record {
    let payload = Payload::Command(format!("entry {index} of term {term}").into());
    Record::Entry(Entry {
        index,
        term,
        payload,
    })
}

fn hard_state(term: u64) -> Record {
    Record::HardState(HardState {
        group: None,
        term,
        voted_for: None,
    })
}

fn open(directory: &Path) -> Result<DiskStore, StoreError> {
    DiskStore::open(
        directory,
        DiskOptions {
            segment_bytes: 400,
            ..DiskOptions::default()
        },
    )
}

fn restore(directory: &Path) -> Result<PersistentState, StoreError> {
    open(directory)?.restore()
}

/// Guards against unsynced bytes at the end of a segment that is no longer written to: a power
/// failure could tear them, and the store would then report the segment as damaged.
#[test]
fn a_sealed_segment_has_no_unsynced_tail() {
    let directory = TempDir::new().unwrap();
    let mut store = open(directory.path()).unwrap();
    let size = |path: &Path| fs::metadata(path).unwrap().len();
    for index in 1..=20 {
        store.append(&[entry(index, 1)]).unwrap();
        let active = files(directory.path(), ".seg").pop().unwrap();
        let synced_bytes = size(&active);
        store.sync().unwrap();
        let is_sealed = files(directory.path(), ".seg").last() != Some(&active);
        if is_sealed {
            assert_eq!(size(&active), synced_bytes, "at entry {index}");
        }
    }
    assert!(files(directory.path(), ".seg").len() > 2);
}

fn files(directory: &Path, suffix: &str) -> Vec<PathBuf> {
    let items = fs::read_dir(directory)
        .unwrap()
        .map(|item| item.unwrap().path());
    let mut found: Vec<_> = items
        .filter(|path| path.to_string_lossy().ends_with(suffix))
        .collect();
    found.sort();
    found
}

/// Writes and syncs `synced` batches of two entries, then writes one entry without a sync. Returns
/// the synced state.
fn write(directory: &Path, synced: u64) -> PersistentState {
    let mut store = open(directory).unwrap();
    let mut expected = store.restore().unwrap();
    for batch in 0..synced {
        let records = [
            hard_state(batch + 1),
            entry(2 * batch + 1, batch + 1),
            entry(2 * batch + 2, batch + 1),
        ];
        store.append(&records).unwrap();
        store.sync().unwrap();
        records
            .into_iter()
            .for_each(|record| expected.apply(record));
    }
    store.append(&[entry(2 * synced + 1, synced + 1)]).unwrap();
    expected
}

/// Removes the last, unsynced entry, which may or may not have survived.
fn without_unsynced_entry(
    mut restored: PersistentState,
    expected: &PersistentState,
) -> PersistentState {
    restored.entries.truncate(expected.entries.len());
    restored
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a start that silently loses synced records after a bit flip anywhere in the log.
    #[test]
    fn damage_is_reported_or_affects_no_synced_record(synced in 1u64..12, position in any::<prop::sample::Index>(), bit in 0u8..8) {
        let directory = TempDir::new().unwrap();
        let expected = write(directory.path(), synced);
        let logs = files(directory.path(), ".seg");
        let sizes: Vec<usize> = logs.iter().map(|path| fs::read(path).unwrap().len()).collect();
        let mut offset = position.index(sizes.iter().sum());
        let mut file = 0;
        while offset >= sizes[file] {
            offset -= sizes[file];
            file += 1;
        }
        let mut bytes = fs::read(&logs[file]).unwrap();
        bytes[offset] ^= 1 << bit;
        fs::write(&logs[file], &bytes).unwrap();
        match restore(directory.path()) {
            Ok(restored) => prop_assert_eq!(without_unsynced_entry(restored, &expected), expected),
            Err(StoreError::Corrupt { path, offset: reported, .. }) => {
                prop_assert_eq!(&path, &logs[file]);
                prop_assert!(reported as usize <= offset);
            }
            Err(error) => prop_assert!(false, "unexpected error {error}"),
        }
    }

    /// Guards against a refused start, or a lost synced record, after an incomplete write.
    #[test]
    fn a_torn_tail_is_truncated(synced in 1u64..12, cut in any::<prop::sample::Index>(), garbage in any::<Vec<u8>>()) {
        let directory = TempDir::new().unwrap();
        let expected = write(directory.path(), synced);
        let log = files(directory.path(), ".seg").pop().unwrap();
        let mut bytes = fs::read(&log).unwrap();
        let unsynced = 2 * synced + 1;
        let text = format!("\"index\":{unsynced},");
        let body = bytes.windows(text.len()).rposition(|window| window == text.as_bytes()).unwrap();
        let complete = bytes.clone();
        bytes.truncate(body + cut.index(bytes.len() - body));
        bytes.extend(garbage);
        // Random bytes may restore the record.
        prop_assume!(!bytes.starts_with(&complete));
        fs::write(&log, &bytes).unwrap();
        prop_assert_eq!(restore(directory.path()).unwrap(), expected.clone());
        // The store continues after the truncation.
        let mut store = open(directory.path()).unwrap();
        store.append(&[entry(unsynced, 90)]).unwrap();
        store.sync().unwrap();
        drop(store);
        let restored = restore(directory.path()).unwrap();
        prop_assert_eq!(restored.entries.last().map(|entry| entry.term), Some(90));
    }
}

/// Guards against entries that reappear after they were replaced.
#[test]
fn replaced_entries_do_not_reappear() {
    let directory = TempDir::new().unwrap();
    let mut store = open(directory.path()).unwrap();
    store
        .append(&[entry(1, 1), entry(2, 1), entry(3, 1)])
        .unwrap();
    store.append(&[entry(2, 2)]).unwrap();
    store.sync().unwrap();
    drop(store);
    let terms: Vec<u64> = restore(directory.path())
        .unwrap()
        .entries
        .iter()
        .map(|entry| entry.term)
        .collect();
    assert_eq!(terms, [1, 2]);
}

/// Guards against stale entries that survive a received snapshot, against segments that are never
/// deleted, and against a damaged snapshot that is not detected.
#[test]
fn a_snapshot_replaces_earlier_entries() {
    let directory = TempDir::new().unwrap();
    write(directory.path(), 12);
    let before = files(directory.path(), ".seg").len();
    let mut store = open(directory.path()).unwrap();
    let meta = SnapshotMeta {
        index: 23,
        term: 50,
        membership: Membership::default(),
    };
    store.save_snapshot(&meta, b"state").unwrap();
    store
        .append(&[hard_state(51), Record::Reset { index: 23 }, entry(24, 51)])
        .unwrap();
    store.sync().unwrap();
    drop(store);
    let restored = restore(directory.path()).unwrap();
    assert_eq!(restored.snapshot.unwrap().data, "state");
    assert_eq!(restored.hard_state.term, 51);
    let entries: Vec<_> = restored
        .entries
        .iter()
        .map(|entry| (entry.index, entry.term))
        .collect();
    assert_eq!(entries, [(24, 51)]);
    assert!(files(directory.path(), ".seg").len() < before);

    let path = files(directory.path(), ".snap").pop().unwrap();
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, bytes).unwrap();
    assert!(
        matches!(restore(directory.path()), Err(StoreError::Corrupt { path: p, .. }) if p == path)
    );
}

/// Guards against a start although a segment in the middle of the log is missing.
#[test]
fn a_missing_segment_is_reported() {
    let directory = TempDir::new().unwrap();
    write(directory.path(), 12);
    fs::remove_file(&files(directory.path(), ".seg")[1]).unwrap();
    assert!(matches!(
        restore(directory.path()),
        Err(StoreError::Corrupt { .. })
    ));
}

/// Guards against two processes that use the same data directory.
#[test]
fn a_directory_in_use_is_refused() {
    let directory = TempDir::new().unwrap();
    let first = open(directory.path()).unwrap();
    assert!(matches!(
        open(directory.path()),
        Err(StoreError::Locked { .. })
    ));
    drop(first);
    assert!(open(directory.path()).is_ok());
}

/// Guards against a member that votes under its old identity after it lost its disk.
#[test]
fn an_emptied_directory_gets_a_new_identity() {
    let directory = TempDir::new().unwrap();
    let path = directory.path().join("data");
    let first = open(&path).unwrap().member();
    assert_eq!(open(&path).unwrap().member(), first);
    fs::remove_dir_all(&path).unwrap();
    assert_ne!(open(&path).unwrap().member(), first);
    let log = path.join("log-00000000000000000001.seg");
    assert!(log.exists());
    fs::remove_file(path.join("identity.json")).unwrap();
    assert!(matches!(open(&path), Err(StoreError::NoIdentity { .. })));
}

fn snapshot_meta(index: u64) -> SnapshotMeta {
    SnapshotMeta {
        index,
        term: 1,
        membership: Membership::default(),
    }
}

/// Guards against a disk that its log has filled, with no room left for the snapshot that would free
/// some.
#[test]
fn room_for_a_somewhat_larger_snapshot_is_kept() {
    let directory = TempDir::new().unwrap();
    let reserved = || fs::metadata(directory.path().join("reserve")).map_or(0, |m| m.len());
    let mut store = open(directory.path()).unwrap();
    assert!(reserved() > 0, "the first snapshot needs room as well");
    for (index, size_bytes) in [(1, 3_000_000), (2, 3_500_000), (3, 9_000_000), (4, 1_000)] {
        let data = vec![7; size_bytes];
        store.save_snapshot(&snapshot_meta(index), &data).unwrap();
        assert!(reserved() as usize >= size_bytes + size_bytes / 4);
    }
    drop(store);
    fs::remove_file(directory.path().join("reserve")).unwrap();
    drop(open(directory.path()).unwrap());
    assert!(reserved() > 0, "the room is kept again after a start");
}

/// Guards against a member that falls back behind what it has acknowledged: a received snapshot that
/// waited for room is written after a later one of its own.
#[test]
fn a_snapshot_older_than_the_newest_one_is_ignored() {
    let directory = TempDir::new().unwrap();
    let mut store = open(directory.path()).unwrap();
    store.save_snapshot(&snapshot_meta(9), b"new").unwrap();
    store.save_snapshot(&snapshot_meta(5), b"old").unwrap();
    store
        .append(&[Record::Reset { index: 5 }, entry(6, 1)])
        .unwrap();
    store.sync().unwrap();
    drop(store);
    let restored = restore(directory.path()).unwrap();
    assert_eq!(restored.snapshot.unwrap().data, "new");
    assert!(restored.entries.is_empty());
}
