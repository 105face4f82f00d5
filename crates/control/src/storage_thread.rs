//! The storage thread with group commit.
//!
//! All jobs that are queued when a sync ends share the next one; when the thread is idle, a job
//! is synced at once.

use std::io;
use std::thread;
use std::thread::JoinHandle;

use sapphirepost_consensus::Outgoing;
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
        messages: Vec<Outgoing>,
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
    messages: Vec<Outgoing>,
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
    mut store: Box<dyn LogStore>,
    queue: &flume::Receiver<Job>,
    events: &EventRing,
    metrics: &CoreMetrics,
) {
    while let Ok(first) = queue.recv() {
        let jobs = std::iter::once(first).chain(queue.try_iter());
        match write(store.as_mut(), jobs, metrics) {
            Ok(group) => report(group, events),
            Err(error) => {
                // Nothing may be acknowledged from here on.
                events.required(Event::StorageFailed(error.to_string()));
                return;
            }
        }
    }
}

fn write(
    store: &mut dyn LogStore,
    jobs: impl Iterator<Item = Job>,
    metrics: &CoreMetrics,
) -> Result<Group, StoreError> {
    let mut group = Group::default();
    for job in jobs {
        match job {
            Job::Persist {
                number,
                snapshot,
                records,
                mut messages,
            } => {
                if let Some(snapshot) = snapshot {
                    store.save_snapshot(&snapshot.meta, &snapshot.data)?;
                }
                store.append(&records)?;
                group.records += records.len() as u64;
                group.number = Some(number);
                group.messages.append(&mut messages);
            }
            Job::SaveSnapshot(snapshot) => {
                store.save_snapshot(&snapshot.meta, &snapshot.data)?;
                group.saved.push(snapshot);
            }
        }
    }
    if group.records > 0 {
        store.sync()?;
        metrics.syncs.inc();
        metrics.synced_records.inc_by(group.records);
    }
    Ok(group)
}

fn report(group: Group, events: &EventRing) {
    for snapshot in group.saved {
        events.required(Event::SnapshotSaved(snapshot));
    }
    if let Some(number) = group.number {
        events.required(Event::Persisted(Persisted { number }, group.messages));
    }
}
