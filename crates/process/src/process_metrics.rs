//! Processor time and memory of a process, read from `/proc` to measure its resource cost.

use std::fs;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// Clock ticks per second in `/proc/<pid>/stat`. This is `USER_HZ` of Linux, which is 100 on x86-64
/// and ARM.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields after the command name; the system time follows it.
const USER_TIME_INDEX: usize = 11;
const SYSTEM_TIME_INDEX: usize = 12;

/// The name of the calling process under `/proc`, in place of a process ID.
pub const CURRENT_PROCESS: &str = "self";

/// Reads the processor time and memory of this process each time the metrics are encoded.
#[derive(Debug)]
pub(crate) struct ProcessCollector;

impl Collector for ProcessCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), std::fmt::Error> {
        if let Some(seconds) = processor_seconds(CURRENT_PROCESS) {
            let counter = ConstCounter::new(seconds);
            let metric = encoder.encode_descriptor(
                "process_cpu_seconds",
                "Processor time of this process in seconds",
                None,
                counter.metric_type(),
            )?;
            counter.encode(metric)?;
        }
        if let Some(bytes) = resident_bytes(CURRENT_PROCESS) {
            let gauge = ConstGauge::new(bytes);
            let metric = encoder.encode_descriptor(
                "process_resident_memory_bytes",
                "Resident memory of this process in bytes",
                None,
                gauge.metric_type(),
            )?;
            gauge.encode(metric)?;
        }
        Ok(())
    }
}

/// Returns the user and system time of a process in seconds. `process` is a process ID or
/// [`CURRENT_PROCESS`]; `None` if the process does not exist or its `stat` file cannot be parsed.
pub fn processor_seconds(process: &str) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    seconds_in(&stat)
}

/// Returns the user and system time in the text of a `stat` file, in seconds.
fn seconds_in(stat: &str) -> Option<f64> {
    // The command name is in parentheses and may itself contain spaces and parentheses.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME_INDEX)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME_INDEX)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// The processor time of one thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThreadTime {
    /// The name of the thread, at most 15 bytes long.
    pub name: String,
    /// Whether this is the thread that runs `main`, whose name is that of the program.
    pub is_main: bool,
    /// User and system time since the thread began, in units of 10 ms.
    pub processor_ms: u64,
}

/// Returns the processor time of each thread of this process. A thread whose `stat` file cannot be
/// read or parsed, for example because it has just ended, is left out.
pub fn thread_times() -> Vec<ThreadTime> {
    let main = std::process::id().to_string();
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Vec::new();
    };
    threads
        .filter_map(|thread| {
            let thread = thread.ok()?;
            let stat = fs::read_to_string(thread.path().join("stat")).ok()?;
            let is_main = thread.file_name().to_str() == Some(&*main);
            thread_time(&stat, is_main)
        })
        .collect()
}

fn thread_time(stat: &str, is_main: bool) -> Option<ThreadTime> {
    let (id_and_name, _) = stat.rsplit_once(')')?;
    let (_, name) = id_and_name.split_once('(')?;
    let seconds = seconds_in(stat)?;
    Some(ThreadTime {
        name: name.to_owned(),
        is_main,
        processor_ms: (seconds * 1_000.0).round() as u64,
    })
}

/// Returns the resident memory of a process in bytes. `process` is a process ID or
/// [`CURRENT_PROCESS`]; `None` if the process does not exist or its `status` file cannot be parsed.
pub fn resident_bytes(process: &str) -> Option<i64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: i64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
