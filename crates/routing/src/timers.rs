//! Timers of requests, attempts and connections.
//!
//! A timer is never cancelled: the router checks on expiry whether it still applies.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sapphirepost_types::Millis;

use crate::event::ConnectionKey;
use crate::event::RequestKey;
use crate::event::SendKey;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Deadline(RequestKey),
    ClaimTimeout(RequestKey),
    Retry(RequestKey),
    AttemptTimeout(SendKey),
    ConnectTimeout(ConnectionKey),
    /// The slot of a dropped attempt becomes free.
    SlotHold(SendKey),
}

#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Millis, Timer)>>,
}

impl Timers {
    pub(crate) fn schedule(&mut self, at: Millis, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    pub(crate) fn next(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    pub(crate) fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
