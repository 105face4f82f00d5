//! Runs of jobs that have ended: they are stopped whatever happens to leaders and workers, and the
//! leader reports those that go on.

mod model;

use std::sync::Arc;

use sapphirepost_queues::EndKind;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::Placement;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::RunEnd;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::job::Task;
use sapphirepost_queues::job::TaskPhase;
use sapphirepost_queues::scheduler::RejectReason;
use sapphirepost_queues::scheduler::StopReason;
use sapphirepost_queues::scheduler::WorkerReport;
use sapphirepost_queues::scheduler::WorkerRequest;
use sapphirepost_queues::scheduler::WorkerRequestError;
use sapphirepost_queues::scheduler::WorkerRequestKind;

use crate::model::COMMIT_MS;
use crate::model::LEASE_MS;
use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::restart::FIRST_INCARNATION;
use crate::model::starts::checkpoint;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 3;
/// When the runs of the test jobs have started and none has ended.
const STARTED_MS: u64 = 500;
/// Within this time of contact all runs of an ended job are over: a poll that began before goes
/// unanswered, the next one lists the runs, and they are stopped.
const STOPPED_MS: u64 = 1_200;
/// After the retention of all jobs of a test.
const LATER_MS: u64 = 3_600_000;

fn queues() -> Vec<Queue> {
    vec![queue("tally", 2, 4.0, 3_000)]
}

fn workers(count: usize) -> Vec<ModelWorker> {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    (0..count).map(worker).collect()
}

/// A model in which a job of several tasks runs, and the job.
fn model_with_running_job() -> (Model, JobKey) {
    let mut model = Model::new(queues(), workers(WORKERS), 0);
    model.run(50);
    let key = load::key(Kind::Tally, 1);
    model.submit(key, "tally", load::spec(Kind::Tally, 1));
    model.run(STARTED_MS);
    assert!(model.has_started(JobKey(key)));
    (model, JobKey(key))
}

fn set_unreachable(model: &mut Model, is_unreachable: bool) {
    for worker in model.workers.values_mut() {
        worker.is_unreachable = is_unreachable;
    }
}

/// Cancels a job while no worker can be reached, and waits for the commit.
fn cancel_while_cut_off(model: &mut Model, job: JobKey) {
    set_unreachable(model, true);
    model.propose(QueueCommand::Cancel { job });
    model.run(2 * COMMIT_MS);
    assert!(model.jobs[&job].ended.is_some());
}

/// Guards against an operator who cannot tell why a task of an ended job runs on.
#[test]
fn runs_of_an_ended_job_are_reported_until_they_are_over() {
    let (mut model, job) = model_with_running_job();
    let tasks = load::spec(Kind::Tally, 1).steps[0].count as usize;
    let now = model.now;
    assert_eq!(model.scheduler.find_ended_job_runs(now).count, 0);
    cancel_while_cut_off(&mut model, job);
    let now = model.now;
    let early = model.scheduler.find_ended_job_runs(now);
    assert_eq!((early.count, early.longest.len()), (tasks, 0));
    model.run(2_500);
    let now = model.now;
    let late = model.scheduler.find_ended_job_runs(now);
    assert_eq!(late.count, tasks);
    assert!(!late.longest.is_empty() && late.longest.len() <= 8);
    assert!(late.longest.iter().all(|run| run.task.step.job == job));
    set_unreachable(&mut model, false);
    model.run(2_000);
    let now = model.now;
    assert_eq!(model.scheduler.find_ended_job_runs(now).count, 0);
}

/// Guards against a new leader that does not say how many runs of ended jobs it has taken over.
#[test]
fn a_new_leader_counts_the_runs_of_ended_jobs_that_it_takes_over() {
    let (mut model, job) = model_with_running_job();
    let tasks = load::spec(Kind::Tally, 1).steps[0].count as usize;
    model.change_leader();
    let sums = |model: &Model| {
        let adopted = model.scheduler.adopted_runs();
        let runs: usize = adopted.iter().map(|worker| worker.runs).sum();
        let of_ended_jobs: usize = adopted.iter().map(|worker| worker.of_ended_jobs).sum();
        (runs, of_ended_jobs)
    };
    assert_eq!(sums(&model), (tasks, 0));
    cancel_while_cut_off(&mut model, job);
    model.change_leader();
    assert_eq!(sums(&model), (tasks, tasks));
}

/// All runs on the workers, with their workers.
fn runs(model: &Model) -> Vec<(Arc<str>, TaskKey, u32)> {
    let workers = model.workers.iter();
    let runs = workers.flat_map(|(id, worker)| {
        let running = worker.running.iter();
        running.map(|(task, run)| (id.clone(), *task, run.run))
    });
    runs.collect()
}

/// Checks that nothing runs, that nothing holds resources and that all ends are acknowledged.
fn assert_all_over(model: &mut Model) {
    assert_eq!(runs(model), []);
    // The last ends are committed, and the next polls acknowledge them.
    model.run(STOPPED_MS);
    let now = model.now;
    assert_eq!(model.scheduler.find_ended_job_runs(now).count, 0);
    let held: usize = model.state.workers().map(|worker| worker.runs.len()).sum();
    assert_eq!(held, 0);
    for worker in model.workers.values().filter(|worker| !worker.is_crashed) {
        assert_eq!(worker.unacknowledged_ends(), 0, "{}", worker.record.id);
    }
}

/// Guards against a leader that stops only the runs of jobs whose end it has seen.
#[test]
fn a_cancelled_job_is_stopped_by_a_leader_that_has_not_seen_its_end() {
    let (mut model, job) = model_with_running_job();
    cancel_while_cut_off(&mut model, job);
    model.change_leader();
    model.run(300);
    set_unreachable(&mut model, false);
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
}

/// Guards against the same for a job that has failed, with one of its runs no longer known.
#[test]
fn a_failed_job_is_stopped_by_a_leader_that_has_not_seen_its_end() {
    let mut tally = queue("tally", 2, 4.0, 3_000);
    tally.attempts_max = 1;
    let mut model = Model::new(vec![tally], workers(WORKERS), 0);
    model.run(50);
    model.submit(
        load::key(Kind::Tally, 1),
        "tally",
        load::spec(Kind::Tally, 1),
    );
    model.run(STARTED_MS);
    set_unreachable(&mut model, true);
    let (worker, task, run) = runs(&model)[0].clone();
    let failed = RunEnd {
        task,
        run,
        kind: EndKind::Failed,
        checkpoint: None,
    };
    model.propose(QueueCommand::End {
        worker,
        incarnation: FIRST_INCARNATION,
        upto: 0,
        ends: vec![failed],
    });
    model.run(2 * COMMIT_MS);
    let phase = model.jobs[&task.step.job].ended.map(|(_, phase)| phase);
    assert_eq!(phase, Some(JobPhase::Failed));
    model.change_leader();
    set_unreachable(&mut model, false);
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
}

/// Guards against a leader that takes the stop of an earlier one for carried out: the worker
/// rejects it once it has heard of the new leader.
#[test]
fn a_stop_of_an_earlier_term_that_comes_too_late_is_made_up_for() {
    let (mut model, job) = model_with_running_job();
    cancel_while_cut_off(&mut model, job);
    model.change_leader();
    set_unreachable(&mut model, false);
    model.run(10); // The first poll of the new term has arrived, and its reply is on the way.
    let now = model.now;
    let (worker, task, run) = runs(&model)[0].clone();
    let worker = model.workers.get_mut(&worker).unwrap();
    let late = WorkerRequest {
        incarnation: FIRST_INCARNATION,
        worker: worker.record.id.clone(),
        address: worker.record.address.clone(),
        term: 1,
        fencing_token: 1 << 20,
        sent: now,
        kind: WorkerRequestKind::Stop {
            task,
            run,
            reason: StopReason::JobEnded,
        },
    };
    let fenced = WorkerRequestError::Rejected(RejectReason::Fenced);
    assert_eq!(worker.handle(&late, now), Some(Err(fenced)));
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
}

/// Ends another job an hour after all others, which drops those of which nothing runs.
fn drop_ended_jobs(model: &mut Model, index: u64) {
    let other = JobKey(load::key(Kind::Tally, 1_000 + index));
    let cancel = QueueCommand::Cancel { job: other };
    let mut changes = Vec::new();
    for command in [submission(model, other, 1), cancel] {
        model.state.apply(index, LATER_MS, &command, &mut changes);
    }
}

fn submission(model: &Model, job: JobKey, tasks: u32) -> QueueCommand {
    let queue = model.state.table().unwrap().queue("tally").unwrap().clone();
    let mut spec = load::spec(Kind::Tally, 1);
    spec.steps[0].count = tasks;
    QueueCommand::Submit {
        job,
        queue: Arc::new(queue),
        spec: Arc::new(spec),
        tenant: None,
    }
}

/// The ends of all runs, as their workers report them.
fn end_all_runs(model: &mut Model, index: u64) {
    for (worker, task, run) in runs(model) {
        let end = RunEnd {
            task,
            run,
            kind: EndKind::Done,
            checkpoint: Some(checkpoint(task, 1_000)),
        };
        let end = QueueCommand::End {
            worker,
            incarnation: FIRST_INCARNATION,
            upto: 0,
            ends: vec![end],
        };
        model.state.apply(index, LATER_MS, &end, &mut Vec::new());
    }
}

/// Guards against a panic of each member that applies the end of a run of a dropped job: a job with
/// fewer tasks had been submitted under its ID.
#[test]
fn a_job_with_fewer_tasks_under_the_id_of_a_dropped_one_survives_the_ends_of_its_runs() {
    let (mut model, job) = model_with_running_job();
    cancel_while_cut_off(&mut model, job);
    drop_ended_jobs(&mut model, 1_000);
    let again = submission(&model, job, 1);
    model.state.apply(1_001, LATER_MS, &again, &mut Vec::new());
    end_all_runs(&mut model, 1_002);
    // Once nothing of the former job runs, its ID is free.
    model.state.apply(1_003, LATER_MS, &again, &mut Vec::new());
    let phase = model.state.job(job).unwrap().phase;
    assert_eq!(phase, JobPhase::Queued);
}

/// Guards against a task that counts as done, or resumes from a foreign checkpoint, because a run
/// of a dropped job with the same ID has ended.
#[test]
fn a_job_under_the_id_of_a_dropped_one_gets_no_ends_of_its_runs() {
    let (mut model, job) = model_with_running_job();
    let tasks = load::spec(Kind::Tally, 1).steps[0].count;
    cancel_while_cut_off(&mut model, job);
    drop_ended_jobs(&mut model, 1_000);
    let again = submission(&model, job, tasks);
    model.state.apply(1_001, LATER_MS, &again, &mut Vec::new());
    let placed = |(worker, task, run): (Arc<str>, TaskKey, u32)| Placement {
        index: task.index,
        run,
        worker,
        incarnation: FIRST_INCARNATION,
    };
    // Each task is placed on another worker than before.
    let mut placements: Vec<Placement> = runs(&model).into_iter().map(placed).collect();
    let ids = model.worker_ids();
    for placement in &mut placements {
        let position = ids.iter().position(|id| *id == placement.worker).unwrap();
        placement.worker = ids[(position + 1) % ids.len()].clone();
    }
    let start = QueueCommand::Start {
        step: StepKey { job, step: 0 },
        placements,
    };
    model.state.apply(1_002, LATER_MS, &start, &mut Vec::new());
    end_all_runs(&mut model, 1_003);
    // The dropped job was still known, so that it was not accepted anew.
    assert!(model.state.job(job).is_none());
    model.state.apply(1_004, LATER_MS, &again, &mut Vec::new());
    let known = model.state.job(job).unwrap();
    let tasks = known.steps.iter().flat_map(|step| &step.tasks);
    let is_untouched = |task: &Task| task.phase == TaskPhase::Waiting && task.checkpoint.is_none();
    assert!(tasks.into_iter().all(is_untouched));
}

/// Guards against runs that nobody stops because their job is no longer known, as in a state of an
/// earlier version, which dropped jobs whose runs were held.
#[test]
fn a_job_that_was_dropped_after_its_retention_is_stopped() {
    let (mut model, job) = model_with_running_job();
    cancel_while_cut_off(&mut model, job);
    let mut state = serde_json::to_value(&model.state).unwrap();
    let jobs = state["jobs"].as_object_mut().unwrap();
    assert!(jobs.remove(&job.0.to_string()).is_some());
    model.state = serde_json::from_value(state).unwrap();
    assert!(model.state.job(job).is_none());
    model.change_leader();
    set_unreachable(&mut model, false);
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
}

/// Guards against a job that is kept for ever because it was dropped only after its runs were over.
#[test]
fn a_job_whose_runs_outlast_its_retention_is_dropped_when_they_are_over() {
    let (mut model, job) = model_with_running_job();
    cancel_while_cut_off(&mut model, job);
    drop_ended_jobs(&mut model, 1_000);
    assert!(model.state.job(job).is_some());
    model.change_leader();
    set_unreachable(&mut model, false);
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
    assert!(model.state.job(job).is_none());
}

/// Guards against runs that are expired in the state and go on when their worker returns.
#[test]
fn a_worker_that_returns_after_its_expiry_runs_nothing_of_an_ended_job() {
    let (mut model, job) = model_with_running_job();
    cancel_while_cut_off(&mut model, job);
    model.change_leader();
    model.run(2 * LEASE_MS);
    let held: usize = model.state.workers().map(|worker| worker.runs.len()).sum();
    assert_eq!(held, 0, "the leases have expired");
    set_unreachable(&mut model, false);
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
}

/// Guards against runs of an ended job that hold resources for ever, since their worker has
/// registered anew at the same address.
#[test]
fn a_worker_that_registers_anew_leaves_no_runs_of_an_ended_job() {
    let (mut model, job) = model_with_running_job();
    cancel_while_cut_off(&mut model, job);
    model.change_leader();
    set_unreachable(&mut model, false);
    let replaced = model.workers.values_mut().next().unwrap();
    replaced.is_crashed = true;
    replaced.is_replaced = true;
    let mut record = replaced.record.clone();
    let former = std::mem::replace(&mut record.id, Arc::from("anew"));
    let mut anew = ModelWorker::new("anew", 64, load::need, load::work_ms);
    anew.record = record.clone();
    model.workers.insert(record.id.clone(), anew);
    model.propose(QueueCommand::PutWorker(Box::new(record)));
    model.run(STOPPED_MS);
    assert!(model.state.worker(&former).is_none());
    assert_all_over(&mut model);
}

/// Guards against a run that the state does not know, whose first stops are lost, and which goes on
/// until the worker is polled as an idle one.
#[test]
fn an_unknown_run_is_stopped_although_stops_are_lost() {
    for lost_ms in [200, 400, 600, 800, 1_000, 1_200, 1_400] {
        let (mut model, job) = model_with_running_job();
        for worker in model.workers.values_mut() {
            worker.loses_stops = true;
            worker.duration_percent = 1_000;
        }
        model.propose(QueueCommand::Cancel { job });
        model.run(2 * COMMIT_MS);
        for (worker, task, run) in runs(&model) {
            model.propose(QueueCommand::Release {
                worker,
                incarnation: FIRST_INCARNATION,
                task,
                run,
            });
        }
        model.run(lost_ms);
        assert!(model.has_started(job));
        for worker in model.workers.values_mut() {
            worker.loses_stops = false;
        }
        model.run(STOPPED_MS);
        assert_all_over(&mut model);
    }
}

/// Guards against a run that goes on because its worker has acknowledged the stop and lost it.
#[test]
fn a_run_that_goes_on_after_an_acknowledged_stop_is_stopped_again() {
    let (mut model, job) = model_with_running_job();
    for worker in model.workers.values_mut() {
        worker.forgets_stops = true;
    }
    model.propose(QueueCommand::Cancel { job });
    model.run(1_000);
    assert!(model.has_started(job));
    for worker in model.workers.values_mut() {
        worker.forgets_stops = false;
    }
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
}

/// Guards against a gang that is stopped, or that holds resources for ever, because its job has
/// completed before the end of one member is known.
#[test]
fn the_last_member_of_a_completed_gang_ends_by_itself() {
    let mut model = Model::new(vec![queue("gang", 1, 2.2, 1_000)], workers(WORKERS), 0);
    model.run(50);
    let key = load::key(Kind::Gang, 1);
    let mut spec = load::spec(Kind::Gang, 1);
    spec.steps[0].count = WORKERS as u32;
    spec.steps[0].per_worker_max = Some(1);
    model.submit(key, "gang", spec);
    model.run(STARTED_MS);
    let work_ms = |(_, task, _): &(_, TaskKey, _)| load::work_ms(*task);
    let longest_ms = runs(&model).iter().map(work_ms).max().unwrap();
    model.run(longest_ms - STARTED_MS - 200);
    model.workers.values_mut().next().unwrap().is_unreachable = true;
    model.run(600);
    let phase = model.jobs[&JobKey(key)].ended.map(|(_, phase)| phase);
    assert_eq!(phase, Some(JobPhase::Completed));
    model.change_leader();
    set_unreachable(&mut model, false);
    model.run(STOPPED_MS);
    assert_all_over(&mut model);
}

/// Guards against a task that runs twice or never again because the leader that was stopping its
/// run has gone: with a start that gets no answer, and with a worker that leaves.
#[test]
fn a_stop_of_a_live_run_that_is_lost_with_its_leader_loses_no_task() {
    let count_stops = |model: &mut Model| -> u64 {
        let counts = model.scheduler.take_counts();
        counts.stops.iter().sum()
    };
    let mut unanswered = 0;
    for changes_after_ms in [400, 900, 1_300, 1_600, 1_900, 2_300, 2_700] {
        let mut model = Model::new(queues(), workers(WORKERS), 0);
        model.run(50);
        model.workers.values_mut().next().unwrap().start_delay_ms = 2_600;
        model.submit(
            load::key(Kind::Tally, 1),
            "tally",
            load::spec(Kind::Tally, 1),
        );
        model.run(changes_after_ms);
        unanswered += count_stops(&mut model);
        model.change_leader();
        model.workers.values_mut().next().unwrap().start_delay_ms = 0;
        model.run_until_done(30_000);
        assert_completed(&model);
    }
    assert!(unanswered > 0);
    for changes_after_ms in [50, 300, 600] {
        let (mut model, _) = model_with_running_job();
        set_unreachable(&mut model, true);
        drain_first_worker(&mut model);
        model.run(changes_after_ms);
        assert!(count_stops(&mut model) > 0);
        model.change_leader();
        set_unreachable(&mut model, false);
        model.run(100);
        drain_first_worker(&mut model);
        model.run_until_done(30_000);
        assert_completed(&model);
    }
}

/// Reports the first worker as one that leaves at once.
fn drain_first_worker(model: &mut Model) {
    let worker = model.workers.values_mut().next().unwrap();
    worker.record.is_draining = true;
    worker.record.sequence = model.term;
    let record = worker.record.clone();
    let report = WorkerReport {
        remaining_ms: Some(100),
    };
    model.scheduler.handle_report(&record, report, model.now);
    model.propose(QueueCommand::PutWorker(Box::new(record)));
}

fn assert_completed(model: &Model) {
    for (key, job) in &model.jobs {
        let phase = job.ended.map(|(_, phase)| phase);
        assert_eq!(phase, Some(JobPhase::Completed), "{key}");
    }
}

/// Submits and cancels a job at a time of the log.
fn end_job(model: &mut Model, job: JobKey, at_unix_ms: u64) {
    let cancel = QueueCommand::Cancel { job };
    let mut changes = Vec::new();
    for command in [submission(model, job, 1), cancel] {
        let state = &mut model.state;
        state.apply(job.0, at_unix_ms, &command, &mut changes);
    }
}

/// Guards against callers that are told that their job does not exist, although it has ended a short
/// time ago: the oldest jobs beyond 20,000 were dropped however short the time was.
#[test]
fn jobs_are_known_for_the_promised_time_however_many_end() {
    const INTERVAL_MS: u64 = 4;
    const KEPT_MS: u64 = 100_000;
    let mut model = Model::new(queues(), Vec::new(), 0);
    let mut table = (**model.state.table().unwrap()).clone();
    (table.version, table.ended_kept_ms) = (2, KEPT_MS);
    let put = QueueCommand::PutTable(Box::new(table));
    model.state.apply(1, 0, &put, &mut Vec::new());
    let first = 1_000;
    for number in 0..KEPT_MS / INTERVAL_MS {
        end_job(&mut model, JobKey(first + number), number * INTERVAL_MS);
    }
    assert!(model.state.job(JobKey(first)).is_some());
    // Beyond the promised time, the number counts again.
    let later = first + KEPT_MS / INTERVAL_MS;
    end_job(&mut model, JobKey(later), KEPT_MS + 10);
    assert!(model.state.job(JobKey(first)).is_none());
    assert!(model.state.job(JobKey(first + 10)).is_some());
}

/// Guards against memory that grows with the rate of jobs without a limit.
#[test]
fn the_number_of_ended_jobs_is_limited() {
    const JOBS_MAX: u64 = 60_000;
    let mut model = Model::new(queues(), Vec::new(), 0);
    let first = 1_000;
    for number in 0..JOBS_MAX + 1 {
        end_job(&mut model, JobKey(first + number), number / 10);
    }
    assert!(model.state.job(JobKey(first)).is_none());
    assert!(model.state.job(JobKey(first + 1)).is_some());
}
