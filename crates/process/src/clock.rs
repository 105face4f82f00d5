//! The clock of a running process.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

/// Monotonic time since the clock was created, and the wall clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// A clock whose monotonic time starts at zero now.
    pub fn new() -> SystemClock {
        SystemClock {
            origin: Instant::now(),
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
        Millis(self.origin.elapsed().as_millis() as u64)
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64)
    }
}
