//! Failures of workers, leaders and the placement policy while jobs run.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::PermitAnswer;
use sapphirepost_queues::scheduler::PermitOutcome;
use sapphirepost_queues::scheduler::WaitReason;

use crate::model::COMMIT_MS;
use crate::model::LEASE_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;

fn queues() -> Vec<Queue> {
    vec![
        queue("lookup", 0, 1.5, 250),
        queue("gang", 1, 2.2, 1_000),
        queue("tally", 2, 4.0, 3_000),
    ]
}

fn workers(count: usize) -> Vec<ModelWorker> {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    (0..count).map(worker).collect()
}

fn submit(model: &mut Model, kind: Kind, count: u64) {
    let name = match kind {
        Kind::Lookup => "lookup",
        Kind::Tally => "tally",
        Kind::Gang => "gang",
    };
    for number in 0..count {
        model.submit(load::key(kind, number), name, load::spec(kind, number));
    }
}

fn assert_completed(model: &Model) {
    for (key, job) in &model.jobs {
        let phase = job.ended.map(|(_, phase)| phase);
        assert_eq!(phase, Some(JobPhase::Completed), "{key}");
    }
}

/// Guards against a job of any kind that is lost although nothing fails.
#[test]
fn jobs_of_all_kinds_complete() {
    let mut model = Model::new(queues(), workers(6), 0);
    model.run(50);
    submit(&mut model, Kind::Lookup, 5);
    submit(&mut model, Kind::Tally, 3);
    submit(&mut model, Kind::Gang, 2);
    model.run_until_done(60_000);
    assert_completed(&model);
}

/// Crashes a worker that has runs, for good; returns its ID.
fn crash_busy_worker(model: &mut Model) -> Arc<str> {
    let mut workers = model.workers.values_mut();
    let lost = workers.find(|worker| !worker.running.is_empty());
    let lost = lost.unwrap();
    lost.is_unreachable = true;
    lost.is_crashed = true;
    lost.record.id.clone()
}

/// Guards against polls that extend the expected end of a silent worker's lease again and again:
/// its tasks were never rescheduled and the job never ended.
#[test]
fn tasks_of_a_lost_worker_are_rescheduled() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 6);
    model.run(500);
    crash_busy_worker(&mut model);
    model.run(2 * LEASE_MS);
    model.run_until_done(30_000);
    assert_completed(&model);
}

/// Guards against a lost worker that is never removed and still counts as capacity.
#[test]
fn a_lost_worker_is_removed() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 6);
    model.run(500);
    let id = crash_busy_worker(&mut model);
    model.run(30_000);
    assert!(model.state.worker(&id).is_none());
}

/// Guards against a second run of a task whose worker is isolated and runs until its lease expires.
/// The model checks at each step that no task runs twice.
#[test]
fn an_isolated_worker_stops_before_its_tasks_are_rescheduled() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 6);
    model.run(500);
    model.workers.values_mut().next().unwrap().is_unreachable = true;
    model.run(3 * LEASE_MS);
    model.workers.values_mut().next().unwrap().is_unreachable = false;
    model.run_until_done(30_000);
    assert_completed(&model);
}

/// Guards against a refused connection that is taken as proof that nothing runs on a worker: the
/// connection may be refused on the way, and the worker's tasks would run twice. The model checks
/// at each step that no task runs twice.
#[test]
fn a_worker_that_refuses_connections_keeps_its_tasks_until_its_lease_ends() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 6);
    submit(&mut model, Kind::Lookup, 10);
    model.run(500);
    let refusing = model.workers.values_mut().next().unwrap();
    refusing.refuses_connections = true;
    let id = refusing.record.id.clone();
    model.run(LEASE_MS / 2);
    let held = model.state.worker(&id).unwrap().runs.len();
    assert!(held > 0, "the runs were freed before the end of the lease");
    model.run(2 * LEASE_MS);
    model.workers.get_mut(&id).unwrap().refuses_connections = false;
    model.run_until_done(30_000);
    assert_completed(&model);
}

/// Guards against a start whose connection was refused and that is not placed elsewhere.
#[test]
fn a_refused_start_is_placed_on_another_worker() {
    let mut model = Model::new(queues(), workers(2), 0);
    model.run(50);
    let refusing = model.workers.values_mut().next().unwrap();
    refusing.refuses_connections = true;
    submit(&mut model, Kind::Lookup, 4);
    model.run(200);
    let started = model.jobs.keys().filter(|key| model.has_started(**key));
    assert_eq!(started.count(), 4, "a job waits for the refusing worker");
    model.run_until_done(10_000);
    assert_completed(&model);
}

/// Guards against a task that runs twice because a delayed start is carried out after the task was
/// placed on another worker.
#[test]
fn a_delayed_start_runs_no_task_twice() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    model.workers.values_mut().next().unwrap().start_delay_ms = 2_600;
    submit(&mut model, Kind::Tally, 6);
    submit(&mut model, Kind::Lookup, 10);
    model.run(6_000);
    model.workers.values_mut().next().unwrap().start_delay_ms = 0;
    model.run_until_done(60_000);
    assert_completed(&model);
}

/// Guards against a new leader that starts running tasks again, or that waits for the leases of
/// workers that answer.
#[test]
fn a_new_leader_adopts_running_tasks() {
    let mut model = Model::new(queues(), workers(4), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 5);
    submit(&mut model, Kind::Gang, 1);
    for _ in 0..4 {
        model.run(620);
        model.change_leader();
    }
    model.run_until_done(30_000);
    assert_completed(&model);
}

/// Guards against a worker that fails all its tasks and attracts new ones because it has the most
/// free resources.
#[test]
fn a_worker_that_fails_everything_is_avoided() {
    let mut model = Model::new(queues(), workers(5), 0);
    model.run(50);
    model.workers.values_mut().next().unwrap().fails_all = true;
    for round in 0..40 {
        model.submit(
            load::key(Kind::Lookup, round),
            "lookup",
            load::spec(Kind::Lookup, round),
        );
        model.run(100);
    }
    model.run_until_done(30_000);
    assert_completed(&model);
}

/// Guards against tasks that stay for ever on a worker on which nothing makes progress.
#[test]
fn stalled_tasks_are_rescheduled() {
    let mut model = Model::new(queues(), workers(4), 0);
    model.run(50);
    model.workers.values_mut().next().unwrap().stalls = true;
    submit(&mut model, Kind::Tally, 5);
    model.run_until_done(60_000);
    assert_completed(&model);
}

/// Fails unless each task of the first `jobs` jobs of a kind, which have all ended, was started
/// once.
fn assert_started_once(model: &Model, kind: Kind, jobs: u64) {
    let specs = (0..jobs).map(|number| load::spec(kind, number));
    let counts = specs.flat_map(|spec| spec.steps.into_iter().map(|step| u64::from(step.count)));
    assert_eq!(model.starts, counts.sum::<u64>());
}

/// Guards against runs that count as stalled as soon as they start, because the time that a slow
/// disk took to commit the start was counted as time without progress.
#[test]
fn runs_whose_start_was_committed_slowly_are_not_stalled() {
    let mut model = Model::new(queues(), workers(4), 0);
    model.run(50);
    model.commit_ms = 4_500;
    submit(&mut model, Kind::Tally, 3);
    model.run(4_600);
    model.commit_ms = COMMIT_MS;
    model.run_until_done(30_000);
    assert_completed(&model);
    assert_started_once(&model, Kind::Tally, 3);
}

/// Guards against runs that count as stalled because their progress is not polled while ends of
/// other runs on their worker are committed slowly.
#[test]
fn runs_beside_ends_that_are_committed_slowly_are_not_stalled() {
    let mut model = Model::new(queues(), workers(1), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 1);
    model.run(500);
    model.commit_ms = 2_500;
    model.run_until_done(30_000);
    assert_completed(&model);
    assert_started_once(&model, Kind::Tally, 1);
}

/// Guards against gangs that stay for ever on a worker on which nothing makes progress.
#[test]
fn a_stalled_gang_is_rescheduled() {
    let mut model = Model::new(queues(), workers(5), 0);
    model.run(50);
    model.workers.values_mut().next().unwrap().stalls = true;
    submit(&mut model, Kind::Gang, 1);
    model.run_until_done(60_000);
    assert_completed(&model);
}

/// Guards against a state with running tasks that cannot be serialised, for instance because a map
/// key is not text: the snapshot thread panicked.
#[test]
fn a_state_with_running_tasks_can_be_serialised() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 3);
    model.run(300);
    assert!(
        model
            .workers
            .values()
            .any(|worker| !worker.running.is_empty())
    );
    let text = serde_json::to_vec(&model.state).expect("the state can be serialised");
    let read: QueueState = serde_json::from_slice(&text).expect("the state can be deserialised");
    assert_eq!(read, model.state);
}

/// Guards against a permit request that names more workers than the policy accepts: it was refused
/// and repeated unchanged, so a step with many tasks never ran although most workers were free.
#[test]
fn a_large_step_with_expired_permits_on_few_workers_runs() {
    let tally = with_permits(queue("tally", 2, 4.0, 3_000), 156.0, 2.34);
    let mut model = Model::new(vec![tally], workers(160), 4);
    model.allowed_percent = 45;
    set_unreachable(&mut model, 8, true);
    model.run(50);
    // The first step takes longer than its estimate, so the permits of the second one expire.
    let is_late = |number: &u64| {
        let job = JobKey(load::key(Kind::Tally, *number));
        load::work_ms(StepKey { job, step: 0 }.task(0)) > 4_500
    };
    let number = (0..100).find(is_late).unwrap();
    let mut spec = load::spec(Kind::Tally, number);
    let mut large = spec.steps[0].clone();
    spec.steps[0].count = 1;
    large.count = 52;
    large.after.push(0);
    large.per_worker_max = Some(1);
    spec.steps.push(large);
    model.submit(load::key(Kind::Tally, number), "tally", spec);
    model.run(3_000);
    set_unreachable(&mut model, 8, false);
    model.run_until_done(60_000);
    assert_completed(&model);
    assert_eq!(model.refused_permit_requests, 0);
}

/// Isolates all workers but the first `others`, or reconnects them.
fn set_unreachable(model: &mut Model, others: usize, is_unreachable: bool) {
    for worker in model.workers.values_mut().skip(others) {
        worker.is_unreachable = is_unreachable;
    }
}

/// Guards against a permit request that the policy refuses for a reason other than load, and that
/// is repeated unchanged for ever.
#[test]
fn a_refused_permit_request_is_split() {
    let tally = with_permits(queue("tally", 2, 4.0, 3_000), 156.0, 2.34);
    let mut model = Model::new(vec![tally], workers(160), 4);
    model.workers_per_request_max = 20;
    model.allowed_percent = 45;
    model.run(50);
    let mut spec = load::spec(Kind::Tally, 1);
    spec.steps[0].count = 52;
    spec.steps[0].per_worker_max = Some(1);
    model.submit(load::key(Kind::Tally, 1), "tally", spec);
    model.run_until_done(60_000);
    assert_completed(&model);
}

/// Guards against a worker that is unknown to the policy, which refuses every request that names
/// it.
#[test]
fn a_worker_unknown_to_the_policy_is_left_out_of_permit_requests() {
    let tally = with_permits(queue("tally", 2, 4.0, 3_000), 156.0, 2.34);
    let mut model = Model::new(vec![tally], workers(40), 4);
    model.unknown_worker = model.workers.keys().next().cloned();
    model.allowed_percent = 45;
    model.run(50);
    submit(&mut model, Kind::Tally, 3);
    model.run_until_done(60_000);
    assert_completed(&model);
}

/// Guards against a step that waits for ever without a logged reason.
#[test]
fn a_waiting_step_is_reported_with_its_reason() {
    let tally = with_permits(queue("tally", 2, 4.0, 3_000), 156.0, 2.34);
    let mut model = Model::new(vec![tally], workers(4), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 1);
    model.run(100);
    assert!(model.scheduler.find_waiting_steps(model.now).is_empty());
    model.run(4_000);
    let waiting = model.scheduler.find_waiting_steps(model.now);
    let reasons: Vec<_> = waiting.iter().map(|step| step.reason).collect();
    assert_eq!(reasons, [WaitReason::NoPermit]);
}

/// Guards against workers that are limited to one task until a success, although nothing runs there
/// that could succeed: a gang with several members on each worker never ran.
#[test]
fn a_gang_runs_on_suspected_workers_after_their_trial() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    set_failing(&mut model, true);
    submit(&mut model, Kind::Lookup, 24);
    model.run(1400);
    set_failing(&mut model, false);
    for key in model.jobs.keys().copied().collect::<Vec<_>>() {
        model.propose(QueueCommand::Cancel { job: key });
    }
    submit_large_gang(&mut model);
    model.run_until_done(30_000);
    assert_gang_completed(&model);
}

/// Guards against workers that are paused because of jobs that fail wherever they run.
#[test]
fn jobs_that_fail_everywhere_pause_no_worker() {
    let mut model = Model::new(queues(), workers(3), 0);
    model.run(50);
    set_failing(&mut model, true);
    submit(&mut model, Kind::Lookup, 4);
    model.run_until_done(120_000);
    set_failing(&mut model, false);
    submit_large_gang(&mut model);
    model.run(500);
    assert!(model.has_started(LARGE_GANG));
    model.run_until_done(30_000);
    assert_gang_completed(&model);
}

const LARGE_GANG: JobKey = JobKey((3 << 56) | 1);

/// Submits a gang with more members than there are workers.
fn submit_large_gang(model: &mut Model) {
    let mut spec = load::spec(Kind::Gang, 1);
    spec.steps[0].count = 6;
    model.submit(LARGE_GANG.0, "gang", spec);
}

fn assert_gang_completed(model: &Model) {
    let ended = model.jobs[&LARGE_GANG].ended.map(|(_, phase)| phase);
    assert_eq!(ended, Some(JobPhase::Completed));
}

/// Makes all workers fail their tasks, or not.
fn set_failing(model: &mut Model, fails_all: bool) {
    for worker in model.workers.values_mut() {
        worker.fails_all = fails_all;
    }
}

/// Guards against a gang whose permits expire in turn: while some were renewed, others expired, so
/// the gang never had all of them at the same time.
#[test]
fn a_gang_with_permits_of_different_age_runs() {
    let gang = with_permits(queue("gang", 1, 2.2, 1_000), 1_700.0, 1.0);
    let mut model = Model::new(vec![gang], workers(90), 4);
    model.allowed_percent = 10;
    model.run(50);
    let mut spec = load::spec(Kind::Gang, 1);
    spec.steps[0].count = 7;
    spec.steps[0].per_worker_max = Some(1);
    model.submit(LARGE_GANG.0, "gang", spec);
    model.run_until_done(60_000);
    assert_gang_completed(&model);
}

/// Guards against a refusal of a job that is submitted again while its commit is in progress: the
/// job would run although its caller was told that it was refused.
#[test]
fn a_job_being_committed_is_not_refused() {
    let mut model = Model::new(queues(), workers(1), 0);
    model.run(50);
    submit(&mut model, Kind::Tally, 100);
    model.run(2 * COMMIT_MS);
    let spec = load::spec(Kind::Lookup, 0);
    let key = load::key(Kind::Lookup, 0);
    let lookup = queue("lookup", 9, 1.5, 250);
    let retry_after_ms = |model: &mut Model, key: u64| {
        let admission = model
            .scheduler
            .admission(JobKey(key), &lookup, &spec, None, model.now);
        admission.and_then(|admission| admission.retry_after_ms())
    };
    model.submit(key, "lookup", spec.clone());
    model.run(STEP_MS);
    assert!(
        retry_after_ms(&mut model, key + 1).is_some(),
        "the backlog is short"
    );
    assert_eq!(retry_after_ms(&mut model, key), None);
}

/// Guards against a new leader that uses the service that a queue had when it accepted a job,
/// instead of the one in the current table.
#[test]
fn a_new_leader_uses_the_current_table() {
    let mut model = Model::new(queues(), Vec::new(), 0);
    submit(&mut model, Kind::Lookup, 1);
    model.run(100);
    let mut new_table = (**model.state.table().unwrap()).clone();
    new_table.version += 1;
    new_table.services[0].name = "other".into();
    for queue in &mut new_table.queues {
        queue.service = "other".into();
    }
    model.propose(QueueCommand::PutTable(Box::new(new_table)));
    model.run(100);
    model.change_leader();
    let mut worker = workers(1).remove(0);
    worker.record.service = "other".into();
    let record = Box::new(worker.record.clone());
    model.workers.insert(worker.record.id.clone(), worker);
    model.propose(QueueCommand::PutWorker(record));
    model.run_until_done(10_000);
    assert_completed(&model);
}

/// Guards against an answer to a permit request of an earlier leader that is taken for the answer
/// to another request: its workers were denied for good, and the step never ran.
#[test]
fn a_permit_answer_for_an_earlier_leader_is_ignored() {
    let tally = with_permits(queue("tally", 2, 4.0, 3_000), 156.0, 2.34);
    let mut model = Model::new(vec![tally], workers(4), 2);
    model.run(50);
    submit(&mut model, Kind::Tally, 1);
    model.run(50);
    let earlier_id = model.permit_requests[0];
    model.change_leader();
    model.run(50);
    assert_eq!(model.permit_requests.len(), 2);
    let answer = PermitAnswer {
        id: earlier_id,
        outcome: PermitOutcome::Allowed(Vec::new()),
    };
    let now = model.now;
    assert_eq!(model.scheduler.handle_permit_answer(&answer, now), None);
    model.run_until_done(30_000);
    assert_completed(&model);
}

/// Guards against workers that count as silent, and lose their work, while the leader itself has no
/// descriptor left for requests to them.
#[test]
fn a_leader_without_resources_blames_no_worker() {
    let mut model = Model::new(queues(), workers(4), 0);
    model.run(100);
    submit(&mut model, Kind::Tally, 6);
    model.run(1_500);
    model.is_out_of_resources = true;
    submit(&mut model, Kind::Lookup, 1);
    model.run(LEASE_MS / 2);
    for name in model.workers.keys() {
        assert!(model.scheduler.is_reachable(name), "{name} is silent");
    }
    model.is_out_of_resources = false;
    model.run_until_done(60_000);
    assert_completed(&model);
    let tally = (0..6).map(|number| load::spec(Kind::Tally, number));
    let specs = tally.chain([load::spec(Kind::Lookup, 0)]);
    let tasks: u64 = specs.map(|spec| u64::from(spec.steps[0].count)).sum();
    assert_eq!(model.starts, tasks, "tasks were started again");
}

/// Guards against long tasks that never end: whole percents of a task of minutes change so seldom
/// that it counted as stalled, and was stopped and started again for ever.
#[test]
fn long_tasks_that_make_progress_are_not_stopped() {
    let work_ms = |_: TaskKey| 300_000;
    let worker = ModelWorker::new("w0", 64, load::need, work_ms);
    let mut model = Model::new(queues(), vec![worker], 0);
    model.run(50);
    let mut spec = load::spec(Kind::Tally, 1);
    spec.steps.truncate(1);
    (spec.steps[0].count, spec.steps[0].estimate_ms) = (2, 300_000);
    model.submit(load::key(Kind::Tally, 1), "tally", spec);
    model.run(20_000);
    assert_eq!(model.scheduler.take_counts().starts, 2);
}
