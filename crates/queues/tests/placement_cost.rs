//! What placement costs by the number of changes: rounds on a full cluster on which steps wait.

mod model;

use std::sync::Arc;

use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::PlacementCounts;
use sapphirepost_queues::scheduler::VisitKind;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKERS: u64 = 400;
const WAITING_JOBS: u64 = 20;
const CORES: u64 = 64;
const TASK_MS: u64 = 60_000;
const MEASURED_S: u64 = 2;
/// A worker changes with each reply to a poll, which it holds open for most of a second, and with
/// the next poll.
const CHANGES_PER_WORKER_S: u64 = 4;
/// A step that waits is tried at a long interval in any case.
const TRIES_PER_S_MAX: u64 = 4;
/// The passes over all steps in a round.
const PASSES_PER_ROUND: u64 = 2;

fn need(_: TaskKey) -> Resources {
    Resources::new(CORES * 1_000, 1_000, 0)
}

fn work_ms(_: TaskKey) -> u64 {
    TASK_MS
}

fn spec(tasks: u32) -> SubmittedSpec {
    let step = StepSpec {
        count: tasks,
        resources: Resources::new(CORES * 1_000, 1_000, 0),
        estimate_ms: TASK_MS,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// The counts of some seconds in which no room appears, while jobs of so many tasks run.
fn counts_without_room(running_tasks: u64) -> PlacementCounts {
    let worker = |number| ModelWorker::new(&format!("w{number}"), CORES, need, work_ms);
    let workers = (0..WORKERS).map(worker).collect();
    let mut model = Model::new(vec![queue("full", 0, 4.0, 3_000)], workers, 0);
    model.run(100);
    let running_jobs = WORKERS / running_tasks;
    for number in 0..running_jobs {
        model.submit(number, "full", spec(running_tasks as u32));
    }
    model.run(1_000);
    for number in 0..WAITING_JOBS {
        model.submit(running_jobs + number, "full", spec(1));
    }
    model.run(2_000);
    let _ = model.scheduler.take_placement_counts();
    model.run(MEASURED_S * 1_000);
    let counts = model.scheduler.take_placement_counts();
    println!("{counts:?}");
    counts
}

/// Guards against attempts of all waiting steps at a short interval although no room has appeared.
#[test]
fn steps_without_room_are_not_tried_again_and_again() {
    let counts = counts_without_room(WORKERS);
    let tries: u64 = counts.attempts.iter().sum();
    let tries_max = WAITING_JOBS * TRIES_PER_S_MAX * MEASURED_S;
    assert!(
        tries <= tries_max,
        "{tries} tries, at most {tries_max}: {counts:?}"
    );
}

/// Guards against rounds that go through all workers although few of them have changed.
#[test]
fn rounds_visit_no_more_workers_than_have_changed() {
    let counts = counts_without_room(WORKERS);
    assert_round_visits(&counts);
}

/// Guards against rounds that go through all steps although nearly all of them run.
#[test]
fn rounds_visit_no_more_steps_than_wait() {
    let counts = counts_without_room(1);
    assert_round_visits(&counts);
}

/// Rounds visit the waiting steps and the workers that have changed.
fn assert_round_visits(counts: &PlacementCounts) {
    let of_steps = PASSES_PER_ROUND * WAITING_JOBS * counts.rounds;
    let of_workers = CHANGES_PER_WORKER_S * WORKERS * MEASURED_S;
    let visits = counts.visits[VisitKind::Round as usize];
    assert!(
        visits <= of_steps + of_workers,
        "{visits} visits in {} rounds, at most {of_steps} for steps and {of_workers} for workers",
        counts.rounds
    );
}
