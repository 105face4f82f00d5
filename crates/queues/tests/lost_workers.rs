//! Evidence of workers that were removed while they were silent.

mod model;

use std::sync::Arc;

use sapphirepost_queues::CrashCount;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::WorkerRecord;

use crate::model::LEASE_MS;
use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKER: &str = "w0";
/// A worker is removed after this time of silence.
const REMOVED_MS: u64 = 16_000;
/// A worker that returns after this time says nothing about its former tasks.
const KEPT_MS: u64 = 300_000;

fn model(workers: usize) -> Model {
    let queues = vec![queue("lookup", 0, 1.5, 250), queue("tally", 2, 4.0, 3_000)];
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    let mut model = Model::new(queues, (0..workers).map(worker).collect(), 0);
    model.run(50);
    model
}

/// A state in which a worker was removed after the lease of a run had expired at its start, and the
/// task of the run.
fn state_without_worker() -> (QueueState, WorkerRecord, TaskKey) {
    let mut model = model(1);
    model.submit(
        load::key(Kind::Lookup, 1),
        "lookup",
        load::spec(Kind::Lookup, 1),
    );
    model.run(100);
    let known = model.state.worker(WORKER).unwrap().clone();
    let task = *known.runs.keys().next().unwrap();
    let record = known.record.clone();
    let expire = QueueCommand::Expire {
        worker: record.id.clone(),
        incarnation: record.incarnation,
        checkpoints: Vec::new(),
        lost: LostRuns {
            tasks: vec![task],
            suspects: vec![task],
            is_inconclusive: false,
        },
        kept: Vec::new(),
    };
    let forget = QueueCommand::ForgetWorker {
        worker: record.id.clone(),
        incarnation: record.incarnation,
    };
    let mut state = model.state;
    state.apply(1_000, 0, &expire, &mut Vec::new());
    state.apply(1_001, 0, &forget, &mut Vec::new());
    assert!(state.worker(WORKER).is_none());
    // A member may have to begin with a snapshot.
    let snapshot = serde_json::to_string(&state).unwrap();
    let restored: QueueState = serde_json::from_str(&snapshot).unwrap();
    assert_eq!(restored, state);
    (restored, record, task)
}

fn register(state: &mut QueueState, record: WorkerRecord, at_ms: u64) {
    let command = QueueCommand::PutWorker(Box::new(record));
    state.apply(1_002, at_ms, &command, &mut Vec::new());
}

fn crashes(state: &QueueState, task: TaskKey) -> CrashCount {
    let job = state.job(task.step.job).unwrap();
    job.steps[usize::from(task.step.step)].tasks[task.index as usize].crashes
}

/// Guards against a crash that is not counted because the worker was removed before another
/// incarnation returned, with the same ID or with another one.
#[test]
fn a_crash_is_counted_after_the_removal_of_the_worker() {
    for keeps_id in [true, false] {
        let (mut state, record, task) = state_without_worker();
        let mut next = record.undescribed(record.incarnation.next());
        if !keeps_id {
            next.id = Arc::from("next");
        }
        register(&mut state, next, 60_000);
        let count = crashes(&state, task);
        assert_eq!(
            (count.workers, count.suspected, count.attributed),
            (1, 1, 1)
        );
    }
}

/// Guards against a crash that is counted although the same incarnation has returned, and one that
/// is missed because the return was a late report.
#[test]
fn a_removed_worker_that_returns_has_not_crashed_until_it_is_replaced() {
    let (mut state, record, task) = state_without_worker();
    register(&mut state, record.clone(), 60_000);
    assert_eq!(crashes(&state, task).workers, 0);
    let restart = QueueCommand::RestartWorker {
        record: Box::new(record.undescribed(record.incarnation.next())),
        former: record.incarnation,
        checkpoints: Vec::new(),
        lost: Some(LostRuns::default()),
    };
    state.apply(1_003, 60_000, &restart, &mut Vec::new());
    assert_eq!(crashes(&state, task).workers, 1);
}

/// Guards against evidence against a task that is kept for ever, and against a worker at another
/// address or a late report of an earlier incarnation that are taken for the one that returns.
#[test]
fn only_a_timely_return_of_the_same_worker_is_a_crash() {
    let (state, record, task) = state_without_worker();
    let next = record.undescribed(record.incarnation.next());
    let mut elsewhere = next.clone();
    (elsewhere.id, elsewhere.address) = (Arc::from("other"), Arc::from("other:1"));
    let mut earlier = record.clone();
    earlier.incarnation = sapphirepost_types::Incarnation::default();
    for (record, at_ms) in [(next, KEPT_MS + 1), (elsewhere, 1_000), (earlier, 1_000)] {
        let mut state = state.clone();
        register(&mut state, record, at_ms);
        assert_eq!(crashes(&state, task).workers, 0);
    }
}

/// Guards against a task that is given up because one worker counts as crashed and as silent.
#[test]
fn a_worker_that_returns_after_a_crash_is_not_silent_any_more() {
    let mut model = model(4);
    let (key, spec) = (load::key(Kind::Lookup, 1), load::spec(Kind::Lookup, 1));
    model.submit(key, "lookup", spec);
    model.run(100);
    let runs = model.state.workers().flat_map(|worker| worker.runs.keys());
    let task = *runs.into_iter().next().unwrap();
    let records: Vec<WorkerRecord> = model.state.workers().map(|w| w.record.clone()).collect();
    let mut state = model.state;
    for record in &records[..3] {
        let expire = QueueCommand::Expire {
            worker: record.id.clone(),
            incarnation: record.incarnation,
            checkpoints: Vec::new(),
            lost: LostRuns {
                tasks: vec![task],
                suspects: vec![task],
                is_inconclusive: false,
            },
            kept: Vec::new(),
        };
        state.apply(1_000, 0, &expire, &mut Vec::new());
    }
    let count = crashes(&state, task);
    assert_eq!(
        (count.workers, count.silent, count.silent_attributed),
        (0, 3, 3)
    );
    let restart = QueueCommand::RestartWorker {
        record: Box::new(records[0].undescribed(records[0].incarnation.next())),
        former: records[0].incarnation,
        checkpoints: Vec::new(),
        lost: Some(LostRuns::default()),
    };
    state.apply(1_001, 0, &restart, &mut Vec::new());
    assert!(!state.job(task.step.job).unwrap().phase.has_ended());
    let count = crashes(&state, task);
    assert_eq!((count.workers, count.silent), (1, 2));
}

/// Guards against evidence that grows without bound while workers come and go.
#[test]
fn the_evidence_of_removed_workers_is_bounded() {
    let (mut state, record, task) = state_without_worker();
    let lost = LostRuns {
        tasks: vec![task],
        suspects: Vec::new(),
        is_inconclusive: false,
    };
    for number in 0..1_000 {
        let mut record = record.clone();
        record.id = Arc::from(format!("worker-{number}"));
        record.address = Arc::from(format!("{number}:1"));
        let (worker, incarnation) = (record.id.clone(), record.incarnation);
        let commands = [
            QueueCommand::PutWorker(Box::new(record)),
            QueueCommand::Expire {
                worker: worker.clone(),
                incarnation,
                checkpoints: Vec::new(),
                lost: lost.clone(),
                kept: Vec::new(),
            },
            QueueCommand::ForgetWorker {
                worker,
                incarnation,
            },
        ];
        for command in commands {
            state.apply(2_000 + number, 1_000, &command, &mut Vec::new());
        }
    }
    let state = serde_json::to_value(&state).unwrap();
    let kept = state["lost_workers"].as_object().unwrap().len();
    assert!((1..=256).contains(&kept), "{kept}");
}

/// Guards against innocent tasks that are given up because their workers are cut off for so long
/// that they are removed, one after the other.
#[test]
fn tasks_of_workers_that_are_cut_off_until_their_removal_are_not_given_up() {
    let mut model = model(12);
    for round in 0..6_u64 {
        for number in 4 * round..4 * round + 4 {
            let spec = load::spec(Kind::Tally, number);
            model.submit(load::key(Kind::Tally, number), "tally", spec);
        }
        // The workers fall silent at the start of the tasks.
        model.run(60 + 20 * round);
        let busy = model.workers.values();
        let busy = busy.filter(|worker| !worker.running.is_empty());
        let cut: Vec<Arc<str>> = busy
            .take(3)
            .map(|worker| worker.record.id.clone())
            .collect();
        assert!(!cut.is_empty());
        for id in &cut {
            model.cut_off(id);
        }
        model.run(REMOVED_MS + LEASE_MS);
        for id in &cut {
            model.reconnect(id);
            if model.state.worker(id).is_none() {
                let record = model.workers[id].record.clone();
                model.propose(QueueCommand::PutWorker(Box::new(record)));
            }
        }
        model.run(1_000);
    }
    model.run_until_done(60_000);
    for (key, job) in &model.jobs {
        let phase = job.ended.map(|(_, phase)| phase);
        let expected = Some(sapphirepost_queues::JobPhase::Completed);
        assert_eq!(phase, expected, "{}", JobKey(key.0));
    }
}
