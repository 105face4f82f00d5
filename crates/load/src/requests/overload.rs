//! Overload: goodput beyond capacity, the time to a refusal, and lookups beside recalculations.
//!
//! Capacity is what the six slots of each runner that standard requests may use complete when
//! they are always busy, measured without entries in the same run.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

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

const RUNNERS: usize = 6;
const GENERAL_SLOTS: usize = 6;
const RUN_MS: u64 = 20;
const DEADLINE: Duration = Duration::from_secs(1);
const GOODPUT_TARGET: f64 = 0.9;
const REFUSAL_TARGET_MS: f64 = 10.0;
const LOOKUP_RATE: f64 = 200.0;
const RECALCULATION_MS: u64 = 400;
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

/// Runs the experiment.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("overload", arguments.seed);
    let cluster = Cluster::start(3, RUNNERS)?;
    let duration = Duration::from_secs(if arguments.quick { 3 } else { 10 });
    let capacity = capacity(&cluster, duration.min(Duration::from_secs(3)));
    report.baseline("capacity_per_s", capacity);
    let standard = |balance: Balance, prefix: &'static str, rate: f64| Load {
        balance,
        prefix,
        rate,
        duration,
        class: RequestClass::Standard,
        run_ms: RUN_MS,
        deadline: DEADLINE,
        idempotent: true,
        seed: arguments.seed,
    };
    for times in [2.0, 5.0] {
        let rate = capacity * times;
        let entries = cluster.run(standard(cluster.through_entries(), "/logbook", rate));
        let share = goodput(&entries, duration) / capacity;
        let refusal = quantile_ms(&entries, End::Refused, 0.99);
        report.at_least(format!("goodput_{times}x"), share, GOODPUT_TARGET);
        report.at_most(
            format!("refusal_p99_ms_{times}x"),
            refusal,
            REFUSAL_TARGET_MS,
        );
        let median = quantile_ms(&entries, End::Refused, 0.5);
        report.figure(format!("refusal_p50_ms_{times}x"), median);
        let p90 = quantile_ms(&entries, End::Refused, 0.9);
        report.figure(format!("refusal_p90_ms_{times}x"), p90);
        let unknown = count(&entries, End::Unknown) + count(&entries, End::Lost);
        report.figure(format!("unknown_or_lost_{times}x"), unknown as f64);
        let p99 = quantile_ms(&entries, End::Done, 0.99);
        report.figure(format!("done_p99_ms_{times}x"), p99);
    }
    lookups(arguments, &cluster, &mut report, duration);
    // The unlimited baseline comes last, because its backlog outlives it.
    let direct = cluster.run(standard(cluster.direct(), "", capacity * 2.0));
    report.baseline("load_average", load_average());
    report.baseline("goodput_2x", goodput(&direct, duration) / capacity);
    report.baseline("done_p99_ms_2x", quantile_ms(&direct, End::Done, 0.99));
    Ok(report)
}

/// Lookups alone, and beside recalculations that use everything else.
fn lookups(arguments: &Arguments, cluster: &Cluster, report: &mut Report, duration: Duration) {
    let lookups = Load {
        balance: cluster.through_entries(),
        prefix: "/logbook",
        rate: LOOKUP_RATE,
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
        rate: 1.5 * slots * 1000.0 / RECALCULATION_MS as f64,
        duration: duration + Duration::from_secs(2),
        class: RequestClass::Recalculation,
        run_ms: RECALCULATION_MS,
        deadline: Duration::from_secs(10),
        seed: arguments.seed + 2,
        ..lookups.clone()
    };
    let beside = cluster.runtime.block_on(async {
        let background = tokio::spawn(crate::requests::generator::run(recalculations));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let samples = crate::requests::generator::run(lookups).await;
        background.abort();
        samples
    });
    let idle_p99 = quantile_ms(&idle, End::Done, 0.99);
    let beside_p99 = quantile_ms(&beside, End::Done, 0.99);
    report.figure("lookup_idle_p99_ms", idle_p99);
    report.figure("lookup_beside_p99_ms", beside_p99);
    let failed = beside.len() - count(&beside, End::Done);
    report.figure("lookup_beside_not_done", failed as f64);
    let factor = beside_p99 / idle_p99;
    report.at_most("lookup_factor", factor, LOOKUP_FACTOR_TARGET);
}

/// Requests that were done before their deadline, per second.
fn goodput(samples: &[Sample], duration: Duration) -> f64 {
    let in_time = samples
        .iter()
        .filter(|sample| sample.end == End::Done && sample.took <= DEADLINE)
        .count();
    in_time as f64 / duration.as_secs_f64()
}

/// Requests per second that the general slots complete when they are always busy.
fn capacity(cluster: &Cluster, duration: Duration) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    cluster.runtime.block_on(async {
        let until = Instant::now() + duration;
        let mut tasks = Vec::new();
        for target in cluster.runner_addresses() {
            for _ in 0..GENERAL_SLOTS {
                let done = done.clone();
                tasks.push(tokio::spawn(async move {
                    crate::requests::generator::closed(target, RUN_MS, until, &done).await;
                }));
            }
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    done.load(Ordering::Relaxed) as f64 / duration.as_secs_f64()
}

/// The load average of the machine; other work on it delays every wakeup.
fn load_average() -> f64 {
    std::fs::read_to_string("/proc/loadavg")
        .ok()
        .and_then(|text| text.split(' ').next()?.parse().ok())
        .unwrap_or(0.0)
}
