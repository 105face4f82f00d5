//! A leader with a slow processor, under a burst of short jobs: it must stay responsive, serve what
//! it can and refuse the rest.

mod model;

use std::sync::OnceLock;

use crate::model::large;
use crate::model::large::Callers;
use crate::model::large::Load;
use crate::model::wide_load::LARGE_KINDS;
use crate::model::wide_load::LARGE_SHORT;

/// The seconds of the burst.
const BURST: std::ops::Range<u64> = 3..7;
/// Within this time after the burst the leader has to serve short jobs again.
const RECOVERY_S: u64 = 5;
const END_S: u64 = BURST.end + 10;
/// The default election timeout of the platform: a leader that handles no message for as long loses
/// its lead.
const ELECTION_TIMEOUT_MS: u64 = 350;
/// A leader that refuses what it cannot serve starts this share of the short jobs that it accepts
/// after the recovery; the last ones may still wait.
const STARTED_PERCENT: usize = 90;

/// What became of the load under one leader.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    check_cost_ns: u64,
    longest_busy_ms: u64,
    oldest_event_ms: u64,
    /// Steps of short jobs that were first started in the last seconds, after the recovery.
    short_starts: usize,
    /// Short jobs that were accepted in these seconds, new ones and returning ones.
    short_accepted: usize,
    refused: u64,
    refused_for_good: u64,
    checks_per_s: u64,
    /// Accepted jobs without a start at the end.
    waiting: u64,
}

/// Runs the usual load, a burst of short jobs, and the usual load again.
fn run(check_cost_ns: u64) -> Outcome {
    let mut model = large::slow_model(check_cost_ns);
    let begin = model.now;
    Load::new(BURST, Callers::ReturnOnce).run(&mut model, END_S);
    let recovered = begin + (BURST.end + RECOVERY_S) * 1_000;
    let is_short = |queue: &str| queue == LARGE_SHORT.queue;
    let starts = model.first_starts.iter();
    let short_starts =
        starts.filter(|(step, at)| **at >= recovered && is_short(&model.jobs[&step.job].queue));
    let accepted = model.jobs.values();
    let short_accepted = accepted.filter(|job| job.at >= recovered && is_short(&job.queue));
    let waiting = LARGE_KINDS
        .iter()
        .map(|kind| model.scheduler.waiting_jobs(kind.queue));
    let outcome = Outcome {
        check_cost_ns,
        longest_busy_ms: model.leader.longest_busy_ms,
        oldest_event_ms: model.leader.oldest_event_ms,
        short_starts: short_starts.count(),
        short_accepted: short_accepted.count(),
        refused: model.leader.refused,
        refused_for_good: model.leader.refused_for_good,
        checks_per_s: model.leader.checks / END_S,
        waiting: waiting.sum(),
    };
    println!(
        "{} ns a check: busy for {} ms, oldest event {} ms, {} short jobs started of {} accepted, \
         {} refusals, {} jobs refused twice, {} checks a second, {} jobs wait",
        outcome.check_cost_ns,
        outcome.longest_busy_ms,
        outcome.oldest_event_ms,
        outcome.short_starts,
        outcome.short_accepted,
        outcome.refused,
        outcome.refused_for_good,
        outcome.checks_per_s,
        outcome.waiting
    );
    outcome
}

/// The outcome under a leader whose work costs no time.
fn ideal() -> &'static Outcome {
    static IDEAL: OnceLock<Outcome> = OnceLock::new();
    IDEAL.get_or_init(|| run(0))
}

fn assert_keeps_up(check_cost_ns: u64) {
    let outcome = run(check_cost_ns);
    let ideal = ideal();
    assert!(
        outcome.longest_busy_ms <= ELECTION_TIMEOUT_MS / 2,
        "the leader is busy without a break for too long: {outcome:?}"
    );
    assert!(
        outcome.oldest_event_ms <= ELECTION_TIMEOUT_MS / 2,
        "events wait for too long: {outcome:?}"
    );
    assert!(
        2 * outcome.short_starts >= ideal.short_starts,
        "few short jobs are started after the burst: {outcome:?}, {ideal:?}"
    );
    assert!(
        100 * outcome.short_starts >= STARTED_PERCENT * outcome.short_accepted,
        "short jobs are accepted and not started: {outcome:?}"
    );
}

/// Guards against a burst that occupies a leader beyond the end of the burst.
#[test]
fn a_leader_with_50_ns_a_check_recovers_from_a_burst() {
    assert_keeps_up(50);
}

/// The same at half the speed.
#[test]
fn a_leader_with_100_ns_a_check_recovers_from_a_burst() {
    assert_keeps_up(100);
}

/// The same at a quarter of the speed.
#[test]
fn a_leader_with_200_ns_a_check_recovers_from_a_burst() {
    assert_keeps_up(200);
}

/// The same at an eighth of the speed.
#[test]
fn a_leader_with_400_ns_a_check_recovers_from_a_burst() {
    assert_keeps_up(400);
}
