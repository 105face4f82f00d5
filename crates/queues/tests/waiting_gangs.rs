//! What placement costs while many gangs wait and other tasks come and go.

mod model;

use std::sync::Arc;

use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::PlacementCounts;
use sapphirepost_queues::table::PermitCost;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKERS: u64 = 300;
const CORES: u64 = 64;
const MEMORY_MIB: u64 = 1_000;
const POLICY_CLIENTS: usize = 40;
const ALLOWED_PERCENT: u64 = 40;
/// The queues of the gangs and of the other jobs.
const GANGS: &str = "gangs";
const SHORT: &str = "short";
/// Gangs have keys from this one on.
const FIRST_GANG: u64 = 1 << 40;
const GANG_MEMBERS: u32 = 60;
const GANG_CORES: u64 = 24;
const SHORT_CORES: u64 = 12;
const GANG_MS: u64 = 4_000;
const SHORT_MS: u64 = 700;
/// Short tasks that are submitted in each step of the load, which is nine tenths of the capacity.
const SHORT_PER_STEP: u64 = 20;
const STEP_MS: u64 = 10;
const WARM_UP_MS: u64 = 3_000;
const MEASURED_MS: u64 = 2_000;
/// The checks of attempts that place tasks are at least this multiple of the others.
const IN_VAIN_FACTOR: u64 = 2;

fn is_gang(task: TaskKey) -> bool {
    task.step.job.0 >= FIRST_GANG
}

fn cores(is_gang: bool) -> Resources {
    let cores = if is_gang { GANG_CORES } else { SHORT_CORES };
    Resources::new(cores * 1_000, MEMORY_MIB, 0)
}

fn need(task: TaskKey) -> Resources {
    cores(is_gang(task))
}

fn work_ms(task: TaskKey) -> u64 {
    if is_gang(task) { GANG_MS } else { SHORT_MS }
}

fn spec(is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count: if is_gang { GANG_MEMBERS } else { 1 },
        resources: cores(is_gang),
        estimate_ms: if is_gang { GANG_MS } else { SHORT_MS },
        is_gang,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// The counts of some seconds of short jobs on a nearly full cluster on which `gangs` gangs wait.
fn counts(gangs: u64) -> PlacementCounts {
    let worker = |number| ModelWorker::new(&format!("w{number}"), CORES, need, work_ms);
    let mut queues = vec![queue(SHORT, 0, 4.0, 1_000), queue(GANGS, 1, 50.0, 100_000)];
    queues[1].permits = Some(PermitCost {
        call_ms: 50.0,
        worker_ms: 1.0,
        valid_ms: 2_000,
    });
    let mut model = Model::new(queues, (0..WORKERS).map(worker).collect(), POLICY_CLIENTS);
    let allowed = &mut model.allowed_percent_by_queue;
    allowed.insert(Arc::from(GANGS), ALLOWED_PERCENT);
    model.run(500);
    let mut next = 0;
    let mut run = |model: &mut Model, run_ms: u64| {
        for _ in 0..run_ms / STEP_MS {
            for _ in 0..SHORT_PER_STEP {
                model.submit(next, SHORT, spec(false));
                next += 1;
            }
            model.run(STEP_MS);
        }
    };
    run(&mut model, 1_000);
    for number in 0..gangs {
        model.submit(FIRST_GANG + number, GANGS, spec(true));
    }
    run(&mut model, WARM_UP_MS);
    let _ = model.scheduler.take_placement_counts();
    run(&mut model, MEASURED_MS);
    let counts = model.scheduler.take_placement_counts();
    println!("{gangs} gangs: {counts:?}");
    counts
}

/// Guards against attempts of waiting gangs that take more processor time than what is placed, although
/// room for a whole gang appears no more often with many of them.
#[test]
fn tries_of_many_waiting_gangs_cost_less_than_the_placements_beside_them() {
    let counts = counts(300);
    let [placed, in_vain @ ..] = counts.attempt_checks;
    let in_vain: u64 = in_vain.iter().sum();
    println!("{placed} checks in tries that placed tasks, {in_vain} in others");
    assert!(
        in_vain * IN_VAIN_FACTOR <= placed,
        "{in_vain} checks in vain, {placed} for {} placed tasks",
        counts.tasks
    );
}
