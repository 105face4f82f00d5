//! I1: the attempts that run on a worker never use more than its capacity in total.

use rustc_hash::FxHashMap;
use sapphirepost_types::Attempt;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::event::Event;
use crate::event::Timed;
use crate::violation::Invariant;
use crate::violation::Violation;

#[derive(Default)]
struct Worker {
    capacity: Resources,
    running: FxHashMap<(TaskId, Attempt), Resources>,
}

pub(crate) fn check(history: &[Timed], violations: &mut Vec<Violation>) {
    let mut workers: FxHashMap<&Name, Worker> = FxHashMap::default();
    for timed in history {
        match &timed.event {
            Event::WorkerSize { worker, capacity } => {
                workers.entry(worker).or_default().capacity = *capacity;
            }
            Event::TaskStarted {
                worker,
                task,
                attempt,
                resources,
            } => {
                let state = workers.entry(worker).or_default();
                state.running.insert((*task, *attempt), *resources);
                if let Some(detail) = check_capacity(state) {
                    violations.push(Violation {
                        invariant: Invariant::Capacity,
                        at_ms: timed.at_ms,
                        detail: format!("{worker} after the start of {task} {attempt}: {detail}"),
                    });
                }
            }
            Event::TaskStopped {
                worker,
                task,
                attempt,
                ..
            } => {
                workers
                    .entry(worker)
                    .or_default()
                    .running
                    .remove(&(*task, *attempt));
            }
            Event::WorkerLost { worker } => {
                workers.entry(worker).or_default().running.clear();
            }
            _ => {}
        }
    }
}

fn check_capacity(state: &Worker) -> Option<String> {
    let (mut millicores, mut memory_mib, mut accelerators) = (0u128, 0u128, 0u128);
    for resources in state.running.values() {
        millicores += u128::from(resources.millicores);
        memory_mib += u128::from(resources.memory_mib);
        accelerators += u128::from(resources.accelerators);
    }
    let capacity = state.capacity;
    let is_within = millicores <= u128::from(capacity.millicores)
        && memory_mib <= u128::from(capacity.memory_mib)
        && accelerators <= u128::from(capacity.accelerators);
    match is_within {
        true => None,
        false => Some(format!(
            "the running attempts use {millicores}m/{memory_mib}Mi/{accelerators}a, the capacity \
             is {capacity}"
        )),
    }
}
