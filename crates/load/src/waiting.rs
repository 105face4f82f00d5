//! Waiting: how long tasks wait at 85 % offered load.
//!
//! Arrivals are replayed on a virtual clock through the placer, and through first come, first
//! served (FCFS) and earliest deadline first (EDF) as baselines. Both baselines place by best fit.
//! Each runs strictly in order and with backfilling (jobs behind one that must wait may start), and
//! the placer is compared with the better of the two.

use argh::FromArgs;
use hdrhistogram::Histogram;
use sapphirepost_placement::JobPolicy;

use crate::arrivals::Arrival;
use crate::arrivals::generate;
use crate::clusters::COOPERATIVE;
use crate::clusters::Cluster;
use crate::clusters::DESIGN;
use crate::clusters::LABORATORY;
use crate::replay::Order;
use crate::replay::Outcome;
use crate::replay::SimpleQueue;
use crate::replay::replay_placer;
use crate::replay::replay_queue;
use crate::report::Report;

/// Offered load as a share of the capacity, services included.
const LOAD: f64 = 0.85;

/// Upper bound of the 99th percentile of the start delay of urgent jobs.
const URGENT_START_TARGET_MS: f64 = 1_400.0;

/// Waiting times at 85 % offered load.
#[derive(FromArgs)]
#[argh(subcommand, name = "waiting")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// a shorter time
    #[argh(switch)]
    quick: bool,
}

/// Waiting times and missed deadlines with one scheduler.
///
/// The percentiles are those of the start delays of urgent jobs and of gangs. A start delay lasts
/// from the submission of a job until the last of its tasks has started for the first time.
struct Summary {
    urgent_p50_ms: f64,
    urgent_p99_ms: f64,
    gang_p99_ms: f64,
    /// Mean waiting time of a task, summed over its attempts. Services are not counted.
    wait_mean_ms: f64,
    /// Share of the jobs with a deadline that missed it.
    missed_share: f64,
}

/// Replays the same arrivals through the placer and the baselines, on each cluster.
pub fn run(arguments: &Arguments) -> Report {
    let mut report = Report::new("waiting", arguments.seed);
    let minutes = if arguments.quick { 20 } else { 120 };
    for cluster in [COOPERATIVE, LABORATORY, DESIGN] {
        measure(&cluster, minutes * 60_000, arguments.seed, &mut report);
    }
    report
}

fn measure(cluster: &Cluster, horizon_ms: u64, seed: u64, report: &mut Report) {
    let arrivals = generate(cluster, LOAD, horizon_ms, seed);
    let label = cluster.name;
    let placer = summarise(&arrivals, &replay_placer(cluster, &arrivals, seed));
    report.metric(format!("{label}_jobs"), arrivals.len() as f64);
    for (name, value) in placer.values() {
        report.metric(format!("{label}_{name}"), value);
    }
    let mut run = |name: &str, order, backfill| {
        let queue = SimpleQueue { order, backfill };
        let summary = summarise(&arrivals, &replay_queue(cluster, &arrivals, queue));
        for (figure, value) in summary.values() {
            report.baseline(format!("{label}_{name}_{figure}"), value);
        }
        summary
    };
    let first_come = run("fcfs", Order::FirstCome, false);
    let first_come_backfill = run("fcfs_passing", Order::FirstCome, true);
    let deadline = run("edf", Order::EarliestDeadline, false);
    let deadline_backfill = run("edf_passing", Order::EarliestDeadline, true);
    let wait_ms = first_come
        .wait_mean_ms
        .min(first_come_backfill.wait_mean_ms);
    let missed_share = deadline.missed_share.min(deadline_backfill.missed_share);
    report.at_most(
        format!("{label}_urgent_p99_ms"),
        placer.urgent_p99_ms,
        URGENT_START_TARGET_MS,
    );
    report.at_most(
        format!("{label}_missed_against_edf"),
        placer.missed_share,
        missed_share,
    );
    report.below(
        format!("{label}_wait_below_fcfs"),
        placer.wait_mean_ms,
        wait_ms,
    );
}

impl Summary {
    fn values(&self) -> [(&'static str, f64); 5] {
        [
            ("urgent_p50_ms", self.urgent_p50_ms),
            ("urgent_p99_ms", self.urgent_p99_ms),
            ("gang_p99_ms", self.gang_p99_ms),
            ("wait_mean_ms", self.wait_mean_ms),
            ("missed", self.missed_share),
        ]
    }
}

fn summarise(arrivals: &[Arrival], outcomes: &[Outcome]) -> Summary {
    let mut urgent: Histogram<u64> = histogram();
    let mut gangs: Histogram<u64> = histogram();
    let (mut waited_ms, mut tasks) = (0, 0);
    let (mut missed_jobs, mut with_deadline) = (0, 0);
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        match arrival.view.policy {
            JobPolicy::Service => continue,
            JobPolicy::Gang { .. } => gangs.saturating_record(outcome.start_delay_ms),
            JobPolicy::Batch { .. } if arrival.is_urgent() => {
                urgent.saturating_record(outcome.start_delay_ms);
            }
            JobPolicy::Batch { .. } => {}
        }
        waited_ms += outcome.waited_ms;
        tasks += arrival.view.tasks.len() as u64;
        if let Some(deadline) = arrival.deadline() {
            with_deadline += 1;
            missed_jobs += u64::from(outcome.end > deadline);
        }
    }
    Summary {
        urgent_p50_ms: urgent.value_at_quantile(0.5) as f64,
        urgent_p99_ms: urgent.value_at_quantile(0.99) as f64,
        gang_p99_ms: gangs.value_at_quantile(0.99) as f64,
        wait_mean_ms: waited_ms as f64 / tasks.max(1) as f64,
        missed_share: missed_jobs as f64 / with_deadline.max(1) as f64,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1 << 40, 3).expect("the bounds are valid")
}
