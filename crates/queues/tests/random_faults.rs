//! Random faults of workers and leaders, after which all accepted jobs must end.

mod model;

use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;

use crate::model::Model;
use crate::model::hash;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 16;
const POLICY_CLIENTS: usize = 5;
const ROUNDS: u64 = 30;
const ROUND_MS: u64 = 500;
/// How long the remaining jobs may take once there are no more faults.
const END_MS: u64 = 60_000;
const SEEDS: u64 = 12;
/// With odd seeds, tasks write a checkpoint after each such time of work.
const CHECKPOINT_MS: u64 = 500;
/// The number of the fault that restarts workers under their IDs.
const RESTART_FAULT: u64 = 5;
/// The longest time that a worker is down when it restarts: beyond its lease.
const DOWN_MAX_MS: u64 = 6_000;

fn queues() -> Vec<Queue> {
    vec![
        with_permits(queue("lookup", 0, 1.5, 250), 9.3, 0.13),
        with_permits(queue("gang", 1, 2.2, 1_000), 520.0, 7.4),
        with_permits(queue("tally", 2, 4.0, 3_000), 82.0, 1.2),
    ]
}

/// Guards against accepted jobs that never end after one or several faults. The environment
/// variable `SAPPHIREPOST_TEST_SEEDS` sets the number of seeds.
#[test]
fn all_work_ends_after_random_faults() {
    let seeds = std::env::var("SAPPHIREPOST_TEST_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        println!("seed {seed}"); // Shown when it fails.
        run(seed);
    }
}

fn run(seed: u64) {
    let worker = |number| {
        let mut worker = ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
        worker.checkpoint_ms = seed % 2 * CHECKPOINT_MS;
        worker
    };
    let workers = (0..WORKERS).map(worker).collect();
    let mut model = Model::new(queues(), workers, POLICY_CLIENTS);
    model.run(50);
    for round in 0..ROUNDS {
        let draw = |what: &str, below: u64| hash(seed * ROUNDS + round, what) % below;
        let (fault, first) = (draw("fault", 8), draw("worker", WORKERS as u64));
        toggle_fault(&mut model, fault, first);
        if fault == RESTART_FAULT {
            restart_workers(&mut model, first, draw("down", DOWN_MAX_MS));
        }
        if draw("leader", 6) == 0 {
            model.change_leader();
        }
        if draw("cancel", 5) == 0 {
            cancel_one(&mut model, draw("job", 1_000));
        }
        // Jobs are submitted after a change of leaders, since a job whose commit is lost with its
        // leader is not accepted.
        submit(&mut model, seed, round);
        model.run(ROUND_MS);
    }
    for worker in model.workers.values_mut() {
        // A worker that has crashed for good does not come back.
        worker.is_unreachable = worker.is_crashed && worker.crash.is_none();
        worker.loses_reports = false;
        worker.fails_all = false;
        worker.stalls = false;
        worker.start_delay_ms = 0;
    }
    model.run_until_done(END_MS);
}

fn submit(model: &mut Model, seed: u64, round: u64) {
    for (kind, name, count) in [
        (Kind::Lookup, "lookup", 4),
        (Kind::Tally, "tally", 1),
        (Kind::Gang, "gang", round % 2),
    ] {
        for number in 0..count {
            let number = (seed * ROUNDS + round) * 8 + number;
            model.submit(load::key(kind, number), name, load::spec(kind, number));
        }
    }
}

/// Switches a fault of four workers, beginning with the worker `first`, on or off.
fn toggle_fault(model: &mut Model, fault: u64, first: u64) {
    let some = model.workers.values_mut().skip(first as usize).take(4);
    for worker in some {
        match fault {
            0 => worker.is_unreachable = worker.is_crashed || !worker.is_unreachable,
            1 => worker.fails_all = !worker.fails_all,
            2 => worker.stalls = !worker.stalls,
            3 => worker.start_delay_ms = 2_600 - worker.start_delay_ms,
            4 if worker.is_unreachable && first < 4 => worker.is_crashed = true,
            6 => worker.loses_reports = !worker.loses_reports,
            _ => {}
        }
    }
}

/// Crashes four workers, which start again under their IDs.
fn restart_workers(model: &mut Model, first: u64, down_ms: u64) {
    let ids = model.worker_ids();
    for id in ids.iter().skip(first as usize).take(4) {
        if !model.workers[id].is_crashed {
            model.restart_worker(id, down_ms);
        }
    }
}

fn cancel_one(model: &mut Model, draw: u64) {
    let open: Vec<_> = model
        .jobs
        .iter()
        .filter(|(_, job)| job.ended.is_none())
        .collect();
    if open.is_empty() {
        return;
    }
    let job = *open[draw as usize % open.len()].0;
    model.propose(QueueCommand::Cancel { job });
}
