//! Group commit, failed syncs and full disks of the storage thread.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

use sapphirepost_consensus::Entry;
use sapphirepost_consensus::HardState;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_control::CoreMetrics;
use sapphirepost_control::Event;
use sapphirepost_control::EventReceiver;
use sapphirepost_control::EventSender;
use sapphirepost_control::StorageRequest;
use sapphirepost_control::StorageThread;
use sapphirepost_storage::LogStore;
use sapphirepost_storage::MemoryStore;
use sapphirepost_storage::StoreError;

const SYNC: Duration = Duration::from_millis(30);

/// A store whose syncs take [`SYNC`].
struct SlowStore {
    inner: MemoryStore,
    syncs: Arc<AtomicU64>,
}

impl LogStore for SlowStore {
    fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        self.inner.append(records)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        thread::sleep(SYNC);
        self.syncs.fetch_add(1, Ordering::SeqCst);
        self.inner.sync()
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
        self.inner.save_snapshot(meta, data)
    }

    fn restore(&mut self) -> Result<PersistentState, StoreError> {
        self.inner.restore()
    }
}

fn persist_request(number: u64) -> StorageRequest {
    let records = vec![Record::HardState(HardState {
        term: number,
        ..HardState::default()
    })];
    StorageRequest::Persist {
        number,
        snapshot: None,
        records,
        messages: Vec::new(),
    }
}

/// The number of the next event if it reports what is durable.
fn next_persisted_or_other(events: &EventReceiver) -> Option<u64> {
    match events.recv_timeout(Duration::from_secs(10)).unwrap() {
        (Event::Persisted(up_to, _), _) => Some(up_to.number),
        _ => None,
    }
}

fn next_persisted(events: &EventReceiver) -> u64 {
    next_persisted_or_other(events).expect("unexpected event")
}

/// Guards against one sync per record under load, and against a delayed sync on an idle disk.
#[test]
fn queued_records_share_one_sync() {
    let syncs = Arc::new(AtomicU64::new(0));
    let store = SlowStore {
        inner: MemoryStore::new(),
        syncs: syncs.clone(),
    };
    let (event_sender, events) = EventSender::new();
    let storage =
        StorageThread::start(Box::new(store), event_sender, CoreMetrics::default()).unwrap();
    let start = Instant::now();
    storage.sender().send(persist_request(1)).unwrap();
    assert_eq!(next_persisted(&events), 1);
    assert!(start.elapsed() < 2 * SYNC, "an idle disk must sync at once");
    for number in 2..=200 {
        storage.sender().send(persist_request(number)).unwrap();
    }
    let mut last = 0;
    while last < 200 {
        last = next_persisted(&events);
    }
    assert!(
        syncs.load(Ordering::SeqCst) <= 4,
        "199 queued records need two or three syncs"
    );
    storage.finish();
}

/// Guards against an acknowledgement after a failed sync.
#[test]
fn a_failed_sync_stops_the_storage_thread() {
    let mut store = MemoryStore::new();
    store.fail_syncs();
    let (event_sender, events) = EventSender::new();
    let storage =
        StorageThread::start(Box::new(store), event_sender, CoreMetrics::default()).unwrap();
    storage.sender().send(persist_request(1)).unwrap();
    let (first, _) = events.recv_timeout(Duration::from_secs(10)).unwrap();
    assert!(matches!(first, Event::StorageFailed(_)));
    assert!(
        events.recv_timeout(Duration::from_secs(10)).is_err(),
        "nothing may follow"
    );
    assert!(storage.sender().send(persist_request(2)).is_err());
}

fn out_of_space() -> StoreError {
    StoreError::OutOfSpace {
        action: "write",
        path: PathBuf::from("log"),
        source: io::Error::from(io::ErrorKind::StorageFull),
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        meta: SnapshotMeta {
            index,
            term: 1,
            membership: Membership::default(),
        },
        data: Bytes::from_static(b"state"),
    }
}

/// A store that takes no records while `is_full` is set.
struct FullStore {
    inner: MemoryStore,
    is_full: Arc<AtomicBool>,
}

impl FullStore {
    fn check_space(&self) -> Result<(), StoreError> {
        if !self.is_full.load(Ordering::SeqCst) {
            return Ok(());
        }
        Err(out_of_space())
    }
}

impl LogStore for FullStore {
    fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        self.check_space()?;
        self.inner.append(records)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.inner.sync()
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
        self.check_space()?;
        self.inner.save_snapshot(meta, data)
    }

    fn restore(&mut self) -> Result<PersistentState, StoreError> {
        self.inner.restore()
    }
}

/// Guards against a member that goes on collecting what its full disk cannot take, until its memory
/// is used up.
#[test]
fn a_full_disk_makes_the_queue_of_requests_backlogged_until_it_has_room() {
    let is_full = Arc::new(AtomicBool::new(true));
    let store = FullStore {
        inner: MemoryStore::new(),
        is_full: is_full.clone(),
    };
    let (event_sender, events) = EventSender::new();
    let storage =
        StorageThread::start(Box::new(store), event_sender, CoreMetrics::default()).unwrap();
    let requests = storage.sender();
    assert!(!requests.is_backlogged());
    let mut sent = 0;
    while !requests.is_backlogged() {
        sent += 1;
        assert!(sent < 10_000, "the queue must have a bound");
        requests.send(persist_request(sent)).unwrap();
    }
    is_full.store(false, Ordering::SeqCst);
    let is_last = |(event, _)| matches!(event, Event::Persisted(up_to, _) if up_to.number == sent);
    let mut received = std::iter::from_fn(|| events.recv_timeout(Duration::from_secs(10)).ok());
    assert!(received.any(is_last));
    assert!(!requests.is_backlogged());
}

/// Guards against a member whose memory is used up by large records, few enough for the bound of
/// their number, that its full disk cannot take.
#[test]
fn the_queue_of_requests_is_bounded_in_bytes_as_well() {
    const RECORD_BYTES: usize = 500_000;
    const QUEUED_MAX_BYTES: usize = 20_000_000;
    let is_full = Arc::new(AtomicBool::new(true));
    let store = FullStore {
        inner: MemoryStore::new(),
        is_full: is_full.clone(),
    };
    let (event_sender, events) = EventSender::new();
    let storage =
        StorageThread::start(Box::new(store), event_sender, CoreMetrics::default()).unwrap();
    let requests = storage.sender();
    let mut sent = 0;
    while !requests.is_backlogged() {
        sent += 1;
        let entry = Entry {
            index: sent,
            term: 1,
            payload: Payload::Command(vec![0; RECORD_BYTES].into()),
        };
        requests
            .send(StorageRequest::Persist {
                number: sent,
                snapshot: None,
                records: vec![Record::Entry(entry)],
                messages: Vec::new(),
            })
            .unwrap();
        let queued_bytes = sent as usize * RECORD_BYTES;
        assert!(queued_bytes < QUEUED_MAX_BYTES, "{queued_bytes} bytes");
    }
    is_full.store(false, Ordering::SeqCst);
    let is_last = |(event, _)| matches!(event, Event::Persisted(up_to, _) if up_to.number == sent);
    let mut received = std::iter::from_fn(|| events.recv_timeout(Duration::from_secs(10)).ok());
    assert!(received.any(is_last));
    assert!(!requests.is_backlogged());
}

/// Guards against a core thread that waits for the storage thread of a full disk while the storage
/// thread waits for the core thread, which then never ends.
#[test]
fn requests_sent_while_the_disk_is_full_and_events_are_queued_do_not_block_for_ever() {
    const REQUESTS: u64 = 3_000;
    const EVENTS: usize = 20_000;
    let is_full = Arc::new(AtomicBool::new(true));
    let store = FullStore {
        inner: MemoryStore::new(),
        is_full: is_full.clone(),
    };
    let (event_sender, events) = EventSender::new();
    let storage = StorageThread::start(
        Box::new(store),
        event_sender.clone(),
        CoreMetrics::default(),
    )
    .unwrap();
    let requests = storage.sender();
    // Like the core thread, it takes no events while it sends its requests.
    let core = thread::spawn(move || {
        for number in 1..=REQUESTS {
            requests.send(persist_request(number)).unwrap();
        }
        loop {
            if next_persisted_or_other(&events) == Some(REQUESTS) {
                return;
            }
        }
    });
    thread::sleep(Duration::from_millis(300));
    for _ in 0..EVENTS {
        event_sender.send_or_drop(Event::SnapshotSkipped(String::new()));
    }
    is_full.store(false, Ordering::SeqCst);
    let since = Instant::now();
    while !core.is_finished() {
        assert!(
            since.elapsed() < Duration::from_secs(4),
            "the disk has room, and the threads wait for each other"
        );
        thread::sleep(Duration::from_millis(10));
    }
}

/// Guards against a member that stays unable to lead because nothing reports that its disk has room
/// again, when what waited was a snapshot.
#[test]
fn snapshots_on_a_full_disk_are_saved_or_skipped_and_the_room_is_reported() {
    let is_full = Arc::new(AtomicBool::new(true));
    let store = FullStore {
        inner: MemoryStore::new(),
        is_full: is_full.clone(),
    };
    let (event_sender, events) = EventSender::new();
    let storage =
        StorageThread::start(Box::new(store), event_sender, CoreMetrics::default()).unwrap();
    let requests = storage.sender();
    let next = || events.recv_timeout(Duration::from_secs(10)).unwrap().0;
    requests
        .send(StorageRequest::SaveSnapshot(snapshot(3)))
        .unwrap();
    assert!(matches!(next(), Event::SnapshotSkipped(_)));
    for number in 1..=2 {
        requests
            .send(StorageRequest::Persist {
                number,
                snapshot: Some(snapshot(10 * number)),
                records: vec![Record::Reset { index: 10 * number }],
                messages: Vec::new(),
            })
            .unwrap();
        assert!(matches!(next(), Event::StorageFull(_)), "{number}");
        let own = || StorageRequest::SaveSnapshot(snapshot(10 * number + 1));
        requests.send(own()).unwrap();
        assert!(matches!(next(), Event::SnapshotSkipped(_)), "{number}");
        is_full.store(false, Ordering::SeqCst);
        assert!(matches!(next(), Event::StorageHasSpace), "{number}");
        assert_eq!(next_persisted(&events), number);
        requests.send(own()).unwrap();
        assert!(matches!(next(), Event::SnapshotSaved(_)), "{number}");
        is_full.store(true, Ordering::SeqCst);
    }
}

/// A store whose log takes no records until a snapshot lets it delete old ones.
#[derive(Default)]
struct StoreWithLongLog {
    inner: MemoryStore,
    has_snapshot: bool,
}

impl LogStore for StoreWithLongLog {
    fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        if !self.has_snapshot {
            return Err(out_of_space());
        }
        self.inner.append(records)
    }

    fn sync(&mut self) -> Result<(), StoreError> {
        self.inner.sync()
    }

    fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StoreError> {
        self.has_snapshot = true;
        self.inner.save_snapshot(meta, data)
    }

    fn restore(&mut self) -> Result<PersistentState, StoreError> {
        self.inner.restore()
    }
}

/// Guards against a disk that its own log has filled and that never has room again: the snapshot
/// that would free some waited behind the records that it had no room for.
#[test]
fn a_snapshot_is_saved_before_the_records_that_wait_for_its_room() {
    let (event_sender, events) = EventSender::new();
    let store = Box::new(StoreWithLongLog::default());
    let storage = StorageThread::start(store, event_sender, CoreMetrics::default()).unwrap();
    let requests = storage.sender();
    let next = || events.recv_timeout(Duration::from_secs(10)).unwrap().0;
    for number in 1..=3 {
        requests.send(persist_request(number)).unwrap();
    }
    assert!(matches!(next(), Event::StorageFull(_)));
    requests
        .send(StorageRequest::SaveSnapshot(snapshot(3)))
        .unwrap();
    assert!(matches!(next(), Event::SnapshotSaved(_)));
    assert!(matches!(next(), Event::StorageHasSpace));
    assert_eq!(next_persisted(&events), 3);
}
