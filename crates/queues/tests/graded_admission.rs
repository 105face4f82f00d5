//! What callers get from a leader that is slowed down step by step, before and after a burst of
//! short jobs.

mod model;

use std::ops::Range;

use crate::model::large;
use crate::model::large::Callers;
use crate::model::large::Load;
use crate::model::large::Served;
use crate::model::wide_load::LARGE_KINDS;

/// The cost of a check at which the leader just serves the usual load.
const FITTING_COST_NS: u64 = 1_000;
/// The seconds with the usual load before the burst.
const BEFORE_S: Range<u64> = 0..3;
const BURST_S: Range<u64> = 3..7;
/// The seconds after the burst in which the leader has to serve as before.
const AFTER_S: Range<u64> = 11..17;
/// Time before the load, in which the idle leader's work is measured.
const IDLE_MS: u64 = 1_000;
/// Time after the load in which the accepted jobs end.
const REST_MS: u64 = 6_000;

/// Under a leader that is fast enough for the usual load, the share of short jobs in time after the
/// burst is this part of the share before it.
const IN_TIME_PERCENT_OF_BEFORE: usize = 80;
/// This share of the accepted short jobs ends in time.
const ACCEPTED_IN_TIME_PERCENT: usize = 80;
/// Of each kind, this share of what the speed of the leader allows is accepted.
const ACCEPTED_PERCENT_OF_SPEED: usize = 50;
/// Of each kind, this share of the accepted jobs is started by the end.
const STARTED_PERCENT: usize = 75;
/// The refusals for each job that is refused, in percent.
const REFUSALS_PERCENT_MAX: usize = 110;

struct Outcome {
    /// The share of the usual load that the leader's speed allows.
    speed_percent: usize,
    before: [Served; LARGE_KINDS.len()],
    after: [Served; LARGE_KINDS.len()],
    all: [Served; LARGE_KINDS.len()],
}

/// Runs the load under a leader whose work costs this percentage of the fitting cost.
fn run(cost_percent: u64) -> Outcome {
    let mut model = large::slow_model(FITTING_COST_NS * cost_percent / 100);
    model.run(IDLE_MS);
    let idle_ns = model.leader.work_ns;
    let begin = model.now;
    Load::new(BURST_S, Callers::ReturnWhileUseful).run(&mut model, AFTER_S.end);
    model.run(REST_MS);
    let served = |seconds: Range<u64>| {
        let at = |second| begin + second * 1_000;
        large::served(&model, at(seconds.start)..at(seconds.end))
    };
    let outcome = Outcome {
        speed_percent: 10_000 / cost_percent as usize,
        before: served(BEFORE_S),
        after: served(AFTER_S),
        all: served(0..AFTER_S.end),
    };
    println!(
        "cost {cost_percent} %: oldest event {} ms, {} us of work a second when idle, {} ms in all",
        model.leader.oldest_event_ms,
        idle_ns / IDLE_MS,
        model.leader.work_ns / 1_000_000
    );
    for second in 0..AFTER_S.end {
        let [short, batch, gang] = served(second..second + 1);
        println!("{second}: {short:?}\n  {batch:?}\n  {gang:?}");
    }
    outcome
}

/// What the outcome falls short of.
fn faults(outcome: &Outcome) -> Vec<String> {
    let mut faults = Vec::new();
    let mut demand = |is_met: bool, fault: String| {
        if !is_met {
            faults.push(fault);
        }
    };
    let (before, after) = (&outcome.before[0], &outcome.after[0]);
    if outcome.speed_percent >= 100 {
        let wanted = before.percent_in_time() * IN_TIME_PERCENT_OF_BEFORE / 100;
        demand(
            after.percent_in_time() >= wanted,
            format!("short jobs in time: {before:?} before the burst, {after:?} after it"),
        );
    }
    demand(
        100 * after.accepted_in_time >= ACCEPTED_IN_TIME_PERCENT * after.accepted,
        format!("accepted short jobs are late: {after:?}"),
    );
    for (kind, after) in LARGE_KINDS.iter().zip(&outcome.after) {
        let wanted = outcome.speed_percent.min(100) * ACCEPTED_PERCENT_OF_SPEED / 100;
        demand(
            after.percent_accepted() >= wanted,
            format!("{} starves at admission: {after:?}", kind.queue),
        );
        demand(
            100 * after.started >= STARTED_PERCENT * after.accepted,
            format!("{} starves at placement: {after:?}", kind.queue),
        );
    }
    for (kind, all) in LARGE_KINDS.iter().zip(&outcome.all) {
        demand(
            100 * all.refusals <= REFUSALS_PERCENT_MAX * all.refused,
            format!("{} is refused again and again: {all:?}", kind.queue),
        );
    }
    faults
}

fn assert_is_graded(cost_percent: u64) {
    let faults = faults(&run(cost_percent));
    assert!(
        faults.is_empty(),
        "at {cost_percent} % of the fitting cost:\n{}",
        faults.join("\n")
    );
}

/// Guards against a leader that serves fewer short jobs in time for long after a burst.
#[test]
fn a_leader_that_just_fits_serves_short_jobs_after_a_burst_as_before() {
    assert_is_graded(100);
}

/// Guards against a leader that accepts all jobs or none when it is too slow for the usual load, so
/// that those accepted are late.
#[test]
fn a_leader_at_150_percent_of_the_fitting_cost_serves_what_it_accepts() {
    assert_is_graded(150);
}

/// The same under a slower leader.
#[test]
fn a_leader_at_200_percent_of_the_fitting_cost_serves_what_it_accepts() {
    assert_is_graded(200);
}

/// The same under a leader that can serve a third of the usual load.
#[test]
fn a_leader_at_300_percent_of_the_fitting_cost_serves_what_it_accepts() {
    assert_is_graded(300);
}
