//! Ends of runs that a leader learns after it has written the runs off with the lease of their
//! worker.

mod model;

use std::sync::Arc;

use sapphirepost_queues::EndKind;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::Placement;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::RunEnd;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::job::Task;
use sapphirepost_queues::job::TaskPhase;
use sapphirepost_types::Resources;

use crate::model::COMMIT_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::starts::checkpoint;
use crate::model::worker::ModelWorker;

const CUT_OFF: &str = "w0";
const OTHER: &str = "w1";
const JOB: JobKey = JobKey(1);
/// How long the tasks of the first step take.
const WORK_MS: u64 = 20_000;
/// How long the tasks of the second step take.
const SHORT_WORK_MS: u64 = 400;
/// What is left to do of the tasks of the first step when their worker is cut off: less than a
/// lease.
const LEFT_MS: u64 = 1_000;
/// Long enough for a lease to be certainly over and for the tasks to start again.
const CUT_MS: u64 = 7_000;
/// How long a late end may take to be applied, and a run that it makes needless to be stopped.
const APPLY_MS: u64 = 1_500;

fn need(_: TaskKey) -> Resources {
    Resources::new(8_000, 8_000, 0)
}

fn work_ms(task: TaskKey) -> u64 {
    if task.step.step == 0 {
        WORK_MS
    } else {
        SHORT_WORK_MS
    }
}

fn step(number: u16) -> StepKey {
    StepKey {
        job: JOB,
        step: number,
    }
}

fn spec(count: u32, is_gang: bool) -> SubmittedSpec {
    let new_step = |number: u16, count: u32, after: Vec<u16>| StepSpec {
        count,
        resources: need(step(number).task(0)),
        estimate_ms: work_ms(step(number).task(0)),
        is_gang: is_gang && number == 0,
        after: after.into(),
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![new_step(0, count, Vec::new()), new_step(1, 1, vec![0])],
    }
}

/// A model in which all tasks of the first step run on one worker, while another one is free.
fn model(count: u32, is_gang: bool) -> Model {
    let worker = |name| ModelWorker::new(name, 64, need, work_ms);
    let workers = vec![worker(CUT_OFF), worker(OTHER)];
    let mut model = Model::new(vec![queue("q", 0, 4.0, 3_000)], workers, 0);
    model.cut_off(OTHER);
    model.run(1_000);
    model.submit(JOB.0, "q", spec(count, is_gang));
    model.run(500);
    assert_eq!(model.workers[CUT_OFF].running.len(), count as usize);
    model.reconnect(OTHER);
    model.run(WORK_MS - LEFT_MS - 500);
    model
}

/// Cuts the worker off until its tasks have ended as done there and run again elsewhere.
fn cut_off_until_run_again(model: &mut Model) {
    model.cut_off(CUT_OFF);
    model.run(CUT_MS);
    assert!(model.workers[CUT_OFF].running.is_empty());
    assert!(!model.workers[OTHER].running.is_empty());
}

fn task(model: &Model, index: u32) -> Task {
    let job = model.state.job(JOB).unwrap();
    job.task(step(0).task(index)).unwrap().clone()
}

fn runs_first_step(model: &Model, worker: &str) -> bool {
    let mut running = model.workers[worker].running.keys();
    running.any(|task| task.step == step(0))
}

fn assert_completes_within(model: &mut Model, limit_ms: u64) {
    model.run_until_done(limit_ms);
    let phase = model.jobs[&JOB].ended.map(|(_, phase)| phase);
    assert_eq!(phase, Some(JobPhase::Completed));
    model.run(APPLY_MS);
    assert!(
        model
            .workers
            .values()
            .all(|worker| worker.running.is_empty())
    );
    let held = |worker: &str| model.state.worker(worker).unwrap().runs.len();
    assert_eq!(held(CUT_OFF) + held(OTHER), 0);
}

/// Guards against a task that is done again, for as long as it takes, because its worker could
/// report the end only after its lease was over; the next step waited meanwhile.
#[test]
fn a_done_end_that_is_learnt_after_the_lease_counts() {
    for count in [1, 2, 4] {
        let mut model = model(count, false);
        cut_off_until_run_again(&mut model);
        model.reconnect(CUT_OFF);
        model.run(APPLY_MS);
        assert!(!runs_first_step(&model, OTHER), "{count} tasks");
        assert!(model.first_starts.contains_key(&step(1)), "{count} tasks");
        assert_completes_within(&mut model, SHORT_WORK_MS + APPLY_MS);
    }
}

/// Guards against a task that starts again after a late end has shown that it is done.
#[test]
fn a_waiting_task_with_a_late_done_end_is_not_started_again() {
    let mut model = model(2, false);
    model.cut_off(OTHER);
    model.cut_off(CUT_OFF);
    model.run(CUT_MS);
    assert_eq!(task(&model, 0).phase, TaskPhase::Waiting);
    let starts = model.starts;
    model.reconnect(CUT_OFF);
    assert_completes_within(&mut model, SHORT_WORK_MS + APPLY_MS);
    assert_eq!(model.starts, starts + 1);
}

/// Guards against a gang that is done again: one member's late end as done counts for all members.
#[test]
fn a_late_done_end_counts_for_all_members_of_a_gang() {
    let mut model = model(3, true);
    cut_off_until_run_again(&mut model);
    model.reconnect(CUT_OFF);
    model.run(APPLY_MS);
    assert!(!runs_first_step(&model, OTHER));
    assert_completes_within(&mut model, SHORT_WORK_MS + APPLY_MS);
}

/// Guards against a needless run that goes on because the leader that learnt the late end was lost
/// before it could stop the run.
#[test]
fn a_new_leader_stops_a_run_of_a_task_that_a_late_end_has_shown_to_be_done() {
    let mut model = model(2, false);
    cut_off_until_run_again(&mut model);
    model.workers.get_mut(OTHER).unwrap().loses_stops = true;
    model.reconnect(CUT_OFF);
    model.run(APPLY_MS);
    assert!(runs_first_step(&model, OTHER));
    model.change_leader();
    model.workers.get_mut(OTHER).unwrap().loses_stops = false;
    model.run(APPLY_MS);
    assert!(!runs_first_step(&model, OTHER));
    assert_completes_within(&mut model, SHORT_WORK_MS + APPLY_MS);
}

/// Guards against a start that is sent although the same log entry has a late end that makes it
/// needless.
#[test]
fn a_start_in_one_entry_with_the_late_end_of_its_task_is_not_sent() {
    let mut model = model(1, false);
    model.commit_ms = 3_000;
    model.cut_off(CUT_OFF);
    while task(&model, 0).phase != TaskPhase::Waiting {
        model.run(STEP_MS);
    }
    model.reconnect(CUT_OFF);
    model.run(500);
    model.scheduler.take_counts();
    model.join_proposals();
    model.commit_ms = COMMIT_MS;
    model.run(STEP_MS);
    assert_eq!(task(&model, 0).phase, TaskPhase::Done);
    assert_eq!(model.scheduler.take_counts().starts, 0);
    assert_completes_within(&mut model, SHORT_WORK_MS + APPLY_MS);
}

/// Guards against a run that starts from an older checkpoint than the last one that the leader had
/// seen before it wrote the former run off.
#[test]
fn a_run_after_an_expiry_starts_from_the_last_checkpoint_seen() {
    let mut model = model(1, false);
    for worker in model.workers.values_mut() {
        worker.checkpoint_ms = 1_000;
    }
    model.run(500);
    let seen_ms = WORK_MS - LEFT_MS;
    model.cut_off(CUT_OFF);
    while model.workers[OTHER].running.is_empty() {
        model.run(100);
    }
    let run = model.workers[OTHER].running.values().next().unwrap();
    assert_eq!((run.run, run.resumed_ms()), (2, seen_ms));
}

/// Guards against work that is done again although a worker that returns has saved a later
/// checkpoint than the leader had seen, and the task still waits.
#[test]
fn a_waiting_task_resumes_from_a_checkpoint_that_is_learnt_late() {
    let worker = |name| {
        let mut worker = ModelWorker::new(name, 64, need, work_ms);
        worker.checkpoint_ms = 1_000;
        worker
    };
    let mut model = Model::new(vec![queue("q", 0, 4.0, 3_000)], vec![worker(CUT_OFF)], 0);
    model.run(50);
    model.submit(JOB.0, "q", spec(1, false));
    model.run(4_000);
    model.cut_off(CUT_OFF);
    model.run(CUT_MS);
    let seen = task(&model, 0);
    assert_eq!(
        (seen.phase, seen.checkpoint),
        (TaskPhase::Waiting, Some(checkpoint(step(0).task(0), 3_000)))
    );
    model.reconnect(CUT_OFF);
    model.run(APPLY_MS);
    let run = model.workers[CUT_OFF].running.values().next().unwrap();
    assert_eq!((run.run, run.resumed_ms()), (2, 7_000));
}

/// A state in which run 1 of the only task was written off with its worker and run 2 was placed on
/// another one.
fn state_with_two_runs(is_service: bool) -> QueueState {
    let model = Model::new(
        vec![queue("q", 0, 4.0, 3_000)],
        vec![
            ModelWorker::new(CUT_OFF, 64, need, work_ms),
            ModelWorker::new(OTHER, 64, need, work_ms),
        ],
        0,
    );
    let mut state = model.state.clone();
    let mut spec = spec(1, false);
    spec.steps[0].is_service = is_service;
    let queue = Arc::new(queue("q", 0, 4.0, 3_000));
    let submit = QueueCommand::Submit {
        job: JOB,
        queue,
        spec: Arc::new(spec),
        tenant: None,
    };
    let expire = QueueCommand::Expire {
        worker: Arc::from(CUT_OFF),
        incarnation: FIRST_INCARNATION,
        checkpoints: Vec::new(),
        lost: LostRuns::default(),
        kept: Vec::new(),
    };
    let commands = [submit, start(1, CUT_OFF), expire, start(2, OTHER)];
    for command in commands {
        state.apply(2, 0, &command, &mut Vec::new());
    }
    state
}

fn start(run: u32, worker: &str) -> QueueCommand {
    let placement = Placement {
        index: 0,
        run,
        worker: Arc::from(worker),
        incarnation: FIRST_INCARNATION,
    };
    QueueCommand::Start {
        step: step(0),
        placements: vec![placement],
    }
}

fn end(worker: &str, upto: u64, run: u32, kind: EndKind) -> QueueCommand {
    let end = RunEnd {
        task: step(0).task(0),
        run,
        kind,
        checkpoint: Some(Arc::from("late")),
    };
    QueueCommand::End {
        worker: Arc::from(worker),
        incarnation: FIRST_INCARNATION,
        upto,
        ends: vec![end],
    }
}

fn applied(state: &QueueState, commands: &[QueueCommand]) -> QueueState {
    let mut state = state.clone();
    for command in commands {
        state.apply(3, 0, command, &mut Vec::new());
    }
    state
}

/// Guards against a late end that frees the resources of the newer run before that is over, and
/// against an end of the newer run that counts beside the late one.
#[test]
fn the_newer_run_is_held_until_it_ends_and_changes_nothing_then() {
    let before = state_with_two_runs(false);
    let done = applied(&before, &[end(CUT_OFF, 1, 1, EndKind::Done)]);
    assert_eq!(done.job(JOB).unwrap().steps[0].left, 0);
    assert_eq!(done.worker(OTHER).unwrap().runs.len(), 1);
    let mut job = done.job(JOB).unwrap().as_ref().clone();
    assert_eq!(job.held_runs, 1);
    // Nothing else of the job changes.
    job.held_runs = 0;
    for kind in [EndKind::Done, EndKind::Failed, EndKind::Stopped] {
        let after = applied(&done, &[end(OTHER, 1, 2, kind)]);
        assert_eq!(after.worker(OTHER).unwrap().runs.len(), 0);
        assert_eq!(**after.job(JOB).unwrap(), job, "{kind:?}");
    }
}

/// Guards against a late end that counts although it proves nothing: it is not `Done`, the task
/// has no end, the run was never placed, or another worker has the run with this number.
#[test]
fn other_late_ends_leave_the_task_as_it_is() {
    let before = state_with_two_runs(false);
    for kind in [EndKind::Failed, EndKind::Stopped, EndKind::Expired] {
        let after = applied(&before, &[end(CUT_OFF, 1, 1, kind)]);
        assert_eq!(after.job(JOB), before.job(JOB), "{kind:?}");
    }
    for run in [2, 3] {
        let after = applied(&before, &[end(CUT_OFF, 1, run, EndKind::Done)]);
        assert_eq!(after.job(JOB), before.job(JOB), "run {run}");
    }
    let service = state_with_two_runs(true);
    let after = applied(&service, &[end(CUT_OFF, 1, 1, EndKind::Done)]);
    assert_eq!(after.job(JOB), service.job(JOB));
}

/// Guards against an end that is lost because the worker was forgotten before it could report it.
#[test]
fn a_late_done_end_counts_after_its_worker_was_forgotten() {
    let before = state_with_two_runs(false);
    let record = Box::new(before.worker(CUT_OFF).unwrap().record.clone());
    let remove = QueueCommand::RemoveWorker {
        worker: Arc::from(CUT_OFF),
        incarnation: Some(FIRST_INCARNATION),
        checkpoints: Vec::new(),
    };
    let commands = [
        remove,
        QueueCommand::PutWorker(record),
        end(CUT_OFF, 1, 1, EndKind::Done),
    ];
    let after = applied(&before, &commands);
    assert_eq!(after.job(JOB).unwrap().steps[0].left, 0);
}
