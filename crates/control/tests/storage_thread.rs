//! Group commit and failed syncs of the storage thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_consensus::HardState;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Record;
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

fn next_persisted(events: &EventReceiver) -> u64 {
    match events.recv_timeout(Duration::from_secs(10)).unwrap() {
        (Event::Persisted(up_to, _), _) => up_to.number,
        _ => panic!("unexpected event"),
    }
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
