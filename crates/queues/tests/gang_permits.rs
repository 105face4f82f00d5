//! The permits of gangs that wait for room on a full cluster.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;

const CORES: u64 = 32;
const POLICY_CLIENTS: usize = 4;
const LONG: &str = "long";
const SHORT: &str = "short";
const GANG: JobKey = JobKey(1);
const GANG_MEMBERS: u32 = 4;
const GANG_WORK_MS: u64 = 500;
/// The longest wait from the moment when a gang with fresh permits has room: a round and a commit.
const START_MS: u64 = 200;
/// Within this time a gang finds room on workers that it has not asked about.
const FIND_ROOM_MS: u64 = 16_000;

/// One task on each worker of the group with this label.
fn filler(label: &str, count: usize, cores: u64, estimate_ms: u64) -> SubmittedSpec {
    let step = StepSpec {
        count: count as u32,
        resources: Resources::new(cores * 1_000, 1_024, 0),
        estimate_ms,
        required_label: Some(Arc::from(label)),
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from(label),
        steps: vec![step],
    }
}

fn gang() -> SubmittedSpec {
    let step = StepSpec {
        count: GANG_MEMBERS,
        resources: Resources::new(16_000, 1_024, 0),
        estimate_ms: GANG_WORK_MS,
        is_gang: true,
        per_worker_max: Some(1),
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("gang"),
        steps: vec![step],
    }
}

/// A model with `long` workers that are busy for a minute, and `short` ones that are busy for
/// `short_ms`; the long ones have one core more that is free.
fn full_model(long: usize, short: usize, short_ms: fn(TaskKey) -> u64) -> Model {
    let need = |task: TaskKey| match task.step.job {
        GANG => Resources::new(16_000, 1_024, 0),
        JobKey(2) => Resources::new((CORES - 1) * 1_000, 1_024, 0),
        _ => Resources::new(CORES * 1_000, 1_024, 0),
    };
    let worker = |number: usize| {
        let (label, work_ms) = if number < long {
            (LONG, (|_| 60_000) as fn(TaskKey) -> u64)
        } else {
            (SHORT, short_ms)
        };
        let mut worker = ModelWorker::new(&format!("w{number:03}"), CORES, need, work_ms);
        worker.record.labels.push(Arc::from(label));
        worker
    };
    let workers = (0..long + short).map(worker).collect();
    let queues = vec![
        with_permits(queue("gang", 1, 30.0, 1_000), 440.0, 6.4),
        queue("filler", 2, 30.0, 1_000),
    ];
    let mut model = Model::new(queues, workers, POLICY_CLIENTS);
    model.allowed_percent = 30;
    model.run(100);
    if long > 0 {
        model.submit(2, "filler", filler(LONG, long, CORES - 1, 60_000));
    }
    model.submit(3, "filler", filler(SHORT, short, CORES, 5_000));
    model.run(100);
    model
}

/// The time until the last member has started; panics after 30 s.
fn wait_for_gang(model: &mut Model) -> Millis {
    let end = model.now + 30_000;
    while !model.has_started(GANG) {
        assert!(model.now < end, "the gang does not start");
        model.run(STEP_MS);
    }
    model.now
}

/// The time at which the tasks on the short workers have ended.
fn wait_for_room(model: &mut Model) -> Millis {
    let is_busy = |worker: &ModelWorker| worker.running.keys().any(|task| task.step.job.0 == 3);
    while model.workers.values().any(is_busy) {
        model.run(STEP_MS);
    }
    model.now
}

/// Guards against gangs whose permits run out while they wait, so that the room for them is taken
/// before fresh permits come.
#[test]
fn a_waiting_gang_starts_as_soon_as_it_has_room() {
    let ends: [fn(TaskKey) -> u64; 5] = [|_| 5_000, |_| 5_300, |_| 5_600, |_| 5_900, |_| 6_200];
    let waits_ms = ends.map(|short_ms| {
        let mut model = full_model(0, 100, short_ms);
        model.submit(GANG.0, "gang", gang());
        let has_room_at = wait_for_room(&mut model);
        wait_for_gang(&mut model).since(has_room_at)
    });
    println!("waits of {waits_ms:?} ms");
    assert!(
        waits_ms.iter().all(|wait_ms| *wait_ms <= START_MS),
        "{waits_ms:?} ms"
    );
}

/// Guards against gangs that keep the workers they know to be allowed, all busy, while others have
/// room.
#[test]
fn a_gang_whose_allowed_workers_stay_busy_runs_on_others() {
    let mut model = full_model(100, 24, |_| 5_000);
    model.submit(GANG.0, "gang", gang());
    let has_room_at = wait_for_room(&mut model);
    let wait_ms = wait_for_gang(&mut model).since(has_room_at);
    println!("waits {wait_ms} ms");
    assert!(wait_ms <= FIND_ROOM_MS, "{wait_ms} ms");
}
