//! Entries and runners of one experiment.

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
use crate::requests::generator::Balance;
use crate::requests::generator::Load;
use crate::requests::generator::Sample;
use crate::requests::runner;
use crate::requests::runner::Observed;
use crate::requests::runner::Runner;

const KEY: &str = "experiment-shared-key";
/// The time in which every entry has heard of every runner.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Entries and runners; everything ends when dropped.
pub struct Cluster {
    /// The runtime of runners and load.
    pub runtime: Runtime,
    /// The addresses of the entries.
    pub addresses: Vec<EntryAddresses>,
    /// The entry processes.
    pub entries: Vec<EntryProcess>,
    /// How entries are started.
    pub options: EntryOptions,
    /// The runners.
    pub runners: Vec<Arc<Runner>>,
    /// What the runners observe.
    pub observed: Arc<Observed>,
    ended: Arc<AtomicBool>,
    announcer: Option<JoinHandle<()>>,
    _directory: tempfile::TempDir,
}

impl Cluster {
    /// Starts everything and waits until all entries know all runners.
    pub fn start(entries: usize, runners: usize) -> anyhow::Result<Cluster> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(4)
            .enable_all()
            .build()?;
        let directory = tempfile::tempdir()?;
        let key_file = directory.path().join("key");
        std::fs::write(&key_file, KEY)?;
        let addresses: Vec<EntryAddresses> = (0..entries).map(EntryAddresses::next).collect();
        let roster: Vec<String> = addresses.iter().map(EntryAddresses::member).collect();
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
        let observed = Arc::new(Observed::default());
        let runners: Vec<Arc<Runner>> = (0..runners)
            .map(|index| Runner::start(runtime.handle(), index, observed.clone()))
            .collect::<anyhow::Result<_>>()?;
        let workers: Vec<String> = addresses.iter().map(|a| a.workers.to_string()).collect();
        let announce_to = Entries::new(&workers.join(","), SharedKey::new(KEY)?)?;
        let ended = Arc::new(AtomicBool::new(false));
        let announcer = thread::spawn({
            let runners = runners.clone();
            let ended = ended.clone();
            move || runner::announce_all(&runners, &announce_to, &ended)
        });
        for addresses in &addresses {
            entry::wait_ready(addresses)?;
        }
        thread::sleep(SETTLE);
        Ok(Cluster {
            runtime,
            addresses,
            entries: processes,
            options,
            runners,
            observed,
            ended,
            announcer: Some(announcer),
            _directory: directory,
        })
    }

    /// Runs a load to its end.
    pub fn run(&self, load: Load) -> Vec<Sample> {
        self.runtime.block_on(generator::run(load))
    }

    /// The entries in turn.
    pub fn through_entries(&self) -> Balance {
        generator::in_turn(self.addresses.iter().map(|a| a.callers).collect())
    }

    /// One entry.
    pub fn through_entry(&self, index: usize) -> Balance {
        generator::in_turn(vec![self.addresses[index].callers])
    }

    /// The runners in turn, without an entry.
    pub fn direct(&self) -> Balance {
        generator::in_turn(self.runner_addresses())
    }

    /// Where the runners listen.
    pub fn runner_addresses(&self) -> Vec<SocketAddr> {
        self.runners.iter().map(|runner| runner.address).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(announcer) = self.announcer.take() {
            let _ = announcer.join();
        }
    }
}
