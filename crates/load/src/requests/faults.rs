//! Faults: one of 50 runners stalls and another fails every request.
//!
//! A lookup counts as failed unless it is done with the runner's answer. The baseline sends the
//! same lookups to the runners in turn.

use std::sync::atomic::Ordering;
use std::time::Duration;

use argh::FromArgs;
use sapphirepost_types::RequestClass;

use crate::report::Report;
use crate::requests::cluster::Cluster;
use crate::requests::generator::Balance;
use crate::requests::generator::End;
use crate::requests::generator::Load;
use crate::requests::generator::Sample;
use crate::requests::generator::count;

const RUNNERS: usize = 50;
const RATE: f64 = 1_000.0;
const BEFORE: Duration = Duration::from_secs(1);
const ALLOWED: Duration = Duration::from_secs(2);
const FAILED_TARGET: f64 = 0.001;

/// Failed lookups while runners stall and fail.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// a shorter time
    #[argh(switch)]
    quick: bool,
}

/// Runs the experiment.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("faults", arguments.seed);
    let cluster = Cluster::start(3, RUNNERS)?;
    let after = Duration::from_secs(if arguments.quick { 6 } else { 20 });
    let through = phase(
        arguments,
        &cluster,
        cluster.through_entries(),
        "/logbook",
        after,
    );
    let direct = phase(arguments, &cluster, cluster.direct(), "", after);
    let early = |samples: &[Sample]| failed_share(samples, BEFORE, BEFORE + ALLOWED);
    let late = |samples: &[Sample]| failed_share(samples, BEFORE + ALLOWED, Duration::MAX);
    report.figure("failed_share_first_2_s", early(&through));
    report.figure("mixed", count(&through, End::Mixed) as f64);
    report.baseline("failed_share_first_2_s", early(&direct));
    report.baseline("failed_share_after_2_s", late(&direct));
    report.at_most("failed_share_after_2_s", late(&through), FAILED_TARGET);
    Ok(report)
}

/// Lookups, with the faults beginning after [`BEFORE`].
fn phase(
    arguments: &Arguments,
    cluster: &Cluster,
    balance: Balance,
    prefix: &'static str,
    after: Duration,
) -> Vec<Sample> {
    let load = Load {
        balance,
        prefix,
        rate: RATE,
        duration: BEFORE + after,
        class: RequestClass::Lookup,
        run_ms: 2,
        deadline: Duration::from_secs(1),
        idempotent: true,
        seed: arguments.seed,
    };
    let runners = &cluster.runners;
    let samples = cluster.runtime.block_on(async {
        let samples = tokio::spawn(crate::requests::generator::run(load));
        tokio::time::sleep(BEFORE).await;
        runners[0].stalls.store(true, Ordering::Relaxed);
        runners[1].fails.store(true, Ordering::Relaxed);
        samples.await.unwrap_or_default()
    });
    runners[0].stalls.store(false, Ordering::Relaxed);
    runners[1].fails.store(false, Ordering::Relaxed);
    samples
}

fn failed_share(samples: &[Sample], from: Duration, to: Duration) -> f64 {
    let between: Vec<&Sample> = samples
        .iter()
        .filter(|sample| sample.at >= from && sample.at < to)
        .collect();
    let failed = between.iter().filter(|s| s.end != End::Done).count();
    failed as f64 / between.len().max(1) as f64
}
