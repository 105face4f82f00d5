//! Requests: the time that an entry adds to lookups, compared with direct access.

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
use crate::requests::generator::quantile_ms;

const RATE: f64 = 2_000.0;
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

/// Runs the experiment.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("requests", arguments.seed);
    let cluster = Cluster::start(3, RUNNERS)?;
    let rounds = if arguments.quick { 5 } else { 15 };
    let load = |balance: Balance, prefix: &'static str, seed: u64| Load {
        balance,
        prefix,
        rate: RATE,
        duration: Duration::from_secs(1),
        class: RequestClass::Lookup,
        run_ms: 1,
        deadline: Duration::from_secs(1),
        idempotent: true,
        seed,
    };
    let (mut direct, mut through) = (Vec::new(), Vec::new());
    // Both take turns, so that other work on the machine touches both alike. The first round opens
    // connections and is not counted.
    for round in 0..=rounds {
        let seed = arguments.seed + 2 * round;
        let by_runner = cluster.run(load(cluster.direct(), "", seed));
        let by_entry = cluster.run(load(cluster.through_entry(0), "/logbook", seed + 1));
        if round > 0 {
            direct.extend(by_runner);
            through.extend(by_entry);
        }
    }
    let p = |samples: &[Sample], quantile| quantile_ms(samples, End::Done, quantile);
    for (name, quantile) in [("p50_ms", 0.5), ("p99_ms", 0.99)] {
        report.figure(name, p(&through, quantile));
        report.baseline(name, p(&direct, quantile));
    }
    report.figure("requests", through.len() as f64);
    report.figure("done", count(&through, End::Done) as f64);
    let mixed = count(&through, End::Mixed) as f64;
    let added = |quantile| p(&through, quantile) - p(&direct, quantile);
    report.at_most("added_p50_ms", added(0.5), ADDED_P50_TARGET_MS);
    report.at_most("added_p99_ms", added(0.99), ADDED_P99_TARGET_MS);
    report.at_most("mixed_or_truncated", mixed, 0.0);
    Ok(report)
}
