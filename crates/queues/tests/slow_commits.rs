//! Admission by a leader whose commits are slow.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_types::Millis;

use crate::model::Model;
use crate::model::load;
use crate::model::load::Kind;
use crate::model::queue;
use crate::model::worker::ModelWorker;

/// A commit that keeps its callers waiting for longer than most short jobs may take.
const SLOW_MS: u64 = 600;

fn model() -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), 64, load::need, load::work_ms);
    let workers = (0..4).map(worker).collect();
    let mut model = Model::new(vec![queue("lookup", 0, 1.5, 250)], workers, 0);
    model.run(100);
    model
}

/// After how long the leader lets a job come back; `None` if it accepts it.
fn retry_after_ms(model: &Model, number: u64, now: Millis) -> Option<u64> {
    let spec = load::spec(Kind::Lookup, number);
    let table = model.state.table().unwrap();
    let queue = table.queue("lookup").unwrap();
    let key = JobKey(load::key(Kind::Lookup, number));
    let admission = model.scheduler.admission(key, queue, &spec, now)?;
    admission.retry_after_ms()
}

/// Guards against a leader that accepts jobs although it commits them long after their callers have
/// left.
#[test]
fn new_jobs_are_refused_while_all_commits_are_slow() {
    let mut model = model();
    let begin = model.now;
    assert_eq!(retry_after_ms(&model, 1, begin), None);
    for at_ms in [0, 100, 200, 300] {
        model.scheduler.record_commit(SLOW_MS, begin + at_ms);
    }
    let refused = retry_after_ms(&model, 1, begin + 300);
    assert!(refused.is_some_and(|ms| ms >= 1_000), "{refused:?}");
    model.scheduler.record_commit(20, begin + 400);
    assert_eq!(retry_after_ms(&model, 1, begin + 400), None);
}

/// Guards against refusals without an end: while all new jobs are refused, there may be nothing left
/// to commit that could show a faster commit.
#[test]
fn refusals_end_when_nothing_is_committed_any_more() {
    let mut model = model();
    let begin = model.now;
    for at_ms in [0, 100, 200, 300] {
        model.scheduler.record_commit(SLOW_MS, begin + at_ms);
    }
    assert!(retry_after_ms(&model, 1, begin + 300).is_some());
    assert_eq!(retry_after_ms(&model, 1, begin + 1_300), None);
}

/// Guards against a leader that accepts jobs while no commit ends at all.
#[test]
fn new_jobs_are_refused_while_a_commit_does_not_end() {
    let mut model = model();
    model.scheduler.record_commit_in_progress(SLOW_MS);
    assert!(retry_after_ms(&model, 1, model.now).is_some());
    model.scheduler.record_commit_in_progress(0);
    assert_eq!(retry_after_ms(&model, 1, model.now), None);
}

/// Guards against refusals for a single slow commit, which a pause of one disk causes.
#[test]
fn one_slow_commit_refuses_nothing() {
    let mut model = model();
    let begin = model.now;
    model.scheduler.record_commit(SLOW_MS, begin);
    for at_ms in [100, 250, 450] {
        assert_eq!(retry_after_ms(&model, 1, begin + at_ms), None);
    }
    let later = begin + 10_000;
    model.scheduler.record_commit(SLOW_MS, later);
    for at_ms in [0, 250] {
        assert_eq!(retry_after_ms(&model, 1, later + at_ms), None);
    }
}

/// Guards against a refusal of a job that is accepted already and will run.
#[test]
fn a_job_that_is_known_is_not_refused() {
    let mut model = model();
    let now = model.now;
    model.submit(
        load::key(Kind::Lookup, 1),
        "lookup",
        load::spec(Kind::Lookup, 1),
    );
    model.scheduler.record_commit_in_progress(SLOW_MS);
    let spec = Arc::new(load::spec(Kind::Lookup, 1));
    let table = model.state.table().unwrap();
    let queue = table.queue("lookup").unwrap();
    let key = JobKey(load::key(Kind::Lookup, 1));
    assert_eq!(model.scheduler.admission(key, queue, &spec, now), None);
}
