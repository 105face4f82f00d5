//! The journal: one JSON line for each thing that really happened.
//!
//! A line holds `at_ms` (wall clock), `event` and the fields of the event. Lines are appended
//! with one write each, so that several processes may share a file and a killed process leaves
//! no partial line behind.

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

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Entry {
    /// A worker started with this much for tasks.
    WorkerSize {
        /// The worker.
        worker: Name,
        /// All that it has.
        capacity: Resources,
    },
    /// An attempt began to run.
    TaskStarted {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// The job.
        job: Name,
        /// What it uses.
        resources: Resources,
    },
    /// An attempt runs no more.
    TaskStopped {
        /// The worker.
        worker: Name,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Whether it ended by itself with success.
        finished: bool,
        /// Why it ended.
        reason: String,
        /// How long after the end of the lease it ended, in milliseconds. A process that was
        /// frozen notices the end late, and its tasks were frozen with it.
        late_ms: u64,
    },
    /// A runner began to run a request.
    RequestRan {
        /// The runner.
        upstream: Name,
        /// The request ID, if it has one.
        request: Option<String>,
        /// Whether it may run more than once.
        idempotent: bool,
        /// Method, path and query.
        line: String,
        /// Milliseconds since the runner announced that it leaves.
        leaving_ms: Option<u64>,
    },
    /// A runner announced that it leaves.
    Leaving {
        /// The runner.
        upstream: Name,
    },
}

#[derive(Serialize)]
struct Line<'a> {
    at_ms: u64,
    #[serde(flatten)]
    entry: &'a Entry,
}

/// An open journal; clones share the file.
#[derive(Clone, Debug)]
pub struct Journal {
    file: Option<Arc<File>>,
    clock: SystemClock,
}

impl Journal {
    /// Opens a file for appending; without a path nothing is recorded.
    pub fn open(path: Option<&Path>) -> io::Result<Journal> {
        let open = |path: &Path| OpenOptions::new().create(true).append(true).open(path);
        Ok(Journal {
            file: path.map(open).transpose()?.map(Arc::new),
            clock: SystemClock::new(),
        })
    }

    /// Appends a line. A journal that cannot be written would hide faults, so it ends the process.
    pub fn record(&self, entry: &Entry) {
        let Some(file) = &self.file else {
            return;
        };
        if let Err(error) = self.append(file, entry) {
            log::error!("cannot write the journal: {error}");
            std::process::exit(1);
        }
    }

    fn append(&self, mut file: &File, entry: &Entry) -> io::Result<()> {
        let line = Line {
            at_ms: self.clock.unix_ms(),
            entry,
        };
        let mut bytes = serde_json::to_vec(&line)?;
        bytes.push(b'\n');
        file.write_all(&bytes)
    }
}
