//! The clock of a running process, read from the operating system.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

/// Monotonic time since the clock was created, and the wall-clock time of the operating system.
///
/// The monotonic time advances while the VM is suspended. With a clock that stops during
/// suspension, a leader that resumes would treat old responses of its quorum as recent.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin_ms: u64,
}

impl SystemClock {
    /// Creates a clock whose monotonic time is zero at this moment.
    pub fn new() -> SystemClock {
        SystemClock {
            origin_ms: boot_ms(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        Millis(boot_ms().saturating_sub(self.origin_ms))
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }
}

/// Time since the VM booted, including the time during which it was suspended.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
