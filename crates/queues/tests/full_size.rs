//! The cost of scheduling in the largest cluster that the design covers, at its full load and at a
//! multiple of it.

mod model;

use std::time::Duration;

use sapphirepost_queues::Queue;

use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 350;
const POLICY_CLIENTS: usize = 44;
/// Jobs of each kind per 1000 seconds.
const RATES: [(Kind, &str, u64); 3] = [
    (Kind::Lookup, "lookup", 220_000),
    (Kind::Tally, "tally", 15_800),
    (Kind::Gang, "gang", 7_600),
];
/// How many times as long the scheduling of one start may take under overload.
const SLOWDOWN_MAX: u32 = 5;

fn queues() -> Vec<Queue> {
    vec![
        with_permits(queue("lookup", 0, 1.5, 250), 11.7, 0.169),
        with_permits(queue("gang", 1, 2.2, 1_000), 702.0, 10.0),
        with_permits(queue("tally", 2, 4.0, 3_000), 156.0, 2.34),
    ]
}

/// The real time that the scheduler's ticks take for each start, at a multiple of the load.
fn time_per_start(load_factor: f64, seconds: u64) -> Duration {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    let mut model = Model::new(queues(), (0..WORKERS).map(worker).collect(), POLICY_CLIENTS);
    model.allowed_percent = 40;
    model.run(100);
    model.submit_load(&RATES, |_, _| load_factor, seconds);
    model.decision_time / u32::try_from(model.starts).unwrap()
}

/// Guards against a scheduling cost that grows with the waiting work: the leader would fall behind
/// when most work waits, and short jobs would be late although there are free resources.
#[test]
fn a_backlog_does_not_slow_the_decisions_down() {
    let usual = time_per_start(1.0, 4);
    let overloaded = time_per_start(3.0, 10);
    println!("per start: {usual:?}, with a backlog {overloaded:?}");
    assert!(
        overloaded < usual * SLOWDOWN_MAX,
        "{overloaded:?} instead of {usual:?}"
    );
}
