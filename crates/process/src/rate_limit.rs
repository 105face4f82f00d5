//! Limits how often a repeated event is logged.
//!
//! Each kind of event is allowed once per interval; the next allowed event of the kind reports how
//! many were suppressed in between. The number of kinds is bounded, so that kinds derived from
//! untrusted input cannot exhaust the memory.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use sapphirepost_types::Millis;

/// Maximum number of kinds that are tracked at a time.
const KINDS_MAX: usize = 1024;

#[derive(Debug)]
struct KindState {
    allowed_at: Millis,
    suppressed: u64,
}

/// Allows each kind of event once per interval.
#[derive(Debug)]
pub struct RateLimiter {
    interval_ms: u64,
    kinds: Mutex<HashMap<String, KindState>>,
}

impl RateLimiter {
    /// Creates a limiter that allows each kind once per `interval_ms` milliseconds.
    pub fn new(interval_ms: u64) -> RateLimiter {
        RateLimiter {
            interval_ms,
            kinds: Mutex::new(HashMap::new()),
        }
    }

    /// Returns `None` if an event of this kind must not be logged now, otherwise the number of
    /// events of the kind that were suppressed since the last allowed one. A new kind is suppressed
    /// without being counted while the maximum number of kinds is tracked and all of them were
    /// allowed within the last interval.
    pub fn allow(&self, kind: &str, now: Millis) -> Option<u64> {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = kinds.get_mut(kind) {
            if now.since(state.allowed_at) < self.interval_ms {
                state.suppressed += 1;
                return None;
            }
            state.allowed_at = now;
            return Some(std::mem::take(&mut state.suppressed));
        }
        if kinds.len() >= KINDS_MAX {
            kinds.retain(|_, state| now.since(state.allowed_at) < self.interval_ms);
        }
        if kinds.len() >= KINDS_MAX {
            return None;
        }
        let first = KindState {
            allowed_at: now,
            suppressed: 0,
        };
        kinds.insert(kind.to_owned(), first);
        Some(0)
    }
}
