//! Leaving: a runner that leaves, and a rolling restart of all entries under load.
//!
//! The load generator acts as the platform's balancer: it sends only to entries that were ready
//! when it last looked. The baseline kills the entries instead of stopping them.

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
use crate::requests::generator::Balance;
use crate::requests::generator::End;
use crate::requests::generator::Load;
use crate::requests::generator::Sample;
use crate::requests::generator::count;

const RUNNERS: usize = 9;
const RATE: f64 = 300.0;
const RUN_MS: u64 = 30;
const PROBE: Duration = Duration::from_millis(200);
/// The time that the restarts of all entries take, with room.
const RESTART_LOAD: Duration = Duration::from_secs(9);
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

/// Runs the experiment.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("leaving", arguments.seed);
    let mut cluster = Cluster::start(3, RUNNERS)?;
    leaving_runner(arguments, &cluster, &mut report);
    let rounds = if arguments.quick { 1 } else { 3 };
    let mut samples = Vec::new();
    for round in 0..rounds {
        samples.extend(restart(arguments.seed + round, &mut cluster, stop_one)?);
    }
    let lost = count(&samples, End::Lost) + count(&samples, End::Unknown);
    report.figure("restart_requests", samples.len() as f64);
    report.figure("restart_refused", count(&samples, End::Refused) as f64);
    report.at_most("restart_lost", lost as f64, 0.0);
    report.at_most("mixed", count(&samples, End::Mixed) as f64, 0.0);
    let duplicates = cluster.observed.duplicates() as f64;
    report.at_most("non_idempotent_duplicates", duplicates, 0.0);
    let ran = samples
        .iter()
        .filter(|sample| sample.end == End::Refused && cluster.observed.ran(&sample.id))
        .count();
    report.at_most("refused_that_ran", ran as f64, 0.0);
    let killed = restart(arguments.seed + 100, &mut cluster, kill_one)?;
    let lost = count(&killed, End::Lost) + count(&killed, End::Unknown);
    report.baseline("restart_lost", lost as f64);
    Ok(report)
}

/// Non-idempotent requests, so that nothing is tried twice to hide a loss.
fn load(seed: u64, balance: Balance, duration: Duration) -> Load {
    Load {
        balance,
        prefix: "/logbook",
        rate: RATE,
        duration,
        class: RequestClass::Standard,
        run_ms: RUN_MS,
        deadline: Duration::from_secs(5),
        idempotent: false,
        seed,
    }
}

fn leaving_runner(arguments: &Arguments, cluster: &Cluster, report: &mut Report) {
    let load = load(
        arguments.seed + 50,
        cluster.through_entries(),
        Duration::from_secs(6),
    );
    let cut_off = || cluster.observed.cut_off.load(Ordering::Relaxed);
    let before = cut_off();
    let samples = cluster.runtime.block_on(async {
        let samples = tokio::spawn(generator::run(load));
        tokio::time::sleep(Duration::from_secs(1)).await;
        cluster.runners[0].leave();
        samples.await.unwrap_or_default()
    });
    let last_new_ms = cluster.observed.last_new_ms.load(Ordering::Relaxed);
    report.at_most("last_new_ms", last_new_ms as f64, LAST_NEW_TARGET_MS);
    report.at_most("in_flight_cut_off", (cut_off() - before) as f64, 0.0);
    let not_done = samples.len() - count(&samples, End::Done);
    report.figure("leaving_not_done", not_done as f64);
}

fn stop_one(process: EntryProcess) -> anyhow::Result<()> {
    process.stop()
}

fn kill_one(process: EntryProcess) -> anyhow::Result<()> {
    drop(process);
    Ok(())
}

/// Restarts all entries one after the other under load.
fn restart(
    seed: u64,
    cluster: &mut Cluster,
    end: fn(EntryProcess) -> anyhow::Result<()>,
) -> anyhow::Result<Vec<Sample>> {
    let balancer = Balancer::start(cluster.addresses.clone());
    thread::sleep(PROBE * 2);
    let load = load(seed, balancer.balance(), RESTART_LOAD);
    let running = cluster.runtime.spawn(generator::run(load));
    for index in 0..cluster.entries.len() {
        let process = cluster.entries.remove(index);
        end(process)?;
        let started = EntryProcess::start(&cluster.addresses[index], &cluster.options)?;
        cluster.entries.insert(index, started);
        entry::wait_ready(&cluster.addresses[index])?;
        thread::sleep(PROBE * 2);
    }
    Ok(cluster.runtime.block_on(running)?)
}

/// Knows which entries were ready at the last look.
struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    ended: Arc<AtomicBool>,
}

impl Balancer {
    fn start(entries: Vec<EntryAddresses>) -> Balancer {
        let ready = Arc::new(Mutex::new(Vec::new()));
        let ended = Arc::new(AtomicBool::new(false));
        thread::spawn({
            let ready = ready.clone();
            let ended = ended.clone();
            move || probe(&entries, &ready, &ended)
        });
        Balancer { ready, ended }
    }

    fn balance(&self) -> Balance {
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
        self.ended.store(true, Ordering::Relaxed);
    }
}

fn probe(entries: &[EntryAddresses], ready: &Mutex<Vec<SocketAddr>>, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
        let now: HashSet<usize> = (0..entries.len())
            .filter(|&index| entries[index].is_ready())
            .collect();
        let mut addresses: Vec<SocketAddr> = now
            .into_iter()
            .map(|index| entries[index].callers)
            .collect();
        addresses.sort_unstable();
        *ready.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
        thread::sleep(PROBE);
    }
}
