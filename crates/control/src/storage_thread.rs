//! The storage thread with group commit.
//!
//! All jobs that are queued when a sync ends share the next one; when the thread is idle, a job
//! is synced at once. Records that find no room on the disk are tried again until they are
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

use crate::event::Event;
use crate::event::EventRing;
use crate::metrics::CoreMetrics;

/// Jobs that may wait; the core thread then waits for the disk.
const JOBS_MAX: usize = 1_024;
/// How often records that found no room on the disk are tried again.
const ROOM_POLL: Duration = Duration::from_millis(100);

/// Work for the storage thread.
pub enum Job {
    /// Output of the node.
    Persist {
        /// The number of the output.
        number: u64,
        /// A received snapshot, saved before the records.
        snapshot: Option<Snapshot>,
        /// Records to append.
        records: Vec<Record>,
        /// Messages to send after the sync.
        messages: Vec<OutgoingMessage>,
    },
    /// A snapshot of this member.
    SaveSnapshot(Snapshot),
}

/// The running thread.
pub struct StorageThread {
    jobs: flume::Sender<Job>,
    thread: JoinHandle<()>,
}

/// What a group of jobs leads to.
#[derive(Default)]
struct Group {
    number: Option<u64>,
    messages: Vec<OutgoingMessage>,
    saved: Vec<Snapshot>,
    records: u64,
}

impl StorageThread {
    /// Starts the thread.
    pub fn start(
        store: Box<dyn LogStore>,
        events: EventRing,
        metrics: CoreMetrics,
    ) -> io::Result<StorageThread> {
        let (jobs, queue) = flume::bounded(JOBS_MAX);
        let run = move || run(store, &queue, &events, &metrics);
        let thread = thread::Builder::new()
            .name("storage".to_owned())
            .spawn(run)?;
        Ok(StorageThread { jobs, thread })
    }

    /// A handle to add jobs.
    pub fn jobs(&self) -> flume::Sender<Job> {
        self.jobs.clone()
    }

    /// Waits until all jobs are done. All handles must have been dropped.
    pub fn finish(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}

fn run(
    store: Box<dyn LogStore>,
    queue: &flume::Receiver<Job>,
    events: &EventRing,
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
        let jobs = std::iter::once(first).chain(queue.try_iter());
        match writer.write(jobs) {
            Ok(Flow::Continue) => {}
            Ok(Flow::Stop) => return,
            Err(error) => {
                // Nothing may be acknowledged from here on.
                events.required(Event::StorageFailed(error.to_string()));
                return;
            }
        }
    }
}

enum Flow {
    Continue,
    /// The process stops while records wait for room. They were never acknowledged.
    Stop,
}

/// Writes jobs in their order.
struct Writer<'a> {
    store: Box<dyn LogStore>,
    queue: &'a flume::Receiver<Job>,
    events: &'a EventRing,
    metrics: &'a CoreMetrics,
    /// Whether the last job found no room.
    is_full: bool,
}

impl Writer<'_> {
    fn write(&mut self, jobs: impl Iterator<Item = Job>) -> Result<Flow, StoreError> {
        let mut group = Group::default();
        for mut job in jobs {
            while let Err(error) = self.try_write(&mut job, &mut group) {
                if !error.is_out_of_space() {
                    return Err(error);
                }
                self.finish(std::mem::take(&mut group))?;
                if let Flow::Stop = self.wait_for_room(&error) {
                    return Ok(Flow::Stop);
                }
            }
        }
        self.finish(group)?;
        Ok(Flow::Continue)
    }

    /// Does what is left of a job; what is done is taken out of it.
    fn try_write(&mut self, job: &mut Job, group: &mut Group) -> Result<(), StoreError> {
        match job {
            Job::Persist {
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
                self.has_room();
                group.records += records.len() as u64;
                group.number = Some(*number);
                group.messages.append(messages);
            }
            Job::SaveSnapshot(own) => match self.store.save_snapshot(&own.meta, &own.data) {
                Ok(()) => group.saved.push(own.clone()),
                Err(error) if error.is_out_of_space() => {
                    let skipped = Event::SnapshotSkipped(error.to_string());
                    self.events.required(skipped);
                }
                Err(error) => return Err(error),
            },
        }
        Ok(())
    }

    fn wait_for_room(&mut self, error: &StoreError) -> Flow {
        if !std::mem::replace(&mut self.is_full, true) {
            let full = Event::StorageFull(error.to_string());
            self.events.required(full);
        }
        if self.queue.is_disconnected() {
            return Flow::Stop;
        }
        thread::sleep(ROOM_POLL);
        Flow::Continue
    }

    fn has_room(&mut self) {
        if std::mem::take(&mut self.is_full) {
            self.events.required(Event::StorageHasRoom);
        }
    }

    /// Syncs and reports what a group has written.
    fn finish(&mut self, group: Group) -> Result<(), StoreError> {
        if group.records > 0 {
            self.store.sync()?;
            self.metrics.syncs.inc();
            self.metrics.synced_records.inc_by(group.records);
        }
        for snapshot in group.saved {
            self.events.required(Event::SnapshotSaved(snapshot));
        }
        if let Some(number) = group.number {
            let persisted = Persisted { number };
            let event = Event::Persisted(persisted, group.messages);
            self.events.required(event);
        }
        Ok(())
    }
}
