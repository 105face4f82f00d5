//! Cost of control: how state, memory and time grow with the cluster.
//!
//! A leader with its state and placement serves workers that sync, start and end tasks on a
//! virtual clock. The time spent in calls of the leader and the state, over the virtual time, is
//! the share of a core that decisions take; codecs, sockets and disks are not part of it.

use std::time::Instant;

use anyhow::Context as _;
use argh::FromArgs;
use sapphirepost_process::process_metrics;

use crate::clusters::DESIGN;
use crate::control::bench::Bench;
use crate::report::Report;

mod agent;
mod bench;

/// The largest share of a core that control may take.
const CORE_TARGET: f64 = 0.023;

/// The most memory of a control process in MiB.
const MEMORY_TARGET_MIB: f64 = 256.0;

/// How much more a worker of the largest cluster may cost than one of the smallest.
const GROWTH_TARGET: f64 = 2.0;

/// Virtual time before the measurement, in which the cluster fills.
const WARM_UP_MS: u64 = 60_000;

/// How control grows with the cluster.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// a shorter time
    #[argh(switch)]
    quick: bool,
}

/// What was measured at one size.
struct Cost {
    state_bytes: f64,
    memory_mib: f64,
    core_share: f64,
    decide_p99_us: f64,
    running: f64,
}

/// Runs the experiment. The smallest cluster is the baseline.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("control", arguments.seed);
    let measured_ms = if arguments.quick { 5_000 } else { 60_000 };
    let sizes = [50, 200, 800];
    let mut costs = Vec::new();
    // The benches are kept, so that each growth of the process belongs to one of them.
    let mut benches = Vec::new();
    for workers in sizes {
        let before_mib = resident_mib()?;
        let mut bench = Bench::new(DESIGN.scaled(workers), arguments.seed);
        bench.run(WARM_UP_MS);
        let (spent, cost) = measure(&mut bench, measured_ms, before_mib)?;
        report.figure(format!("calls_{workers}"), spent);
        costs.push((workers, cost));
        benches.push(bench);
    }
    for (workers, cost) in &costs {
        report.figure(format!("state_bytes_{workers}"), cost.state_bytes);
        report.figure(format!("memory_mib_{workers}"), cost.memory_mib);
        report.figure(format!("core_share_{workers}"), cost.core_share);
        report.figure(format!("tick_p99_us_{workers}"), cost.decide_p99_us);
        report.figure(format!("running_{workers}"), cost.running);
    }
    let per_worker = |(workers, value): (u32, f64)| value / f64::from(workers);
    let (small, large) = (&costs[0], &costs[costs.len() - 1]);
    let bytes = per_worker((large.0, large.1.state_bytes));
    let small_bytes = per_worker((small.0, small.1.state_bytes));
    let share = per_worker((large.0, large.1.core_share));
    let small_share = per_worker((small.0, small.1.core_share));
    report.figure("state_bytes_per_worker", bytes);
    report.baseline("state_bytes_per_worker", small_bytes);
    report.figure("core_share_per_worker_ppm", share * 1e6);
    report.baseline("core_share_per_worker_ppm", small_share * 1e6);
    report.at_most("core_share", large.1.core_share, CORE_TARGET);
    report.at_most("memory_mib", large.1.memory_mib, MEMORY_TARGET_MIB);
    report.at_most("state_growth", bytes / small_bytes, GROWTH_TARGET);
    report.at_most("core_growth", share / small_share, GROWTH_TARGET);
    Ok(report)
}

/// Returns the number of timed calls and the cost.
fn measure(bench: &mut Bench, measured_ms: u64, before_mib: f64) -> anyhow::Result<(f64, Cost)> {
    bench.reset_timing();
    let start = Instant::now();
    bench.run(measured_ms);
    let wall = start.elapsed();
    log_slow(wall.as_secs_f64(), measured_ms);
    let cost = Cost {
        state_bytes: bench.state_bytes() as f64,
        memory_mib: resident_mib()? - before_mib,
        core_share: bench.spent().as_secs_f64() * 1_000.0 / measured_ms as f64,
        decide_p99_us: bench.tick_p99_ns() as f64 / 1_000.0,
        running: bench.running() as f64,
    };
    Ok((bench.calls() as f64, cost))
}

/// A run slower than its virtual time shows that the machine, or the bench, is overloaded.
fn log_slow(wall_s: f64, measured_ms: u64) {
    if wall_s * 1_000.0 > measured_ms as f64 {
        eprintln!("{measured_ms} ms of virtual time took {wall_s:.1} s");
    }
}

/// The resident memory of this process.
fn resident_mib() -> anyhow::Result<f64> {
    let bytes = process_metrics::resident_bytes(process_metrics::CURRENT_PROCESS);
    let bytes = bytes.context("the memory use is not listed")?;
    Ok(bytes as f64 / (1_024.0 * 1_024.0))
}
