//! Limits how often a repeated event is logged.
//!
//! Each kind of event is let through once an interval; the next one that passes reports how many
//! were held back. The number of kinds is bounded, so that keys made of outside input cannot
//! fill the memory.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use sapphirepost_types::Millis;

/// The most kinds that are remembered at a time.
const KINDS_MAX: usize = 1024;

#[derive(Debug)]
struct EventKind {
    allowed_at: Millis,
    suppressed: u64,
}

/// Lets each kind of event through once an interval.
#[derive(Debug)]
pub struct RateLimiter {
    interval_ms: u64,
    kinds: Mutex<HashMap<String, EventKind>>,
}

impl RateLimiter {
    /// A limiter with an interval in milliseconds.
    pub fn new(interval_ms: u64) -> RateLimiter {
        RateLimiter {
            interval_ms,
            kinds: Mutex::new(HashMap::new()),
        }
    }

    /// Whether an event of this kind passes now; if so, how many were held back since the last.
    pub fn allow(&self, kind: &str, now: Millis) -> Option<u64> {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = kinds.get_mut(kind) {
            if now.since(known.allowed_at) < self.interval_ms {
                known.suppressed += 1;
                return None;
            }
            known.allowed_at = now;
            return Some(std::mem::take(&mut known.suppressed));
        }
        if kinds.len() >= KINDS_MAX {
            kinds.retain(|_, known| now.since(known.allowed_at) < self.interval_ms);
        }
        if kinds.len() >= KINDS_MAX {
            return None;
        }
        let first = EventKind {
            allowed_at: now,
            suppressed: 0,
        };
        kinds.insert(kind.to_owned(), first);
        Some(0)
    }
}
