//! Cost: processor time, memory and traffic of each process of a running cluster, at three numbers
//! of workers.
//!
//! The workers run seven service tasks each on average and sync through the entries. The maxima of
//! five start delays of urgent jobs and of five propagation times of configuration changes are
//! measured as well. For the metrics of control processes and entries, a least-squares line over
//! the sizes gives the slope per worker, and the values at the design size are extrapolated from
//! it. The baseline is computed: the traffic of a worker that reports all of its tasks with each
//! sync.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use argh::FromArgs;
use sapphirepost_protocol::operator::ClusterStatus;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_types::Attempt;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::group::cluster::Cluster;
use crate::group::cluster::ENTRIES;
use crate::group::cluster::Usage;
use crate::group::cluster::core_percent;
use crate::report::Report;

const SIZES: [usize; 3] = [90, 180, 360];
const SIZES_QUICK: [usize; 3] = [30, 60, 90];
const DESIGN_WORKERS: f64 = 800.0;
const DESIGN_ENTRIES: f64 = 7.0;
/// About 5,500 tasks on 800 workers.
const TASKS_PER_WORKER: usize = 7;
const TASK: Resources = Resources::new(1_000, 1_024, 0);
const STATUS_TIMEOUT: Duration = Duration::from_secs(40);
const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASUREMENT_TIME: Duration = Duration::from_secs(15);
const MEASUREMENT_TIME_QUICK: Duration = Duration::from_secs(4);

const COARSE_POLL_INTERVAL: Duration = Duration::from_millis(200);
const FINE_POLL_INTERVAL: Duration = Duration::from_millis(10);
const REPETITIONS: u32 = 5;

const URGENT_START_TARGET_MS: f64 = 1_400.0;
const CONFIG_PROPAGATION_TARGET_MS: f64 = 12_000.0;
const WORKER_BYTES_TARGET: f64 = 3_000.0;
const WORKER_CORE_TARGET_PERCENT: f64 = 2.3;
const WORKER_MEMORY_TARGET_MIB: f64 = 256.0;

/// Processor time, memory and bytes of each process.
#[derive(FromArgs)]
#[argh(subcommand, name = "cost")]
pub struct Arguments {
    /// seed, reported only: the results depend on the processes
    #[argh(option, default = "1")]
    seed: u64,
    /// smaller clusters and a shorter time
    #[argh(switch)]
    quick: bool,
}

/// Usage of all processes and traffic between them at one time.
#[derive(Clone, Copy)]
struct Readings {
    leader: Usage,
    follower: Usage,
    entry: Usage,
    workers: Usage,
    workers_bytes: u64,
    workers_wire_bytes: u64,
    inner_wire_bytes: u64,
}

/// Metrics at one size, with their names. The order is the same at each size.
type Sample = Vec<(&'static str, f64)>;

/// Measures a cluster of each size and extrapolates to the design size.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("cost", arguments.seed);
    let (sizes, time) = match arguments.quick {
        true => (SIZES_QUICK, MEASUREMENT_TIME_QUICK),
        false => (SIZES, MEASUREMENT_TIME),
    };
    let samples: Vec<Sample> = sizes
        .iter()
        .map(|workers| measure(*workers, time))
        .collect::<anyhow::Result<_>>()?;
    for (workers, sample) in sizes.iter().zip(&samples) {
        for (name, value) in sample {
            report.metric(format!("{name}_{workers}"), *value);
        }
    }
    let largest = &samples[samples.len() - 1];
    for (position, (name, _)) in largest.iter().enumerate() {
        if name.starts_with("worker") || name.ends_with("_ms") {
            continue;
        }
        let points: Vec<(f64, f64)> = sizes
            .iter()
            .zip(&samples)
            .map(|(workers, sample)| (*workers as f64, sample[position].1))
            .collect();
        let (offset, slope) = fit_line(&points);
        report.metric(format!("{name}_slope"), slope);
        // An entry serves its share of the workers, and there are more entries at the design size.
        let workers = match name.starts_with("entry") {
            true => DESIGN_WORKERS * ENTRIES as f64 / DESIGN_ENTRIES,
            false => DESIGN_WORKERS,
        };
        report.metric(format!("{name}_at_design_size"), offset + slope * workers);
    }
    let value = |name: &str| {
        let found = largest.iter().find(|(other, _)| *other == name);
        found.map_or(f64::NAN, |(_, value)| *value)
    };
    report.baseline(
        "worker_bytes_per_s_full_reports",
        full_report_bytes_per_s(value("worker_bytes_per_s"))?,
    );
    report.at_most(
        "urgent_start_ms",
        value("urgent_start_ms"),
        URGENT_START_TARGET_MS,
    );
    report.at_most(
        "config_in_force_ms",
        value("config_in_force_ms"),
        CONFIG_PROPAGATION_TARGET_MS,
    );
    let bytes = value("worker_wire_bytes_per_s");
    report.at_most("worker_wire_bytes_per_s", bytes, WORKER_BYTES_TARGET);
    let core = value("worker_core_percent");
    report.at_most("worker_core_percent", core, WORKER_CORE_TARGET_PERCENT);
    let memory = value("worker_memory_mib");
    report.at_most("worker_memory_mib", memory, WORKER_MEMORY_TARGET_MIB);
    Ok(report)
}

fn measure(workers: usize, time: Duration) -> anyhow::Result<Sample> {
    let mut cluster = Cluster::start(workers)?;
    wait_for_status(&cluster, |status| {
        status
            .workers
            .iter()
            .filter(|worker| worker.connected)
            .count()
            == workers
    })?;
    let tasks = (workers * TASKS_PER_WORKER) as u32;
    cluster.group.confirm(Intent::Run(service(tasks)?))?;
    wait_for_status(&cluster, |status| {
        status.jobs.iter().all(|job| job.running == tasks)
    })?;
    thread::sleep(SETTLE_TIME);
    let before = read(&cluster)?;
    let start = Instant::now();
    thread::sleep(time);
    let time = start.elapsed();
    let after = read(&cluster)?;
    let urgent_ms = max_duration_ms(|number| measure_urgent_start(&mut cluster, number))?;
    let config_ms = max_duration_ms(|number| measure_config_propagation(&mut cluster, number))?;
    let count = workers as f64;
    let per_s = |before: u64, after: u64| (after - before) as f64 / time.as_secs_f64();
    let bytes = per_s(before.workers_bytes, after.workers_bytes);
    let wire_bytes = per_s(before.workers_wire_bytes, after.workers_wire_bytes);
    let inner_bytes = per_s(before.inner_wire_bytes, after.inner_wire_bytes);
    let core = |usage: fn(&Readings) -> Usage| core_percent(usage(&before), usage(&after), time);
    Ok(vec![
        ("leader_core_percent", core(|reading| reading.leader)),
        ("leader_memory_mib", after.leader.memory_mib),
        ("follower_core_percent", core(|reading| reading.follower)),
        ("follower_memory_mib", after.follower.memory_mib),
        ("entry_core_percent", core(|reading| reading.entry)),
        ("entry_memory_mib", after.entry.memory_mib),
        ("inner_wire_bytes_per_s", inner_bytes),
        ("urgent_start_ms", urgent_ms),
        ("config_in_force_ms", config_ms),
        (
            "worker_core_percent",
            core(|reading| reading.workers) / count,
        ),
        ("worker_memory_mib", after.workers.memory_mib / count),
        ("worker_bytes_per_s", bytes / count),
        ("worker_wire_bytes_per_s", wire_bytes / count),
    ])
}

/// Runs a measurement [`REPETITIONS`] times and returns the maximum in milliseconds.
fn max_duration_ms(mut run: impl FnMut(u32) -> anyhow::Result<Duration>) -> anyhow::Result<f64> {
    let mut max = Duration::ZERO;
    for number in 0..REPETITIONS {
        max = max.max(run(number)?);
    }
    Ok(max.as_secs_f64() * 1_000.0)
}

/// Measures the time from the submission of an urgent batch job until the leader reports that it
/// runs.
fn measure_urgent_start(cluster: &mut Cluster, number: u32) -> anyhow::Result<Duration> {
    let name = Name::new(&format!("urgent{number}"))?;
    let spec = JobSpec {
        name: name.clone(),
        kind: JobKind::Batch {
            deadline_unix_ms: None,
            run_time_ms: 60_000,
        },
        priority: Priority::Urgent,
        ..service(1)?
    };
    let start = Instant::now();
    cluster.group.confirm(Intent::Run(spec))?;
    poll_status(cluster, FINE_POLL_INTERVAL, |status| {
        status
            .jobs
            .iter()
            .any(|job| job.name == name && job.running == 1)
    })?;
    Ok(start.elapsed())
}

/// Measures the time from the proposal of a configuration change until every entry has confirmed
/// it.
fn measure_config_propagation(cluster: &mut Cluster, number: u32) -> anyhow::Result<Duration> {
    let start = Instant::now();
    let confirmed = cluster.group.confirm(Intent::SetConfig {
        key: Name::new("measured")?,
        value: Some(number.to_string()),
        expected: None,
    })?;
    let version = confirmed
        .config_version
        .context("the confirmed change has no configuration version")?;
    let request = OperatorRequest::WaitConfig {
        version,
        wait_ms: 12_000,
    };
    match cluster.group.request_once(&request)? {
        OperatorReply::InForce { lacking, .. } if lacking.is_empty() => Ok(start.elapsed()),
        reply => anyhow::bail!("not confirmed by every entry: {reply:?}"),
    }
}

fn read(cluster: &Cluster) -> anyhow::Result<Readings> {
    Ok(Readings {
        leader: cluster.leader()?,
        follower: cluster.followers()?,
        entry: cluster.entries()?,
        workers: cluster.workers()?,
        workers_bytes: cluster.worker_traffic.bytes(),
        workers_wire_bytes: cluster.worker_traffic.wire_bytes(),
        inner_wire_bytes: cluster.inner_traffic.wire_bytes(),
    })
}

fn wait_for_status(
    cluster: &Cluster,
    is_done: impl Fn(&ClusterStatus) -> bool,
) -> anyhow::Result<()> {
    poll_status(cluster, COARSE_POLL_INTERVAL, is_done)
}

fn poll_status(
    cluster: &Cluster,
    interval: Duration,
    is_done: impl Fn(&ClusterStatus) -> bool,
) -> anyhow::Result<()> {
    let until = Instant::now() + STATUS_TIMEOUT;
    while Instant::now() < until {
        if let OperatorReply::Status(status) = cluster.group.request(&OperatorRequest::Status)?
            && is_done(&status)
        {
            return Ok(());
        }
        thread::sleep(interval);
    }
    anyhow::bail!("the cluster did not settle within {STATUS_TIMEOUT:?}")
}

fn service(tasks: u32) -> anyhow::Result<JobSpec> {
    Ok(JobSpec {
        name: Name::new("web")?,
        team: Name::new("front")?,
        kind: JobKind::Service,
        tasks,
        resources: TASK,
        priority: Priority::Normal,
        on_partition: None,
        checkpoint_cost_ms: None,
        payload: String::new(),
    })
}

/// Returns the bytes per second of a worker that reports all of its tasks with its one sync per
/// second, given those of a worker that reports only changes.
fn full_report_bytes_per_s(delta_bytes_per_s: f64) -> anyhow::Result<f64> {
    let report = |number| TaskReport {
        task: TaskId(number),
        attempt: Attempt(1),
        status: TaskStatus::Running,
    };
    let tasks: Vec<TaskReport> = (5_000..5_000 + TASKS_PER_WORKER as u32)
        .map(report)
        .collect();
    Ok(delta_bytes_per_s + serde_json::to_string(&tasks)?.len() as f64)
}

/// Returns the offset and the slope of the least-squares line through the points.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}
