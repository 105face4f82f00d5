//! Checks journals against the invariants.
//!
//! The lines are converted to a history for the verifier. When a worker process starts again, the
//! tasks of its former process are considered killed with it. Any stop after the expiry of the lease
//! counts as if it had happened at the expiry, because a paused process notices the expiry late.
//! This includes the later end of a `keep` task, which continues after the expiry.

use std::fs;
use std::path::Path;

use anyhow::Context;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Limits;
use sapphirepost_verifier::Timed;
use sapphirepost_verifier::Violation;
use serde::Deserialize;

use crate::journal::JournalEvent;

#[derive(Deserialize)]
struct Line {
    at_ms: u64,
    #[serde(flatten)]
    entry: JournalEvent,
}

/// What [`check`] found in the journals.
#[derive(Debug)]
pub struct CheckReport {
    /// Number of attempts that started.
    pub starts: usize,
    /// Number of times that a request with an ID ran.
    pub runs: usize,
    /// The violations of the invariants that the verifier found.
    pub violations: Vec<Violation>,
}

/// Merges the journals at these paths by time and checks them as one history.
///
/// Fails if a file cannot be read or a line cannot be parsed.
pub fn check(paths: &[impl AsRef<Path>]) -> anyhow::Result<CheckReport> {
    let mut history = Vec::new();
    for path in paths {
        let path = path.as_ref();
        let text = fs::read_to_string(path).with_context(|| path.display().to_string())?;
        for (number, line) in text.lines().enumerate() {
            let line = serde_json::from_str(line)
                .with_context(|| format!("{}:{}", path.display(), number + 1))?;
            add_to_history(&mut history, line);
        }
    }
    // The sort must be stable: the events of one worker keep their order within a millisecond.
    history.sort_by_key(|timed| timed.at_ms);
    let is_start = |timed: &&Timed| matches!(timed.event, Event::TaskStarted { .. });
    let is_run = |timed: &&Timed| matches!(timed.event, Event::RequestRan { .. });
    Ok(CheckReport {
        starts: history.iter().filter(is_start).count(),
        runs: history.iter().filter(is_run).count(),
        violations: sapphirepost_verifier::check(&history, &Limits::default()),
    })
}

fn add_to_history(history: &mut Vec<Timed>, line: Line) {
    let mut at_ms = line.at_ms;
    let event = match line.entry {
        JournalEvent::WorkerSize { worker, capacity } => {
            let lost = Event::WorkerLost {
                worker: worker.clone(),
            };
            history.push(Timed { at_ms, event: lost });
            Event::WorkerSize { worker, capacity }
        }
        JournalEvent::TaskStarted {
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
        JournalEvent::TaskStopped {
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
        JournalEvent::RequestRan {
            request: Some(request),
            idempotent,
            ..
        } => Event::RequestRan {
            request,
            // The journal has no submission numbers, so each run gets a unique one.
            submission: history.len() as u64,
            idempotent,
        },
        JournalEvent::RequestRan { .. } | JournalEvent::Leaving { .. } => return,
    };
    history.push(Timed { at_ms, event });
}
