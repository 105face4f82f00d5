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
/// A reservation begins when all small tasks have ended, each of which takes under a second.
const START_MAX_MS: u64 = 5_000;

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

/// Guards against a gang that waits for ever behind small tasks, since another one holds the
/// reservation that only tasks which last keep from being of use.
#[test]
fn a_gang_that_waits_for_lasting_tasks_keeps_no_other_from_a_reservation() {
    let need = |task: TaskKey| match task.step.job {
        LASTING | BLOCKED | GANG => WHOLE,
        _ => QUARTER,
    };
    let work_ms = |task: TaskKey| match task.step.job {
        LASTING => 60_000_000,
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
    let mut lasting = spec("lasting", WHOLE, true);
    (lasting.steps[0].is_gang, lasting.steps[0].is_service) = (false, true);
    model.submit(LASTING.0, "first", lasting);
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
        assert!(waits_ms <= START_MAX_MS, "not started after {waits_ms} ms");
        submit_small(&mut model);
        model.run(50);
    }
    println!("started after {} ms", model.now.since(begin));
}
