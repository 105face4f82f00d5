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
    model.run(2_000);
    model
}

/// After how long the leader lets a job come back; `None` if it accepts it.
fn retry_after_ms(model: &mut Model, number: u64, now: Millis) -> Option<u64> {
    let spec = load::spec(Kind::Lookup, number);
    let table = model.state.table().unwrap();
    let queue = table.queue("lookup").unwrap();
    let key = JobKey(load::key(Kind::Lookup, number));
    let admission = model.scheduler.admission(key, queue, &spec, None, now)?;
    admission.retry_after_ms()
}

/// How many of 1,000 jobs the leader refuses, and the shortest time after which one may return.
fn refused(model: &mut Model, now: Millis) -> (usize, Option<u64>) {
    let retries = (0..1_000).filter_map(|number| retry_after_ms(model, number, now));
    let retries: Vec<u64> = retries.collect();
    (retries.len(), retries.iter().min().copied())
}

/// Records a commit of `took_ms` each 50 ms, for `period_ms`. Returns the time after the last one.
fn commit_for(model: &mut Model, took_ms: u64, begin: Millis, period_ms: u64) -> Millis {
    for at_ms in (0..period_ms).step_by(50) {
        model.scheduler.record_commit(took_ms, begin + at_ms);
    }
    begin + period_ms
}

/// Guards against a leader that accepts jobs although it commits them long after their callers have
/// left.
#[test]
fn new_jobs_are_refused_while_all_commits_are_slow() {
    let mut model = model();
    let begin = model.now;
    assert_eq!(refused(&mut model, begin).0, 0);
    let now = commit_for(&mut model, SLOW_MS, begin, 400);
    let (first, retry_ms) = refused(&mut model, now);
    assert!((200..900).contains(&first), "{first} of 1,000 are refused");
    assert!(retry_ms >= Some(1_000), "{retry_ms:?}");
    let now = commit_for(&mut model, SLOW_MS, now, 2_000);
    let (all, _) = refused(&mut model, now);
    assert!(all >= 850, "{all} of 1,000 are refused");
}

/// Guards against a leader that accepts all jobs again after one fast commit, so that all refused
/// callers return at once, and against refusals that outlast their cause by long.
#[test]
fn jobs_are_accepted_again_step_by_step_after_slow_commits() {
    let mut model = model();
    let begin = model.now;
    let now = commit_for(&mut model, SLOW_MS, begin, 2_000);
    let (mut before, _) = refused(&mut model, now);
    let begin = commit_for(&mut model, 20, now, 100);
    assert!(refused(&mut model, begin).0 + 50 >= before);
    let mut now = begin;
    while refused(&mut model, now).0 > 0 {
        now = commit_for(&mut model, 20, now, 1_000);
        let (after, _) = refused(&mut model, now);
        assert!(before - after <= 120, "{before} refused, then {after}");
        before = after;
        assert!(now.since(begin) < 30_000, "{after} of 1,000 are refused");
    }
}

/// Guards against refusals without an end: while all new jobs are refused, there may be nothing left
/// to commit that could show a faster commit.
#[test]
fn refusals_end_when_nothing_is_committed_any_more() {
    let mut model = model();
    let begin = model.now;
    let now = commit_for(&mut model, SLOW_MS, begin, 1_000);
    assert!(refused(&mut model, now).0 > 0);
    assert_eq!(refused(&mut model, now + 1_000).0, 0);
}

/// Guards against a leader that accepts jobs while no commit ends at all.
#[test]
fn new_jobs_are_refused_while_a_commit_does_not_end() {
    let mut model = model();
    model.scheduler.record_commit_in_progress(SLOW_MS);
    let now = model.now;
    assert_eq!(refused(&mut model, now).0, 1_000);
    model.scheduler.record_commit_in_progress(0);
    let now = model.now;
    assert_eq!(refused(&mut model, now).0, 0);
}

/// Guards against refusals for a single slow commit, which a pause of one disk causes.
#[test]
fn one_slow_commit_refuses_nothing() {
    let mut model = model();
    let begin = model.now;
    model.scheduler.record_commit(SLOW_MS, begin);
    for at_ms in [100, 250, 450] {
        assert_eq!(refused(&mut model, begin + at_ms).0, 0);
    }
    let later = begin + 10_000;
    model.scheduler.record_commit(SLOW_MS, later);
    for at_ms in [0, 250] {
        assert_eq!(refused(&mut model, later + at_ms).0, 0);
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
    assert_eq!(
        model.scheduler.admission(key, queue, &spec, None, now),
        None
    );
}

/// Guards against a single slow commit that counts for the whole time before it, in which nothing was
/// committed.
#[test]
fn one_slow_commit_after_an_idle_time_refuses_nothing() {
    let mut model = model();
    let begin = model.now;
    let mut now = begin;
    for idle_ms in [320, 450, 600, 10_000] {
        now = commit_for(&mut model, 5, now, 1_000);
        let later = now + idle_ms;
        model.scheduler.record_commit_in_progress(80);
        assert_eq!(refused(&mut model, later + 80).0, 0, "after {idle_ms} ms");
        model.scheduler.record_commit(85, later + 85);
        model.scheduler.record_commit_in_progress(0);
        now = later + 200;
        assert_eq!(refused(&mut model, now).0, 0, "after {idle_ms} ms");
    }
}

/// Guards against a new leader that refuses jobs for the time before its first commit.
#[test]
fn the_first_commit_of_a_leader_refuses_nothing() {
    let mut model = model();
    model.scheduler.record_commit_in_progress(80);
    let later = model.now + 1_000_000;
    assert_eq!(refused(&mut model, later).0, 0);
}

/// Guards against a new leader that accepts all returning callers while it takes over, and against
/// refusals that go on when its commits are fast.
#[test]
fn a_new_leader_whose_first_commit_is_slow_accepts_jobs_step_by_step() {
    let mut model = model();
    model.change_leader();
    let begin = model.now;
    assert_eq!(refused(&mut model, begin).0, 0);
    model.scheduler.record_commit_in_progress(100);
    let (first, _) = refused(&mut model, begin + 100);
    assert!((600..900).contains(&first), "{first} of 1,000 are refused");
    model.scheduler.record_commit(200, begin + 200);
    model.scheduler.record_commit_in_progress(0);
    let (first, _) = refused(&mut model, begin + 200);
    assert!((600..900).contains(&first), "{first} of 1,000 are refused");
    let now = commit_for(&mut model, 20, begin + 250, 15_000);
    assert_eq!(refused(&mut model, now).0, 0);
}

/// Guards against a new leader that refuses jobs for many seconds after a takeover that is over, and
/// sends callers away for longer than that.
#[test]
fn a_new_leader_whose_commits_are_fast_after_a_slow_takeover_soon_accepts_all_jobs() {
    let mut model = model();
    model.change_leader();
    let begin = model.now;
    model.scheduler.record_commit(200, begin + 200);
    let (first, _) = refused(&mut model, begin + 200);
    assert!((600..900).contains(&first), "{first} of 1,000 are refused");
    let retries = (0..1_000).filter_map(|number| retry_after_ms(&mut model, number, begin + 200));
    let longest_ms = retries.max().unwrap();
    assert!(longest_ms <= 3_500, "retry after {longest_ms} ms");
    let now = commit_for(&mut model, 20, begin + 250, 2_000);
    assert_eq!(refused(&mut model, now).0, 0);
}

/// Guards against a share that rises quickly although commits are slow after the takeover too.
#[test]
fn a_new_leader_whose_commits_stay_slow_refuses_jobs_like_any_other() {
    let mut model = model();
    model.change_leader();
    let begin = model.now;
    model.scheduler.record_commit(200, begin + 200);
    let now = commit_for(&mut model, SLOW_MS, begin + 250, 3_000);
    let (slow, _) = refused(&mut model, now);
    assert!(slow >= 800, "{slow} of 1,000 are refused");
    let now = commit_for(&mut model, 20, now, 2_000);
    let (later, _) = refused(&mut model, now);
    assert!(later >= 500, "{later} of 1,000 are refused");
}

/// Guards against a new leader that refuses jobs although it commits them in time.
#[test]
fn a_new_leader_whose_first_commit_is_fast_refuses_nothing() {
    let mut model = model();
    model.change_leader();
    let begin = model.now;
    let now = commit_for(&mut model, 20, begin, 500);
    assert_eq!(refused(&mut model, now).0, 0);
}
