//! Commits: placements per second through control processes that write to disks.
//!
//! Simulated workers finish each task at once, so the rate is limited by deciding, committing and
//! delivering placements. Jobs first arrive at a fixed rate above the target, while claims measure
//! the commit latency from outside the group. Then jobs are submitted without pauses, which gives
//! the maximum rate. The baseline is a group of one process.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use argh::FromArgs;
use hdrhistogram::Histogram;
use sapphirepost_entry::control_client::CallOptions;
use sapphirepost_entry::control_client::ControlClient;
use sapphirepost_entry::control_client::RetryPolicy;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::method;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::RequestId;
use sapphirepost_types::Resources;

use crate::group::processes::Group;
use crate::group::simulated_worker::SimulatedWorker;
use crate::group::simulated_worker::WorkerCounters;
use crate::report::Report;

const GROUP_SIZE: usize = 3;
const WORKERS: u64 = 800;
/// Clients that send the syncs of the workers, as entries do; each has one connection.
const RELAY_CLIENTS: usize = 6;
/// Tasks per job at the fixed rate: 400 every 100 ms are 4,000 placements per second, a third above
/// the target.
const PACED_TASKS: u32 = 400;
const PACED_INTERVAL: Duration = Duration::from_millis(100);
const PACED_JOBS: u32 = 100;
const PACED_JOBS_QUICK: u32 = 30;
const BURST_TASKS: u32 = 2_000;
const BURST_JOBS: u32 = 10;
const CAPACITY: Resources = Resources::new(64_000, 262_144, 2);
const TASK: Resources = Resources::new(500, 512, 0);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(15);
const PLACE_TIMEOUT: Duration = Duration::from_secs(30);
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
const RATE_TARGET: f64 = 3_000.0;
const COMMIT_TARGET_MS: f64 = 20.0;

/// Placements committed through control processes with disks.
#[derive(FromArgs)]
#[argh(subcommand, name = "commits")]
pub struct Arguments {
    /// seed, reported only: the results depend on the processes
    #[argh(option, default = "1")]
    seed: u64,
    /// fewer tasks
    #[argh(switch)]
    quick: bool,
}

/// Jobs that arrive at a fixed interval.
#[derive(Clone, Copy)]
struct OfferedLoad {
    prefix: &'static str,
    jobs: u32,
    tasks_per_job: u32,
    interval: Duration,
}

/// Results of a group of one size.
struct GroupStats {
    placements_per_s: f64,
    burst_placements_per_s: f64,
    /// Commit latencies at the fixed rate.
    commit_us: Histogram<u64>,
}

/// Measures a single control process as the baseline, then a group of three.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("commits", arguments.seed);
    let paced = OfferedLoad {
        prefix: "paced",
        jobs: if arguments.quick {
            PACED_JOBS_QUICK
        } else {
            PACED_JOBS
        },
        tasks_per_job: PACED_TASKS,
        interval: PACED_INTERVAL,
    };
    let single = measure(1, paced)?;
    report.baseline("single_placements_per_s", single.placements_per_s);
    report.baseline(
        "single_burst_placements_per_s",
        single.burst_placements_per_s,
    );
    report.baseline("single_commit_p99_ms", single.commit_ms(0.99));
    let group = measure(GROUP_SIZE, paced)?;
    report.metric("burst_placements_per_s", group.burst_placements_per_s);
    report.metric("commit_p50_ms", group.commit_ms(0.5));
    report.metric("commits_measured", group.commit_us.len() as f64);
    report.at_least("placements_per_s", group.placements_per_s, RATE_TARGET);
    report.at_most("commit_p99_ms", group.commit_ms(0.99), COMMIT_TARGET_MS);
    Ok(report)
}

impl GroupStats {
    fn commit_ms(&self, quantile: f64) -> f64 {
        self.commit_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn measure(size: usize, paced: OfferedLoad) -> anyhow::Result<GroupStats> {
    let mut group = Group::start(size)?;
    let counters = Arc::new(WorkerCounters::default());
    start_workers(&group, &counters)?;
    wait_until(CONNECT_TIMEOUT, || {
        counters.connected.load(Ordering::Relaxed) >= WORKERS
    })?;
    let probing = Arc::new(AtomicBool::new(true));
    let probes = group
        .runtime
        .spawn(probe(group.new_client()?, probing.clone()));
    let placements_per_s = offer_jobs(&mut group, &counters, paced)?;
    probing.store(false, Ordering::Relaxed);
    let commit_us = group.runtime.block_on(probes)??;
    let burst = OfferedLoad {
        prefix: "burst",
        jobs: BURST_JOBS,
        tasks_per_job: BURST_TASKS,
        interval: Duration::ZERO,
    };
    let burst_placements_per_s = offer_jobs(&mut group, &counters, burst)?;
    counters.stop.store(true, Ordering::Relaxed);
    Ok(GroupStats {
        placements_per_s,
        burst_placements_per_s,
        commit_us,
    })
}

/// Submits jobs and returns the number of placements per second that reached workers.
fn offer_jobs(
    group: &mut Group,
    counters: &WorkerCounters,
    load: OfferedLoad,
) -> anyhow::Result<f64> {
    let placements = u64::from(load.tasks_per_job * load.jobs);
    let target = counters.started.load(Ordering::Relaxed) + placements;
    let start = Instant::now();
    for job in 0..load.jobs {
        let due = start + load.interval * job;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let name = Name::new(&format!("{}{job}", load.prefix))?;
        group.confirm(Intent::Run(batch(name, load.tasks_per_job)?))?;
    }
    wait_until(PLACE_TIMEOUT, || {
        counters.started.load(Ordering::Relaxed) >= target
    })?;
    let last = *counters
        .last_start
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let duration = last.unwrap_or(start).duration_since(start);
    Ok(placements as f64 / duration.as_secs_f64())
}

fn start_workers(group: &Group, counters: &Arc<WorkerCounters>) -> anyhow::Result<()> {
    let clients: Vec<ControlClient> = (0..RELAY_CLIENTS)
        .map(|_| group.new_client())
        .collect::<anyhow::Result<_>>()?;
    for number in 0..WORKERS {
        let name = Name::new(&format!("worker{number}"))?;
        let spec = WorkerSpec {
            failure_domain: Name::new(&format!("domain{}", number % 9))?,
            rack: Name::new(&format!("rack{}", number / 8))?,
            capacity: CAPACITY,
        };
        let worker = SimulatedWorker::new(name, spec, counters.clone());
        let client = clients[number as usize % RELAY_CLIENTS].clone();
        group.runtime.spawn(worker.run(client));
    }
    Ok(())
}

fn batch(name: Name, tasks: u32) -> anyhow::Result<JobSpec> {
    Ok(JobSpec {
        name,
        team: Name::new("team")?,
        kind: JobKind::Batch {
            deadline_unix_ms: None,
            run_time_ms: 1_000,
        },
        tasks,
        resources: TASK,
        priority: Priority::Normal,
        on_partition: None,
        checkpoint_cost_ms: None,
        payload: String::new(),
    })
}

/// Claims requests one after the other and records the latency of each, in microseconds.
async fn probe(client: ControlClient, probing: Arc<AtomicBool>) -> anyhow::Result<Histogram<u64>> {
    let options = CallOptions {
        total_timeout: Duration::from_secs(5),
        attempt_timeout: Duration::from_secs(5),
        retry: RetryPolicy::AtMostOnce,
    };
    let mut times_us = Histogram::new(3)?;
    let mut token = 0;
    while probing.load(Ordering::Relaxed) {
        token += 1;
        let batch = one_claim(token)?;
        let start = Instant::now();
        let _: ClaimReply = client.call(method::CLAIM, &batch, options).await?;
        times_us.record(start.elapsed().as_micros() as u64)?;
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
    Ok(times_us)
}

fn one_claim(token: u64) -> anyhow::Result<ClaimBatch> {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?;
    let claim = Claim {
        service: Name::new("logbook")?,
        request: RequestId::new(unix.as_millis() as u64, &format!("probe{token}"))?,
        digest: token,
        token,
    };
    Ok(ClaimBatch {
        entry: EntryId(1),
        incarnation: Incarnation(1),
        claims: vec![claim],
        outcomes: Vec::new(),
    })
}

fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> anyhow::Result<()> {
    let until = Instant::now() + timeout;
    while !condition() {
        anyhow::ensure!(
            Instant::now() < until,
            "the workers did not get ready or start all tasks within {timeout:?}"
        );
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
