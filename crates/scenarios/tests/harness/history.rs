//! Builds the history of a scenario from the journals of the stand-in workers and upstreams and
//! from the outcomes that callers received, and checks it for violations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use anyhow::Context;
use sapphirepost_types::Resources;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Limits;
use sapphirepost_verifier::Outcome;
use sapphirepost_verifier::Timed;
use serde_json::Value;

use crate::harness::callers::Submission;

/// Returns the lines of a journal. A file that cannot be read counts as empty.
pub fn read_journal(path: &Path) -> anyhow::Result<Vec<Value>> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str);
    Ok(lines.collect::<Result<_, _>>()?)
}

/// Returns all violations in the journals and in the responses to callers.
///
/// The tasks of a worker in `paused_workers` were paused together with it. If such a worker stops a
/// task late after its lease has ended, the task counts as stopped at the end of the lease.
pub fn violations(
    tasks: &[Value],
    requests: &[Value],
    submissions: &[Submission],
    paused_workers: &BTreeSet<String>,
) -> anyhow::Result<Vec<String>> {
    let mut history = Vec::new();
    for line in tasks {
        history.push(task_event(line, paused_workers)?);
    }
    for line in requests {
        history.extend(request_event(line, submissions)?);
    }
    for (index, submission) in submissions.iter().enumerate() {
        history.push(Timed {
            at_ms: submission.answered_ms,
            event: Event::RequestAnswered {
                submission: index as u64,
                outcome: submission.outcome.unwrap_or(Outcome::Unknown),
            },
        });
    }
    // At equal times a stop is sorted before a start: the leader starts another attempt of a task
    // only once it knows that the previous one has stopped.
    history.sort_by_key(|timed| {
        let is_stop = matches!(timed.event, Event::TaskStopped { .. });
        (timed.at_ms, !is_stop)
    });
    let mut found: Vec<String> = sapphirepost_verifier::check(&history, &Limits::default())
        .iter()
        .map(ToString::to_string)
        .collect();
    found.extend(response_violations(requests, submissions));
    Ok(found)
}

/// Checks that each request that was reported as done ran, and that all its responses are equal.
fn response_violations(requests: &[Value], submissions: &[Submission]) -> Vec<String> {
    let ran: BTreeSet<&str> = requests
        .iter()
        .filter_map(|line| line["request"].as_str())
        .collect();
    let mut responses: BTreeMap<&str, &str> = BTreeMap::new();
    let mut found = Vec::new();
    for submission in submissions {
        if submission.outcome != Some(Outcome::Done) {
            continue;
        }
        if !ran.contains(submission.request.as_str()) {
            found.push(format!(
                "{} was reported as done but did not run",
                submission.request
            ));
        }
        let first = responses
            .entry(&submission.request)
            .or_insert(&submission.body);
        if **first != submission.body || !submission.body.contains(&submission.request) {
            found.push(format!("{} got a different response", submission.request));
        }
    }
    found
}

fn task_event(line: &Value, paused_workers: &BTreeSet<String>) -> anyhow::Result<Timed> {
    let text = |field: &str| {
        line[field]
            .as_str()
            .context("missing field in a journal line")
    };
    let worker = text("worker")?.parse()?;
    let mut at_ms = line["at_ms"].as_u64().context("missing at_ms")?;
    let resources = |field: &str| -> anyhow::Result<Resources> {
        Ok(serde_json::from_value(line[field].clone())?)
    };
    let task = || serde_json::from_value(line["task"].clone());
    let attempt = || serde_json::from_value(line["attempt"].clone());
    let event = match text("event")? {
        "worker_size" => Event::WorkerSize {
            worker,
            capacity: resources("capacity")?,
        },
        "task_started" => Event::TaskStarted {
            worker,
            task: task()?,
            attempt: attempt()?,
            resources: resources("resources")?,
        },
        "task_stopped" => {
            if line["reason"] == "lease_end" && paused_workers.contains(text("worker")?) {
                at_ms -= line["late_ms"].as_u64().context("missing late_ms")?;
            }
            Event::TaskStopped {
                worker,
                task: task()?,
                attempt: attempt()?,
                finished: line["finished"] == true,
            }
        }
        other => anyhow::bail!("unknown event {other}"),
    };
    Ok(Timed { at_ms, event })
}

fn request_event(line: &Value, submissions: &[Submission]) -> anyhow::Result<Option<Timed>> {
    let (Some("request_ran"), Some(request)) = (line["event"].as_str(), line["request"].as_str())
    else {
        return Ok(None);
    };
    let at_ms = line["at_ms"].as_u64().context("missing at_ms")?;
    Ok(Some(Timed {
        at_ms,
        event: Event::RequestRan {
            request: request.to_owned(),
            submission: find_submission(request, at_ms, submissions),
            idempotent: line["idempotent"] == true,
        },
    }))
}

/// Returns the index of the submission that ran at `at_ms`.
///
/// The submissions of a request are sent one after another and are identical, so the journal does
/// not tell them apart. A run is attributed to the first earlier submission whose outcome is
/// unknown or whose response was lost, or else to the last submission before the run.
fn find_submission(request: &str, at_ms: u64, submissions: &[Submission]) -> u64 {
    let mut of_request = submissions
        .iter()
        .enumerate()
        .filter(|(_, submission)| submission.request == request && submission.sent_ms <= at_ms)
        .map(|(index, submission)| (index as u64, submission));
    let is_outcome_unknown =
        |submission: &Submission| matches!(submission.outcome, None | Some(Outcome::Unknown));
    let latest = of_request.clone().next_back();
    let with_unknown_outcome = of_request.find(|(_, submission)| is_outcome_unknown(submission));
    with_unknown_outcome
        .or(latest)
        .map_or(u64::MAX, |(index, _)| index)
}
