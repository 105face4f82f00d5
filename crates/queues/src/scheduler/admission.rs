//! Whether a job is accepted.
//!
//! Answers the load pattern in which more work arrives than the workers can do: a job that could
//! only be done long after it is of use is refused on arrival, with the time after which the
//! backlog before it is expected to be gone.

/// What a new job would wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// Work that waits and comes before the job, in processor time.
    pub backlog_core_ms: u64,
    /// Processors of all workers that may run it.
    pub capacity_millicores: u64,
    /// The time within which the job is of use.
    pub useful_ms: u64,
    /// The estimated duration of the job itself.
    pub chain_ms: u64,
}

/// The shortest time after which a refused caller may return.
const RETRY_MIN_MS: u64 = 500;
/// The longest time after which a refused caller may return.
const RETRY_MAX_MS: u64 = 5_000;

impl Admission {
    /// `None` to accept, or the time after which the caller may return.
    pub fn refusal_ms(&self) -> Option<u64> {
        if self.capacity_millicores == 0 {
            return None;
        }
        let wait_ms = self.backlog_core_ms * 1_000 / self.capacity_millicores;
        let excess_ms = (wait_ms + self.chain_ms).saturating_sub(self.useful_ms);
        if excess_ms == 0 {
            return None;
        }
        Some(excess_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS))
    }
}
