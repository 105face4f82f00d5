//! Workers that start again under the same ID: each incarnation has its own ends, reports, clock and
//! leases.

mod model;

use std::sync::Arc;

use sapphirepost_queues::EndKind;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::Placement;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::RunEnd;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::WorkerRecord;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Resources;

use crate::model::COMMIT_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::worker::ModelWorker;

const WORKER: &str = "w0";
const OTHER: &str = "w1";
/// How long a worker is down when it starts again, unless a test says otherwise.
const DOWN_MS: u64 = 500;
const SHORT_WORK_MS: u64 = 400;
const LONG_WORK_MS: u64 = 8_000;
/// Long enough for a worker to report, and for its record to be committed.
const SETTLE_MS: u64 = 2_000;
/// From this number on, jobs take [`LONG_WORK_MS`].
const FIRST_LONG_JOB: u64 = 1_000;

fn need(_: TaskKey) -> Resources {
    Resources::new(8_000, 8_000, 0)
}

fn work_ms(task: TaskKey) -> u64 {
    if task.step.job.0 < FIRST_LONG_JOB {
        SHORT_WORK_MS
    } else {
        LONG_WORK_MS
    }
}

/// A model with `count` workers, on each of which eight tasks fit.
fn model(count: usize) -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, need, work_ms);
    let workers = (0..count).map(worker).collect();
    let mut model = Model::new(vec![queue("q", 0, 4.0, 3_000)], workers, 0);
    model.run(50);
    model
}

fn submit(model: &mut Model, job: u64) {
    let key = StepKey {
        job: JobKey(job),
        step: 0,
    };
    let step = StepSpec {
        count: 1,
        resources: need(key.task(0)),
        estimate_ms: work_ms(key.task(0)),
        ..StepSpec::default()
    };
    let spec = SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    };
    model.submit(job, "q", spec);
}

/// Runs `count` short jobs, one after the other, and returns when the last one is over.
fn run_short_jobs(model: &mut Model, first: u64, count: u64) {
    for job in first..first + count {
        submit(model, job);
        model.run(SHORT_WORK_MS + 200);
    }
    assert_all_completed(model);
}

fn assert_all_completed(model: &Model) {
    for (key, job) in &model.jobs {
        let phase = job.ended.map(|(_, phase)| phase);
        assert_eq!(phase, Some(JobPhase::Completed), "{key}");
    }
}

fn set_reachable(model: &mut Model, worker: &str, is_reachable: bool) {
    model.workers.get_mut(worker).unwrap().is_unreachable = !is_reachable;
}

/// The record that the leader has committed.
fn committed(model: &Model, worker: &str) -> WorkerRecord {
    model.state.worker(worker).unwrap().record.clone()
}

/// The number of the second incarnation, which answers requests from now on.
fn second_incarnation(model: &mut Model) -> Incarnation {
    let second = FIRST_INCARNATION.next();
    let worker = model.workers.get_mut(WORKER).unwrap();
    worker.record.incarnation = second;
    second
}

/// Guards against ends that are acknowledged unread, because their numbers were known from the
/// former incarnation: the task ran again.
#[test]
fn an_end_of_a_restarted_worker_is_not_taken_for_a_known_one() {
    let mut model = model(1);
    run_short_jobs(&mut model, 1, 6);
    model.restart_worker(WORKER, DOWN_MS);
    model.run(SETTLE_MS);
    submit(&mut model, 7);
    submit(&mut model, 8);
    model.run(SHORT_WORK_MS + 500);
    assert_all_completed(&model);
}

/// Guards against the same if the leader learns of the restart from the worker's answer alone.
#[test]
fn a_worker_that_restarts_behind_a_cut_loses_no_end() {
    for down_ms in [20, DOWN_MS, 2_500, 6_000] {
        let mut model = model(2);
        run_short_jobs(&mut model, 1, 12);
        for job in 20..30 {
            submit(&mut model, job);
        }
        model.run(100);
        set_reachable(&mut model, WORKER, false);
        model.restart_worker(WORKER, down_ms);
        model.run(down_ms + 700);
        set_reachable(&mut model, WORKER, true);
        for job in 30..40 {
            submit(&mut model, job);
        }
        model.run_until_done(30_000);
        assert_all_completed(&model);
    }
}

/// Guards against the same if a new leader takes over the record and the runs of the former
/// incarnation.
#[test]
fn a_new_leader_takes_no_end_of_a_restarted_worker_for_a_known_one() {
    for restart_first in [false, true] {
        let mut model = model(2);
        run_short_jobs(&mut model, 1, 12);
        submit(&mut model, FIRST_LONG_JOB);
        for job in 20..24 {
            submit(&mut model, job);
        }
        model.run(100);
        if restart_first {
            model.restart_worker(WORKER, DOWN_MS);
            model.change_leader();
        } else {
            model.change_leader();
            model.restart_worker(WORKER, DOWN_MS);
        }
        model.run(DOWN_MS - STEP_MS);
        for job in 30..40 {
            submit(&mut model, job);
        }
        model.run_until_done(40_000);
        assert_all_completed(&model);
    }
}

/// Guards against reports of a new incarnation that are dropped as late, since its numbers begin
/// anew: its address, capacity and labels were those of the former one for seconds, and a worker
/// that had been about to leave got no task.
#[test]
fn a_report_of_a_new_incarnation_is_not_taken_for_a_late_one() {
    let mut model = model(1);
    let former = WorkerRecord {
        sequence: 40,
        is_draining: true,
        ..committed(&model, WORKER)
    };
    model.report(&former);
    model.run(2 * COMMIT_MS);
    let restarted = WorkerRecord {
        incarnation: second_incarnation(&mut model),
        sequence: 1,
        is_draining: false,
        address: Arc::from("elsewhere:1"),
        capacity: Resources::new(16_000, 16_000, 0),
        labels: vec![Arc::from("label")],
        ..former
    };
    model.report(&restarted);
    model.run(2 * COMMIT_MS);
    assert_eq!(committed(&model, WORKER), restarted);
}

/// Guards against a late report of the former incarnation that replaces what the present one has
/// said, at a leader that knows the present one, at a new one, and in the replicated state.
#[test]
fn a_late_report_of_the_former_incarnation_changes_nothing() {
    let mut model = model(1);
    let former = WorkerRecord {
        sequence: 40,
        capacity: Resources::new(128_000, 128_000, 0),
        ..committed(&model, WORKER)
    };
    let restarted = WorkerRecord {
        incarnation: second_incarnation(&mut model),
        sequence: 1,
        ..committed(&model, WORKER)
    };
    model.report(&restarted);
    model.run(2 * COMMIT_MS);
    model.report(&former);
    model.run(2 * COMMIT_MS);
    assert_eq!(committed(&model, WORKER), restarted);
    model.change_leader();
    model.report(&former);
    model.propose(QueueCommand::PutWorker(Box::new(former)));
    model.run(2 * COMMIT_MS);
    assert_eq!(committed(&model, WORKER), restarted);
}

/// Guards against a command about the former incarnation that is applied after the restart: it
/// acknowledged ends of the new one, ended its runs or removed it.
#[test]
fn commands_about_a_former_incarnation_change_nothing() {
    let mut model = model(1);
    submit(&mut model, FIRST_LONG_JOB);
    model.run(200);
    model.restart_worker(WORKER, DOWN_MS);
    model.run(SETTLE_MS);
    let held = model.state.worker(WORKER).unwrap().runs.clone();
    let (task, run) = held
        .iter()
        .next()
        .map(|(task, held)| (*task, held.run))
        .unwrap();
    submit(&mut model, FIRST_LONG_JOB + 1);
    let before = model.state.clone();
    let worker: Arc<str> = Arc::from(WORKER);
    let incarnation = FIRST_INCARNATION;
    let end = RunEnd {
        task,
        run,
        kind: EndKind::Done,
        checkpoint: None,
    };
    let waiting = StepKey {
        job: JobKey(FIRST_LONG_JOB + 1),
        step: 0,
    };
    let placement = Placement {
        index: 0,
        run: 9,
        worker: worker.clone(),
        incarnation,
    };
    let commands = [
        QueueCommand::End {
            worker: worker.clone(),
            incarnation,
            upto: 40,
            ends: vec![end],
        },
        QueueCommand::Release {
            worker: worker.clone(),
            incarnation,
            task,
            run,
        },
        QueueCommand::Expire {
            worker: worker.clone(),
            incarnation,
            checkpoints: Vec::new(),
            lost: LostRuns::default(),
            kept: Vec::new(),
        },
        QueueCommand::Crash {
            worker: worker.clone(),
            incarnation,
            checkpoints: Vec::new(),
            lost: LostRuns::default(),
        },
        QueueCommand::RemoveWorker {
            worker,
            incarnation: Some(incarnation),
            checkpoints: Vec::new(),
        },
        QueueCommand::Start {
            step: waiting,
            placements: vec![placement],
        },
    ];
    for command in commands {
        let (mut state, mut changes) = (before.clone(), Vec::new());
        state.apply(1_000, 0, &command, &mut changes);
        assert_eq!(changes, [], "{command:?}");
        assert_eq!(state, before, "{command:?}");
    }
}

/// Guards against a late sign-off of the former incarnation that removes the present one, whose
/// runs then start again elsewhere while they go on.
#[test]
fn a_sign_off_of_a_former_incarnation_removes_no_worker() {
    for named in [None, Some(FIRST_INCARNATION)] {
        let mut model = model(2);
        model.restart_worker(WORKER, DOWN_MS);
        model.run(SETTLE_MS);
        set_reachable(&mut model, OTHER, false);
        model.run(SETTLE_MS);
        submit(&mut model, FIRST_LONG_JOB);
        model.run(500);
        sign_off(&mut model, named);
        set_reachable(&mut model, OTHER, true);
        model.run_until_done(40_000);
        assert_all_completed(&model);
    }
}

/// Guards against a worker that stays known for the length of a lease after it has left as planned.
#[test]
fn a_sign_off_of_the_present_incarnation_removes_the_worker() {
    let second = FIRST_INCARNATION.next();
    for (is_draining, named) in [(true, None), (false, Some(second))] {
        let mut model = model(1);
        model.restart_worker(WORKER, DOWN_MS);
        model.run(SETTLE_MS);
        let record = WorkerRecord {
            is_draining,
            sequence: 50,
            ..committed(&model, WORKER)
        };
        model.report(&record);
        model.run(2 * COMMIT_MS);
        sign_off(&mut model, named);
        model.run(2 * COMMIT_MS);
        assert!(model.state.worker(WORKER).is_none());
    }
}

fn sign_off(model: &mut Model, named: Option<Incarnation>) {
    let command = model.scheduler.handle_sign_off(&Arc::from(WORKER), named);
    if let Some(command) = command {
        model.propose(command);
    }
}

/// Guards against a start that was meant for the former incarnation and is carried out by the new
/// one, after the task has started elsewhere.
#[test]
fn a_late_start_for_the_former_incarnation_does_not_run_beside_the_next_run() {
    for (delay_ms, down_ms) in [(2_600, DOWN_MS), (7_000, 5_500), (7_500, 4_600)] {
        let mut model = model(2);
        set_reachable(&mut model, OTHER, false);
        model.run(SETTLE_MS);
        model.workers.get_mut(WORKER).unwrap().start_delay_ms = delay_ms;
        submit(&mut model, FIRST_LONG_JOB);
        model.run(100);
        model.restart_worker(WORKER, down_ms);
        set_reachable(&mut model, OTHER, true);
        model.run_until_done(40_000);
        assert_all_completed(&model);
    }
}

/// Submits a long job that can only start on [`WORKER`], which starts again `after_ms` later, and
/// whose reports get lost. The start is on its way before the leader knows of the restart.
fn start_during_a_restart(model: &mut Model, after_ms: u64) {
    run_short_jobs(model, 1, 4);
    set_reachable(model, OTHER, false);
    model.run(SETTLE_MS);
    submit(model, FIRST_LONG_JOB);
    model.run(after_ms);
    model.workers.get_mut(WORKER).unwrap().loses_reports = true;
    model.restart_worker(WORKER, STEP_MS);
    model.run(100);
}

/// Guards against a start that reaches the new incarnation before the leader knows of it, and whose
/// run is then given up with the former one while it goes on.
#[test]
fn a_run_that_began_on_the_new_incarnation_unnoticed_is_kept() {
    let mut kept = 0;
    for after_ms in (0..60).step_by(STEP_MS as usize) {
        let mut model = model(2);
        start_during_a_restart(&mut model, after_ms);
        let is_running = !model.workers[WORKER].running.is_empty();
        set_reachable(&mut model, OTHER, true);
        model.workers.get_mut(WORKER).unwrap().loses_reports = false;
        model.run_until_done(40_000);
        assert_all_completed(&model);
        kept += u64::from(is_running);
    }
    assert!(kept > 0, "no start was on its way");
}

/// Guards against a lease that a request for the former incarnation has extended by the clock of
/// that one: the worker ran on after the leader took its lease for expired.
#[test]
fn a_lease_by_the_clock_of_the_former_incarnation_is_waited_for() {
    let mut extended = 0;
    for after_ms in (0..60).step_by(STEP_MS as usize) {
        let mut model = model(2);
        // The clock of the first incarnation is far ahead of that of the second one.
        model.run(30_000);
        start_during_a_restart(&mut model, after_ms);
        extended += model.workers[WORKER].running.len();
        set_reachable(&mut model, WORKER, false);
        set_reachable(&mut model, OTHER, true);
        model.run_until_done(40_000);
        assert_all_completed(&model);
    }
    assert!(extended > 0, "no start was on its way");
}

/// Guards against ends that a poll for the former incarnation acknowledges unread, since commits
/// take long and no poll is sent meanwhile.
#[test]
fn a_poll_after_a_slow_commit_acknowledges_no_end_of_another_incarnation() {
    for after_ms in (0..2_000).step_by(50) {
        let mut model = model(2);
        run_short_jobs(&mut model, 1, 12);
        set_reachable(&mut model, OTHER, false);
        model.run(SETTLE_MS);
        model.commit_ms = 1_500;
        for job in 20..28 {
            submit(&mut model, job);
            model.run(100);
        }
        model.run(1_500 + after_ms);
        model.workers.get_mut(WORKER).unwrap().loses_reports = true;
        model.restart_worker(WORKER, STEP_MS);
        model.run(3_000);
        model.commit_ms = COMMIT_MS;
        set_reachable(&mut model, OTHER, true);
        model.workers.get_mut(WORKER).unwrap().loses_reports = false;
        model.run_until_done(40_000);
        assert_all_completed(&model);
    }
}

/// Guards against a lease that is computed from the clock of the former incarnation: the worker ran
/// on after the leader took its lease for expired.
#[test]
fn the_lease_of_a_restarted_worker_follows_its_own_clock() {
    let mut model = model(2);
    run_short_jobs(&mut model, 1, 4);
    // The clock of the first incarnation is far ahead of any later one.
    model.run(30_000);
    set_reachable(&mut model, OTHER, false);
    model.restart_worker(WORKER, DOWN_MS);
    model.run(SETTLE_MS);
    submit(&mut model, FIRST_LONG_JOB);
    model.run(1_000);
    set_reachable(&mut model, WORKER, false);
    set_reachable(&mut model, OTHER, true);
    model.run_until_done(40_000);
    assert_all_completed(&model);
}

/// Guards against crashes that are evidence for nothing, because the worker came back under its ID:
/// a task that crashes its workers was started for ever.
#[test]
fn a_task_that_crashes_workers_that_keep_their_ids_is_given_up() {
    let mut model = model(4);
    for worker in model.workers.values_mut() {
        worker.keeps_id = true;
        worker.down_ms = DOWN_MS;
        worker.crashes_worker = |task| task.step.job == JobKey(1);
    }
    submit(&mut model, 1);
    model.run_until_done(30_000);
    let (_, phase) = model.jobs[&JobKey(1)].ended.unwrap();
    assert_eq!(phase, JobPhase::Failed);
}

/// Guards against ends that a late poll acknowledges unread, since it was sent to the former
/// incarnation and is carried out by the new one.
#[test]
fn a_late_poll_for_the_former_incarnation_acknowledges_no_end() {
    for after_ms in (720..900).step_by(20) {
        for delay_ms in (700..2_000).step_by(50) {
            let mut model = model(2);
            run_short_jobs(&mut model, 1, 12);
            set_reachable(&mut model, OTHER, false);
            model.run(SETTLE_MS);
            model.commit_ms = 150;
            submit(&mut model, 20);
            model.run(after_ms);
            model.workers.get_mut(WORKER).unwrap().poll_delay_ms = delay_ms;
            set_reachable(&mut model, WORKER, false);
            model.restart_worker(WORKER, STEP_MS);
            model.run(400);
            set_reachable(&mut model, WORKER, true);
            for job in 21..32 {
                submit(&mut model, job);
                model.run(130);
            }
            set_reachable(&mut model, OTHER, true);
            model.run_until_done(40_000);
            assert_all_completed(&model);
        }
    }
}

/// Guards against a new leader that takes the lease of a worker for expired that has started again
/// unnoticed and got a longer one by the clock of the former incarnation.
#[test]
fn a_new_leader_waits_for_a_lease_by_the_clock_of_the_former_incarnation() {
    let mut unnoticed = 0;
    for after_ms in (0..60).step_by(STEP_MS as usize) {
        let mut model = model(2);
        // The clock of the first incarnation is far ahead of that of the second one.
        model.run(30_000);
        run_short_jobs(&mut model, 1, 4);
        set_reachable(&mut model, OTHER, false);
        model.run(SETTLE_MS);
        submit(&mut model, FIRST_LONG_JOB);
        model.run(after_ms);
        model.workers.get_mut(WORKER).unwrap().loses_reports = true;
        model.restart_worker(WORKER, STEP_MS);
        for _ in 0..20 {
            model.run(STEP_MS);
            if !model.workers[WORKER].running.is_empty() {
                break;
            }
        }
        let is_known = committed(&model, WORKER).incarnation > FIRST_INCARNATION;
        let is_running = !model.workers[WORKER].running.is_empty();
        unnoticed += u64::from(is_running && !is_known);
        set_reachable(&mut model, WORKER, false);
        model.change_leader();
        set_reachable(&mut model, OTHER, true);
        model.run_until_done(60_000);
        assert_all_completed(&model);
    }
    assert!(unnoticed > 0, "no start was on its way");
}
