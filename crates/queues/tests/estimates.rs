//! Callers whose estimates of durations are far off.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const QUEUE: &str = "batch";
const WORK_MS: u64 = 1_000;
/// By how much the estimates are wrong.
const ERROR_FACTOR: u64 = 4;
const EARLIER_JOBS: u64 = 40;

fn spec(estimate_ms: u64) -> SubmittedSpec {
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1_000, 1_024, 0),
        estimate_ms,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// A model with one worker that has room for one task and has done some jobs with these estimates.
fn model_after(estimate_ms: fn(u64) -> u64) -> Model {
    let need = |_| Resources::new(1_000, 1_024, 0);
    let worker = ModelWorker::new("w0", 1, need, |_| WORK_MS);
    let mut model = Model::new(vec![queue(QUEUE, 1, 2.0, 1_000)], vec![worker], 0);
    model.run(100);
    for number in 0..EARLIER_JOBS {
        model.submit(number, QUEUE, spec(estimate_ms(number)));
        model.run_until_done(10_000);
    }
    model
}

/// Guards against steps that count as late too early, since they are thought to be longer than the
/// earlier ones of their queue were.
#[test]
fn durations_are_expected_as_they_were_and_not_as_estimated() {
    let long = |_| WORK_MS * ERROR_FACTOR;
    let mut model = model_after(long);
    let table = model.state.table().unwrap();
    let queue = table.queue(QUEUE).unwrap();
    let new = spec(long(0));
    let admission = model
        .scheduler
        .admission(JobKey(1_000), queue, &new, None, model.now)
        .unwrap();
    println!("{admission:?}");
    assert!(
        admission.critical_path_ms.abs_diff(WORK_MS) <= WORK_MS / 5,
        "{admission:?}"
    );
}

/// Guards against a job that is overtaken by a later one, since its estimate is too long.
#[test]
fn a_wrong_estimate_does_not_change_the_order_of_jobs() {
    let wrong = |number: u64| {
        if number.is_multiple_of(2) {
            WORK_MS * ERROR_FACTOR
        } else {
            WORK_MS / ERROR_FACTOR
        }
    };
    let mut model = model_after(wrong);
    for (job, number) in [(1_000, 0), (1_001, 2), (1_002, 1)] {
        model.submit(job, QUEUE, spec(wrong(number)));
        model.run(200);
    }
    model.run_until_done(20_000);
    let ended = |job: u64| model.jobs[&JobKey(job)].ended.unwrap().0;
    assert!(
        ended(1_001) < ended(1_002),
        "{:?} {:?}",
        ended(1_001),
        ended(1_002)
    );
}
