//! The largest cluster to design for, with as much work as it can take and with much more.

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
const CALLERS: usize = 44;
/// Jobs of each kind in a second, in thousandths.
const RATES: [(Kind, &str, u64); 3] = [
    (Kind::Lookup, "lookup", 220_000),
    (Kind::Tally, "tally", 15_800),
    (Kind::Gang, "gang", 7_600),
];
/// How much longer the decisions for one start may take when most work waits.
const SLOWDOWN_MAX: u32 = 5;

fn queues() -> Vec<Queue> {
    vec![
        with_permits(queue("lookup", 0, 1.5, 250), 11.7, 0.169),
        with_permits(queue("gang", 1, 2.2, 1_000), 702.0, 10.0),
        with_permits(queue("tally", 2, 4.0, 3_000), 156.0, 2.34),
    ]
}

/// The processor time of the decisions for each start, at a multiple of the load.
fn time_per_start(times: f64, seconds: u64) -> Duration {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::room, load::work_ms);
    let mut model = Model::new(queues(), (0..WORKERS).map(worker).collect(), CALLERS);
    model.allowed_percent = 40;
    model.run(100);
    model.receive(&RATES, |_, _| times, seconds);
    model.decision_time / u32::try_from(model.starts).unwrap()
}

/// Guards against decisions whose cost grows with the work that waits: the leader then falls
/// behind just when most work waits, and short jobs that have room are late.
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
