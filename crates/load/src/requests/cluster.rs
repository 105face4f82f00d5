//! Starts the entries and the runners of an experiment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use sapphirepost_process::SharedKey;
use sapphirepost_standin::entries::Entries;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::requests::entry;
use crate::requests::entry::EntryAddresses;
use crate::requests::entry::EntryOptions;
use crate::requests::entry::EntryProcess;
use crate::requests::generator;
use crate::requests::generator::Load;
use crate::requests::generator::Sample;
use crate::requests::generator::TargetSelector;
use crate::requests::runner;
use crate::requests::runner::Runner;
use crate::requests::runner::RunnerCounters;

const KEY: &str = "experiment-shared-key";
/// Time in which every entry learns the address of every runner.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Entries and runners; they are stopped when it is dropped.
pub struct Cluster {
    /// The runtime of the runners and the load generator.
    pub runtime: Runtime,
    /// The addresses of the entries, by index.
    pub addresses: Vec<EntryAddresses>,
    /// The entry processes, in the order of `addresses`.
    pub entries: Vec<EntryProcess>,
    /// Options that all entries are started with.
    pub options: EntryOptions,
    /// The runners, by index.
    pub runners: Vec<Arc<Runner>>,
    /// Counters shared by all runners.
    pub counters: Arc<RunnerCounters>,
    stop: Arc<AtomicBool>,
    announcer: Option<JoinHandle<()>>,
    _directory: tempfile::TempDir,
}

impl Cluster {
    /// Starts entries and runners and waits until the entries are ready and know all runners.
    pub fn start(entries: usize, runners: usize) -> anyhow::Result<Cluster> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()?;
        let directory = tempfile::tempdir()?;
        let key_file = directory.path().join("key");
        std::fs::write(&key_file, KEY)?;
        let addresses: Vec<EntryAddresses> = (0..entries).map(EntryAddresses::allocate).collect();
        let roster: Vec<String> = addresses
            .iter()
            .map(EntryAddresses::roster_member)
            .collect();
        let options = EntryOptions {
            program: entry::program()?,
            key_file,
            roster: roster.join(","),
            control: None,
        };
        let processes: Vec<EntryProcess> = addresses
            .iter()
            .map(|addresses| EntryProcess::start(addresses, &options))
            .collect::<anyhow::Result<_>>()?;
        let counters = Arc::new(RunnerCounters::default());
        let runners: Vec<Arc<Runner>> = (0..runners)
            .map(|index| Runner::start(runtime.handle(), index, counters.clone()))
            .collect::<anyhow::Result<_>>()?;
        let workers: Vec<String> = addresses.iter().map(|a| a.workers.to_string()).collect();
        let announce_to = Entries::new(&workers.join(","), SharedKey::new(KEY)?)?;
        let stop = Arc::new(AtomicBool::new(false));
        let announcer = thread::spawn({
            let runners = runners.clone();
            let stop = stop.clone();
            move || runner::announce_all(&runners, &announce_to, &stop)
        });
        for addresses in &addresses {
            entry::wait_ready(addresses)?;
        }
        thread::sleep(SETTLE_TIME);
        Ok(Cluster {
            runtime,
            addresses,
            entries: processes,
            options,
            runners,
            counters,
            stop,
            announcer: Some(announcer),
            _directory: directory,
        })
    }

    /// Runs a load until all of its requests have ended.
    pub fn run(&self, load: Load) -> Vec<Sample> {
        self.runtime.block_on(generator::run(load))
    }

    /// Returns a selector of all entries in round-robin order.
    pub fn through_entries(&self) -> TargetSelector {
        generator::round_robin(self.addresses.iter().map(|a| a.callers).collect())
    }

    /// Returns a selector that always selects the entry `index`.
    pub fn through_entry(&self, index: usize) -> TargetSelector {
        generator::round_robin(vec![self.addresses[index].callers])
    }

    /// Returns a selector of all runners in round-robin order; requests then bypass the entries.
    pub fn direct(&self) -> TargetSelector {
        generator::round_robin(self.runner_addresses())
    }

    /// Returns the addresses at which the runners listen.
    pub fn runner_addresses(&self) -> Vec<SocketAddr> {
        self.runners.iter().map(|runner| runner.address).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(announcer) = self.announcer.take() {
            let _ = announcer.join();
        }
    }
}
