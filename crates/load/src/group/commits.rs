//! Commits: placements per second through control processes with disks.
//!
//! Simulated workers finish each task at once, so the rate is that of deciding, committing and
//! delivering. Jobs first arrive at a fixed rate above the target, where the time of a commit is
//! measured from outside with claims; then they arrive at once, which gives the highest rate. The
//! baseline is a group of one process.

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
use crate::group::simulated_worker::Observed;
use crate::group::simulated_worker::SimulatedWorker;
use crate::report::Report;

const GROUP_SIZE: usize = 3;
const WORKERS: u64 = 800;
/// Entries that relay the syncs of the workers; each has one connection.
const RELAYS: usize = 6;
/// 400 tasks every 100 ms are 4,000 placements a second, a third above the target.
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
    /// seed, reported only: the figures depend on the processes
    #[argh(option, default = "1")]
    seed: u64,
    /// fewer tasks
    #[argh(switch)]
    quick: bool,
}

/// Jobs that arrive one after the other.
#[derive(Clone, Copy)]
struct Offered {
    prefix: &'static str,
    jobs: u32,
    tasks_per_job: u32,
    interval: Duration,
}

struct Measured {
    placements_per_s: f64,
    burst_placements_per_s: f64,
    commit_us: Histogram<u64>,
}

/// Runs the experiment.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("commits", arguments.seed);
    let paced = Offered {
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
    report.figure("burst_placements_per_s", group.burst_placements_per_s);
    report.figure("commit_p50_ms", group.commit_ms(0.5));
    report.figure("commits_measured", group.commit_us.len() as f64);
    report.at_least("placements_per_s", group.placements_per_s, RATE_TARGET);
    report.at_most("commit_p99_ms", group.commit_ms(0.99), COMMIT_TARGET_MS);
    Ok(report)
}

impl Measured {
    fn commit_ms(&self, quantile: f64) -> f64 {
        self.commit_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

fn measure(size: usize, paced: Offered) -> anyhow::Result<Measured> {
    let mut group = Group::start(size)?;
    let observed = Arc::new(Observed::default());
    start_workers(&group, &observed)?;
    wait(CONNECT_TIMEOUT, || {
        observed.connected.load(Ordering::Relaxed) >= WORKERS
    })?;
    let probing = Arc::new(AtomicBool::new(true));
    let probes = group
        .runtime
        .spawn(probe(group.new_client()?, probing.clone()));
    let placements_per_s = place(&mut group, &observed, paced)?;
    probing.store(false, Ordering::Relaxed);
    let commit_us = group.runtime.block_on(probes)??;
    let burst = Offered {
        prefix: "burst",
        jobs: BURST_JOBS,
        tasks_per_job: BURST_TASKS,
        interval: Duration::ZERO,
    };
    let burst_placements_per_s = place(&mut group, &observed, burst)?;
    observed.ended.store(true, Ordering::Relaxed);
    Ok(Measured {
        placements_per_s,
        burst_placements_per_s,
        commit_us,
    })
}

/// Offers jobs and returns how many placements a second were delivered to workers.
fn place(group: &mut Group, observed: &Observed, offered: Offered) -> anyhow::Result<f64> {
    let placements = u64::from(offered.tasks_per_job * offered.jobs);
    let wanted = observed.started.load(Ordering::Relaxed) + placements;
    let start = Instant::now();
    for job in 0..offered.jobs {
        let due = start + offered.interval * job;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let name = Name::new(&format!("{}{job}", offered.prefix))?;
        group.confirm(Intent::Run(batch(name, offered.tasks_per_job)?))?;
    }
    wait(PLACE_TIMEOUT, || {
        observed.started.load(Ordering::Relaxed) >= wanted
    })?;
    let last = *observed
        .last_start
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let took = last.unwrap_or(start).duration_since(start);
    Ok(placements as f64 / took.as_secs_f64())
}

fn start_workers(group: &Group, observed: &Arc<Observed>) -> anyhow::Result<()> {
    let relays: Vec<ControlClient> = (0..RELAYS)
        .map(|_| group.new_client())
        .collect::<anyhow::Result<_>>()?;
    for number in 0..WORKERS {
        let name = Name::new(&format!("worker{number}"))?;
        let spec = WorkerSpec {
            failure_domain: Name::new(&format!("domain{}", number % 9))?,
            rack: Name::new(&format!("rack{}", number / 8))?,
            capacity: CAPACITY,
        };
        let worker = SimulatedWorker::new(name, spec, observed.clone());
        let relay = relays[number as usize % RELAYS].clone();
        group.runtime.spawn(worker.run(relay));
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

/// Claims requests one after the other and records how long each takes, in microseconds.
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

fn wait(timeout: Duration, condition: impl Fn() -> bool) -> anyhow::Result<()> {
    let until = Instant::now() + timeout;
    while !condition() {
        anyhow::ensure!(Instant::now() < until, "not within {timeout:?}");
        thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
