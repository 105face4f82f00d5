//! Divides the file descriptors of a control process among its uses.
//!
//! Connections to workers, connections of entries and peers, requests of operators and workers, and
//! the files of the log share one limit. Without shares, the use that grows with the cluster takes
//! all descriptors, and the log can no longer create a segment.

use rustix::process::Resource;
use rustix::process::getrlimit;
use thiserror::Error;

/// Descriptors for everything that does not grow with the cluster: files of the log and of
/// snapshots, listeners, the admin API, calls to peers and to the placement policy.
const FIXED: u64 = 512;
/// The fewest descriptors that are divided, enough for a dozen workers.
const DIVIDED_MIN: u64 = 256;
/// The shares of the divided descriptors, in percent.
const INNER_PERCENT: u64 = 13;
/// Workers are spread over the members. The two members that are left of three must still take the
/// reports of all of them.
const API_PERCENT: u64 = 20;
/// A poll and a start for each worker at the same time, and some more.
const WORKERS_PERCENT: u64 = 67;

/// How many descriptors a control process may use for each purpose that grows with the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShares {
    /// Connections accepted from entries and from other control processes.
    pub inner: usize,
    /// Connections accepted from operators and workers.
    pub api: usize,
    /// Connections opened to workers.
    pub workers: usize,
}

/// The limit of descriptors is too low.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the limit of {limit} open files is too low: a control process needs {needed}")]
pub struct TooFewDescriptors {
    /// The limit of the process.
    pub limit: u64,
    /// The lowest limit with which a process runs.
    pub needed: u64,
}

impl DescriptorShares {
    /// Divides a limit.
    pub fn of(limit: u64) -> Result<DescriptorShares, TooFewDescriptors> {
        let needed = FIXED + DIVIDED_MIN;
        if limit < needed {
            return Err(TooFewDescriptors { limit, needed });
        }
        let share = |percent: u64| ((limit - FIXED).saturating_mul(percent) / 100) as usize;
        Ok(DescriptorShares {
            inner: share(INNER_PERCENT),
            api: share(API_PERCENT),
            workers: share(WORKERS_PERCENT),
        })
    }
}

/// The number of descriptors that this process may have open; a very large number if there is no
/// limit.
pub fn limit() -> u64 {
    let limit = getrlimit(Resource::Nofile).current;
    limit.unwrap_or(u64::from(u32::MAX))
}
