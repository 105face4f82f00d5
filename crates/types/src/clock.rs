//! Points in time and the source of time of a process.
//!
//! A `Millis` is a point on the monotonic clock of a process or on the wall clock; the two are
//! never compared. Fields that hold wall-clock time are called `*_unix_ms`.

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
    /// The origin of the clock, 0 ms.
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
/// Only the daemons hold a clock. Code that makes decisions is passed the current time as a
/// [`Millis`] value, so that tests can choose it.
pub trait Clock: Send + Sync {
    /// The monotonic time of this process, comparable only with times of the same clock.
    fn now(&self) -> Millis;

    /// The wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}
