//! Tasks that last until their job is cancelled and fail now and then by themselves.

mod model;

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKERS: u32 = 8;
const JOBS: u64 = 24;
const TASKS: u32 = 4;
const NEED: Resources = Resources::new(2_000, 1_024, 0);
/// The rule allows 6 s and 3 s of calm from the end of a run to the next one.
const RESTART_MAX_MS: u64 = 9_000;

/// Eight workers on which all tasks fail after `work_ms`, and jobs that last.
fn failing_model(work_ms: fn(TaskKey) -> u64, jobs: u64) -> Model {
    let worker = |number| {
        let mut worker = ModelWorker::new(&format!("w{number}"), 64, |_| NEED, work_ms);
        worker.fails_all = true;
        worker
    };
    let queues = vec![queue("lasting", 0, 2.2, 1_000)];
    let mut model = Model::new(queues, (0..WORKERS).map(worker).collect(), 0);
    model.run(100);
    let step = StepSpec {
        count: TASKS,
        resources: NEED,
        estimate_ms: 600_000,
        per_worker_max: Some(1),
        is_service: true,
        ..StepSpec::default()
    };
    let spec = SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    };
    for key in 0..jobs {
        model.submit(key, "lasting", spec.clone());
    }
    model
}

/// The longest time for which a task of the jobs had no run, over some time.
fn longest_wait_ms(model: &mut Model, jobs: u64, period_ms: u64) -> u64 {
    let tasks: Vec<TaskKey> = (0..jobs)
        .flat_map(|job| {
            let key = StepKey {
                job: JobKey(job),
                step: 0,
            };
            (0..TASKS).map(move |index| key.task(index))
        })
        .collect();
    let mut since: BTreeMap<TaskKey, Millis> = BTreeMap::new();
    let begin = model.now;
    let mut longest_ms = 0;
    while model.now.since(begin) < period_ms {
        for task in &tasks {
            let mut workers = model.workers.values();
            if workers.any(|worker| worker.running.contains_key(task)) {
                since.insert(*task, model.now);
            }
            let last = since.get(task).copied().unwrap_or(begin);
            longest_ms = longest_ms.max(model.now.since(last));
        }
        model.run(STEP_MS);
    }
    longest_ms
}

/// Guards against tasks that wait for long on sound workers which are suspected, since the tasks fail
/// by themselves after they have worked for some time.
#[test]
fn lasting_tasks_that_fail_after_some_time_start_again_soon() {
    let work_ms =
        |task: TaskKey| 14_000 + (task.step.job.0 * 7 + u64::from(task.index)) % 12 * 1_000;
    let mut model = failing_model(work_ms, JOBS);
    let waited_ms = longest_wait_ms(&mut model, JOBS, 100_000);
    println!("longest wait: {waited_ms} ms");
    assert!(waited_ms <= RESTART_MAX_MS, "{waited_ms} ms");
}

/// Guards against the same with tasks that fail shortly after each start.
#[test]
fn lasting_tasks_that_fail_soon_start_again_soon() {
    for jobs in [2, JOBS] {
        let work_ms = |task: TaskKey| 1_000 + task.step.job.0 % 5 * 300;
        let mut model = failing_model(work_ms, jobs);
        let waited_ms = longest_wait_ms(&mut model, jobs, 60_000);
        println!("longest wait of {jobs} jobs: {waited_ms} ms");
        assert!(waited_ms <= RESTART_MAX_MS, "{waited_ms} ms");
    }
}

/// Guards against sound jobs that wait for workers which are suspected because of lasting tasks.
#[test]
fn lasting_tasks_that_fail_do_not_close_workers_to_others() {
    let work_ms = |task: TaskKey| match task.step.job.0 {
        0..JOBS => 3_000 + task.step.job.0 % 5 * 300,
        _ => 500,
    };
    let mut model = failing_model(work_ms, JOBS);
    model.run(30_000);
    let begin = model.now;
    let step = StepSpec {
        count: 1,
        resources: NEED,
        estimate_ms: 500,
        ..StepSpec::default()
    };
    let spec = SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    };
    let ordinary = JobKey(JOBS);
    model.submit(ordinary.0, "lasting", spec);
    while !model.has_started(ordinary) {
        let waits_ms = model.now.since(begin);
        assert!(waits_ms <= 3_000, "not started after {waits_ms} ms");
        model.run(STEP_MS);
    }
}
