//! The control group, entries and runners of the experiment on claims, and their faults.

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
use crate::requests::runner::Observed;
use crate::requests::runner::Runner;

const MEMBERS: usize = 3;
const ENTRIES: usize = 6;
const RUNNERS: usize = 12;
const SETTLE: Duration = Duration::from_millis(1_500);
const BETWEEN_FAULTS: Duration = Duration::from_millis(700);

/// Everything that runs; it ends when dropped.
pub struct Parts {
    group: Group,
    addresses: Vec<EntryAddresses>,
    entries: Vec<Option<EntryProcess>>,
    options: EntryOptions,
    runners: Vec<Arc<Runner>>,
    /// What the runners ran.
    pub observed: Arc<Observed>,
    ended: Arc<AtomicBool>,
}

impl Parts {
    /// Starts all processes and waits until the entries are ready.
    pub fn start() -> anyhow::Result<Parts> {
        let group = Group::start(MEMBERS)?;
        let addresses: Vec<EntryAddresses> = (0..ENTRIES).map(EntryAddresses::next).collect();
        let roster: Vec<String> = addresses.iter().map(EntryAddresses::member).collect();
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
        let observed = Arc::new(Observed::default());
        let handle = group.runtime.handle().clone();
        let runners = (0..RUNNERS)
            .map(|index| Runner::start(&handle, index, observed.clone()))
            .collect::<anyhow::Result<Vec<_>>>()?;
        let workers: Vec<String> = addresses.iter().map(|a| a.workers.to_string()).collect();
        let announce_to = Entries::new(&workers.join(","), processes::key()?)?;
        let ended = Arc::new(AtomicBool::new(false));
        thread::spawn({
            let (runners, ended) = (runners.clone(), ended.clone());
            move || runner::announce_all(&runners, &announce_to, &ended)
        });
        for addresses in &addresses {
            entry::wait_ready(addresses)?;
        }
        thread::sleep(SETTLE);
        Ok(Parts {
            group,
            addresses,
            entries,
            options,
            runners,
            observed,
            ended,
        })
    }

    /// Where callers connect.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|a| a.callers).collect()
    }

    /// The runtime of callers and runners.
    pub fn runtime(&self) -> Handle {
        self.group.runtime.handle().clone()
    }

    fn restart_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let process = EntryProcess::start(&self.addresses[index], &self.options)?;
        self.entries[index] = Some(process);
        Ok(())
    }
}

impl Drop for Parts {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Causes one fault after the other until the load is over, and ends all of them; returns how many
/// there were.
pub fn cause(parts: &mut Parts, seed: u64, is_over: &AtomicBool) -> anyhow::Result<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut step = 0;
    while !is_over.load(Ordering::SeqCst) {
        thread::sleep(BETWEEN_FAULTS);
        let runner = parts.runners[rng.random_range(0..RUNNERS)].clone();
        runner.runs_before_faults.store(true, Ordering::Relaxed);
        match step % 5 {
            0 => with(&runner.fails),
            1 => {
                let index = rng.random_range(0..ENTRIES);
                parts.entries[index] = None;
                thread::sleep(BETWEEN_FAULTS);
                parts.restart_entry(index)?;
            }
            2 => with(&runner.cuts),
            3 => {
                let leader = parts.group.leader()?;
                parts.group.kill(leader)?;
                thread::sleep(BETWEEN_FAULTS);
                parts.group.restart(leader)?;
            }
            _ => with(&runner.stalls),
        }
        step += 1;
    }
    Ok(step)
}

/// A fault of a runner for a while.
fn with(fault: &AtomicBool) {
    fault.store(true, Ordering::Relaxed);
    thread::sleep(BETWEEN_FAULTS);
    fault.store(false, Ordering::Relaxed);
}
