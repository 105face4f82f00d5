//! Steps that wait until room for them appears in one of the ways in which it can appear. They are
//! tried at a long interval in any case, so each test waits for several times before the room
//! appears, and the bounds are shorter than the interval.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;
use crate::model::worker::REQUEST_TIMEOUT_MS;

const CORES: u64 = 32;
/// The job whose task occupies a worker at first.
const FIRST: u64 = 1;
/// The job that waits for room.
const WAITING: u64 = 2;
/// A further job.
const OTHER: u64 = 3;
const FIRST_MS: u64 = 6_000;
const WAITING_MS: u64 = 120_000;
/// How long the steps wait until room appears.
const WAITS_MS: [u64; 4] = [1_000, 1_130, 1_260, 1_390];
/// From the appearance of room to the applied start.
const START_MAX_MS: u64 = 120;
/// The first pause of a worker on which two jobs have failed.
const HEALTH_PAUSE_MS: u64 = 2_000;
/// The pause before the next poll of a worker that cannot be reached.
const POLL_PAUSE_MS: u64 = 150;

fn need(_: TaskKey) -> Resources {
    whole_worker()
}

fn whole_worker() -> Resources {
    Resources::new(CORES * 1_000, 1_000, 0)
}

fn work_ms(task: TaskKey) -> u64 {
    match task.step.job {
        JobKey(FIRST) => FIRST_MS,
        _ => WAITING_MS,
    }
}

fn spec(tasks: u32, estimate_ms: u64, is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count: tasks,
        resources: whole_worker(),
        estimate_ms,
        is_gang,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

fn worker(number: usize) -> ModelWorker {
    ModelWorker::new(&format!("w{number}"), CORES, need, work_ms)
}

fn model(workers: usize) -> Model {
    let queues = vec![
        queue("urgent", 0, 30.0, 1_000),
        queue("usual", 1, 30.0, 1_000),
        with_permits(queue("permitted", 1, 30.0, 1_000), 10.0, 0.1),
    ];
    let mut model = Model::new(queues, (0..workers).map(worker).collect(), 2);
    model.run(100);
    model
}

fn step(job: u64) -> StepKey {
    StepKey {
        job: JobKey(job),
        step: 0,
    }
}

fn has_started(model: &Model, job: u64) -> bool {
    model.first_starts.contains_key(&step(job))
}

/// Waits for the start of the job that waits for room.
fn assert_starts_within(model: &mut Model, limit_ms: u64) {
    let from = model.now;
    while !has_started(model, WAITING) {
        let waits_ms = model.now.since(from);
        assert!(
            waits_ms < limit_ms,
            "no start {waits_ms} ms after there was room"
        );
        model.run(STEP_MS);
    }
}

fn end_first_job(model: &mut Model) {
    while model.jobs[&JobKey(FIRST)].ended.is_none() {
        model.run(STEP_MS);
    }
}

/// A model whose only worker is occupied by the first job, while another one of this queue waits.
fn model_with_a_waiting_job(queue: &str, wait_ms: u64) -> Model {
    let mut model = model(1);
    model.submit(FIRST, "usual", spec(1, FIRST_MS, false));
    model.run(wait_ms);
    assert!(has_started(&model, FIRST));
    model.submit(WAITING, queue, spec(1, WAITING_MS, false));
    model.run(wait_ms);
    assert!(!has_started(&model, WAITING));
    model
}

/// Guards against a step that is not tried when a run on the worker that it waits for ends.
#[test]
fn a_step_starts_when_a_run_has_ended() {
    for wait_ms in WAITS_MS {
        let mut model = model_with_a_waiting_job("usual", wait_ms);
        end_first_job(&mut model);
        assert_starts_within(&mut model, START_MAX_MS);
    }
}

/// Guards against a step whose permit has expired while it waited, and is not renewed once there is
/// room.
#[test]
fn a_step_with_an_expired_permit_starts_when_a_run_has_ended() {
    for wait_ms in WAITS_MS {
        let mut model = model_with_a_waiting_job("permitted", wait_ms);
        end_first_job(&mut model);
        assert_starts_within(&mut model, START_MAX_MS);
    }
}

/// Guards against a step that is not tried when its permit request is answered.
#[test]
fn a_step_starts_when_its_permits_are_answered() {
    let mut model = model(1);
    model.submit(WAITING, "permitted", spec(1, WAITING_MS, false));
    assert_starts_within(&mut model, START_MAX_MS);
}

/// Guards against a step that is not tried when a worker registers.
#[test]
fn a_step_starts_on_a_new_worker() {
    for wait_ms in WAITS_MS {
        let mut model = model_with_a_waiting_job("usual", wait_ms);
        let new = worker(1);
        let record = new.record.clone();
        model.workers.insert(record.id.clone(), new);
        model.report(&record);
        assert_starts_within(&mut model, START_MAX_MS);
    }
}

/// Guards against a step that is not tried when a worker can be reached again.
#[test]
fn a_step_starts_on_a_worker_that_is_reachable_again() {
    for wait_ms in WAITS_MS {
        let mut model = model(1);
        model.cut_off("w0");
        model.run(4 * REQUEST_TIMEOUT_MS);
        model.submit(WAITING, "usual", spec(1, WAITING_MS, false));
        model.run(wait_ms);
        assert!(!has_started(&model, WAITING));
        model.reconnect("w0");
        let next_poll_ms = REQUEST_TIMEOUT_MS + POLL_PAUSE_MS;
        assert_starts_within(&mut model, next_poll_ms + START_MAX_MS);
    }
}

/// Guards against a step that is not tried when a worker gets more capacity.
#[test]
fn a_step_starts_on_a_worker_that_has_grown() {
    for wait_ms in WAITS_MS {
        let mut model = model(1);
        let record = model.workers["w0"].record.clone();
        let described = |millicores, sequence| WorkerRecord {
            capacity: Resources {
                millicores,
                ..record.capacity
            },
            sequence,
            ..record.clone()
        };
        model.report(&described(CORES * 500, 1));
        model.run(200);
        model.submit(WAITING, "usual", spec(1, WAITING_MS, false));
        model.run(wait_ms);
        assert!(!has_started(&model, WAITING));
        model.report(&described(CORES * 1_000, 2));
        assert_starts_within(&mut model, START_MAX_MS);
    }
}

/// Guards against a step that is not tried when the pause of a suspected worker is over, which no
/// event tells.
#[test]
fn a_step_starts_on_a_worker_whose_pause_is_over() {
    for wait_ms in WAITS_MS {
        let mut model = model(1);
        model.workers.get_mut("w0").unwrap().fails_all = true;
        for job in [FIRST, OTHER] {
            model.submit(job, "usual", spec(1, FIRST_MS, false));
        }
        let has_failed = |model: &Model, job| {
            let job = model.state.job(JobKey(job));
            job.is_some_and(|job| job.steps[0].tasks[0].failures > 0)
        };
        while !has_failed(&model, FIRST) || !has_failed(&model, OTHER) {
            model.run(STEP_MS);
        }
        model.workers.get_mut("w0").unwrap().fails_all = false;
        for job in [FIRST, OTHER] {
            model.propose(QueueCommand::Cancel { job: JobKey(job) });
        }
        model.run(wait_ms - 1_000);
        model.submit(WAITING, "usual", spec(1, WAITING_MS, false));
        model.run(HEALTH_PAUSE_MS - 100 - (wait_ms - 1_000));
        assert!(!has_started(&model, WAITING));
        model.run(100);
        assert_starts_within(&mut model, START_MAX_MS);
    }
}

/// Guards against a step that is not tried when a gang gives up the worker that was reserved for it.
#[test]
fn a_step_starts_on_a_worker_that_is_no_longer_reserved() {
    for wait_ms in WAITS_MS {
        let mut model = model(2);
        model.submit(FIRST, "usual", spec(1, FIRST_MS, false));
        model.run(wait_ms);
        model.submit(OTHER, "urgent", spec(2, WAITING_MS, true));
        model.run(100);
        model.submit(WAITING, "usual", spec(1, WAITING_MS, false));
        model.run(wait_ms);
        assert!(!has_started(&model, WAITING));
        model.propose(QueueCommand::Cancel { job: JobKey(OTHER) });
        assert_starts_within(&mut model, START_MAX_MS);
    }
}
