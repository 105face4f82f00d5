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
    check_that_a_gang_starts(LongTask::Lasting);
}

/// Guards against the same behind tasks that run for much longer than estimated.
#[test]
fn a_gang_with_room_starts_behind_a_gang_that_waits_for_overrunning_tasks() {
    check_that_a_gang_starts(LongTask::ShortEstimate);
}

/// Submits a gang with room to a cluster with a blocked gang, and checks that it starts soon.
fn check_that_a_gang_starts(long: LongTask) {
    for has_permits in [false, true] {
        let mut model = model_with_blocked_gang(long, has_permits);
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
        propose_crash(&mut model, &lost(number), LONG, 1);
    }
    model.run(2 * COMMIT_MS);
    let kept = worker(KEPT);
    model.propose(QueueCommand::PutWorker(Box::new(kept.record.clone())));
    model.workers.insert(kept.record.id.clone(), kept);
    model.run(2_000);
    assert!(model.has_started(LONG));
    model
}

/// Makes a worker crash under tasks of a job, which are no suspects.
fn propose_crash(model: &mut Model, id: &str, job: JobKey, count: u32) {
    let step = StepKey { job, step: 0 };
    model.propose(QueueCommand::Crash {
        worker: Arc::from(id),
        incarnation: FIRST_INCARNATION,
        checkpoints: Vec::new(),
        lost: LostRuns {
            tasks: (0..count).map(|index| step.task(index)).collect(),
            suspects: Vec::new(),
            is_inconclusive: false,
        },
    });
}

/// The number of crashes of workers under the first task of a job; `None` if it is given up.
fn count_crashes(model: &Model, job: JobKey) -> Option<u32> {
    let job = model.state.job(job).expect("the job is known");
    let step = job.steps.first().filter(|_| !job.phase.has_ended())?;
    Some(step.tasks[0].crashes.workers)
}

/// Crashes the worker under a task, and waits until that is counted. Returns whether the task is given
/// up then.
fn is_given_up_after_crash(model: &mut Model, job: JobKey) -> bool {
    let begin = model.now;
    model.crash_worker(KEPT);
    while count_crashes(model, job) == Some(CRASHES) {
        let waited_ms = model.now.since(begin);
        assert!(waited_ms < 10_000, "no crash counted for {waited_ms} ms");
        model.run(STEP_MS);
    }
    count_crashes(model, job).is_none()
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
    assert!(!is_given_up_after_crash(&mut model, LONG));
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
        assert!(is_given_up_after_crash(&mut model, LONG));
    }
}

/// Tasks under which many workers have crashed, and that want a worker for themselves.
const ISOLATED: JobKey = JobKey(3);
/// The label of workers that can run them.
const LABEL: &str = "later";
/// The rule allows 9 s for a task that lasts, from the end of its last run.
const RESTART_MAX_MS: u64 = 6_000;

/// With this, the long tasks take most of each worker.
fn need_if_full(task: TaskKey) -> Resources {
    match task.step.job {
        LONG => Resources::new(40_000, 1_024, 0),
        _ => need(task),
    }
}

/// A cluster on whose workers a task runs for long, and a job that wants workers for itself.
fn model_with_isolated_job(workers: u32, count: u32, is_gang: bool, is_full: bool) -> Model {
    let work_ms = |_: TaskKey| LONG_MS;
    let need = if is_full { need_if_full } else { need };
    let worker = |id: String, cores| ModelWorker::new(&id, cores, need, work_ms);
    let queues = vec![
        queue("urgent", 0, 2.2, 1_000),
        queue("ordinary", 1, 2.2, 1_000),
    ];
    let all = (0..workers).map(|number| worker(format!("w{number}"), 64));
    let mut model = Model::new(queues, all.collect(), 0);
    model.run(100);
    let mut lasting = spec(LONG, workers, LONG_MS);
    lasting.steps[0].resources = need(StepKey { job: LONG, step: 0 }.task(0));
    lasting.steps[0].per_worker_max = Some(1);
    lasting.steps[0].is_service = true;
    model.submit(LONG.0, "urgent", lasting);
    let mut isolated = spec(ISOLATED, count, LONG_MS);
    isolated.steps[0].is_gang = is_gang;
    isolated.steps[0].required_label = Some(Arc::from(LABEL));
    model.submit(ISOLATED.0, "ordinary", isolated);
    for number in 0..CRASHES {
        let lost = worker(format!("lost{number}"), 1);
        model.propose(QueueCommand::PutWorker(Box::new(lost.record)));
    }
    model.run(2 * COMMIT_MS);
    for number in 0..CRASHES {
        propose_crash(&mut model, &format!("lost{number}"), ISOLATED, count);
    }
    model.run(2 * COMMIT_MS);
    for number in 0..workers {
        let worker = model.workers.get_mut(&*format!("w{number}")).unwrap();
        worker.record.labels.push(Arc::from(LABEL));
        worker.record.sequence = 1;
        let record = worker.record.clone();
        model.report(&record);
    }
    model
}

/// Waits until the isolated job has started.
fn wait_for_isolated(model: &mut Model) {
    let begin = model.now;
    while !model.has_started(ISOLATED) {
        let waits_ms = model.now.since(begin);
        assert!(
            waits_ms <= RESTART_MAX_MS,
            "not started after {waits_ms} ms"
        );
        model.run(STEP_MS);
    }
    println!("started after {} ms", model.now.since(begin));
}

/// Guards against a gang that waits for ever for workers of its own, since each runs a long task.
#[test]
fn a_gang_that_wants_workers_for_itself_starts_beside_long_tasks() {
    for is_full in [false, true] {
        let mut model = model_with_isolated_job(4, 4, true, is_full);
        wait_for_isolated(&mut model);
    }
}

/// Guards against an innocent job that is given up, since its task counts as the only suspect although
/// it had to start beside the task of another job.
#[test]
fn a_task_that_found_no_worker_for_itself_is_no_suspect_of_a_later_crash() {
    for is_full in [false, true] {
        let mut model = model_with_isolated_job(1, 1, false, is_full);
        wait_for_isolated(&mut model);
        model.run(2_000);
        assert!(!is_given_up_after_crash(&mut model, ISOLATED));
    }
}

/// Checks that no task of the ordinary job has started.
fn assert_waits(model: &Model) {
    let has_ended = model.jobs[&JobKey(ORDINARY)].ended.is_some();
    let has_started = model.has_started(JobKey(ORDINARY));
    assert!(!has_started && !has_ended, "it does not wait");
}

/// An ordinary job that waits behind a blocked gang, and has waited for part of the limit.
fn model_with_waiting_job(waited_ms: u64) -> Model {
    let mut model = model_with_blocked_gang(LongTask::ShortEstimate, false);
    model.run(700);
    model.submit(ORDINARY, "ordinary", spec(JobKey(ORDINARY), 2, ORDINARY_MS));
    model.run(waited_ms);
    assert_waits(&model);
    model
}

/// Guards against a wait that begins again more than once for each change of the leader.
#[test]
fn a_change_of_the_leader_adds_the_limit_once() {
    let mut model = model_with_waiting_job(1_500);
    for _ in 0..3 {
        model.change_leader();
        model.run(1_500);
        assert_waits(&model);
    }
    model.change_leader();
    let waited_ms = wait_for_start(&mut model, ORDINARY);
    println!("started {waited_ms} ms after the last change of the leader");
}

/// Guards against a limit that the cancel of another waiting job begins again.
#[test]
fn a_cancel_of_another_job_does_not_prolong_the_wait() {
    let mut model = model_with_waiting_job(1_000);
    let other = JobKey(ORDINARY + 1);
    model.submit(other.0, "ordinary", spec(other, 2, ORDINARY_MS));
    model.run(500);
    model.propose(QueueCommand::Cancel { job: other });
    let waited_ms = wait_for_start(&mut model, ORDINARY);
    assert!(waited_ms <= 1_500, "{waited_ms} ms more");
}

/// Guards against a limit that workers which crash and return begin again.
#[test]
fn workers_that_return_do_not_prolong_the_wait() {
    let mut model = model_with_waiting_job(500);
    // Too small for any task, so that only its return counts.
    let small = ModelWorker::new("x0", 1, need, |_| LONG_MS);
    model.propose(QueueCommand::PutWorker(Box::new(small.record.clone())));
    model.workers.insert(small.record.id.clone(), small);
    model.run(300);
    model.crash_worker("x0");
    model.run(700);
    assert_waits(&model);
    let waited_ms = wait_for_start(&mut model, ORDINARY);
    assert!(waited_ms <= 1_000, "{waited_ms} ms more");
}

/// Guards against an innocent task that is given up after crashes in any order while a task of
/// another job is beside it: before it has begun, just begun, or long after.
#[test]
fn an_innocent_task_with_company_is_given_up_by_no_order_of_crashes() {
    for after_ms in [0, 20, 100, 300, 1_000, 2_500] {
        for changes_leader in [false, true] {
            let mut model = model_with_kept_worker(LongTask::Lasting);
            model.submit(ORDINARY, "ordinary", spec(JobKey(ORDINARY), 2, ORDINARY_MS));
            wait_for_start(&mut model, ORDINARY);
            model.run(after_ms);
            if changes_leader {
                model.change_leader();
                model.run(100);
            }
            let is_given_up = is_given_up_after_crash(&mut model, LONG);
            assert!(!is_given_up, "{after_ms} ms, {changes_leader}");
        }
    }
}

/// Guards against a limit that holds only for one width: the job that waits needs less or more of
/// the free room than in the other tests, or all workers.
#[test]
fn jobs_of_other_widths_start_behind_a_gang_that_waits_for_overrunning_tasks() {
    for count in [1, 8, 40] {
        let mut model = model_with_blocked_gang(LongTask::ShortEstimate, false);
        model.run(700);
        model.submit(
            ORDINARY,
            "ordinary",
            spec(JobKey(ORDINARY), count, ORDINARY_MS),
        );
        model.run(1_000);
        assert_waits(&model);
        let waited_ms = wait_for_start(&mut model, ORDINARY);
        println!("{count} tasks waited for {waited_ms} ms");
    }
}
