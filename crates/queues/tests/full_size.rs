//! The cost of scheduling in the largest cluster that the design covers, at its full load and at a
//! multiple of it.

mod model;

use std::time::Duration;
use std::time::Instant;

use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;

use crate::model::Model;
use crate::model::STEP_MS;
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

/// The workers of the largest known site, with room for six tasks of the kind `Tally` each.
const WORKERS_OF_LARGEST_SITE: usize = 1_100;
const JOBS_OF_BACKLOG: u64 = 660;
/// The default election timeout: a leader that is busy for longer may lose its lead.
const TAKEOVER_MAX: Duration = Duration::from_millis(250);
/// Within this time of contact the whole backlog is stopped: a poll that began before goes
/// unanswered, the next one lists the runs, and they are stopped.
const BACKLOG_STOPPED_MS: u64 = 1_200;

/// Guards against a takeover that is delayed by many runs of ended jobs, and against such runs that
/// go on for long since there are many of them.
#[test]
fn a_long_backlog_of_ended_runs_delays_no_takeover() {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 32, load::need, load::work_ms);
    let workers = (0..WORKERS_OF_LARGEST_SITE).map(worker).collect();
    let mut model = Model::new(vec![queue("tally", 2, 4.0, 3_000)], workers, 0);
    model.run(100);
    for number in 0..JOBS_OF_BACKLOG {
        model.submit(
            load::key(Kind::Tally, number),
            "tally",
            load::spec(Kind::Tally, number),
        );
    }
    model.run(500);
    let count = |model: &Model| -> usize {
        let workers = model.workers.values();
        workers.map(|worker| worker.running.len()).sum()
    };
    let runs = count(&model);
    assert!(runs > 5_000, "{runs} runs");
    for worker in model.workers.values_mut() {
        worker.is_unreachable = true;
    }
    let jobs: Vec<_> = model.jobs.keys().copied().collect();
    for job in jobs {
        model.propose(QueueCommand::Cancel { job });
    }
    model.run(50);
    let begin = Instant::now();
    model.change_leader();
    let takeover = begin.elapsed();
    for worker in model.workers.values_mut() {
        worker.is_unreachable = false;
    }
    let mut longest_step = Duration::ZERO;
    let since = model.now;
    let mut stopped_ms = 0;
    while count(&model) > 0 {
        let begin = Instant::now();
        model.run(STEP_MS);
        longest_step = longest_step.max(begin.elapsed());
        stopped_ms = model.now.since(since);
        assert!(
            stopped_ms <= BACKLOG_STOPPED_MS,
            "{} runs go on",
            count(&model)
        );
    }
    println!("{runs} runs: takeover {takeover:?}, longest step {longest_step:?}, {stopped_ms} ms");
    assert!(takeover < TAKEOVER_MAX, "{takeover:?}");
    assert!(longest_step < TAKEOVER_MAX, "{longest_step:?}");
}
