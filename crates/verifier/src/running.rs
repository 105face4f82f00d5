//! I2: a task runs in one place at a time, and not again after it was told as finished.
//!
//! A task whose end was not reported before its lease ended runs again; that is no violation.

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::Attempt;
use sapphirepost_types::Name;
use sapphirepost_types::TaskId;

use crate::event::Event;
use crate::event::Timed;
use crate::violation::Invariant;
use crate::violation::Violation;

type Place<'a> = (&'a Name, Attempt);

pub(crate) fn check(history: &[Timed], violations: &mut Vec<Violation>) {
    let mut places: FxHashMap<TaskId, Vec<Place<'_>>> = FxHashMap::default();
    let mut finished: FxHashSet<TaskId> = FxHashSet::default();
    let mut told: FxHashSet<TaskId> = FxHashSet::default();
    for timed in history {
        match &timed.event {
            Event::TaskStarted {
                worker,
                task,
                attempt,
                ..
            } => {
                let running = places.entry(*task).or_default();
                if let Some((other, earlier)) = running.first() {
                    violations.push(violation(
                        timed,
                        format!(
                            "{task} {attempt} starts on {worker} while {earlier} runs on {other}"
                        ),
                    ));
                }
                if told.contains(task) {
                    violations.push(violation(
                        timed,
                        format!(
                            "{task} {attempt} starts on {worker} after it was told as finished"
                        ),
                    ));
                }
                running.push((worker, *attempt));
            }
            Event::TaskStopped {
                worker,
                task,
                attempt,
                finished: with_success,
            } => {
                if let Some(running) = places.get_mut(task) {
                    running.retain(|place| *place != (worker, *attempt));
                }
                if *with_success {
                    finished.insert(*task);
                }
            }
            Event::FinishReported { task } => {
                if !finished.contains(task) {
                    violations.push(violation(
                        timed,
                        format!("{task} was told as finished and did not finish"),
                    ));
                }
                told.insert(*task);
            }
            Event::WorkerLost { worker } => {
                for running in places.values_mut() {
                    running.retain(|(place, _)| *place != worker);
                }
            }
            _ => {}
        }
    }
}

fn violation(timed: &Timed, detail: String) -> Violation {
    Violation {
        invariant: Invariant::SingleAttempt,
        at_ms: timed.at_ms,
        detail,
    }
}
