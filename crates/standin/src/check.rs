//! Checks journals against the invariants.
//!
//! The lines become a history for the verifier. A worker that starts again without having stopped
//! its tasks was killed, and its tasks with it. A stop that was noticed late, because the process
//! was frozen, counts from the end of the lease.

use std::fs;
use std::path::Path;

use anyhow::Context;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Limits;
use sapphirepost_verifier::Timed;
use sapphirepost_verifier::Violation;
use serde::Deserialize;

use crate::journal::Entry;

#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    entry: Entry,
}

/// What a check found.
#[derive(Debug)]
pub struct Checked {
    /// Starts of attempts.
    pub starts: usize,
    /// Runs of requests.
    pub runs: usize,
    /// All violations.
    pub violations: Vec<Violation>,
}

/// Checks the journals at these paths together.
pub fn check(paths: &[impl AsRef<Path>]) -> anyhow::Result<Checked> {
    let mut history = Vec::new();
    for path in paths {
        let path = path.as_ref();
        let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
        for (number, line) in text.lines().enumerate() {
            let line = serde_json::from_str(line)
                .with_context(|| format!("{}:{}", path.display(), number + 1))?;
            add(&mut history, line);
        }
    }
    // Stable, so that the events of one worker keep their order within a millisecond.
    history.sort_by_key(|timed| timed.at_ms);
    let is_start = |timed: &&Timed| matches!(timed.event, Event::TaskStarted { .. });
    let is_run = |timed: &&Timed| matches!(timed.event, Event::RequestRan { .. });
    Ok(Checked {
        starts: history.iter().filter(is_start).count(),
        runs: history.iter().filter(is_run).count(),
        violations: sapphirepost_verifier::check(&history, &Limits::default()),
    })
}

fn add(history: &mut Vec<Timed>, line: Line) {
    let mut at_ms = line.at_ms;
    let event = match line.entry {
        Entry::WorkerSize { worker, capacity } => {
            let lost = Event::WorkerLost {
                worker: worker.clone(),
            };
            history.push(Timed { at_ms, event: lost });
            Event::WorkerSize { worker, capacity }
        }
        Entry::TaskStarted {
            worker,
            task,
            attempt,
            resources,
            ..
        } => Event::TaskStarted {
            worker,
            task,
            attempt,
            resources,
        },
        Entry::TaskStopped {
            worker,
            task,
            attempt,
            finished,
            late_ms,
            ..
        } => {
            at_ms = at_ms.saturating_sub(late_ms);
            Event::TaskStopped {
                worker,
                task,
                attempt,
                finished,
            }
        }
        Entry::RequestRan {
            request: Some(request),
            idempotent,
            ..
        } => Event::RequestRan {
            request,
            submission: history.len() as u64,
            idempotent,
        },
        Entry::RequestRan { .. } | Entry::Leaving { .. } => return,
    };
    history.push(Timed { at_ms, event });
}
