//! Members of a gang's run of which others cannot begin or are over: they are stopped, whatever
//! happens to starts, stops and leaders, and the gang starts again.

mod model;

use std::sync::Arc;

use sapphirepost_queues::EndKind;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::RejectReason;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_types::Resources;

use crate::model::COMMIT_MS;
use crate::model::GANG_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::STOP_MS;
use crate::model::queue;
use crate::model::worker::ModelWorker;
use crate::model::worker::REQUEST_TIMEOUT_MS;

const MEMBERS: u32 = 4;
const WORK_MS: u64 = 3_000;
const JOB: u64 = 1;
/// The worker whose member does not begin.
const FAULTY: &str = "w0";
/// The time from the submission to the replies to the first starts.
const STARTED_MS: u64 = 100;
/// The time from a certain failure of one member to the end of the others: a commit, a stop and the
/// poll that lists the end.
const STOPPED_MS: u64 = STOP_MS + 10 * COMMIT_MS;
/// The time after which a start that is never answered is given up.
const ABANDONED_MS: u64 = 3 * REQUEST_TIMEOUT_MS + 10 * COMMIT_MS;
/// How long the gang may take once nothing is wrong any more.
const DONE_MS: u64 = WORK_MS + 5_000;

/// Room for one member on a worker.
fn need(_: TaskKey) -> Resources {
    Resources::new(40_000, 100_000, 0)
}

fn work_ms(_: TaskKey) -> u64 {
    WORK_MS
}

fn spec() -> SubmittedSpec {
    let step = StepSpec {
        count: MEMBERS,
        resources: Resources::new(40_000, 100_000, 0),
        estimate_ms: WORK_MS,
        is_gang: true,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

/// A model with as many workers as the gang has members.
fn model() -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, need, work_ms);
    let workers = (0..MEMBERS).map(worker).collect();
    let mut model = Model::new(vec![queue("gang", 1, 20.0, 60_000)], workers, 0);
    model.run(50);
    model
}

fn faulty(model: &mut Model) -> &mut ModelWorker {
    model.workers.get_mut(FAULTY).unwrap()
}

/// All members' ends, with the time that each run took.
fn ends(model: &Model) -> Vec<(TaskKey, u32, EndKind, u64)> {
    let workers = model.workers.values();
    workers
        .flat_map(|worker| worker.ended_members.clone())
        .collect()
}

fn ends_of_kind(model: &Model, kind: EndKind) -> usize {
    let ends = ends(model).into_iter();
    ends.filter(|(_, _, known, _)| *known == kind).count()
}

/// The number of members of a run that ended in this way.
fn ended_in_run(model: &Model, run: u32, kind: EndKind) -> usize {
    let ends = ends(model).into_iter();
    ends.filter(|(_, number, known, _)| *number == run && *known == kind)
        .count()
}

fn running(model: &Model) -> usize {
    let workers = model.workers.values();
    workers.map(|worker| worker.running.len()).sum()
}

fn assert_done(model: &Model) {
    let job = &model.jobs[&JobKey(JOB)];
    assert_eq!(job.ended.map(|(_, phase)| phase), Some(JobPhase::Completed));
}

/// Runs a gang of which the starts of one member get `error` for a while.
fn run_with_start_error(error: WorkerRequestError) {
    let mut model = model();
    faulty(&mut model).start_error = Some(error);
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS);
    assert!(model.starts >= 3, "{error:?}: the other members have begun");
    model.run(STOPPED_MS);
    let stopped = ended_in_run(&model, 1, EndKind::Stopped);
    assert_eq!(stopped, 3, "{error:?}: {:?}", ends(&model));
    faulty(&mut model).start_error = None;
    model.run_until_done(DONE_MS);
    assert_eq!(
        ends_of_kind(&model, EndKind::GangIncomplete),
        0,
        "{error:?}"
    );
    assert_done(&model);
}

/// Guards against members that wait for one whose worker rejected the start.
#[test]
fn members_do_not_wait_for_one_whose_start_was_rejected() {
    run_with_start_error(WorkerRequestError::Rejected(RejectReason::NoRoom));
    run_with_start_error(WorkerRequestError::Rejected(RejectReason::LeaseOver));
}

/// Guards against members that wait for one whose start was not sent.
#[test]
fn members_do_not_wait_for_one_whose_start_was_not_sent() {
    run_with_start_error(WorkerRequestError::NotSent);
    run_with_start_error(WorkerRequestError::Refused);
}

/// Guards against members that wait for one for whose start the leader had no descriptor.
#[test]
fn members_do_not_wait_for_one_for_which_the_leader_has_no_resources() {
    run_with_start_error(WorkerRequestError::OutOfResources);
}

/// Guards against members that wait for one whose worker is unhealthy.
#[test]
fn members_do_not_wait_for_one_on_an_unhealthy_worker() {
    run_with_start_error(WorkerRequestError::Unhealthy);
}

/// Guards against members that wait for one whose start was given up after three attempts.
#[test]
fn members_do_not_wait_for_one_whose_start_was_abandoned() {
    let mut model = model();
    faulty(&mut model).loses_starts = true;
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS + ABANDONED_MS + STOPPED_MS);
    assert_eq!(
        ended_in_run(&model, 1, EndKind::Stopped),
        3,
        "{:?}",
        ends(&model)
    );
    faulty(&mut model).loses_starts = false;
    model.run_until_done(DONE_MS);
    assert_eq!(ends_of_kind(&model, EndKind::GangIncomplete), 0);
    assert_done(&model);
}

/// Guards against members that hold their room for one that a silent worker was to start.
#[test]
fn members_do_not_wait_for_one_on_a_worker_that_is_cut_off_at_the_start() {
    let mut model = model();
    model.submit(JOB, "gang", spec());
    model.run(COMMIT_MS);
    model.cut_off(FAULTY);
    model.run(STARTED_MS + ABANDONED_MS + STOPPED_MS);
    assert_eq!(
        ended_in_run(&model, 1, EndKind::Stopped),
        3,
        "{:?}",
        ends(&model)
    );
    faulty(&mut model).is_unreachable = false;
    model.run_until_done(DONE_MS);
    assert_eq!(ends_of_kind(&model, EndKind::GangIncomplete), 0);
    assert_done(&model);
}

/// Guards against members that wait for one that a leader could not start before it was lost.
#[test]
fn members_do_not_wait_for_one_that_a_lost_leader_did_not_start() {
    let mut model = model();
    faulty(&mut model).loses_starts = true;
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS);
    assert_eq!(running(&model), 3);
    model.change_leader();
    faulty(&mut model).loses_starts = false;
    model.run(STARTED_MS + STOPPED_MS);
    assert_eq!(
        ended_in_run(&model, 1, EndKind::Stopped),
        3,
        "{:?}",
        ends(&model)
    );
    model.run_until_done(DONE_MS);
    assert_eq!(ends_of_kind(&model, EndKind::GangIncomplete), 0);
    assert_done(&model);
}

/// Guards against a leader that does not know that the members it takes over wait in vain.
#[test]
fn a_new_leader_stops_the_members_of_a_run_that_was_incomplete_before() {
    let mut model = model();
    faulty(&mut model).start_error = Some(WorkerRequestError::NotSent);
    for worker in model.workers.values_mut() {
        worker.loses_stops = true;
    }
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS + 2 * COMMIT_MS);
    assert_eq!(running(&model), 3);
    model.change_leader();
    faulty(&mut model).start_error = None;
    for worker in model.workers.values_mut() {
        worker.loses_stops = false;
    }
    model.run(STARTED_MS + STOPPED_MS);
    assert_eq!(
        ended_in_run(&model, 1, EndKind::Stopped),
        3,
        "{:?}",
        ends(&model)
    );
    model.run_until_done(DONE_MS);
    assert_done(&model);
}

/// Guards against a member that is started after the others have given up, by a leader that handles
/// replies seconds late.
#[test]
fn a_leader_that_is_seconds_late_starts_no_member_after_the_others_have_given_up() {
    let mut model = model();
    model.reply_delay_ms = GANG_MS;
    faulty(&mut model).loses_starts = true;
    // Without a reply for so long no worker counts as reachable.
    model.run(2 * GANG_MS);
    model.submit(JOB, "gang", spec());
    while model.starts < 3 {
        model.run(COMMIT_MS);
    }
    faulty(&mut model).loses_starts = false;
    model.run(GANG_MS + STARTED_MS + REQUEST_TIMEOUT_MS);
    let late = &model.workers[FAULTY];
    let has_begun = !late.running.is_empty() || !late.ended_members.is_empty();
    assert!(!has_begun, "a member began after the others had ended");
    model.reply_delay_ms = 0;
    model.run_until_done(GANG_MS + DONE_MS);
    assert_done(&model);
}

/// Guards against a member that waits on because its stop was lost.
#[test]
fn a_lost_stop_of_a_waiting_member_is_repeated() {
    let mut model = model();
    faulty(&mut model).start_error = Some(WorkerRequestError::NotSent);
    model.workers.get_mut("w1").unwrap().loses_stops = true;
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS + STOPPED_MS);
    assert_eq!(running(&model), 1);
    model.workers.get_mut("w1").unwrap().loses_stops = false;
    model.run(2 * REQUEST_TIMEOUT_MS + STOPPED_MS);
    assert_eq!(
        ended_in_run(&model, 1, EndKind::Stopped),
        3,
        "{:?}",
        ends(&model)
    );
    faulty(&mut model).start_error = None;
    model.run_until_done(DONE_MS);
    assert_eq!(ends_of_kind(&model, EndKind::GangIncomplete), 0);
}

/// Guards against a member that waits on because its worker did not carry out an answered stop.
#[test]
fn an_answered_stop_of_a_waiting_member_that_has_no_effect_is_repeated() {
    let mut model = model();
    faulty(&mut model).start_error = Some(WorkerRequestError::NotSent);
    model.workers.get_mut("w1").unwrap().forgets_stops = true;
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS + STOPPED_MS);
    assert_eq!(running(&model), 1);
    model.workers.get_mut("w1").unwrap().forgets_stops = false;
    model.run(1_000 + STOPPED_MS);
    assert_eq!(
        ended_in_run(&model, 1, EndKind::Stopped),
        3,
        "{:?}",
        ends(&model)
    );
    faulty(&mut model).start_error = None;
    model.run_until_done(DONE_MS);
    assert_eq!(ends_of_kind(&model, EndKind::GangIncomplete), 0);
}

/// Guards against members that wait for one whose worker crashed before the others began.
#[test]
fn members_do_not_wait_for_one_whose_worker_crashed_at_its_start() {
    let mut model = model();
    model.submit(JOB, "gang", spec());
    model.run(COMMIT_MS);
    faulty(&mut model).loses_starts = true;
    model.run(STARTED_MS);
    assert_eq!(running(&model), 3);
    model.restart_worker(FAULTY, 200);
    model.run(200 + REQUEST_TIMEOUT_MS + ABANDONED_MS);
    assert_eq!(ends_of_kind(&model, EndKind::GangIncomplete), 0);
    model.run_until_done(GANG_MS + DONE_MS);
    assert_eq!(
        ends_of_kind(&model, EndKind::GangIncomplete),
        0,
        "{:?}",
        ends(&model)
    );
    assert_done(&model);
}

/// Guards against a gang that is started in part when its start is committed after one of its
/// workers has registered anew, so that the leader has no lease for it.
#[test]
fn a_gang_is_not_started_in_part_when_the_leader_has_no_lease_for_a_worker() {
    let mut model = model();
    let record = model.workers[FAULTY].record.clone();
    model.submit(JOB, "gang", spec());
    // These two are applied between the proposal and the application of the start.
    model.run(COMMIT_MS - STEP_MS);
    model.propose(QueueCommand::RemoveWorker {
        worker: Arc::from(FAULTY),
        incarnation: None,
        checkpoints: Vec::new(),
    });
    model.propose(QueueCommand::PutWorker(Box::new(record)));
    model.run(STARTED_MS);
    let others = ["w1", "w2", "w3"].map(|id| model.workers[id].running.values());
    let runs: Vec<u32> = others.into_iter().flatten().map(|run| run.run).collect();
    assert!(!runs.contains(&1), "{runs:?}");
    assert!(ends(&model).is_empty(), "{:?}", ends(&model));
    model.run_until_done(DONE_MS);
    assert_done(&model);
}

/// Guards against an operator who cannot see that members have waited in vain. A new leader cannot
/// know whether a member has begun on a worker that is silent, so it stops no other.
#[test]
fn members_that_waited_for_one_on_a_silent_worker_are_counted() {
    let mut model = model();
    faulty(&mut model).loses_starts = true;
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS);
    model.cut_off(FAULTY);
    model.change_leader();
    model.run(GANG_MS + STOPPED_MS);
    assert_eq!(ends_of_kind(&model, EndKind::GangIncomplete), 3);
    assert_eq!(model.scheduler.take_counts().incomplete_gang_ends, 3);
    faulty(&mut model).is_unreachable = false;
    faulty(&mut model).loses_starts = false;
    model.run_until_done(DONE_MS);
    assert_done(&model);
}

/// Guards against the end of a complete gang for a start whose answer was late.
#[test]
fn a_complete_gang_runs_on_when_a_start_was_answered_late() {
    let mut model = model();
    faulty(&mut model).start_delay_ms = 300;
    model.submit(JOB, "gang", spec());
    model.run(STARTED_MS);
    faulty(&mut model).start_delay_ms = 0;
    model.run_until_done(DONE_MS);
    assert_eq!(model.starts, u64::from(MEMBERS));
    assert_eq!(ended_in_run(&model, 1, EndKind::Done), MEMBERS as usize);
    assert_done(&model);
}

/// Guards against the end of a complete gang because no start of one member was answered. The
/// progress of the others shows that it has begun.
#[test]
fn a_complete_gang_runs_on_when_a_start_was_never_answered() {
    let mut model = model();
    faulty(&mut model).start_delay_ms = STEP_MS;
    model.submit(JOB, "gang", spec());
    while faulty(&mut model).running.is_empty() {
        model.run(STEP_MS);
    }
    model.cut_off(FAULTY);
    model.run(ABANDONED_MS + REQUEST_TIMEOUT_MS / 2);
    faulty(&mut model).is_unreachable = false;
    model.run_until_done(DONE_MS);
    assert_eq!(ended_in_run(&model, 1, EndKind::Done), MEMBERS as usize);
    assert_done(&model);
}

/// Guards against the end of a complete gang because one of its workers is silent.
#[test]
fn a_complete_gang_runs_on_while_a_worker_is_silent() {
    let mut model = model();
    model.submit(JOB, "gang", spec());
    model.run(2 * STARTED_MS);
    assert_eq!(running(&model), MEMBERS as usize);
    model.cut_off(FAULTY);
    model.run(WORK_MS / 2);
    faulty(&mut model).is_unreachable = false;
    model.run_until_done(DONE_MS);
    assert_eq!(ended_in_run(&model, 1, EndKind::Done), MEMBERS as usize);
    assert_done(&model);
}

/// Guards against the end of a complete gang under a new leader that cannot reach all members.
#[test]
fn a_complete_gang_runs_on_under_a_new_leader_that_misses_a_worker() {
    let mut model = model();
    model.submit(JOB, "gang", spec());
    model.run(2 * STARTED_MS);
    model.cut_off(FAULTY);
    model.change_leader();
    model.run(WORK_MS / 2);
    faulty(&mut model).is_unreachable = false;
    model.run_until_done(DONE_MS);
    assert_eq!(ended_in_run(&model, 1, EndKind::Done), MEMBERS as usize);
    assert_done(&model);
}

/// Guards against stops of members that a gang whose work is done has not listed as ended yet.
#[test]
fn the_members_of_a_gang_that_is_done_are_not_stopped() {
    let mut model = model();
    model.submit(JOB, "gang", spec());
    model.run(2 * STARTED_MS);
    model.cut_off(FAULTY);
    model.run_until_done(DONE_MS);
    let counts = model.scheduler.take_counts();
    assert_eq!(counts.stops.iter().sum::<u64>(), 0);
    assert_done(&model);
}
