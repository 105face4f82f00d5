//! One fault at any moment delays accepted work by seconds and never for ever.
//!
//! Each event that the leader acts on can be lost once: at each step of the model, one fault is
//! injected into a small mix of work, and all of it has to complete within a limit for that fault.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobPhase;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::job::TaskPhase;
use sapphirepost_types::Resources;
use smallvec::smallvec;

use crate::model::GANG_MS;
use crate::model::LEASE_MAX_MS;
use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::queue;
use crate::model::with_permits;
use crate::model::worker::ModelWorker;
use crate::model::worker::REQUEST_TIMEOUT_MS;

const TASK: Resources = Resources::new(8_000, 1_024, 0);
const WORK_MS: u64 = 200;
/// The faults are injected up to this time; without a fault, all work is done by then.
const FAULTS_END_MS: u64 = 2_500;
/// How long a fault lasts, if it does not end by itself.
const FAULT_MS: u64 = 300;
/// Work that was delayed is placed and run again, with new permits.
const AGAIN_MS: u64 = 3_000;
/// A request to the policy is given up after about this time.
const GIVEN_UP_MS: u64 = 5_000;
/// The longest lease of a worker that was lost while a start was under way is over after this time.
const LEASE_OVER_MS: u64 = LEASE_MAX_MS * 100 / 98 + 2_000;

fn step(count: u32, is_gang: bool, after: Option<u16>) -> StepSpec {
    StepSpec {
        count,
        resources: TASK,
        estimate_ms: WORK_MS,
        is_gang,
        after: after.map_or(smallvec![], |after| smallvec![after]),
        ..StepSpec::default()
    }
}

fn job(steps: Vec<StepSpec>) -> SubmittedSpec {
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps,
    }
}

fn queues(call_ms: f64) -> Vec<sapphirepost_queues::Queue> {
    vec![
        queue("urgent", 0, 30.0, 1_000),
        with_permits(queue("permitted", 1, 30.0, 1_000), call_ms, 2.0),
    ]
}

/// A cluster with a chain of steps, a gang that follows a step, and tasks, of both queues. The work
/// needs all workers.
fn model() -> Model {
    let need = |_: TaskKey| TASK;
    let worker = |number| ModelWorker::new(&format!("w{number}"), 16, need, |_| WORK_MS);
    let mut model = Model::new(queues(30.0), (0..4).map(worker).collect(), 2);
    model.run(100);
    for (number, name) in ["urgent", "permitted"].into_iter().enumerate() {
        let key = 10 * number as u64;
        let chain = vec![step(3, false, None), step(2, false, Some(0))];
        model.submit(key + 1, name, job(chain));
        let gang = vec![step(1, false, None), step(4, true, Some(0))];
        model.submit(key + 2, name, job(gang));
        model.submit(key + 3, name, job(vec![step(3, false, None)]));
    }
    model
}

/// Whether a job that was accepted has not ended.
fn has_open_jobs(model: &Model) -> bool {
    model.state.jobs().any(|job| !job.phase.has_ended())
}

/// The tasks that are not done, and the runs that workers hold by the state.
fn open_tasks(model: &Model) -> String {
    let mut text = String::new();
    for job in model.state.jobs().filter(|job| !job.phase.has_ended()) {
        let tasks = job.steps.iter().flat_map(|step| &step.tasks);
        let open = tasks.filter(|task| task.phase != TaskPhase::Done);
        let open: Vec<String> = open
            .map(|task| format!("{:?} run {}", task.phase, task.run))
            .collect();
        text += &format!("{}: {open:?} ", job.key);
    }
    for worker in model.state.workers() {
        let runs: Vec<String> = worker
            .runs
            .iter()
            .map(|(task, held)| format!("{task} run {}", held.run))
            .collect();
        text += &format!("{}: {runs:?} ", worker.record.id);
    }
    text
}

/// Injects the fault at each moment, and lets all work complete within `limit_ms` from then.
fn assert_done_after(limit_ms: u64, inject: impl Fn(&mut Model), end: impl Fn(&mut Model)) {
    let mut longest = (0, 0);
    for at_ms in (0..FAULTS_END_MS).step_by(STEP_MS as usize) {
        let mut model = model();
        model.run(at_ms);
        let injected = model.now;
        inject(&mut model);
        model.run(FAULT_MS);
        end(&mut model);
        while has_open_jobs(&model) {
            let took_ms = model.now.since(injected);
            assert!(
                took_ms < limit_ms,
                "not done {took_ms} ms after a fault at {at_ms} ms: {}",
                open_tasks(&model)
            );
            model.run(STEP_MS);
        }
        for (key, job) in &model.jobs {
            let phase = job.ended.map_or(JobPhase::Completed, |(_, phase)| phase);
            assert_eq!(phase, JobPhase::Completed, "{key}, fault at {at_ms} ms");
        }
        longest = longest.max((model.now.since(injected), at_ms));
    }
    println!(
        "longest: {} ms after a fault at {} ms",
        longest.0, longest.1
    );
}

fn with_worker(model: &mut Model, id: &str, change: impl Fn(&mut ModelWorker)) {
    change(model.workers.get_mut(id).unwrap());
}

/// Guards against a decision, an answer or a reply that the next leader does not make up for.
#[test]
fn work_completes_after_a_change_of_leader() {
    assert_done_after(AGAIN_MS, Model::change_leader, |_| {});
}

/// Guards against a leader that does not make up for what the one before has not finished either.
#[test]
fn work_completes_after_two_changes_of_leader() {
    assert_done_after(AGAIN_MS, Model::change_leader, Model::change_leader);
}

/// Guards against a request to the policy whose answer is lost.
#[test]
fn work_completes_after_answers_of_the_policy_are_lost() {
    let cut_off = |model: &mut Model| model.cut_off_clients(&[0, 1], true);
    let reconnect = |model: &mut Model| model.cut_off_clients(&[0, 1], false);
    assert_done_after(GIVEN_UP_MS + AGAIN_MS, cut_off, reconnect);
}

/// Guards against a request to the policy that the next leader takes for its own.
#[test]
fn work_completes_after_a_change_of_leader_while_policy_clients_are_cut_off() {
    let cut_off = |model: &mut Model| {
        model.cut_off_clients(&[0, 1], true);
        model.change_leader();
    };
    let reconnect = |model: &mut Model| model.cut_off_clients(&[0, 1], false);
    assert_done_after(GIVEN_UP_MS + AGAIN_MS, cut_off, reconnect);
}

/// Guards against starts that are lost.
#[test]
fn work_completes_after_starts_are_lost() {
    let lose = |model: &mut Model| with_worker(model, "w1", |worker| worker.loses_starts = true);
    let end = |model: &mut Model| with_worker(model, "w1", |worker| worker.loses_starts = false);
    assert_done_after(REQUEST_TIMEOUT_MS * 3 + GANG_MS + AGAIN_MS, lose, end);
}

/// Guards against a run that began although the leader got no reply.
#[test]
fn work_completes_after_replies_to_starts_are_lost() {
    let lose = |model: &mut Model| with_worker(model, "w1", |worker| worker.start_delay_ms = 20);
    let end = |model: &mut Model| with_worker(model, "w1", |worker| worker.start_delay_ms = 0);
    assert_done_after(REQUEST_TIMEOUT_MS * 3 + GANG_MS + AGAIN_MS, lose, end);
}

/// Guards against a worker that is not asked any more after a short cut.
#[test]
fn work_completes_after_a_short_cut() {
    let cut = |model: &mut Model| model.cut_off("w1");
    let end = |model: &mut Model| model.reconnect("w1");
    assert_done_after(REQUEST_TIMEOUT_MS * 3 + GANG_MS + AGAIN_MS, cut, end);
}

/// Guards against runs of a lost worker that are never written off.
#[test]
fn work_completes_after_a_worker_is_lost() {
    let cut = |model: &mut Model| model.cut_off("w1");
    assert_done_after(LEASE_OVER_MS + GANG_MS + AGAIN_MS, cut, |_| {});
}

/// Guards against runs of a lost worker that a new leader never writes off.
#[test]
fn work_completes_after_a_worker_is_lost_and_the_leader_changes() {
    let cut = |model: &mut Model| model.cut_off("w1");
    assert_done_after(
        LEASE_OVER_MS + GANG_MS + AGAIN_MS,
        cut,
        Model::change_leader,
    );
}

/// Guards against runs that are lost with the process of their worker.
#[test]
fn work_completes_after_a_worker_restarts() {
    let restart = |model: &mut Model| model.restart_worker("w1", 100);
    assert_done_after(LEASE_OVER_MS + AGAIN_MS, restart, |_| {});
}

/// Guards against runs that are lost with the process of their worker, under a new leader.
#[test]
fn work_completes_after_a_worker_restarts_and_the_leader_changes() {
    let restart = |model: &mut Model| model.restart_worker("w1", 100);
    assert_done_after(LEASE_OVER_MS + AGAIN_MS, restart, Model::change_leader);
}

/// Guards against starts that are refused once and not repeated.
#[test]
fn work_completes_after_the_leader_had_no_resources_for_requests() {
    let lack = |model: &mut Model| model.is_out_of_resources = true;
    let end = |model: &mut Model| model.is_out_of_resources = false;
    assert_done_after(GANG_MS + AGAIN_MS, lack, end);
}

/// Guards against waiting steps that do not follow the table in force.
#[test]
fn work_completes_after_the_table_changes() {
    let put_table = |model: &mut Model| {
        let table = QueueTable {
            version: 2,
            queues: queues(60.0),
            ..(**model.state.table().unwrap()).clone()
        };
        model.propose(QueueCommand::PutTable(Box::new(table)));
    };
    assert_done_after(AGAIN_MS, put_table, |_| {});
}

/// Guards against tasks that are not returned from a worker that drains and leaves.
#[test]
fn work_completes_after_a_worker_drains_and_leaves() {
    let drain = |model: &mut Model| {
        let worker = model.workers.get_mut("w1").unwrap();
        worker.record.is_draining = true;
        worker.record.sequence = 1;
        let record = worker.record.clone();
        model.report(&record);
    };
    let leave = |model: &mut Model| {
        model.workers.remove("w1");
        model.propose(QueueCommand::RemoveWorker {
            worker: Arc::from("w1"),
            incarnation: None,
            checkpoints: Vec::new(),
        });
    };
    assert_done_after(GANG_MS + AGAIN_MS, drain, leave);
}
