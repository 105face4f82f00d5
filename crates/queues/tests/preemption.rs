//! Which tasks are preempted in favour of gangs.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const LONG: JobKey = JobKey(1);
const GANG: JobKey = JobKey(2);
const LONG_MS: u64 = 6_000;

fn spec(estimate_ms: u64, is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count: 1,
        resources: Resources::new(1_000, 1_024, 0),
        estimate_ms,
        is_gang,
        has_checkpoints: !is_gang,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// Guards against running tasks that are preempted although their job would be in time: it misses
/// the deadline and then waits behind all other work.
#[test]
fn a_running_task_whose_job_would_become_late_is_not_preempted() {
    let need = |_| Resources::new(1_000, 1_024, 0);
    let worker = ModelWorker::new("w0", 1, need, |task| match task.step.job {
        LONG => LONG_MS,
        _ => 2_000,
    });
    let queues = vec![queue("gang", 1, 4.0, 1_000), queue("long", 2, 1.0, 1_000)];
    let mut model = Model::new(queues, vec![worker], 0);
    model.run(100);
    model.submit(LONG.0, "long", spec(LONG_MS, false));
    model.run(500);
    model.submit(GANG.0, "gang", spec(2_000, true));
    model.run_until_done(20_000);
    let long = &model.jobs[&LONG];
    let took_ms = long.ended.unwrap().0.since(long.at);
    assert!(took_ms <= long.deadline_ms, "{took_ms} ms");
}
