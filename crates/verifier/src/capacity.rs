//! I1: the attempts that run on a worker fit into it together.

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
struct Vm {
    capacity: Resources,
    running: FxHashMap<(TaskId, Attempt), Resources>,
}

pub(crate) fn check(history: &[Timed], violations: &mut Vec<Violation>) {
    let mut vms: FxHashMap<&Name, Vm> = FxHashMap::default();
    for timed in history {
        match &timed.event {
            Event::WorkerSize { worker, capacity } => {
                vms.entry(worker).or_default().capacity = *capacity;
            }
            Event::TaskStarted {
                worker,
                task,
                attempt,
                resources,
            } => {
                let vm = vms.entry(worker).or_default();
                vm.running.insert((*task, *attempt), *resources);
                if let Some(detail) = excess(vm) {
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
                vms.entry(worker)
                    .or_default()
                    .running
                    .remove(&(*task, *attempt));
            }
            Event::WorkerLost { worker } => {
                vms.entry(worker).or_default().running.clear();
            }
            _ => {}
        }
    }
}

fn excess(vm: &Vm) -> Option<String> {
    let (mut millicores, mut memory_mib, mut accelerators) = (0u128, 0u128, 0u128);
    for resources in vm.running.values() {
        millicores += u128::from(resources.millicores);
        memory_mib += u128::from(resources.memory_mib);
        accelerators += u128::from(resources.accelerators);
    }
    let has = vm.capacity;
    let is_within = millicores <= u128::from(has.millicores)
        && memory_mib <= u128::from(has.memory_mib)
        && accelerators <= u128::from(has.accelerators);
    match is_within {
        true => None,
        false => Some(format!(
            "{millicores}m/{memory_mib}Mi/{accelerators}a run, the VM has {has}"
        )),
    }
}
