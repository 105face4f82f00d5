//! The clock of a running process.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

/// Monotonic time since the clock was created, and the wall clock of the operating system.
///
/// The monotonic time goes on while the VM is suspended. A clock that stood still then would let
/// a leader that was suspended believe that its quorum had answered just now.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin_ms: u64,
}

impl SystemClock {
    /// A clock whose monotonic time starts at zero now.
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

/// Time since the VM was started, with the time in which it was suspended.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}
