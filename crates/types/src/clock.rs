//! The one clock type: a count of milliseconds.
//!
//! A `Millis` is a point on either the monotonic clock of a process or the wall clock; the two
//! are never mixed. Fields that hold wall-clock time are called `*_unix_ms`.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// A point in time, in milliseconds since an origin that the owner of the clock defines.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin of the clock.
    pub const ZERO: Millis = Millis(0);

    /// Milliseconds from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Millis {
    type Output = Millis;

    fn add(self, duration_ms: u64) -> Millis {
        Millis(self.0.saturating_add(duration_ms))
    }
}

impl Sub<u64> for Millis {
    type Output = Millis;

    fn sub(self, duration_ms: u64) -> Millis {
        Millis(self.0.saturating_sub(duration_ms))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A source of time.
///
/// Deciding code receives `Millis` values instead; only daemons hold a clock.
pub trait Clock: Send + Sync {
    /// Monotonic time of this process.
    fn now(&self) -> Millis;

    /// Wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}
