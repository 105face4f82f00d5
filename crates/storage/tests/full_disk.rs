//! The store on disk while the disk is full at times, with restarts and losses of power.
//!
//! A limit of the size of files stands for the full disk: a write up to it is cut short, and beyond
//! it refused. The limit holds for a whole process, so the test runs in one of its own.

use std::fs;
use std::path::Path;
use std::process::Command;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tempfile::TempDir;

use sapphirepost_consensus::Entry;
use sapphirepost_consensus::HardState;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_storage::DiskOptions;
use sapphirepost_storage::DiskStore;
use sapphirepost_storage::LogStore;
use sapphirepost_storage::StoreError;

const SEEDS: u64 = 15;
const STEPS: u64 = 40;
const SEGMENT_BYTES: u64 = 600;

fn open(directory: &Path) -> Result<DiskStore, StoreError> {
    let options = DiskOptions {
        segment_bytes: SEGMENT_BYTES,
        ..DiskOptions::default()
    };
    DiskStore::open(directory, options)
}

/// Limits the size of the files that this process writes; `None` lifts the limit.
fn limit_file_size(size_bytes: Option<u64>) {
    let soft = size_bytes.map_or("unlimited".to_owned(), |size| size.to_string());
    let mut command = Command::new("prlimit");
    command.args(["--pid", &std::process::id().to_string()]);
    command.arg(format!("--fsize={soft}:unlimited"));
    assert!(command.status().unwrap().success());
}

fn entry(index: u64, term: u64, rng: &mut Pcg64Mcg) -> Record {
    let text = "x".repeat(rng.random_range(0..200));
    let payload = Payload::Command(text.into());
    Record::Entry(Entry {
        index,
        term,
        payload,
    })
}

fn is_full<T>(result: Result<T, StoreError>) -> bool {
    match result {
        Ok(_) => false,
        Err(error) if error.is_out_of_space() => true,
        Err(error) => panic!("{error}"),
    }
}

/// A store, and the state that it has to restore.
struct Run {
    directory: TempDir,
    store: Option<DiskStore>,
    expected: PersistentState,
    rng: Pcg64Mcg,
    refused: u32,
}

impl Run {
    fn last_index(&self) -> u64 {
        let snapshot = self.expected.snapshot.as_ref();
        let base = snapshot.map_or(0, |snapshot| snapshot.meta.index);
        let last = self.expected.entries.last();
        last.map_or(base, |entry| entry.index)
    }

    fn append(&mut self) {
        let term = self.expected.hard_state.term + u64::from(self.rng.random_bool(0.2));
        let mut records = vec![Record::HardState(HardState {
            term,
            ..HardState::default()
        })];
        let first = self.last_index() + 1;
        for index in first..first + self.rng.random_range(0..3) {
            records.push(entry(index, term, &mut self.rng));
        }
        let Some(store) = &mut self.store else { return };
        if is_full(store.append(&records)) {
            self.refused += 1;
            return;
        }
        records.into_iter().for_each(|r| self.expected.apply(r));
        store.sync().unwrap();
    }

    fn save_snapshot(&mut self) {
        let Some(last) = self.expected.entries.last() else {
            return;
        };
        let meta = SnapshotMeta {
            index: last.index,
            term: last.term,
            membership: Membership::default(),
        };
        let data = vec![b'y'; self.rng.random_range(0..700)];
        let Some(store) = &mut self.store else { return };
        if is_full(store.save_snapshot(&meta, &data)) {
            self.refused += 1;
            return;
        }
        self.expected.install(Snapshot {
            meta,
            data: data.into(),
        });
    }

    fn restart(&mut self) {
        self.store = None;
        match open(self.directory.path()) {
            Err(error) if error.is_out_of_space() => self.refused += 1,
            opened => self.check_restored(opened.unwrap()),
        }
    }

    fn check_restored(&mut self, mut store: DiskStore) {
        let restored = store.restore().unwrap();
        assert_eq!(restored.hard_state, self.expected.hard_state);
        assert_eq!(restored.entries, self.expected.entries);
        let data = |state: &PersistentState| state.snapshot.as_ref().map(|s| s.data.clone());
        assert_eq!(data(&restored), data(&self.expected));
        self.store = Some(store);
    }
}

fn run(seed: u64) -> u32 {
    let directory = TempDir::new().unwrap();
    let mut run = Run {
        directory,
        store: None,
        expected: PersistentState::default(),
        rng: Pcg64Mcg::seed_from_u64(seed),
        refused: 0,
    };
    for _ in 0..STEPS {
        match run.rng.random_range(0..10) {
            0..2 => limit_file_size(Some(run.rng.random_range(0..2 * SEGMENT_BYTES))),
            2 => limit_file_size(None),
            3 => run.restart(),
            4 => run.save_snapshot(),
            _ => run.append(),
        }
        if run.store.is_none() {
            run.restart();
        }
    }
    limit_file_size(None);
    run.restart();
    run.append();
    run.restart();
    assert!(run.store.is_some());
    run.refused
}

#[test]
#[ignore = "limits the size of files of its process; run by the test below in one of its own"]
fn run_with_limited_files() {
    let refused: u32 = (0..SEEDS)
        .map(|seed| {
            println!("seed {seed}");
            run(seed)
        })
        .sum();
    println!("{refused} writes refused");
    assert!(refused > SEEDS as u32);
}

/// Guards against records behind a half-written one, and against a store that does not open again
/// or restores another state, after writes that a full disk has refused.
#[test]
fn a_store_whose_disk_is_full_at_times_restores_what_it_took() {
    let mut shell = Command::new("sh");
    shell.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]);
    shell.arg(std::env::current_exe().unwrap());
    shell.args(["--ignored", "--exact", "run_with_limited_files"]);
    let output = shell.output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}

/// Guards against a member that does not start any more: the disk was full when a segment was to be
/// started, its file was removed, and a loss of power brings it back and tears the end of the log.
#[test]
fn a_segment_that_could_not_be_started_does_not_make_a_torn_end_damage() {
    for content in [&b""[..], b"splog", b"splog001"] {
        let directory = TempDir::new().unwrap();
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut store = open(directory.path()).unwrap();
        let term = HardState {
            term: 1,
            ..HardState::default()
        };
        store.append(&[Record::HardState(term)]).unwrap();
        store.append(&[entry(1, 1, &mut rng)]).unwrap();
        store.sync().unwrap();
        store.append(&[entry(2, 1, &mut rng)]).unwrap();
        drop(store);
        let first = directory.path().join("log-00000000000000000001.seg");
        let bytes = fs::read(&first).unwrap();
        fs::write(&first, &bytes[..bytes.len() - 1]).unwrap();
        let second = directory.path().join("log-00000000000000000002.seg");
        fs::write(&second, content).unwrap();
        for next in 2..=3 {
            let mut store = open(directory.path()).unwrap();
            let restored = store.restore().unwrap();
            let last = restored.entries.last().map(|entry| entry.index);
            assert_eq!((last, restored.hard_state.term), (Some(next - 1), 1));
            store.append(&[entry(next, 1, &mut rng)]).unwrap();
            store.sync().unwrap();
        }
    }
}
