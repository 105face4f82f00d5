//! The clock of an entry process.

use sapphirepost_process::SystemClock;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

/// The monotonic time at the start of the process. It is not 0, so that the time of an announcement
/// that was made before the start can be represented.
const ORIGIN_MS: u64 = 3_600_000;

/// The monotonic clock and the wall clock of an entry process.
#[derive(Clone, Copy, Debug)]
pub struct EntryClock {
    clock: SystemClock,
}

impl EntryClock {
    /// Creates a clock whose monotonic time starts now, at one hour.
    pub fn new() -> EntryClock {
        EntryClock {
            clock: SystemClock::new(),
        }
    }

    /// The monotonic time, comparable only within this process.
    pub fn now(&self) -> Millis {
        self.clock.now() + ORIGIN_MS
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        self.clock.unix_ms()
    }
}

impl Default for EntryClock {
    fn default() -> EntryClock {
        EntryClock::new()
    }
}
