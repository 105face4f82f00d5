//! Processor time and memory of a process, for the cost of control.

use std::fs;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;

/// The unit of processor times in `/proc/<pid>/stat`; Linux reports them in hundredths of a
/// second on every architecture.
const TICKS_PER_SECOND: f64 = 100.0;
/// Positions of user and system time among the fields after the command name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Names the calling process.
pub const CURRENT_PROCESS: &str = "self";

/// Reads the figures of this process when the metrics are encoded.
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

/// The processor time that a process has used, in seconds; `None` if there is no such process.
pub fn processor_seconds(process: &str) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The command name stands in parentheses and may contain spaces.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: f64 = fields.get(USER_TIME)?.parse().ok()?;
    let system: f64 = fields.get(SYSTEM_TIME)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// The resident memory of a process in bytes; `None` if there is no such process.
pub fn resident_bytes(process: &str) -> Option<i64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: i64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
