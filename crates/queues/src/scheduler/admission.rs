//! Whether a job is accepted.
//!
//! Answers the load pattern in which more work arrives than the workers can do: a job that could
//! only be done long after it is of use is refused on arrival, with the time after which the
//! backlog before it is expected to be gone. Work that is late comes after a job that can still
//! be in time, so it is no reason to refuse that job.

/// What a new job would wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Work that comes before the job as long as it can be in time, in processor time.
    pub ahead_core_ms: u64,
    /// All work that waits in queues that are as urgent or more, in processor time.
    pub backlog_core_ms: u64,
    /// Processors of all workers that may run it.
    pub capacity_millicores: u64,
    /// The time within which the job is in time.
    pub objective_ms: u64,
    /// The time within which the job is of use.
    pub useful_ms: u64,
    /// The estimated duration of the job itself.
    pub critical_path_ms: u64,
}

/// The shortest time after which a refused caller may return.
const RETRY_MIN_MS: u64 = 500;
/// The longest time after which a refused caller may return.
const RETRY_MAX_MS: u64 = 5_000;
/// A backlog that takes all workers longer than this is not let grow by jobs that could be in
/// time either. It bounds the memory and the decisions of a leader under lasting overload.
const BACKLOG_MAX_MS: u64 = 60_000;

impl Admission {
    /// `None` to accept, or the time after which the caller may return.
    pub fn retry_after_ms(&self) -> Option<u64> {
        if self.capacity_millicores == 0 {
            return None;
        }
        let backlog_ms = self.wait_ms(self.backlog_core_ms);
        let ends_in_ms = self.wait_ms(self.ahead_core_ms) + self.critical_path_ms;
        if ends_in_ms <= self.objective_ms && backlog_ms <= BACKLOG_MAX_MS {
            return None;
        }
        let excess_ms = (backlog_ms + self.critical_path_ms).saturating_sub(self.useful_ms);
        if excess_ms == 0 {
            return None;
        }
        Some(excess_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS))
    }

    /// How long all workers take for some work.
    fn wait_ms(&self, core_ms: u64) -> u64 {
        core_ms * 1_000 / self.capacity_millicores
    }
}
