//! Steps whose tasks have to be isolated, since they were suspects of a crash.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::WaitReason;
use sapphirepost_types::Resources;

use crate::model::COMMIT_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;

const WORKERS: u32 = 8;
/// The worker whose crash makes the tasks suspects.
const CRASHED: &str = "w8";
const FILLER: JobKey = JobKey(1);
const SUSPECT: JobKey = JobKey(2);
const FILLER_MS: u64 = 30_000;
const MEMBERS: u32 = 4;
/// How long a step that nothing but its isolation keeps from starting may wait while most of the
/// cluster is free.
const START_MAX_MS: u64 = 3_000;

fn need(task: TaskKey) -> Resources {
    let cores = if is_wide(task.step.job) { 50 } else { 30 };
    Resources::new(cores * 1_000, 1_024, 0)
}

fn work_ms(task: TaskKey) -> u64 {
    if task.step.job == FILLER {
        FILLER_MS
    } else {
        6_000
    }
}

fn job(key: JobKey, count: u32, is_gang: bool) -> SubmittedSpec {
    let task = StepKey { job: key, step: 0 }.task(0);
    let step = StepSpec {
        count,
        resources: need(task),
        estimate_ms: work_ms(task),
        is_gang,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// Gangs of which three members are too wide for two free workers.
const WIDE_GANGS: [JobKey; 2] = [JobKey(3), JobKey(4)];
/// The time of a turn in vain, and that until the next one leads to a start.
const NEXT_TURN_MAX_MS: u64 = 3_000 + START_MAX_MS;

fn is_wide(job: JobKey) -> bool {
    job == FILLER || WIDE_GANGS.contains(&job)
}

/// A full cluster in which a job waits whose tasks were suspects of a crash.
fn model_with_suspect(is_gang: bool) -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, need, work_ms);
    let workers = (0..=WORKERS).map(worker).collect();
    let queues = vec![
        queue("filler", 0, 4.0, 3_000),
        with_permits(queue("suspect", 1, 2.2, 1_000), 520.0, 7.4),
    ];
    let mut model = Model::new(queues, workers, 4);
    model.run(50);
    model.workers.get_mut(CRASHED).unwrap().is_unreachable = true;
    model.run(1_000);
    model.submit(FILLER.0, "filler", job(FILLER, WORKERS, false));
    model.run(200);
    model.submit(SUSPECT.0, "suspect", job(SUSPECT, MEMBERS, is_gang));
    model.run(2 * COMMIT_MS);
    crash_under(&mut model, tasks_of(SUSPECT, MEMBERS));
    model
}

fn tasks_of(job: JobKey, count: u32) -> Vec<TaskKey> {
    let step = StepKey { job, step: 0 };
    (0..count).map(|index| step.task(index)).collect()
}

/// Makes suspects of these tasks.
fn crash_under(model: &mut Model, tasks: Vec<TaskKey>) {
    model.propose(QueueCommand::Crash {
        worker: Arc::from(CRASHED),
        incarnation: FIRST_INCARNATION,
        checkpoints: Vec::new(),
        lost: LostRuns {
            suspects: tasks.clone(),
            tasks,
            is_inconclusive: false,
        },
    });
    model.run(2 * COMMIT_MS);
}

/// Guards against a job that waits although most of the cluster is free, since its turns to be
/// isolated came while there was no room and its pauses grew.
#[test]
fn a_suspect_job_starts_soon_after_a_full_cluster_is_free() {
    for is_gang in [true, false] {
        let mut model = model_with_suspect(is_gang);
        while model.has_started(FILLER) {
            model.run(STEP_MS);
        }
        let free = model.now;
        while !model.has_started(SUSPECT) {
            let waits_ms = model.now.since(free);
            assert!(waits_ms <= START_MAX_MS, "not started after {waits_ms} ms");
            model.run(STEP_MS);
        }
        println!("started after {} ms", model.now.since(free));
        model.run_until_done(60_000);
    }
}

/// Guards against a log that gives another reason for the wait of a step that waits for its turn to
/// be isolated.
#[test]
fn a_step_without_a_turn_is_reported_to_wait_for_isolation() {
    let mut model = model_with_suspect(true);
    let mut reasons = Vec::new();
    for _ in 0..20 {
        let waiting = model.scheduler.find_waiting_steps(model.now);
        reasons.extend(waiting.iter().map(|waiting| waiting.reason));
        model.run(1_000);
    }
    assert!(reasons.contains(&WaitReason::Isolation), "{reasons:?}");
}

/// Guards against a suspect job that waits although it has room, since wide gangs of suspects that
/// have none take all turns again and again while half of the cluster is free.
#[test]
fn gangs_without_room_leave_turns_to_a_suspect_job_that_has_room() {
    let names = ["w0", "w1", "w2", "w3", CRASHED];
    let workers = names.map(|name| ModelWorker::new(name, 64, need, work_ms));
    let queues = vec![
        queue("filler", 0, 4.0, 3_000),
        queue("suspect", 1, 2.2, 1_000),
    ];
    let mut model = Model::new(queues, workers.into(), 4);
    model.run(50);
    model.workers.get_mut(CRASHED).unwrap().is_unreachable = true;
    model.run(1_000);
    model.submit(FILLER.0, "filler", job(FILLER, 2, false));
    model.run(200);
    let mut suspects = tasks_of(SUSPECT, 1);
    for key in WIDE_GANGS {
        model.submit(key.0, "suspect", job(key, 3, true));
        model.run(50);
        suspects.extend(tasks_of(key, 3));
    }
    model.submit(SUSPECT.0, "suspect", job(SUSPECT, 1, false));
    crash_under(&mut model, suspects);
    assert!(!model.has_started(SUSPECT));
    let begin = model.now;
    while !model.has_started(SUSPECT) {
        let waits_ms = model.now.since(begin);
        assert!(
            waits_ms <= NEXT_TURN_MAX_MS,
            "not started after {waits_ms} ms"
        );
        model.run(STEP_MS);
    }
    println!("started after {} ms", model.now.since(begin));
}

/// Guards against pauses between the turns of a suspect job for as long as another service is full:
/// its own service is free, and the job waited for the end of a pause of up to 32 s.
#[test]
fn a_suspect_job_starts_soon_while_another_service_is_full() {
    const OTHER_SERVICE: &str = "other";
    const OTHER: JobKey = JobKey(5);
    for is_gang in [true, false] {
        let worker = |number| ModelWorker::new(&format!("w{number}"), 64, need, work_ms);
        let mut workers: Vec<ModelWorker> = (0..=WORKERS).map(worker).collect();
        for number in 0..2 * WORKERS {
            let need = |_| Resources::new(60_000, 1_024, 0);
            let mut other = ModelWorker::new(&format!("x{number}"), 64, need, |_| 100_000);
            other.record.service = Arc::from(OTHER_SERVICE);
            workers.push(other);
        }
        let mut other = queue("other", 0, 4.0, 3_000);
        other.service = Arc::from(OTHER_SERVICE);
        let queues = vec![
            queue("filler", 0, 4.0, 3_000),
            with_permits(queue("suspect", 1, 2.2, 1_000), 520.0, 7.4),
            other,
        ];
        let mut model = Model::new(queues, workers, 4);
        model.run(50);
        model.workers.get_mut(CRASHED).unwrap().is_unreachable = true;
        model.run(1_000);
        let mut full = job(OTHER, 2 * WORKERS, false);
        full.steps[0].resources = Resources::new(60_000, 1_024, 0);
        model.submit(OTHER.0, "other", full);
        model.submit(FILLER.0, "filler", job(FILLER, WORKERS, false));
        model.run(200);
        model.submit(SUSPECT.0, "suspect", job(SUSPECT, MEMBERS, is_gang));
        model.run(2 * COMMIT_MS);
        crash_under(&mut model, tasks_of(SUSPECT, MEMBERS));
        while model.has_started(FILLER) {
            model.run(STEP_MS);
        }
        let free = model.now;
        assert!(model.has_started(OTHER));
        while !model.has_started(SUSPECT) {
            let waits_ms = model.now.since(free);
            assert!(waits_ms <= START_MAX_MS, "not started after {waits_ms} ms");
            model.run(STEP_MS);
        }
    }
}

/// Guards against a task that waits for a worker of its own for ever, since each worker runs a task
/// that lasts.
#[test]
fn a_task_that_lost_many_workers_starts_although_each_worker_runs_a_lasting_task() {
    const LASTING: JobKey = JobKey(6);
    let need = |_| Resources::new(4_000, 1_024, 0);
    let work_ms = |task: TaskKey| match task.step.job {
        LASTING => 6_000_000,
        _ => 500,
    };
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, need, work_ms);
    let workers = (0..4).map(worker).collect();
    let queues = vec![
        queue("lasting", 0, 4.0, 3_000),
        queue("suspect", 1, 2.2, 1_000),
    ];
    let mut model = Model::new(queues, workers, 0);
    model.run(100);
    let step = |count, is_service| StepSpec {
        count,
        resources: Resources::new(4_000, 1_024, 0),
        estimate_ms: 500,
        per_worker_max: Some(1),
        is_service,
        ..StepSpec::default()
    };
    let spec = |step| SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    };
    model.submit(LASTING.0, "lasting", spec(step(4, true)));
    model.run(200);
    for number in 0..4 {
        let id = format!("lost{number}");
        let new = ModelWorker::new(&id, 1, need, work_ms);
        model.propose(QueueCommand::PutWorker(Box::new(new.record)));
    }
    let mut blocked = spec(step(1, false));
    blocked.steps[0].required_label = Some(Arc::from("later"));
    model.submit(SUSPECT.0, "suspect", blocked);
    model.run(2 * COMMIT_MS);
    for number in 0..4 {
        model.propose(QueueCommand::Crash {
            worker: Arc::from(format!("lost{number}")),
            incarnation: FIRST_INCARNATION,
            checkpoints: Vec::new(),
            lost: LostRuns {
                tasks: tasks_of(SUSPECT, 1),
                suspects: Vec::new(),
                is_inconclusive: false,
            },
        });
    }
    model.run(2 * COMMIT_MS);
    for id in ["w0", "w1", "w2", "w3"] {
        let worker = model.workers.get_mut(id).unwrap();
        worker.record.labels.push(Arc::from("later"));
        worker.record.sequence = 1;
        let record = worker.record.clone();
        model.report(&record);
    }
    let begin = model.now;
    while !model.has_started(SUSPECT) {
        let waits_ms = model.now.since(begin);
        let waiting = model.scheduler.find_waiting_steps(model.now);
        assert!(
            waits_ms <= 30_000,
            "not started after {waits_ms} ms: {waiting:?}"
        );
        model.run(STEP_MS);
    }
    println!("started after {} ms", model.now.since(begin));
}

/// Guards against a worker that a task which lasts keeps for itself for ever, since it was on many
/// crashed workers: other jobs find no room, although nearly all of the worker is free.
#[test]
fn a_lasting_task_that_lost_many_workers_leaves_room_to_others_after_a_while() {
    const LASTING: JobKey = JobKey(6);
    const OTHER: JobKey = JobKey(7);
    const ALONE_MAX_MS: u64 = 15_000;
    let need = |_| Resources::new(4_000, 1_024, 0);
    let work_ms = |task: TaskKey| match task.step.job {
        LASTING => 6_000_000,
        _ => 500,
    };
    let queues = vec![
        queue("lasting", 0, 4.0, 3_000),
        queue("other", 1, 2.2, 1_000),
    ];
    let lost = |number| ModelWorker::new(&format!("lost{number}"), 64, need, work_ms);
    let mut model = Model::new(queues, (0..4).map(lost).collect(), 0);
    model.run(100);
    let spec = |is_service| SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![StepSpec {
            count: 1,
            resources: Resources::new(4_000, 1_024, 0),
            estimate_ms: 500,
            is_service,
            ..StepSpec::default()
        }],
    };
    model.submit(LASTING.0, "lasting", spec(true));
    model.run(2 * COMMIT_MS);
    for number in 0..4 {
        model.workers.remove(format!("lost{number}").as_str());
        model.propose(QueueCommand::Crash {
            worker: Arc::from(format!("lost{number}")),
            incarnation: FIRST_INCARNATION,
            checkpoints: Vec::new(),
            lost: LostRuns {
                tasks: tasks_of(LASTING, 1),
                suspects: Vec::new(),
                is_inconclusive: false,
            },
        });
    }
    model.run(2 * COMMIT_MS);
    let new = ModelWorker::new("w0", 64, need, work_ms);
    model.propose(QueueCommand::PutWorker(Box::new(new.record.clone())));
    model.workers.insert(new.record.id.clone(), new);
    model.run(2_000);
    assert!(model.has_started(LASTING));
    model.submit(OTHER.0, "other", spec(false));
    model.run(1_000);
    assert!(
        !model.has_started(OTHER),
        "the task has no worker of its own"
    );
    let begin = model.now;
    while !model.has_started(OTHER) {
        let waits_ms = model.now.since(begin);
        assert!(waits_ms <= ALONE_MAX_MS, "not started after {waits_ms} ms");
        model.run(STEP_MS);
    }
}

/// Guards against a task that lasts and waits for long although it has room, since its turns to be
/// isolated came while there was none, and more than half of the cluster is in use.
#[test]
fn a_suspect_task_that_lasts_starts_soon_after_it_has_room_on_a_busy_cluster() {
    const BUSY: JobKey = JobKey(8);
    /// The rule allows 6 s and 3 s of calm.
    const RESTART_MAX_MS: u64 = 9_000;
    let need = |task: TaskKey| match task.step.job {
        BUSY => Resources::new(40_000, 1_024, 0),
        _ => Resources::new(20_000, 1_024, 0),
    };
    let work_ms = |task: TaskKey| match task.step.job {
        FILLER => FILLER_MS,
        _ => 300_000,
    };
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, need, work_ms);
    let queues = vec![
        queue("filler", 0, 4.0, 3_000),
        queue("suspect", 1, 2.2, 1_000),
    ];
    let mut model = Model::new(queues, (0..=WORKERS).map(worker).collect(), 0);
    model.run(50);
    model.workers.get_mut(CRASHED).unwrap().is_unreachable = true;
    model.run(1_000);
    let spec = |key: JobKey, count, is_service| {
        let task = StepKey { job: key, step: 0 }.task(0);
        SubmittedSpec {
            payload: Arc::from("payload"),
            steps: vec![StepSpec {
                count,
                resources: need(task),
                estimate_ms: work_ms(task),
                per_worker_max: Some(1),
                is_service,
                ..StepSpec::default()
            }],
        }
    };
    model.submit(BUSY.0, "filler", spec(BUSY, WORKERS, true));
    model.submit(FILLER.0, "filler", spec(FILLER, WORKERS, false));
    model.run(200);
    model.submit(SUSPECT.0, "suspect", spec(SUSPECT, 1, true));
    model.run(2 * COMMIT_MS);
    crash_under(&mut model, tasks_of(SUSPECT, 1));
    while model.has_started(FILLER) {
        assert!(!model.has_started(SUSPECT), "there is room");
        model.run(STEP_MS);
    }
    let free = model.now;
    while !model.has_started(SUSPECT) {
        let waits_ms = model.now.since(free);
        assert!(
            waits_ms <= RESTART_MAX_MS,
            "not started after {waits_ms} ms"
        );
        model.run(STEP_MS);
    }
    println!("started after {} ms", model.now.since(free));
}
