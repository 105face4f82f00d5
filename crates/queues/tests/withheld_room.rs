//! How long free room is withheld from steps that could use it.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Resources;

use crate::model::COMMIT_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;

const WORKERS: u32 = 8;
const LONG: JobKey = JobKey(1);
const GANG: JobKey = JobKey(2);
/// The first of the ordinary jobs.
const ORDINARY: u64 = 10;
const ORDINARY_JOBS: u64 = 8;
const ORDINARY_MS: u64 = 800;
const LONG_MS: u64 = 300_000;
/// A job must not wait longer than this for room that is free for it twice over.
const WAIT_MAX_MS: u64 = 3_000;

/// What takes up the room that the gang waits for.
#[derive(Clone, Copy, Debug)]
enum LongTask {
    /// Tasks that last until their job is cancelled.
    Lasting,
    /// Tasks with far too short an estimate.
    ShortEstimate,
    /// Tasks with a right estimate.
    RightEstimate,
}

fn need(task: TaskKey) -> Resources {
    match task.step.job {
        LONG => Resources::new(8_000, 1_024, 0),
        GANG => Resources::new(30_000, 1_024, 0),
        _ => Resources::new(5_600, 1_024, 0),
    }
}

fn spec(job: JobKey, count: u32, estimate_ms: u64) -> SubmittedSpec {
    let task = StepKey { job, step: 0 }.task(0);
    let step = StepSpec {
        count,
        resources: need(task),
        estimate_ms,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// A cluster on which each worker runs a long task, and a gang that has to wait for their ends.
fn model_with_blocked_gang(long: LongTask, has_permits: bool) -> Model {
    let work_ms = |task: TaskKey| match task.step.job {
        LONG => LONG_MS,
        GANG => 6_200,
        _ => ORDINARY_MS,
    };
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, need, work_ms);
    let mut ordinary = queue("ordinary", 1, 2.2, 1_000);
    if has_permits {
        ordinary = with_permits(ordinary, 20.0, 0.2);
    }
    let queues = vec![queue("urgent", 0, 1_000.0, 1_000), ordinary];
    let mut model = Model::new(queues, (0..WORKERS).map(worker).collect(), 4);
    model.run(100);
    let estimate_ms = match long {
        LongTask::Lasting => 0,
        LongTask::ShortEstimate => 400,
        LongTask::RightEstimate => LONG_MS,
    };
    let mut lasting = spec(LONG, WORKERS, estimate_ms);
    lasting.steps[0].per_worker_max = Some(1);
    lasting.steps[0].is_service = matches!(long, LongTask::Lasting);
    model.submit(LONG.0, "urgent", lasting);
    model.run(2_000);
    let mut gang = spec(GANG, 2 * WORKERS, 6_200);
    gang.steps[0].is_gang = true;
    model.submit(GANG.0, "urgent", gang);
    model
}

/// Waits until an ordinary job has begun or ended, and returns for how long.
fn wait_for_start(model: &mut Model, key: u64) -> u64 {
    let begin = model.now;
    while !model.has_started(JobKey(key)) && model.jobs[&JobKey(key)].ended.is_none() {
        let waits_ms = model.now.since(begin);
        assert!(waits_ms <= WAIT_MAX_MS, "{key} waits for {waits_ms} ms");
        model.run(STEP_MS);
    }
    model.now.since(begin)
}

/// Submits ordinary jobs to a cluster with a blocked gang, and checks that each starts soon.
fn check_that_ordinary_jobs_start(long: LongTask) {
    for has_permits in [false, true] {
        let mut model = model_with_blocked_gang(long, has_permits);
        // The tasks with a right estimate leave room to what ends before them.
        let estimate_ms = match long {
            LongTask::RightEstimate => 2 * LONG_MS,
            _ => ORDINARY_MS,
        };
        for key in ORDINARY..ORDINARY + ORDINARY_JOBS {
            model.run(700);
            model.submit(key, "ordinary", spec(JobKey(key), 2, estimate_ms));
            let waited_ms = wait_for_start(&mut model, key);
            println!("job {key} waited for {waited_ms} ms");
        }
    }
}

/// Guards against ordinary jobs that never start with most of the cluster free, since a gang that
/// waits for tasks that last reserves the rest, and ranks before them once all are late.
#[test]
fn ordinary_jobs_start_behind_a_gang_that_waits_for_lasting_tasks() {
    check_that_ordinary_jobs_start(LongTask::Lasting);
}

/// Guards against the same behind tasks that run for much longer than estimated, whose expected end
/// moves on with each round.
#[test]
fn ordinary_jobs_start_behind_a_gang_that_waits_for_overrunning_tasks() {
    check_that_ordinary_jobs_start(LongTask::ShortEstimate);
}

/// Guards against a gang that never starts although it has room, since that is reserved for another.
#[test]
fn a_gang_with_room_starts_behind_a_gang_that_waits_for_lasting_tasks() {
    for has_permits in [false, true] {
        let mut model = model_with_blocked_gang(LongTask::Lasting, has_permits);
        model.run(700);
        let mut gang = spec(JobKey(ORDINARY), 4, ORDINARY_MS);
        gang.steps[0].is_gang = true;
        model.submit(ORDINARY, "ordinary", gang);
        let waited_ms = wait_for_start(&mut model, ORDINARY);
        println!("the gang waited for {waited_ms} ms");
    }
}

/// Guards against long jobs that wait while a gang waits for other long tasks.
#[test]
fn long_jobs_start_behind_a_gang_that_waits_for_long_tasks() {
    check_that_ordinary_jobs_start(LongTask::RightEstimate);
}

/// After this many crashes of its workers a task has a worker for itself.
const CRASHES: u32 = 4;
/// The worker that is kept for the task.
const KEPT: &str = "w0";

/// A task that runs for long, under which many workers have crashed, and which has the only worker
/// for itself.
fn model_with_kept_worker(long: LongTask) -> Model {
    let work_ms = |task: TaskKey| match task.step.job {
        LONG => LONG_MS,
        _ => 4 * ORDINARY_MS,
    };
    let lost = |number| format!("lost{number}");
    let worker = |id: &str| ModelWorker::new(id, 64, need, work_ms);
    let queues = vec![
        queue("urgent", 0, 2.2, 1_000),
        queue("ordinary", 1, 2.2, 1_000),
    ];
    let workers = (0..CRASHES).map(|number| worker(&lost(number)));
    let mut model = Model::new(queues, workers.collect(), 0);
    model.run(100);
    let mut task = spec(LONG, 1, LONG_MS);
    task.steps[0].is_service = matches!(long, LongTask::Lasting);
    model.submit(LONG.0, "urgent", task);
    model.run(2 * COMMIT_MS);
    for number in 0..CRASHES {
        model.workers.remove(lost(number).as_str());
        propose_crash(&mut model, &lost(number));
    }
    model.run(2 * COMMIT_MS);
    let kept = worker(KEPT);
    model.propose(QueueCommand::PutWorker(Box::new(kept.record.clone())));
    model.workers.insert(kept.record.id.clone(), kept);
    model.run(2_000);
    assert!(model.has_started(LONG));
    model
}

/// Makes a worker crash under the long task, which is no suspect.
fn propose_crash(model: &mut Model, id: &str) {
    model.propose(QueueCommand::Crash {
        worker: Arc::from(id),
        incarnation: FIRST_INCARNATION,
        checkpoints: Vec::new(),
        lost: LostRuns {
            tasks: vec![StepKey { job: LONG, step: 0 }.task(0)],
            suspects: Vec::new(),
            is_inconclusive: false,
        },
    });
}

/// The number of crashes of workers under the long task; `None` if it is given up.
fn count_crashes(model: &Model) -> Option<u32> {
    let job = model.state.job(LONG).expect("the job is known");
    let step = job.steps.first().filter(|_| !job.phase.has_ended())?;
    Some(step.tasks[0].crashes.workers)
}

/// Crashes the worker under the long task, and waits until that is counted. Returns whether the task
/// is given up then.
fn is_given_up_after_crash(model: &mut Model) -> bool {
    let begin = model.now;
    model.crash_worker(KEPT);
    while count_crashes(model) == Some(CRASHES) {
        let waited_ms = model.now.since(begin);
        assert!(waited_ms < 10_000, "no crash counted for {waited_ms} ms");
        model.run(STEP_MS);
    }
    count_crashes(model).is_none()
}

/// Guards against accepted jobs that never start, since the only worker with room is kept for a task
/// that runs for hours or for ever, after many crashes of its workers.
#[test]
fn ordinary_jobs_start_beside_a_long_task_that_has_a_worker_for_itself() {
    for long in [LongTask::Lasting, LongTask::RightEstimate] {
        let mut model = model_with_kept_worker(long);
        for key in ORDINARY..ORDINARY + 3 {
            model.submit(key, "ordinary", spec(JobKey(key), 2, ORDINARY_MS));
            model.run(1_000);
            assert!(!model.has_started(JobKey(key)), "the worker is not kept");
            wait_for_start(&mut model, key);
            model.run(5_000);
        }
    }
}

/// Guards against an innocent task that is given up, since it counts as the only suspect of a crash
/// although a task of another job ran beside it.
#[test]
fn an_isolated_task_is_no_suspect_of_a_crash_if_another_job_has_joined_it() {
    let mut model = model_with_kept_worker(LongTask::Lasting);
    model.submit(ORDINARY, "ordinary", spec(JobKey(ORDINARY), 2, ORDINARY_MS));
    wait_for_start(&mut model, ORDINARY);
    model.run(1_000);
    assert!(model.has_started(JobKey(ORDINARY)));
    assert!(!is_given_up_after_crash(&mut model));
}

/// Guards against a task that ends its workers long after its start and is never given up.
#[test]
fn an_isolated_task_is_a_suspect_of_a_crash_if_it_was_alone() {
    for has_joined in [false, true] {
        let mut model = model_with_kept_worker(LongTask::Lasting);
        if has_joined {
            model.submit(ORDINARY, "ordinary", spec(JobKey(ORDINARY), 2, ORDINARY_MS));
            wait_for_start(&mut model, ORDINARY);
            model.run(10_000);
            assert!(model.jobs[&JobKey(ORDINARY)].ended.is_some());
        }
        assert!(is_given_up_after_crash(&mut model));
    }
}
