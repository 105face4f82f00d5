//! Waiting: how long work waits at 85 % offered load.
//!
//! Arrivals are replayed on a virtual clock through the placer, and through first come first
//! served and earliest deadline first. Both baselines place by best fit; each runs strictly in
//! order and with passing (jobs behind one that must wait may start), and the targets are judged
//! against the better of the two.

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
use crate::replay::through_placer;
use crate::replay::through_queue;
use crate::report::Report;

/// Offered load, services included.
const LOAD: f64 = 0.85;

/// The longest start of urgent work, 99th percentile.
const URGENT_TARGET_MS: f64 = 1_400.0;

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

/// What one way of placing led to.
struct Summary {
    urgent_p50_ms: f64,
    urgent_p99_ms: f64,
    gang_p99_ms: f64,
    /// Mean waiting time of a task.
    wait_mean_ms: f64,
    /// Jobs with a deadline that missed it, as a share.
    missed: f64,
}

/// Runs the experiment.
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
    let ours = summarise(&arrivals, &through_placer(cluster, &arrivals, seed));
    report.figure(format!("{label}_jobs"), arrivals.len() as f64);
    for (name, value) in ours.values() {
        report.figure(format!("{label}_{name}"), value);
    }
    let mut run = |name: &str, order, passing| {
        let queue = SimpleQueue { order, passing };
        let summary = summarise(&arrivals, &through_queue(cluster, &arrivals, queue));
        for (figure, value) in summary.values() {
            report.baseline(format!("{label}_{name}_{figure}"), value);
        }
        summary
    };
    let first_come = run("fcfs", Order::FirstCome, false);
    let first_come_passing = run("fcfs_passing", Order::FirstCome, true);
    let deadline = run("edf", Order::EarliestDeadline, false);
    let deadline_passing = run("edf_passing", Order::EarliestDeadline, true);
    let wait_ms = first_come.wait_mean_ms.min(first_come_passing.wait_mean_ms);
    let missed = deadline.missed.min(deadline_passing.missed);
    report.at_most(
        format!("{label}_urgent_p99_ms"),
        ours.urgent_p99_ms,
        URGENT_TARGET_MS,
    );
    report.at_most(format!("{label}_missed_against_edf"), ours.missed, missed);
    report.below(
        format!("{label}_wait_below_fcfs"),
        ours.wait_mean_ms,
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
            ("missed", self.missed),
        ]
    }
}

fn summarise(arrivals: &[Arrival], outcomes: &[Outcome]) -> Summary {
    let mut urgent: Histogram<u64> = histogram();
    let mut gangs: Histogram<u64> = histogram();
    let (mut waited_ms, mut tasks) = (0, 0);
    let (mut missed, mut dated) = (0, 0);
    for (arrival, outcome) in arrivals.iter().zip(outcomes) {
        match arrival.view.policy {
            JobPolicy::Service => continue,
            JobPolicy::Gang { .. } => gangs.saturating_record(outcome.start_ms),
            JobPolicy::Batch { .. } if arrival.is_urgent() => {
                urgent.saturating_record(outcome.start_ms);
            }
            JobPolicy::Batch { .. } => {}
        }
        waited_ms += outcome.waited_ms;
        tasks += arrival.view.tasks.len() as u64;
        if let Some(deadline) = arrival.deadline() {
            dated += 1;
            missed += u64::from(outcome.end > deadline);
        }
    }
    Summary {
        urgent_p50_ms: urgent.value_at_quantile(0.5) as f64,
        urgent_p99_ms: urgent.value_at_quantile(0.99) as f64,
        gang_p99_ms: gangs.value_at_quantile(0.99) as f64,
        wait_mean_ms: waited_ms as f64 / tasks.max(1) as f64,
        missed: missed as f64 / dated.max(1) as f64,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 1 << 40, 3).expect("the bounds are valid")
}
