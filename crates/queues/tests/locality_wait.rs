//! Waits of steps for workers near their data.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::LocalSlot;
use sapphirepost_queues::scheduler::LocalityChoice;
use sapphirepost_queues::scheduler::PlacementCounts;
use sapphirepost_queues::scheduler::WaitReason;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const QUEUE: &str = "batch";
const LATE_RANK: &str = "later";
const NEAR: &str = "rack-near";
const FAR: &str = "rack-far";
const WORK_MS: u64 = 4_000;
const FACTOR: f64 = 2.0;
/// What a local run saves.
const SAVING_MS: u64 = 4_000;
/// Polls, commits and reviews may delay a start by this much.
const SLACK_MS: u64 = 600;
/// Jobs from this key on keep workers busy; the lower digits are their duration.
const FIRST_BUSY: u64 = 1 << 40;

fn need(_: TaskKey) -> Resources {
    Resources::new(1_000, 1_024, 0)
}

fn work_ms(task: TaskKey) -> u64 {
    match task.step.job.0 {
        key if key >= FIRST_BUSY => (key - FIRST_BUSY) % 1_000_000,
        _ => WORK_MS,
    }
}

fn spec(count: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources::new(1_000, 1_024, 0),
        estimate_ms,
        ..StepSpec::default()
    }
}

fn near_spec(count: u32) -> StepSpec {
    StepSpec {
        preferred_rack: Some(Arc::from(NEAR)),
        ..spec(count, WORK_MS)
    }
}

fn submit(model: &mut Model, key: u64, queue: &str, step: StepSpec) {
    let payload = Arc::from("payload");
    let steps = vec![step];
    model.submit(key, queue, SubmittedSpec { payload, steps });
}

/// A model of one-core workers on two racks. Each task in `busy_ms` keeps one of the near workers
/// busy for this long, and is estimated to take `estimate_ms` of the same position.
fn model(near: usize, far: usize, busy_ms: &[u64], estimates_ms: &[u64]) -> Model {
    let worker = |number: usize| {
        let mut worker = ModelWorker::new(&format!("w{number}"), 1, need, work_ms);
        let rack = if number < near { NEAR } else { FAR };
        worker.record.labels = vec![Arc::from("kind"), Arc::from(rack)];
        worker
    };
    let workers = (0..near + far).map(worker).collect();
    let queues = vec![queue(QUEUE, 1, 20.0, 1), queue(LATE_RANK, 2, 20.0, 1)];
    let mut model = Model::new(queues, workers, 0);
    model.set_remote_factor(FACTOR);
    model.run(1_000);
    for (number, (busy, estimate)) in busy_ms.iter().zip(estimates_ms).enumerate() {
        let mut step = spec(1, *estimate);
        step.required_label = Some(Arc::from(NEAR));
        let key = FIRST_BUSY + 1_000_000 * number as u64 + busy;
        submit(&mut model, key, QUEUE, step);
    }
    model.run(200);
    model.scheduler.take_placement_counts();
    model
}

/// How long after its submission a job ended.
fn took_ms(model: &Model, key: u64) -> u64 {
    let job = &model.jobs[&JobKey(key)];
    job.ended.unwrap().0.since(job.at)
}

fn counts(model: &mut Model) -> PlacementCounts {
    model.scheduler.take_placement_counts()
}

/// Guards against a task that starts remotely although a local worker is free soon.
#[test]
fn a_task_waits_for_a_local_worker_that_is_free_soon() {
    let mut model = model(1, 1, &[1_500], &[1_500]);
    submit(&mut model, 1, QUEUE, near_spec(1));
    model.run_until_done(20_000);
    let took_ms = took_ms(&model, 1);
    assert!(took_ms <= 1_300 + WORK_MS + SLACK_MS, "{took_ms}");
    let counts = counts(&mut model);
    assert_eq!(counts.local_tasks_after_wait, 1);
    assert_eq!((counts.remote_tasks, counts.expired_locality_waits), (0, 0));
}

/// Guards against a wait for a local worker that is free only after a remote run would have ended.
#[test]
fn a_task_starts_remotely_if_local_workers_are_free_late() {
    let mut model = model(1, 1, &[9_000], &[9_000]);
    submit(&mut model, 1, QUEUE, near_spec(1));
    model.run_until_done(20_000);
    let took_ms = took_ms(&model, 1);
    assert!(took_ms <= WORK_MS + SAVING_MS + SLACK_MS, "{took_ms}");
    assert_eq!(counts(&mut model).remote_tasks, 1);
}

/// Guards against a wait that goes on for as long as a run overruns its estimate.
#[test]
fn a_wait_for_a_run_that_never_ends_is_bounded_by_what_it_saves() {
    let mut model = model(1, 1, &[60_000], &[1_000]);
    submit(&mut model, 1, QUEUE, near_spec(1));
    model.run(3_500);
    let waiting = model.scheduler.find_waiting_steps(model.now);
    assert!(waiting.is_empty());
    model.run(SAVING_MS + SLACK_MS - 3_500);
    assert!(model.has_started(JobKey(1)));
    let counts = counts(&mut model);
    assert_eq!((counts.remote_tasks, counts.expired_locality_waits), (1, 1));
}

/// Guards against a wait that is reported as a fault of the leader.
#[test]
fn a_wait_for_locality_is_reported_as_such() {
    let mut model = model(1, 1, &[60_000], &[1_000]);
    submit(&mut model, 1, QUEUE, near_spec(1));
    model.run(100);
    model.scheduler.find_waiting_steps(model.now);
    model.run(3_200);
    let waiting = model.scheduler.find_waiting_steps(model.now);
    let reasons: Vec<WaitReason> = waiting.iter().map(|step| step.reason).collect();
    assert_eq!(reasons, [WaitReason::Locality]);
}

/// Guards against many steps that all wait for the same room.
#[test]
fn only_as_many_steps_wait_as_the_rack_will_have_room_for() {
    let mut model = model(2, 10, &[1_500, 1_500], &[1_500, 1_500]);
    for key in 1..=10 {
        submit(&mut model, key, QUEUE, near_spec(1));
    }
    model.run(500);
    let started = (1..=10).filter(|key| model.has_started(JobKey(*key)));
    assert_eq!(started.count(), 8);
    model.run_until_done(30_000);
    let counts = counts(&mut model);
    assert_eq!((counts.local_tasks_after_wait, counts.remote_tasks), (2, 8));
}

/// Guards against a step that waits or starts as a whole.
#[test]
fn some_tasks_of_a_step_start_locally_and_some_wait_while_others_start_remotely() {
    let mut model = model(3, 10, &[1_500, 1_500], &[1_500, 1_500]);
    submit(&mut model, 1, QUEUE, near_spec(6));
    model.run(500);
    let running = model.workers.values().map(|worker| worker.running.keys());
    let running = running.flatten().filter(|task| task.step.job == JobKey(1));
    assert_eq!(running.count(), 4);
    model.run_until_done(30_000);
    let counts = counts(&mut model);
    assert_eq!((counts.local_tasks_after_wait, counts.remote_tasks), (2, 3));
}

/// Guards against a wait for a worker that is gone.
#[test]
fn a_wait_ends_when_the_local_worker_is_lost() {
    let mut model = model(1, 1, &[3_000], &[3_000]);
    submit(&mut model, 1, QUEUE, near_spec(1));
    model.run(500);
    assert!(!model.has_started(JobKey(1)));
    let near = model.workers.get_mut("w0").unwrap();
    (near.is_unreachable, near.is_crashed) = (true, true);
    model.run(2_000);
    assert!(model.has_started(JobKey(1)));
}

/// Guards against room that is kept from others for a step that waits.
#[test]
fn a_wait_withholds_no_room_from_others() {
    let mut model = model(1, 1, &[2_500], &[2_500]);
    submit(&mut model, 1, QUEUE, near_spec(1));
    model.run(300);
    submit(&mut model, 2, LATE_RANK, spec(1, WORK_MS));
    model.run(300);
    assert!(model.has_started(JobKey(2)));
    assert!(!model.has_started(JobKey(1)));
}

/// Guards against a gang that starts on several racks although one has room for it soon, and
/// against one that waits for a rack that never has.
#[test]
fn a_single_rack_gang_waits_for_its_rack_if_that_is_free_soon() {
    for (busy_ms, bound_ms, remote) in [
        (1_500, 1_300 + WORK_MS + SLACK_MS, 0),
        (30_000, WORK_MS + SAVING_MS + SLACK_MS, 4),
    ] {
        let mut model = model(4, 3, &[busy_ms; 3], &[busy_ms; 3]);
        let gang = StepSpec {
            is_gang: true,
            is_single_rack: true,
            ..spec(4, WORK_MS)
        };
        submit(&mut model, 1, QUEUE, gang);
        model.run_until_done(40_000);
        let took_ms = took_ms(&model, 1);
        assert!(took_ms <= bound_ms, "{took_ms}");
        assert_eq!(counts(&mut model).remote_tasks, remote);
    }
}

/// Guards against remote runs that make their queue or their workers count as slow.
#[test]
fn remote_runs_change_neither_expected_durations_nor_speeds() {
    let mut model = model(1, 8, &[60_000], &[60_000]);
    for key in 1..=80 {
        submit(&mut model, key, QUEUE, near_spec(1));
        if key % 8 == 0 {
            model.run(2 * WORK_MS + 1_000);
        }
    }
    let table = model.state.table().unwrap();
    let spec = SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![near_spec(1)],
    };
    let queue = table.queue(QUEUE).unwrap();
    let admission = model
        .scheduler
        .admission(JobKey(99), queue, &spec, None, model.now);
    assert_eq!(admission.unwrap().critical_path_ms, WORK_MS);
}

/// Guards against a wait that makes a step miss a deadline which a remote run would meet.
#[test]
fn a_wait_ends_while_a_remote_run_can_meet_the_deadline() {
    let slots = [LocalSlot {
        at: Millis(1_500),
        run_ms: 1_000,
    }];
    let choice = |deadline| LocalityChoice {
        since: Millis(1_000),
        saving_ms: 1_000,
        remote_ms: 2_000,
        rest_ms: 0,
        deadline: Millis(deadline),
        tasks: 1,
        slots: &slots,
        claimed: 0,
    };
    let now = Millis(1_000);
    assert_eq!(choice(10_000).decide(now).waiting, 1);
    assert_eq!(choice(3_300).decide(now).waiting, 0);
    // It is late remotely in any case, but not locally.
    assert_eq!(choice(2_600).decide(now).waiting, 1);
}
