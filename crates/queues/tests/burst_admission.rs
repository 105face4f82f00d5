//! Admission under a leader that places fewer steps than are submitted.

mod model;

use sapphirepost_types::Millis;

use crate::model::Model;
use crate::model::large;
use crate::model::large::Callers;
use crate::model::large::Load;
use crate::model::wide_load::LARGE_KINDS;

/// The seconds of the burst.
const BURST: std::ops::Range<u64> = 3..7;
/// Within this time after the burst the leader has to serve short jobs in time again.
const RECOVERY_S: usize = 4;
/// This share of the short jobs that are accepted after the recovery ends within the objective.
const IN_TIME_PERCENT: usize = 80;
/// This share of them ends while it is useful.
const USEFUL_PERCENT: usize = 95;
/// In each second the leader accepts this share of the usual number of short jobs: refusals depend on
/// the queue and do not come in waves.
const ACCEPTED_PERCENT: usize = 25;
/// The seconds in which jobs are submitted.
const LOAD_S: usize = 19;
/// Time after the load in which the accepted jobs end.
const REST_MS: u64 = 4_000;

/// What became of the jobs of one kind that were accepted in the same second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    accepted: usize,
    in_time: usize,
    useful: usize,
    /// Jobs that ended at any time.
    ended: usize,
    /// Steps started in this second.
    starts: usize,
}

struct Outcome {
    /// By the kinds of [`LARGE_KINDS`].
    kinds: [[Second; LOAD_S]; LARGE_KINDS.len()],
    refused: u64,
}

/// Runs the usual load, a burst of short jobs, and the usual load again.
fn run(check_cost_ns: u64) -> Outcome {
    let mut model = large::slow_model(check_cost_ns);
    let begin = model.now;
    Load::new(BURST, Callers::ReturnOnce).run(&mut model, LOAD_S as u64);
    model.run(REST_MS);
    outcome(&model, begin, check_cost_ns)
}

impl Outcome {
    /// The seconds of short jobs after the recovery.
    fn recovered(&self) -> &[Second] {
        &self.kinds[0][BURST.end as usize + RECOVERY_S..]
    }

    fn sum(&self, count: fn(&Second) -> usize) -> usize {
        self.recovered().iter().map(count).sum()
    }
}

fn outcome(model: &Model, begin: Millis, check_cost_ns: u64) -> Outcome {
    let mut outcome = Outcome {
        kinds: Default::default(),
        refused: model.leader.refused,
    };
    let second = |at: Millis| (at.since(begin) / 1_000) as usize;
    for (key, job) in &model.jobs {
        let position = large::position(&job.queue);
        let Some(seen) = outcome.kinds[position].get_mut(second(job.at)) else {
            continue;
        };
        seen.accepted += 1;
        let completion = large::completion_ms(model, *key, job.at);
        let Some((took_ms, objective_ms)) = completion else {
            continue;
        };
        seen.ended += 1;
        seen.in_time += usize::from(took_ms <= objective_ms);
        seen.useful += usize::from(took_ms <= large::USEFUL_FACTOR * objective_ms);
    }
    for (step, at) in &model.first_starts {
        let position = large::position(&model.jobs[&step.job].queue);
        if let Some(seen) = outcome.kinds[position].get_mut(second(*at)) {
            seen.starts += 1;
        }
    }
    println!(
        "{check_cost_ns} ns a check: {} refusals, {} jobs refused twice, \
         busy for {} ms, oldest event {} ms",
        outcome.refused,
        model.leader.refused_for_good,
        model.leader.longest_busy_ms,
        model.leader.oldest_event_ms
    );
    for (kind, seconds) in LARGE_KINDS.iter().zip(&outcome.kinds) {
        println!(
            "{}: accepted/in time/useful/ended/starts a second",
            kind.queue
        );
        for (number, s) in seconds.iter().enumerate() {
            print!(
                "  {number}:{}/{}/{}/{}/{}",
                s.accepted, s.in_time, s.useful, s.ended, s.starts
            );
        }
        println!();
    }
    outcome
}

/// Bounds that hold however slow the leader is.
fn assert_serves_what_it_accepts(outcome: &Outcome) {
    let accepted = outcome.sum(|second| second.accepted);
    let useful = outcome.sum(|second| second.useful);
    assert!(
        100 * useful >= USEFUL_PERCENT * accepted,
        "{useful} of {accepted} accepted short jobs were useful"
    );
    let usual = outcome.kinds[0][0].accepted;
    let fewest = outcome.recovered().iter().map(|second| second.accepted);
    let fewest = fewest.min().unwrap_or(0);
    assert!(
        100 * fewest >= ACCEPTED_PERCENT * usual,
        "only {fewest} short jobs were accepted in a second instead of {usual}"
    );
}

fn assert_is_in_time(outcome: &Outcome) {
    let accepted = outcome.sum(|second| second.accepted);
    let in_time = outcome.sum(|second| second.in_time);
    assert!(
        100 * in_time >= IN_TIME_PERCENT * accepted,
        "{in_time} of {accepted} accepted short jobs ended in time after the burst"
    );
}

/// Guards against a leader that accepts more jobs than it can place, so that all of them are late
/// for long after a burst.
#[test]
fn short_jobs_accepted_after_a_burst_end_in_time_at_1000_ns_a_check() {
    let outcome = run(1_000);
    assert_serves_what_it_accepts(&outcome);
    assert_is_in_time(&outcome);
}

/// The same under a leader that is too slow for the usual load.
#[test]
fn short_jobs_accepted_after_a_burst_end_in_time_at_1200_ns_a_check() {
    let outcome = run(1_200);
    assert_serves_what_it_accepts(&outcome);
    assert_is_in_time(&outcome);
}
