//! Starts the control group, the entries and the runners of the experiment on claims, and injects
//! faults into them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_standin::entries::Entries;
use tokio::runtime::Handle;

use crate::group::processes;
use crate::group::processes::Group;
use crate::requests::entry;
use crate::requests::entry::EntryAddresses;
use crate::requests::entry::EntryOptions;
use crate::requests::entry::EntryProcess;
use crate::requests::runner;
use crate::requests::runner::Runner;
use crate::requests::runner::RunnerCounters;

const CONTROL_PROCESSES: usize = 3;
const ENTRIES: usize = 6;
const RUNNERS: usize = 12;
/// Time in which every entry learns the address of every runner.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Duration of a fault, and pause between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);

/// All processes and runners of the experiment; they are stopped when it is dropped.
pub struct ClaimsCluster {
    group: Group,
    addresses: Vec<EntryAddresses>,
    entries: Vec<Option<EntryProcess>>,
    options: EntryOptions,
    runners: Vec<Arc<Runner>>,
    /// Requests that the runners ran.
    pub counters: Arc<RunnerCounters>,
    stop: Arc<AtomicBool>,
}

impl ClaimsCluster {
    /// Starts all processes and runners, and waits until the entries are ready.
    pub fn start() -> anyhow::Result<ClaimsCluster> {
        let group = Group::start(CONTROL_PROCESSES)?;
        let addresses: Vec<EntryAddresses> = (0..ENTRIES).map(EntryAddresses::allocate).collect();
        let roster: Vec<String> = addresses
            .iter()
            .map(EntryAddresses::roster_member)
            .collect();
        let options = EntryOptions {
            program: entry::program()?,
            key_file: group.key_file(),
            roster: roster.join(","),
            control: Some(group.advertised().join(",")),
        };
        let entries = addresses
            .iter()
            .map(|addresses| Ok(Some(EntryProcess::start(addresses, &options)?)))
            .collect::<anyhow::Result<Vec<_>>>()?;
        let counters = Arc::new(RunnerCounters::default());
        let handle = group.runtime.handle().clone();
        let runners = (0..RUNNERS)
            .map(|index| Runner::start(&handle, index, counters.clone()))
            .collect::<anyhow::Result<Vec<_>>>()?;
        let workers: Vec<String> = addresses.iter().map(|a| a.workers.to_string()).collect();
        let announce_to = Entries::new(&workers.join(","), processes::key()?)?;
        let stop = Arc::new(AtomicBool::new(false));
        thread::spawn({
            let (runners, stop) = (runners.clone(), stop.clone());
            move || runner::announce_all(&runners, &announce_to, &stop)
        });
        for addresses in &addresses {
            entry::wait_ready(addresses)?;
        }
        thread::sleep(SETTLE_TIME);
        Ok(ClaimsCluster {
            group,
            addresses,
            entries,
            options,
            runners,
            counters,
            stop,
        })
    }

    /// Returns the addresses at which the entries listen for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|a| a.callers).collect()
    }

    /// Returns a handle of the runtime that callers and runners use.
    pub fn runtime(&self) -> Handle {
        self.group.runtime.handle().clone()
    }

    fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let process = EntryProcess::start(&self.addresses[index], &self.options)?;
        self.entries[index] = Some(process);
        Ok(())
    }
}

impl Drop for ClaimsCluster {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Injects one fault after the other until the load is done, and ends each of them. Returns the
/// number of faults.
pub fn inject_faults(
    cluster: &mut ClaimsCluster,
    seed: u64,
    is_load_done: &AtomicBool,
) -> anyhow::Result<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fault_count = 0;
    while !is_load_done.load(Ordering::SeqCst) {
        thread::sleep(FAULT_INTERVAL);
        let runner = cluster.runners[rng.random_range(0..RUNNERS)].clone();
        runner.runs_before_faults.store(true, Ordering::Relaxed);
        match fault_count % 5 {
            0 => enable_for_an_interval(&runner.fails),
            1 => {
                let index = rng.random_range(0..ENTRIES);
                cluster.entries[index] = None;
                thread::sleep(FAULT_INTERVAL);
                cluster.restart_entry(index)?;
            }
            2 => enable_for_an_interval(&runner.truncates_bodies),
            3 => {
                let leader = cluster.group.leader()?;
                cluster.group.kill(leader)?;
                thread::sleep(FAULT_INTERVAL);
                cluster.group.restart(leader)?;
            }
            _ => enable_for_an_interval(&runner.stalls),
        }
        fault_count += 1;
    }
    Ok(fault_count)
}

/// Enables a fault of a runner for [`FAULT_INTERVAL`].
fn enable_for_an_interval(fault: &AtomicBool) {
    fault.store(true, Ordering::Relaxed);
    thread::sleep(FAULT_INTERVAL);
    fault.store(false, Ordering::Relaxed);
}
