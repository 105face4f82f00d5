//! Which workers count as silent when a task is given up.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::LostRuns;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::WorkerRecord;

use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 4;
/// A worker that was removed longer ago says nothing about its former tasks.
const KEPT_MS: u64 = 300_000;

/// A state with a task that has started, and all workers.
fn state() -> (QueueState, Vec<WorkerRecord>, TaskKey) {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    let workers = (0..WORKERS).map(worker).collect();
    let mut model = Model::new(vec![queue("lookup", 0, 1.5, 250)], workers, 0);
    model.run(50);
    let (key, spec) = (load::key(Kind::Lookup, 1), load::spec(Kind::Lookup, 1));
    model.submit(key, "lookup", spec);
    model.run(100);
    let state = model.state;
    let records = state.workers().map(|w| w.record.clone()).collect();
    let task = state.workers().find_map(|w| w.runs.keys().next().copied());
    let task = task.unwrap();
    (state, records, task)
}

fn apply(state: &mut QueueState, at_unix_ms: u64, command: QueueCommand) {
    state.apply(1_000, at_unix_ms, &command, &mut Vec::new());
}

/// The lease of a worker expires that fell silent at the start of the task.
fn expire(state: &mut QueueState, record: &WorkerRecord, task: TaskKey, at_unix_ms: u64) {
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
    apply(state, at_unix_ms, expire);
}

fn forget(state: &mut QueueState, record: &WorkerRecord, at_unix_ms: u64) {
    let (worker, incarnation) = (Arc::clone(&record.id), record.incarnation);
    let forget = QueueCommand::ForgetWorker {
        worker,
        incarnation,
    };
    apply(state, at_unix_ms, forget);
}

fn has_ended(state: &QueueState, job: JobKey) -> bool {
    state.job(job).unwrap().phase.has_ended()
}

/// Guards against a task that is given up although the workers that fell silent at its start have
/// all registered again as the same incarnations: none was lost. They report no ends, since the
/// starts had not reached them.
#[test]
fn workers_that_have_registered_again_do_not_count_as_silent() {
    let (mut state, records, task) = state();
    for (number, record) in (0..).zip(&records) {
        let at_unix_ms = 20_000 * number;
        expire(&mut state, record, task, at_unix_ms);
        forget(&mut state, record, at_unix_ms + 15_000);
        let again = QueueCommand::PutWorker(Box::new(record.clone()));
        apply(&mut state, at_unix_ms + 16_000, again);
    }
    assert!(!has_ended(&state, task.step.job));
}

/// Guards against a task that is given up on evidence that is older than it may be: it is only
/// removed when another worker is.
#[test]
fn old_evidence_of_removed_workers_does_not_count() {
    let (mut state, records, task) = state();
    let (first, others) = records.split_first().unwrap();
    expire(&mut state, first, task, 0);
    forget(&mut state, first, 15_000);
    for record in others {
        expire(&mut state, record, task, 15_000 + KEPT_MS + 1);
    }
    assert!(!has_ended(&state, task.step.job));
}
