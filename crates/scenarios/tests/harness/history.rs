//! The history of a scenario: the journals of the stand-ins and what callers were told.

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

use crate::harness::callers::Sending;

/// The lines of a journal; a file that was never written is empty.
pub fn read(path: &Path) -> anyhow::Result<Vec<Value>> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str);
    Ok(lines.collect::<Result<_, _>>()?)
}

/// All violations in the journals.
///
/// The tasks of a worker in `frozen` stood still with it, so an end that it noticed late counts
/// from the end of its lease.
pub fn violations(
    tasks: &[Value],
    requests: &[Value],
    sendings: &[Sending],
    frozen: &BTreeSet<String>,
) -> anyhow::Result<Vec<String>> {
    let mut history = Vec::new();
    for line in tasks {
        history.push(task_event(line, frozen)?);
    }
    for line in requests {
        history.extend(request_event(line, sendings)?);
    }
    for (submission, sending) in sendings.iter().enumerate() {
        history.push(Timed {
            at_ms: sending.answered_ms,
            event: Event::RequestAnswered {
                submission: submission as u64,
                outcome: sending.outcome.unwrap_or(Outcome::Unknown),
            },
        });
    }
    // A stop of the same millisecond as a start counts as earlier: the leader starts a task again
    // only after it knows the stop.
    history.sort_by_key(|timed| {
        let is_stop = matches!(timed.event, Event::TaskStopped { .. });
        (timed.at_ms, !is_stop)
    });
    let mut found: Vec<String> = sapphirepost_verifier::check(&history, &Limits::default())
        .iter()
        .map(ToString::to_string)
        .collect();
    found.extend(answer_violations(requests, sendings));
    Ok(found)
}

/// A request that was told as done ran, and all its answers are equal.
fn answer_violations(requests: &[Value], sendings: &[Sending]) -> Vec<String> {
    let ran: BTreeSet<&str> = requests
        .iter()
        .filter_map(|line| line["request"].as_str())
        .collect();
    let mut answers: BTreeMap<&str, &str> = BTreeMap::new();
    let mut found = Vec::new();
    for sending in sendings {
        if sending.outcome != Some(Outcome::Done) {
            continue;
        }
        if !ran.contains(sending.request.as_str()) {
            found.push(format!(
                "{} was told as done and did not run",
                sending.request
            ));
        }
        let first = answers.entry(&sending.request).or_insert(&sending.body);
        if **first != sending.body || !sending.body.contains(&sending.request) {
            found.push(format!("{} got another answer", sending.request));
        }
    }
    found
}

fn task_event(line: &Value, frozen: &BTreeSet<String>) -> anyhow::Result<Timed> {
    let text = |field: &str| line[field].as_str().context("a field of a journal line");
    let worker = text("worker")?.parse()?;
    let mut at_ms = line["at_ms"].as_u64().context("at_ms")?;
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
            if line["reason"] == "lease_end" && frozen.contains(text("worker")?) {
                at_ms -= line["late_ms"].as_u64().context("late_ms")?;
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

fn request_event(line: &Value, sendings: &[Sending]) -> anyhow::Result<Option<Timed>> {
    let (Some("request_ran"), Some(request)) = (line["event"].as_str(), line["request"].as_str())
    else {
        return Ok(None);
    };
    let at_ms = line["at_ms"].as_u64().context("at_ms")?;
    Ok(Some(Timed {
        at_ms,
        event: Event::RequestRan {
            request: request.to_owned(),
            submission: sending_of_run(request, at_ms, sendings),
            idempotent: line["idempotent"] == true,
        },
    }))
}

/// Which sending ran. Sendings of a request follow one another and are equal, so the journal does
/// not tell them apart: a run belongs to the first earlier sending that was told as unknown or got
/// no answer, otherwise to the last one before the run.
fn sending_of_run(request: &str, at_ms: u64, sendings: &[Sending]) -> u64 {
    let mut of_request = sendings
        .iter()
        .enumerate()
        .filter(|(_, sending)| sending.request == request && sending.sent_ms <= at_ms)
        .map(|(index, sending)| (index as u64, sending));
    let is_open = |sending: &Sending| matches!(sending.outcome, None | Some(Outcome::Unknown));
    let last = of_request.clone().next_back();
    let open = of_request.find(|(_, sending)| is_open(sending));
    open.or(last).map_or(u64::MAX, |(index, _)| index)
}
