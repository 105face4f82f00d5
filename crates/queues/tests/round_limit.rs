//! Steps behind many others that cannot be placed, in rounds with a limited number of checks.

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

const FULL_WORKERS: usize = 400;
const WAITING_JOBS: u64 = 1_500;
const CORES: u64 = 64;
const TASK_MS: u64 = 60_000;
const OTHER_SERVICE: &str = "other";
const OTHER_JOB: u64 = 1_000_000;

fn need(_: TaskKey) -> Resources {
    Resources::new(CORES * 1_000, 1_000, 0)
}

fn work_ms(_: TaskKey) -> u64 {
    TASK_MS
}

fn spec() -> SubmittedSpec {
    let step = StepSpec {
        count: 1,
        resources: Resources::new(CORES * 1_000, 1_000, 0),
        estimate_ms: TASK_MS,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

fn model() -> Model {
    let mut other = queue("other", 1, 4.0, 3_000);
    other.service = Arc::from(OTHER_SERVICE);
    let worker = |number| ModelWorker::new(&format!("w{number}"), CORES, need, work_ms);
    let mut workers: Vec<ModelWorker> = (0..=FULL_WORKERS).map(worker).collect();
    workers[FULL_WORKERS].record.service = Arc::from(OTHER_SERVICE);
    let mut model = Model::new(vec![queue("full", 0, 4.0, 3_000), other], workers, 0);
    model.run(100);
    model
}

/// Guards against a step that is never tried, although its workers are free, since each round spends
/// its checks on steps before it that cannot be placed.
#[test]
fn a_step_behind_many_unplaceable_ones_starts_on_its_free_worker() {
    let mut model = model();
    for number in 0..FULL_WORKERS as u64 + WAITING_JOBS {
        model.submit(number + 1, "full", spec());
    }
    model.run(3_000);
    model.submit(OTHER_JOB, "other", spec());
    model.run(1_000);
    let job = model.state.job(JobKey(OTHER_JOB)).unwrap();
    assert!(job.has_progress() || model.scheduler.waiting_jobs("other") == 0);
}
