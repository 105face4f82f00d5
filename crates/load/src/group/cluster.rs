//! A cluster of control processes, entries and stand-in workers, with relays between them that
//! count the traffic.

use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use sapphirepost_process::process_metrics;
use sapphirepost_process::rpc;
use tokio::runtime::Runtime;

use crate::group::processes;
use crate::group::processes::Group;
use crate::group::relay;
use crate::group::relay::Traffic;
use crate::loopback;

const CONTROL_PROCESSES: usize = 3;
/// Number of entries: one in each failure domain.
pub const ENTRIES: usize = 3;
const DOMAINS: [&str; ENTRIES] = ["a", "b", "c"];
const WORKERS_PER_RACK: &str = "8";
const CAPACITY: &str = "64000m/262144Mi/2a";

const CALLERS_PORT: u16 = 7_300;
const WORKERS_PORT: u16 = 7_310;
const OPERATORS_PORT: u16 = 7_320;
const ADMIN_PORT: u16 = 7_330;
const INNER_PORT: u16 = 7_340;
const WORKERS_RELAY_PORT: u16 = 7_350;
const INNER_RELAY_PORT: u16 = 7_360;

/// An entry or a process of stand-in workers; it is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Processor time and memory of a process, or the sum or mean over several.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Seconds of processor time since the start of the process.
    pub processor_s: f64,
    /// Resident memory at the time of the reading.
    pub memory_mib: f64,
}

/// A cluster on the loopback interface; its processes are killed when it is dropped.
pub struct Cluster {
    /// The control processes and the client of an operator.
    pub group: Group,
    /// Traffic between workers and entries.
    pub worker_traffic: Arc<Traffic>,
    /// Traffic on connections to control processes, from entries and from other control processes.
    pub inner_traffic: Arc<Traffic>,
    entries: Vec<Process>,
    workers: Vec<Process>,
    _relays: Runtime,
}

impl Cluster {
    /// Starts control processes, entries and `workers` stand-in workers.
    pub fn start(workers: usize) -> anyhow::Result<Cluster> {
        let relays = rpc::runtime(2)?;
        let worker_traffic = Arc::new(Traffic::default());
        let inner_traffic = Arc::new(Traffic::default());
        let advertised: Vec<SocketAddr> = (0..CONTROL_PROCESSES as u16)
            .map(|index| loopback::address(INNER_RELAY_PORT + index))
            .collect();
        for (index, from) in advertised.iter().enumerate() {
            let to = processes::inner_address(index).parse()?;
            relay::start(relays.handle(), *from, to, inner_traffic.clone())?;
        }
        for index in 0..ENTRIES as u16 {
            let from = loopback::address(WORKERS_RELAY_PORT + index);
            let to = loopback::address(WORKERS_PORT + index);
            relay::start(relays.handle(), from, to, worker_traffic.clone())?;
        }
        let advertised = advertised.iter().map(SocketAddr::to_string).collect();
        let group = Group::start_advertised(advertised)?;
        let mut cluster = Cluster {
            group,
            worker_traffic,
            inner_traffic,
            entries: Vec::new(),
            workers: Vec::new(),
            _relays: relays,
        };
        for index in 0..ENTRIES {
            let process = cluster.start_entry(index)?;
            cluster.entries.push(process);
        }
        for index in 0..ENTRIES {
            // The first failure domains get one worker more if the workers do not divide evenly.
            let count = (workers + ENTRIES - 1 - index) / ENTRIES;
            let process = cluster.start_workers(index, count)?;
            cluster.workers.push(process);
        }
        Ok(cluster)
    }

    /// Returns the usage of the leader.
    pub fn leader(&self) -> anyhow::Result<Usage> {
        usage(self.group.process_id(self.group.leader()?))
    }

    /// Returns the mean usage of the followers.
    pub fn followers(&self) -> anyhow::Result<Usage> {
        let leader = self.group.leader()?;
        let others = (0..CONTROL_PROCESSES).filter(|index| *index != leader);
        mean(others.map(|index| self.group.process_id(index)))
    }

    /// Returns the mean usage of the entries.
    pub fn entries(&self) -> anyhow::Result<Usage> {
        mean(self.entries.iter().map(|process| Some(process.0.id())))
    }

    /// Returns the total usage of all processes of stand-in workers.
    pub fn workers(&self) -> anyhow::Result<Usage> {
        let mut sum = mean(self.workers.iter().map(|process| Some(process.0.id())))?;
        sum.processor_s *= self.workers.len() as f64;
        sum.memory_mib *= self.workers.len() as f64;
        Ok(sum)
    }

    fn start_entry(&self, index: usize) -> anyhow::Result<Process> {
        let at = |port: u16| loopback::address(port + index as u16).to_string();
        let roster: Vec<String> = (0..ENTRIES)
            .map(|index| {
                let address = loopback::address(INNER_PORT + index as u16);
                format!("entry{index}@{}={address}", DOMAINS[index])
            })
            .collect();
        let control: Vec<String> = (0..CONTROL_PROCESSES as u16)
            .map(|index| loopback::address(INNER_RELAY_PORT + index).to_string())
            .collect();
        let key_file = self.group.key_file();
        let child = Command::new(processes::program("sapphirepost-entry")?)
            .args(["--entry", &format!("entry{index}")])
            .args(["--roster", &roster.join(",")])
            .args(["--control", &control.join(",")])
            .args(["--callers-address", &at(CALLERS_PORT)])
            .args(["--workers-address", &at(WORKERS_PORT)])
            .args(["--operators-address", &at(OPERATORS_PORT)])
            .args(["--admin-address", &at(ADMIN_PORT)])
            .arg("--inner-key-file")
            .arg(&key_file)
            .arg("--workers-key-file")
            .arg(&key_file)
            .args(["--log-level", "error"])
            .stdin(Stdio::null())
            .spawn()
            .context("starting an entry")?;
        Ok(Process(child))
    }

    fn start_workers(&self, domain: usize, count: usize) -> anyhow::Result<Process> {
        let entry = loopback::address(WORKERS_RELAY_PORT + domain as u16);
        let child = Command::new(processes::program("sapphirepost-standin")?)
            .args(["worker", "--entries", &entry.to_string()])
            .arg("--key-file")
            .arg(self.group.key_file())
            .args(["--name", &format!("worker-{}", DOMAINS[domain])])
            .args(["--failure-domain", DOMAINS[domain]])
            .args(["--count", &count.to_string()])
            .args(["--rack-size", WORKERS_PER_RACK])
            .args(["--capacity", CAPACITY])
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .context("starting stand-in workers")?;
        Ok(Process(child))
    }
}

fn mean(processes: impl Iterator<Item = Option<u32>>) -> anyhow::Result<Usage> {
    let mut sum = Usage::default();
    let mut count = 0.0;
    for process in processes {
        let usage = usage(process)?;
        sum.processor_s += usage.processor_s;
        sum.memory_mib += usage.memory_mib;
        count += 1.0;
    }
    Ok(Usage {
        processor_s: sum.processor_s / count,
        memory_mib: sum.memory_mib / count,
    })
}

fn usage(process: Option<u32>) -> anyhow::Result<Usage> {
    let process = process.context("a process is not running")?.to_string();
    let processor_s = process_metrics::processor_seconds(&process);
    let bytes = process_metrics::resident_bytes(&process);
    Ok(Usage {
        processor_s: processor_s.context("the processor time of a process is not available")?,
        memory_mib: bytes.context("the resident memory of a process is not available")? as f64
            / (1024.0 * 1024.0),
    })
}

/// Returns the processor time between two readings, in percent of a core; `time` is the wall time
/// between them.
pub fn core_percent(before: Usage, after: Usage, time: Duration) -> f64 {
    100.0 * (after.processor_s - before.processor_s) / time.as_secs_f64()
}
