//! The journal: one JSON line for each [`JournalEvent`], which records what actually happened, not
//! what was reported to the entries.
//!
//! A line holds `at_ms` (wall clock, Unix time), `event` and the fields of the event. Each line
//! is appended with one write, so that several processes can share a file and a killed process
//! leaves no partial line behind.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use sapphirepost_process::SystemClock;
use sapphirepost_types::Attempt;
use sapphirepost_types::Clock;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use serde::Deserialize;
use serde::Serialize;

/// An event in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum JournalEvent {
    /// A worker process started.
    WorkerSize {
        /// The worker that started.
        worker: Name,
        /// The resources that it offers to tasks.
        capacity: Resources,
    },
    /// An attempt started to run.
    TaskStarted {
        /// The worker that runs the attempt.
        worker: Name,
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The attempt number within the task.
        attempt: Attempt,
        /// The name of the task's job.
        job: Name,
        /// The resources that the attempt occupies on the worker.
        resources: Resources,
    },
    /// An attempt ended.
    TaskStopped {
        /// The worker that ran the attempt.
        worker: Name,
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The attempt number within the task.
        attempt: Attempt,
        /// Whether it completed successfully.
        finished: bool,
        /// Why it ended: `finished`, `failed`, `stopped` or `lease_end`.
        reason: String,
        /// Milliseconds from the expiry of the lease to this event, 0 if the lease had not
        /// expired. A process that was paused notices the expiry late, and its tasks were paused
        /// with it.
        late_ms: u64,
    },
    /// An upstream started to run a request.
    RequestRan {
        /// The upstream that runs the request.
        upstream: Name,
        /// The request ID, absent if the request has none.
        request: Option<String>,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Method and URI of the request.
        line: String,
        /// Milliseconds since the upstream started its shutdown, absent if it has not.
        leaving_ms: Option<u64>,
    },
    /// An upstream started its graceful shutdown.
    Leaving {
        /// The upstream that shuts down.
        upstream: Name,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    entry: &'a JournalEvent,
}

/// A journal that is open for appending. Clones share the file.
#[derive(Clone, Debug)]
pub struct Journal {
    file: Option<Arc<File>>,
    clock: SystemClock,
}

impl Journal {
    /// Opens or creates the file. Without a path, events are discarded.
    pub fn open(path: Option<&Path>) -> io::Result<Journal> {
        let open = |path: &Path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Journal {
            file: path.map(open).transpose()?.map(Arc::new),
            clock: SystemClock::new(),
        })
    }

    /// Appends an event. If the write fails, the process exits, because a journal with missing lines
    /// would hide violations from the checker.
    pub fn record(&self, event: &JournalEvent) {
        let Some(file) = &self.file else {
            return;
        };
        if let Err(error) = self.append(file, event) {
            log::error!("cannot write the journal: {error}");
            std::process::exit(1);
        }
    }

    fn append(&self, mut file: &File, event: &JournalEvent) -> io::Result<()> {
        let line = Line {
            at_ms: self.clock.unix_ms(),
            entry: event,
        };
        let mut bytes = serde_json::to_vec(&line)?;
        bytes.push(b'\n');
        file.write_all(&bytes)
    }
}
