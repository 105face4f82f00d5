//! Cost of control: how state size, memory and processor time grow with the cluster.
//!
//! A leader with its state and placer serves workers that sync, start and end tasks on a virtual
//! clock. The time spent in calls to the leader and the state, divided by the virtual time, is the
//! share of a core that control takes. Codecs, sockets and disks are not included.

use std::time::Instant;

use anyhow::Context as _;
use argh::FromArgs;
use sapphirepost_process::process_metrics;

use crate::clusters::DESIGN;
use crate::control::bench::Bench;
use crate::report::Report;

mod agent;
mod bench;

/// Maximum share of a core that control may take at the largest size.
const CORE_SHARE_TARGET: f64 = 0.023;

/// Maximum memory of a control process at the largest size.
const MEMORY_TARGET_MIB: f64 = 256.0;

/// Maximum ratio of the cost per worker in the largest cluster to that in the smallest.
const GROWTH_TARGET: f64 = 2.0;

/// Virtual time before the measurement, in which tasks start until their number is steady.
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

/// Cost of control at one cluster size.
struct Cost {
    state_bytes: f64,
    /// Resident memory that this process gained from the bench, simulated workers included.
    memory_mib: f64,
    core_share: f64,
    tick_p99_us: f64,
    running: f64,
}

/// Measures the cost at three cluster sizes. The smallest cluster is the baseline.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("control", arguments.seed);
    let measured_ms = if arguments.quick { 5_000 } else { 60_000 };
    let sizes = [50, 200, 800];
    let mut costs = Vec::new();
    // Benches stay allocated: memory reused from an earlier one would hide what the next one needs.
    let mut benches = Vec::new();
    for workers in sizes {
        let before_mib = resident_mib()?;
        let mut bench = Bench::new(DESIGN.scaled(workers), arguments.seed);
        bench.run(WARM_UP_MS);
        let (calls, cost) = measure(&mut bench, measured_ms, before_mib)?;
        report.metric(format!("calls_{workers}"), calls);
        costs.push((workers, cost));
        benches.push(bench);
    }
    for (workers, cost) in &costs {
        report.metric(format!("state_bytes_{workers}"), cost.state_bytes);
        report.metric(format!("memory_mib_{workers}"), cost.memory_mib);
        report.metric(format!("core_share_{workers}"), cost.core_share);
        report.metric(format!("tick_p99_us_{workers}"), cost.tick_p99_us);
        report.metric(format!("running_{workers}"), cost.running);
    }
    let per_worker = |(workers, value): (u32, f64)| value / f64::from(workers);
    let (small, large) = (&costs[0], &costs[costs.len() - 1]);
    let bytes = per_worker((large.0, large.1.state_bytes));
    let small_bytes = per_worker((small.0, small.1.state_bytes));
    let share = per_worker((large.0, large.1.core_share));
    let small_share = per_worker((small.0, small.1.core_share));
    report.metric("state_bytes_per_worker", bytes);
    report.baseline("state_bytes_per_worker", small_bytes);
    report.metric("core_share_per_worker_ppm", share * 1e6);
    report.baseline("core_share_per_worker_ppm", small_share * 1e6);
    report.at_most("core_share", large.1.core_share, CORE_SHARE_TARGET);
    report.at_most("memory_mib", large.1.memory_mib, MEMORY_TARGET_MIB);
    report.at_most("state_growth", bytes / small_bytes, GROWTH_TARGET);
    report.at_most("core_growth", share / small_share, GROWTH_TARGET);
    Ok(report)
}

/// Runs the bench for `measured_ms` and returns the number of timed calls and the cost.
fn measure(bench: &mut Bench, measured_ms: u64, before_mib: f64) -> anyhow::Result<(f64, Cost)> {
    bench.reset_timing();
    let start = Instant::now();
    bench.run(measured_ms);
    let wall = start.elapsed();
    warn_if_slow(wall.as_secs_f64(), measured_ms);
    let cost = Cost {
        state_bytes: bench.state_bytes() as f64,
        memory_mib: resident_mib()? - before_mib,
        core_share: bench.spent().as_secs_f64() * 1_000.0 / measured_ms as f64,
        tick_p99_us: bench.tick_p99_ns() as f64 / 1_000.0,
        running: bench.running() as f64,
    };
    Ok((bench.calls() as f64, cost))
}

/// Warns if a run took longer than its virtual time: the machine or the bench is then overloaded.
fn warn_if_slow(wall_s: f64, measured_ms: u64) {
    if wall_s * 1_000.0 > measured_ms as f64 {
        eprintln!("{measured_ms} ms of virtual time took {wall_s:.1} s");
    }
}

/// Returns the resident memory of this process.
fn resident_mib() -> anyhow::Result<f64> {
    let bytes = process_metrics::resident_bytes(process_metrics::CURRENT_PROCESS);
    let bytes = bytes.context("the resident memory of this process is not available")?;
    Ok(bytes as f64 / (1_024.0 * 1_024.0))
}
