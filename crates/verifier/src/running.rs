//! I2: a task has at most one running attempt, and none starts after the task was reported as
//! finished.
//!
//! A task that finished, but whose end was not reported before the lease of its worker expired,
//! runs again. This is not a violation.

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::Attempt;
use sapphirepost_types::Name;
use sapphirepost_types::TaskId;

use crate::event::Event;
use crate::event::Timed;
use crate::violation::Invariant;
use crate::violation::Violation;

type RunningAttempt<'a> = (&'a Name, Attempt);

pub(crate) fn check(history: &[Timed], violations: &mut Vec<Violation>) {
    let mut running_attempts: FxHashMap<TaskId, Vec<RunningAttempt<'_>>> = FxHashMap::default();
    let mut finished: FxHashSet<TaskId> = FxHashSet::default();
    let mut reported_finished: FxHashSet<TaskId> = FxHashSet::default();
    for timed in history {
        match &timed.event {
            Event::TaskStarted {
                worker,
                task,
                attempt,
                ..
            } => {
                let running = running_attempts.entry(*task).or_default();
                if let Some((other, earlier)) = running.first() {
                    violations.push(violation(
                        timed,
                        format!(
                            "{task} {attempt} starts on {worker} while {earlier} runs on {other}"
                        ),
                    ));
                }
                if reported_finished.contains(task) {
                    violations.push(violation(
                        timed,
                        format!(
                            "{task} {attempt} starts on {worker} after it was reported as finished"
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
                if let Some(running) = running_attempts.get_mut(task) {
                    running.retain(|known| *known != (worker, *attempt));
                }
                if *with_success {
                    finished.insert(*task);
                }
            }
            Event::FinishReported { task } => {
                if !finished.contains(task) {
                    violations.push(violation(
                        timed,
                        format!("{task} was reported as finished and did not finish"),
                    ));
                }
                reported_finished.insert(*task);
            }
            Event::WorkerLost { worker } => {
                for running in running_attempts.values_mut() {
                    running.retain(|(other, _)| *other != worker);
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
