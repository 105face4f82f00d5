//! Faults: one of 50 runners stalls and another fails every request.
//!
//! A lookup counts as failed unless the caller gets the complete response of a runner. The baseline
//! sends the same lookups directly to the runners, in round-robin order.

use std::sync::atomic::Ordering;
use std::time::Duration;

use argh::FromArgs;
use sapphirepost_types::RequestClass;

use crate::report::Report;
use crate::requests::cluster::Cluster;
use crate::requests::generator::Load;
use crate::requests::generator::Outcome;
use crate::requests::generator::Sample;
use crate::requests::generator::TargetSelector;
use crate::requests::generator::count_outcome;

const RUNNERS: usize = 50;
const RATE_PER_S: f64 = 1_000.0;
/// Time before the faults begin.
const FAULT_DELAY: Duration = Duration::from_secs(1);
/// Time after the beginning of the faults in which failures do not count against the target.
const DETECTION_TIME: Duration = Duration::from_secs(2);
const FAILED_SHARE_TARGET: f64 = 0.001;

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

/// Runs the lookups through the entries, then directly.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("faults", arguments.seed);
    let cluster = Cluster::start(3, RUNNERS)?;
    let fault_duration = Duration::from_secs(if arguments.quick { 6 } else { 20 });
    let via_entries = run_lookups(
        arguments,
        &cluster,
        cluster.through_entries(),
        "/logbook",
        fault_duration,
    );
    let direct = run_lookups(arguments, &cluster, cluster.direct(), "", fault_duration);
    let early =
        |samples: &[Sample]| failed_share(samples, FAULT_DELAY, FAULT_DELAY + DETECTION_TIME);
    let late =
        |samples: &[Sample]| failed_share(samples, FAULT_DELAY + DETECTION_TIME, Duration::MAX);
    report.metric("failed_share_first_2_s", early(&via_entries));
    report.metric(
        "mixed",
        count_outcome(&via_entries, Outcome::Corrupt) as f64,
    );
    report.baseline("failed_share_first_2_s", early(&direct));
    report.baseline("failed_share_after_2_s", late(&direct));
    report.at_most(
        "failed_share_after_2_s",
        late(&via_entries),
        FAILED_SHARE_TARGET,
    );
    Ok(report)
}

/// Runs lookups; the faults begin after [`FAULT_DELAY`] and last for `fault_duration`.
fn run_lookups(
    arguments: &Arguments,
    cluster: &Cluster,
    selector: TargetSelector,
    prefix: &'static str,
    fault_duration: Duration,
) -> Vec<Sample> {
    let load = Load {
        selector,
        prefix,
        rate_per_s: RATE_PER_S,
        duration: FAULT_DELAY + fault_duration,
        class: RequestClass::Lookup,
        run_ms: 2,
        deadline: Duration::from_secs(1),
        idempotent: true,
        seed: arguments.seed,
    };
    let runners = &cluster.runners;
    let samples = cluster.runtime.block_on(async {
        let samples = tokio::spawn(crate::requests::generator::run(load));
        tokio::time::sleep(FAULT_DELAY).await;
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
        .filter(|sample| sample.start >= from && sample.start < to)
        .collect();
    let failed = between
        .iter()
        .filter(|s| s.outcome != Outcome::Done)
        .count();
    failed as f64 / between.len().max(1) as f64
}
