//! Overload: goodput beyond capacity, the time to a refusal, and the latency of lookups during
//! recalculations.
//!
//! Standard requests may use six of the slots of each runner. Capacity is the rate at which the
//! runners complete requests while these slots are always busy, measured without entries in the
//! same run.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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

const RUNNERS: usize = 6;
/// Slots of a runner that standard requests may use: the other two are reserved for lookups.
const GENERAL_SLOTS: usize = 6;
const RUN_MS: u64 = 20;
const DEADLINE: Duration = Duration::from_secs(1);
const GOODPUT_TARGET: f64 = 0.9;
const REFUSAL_TARGET_MS: f64 = 10.0;
const LOOKUP_RATE_PER_S: f64 = 200.0;
const RECALCULATION_RUN_MS: u64 = 400;
const LOOKUP_FACTOR_TARGET: f64 = 2.0;

/// Goodput and waiting beyond capacity.
#[derive(FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// a shorter time
    #[argh(switch)]
    quick: bool,
}

/// Measures capacity, overload at two and five times the capacity, lookups during recalculations,
/// and the baseline without entries.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("overload", arguments.seed);
    let cluster = Cluster::start(3, RUNNERS)?;
    let duration = Duration::from_secs(if arguments.quick { 3 } else { 10 });
    let capacity = capacity(&cluster, duration.min(Duration::from_secs(3)));
    report.baseline("capacity_per_s", capacity);
    let standard = |selector: TargetSelector, prefix: &'static str, rate_per_s: f64| Load {
        selector,
        prefix,
        rate_per_s,
        duration,
        class: RequestClass::Standard,
        run_ms: RUN_MS,
        deadline: DEADLINE,
        idempotent: true,
        seed: arguments.seed,
    };
    for times in [2.0, 5.0] {
        let rate_per_s = capacity * times;
        let entries = cluster.run(standard(cluster.through_entries(), "/logbook", rate_per_s));
        let share = goodput_per_s(&entries, duration) / capacity;
        let refusal = quantile_ms(&entries, Outcome::Refused, 0.99);
        report.at_least(format!("goodput_{times}x"), share, GOODPUT_TARGET);
        report.at_most(
            format!("refusal_p99_ms_{times}x"),
            refusal,
            REFUSAL_TARGET_MS,
        );
        let median = quantile_ms(&entries, Outcome::Refused, 0.5);
        report.metric(format!("refusal_p50_ms_{times}x"), median);
        let p90 = quantile_ms(&entries, Outcome::Refused, 0.9);
        report.metric(format!("refusal_p90_ms_{times}x"), p90);
        let unknown =
            count_outcome(&entries, Outcome::Unknown) + count_outcome(&entries, Outcome::Lost);
        report.metric(format!("unknown_or_lost_{times}x"), unknown as f64);
        let p99 = quantile_ms(&entries, Outcome::Done, 0.99);
        report.metric(format!("done_p99_ms_{times}x"), p99);
    }
    measure_lookups(arguments, &cluster, &mut report, duration);
    // The baseline without admission control comes last, because its backlog remains in the runners
    // after its load has ended.
    let direct = cluster.run(standard(cluster.direct(), "", capacity * 2.0));
    report.baseline("load_average", load_average());
    report.baseline("goodput_2x", goodput_per_s(&direct, duration) / capacity);
    report.baseline("done_p99_ms_2x", quantile_ms(&direct, Outcome::Done, 0.99));
    Ok(report)
}

/// Measures lookups alone, then during recalculations that occupy all general slots: they arrive at
/// 1.5 times the capacity of these slots.
fn measure_lookups(
    arguments: &Arguments,
    cluster: &Cluster,
    report: &mut Report,
    duration: Duration,
) {
    let lookups = Load {
        selector: cluster.through_entries(),
        prefix: "/logbook",
        rate_per_s: LOOKUP_RATE_PER_S,
        duration,
        class: RequestClass::Lookup,
        run_ms: 2,
        deadline: DEADLINE,
        idempotent: true,
        seed: arguments.seed + 1,
    };
    let idle = cluster.run(lookups.clone());
    let slots = (RUNNERS * GENERAL_SLOTS) as f64;
    let recalculations = Load {
        rate_per_s: 1.5 * slots * 1000.0 / RECALCULATION_RUN_MS as f64,
        duration: duration + Duration::from_secs(2),
        class: RequestClass::Recalculation,
        run_ms: RECALCULATION_RUN_MS,
        deadline: Duration::from_secs(10),
        seed: arguments.seed + 2,
        ..lookups.clone()
    };
    let loaded = cluster.runtime.block_on(async {
        let background = tokio::spawn(crate::requests::generator::run(recalculations));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let samples = crate::requests::generator::run(lookups).await;
        background.abort();
        samples
    });
    let idle_p99_ms = quantile_ms(&idle, Outcome::Done, 0.99);
    let loaded_p99_ms = quantile_ms(&loaded, Outcome::Done, 0.99);
    report.metric("lookup_idle_p99_ms", idle_p99_ms);
    report.metric("lookup_beside_p99_ms", loaded_p99_ms);
    let failed = loaded.len() - count_outcome(&loaded, Outcome::Done);
    report.metric("lookup_beside_not_done", failed as f64);
    let factor = loaded_p99_ms / idle_p99_ms;
    report.at_most("lookup_factor", factor, LOOKUP_FACTOR_TARGET);
}

/// Returns the requests per second that were done within their deadline.
fn goodput_per_s(samples: &[Sample], duration: Duration) -> f64 {
    let in_time = samples
        .iter()
        .filter(|sample| sample.outcome == Outcome::Done && sample.latency <= DEADLINE)
        .count();
    in_time as f64 / duration.as_secs_f64()
}

/// Measures the requests per second that the general slots complete when they are always busy.
fn capacity(cluster: &Cluster, duration: Duration) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    cluster.runtime.block_on(async {
        let until = Instant::now() + duration;
        let mut tasks = Vec::new();
        for target in cluster.runner_addresses() {
            for _ in 0..GENERAL_SLOTS {
                let done = done.clone();
                tasks.push(tokio::spawn(async move {
                    crate::requests::generator::run_closed_loop(target, RUN_MS, until, &done).await;
                }));
            }
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    done.load(Ordering::Relaxed) as f64 / duration.as_secs_f64()
}

/// Returns the load average of the machine over one minute, or 0 if it is not available. A high
/// value explains long latencies: other work on the machine delays every wakeup.
fn load_average() -> f64 {
    std::fs::read_to_string("/proc/loadavg")
        .ok()
        .and_then(|text| text.split(' ').next()?.parse().ok())
        .unwrap_or(0.0)
}
