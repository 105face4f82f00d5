//! A leader with a slow processor after a burst of short jobs, under a load just below what it can
//! serve: it must place as many steps as before the burst, and ask the policy no more often for each.

mod model;

use std::time::Duration;

use sapphirepost_queues::scheduler::PlacementCounts;

use crate::model::large;
use crate::model::large::Callers;
use crate::model::large::Load;
use crate::model::wide_load::LARGE_KINDS;

/// The seconds whose placements are the measure.
const BEFORE: std::ops::Range<usize> = 3..6;
/// The seconds of the burst.
const BURST: std::ops::Range<u64> = 6..10;
/// The seconds in which the leader has to serve as before.
const AFTER: std::ops::Range<usize> = 15..21;

/// The cost of a check at which the leader is just able to serve the load before the burst.
const CHECK_COST_NS: u64 = 1_200;
/// The rate of starts after the burst, in percent of the rate before it.
const RATE_PERCENT_MIN: usize = 80;
/// The answers of the policy for each started step, as a multiple of those before the burst.
const ANSWERS_FACTOR_MAX: f64 = 1.25;

/// What happened in one second.
struct Second {
    /// Steps that were started for the first time.
    steps: usize,
    counts: PlacementCounts,
    checks: u64,
    waiting: u64,
    refused: u64,
    decision_time: Duration,
}

/// Runs the usual load, a burst of short jobs, and the usual load again.
fn run(check_cost_ns: u64) -> Vec<Second> {
    let mut model = large::slow_model(check_cost_ns);
    let mut load = Load::new(BURST, Callers::ReturnOnce);
    let mut seconds = Vec::new();
    for second in 0..AFTER.end {
        let starts = model.first_starts.len();
        let checks = model.leader.checks;
        let refused = model.leader.refused;
        let decision_time = model.decision_time;
        load.run_second(&mut model);
        let waiting = LARGE_KINDS
            .iter()
            .map(|kind| model.scheduler.waiting_jobs(kind.queue));
        let waiting = waiting.sum();
        let measured = Second {
            steps: model.first_starts.len() - starts,
            counts: model.scheduler.take_placement_counts(),
            checks: model.leader.checks - checks,
            waiting,
            refused: model.leader.refused - refused,
            decision_time: model.decision_time - decision_time,
        };
        measured.print(second);
        seconds.push(measured);
    }
    seconds
}

impl Second {
    fn print(&self, second: usize) {
        let counts = &self.counts;
        println!(
            "{second:2} s: {} steps, {} answers ({} repeated), {} refused, {} wait; {} rounds, \
             {} ms real, {} k checks; tries {:?} ({} urgent), k checks {:?}, not due {}, left out {}; \
             k visits {:?}; requests {:?} naming {:?}; permits {}, renewed {}, tasks {}",
            self.steps,
            counts.answers,
            counts.repeated_answers,
            self.refused,
            self.waiting,
            counts.rounds,
            self.decision_time.as_millis(),
            self.checks / 1_000,
            counts.attempts,
            counts.urgent_attempts,
            counts.attempt_checks.map(|checks| checks / 1_000),
            counts.not_due,
            counts.left_out,
            counts.visits.map(|visits| visits / 1_000),
            counts.requests,
            counts.requested_workers,
            counts.permits,
            counts.renewed_permits,
            counts.tasks,
        );
    }
}

/// The steps that were started and the answers of the policy in some seconds.
fn sum(seconds: &[Second]) -> (usize, u64) {
    let steps = seconds.iter().map(|second| second.steps).sum();
    let answers = seconds.iter().map(|second| second.counts.answers).sum();
    (steps, answers)
}

/// Guards against a burst after which a leader goes on with attempts and permit requests in vain.
#[test]
fn a_leader_near_its_limit_places_and_asks_after_a_burst_as_before() {
    let seconds = run(CHECK_COST_NS);
    let (steps_before, answers_before) = sum(&seconds[BEFORE]);
    let (steps, answers) = sum(&seconds[AFTER]);
    let rate_percent = 100 * steps * BEFORE.len() / (steps_before * AFTER.len());
    let per_step = |steps: usize, answers: u64| answers as f64 / steps as f64;
    let before = per_step(steps_before, answers_before);
    let after = per_step(steps, answers);
    println!("{rate_percent} % of the starts, {after:.2} answers for each, {before:.2} before");
    assert!(
        rate_percent >= RATE_PERCENT_MIN,
        "{rate_percent} % of the starts before the burst"
    );
    assert!(
        after <= before * ANSWERS_FACTOR_MAX,
        "{after:.2} answers of the policy for each step, {before:.2} before the burst"
    );
}
