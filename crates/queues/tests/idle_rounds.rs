//! The work of the scheduler on a large cluster on which nothing happens.

mod model;

use crate::model::Model;
use crate::model::wide_load;
use crate::model::wide_load::Kind;
use crate::model::wide_load::LARGE_KINDS;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 1_100;
const CORES_PER_WORKER: u64 = 32;
/// By then all workers have answered, and their polls are spread over time.
const WARM_UP_MS: u64 = 3_000;
const MEASURED_S: u64 = 5;
/// A round is due after 100 ms without a change.
const ROUNDS_PER_S_MAX: u64 = 10;

/// Guards against placement rounds that the polls of idle workers cause.
#[test]
fn polls_of_idle_workers_cause_no_placement_rounds() {
    let worker = |number: usize| {
        let name = format!("w{number}");
        ModelWorker::new(&name, CORES_PER_WORKER, wide_load::need, wide_load::work_ms)
    };
    let queues = LARGE_KINDS.iter().map(Kind::queue).collect();
    let mut model = Model::new(queues, (0..WORKERS).map(worker).collect(), 0);
    // Without this, all workers would be polled in the same steps.
    for id in model.worker_ids() {
        model.cut_off(&id);
    }
    for id in model.worker_ids() {
        model.run(5);
        model.reconnect(&id);
    }
    model.run(WARM_UP_MS);
    let _ = model.scheduler.take_placement_counts();
    model.run(MEASURED_S * 1_000);
    let rounds = model.scheduler.take_placement_counts().rounds;
    println!("{rounds} rounds in {MEASURED_S} s");
    assert!(rounds <= MEASURED_S * ROUNDS_PER_S_MAX, "{rounds} rounds");
}
