//! The clock of the router.

use sapphirepost_process::SystemClock;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

/// The monotonic clock starts here, so that the ages of announcements reach back before the start
/// of the process.
const ORIGIN_MS: u64 = 3_600_000;

/// The clock of one run of the entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryClock {
    clock: SystemClock,
}

impl EntryClock {
    /// A clock that starts now.
    pub fn new() -> EntryClock {
        EntryClock {
            clock: SystemClock::new(),
        }
    }

    /// Monotonic time.
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
