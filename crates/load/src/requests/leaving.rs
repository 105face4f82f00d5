//! Leaving: a runner that leaves, and a rolling restart of all entries under load.
//!
//! The load generator acts as the platform's load balancer: it sends only to entries that were
//! ready at its last probe. The baseline kills the entries instead of stopping them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use sapphirepost_types::RequestClass;

use crate::report::Report;
use crate::requests::cluster::Cluster;
use crate::requests::entry;
use crate::requests::entry::EntryAddresses;
use crate::requests::entry::EntryProcess;
use crate::requests::generator;
use crate::requests::generator::Load;
use crate::requests::generator::Outcome;
use crate::requests::generator::Sample;
use crate::requests::generator::TargetSelector;
use crate::requests::generator::count_outcome;

const RUNNERS: usize = 9;
const RATE_PER_S: f64 = 300.0;
const RUN_MS: u64 = 30;
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Duration of the load; longer than the restarts of all entries take.
const RESTART_LOAD_DURATION: Duration = Duration::from_secs(9);
const LAST_NEW_TARGET_MS: f64 = 3_000.0;

/// A leaving runner, and a rolling restart of all entries.
#[derive(FromArgs)]
#[argh(subcommand, name = "leaving")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// a shorter time
    #[argh(switch)]
    quick: bool,
}

/// Measures a leaving runner, then rolling restarts with SIGTERM, and with SIGKILL as the baseline.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("leaving", arguments.seed);
    let mut cluster = Cluster::start(3, RUNNERS)?;
    measure_leaving_runner(arguments, &cluster, &mut report);
    let rounds = if arguments.quick { 1 } else { 3 };
    let mut samples = Vec::new();
    for round in 0..rounds {
        samples.extend(rolling_restart(
            arguments.seed + round,
            &mut cluster,
            stop_entry,
        )?);
    }
    let lost = count_outcome(&samples, Outcome::Lost) + count_outcome(&samples, Outcome::Unknown);
    report.metric("restart_requests", samples.len() as f64);
    report.metric(
        "restart_refused",
        count_outcome(&samples, Outcome::Refused) as f64,
    );
    report.at_most("restart_lost", lost as f64, 0.0);
    report.at_most(
        "mixed",
        count_outcome(&samples, Outcome::Corrupt) as f64,
        0.0,
    );
    let duplicates = cluster.counters.duplicates() as f64;
    report.at_most("non_idempotent_duplicates", duplicates, 0.0);
    let ran = samples
        .iter()
        .filter(|sample| sample.outcome == Outcome::Refused && cluster.counters.ran(&sample.id))
        .count();
    report.at_most("refused_that_ran", ran as f64, 0.0);
    let killed = rolling_restart(arguments.seed + 100, &mut cluster, kill_entry)?;
    let lost = count_outcome(&killed, Outcome::Lost) + count_outcome(&killed, Outcome::Unknown);
    report.baseline("restart_lost", lost as f64);
    Ok(report)
}

/// Returns a load of non-idempotent requests, so that a retry cannot hide a lost request.
fn load(seed: u64, selector: TargetSelector, duration: Duration) -> Load {
    Load {
        selector,
        prefix: "/logbook",
        rate_per_s: RATE_PER_S,
        duration,
        class: RequestClass::Standard,
        run_ms: RUN_MS,
        deadline: Duration::from_secs(5),
        idempotent: false,
        seed,
    }
}

/// Lets one runner leave under load. Measures when it got its last new request and how many
/// requests were aborted at any runner.
fn measure_leaving_runner(arguments: &Arguments, cluster: &Cluster, report: &mut Report) {
    let load = load(
        arguments.seed + 50,
        cluster.through_entries(),
        Duration::from_secs(6),
    );
    let aborted = || cluster.counters.aborted.load(Ordering::Relaxed);
    let before = aborted();
    let samples = cluster.runtime.block_on(async {
        let samples = tokio::spawn(generator::run(load));
        tokio::time::sleep(Duration::from_secs(1)).await;
        cluster.runners[0].leave();
        samples.await.unwrap_or_default()
    });
    let last_new_ms = cluster.counters.last_new_ms.load(Ordering::Relaxed);
    report.at_most("last_new_ms", last_new_ms as f64, LAST_NEW_TARGET_MS);
    report.at_most("in_flight_cut_off", (aborted() - before) as f64, 0.0);
    let not_done = samples.len() - count_outcome(&samples, Outcome::Done);
    report.metric("leaving_not_done", not_done as f64);
}

fn stop_entry(process: EntryProcess) -> anyhow::Result<()> {
    process.stop()
}

fn kill_entry(process: EntryProcess) -> anyhow::Result<()> {
    drop(process);
    Ok(())
}

/// Restarts all entries one after the other under load; `end_process` stops or kills an entry.
fn rolling_restart(
    seed: u64,
    cluster: &mut Cluster,
    end_process: fn(EntryProcess) -> anyhow::Result<()>,
) -> anyhow::Result<Vec<Sample>> {
    let balancer = Balancer::start(cluster.addresses.clone());
    thread::sleep(PROBE_INTERVAL * 2);
    let load = load(seed, balancer.selector(), RESTART_LOAD_DURATION);
    let running = cluster.runtime.spawn(generator::run(load));
    for index in 0..cluster.entries.len() {
        let process = cluster.entries.remove(index);
        end_process(process)?;
        let started = EntryProcess::start(&cluster.addresses[index], &cluster.options)?;
        cluster.entries.insert(index, started);
        entry::wait_ready(&cluster.addresses[index])?;
        thread::sleep(PROBE_INTERVAL * 2);
    }
    Ok(cluster.runtime.block_on(running)?)
}

/// A load balancer that selects among the entries that were ready at the last probe.
struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
}

impl Balancer {
    fn start(entries: Vec<EntryAddresses>) -> Balancer {
        let ready = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        thread::spawn({
            let ready = ready.clone();
            let stop = stop.clone();
            move || probe_entries(&entries, &ready, &stop)
        });
        Balancer { ready, stop }
    }

    fn selector(&self) -> TargetSelector {
        let ready = self.ready.clone();
        Arc::new(move |number| {
            let ready = ready.lock().unwrap_or_else(PoisonError::into_inner);
            let index = (number as usize).checked_rem(ready.len())?;
            ready.get(index).copied()
        })
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Updates `ready` every [`PROBE_INTERVAL`] until `stop` is set.
fn probe_entries(entries: &[EntryAddresses], ready: &Mutex<Vec<SocketAddr>>, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let now: HashSet<usize> = (0..entries.len())
            .filter(|&index| entries[index].is_ready())
            .collect();
        let mut addresses: Vec<SocketAddr> = now
            .into_iter()
            .map(|index| entries[index].callers)
            .collect();
        addresses.sort_unstable();
        *ready.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
        thread::sleep(PROBE_INTERVAL);
    }
}
