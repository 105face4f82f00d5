//! Requests: the latency that an entry adds to lookups, compared with direct access to runners.

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
use crate::requests::generator::quantile_ms;

const RATE_PER_S: f64 = 2_000.0;
const RUNNERS: usize = 12;
const ADDED_P50_TARGET_MS: f64 = 0.5;
const ADDED_P99_TARGET_MS: f64 = 3.0;

/// The time that an entry adds to lookups.
#[derive(FromArgs)]
#[argh(subcommand, name = "requests")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// a shorter time
    #[argh(switch)]
    quick: bool,
}

/// Alternates between lookups sent directly and through an entry, and compares the latencies.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("requests", arguments.seed);
    let cluster = Cluster::start(3, RUNNERS)?;
    let rounds = if arguments.quick { 5 } else { 15 };
    let load = |selector: TargetSelector, prefix: &'static str, seed: u64| Load {
        selector,
        prefix,
        rate_per_s: RATE_PER_S,
        duration: Duration::from_secs(1),
        class: RequestClass::Lookup,
        run_ms: 1,
        deadline: Duration::from_secs(1),
        idempotent: true,
        seed,
    };
    let (mut direct, mut via_entry) = (Vec::new(), Vec::new());
    // The two loads alternate, so that other processes on the machine affect both alike. The first
    // round opens connections and is not counted.
    for round in 0..=rounds {
        let seed = arguments.seed + 2 * round;
        let direct_samples = cluster.run(load(cluster.direct(), "", seed));
        let entry_samples = cluster.run(load(cluster.through_entry(0), "/logbook", seed + 1));
        if round > 0 {
            direct.extend(direct_samples);
            via_entry.extend(entry_samples);
        }
    }
    let latency_ms = |samples: &[Sample], quantile| quantile_ms(samples, Outcome::Done, quantile);
    for (name, quantile) in [("p50_ms", 0.5), ("p99_ms", 0.99)] {
        report.metric(name, latency_ms(&via_entry, quantile));
        report.baseline(name, latency_ms(&direct, quantile));
    }
    report.metric("requests", via_entry.len() as f64);
    report.metric("done", count_outcome(&via_entry, Outcome::Done) as f64);
    let corrupt = count_outcome(&via_entry, Outcome::Corrupt) as f64;
    let added = |quantile| latency_ms(&via_entry, quantile) - latency_ms(&direct, quantile);
    report.at_most("added_p50_ms", added(0.5), ADDED_P50_TARGET_MS);
    report.at_most("added_p99_ms", added(0.99), ADDED_P99_TARGET_MS);
    report.at_most("mixed_or_truncated", corrupt, 0.0);
    Ok(report)
}
