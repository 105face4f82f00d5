//! Workers of unequal speed, and workers of equal speed whose runs vary much.

mod model;

use std::collections::BTreeSet;
use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::hash;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const TIGHT: &str = "tight";
const SPARE: &str = "spare";
const WORKERS: u64 = 10;
const WORK_MS: u64 = 400;
/// Durations of slow and fast workers in percent of the usual one, at speeds of 0.55 and 1.2.
const SLOW_PERCENT: u64 = 182;
const FAST_PERCENT: u64 = 83;
/// Jobs from this key on have no tails.
const FIRST_PROBE: u64 = 1 << 40;

fn need(_: TaskKey) -> Resources {
    Resources::new(1_000, 1_024, 0)
}

/// One run in ten takes seven times as long.
fn work_ms(task: TaskKey) -> u64 {
    let spread = hash(task.step.job.0 * 64 + u64::from(task.index), "tail");
    match spread % 10 {
        0 if task.step.job.0 < FIRST_PROBE => 7 * WORK_MS,
        _ => WORK_MS,
    }
}

fn spec(count: u32, is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count,
        resources: Resources::new(1_000, 1_024, 0),
        estimate_ms: WORK_MS,
        is_gang,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// A model of idle workers that have done some jobs, of which the first half has this duration.
fn model_after(jobs: u64, first_percent: u64, others_percent: u64) -> Model {
    let workers = (0..WORKERS).map(|number| {
        let mut worker = ModelWorker::new(&format!("w{number}"), 1, need, work_ms);
        let is_first = number < WORKERS / 2;
        worker.duration_percent = if is_first {
            first_percent
        } else {
            others_percent
        };
        worker
    });
    let queues = vec![queue(TIGHT, 1, 1.6, 1), queue(SPARE, 1, 20.0, 1)];
    let mut model = Model::new(queues, workers.collect(), 0);
    model.run(100);
    for number in 0..jobs {
        // Steps of one task can only be compared with the prediction.
        let count = if number.is_multiple_of(2) { 1 } else { 20 };
        model.submit(number, SPARE, spec(count, false));
        if number.is_multiple_of(4) {
            model.run_until_done(60_000);
        }
    }
    model.run_until_done(60_000);
    model
}

/// Runs a job of some tasks on the idle cluster; returns its workers and how long it took.
fn probe(model: &mut Model, key: u64, queue: &str, is_gang: bool) -> (BTreeSet<Arc<str>>, u64) {
    let key = FIRST_PROBE + key;
    model.submit(key, queue, spec(WORKERS as u32 / 2, is_gang));
    let at = model.now;
    model.run(200);
    let running = model.workers.iter();
    let used = running.filter(|(_, worker)| !worker.running.is_empty());
    let used = used.map(|(id, _)| id.clone()).collect();
    model.run_until_done(20_000);
    let ended = model.jobs[&JobKey(key)].ended.unwrap().0;
    (used, ended.since(at))
}

fn names(numbers: std::ops::Range<u64>) -> BTreeSet<Arc<str>> {
    numbers.map(|n| Arc::from(format!("w{n}"))).collect()
}

/// Guards against equal workers that are told apart by runs that happened to be long.
#[test]
fn equal_workers_keep_their_order_after_runs_of_seven_times() {
    let mut model = model_after(120, 100, 100);
    for (number, is_gang) in [(0, false), (1, true)] {
        let (used, _) = probe(&mut model, number, TIGHT, is_gang);
        assert_eq!(used, names(0..WORKERS / 2));
    }
}

/// Guards against gangs with a slow member that miss their deadline although fast workers are free.
#[test]
fn steps_that_need_fast_workers_get_them() {
    let mut model = model_after(60, SLOW_PERCENT, FAST_PERCENT);
    for (number, is_gang) in [(0, false), (1, true)] {
        let (used, took_ms) = probe(&mut model, number, TIGHT, is_gang);
        println!("learned, gang {is_gang}: {took_ms} ms");
        assert_eq!(used, names(WORKERS / 2..WORKERS));
    }
    assert_eq!(model.in_time_percent(TIGHT), 100);
    model.change_leader();
    model.run(1_000);
    let (used, took_ms) = probe(&mut model, 2, TIGHT, true);
    println!("not learned: {took_ms} ms, on {used:?}");
}

/// Guards against work with time to spare that takes the fast workers of others, and against gangs
/// that mix slow and fast members.
#[test]
fn a_gang_with_time_to_spare_leaves_fast_workers_to_others() {
    let mut model = model_after(60, FAST_PERCENT, SLOW_PERCENT);
    let (used, _) = probe(&mut model, 0, SPARE, true);
    assert_eq!(used, names(WORKERS / 2..WORKERS));
}
