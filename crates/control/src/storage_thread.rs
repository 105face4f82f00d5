//! The storage thread, which writes the log with group commit.
//!
//! All requests that are queued when a sync ends share the next sync; when the thread is idle, a
//! request is synced at once. Records that do not fit on the disk are retried until they are
//! written; nothing after them is acknowledged before. Meanwhile snapshots that this member takes
//! are still saved, since only they can free room.

use std::io;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use sapphirepost_consensus::OutgoingMessage;
use sapphirepost_consensus::Persisted;
use sapphirepost_consensus::Record;
use sapphirepost_consensus::Snapshot;
use sapphirepost_storage::LogStore;
use sapphirepost_storage::StoreError;
use thiserror::Error;

use crate::byte_count::ByteCount;
use crate::byte_count::CountedBytes;
use crate::event::Event;
use crate::event::EventSender;
use crate::metrics::CoreMetrics;

/// The number of queued requests from which on the core thread takes no more messages of the group.
const BACKLOG_REQUESTS: usize = 1_024;
/// The size of the queued records and snapshots from which on it takes none either.
const BACKLOG_BYTES: usize = 16 << 20;
/// Time between two attempts to write records while the disk is out of space.
const SPACE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A request to the storage thread.
pub enum StorageRequest {
    /// Output of the consensus node that has to be durable.
    Persist {
        /// The sequence number of the output, which [`Event::Persisted`] reports back.
        number: u64,
        /// A snapshot received from the leader, saved before the records.
        snapshot: Option<Snapshot>,
        /// Records to append and sync.
        records: Vec<Record>,
        /// Messages to send after the sync.
        messages: Vec<OutgoingMessage>,
    },
    /// A snapshot that this member has taken.
    SaveSnapshot(Snapshot),
}

impl StorageRequest {
    /// The size of the records and the snapshot that are to be written.
    fn size_bytes(&self) -> usize {
        match self {
            StorageRequest::Persist {
                snapshot, records, ..
            } => {
                let records = records.iter().map(|record| match record {
                    Record::Entry(entry) => entry.size_bytes(),
                    _ => 0,
                });
                let snapshot_bytes = snapshot.as_ref().map_or(0, |found| found.data.len());
                records.sum::<usize>() + snapshot_bytes
            }
            StorageRequest::SaveSnapshot(snapshot) => snapshot.data.len(),
        }
    }
}

/// What the thread takes from its queue.
enum Queued {
    Request(StorageRequest, CountedBytes),
    /// A snapshot that this member has taken is in the channel of its own, from which it can be
    /// taken before the requests that wait for room.
    OwnSnapshot,
}

/// The storage thread has ended, after it has reported its failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the storage thread has ended")]
pub struct StorageEnded;

/// The sending side of the queue of requests.
///
/// Sending never blocks. The storage thread blocks on the channel of events, so if the core thread
/// blocked on the queue of requests, both could wait for each other for ever.
#[derive(Clone)]
pub struct StorageSender {
    requests: flume::Sender<Queued>,
    /// What the queued requests carry.
    queued: ByteCount,
    snapshots: flume::Sender<Snapshot>,
}

impl StorageSender {
    /// Queues a request. Fails if the storage thread has ended.
    pub fn send(&self, request: StorageRequest) -> Result<(), StorageEnded> {
        let queued = match request {
            StorageRequest::SaveSnapshot(snapshot) => {
                let sent = self.snapshots.send(snapshot);
                sent.map_err(|_| StorageEnded)?;
                Queued::OwnSnapshot
            }
            persist => {
                let counted = self.queued.add(persist.size_bytes());
                Queued::Request(persist, counted)
            }
        };
        self.requests.send(queued).map_err(|_| StorageEnded)
    }

    /// Whether so many or so large requests are queued that the sender has to avoid further ones.
    pub fn is_backlogged(&self) -> bool {
        self.requests.len() >= BACKLOG_REQUESTS || self.queued.bytes() >= BACKLOG_BYTES
    }
}

/// A handle of the running thread.
pub struct StorageThread {
    requests: StorageSender,
    thread: JoinHandle<()>,
}

/// The results of requests that share a sync.
#[derive(Default)]
struct SyncBatch {
    number: Option<u64>,
    messages: Vec<OutgoingMessage>,
    saved: Vec<Snapshot>,
    records: u64,
}

impl StorageThread {
    /// Starts the thread.
    pub fn start(
        store: Box<dyn LogStore>,
        events: EventSender,
        metrics: CoreMetrics,
    ) -> io::Result<StorageThread> {
        let (requests, queue) = flume::unbounded();
        let (snapshots, own_snapshots) = flume::unbounded();
        let run = move || {
            let mut writer = Writer {
                store,
                queue: &queue,
                own_snapshots: &own_snapshots,
                events: &events,
                metrics: &metrics,
                is_full: false,
            };
            writer.run();
        };
        let thread = thread::Builder::new()
            .name("storage".to_owned())
            .spawn(run)?;
        let requests = StorageSender {
            requests,
            queued: ByteCount::default(),
            snapshots,
        };
        Ok(StorageThread { requests, thread })
    }

    /// A sender for requests.
    pub fn sender(&self) -> StorageSender {
        self.requests.clone()
    }

    /// Waits until all requests are done. All other senders must have been dropped.
    pub fn finish(self) {
        drop(self.requests);
        let _ = self.thread.join();
    }
}

enum Flow {
    Continue,
    /// The process stops while records or a received snapshot wait for disk space. They were never
    /// acknowledged.
    Stop,
}

/// Writes requests in their order.
struct Writer<'a> {
    store: Box<dyn LogStore>,
    queue: &'a flume::Receiver<Queued>,
    own_snapshots: &'a flume::Receiver<Snapshot>,
    events: &'a EventSender,
    metrics: &'a CoreMetrics,
    /// Whether records or a received snapshot wait for disk space.
    is_full: bool,
}

impl Writer<'_> {
    /// Writes what is queued until all senders are gone or the storage fails.
    fn run(&mut self) {
        while let Ok(first) = self.queue.recv() {
            let queued = std::iter::once(first).chain(self.queue.try_iter());
            match self.write(queued) {
                Ok(Flow::Continue) => {}
                Ok(Flow::Stop) => return,
                Err(error) => {
                    // Nothing may be acknowledged from here on.
                    let failed = Event::StorageFailed(error.to_string());
                    self.events.send_blocking(failed);
                    return;
                }
            }
        }
    }

    fn write(&mut self, queued: impl Iterator<Item = Queued>) -> Result<Flow, StoreError> {
        let mut batch = SyncBatch::default();
        for next in queued {
            let Queued::Request(mut request, _counted) = next else {
                self.save_own_snapshots(&mut batch)?;
                continue;
            };
            while let Err(error) = self.try_write(&mut request, &mut batch) {
                if !error.is_out_of_space() {
                    return Err(error);
                }
                self.finish(std::mem::take(&mut batch))?;
                if let Flow::Stop = self.wait_for_space(&error)? {
                    return Ok(Flow::Stop);
                }
            }
        }
        self.finish(batch)?;
        Ok(Flow::Continue)
    }

    /// Does what is left of a request, and removes from it what is done, so that it can be retried.
    fn try_write(
        &mut self,
        request: &mut StorageRequest,
        batch: &mut SyncBatch,
    ) -> Result<(), StoreError> {
        let StorageRequest::Persist {
            number,
            snapshot,
            records,
            messages,
        } = request
        else {
            return Ok(());
        };
        if let Some(received) = snapshot {
            self.store.save_snapshot(&received.meta, &received.data)?;
            *snapshot = None;
        }
        self.store.append(records)?;
        self.clear_full();
        batch.records += records.len() as u64;
        batch.number = Some(*number);
        batch.messages.append(messages);
        Ok(())
    }

    /// Saves the snapshots that this member has taken, or reports that the disk has no room for
    /// them.
    fn save_own_snapshots(&mut self, batch: &mut SyncBatch) -> Result<(), StoreError> {
        for own in self.own_snapshots.try_iter() {
            match self.store.save_snapshot(&own.meta, &own.data) {
                Ok(()) => batch.saved.push(own),
                Err(error) if error.is_out_of_space() => {
                    let skipped = Event::SnapshotSkipped(error.to_string());
                    self.events.send_blocking(skipped);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits for a moment, and saves snapshots that this member has taken, which may free room.
    fn wait_for_space(&mut self, error: &StoreError) -> Result<Flow, StoreError> {
        if !std::mem::replace(&mut self.is_full, true) {
            let full = Event::StorageFull(error.to_string());
            self.events.send_blocking(full);
        }
        if self.queue.is_disconnected() {
            return Ok(Flow::Stop);
        }
        thread::sleep(SPACE_POLL_INTERVAL);
        let mut batch = SyncBatch::default();
        self.save_own_snapshots(&mut batch)?;
        self.finish(batch)?;
        Ok(Flow::Continue)
    }

    fn clear_full(&mut self) {
        if std::mem::take(&mut self.is_full) {
            self.events.send_blocking(Event::StorageHasSpace);
        }
    }

    /// Syncs what a batch has written, and reports it to the core thread.
    fn finish(&mut self, batch: SyncBatch) -> Result<(), StoreError> {
        if batch.records > 0 {
            self.store.sync()?;
            self.metrics.syncs.inc();
            self.metrics.synced_records.inc_by(batch.records);
        }
        for snapshot in batch.saved {
            self.events.send_blocking(Event::SnapshotSaved(snapshot));
        }
        if let Some(number) = batch.number {
            let persisted = Persisted { number };
            let event = Event::Persisted(persisted, batch.messages);
            self.events.send_blocking(event);
        }
        Ok(())
    }
}
