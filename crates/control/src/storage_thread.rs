//! The storage thread, which writes the log with group commit.
//!
//! All requests that are queued when a sync ends share the next sync; when the thread is idle, a
//! request is synced at once. Records that do not fit on the disk are retried until they are
//! written; nothing after them is acknowledged before.

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

use crate::event::Event;
use crate::event::EventSender;
use crate::metrics::CoreMetrics;

/// The number of queued requests from which on the core thread takes no more messages of the group.
const BACKLOG_REQUESTS: usize = 1_024;
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

/// The storage thread has ended, after it has reported its failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the storage thread has ended")]
pub struct StorageEnded;

/// The sending side of the queue of requests.
///
/// Sending never blocks. The storage thread blocks on the channel of events, so if the core thread
/// blocked on the queue of requests, both could wait for each other for ever.
#[derive(Clone)]
pub struct StorageSender(flume::Sender<StorageRequest>);

impl StorageSender {
    /// Queues a request. Fails if the storage thread has ended.
    pub fn send(&self, request: StorageRequest) -> Result<(), StorageEnded> {
        self.0.send(request).map_err(|_| StorageEnded)
    }

    /// Whether so many requests are queued that the sender has to avoid further ones.
    pub fn is_backlogged(&self) -> bool {
        self.0.len() >= BACKLOG_REQUESTS
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
        let run = move || run(store, &queue, &events, &metrics);
        let thread = thread::Builder::new()
            .name("storage".to_owned())
            .spawn(run)?;
        let requests = StorageSender(requests);
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

fn run(
    store: Box<dyn LogStore>,
    queue: &flume::Receiver<StorageRequest>,
    events: &EventSender,
    metrics: &CoreMetrics,
) {
    let mut writer = Writer {
        store,
        queue,
        events,
        metrics,
        is_full: false,
    };
    while let Ok(first) = queue.recv() {
        let requests = std::iter::once(first).chain(queue.try_iter());
        match writer.write(requests) {
            Ok(Flow::Continue) => {}
            Ok(Flow::Stop) => return,
            Err(error) => {
                // Nothing may be acknowledged from here on.
                events.send_blocking(Event::StorageFailed(error.to_string()));
                return;
            }
        }
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
    queue: &'a flume::Receiver<StorageRequest>,
    events: &'a EventSender,
    metrics: &'a CoreMetrics,
    /// Whether records or a received snapshot wait for disk space.
    is_full: bool,
}

impl Writer<'_> {
    fn write(
        &mut self,
        requests: impl Iterator<Item = StorageRequest>,
    ) -> Result<Flow, StoreError> {
        let mut batch = SyncBatch::default();
        for mut request in requests {
            while let Err(error) = self.try_write(&mut request, &mut batch) {
                if !error.is_out_of_space() {
                    return Err(error);
                }
                self.finish(std::mem::take(&mut batch))?;
                if let Flow::Stop = self.wait_for_space(&error) {
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
        match request {
            StorageRequest::Persist {
                number,
                snapshot,
                records,
                messages,
            } => {
                if let Some(received) = snapshot {
                    self.store.save_snapshot(&received.meta, &received.data)?;
                    *snapshot = None;
                }
                self.store.append(records)?;
                self.clear_full();
                batch.records += records.len() as u64;
                batch.number = Some(*number);
                batch.messages.append(messages);
            }
            StorageRequest::SaveSnapshot(own) => {
                match self.store.save_snapshot(&own.meta, &own.data) {
                    Ok(()) => batch.saved.push(own.clone()),
                    Err(error) if error.is_out_of_space() => {
                        let skipped = Event::SnapshotSkipped(error.to_string());
                        self.events.send_blocking(skipped);
                    }
                    Err(error) => return Err(error),
                }
            }
        }
        Ok(())
    }

    fn wait_for_space(&mut self, error: &StoreError) -> Flow {
        if !std::mem::replace(&mut self.is_full, true) {
            let full = Event::StorageFull(error.to_string());
            self.events.send_blocking(full);
        }
        if self.queue.is_disconnected() {
            return Flow::Stop;
        }
        thread::sleep(SPACE_POLL_INTERVAL);
        Flow::Continue
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
