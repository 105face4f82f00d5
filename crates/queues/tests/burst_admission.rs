//! Admission under a leader that places fewer steps than are submitted.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_types::Millis;

use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::wide_load;
use crate::model::wide_load::Kind;
use crate::model::wide_load::LARGE_KINDS;
use crate::model::wide_load::LARGE_SHORT;
use crate::model::worker::ModelWorker;

const WORKERS: usize = 1_100;
const CORES_PER_WORKER: u64 = 32;
const POLICY_CLIENTS: usize = 138;
/// An event costs as much as this many checks.
const CHECKS_PER_EVENT: u64 = 40;
/// The seconds of the burst.
const BURST: std::ops::Range<u64> = 3..7;
/// The load of short jobs during the burst, as a multiple of the usual load.
const BURST_FACTOR: f64 = 2.0;
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
/// A late job is useful up to this multiple of its objective.
const USEFUL_FACTOR: u64 = 3;

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

fn model(check_cost_ns: u64) -> Model {
    let worker = |number| {
        let name = format!("w{number}");
        ModelWorker::new(&name, CORES_PER_WORKER, wide_load::need, wide_load::work_ms)
    };
    let queues = LARGE_KINDS.iter().map(Kind::queue).collect();
    let workers = (0..WORKERS).map(worker).collect();
    let mut model = Model::new(queues, workers, POLICY_CLIENTS);
    for kind in LARGE_KINDS {
        let name = Arc::from(kind.queue);
        model
            .allowed_percent_by_queue
            .insert(name, kind.allowed_percent);
    }
    model.run(500);
    model.leader.check_cost_ns = check_cost_ns;
    model.leader.event_cost_us = check_cost_ns * CHECKS_PER_EVENT / 1_000;
    model
}

/// Runs the usual load, a burst of short jobs, and the usual load again.
fn run(check_cost_ns: u64) -> Outcome {
    let mut model = model(check_cost_ns);
    let share = (WORKERS as u64 * CORES_PER_WORKER) as f64 / wide_load::CORES as f64;
    let mut due = [0.0; LARGE_KINDS.len()];
    let mut next = [0; LARGE_KINDS.len()];
    let begin = model.now;
    while model.now.since(begin) < LOAD_S as u64 * 1_000 {
        let second = model.now.since(begin) / 1_000;
        for (position, kind) in LARGE_KINDS.iter().enumerate() {
            let is_burst = kind.queue == LARGE_SHORT.queue && BURST.contains(&second);
            let factor = if is_burst { BURST_FACTOR } else { 1.0 };
            due[position] += kind.per_1000_s as f64 * share * factor * STEP_MS as f64 / 1e6;
            while due[position] >= 1.0 {
                due[position] -= 1.0;
                let number = next[position];
                next[position] += 1;
                model.offer(kind.key(number), kind.queue, kind.spec(number));
            }
        }
        model.run(STEP_MS);
    }
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
    let position = |queue: &str| LARGE_KINDS.iter().position(|kind| kind.queue == queue);
    for (key, job) in &model.jobs {
        let position = position(&job.queue).unwrap();
        let Some(seen) = outcome.kinds[position].get_mut(second(job.at)) else {
            continue;
        };
        seen.accepted += 1;
        let ended = job.ended.filter(|(_, phase)| *phase == JobPhase::Completed);
        let Some((ended, _)) = ended else { continue };
        seen.ended += 1;
        let spec = LARGE_KINDS[position].spec(key.0 & 0xff_ffff_ffff);
        let objective_ms = LARGE_KINDS[position].objective_ms(JobKey(key.0), &spec);
        let took_ms = ended.since(job.at);
        seen.in_time += usize::from(took_ms <= objective_ms);
        seen.useful += usize::from(took_ms <= USEFUL_FACTOR * objective_ms);
    }
    for (step, at) in &model.first_starts {
        let position = position(&model.jobs[&step.job].queue).unwrap();
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
