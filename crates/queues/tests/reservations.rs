//! Which gangs get a reservation.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WHOLE: Resources = Resources::new(32_000, 8_192, 0);
const QUARTER: Resources = Resources::new(8_000, 2_048, 0);
const LASTING: JobKey = JobKey(1);
const BLOCKED: JobKey = JobKey(2);
const GANG: JobKey = JobKey(3);
const SMALL_MS: u64 = 400;
/// How long the tasks run that a gang waits for.
const LONG_MS: u64 = 300_000;
/// A reservation begins when all small tasks have ended, each of which takes under a second.
const START_MAX_MS: u64 = 5_000;
/// The same if the gang that goes first waits for the ends of runs that do not come, and if it expects
/// them much later.
const START_MAX_IF_OVERDUE_MS: u64 = 15_000;
const START_MAX_IF_AHEAD_MS: u64 = 25_000;

fn spec(label: &str, resources: Resources, is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count: if is_gang { 2 } else { 1 },
        resources,
        estimate_ms: SMALL_MS,
        is_gang,
        per_worker_max: is_gang.then_some(1),
        required_label: Some(Arc::from(label)),
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// Submits a gang that waits for two other tasks, then one that waits for a gap between small tasks.
/// Returns how long the second one waits, which may be `limit_ms` at most.
fn wait_of_second_gang(others: &SubmittedSpec, limit_ms: u64) -> u64 {
    let need = |task: TaskKey| match task.step.job {
        LASTING | BLOCKED | GANG => WHOLE,
        _ => QUARTER,
    };
    let work_ms = |task: TaskKey| match task.step.job {
        LASTING => LONG_MS,
        _ => SMALL_MS + task.step.job.0 % 7 * 50,
    };
    let worker = |number: u64| {
        let mut worker = ModelWorker::new(&format!("w{number}"), 32, need, work_ms);
        worker.record.capacity = WHOLE;
        let label = if number < 2 { "lasting" } else { "small" };
        worker.record.labels.push(Arc::from(label));
        worker
    };
    let queues = vec![
        queue("first", 0, 1_000.0, 1_000),
        queue("gang", 1, 1_000.0, 1_000),
        queue("small", 2, 1_000.0, 1_000),
    ];
    let mut model = Model::new(queues, (0..4).map(worker).collect(), 0);
    model.run(100);
    model.submit(LASTING.0, "first", others.clone());
    model.run(300);
    model.submit(BLOCKED.0, "first", spec("lasting", WHOLE, true));
    let mut next = 100;
    let mut submit_small = |model: &mut Model| {
        model.submit(next, "small", spec("small", QUARTER, false));
        next += 1;
    };
    for _ in 0..20 {
        submit_small(&mut model);
    }
    model.run(200);
    model.submit(GANG.0, "gang", spec("small", WHOLE, true));
    let begin = model.now;
    while !model.has_started(GANG) {
        let waits_ms = model.now.since(begin);
        assert!(waits_ms <= limit_ms, "not started after {waits_ms} ms");
        submit_small(&mut model);
        model.run(50);
    }
    model.now.since(begin)
}

/// Two tasks that take up the workers which a gang wants.
fn other_tasks() -> SubmittedSpec {
    let mut tasks = spec("lasting", WHOLE, true);
    tasks.steps[0].is_gang = false;
    tasks
}

/// Guards against a gang that waits for ever behind small tasks, since another one holds the
/// reservation that only tasks which last keep from being of use.
#[test]
fn a_gang_that_waits_for_lasting_tasks_keeps_no_other_from_a_reservation() {
    let mut lasting = other_tasks();
    lasting.steps[0].is_service = true;
    let waited_ms = wait_of_second_gang(&lasting, START_MAX_MS);
    println!("started after {waited_ms} ms");
}

/// Guards against the same behind tasks that run for much longer than estimated.
#[test]
fn a_gang_that_waits_for_overrunning_tasks_keeps_no_other_from_a_reservation() {
    let waited_ms = wait_of_second_gang(&other_tasks(), START_MAX_IF_OVERDUE_MS);
    println!("started after {waited_ms} ms");
}

/// Guards against a gang that waits for as long as another one expects to wait for long tasks.
#[test]
fn a_gang_that_waits_for_long_tasks_leaves_the_reservation_to_others() {
    let mut long = other_tasks();
    long.steps[0].estimate_ms = LONG_MS;
    let waited_ms = wait_of_second_gang(&long, START_MAX_IF_AHEAD_MS);
    println!("started after {waited_ms} ms");
}
