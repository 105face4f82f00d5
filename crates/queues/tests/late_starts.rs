//! Starts that are carried out late, after their job has ended or their run was given up, and what
//! starts carry.

mod model;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;

use crate::model::COMMIT_MS;
use crate::model::LEASE_MS;
use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 4;
/// Until then the starts of a submitted job are sent.
const SENT_MS: u64 = 50;
/// Within this time of contact all runs of an ended job are over: a poll that began before goes
/// unanswered, the next one lists the runs, and they are stopped.
const STOPPED_MS: u64 = 1_200;
/// A worker that is cut off for this long is removed.
const REMOVED_MS: u64 = 20_000;

/// Tasks write a checkpoint after each such time of work.
const CHECKPOINT_MS: u64 = 500;

/// When the leader changes, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaderChange {
    None,
    BehindTheCut,
    AfterTheCut,
}

fn queues() -> Vec<Queue> {
    vec![queue("gang", 1, 2.2, 1_000), queue("tally", 2, 4.0, 3_000)]
}

fn model() -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    let mut model = Model::new(queues(), (0..WORKERS).map(worker).collect(), 0);
    model.run(50);
    model
}

fn submit(model: &mut Model, kind: Kind) -> JobKey {
    let name = match kind {
        Kind::Gang => "gang",
        _ => "tally",
    };
    let key = load::key(kind, 1);
    model.submit(key, name, load::spec(kind, 1));
    JobKey(key)
}

fn set_unreachable(model: &mut Model, is_unreachable: bool) {
    for worker in model.workers.values_mut() {
        worker.is_unreachable = is_unreachable;
    }
}

/// Advances the clock; returns whether a task of the job ran meanwhile.
fn run_and_watch(model: &mut Model, job: JobKey, duration_ms: u64) -> bool {
    let mut has_run = false;
    for _ in 0..duration_ms / 50 {
        model.run(50);
        has_run |= model.has_started(job);
    }
    has_run
}

/// Removed workers register again.
fn register_removed(model: &mut Model) {
    let removed = model.workers.values();
    let removed = removed.filter(|worker| model.state.worker(&worker.record.id).is_none());
    let records: Vec<_> = removed.map(|worker| worker.record.clone()).collect();
    for record in records {
        model.propose(QueueCommand::PutWorker(Box::new(record)));
    }
}

fn assert_all_over(model: &mut Model, case: &str) {
    // The last ends are committed, and the next polls acknowledge them.
    model.run(STOPPED_MS);
    for worker in model.workers.values() {
        let id = &worker.record.id;
        assert!(worker.running.is_empty(), "{case}: {id}");
        assert_eq!(worker.unacknowledged_ends(), 0, "{case}: {id}");
    }
    let held: usize = model.state.workers().map(|worker| worker.runs.len()).sum();
    assert_eq!(held, 0, "{case}");
}

/// Guards against a run that begins late, after its job was cancelled and on a worker that is cut
/// off, and that no leader stops after the cut.
#[test]
fn a_start_that_is_carried_out_after_the_cancel_is_stopped_after_the_cut() {
    let mut begun = 0;
    for kind in [Kind::Tally, Kind::Gang] {
        for delay_ms in [300, 1_000, 2_000, 3_000, 3_900, 6_000, 12_000] {
            for cut_ms in [500, 1_500, 3_000, 4_500, REMOVED_MS] {
                for change in [
                    LeaderChange::None,
                    LeaderChange::BehindTheCut,
                    LeaderChange::AfterTheCut,
                ] {
                    let case = format!("{kind:?} {delay_ms} {cut_ms} {change:?}");
                    begun += u64::from(cancel_before_late_starts(
                        kind, delay_ms, cut_ms, change, &case,
                    ));
                }
            }
        }
    }
    assert!(begun > 0, "no start was carried out after the cancel");
}

/// Returns whether a task of the job began after it was cancelled.
fn cancel_before_late_starts(
    kind: Kind,
    delay_ms: u64,
    cut_ms: u64,
    change: LeaderChange,
    case: &str,
) -> bool {
    let mut model = model();
    for worker in model.workers.values_mut() {
        worker.start_delay_ms = delay_ms;
    }
    let job = submit(&mut model, kind);
    model.run(SENT_MS);
    set_unreachable(&mut model, true);
    model.propose(QueueCommand::Cancel { job });
    model.run(2 * COMMIT_MS);
    assert!(model.jobs[&job].ended.is_some(), "{case}");
    for worker in model.workers.values_mut() {
        worker.start_delay_ms = 0;
    }
    let mut has_begun = run_and_watch(&mut model, job, cut_ms / 2);
    if change == LeaderChange::BehindTheCut {
        model.change_leader();
    }
    has_begun |= run_and_watch(&mut model, job, cut_ms / 2);
    if cut_ms == REMOVED_MS && change == LeaderChange::None {
        assert_eq!(model.state.workers().count(), 0, "{case}");
    }
    set_unreachable(&mut model, false);
    if change == LeaderChange::AfterTheCut {
        model.change_leader();
    }
    register_removed(&mut model);
    // A start that is still on its way begins within the lease that it asks for, or never.
    has_begun |= run_and_watch(&mut model, job, LEASE_MS + STOPPED_MS);
    assert_all_over(&mut model, case);
    has_begun
}

/// Guards against tasks that start, or run on, after a cancel whose commit took longer than its
/// caller waited for the answer.
#[test]
fn a_cancel_that_is_committed_late_stops_all_tasks() {
    for kind in [Kind::Tally, Kind::Gang] {
        for change in [false, true] {
            let mut model = model();
            let job = submit(&mut model, kind);
            model.run(SENT_MS);
            // No start can be committed before the cancel any more.
            model.commit_ms = 6_000;
            model.propose(QueueCommand::Cancel { job });
            model.run(2_000);
            set_unreachable(&mut model, true);
            model.run(4_500);
            if change {
                model.commit_ms = COMMIT_MS;
                model.change_leader();
            }
            assert!(model.jobs[&job].ended.is_some());
            set_unreachable(&mut model, false);
            let started = model.starts;
            model.commit_ms = COMMIT_MS;
            run_and_watch(&mut model, job, STOPPED_MS);
            assert_eq!(model.starts, started, "{kind:?}");
            assert_all_over(&mut model, &format!("{kind:?} {change}"));
        }
    }
}

/// Guards against members that wait in vain for one whose start is carried out after its run was
/// given up, also under a leader that does not know that run.
#[test]
fn a_member_that_begins_after_its_run_was_given_up_is_stopped() {
    for delay_ms in [300, 1_000, 2_000, 3_000, 3_900] {
        for change_after_ms in [None, Some(100), Some(600), Some(1_500), Some(2_500)] {
            let mut model = model();
            model.workers.values_mut().next().unwrap().start_delay_ms = delay_ms;
            let job = submit(&mut model, Kind::Gang);
            model.run(SENT_MS);
            if let Some(change_after_ms) = change_after_ms {
                model.run(change_after_ms);
                model.change_leader();
            }
            model.run(delay_ms);
            model.workers.values_mut().next().unwrap().start_delay_ms = 0;
            // The model checks that no member waits for one that is over.
            model.run_until_done(60_000);
            let phase = model.jobs[&job].ended.map(|(_, phase)| phase);
            assert_eq!(phase, Some(JobPhase::Completed), "{delay_ms}");
        }
    }
}

/// Guards against members of a gang that resume from different checkpoints, or a task that resumes
/// from one of another task. The model checks each start.
#[test]
fn tasks_resume_from_their_own_checkpoints() {
    let mut resumed_gangs = 0;
    for step_ms in [300, 700, 1_100, 1_900] {
        let mut model = model();
        for worker in model.workers.values_mut() {
            worker.checkpoint_ms = CHECKPOINT_MS;
        }
        submit(&mut model, Kind::Gang);
        submit(&mut model, Kind::Tally);
        for round in 0..16 {
            model.run(step_ms);
            let ids = model.worker_ids();
            let id = &ids[round / 4];
            match round % 4 {
                0 => model.restart_worker(id, 300),
                1 => model.change_leader(),
                2 => model.cut_off(id),
                _ => {
                    let busy = model.workers.values_mut();
                    for worker in busy {
                        worker.start_delay_ms = 600 - worker.start_delay_ms;
                    }
                }
            }
            model.run(step_ms);
            if round % 4 == 2 {
                model.reconnect(id);
            }
        }
        for worker in model.workers.values_mut() {
            worker.start_delay_ms = 0;
        }
        model.run_until_done(60_000);
        let resumed = model.gang_checkpoints.values();
        resumed_gangs += resumed.filter(|checkpoint| checkpoint.is_some()).count();
    }
    assert!(resumed_gangs > 0, "no gang has resumed from a checkpoint");
}
