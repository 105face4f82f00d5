//! The clients of the placement policy: processes that pass permit requests on to it.
//!
//! The policy processes one request at a time for each client, and a client on a small VM adds a
//! delay of its own. Requests therefore go to the clients with the least delay, and long requests
//! leave some of these free for short jobs, which arrive at a high rate.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use smallvec::SmallVec;

/// A client that delivered no answer in time gets no request for this long.
const CLIENT_PAUSE_MS: u64 = 1_000;
/// A client is forgotten this long after it last began to wait, or after the timeout of its
/// request.
const CLIENT_FORGET_MS: u64 = 4_000;
/// The moving mean of the delays gives a new value the weight 1 / `DELAY_WEIGHT`.
const DELAY_WEIGHT: u64 = 4;
/// Delays are compared in steps of this size, so that clients with similar delays take turns.
const DELAY_STEP_MS: u64 = 5;

/// The number of clients that long requests leave free for short ones, if more clients wait.
pub(crate) const CLIENTS_FOR_SHORT: usize = 3;

#[derive(Debug, Default)]
struct PolicyClient {
    /// When the client began to wait for a request, if it waits.
    waiting_since: Option<Millis>,
    /// When the client last began to wait, or until when it may be busy with a request.
    last_seen: Millis,
    paused_until: Millis,
    /// Moving mean of the delay that the client adds to the expected time of a request.
    delay_ms: u64,
}

/// The known policy clients.
#[derive(Debug, Default)]
pub struct PolicyClients {
    by_name: FxHashMap<Arc<str>, PolicyClient>,
}

impl PolicyClients {
    /// The number of known clients.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Records that a client waits for a request.
    pub fn start_waiting(&mut self, name: &Arc<str>, now: Millis) {
        let client = self.by_name.entry(name.clone()).or_default();
        client.waiting_since.get_or_insert(now);
        client.last_seen = now;
    }

    /// Records that a client no longer waits.
    pub fn stop_waiting(&mut self, name: &str) {
        if let Some(client) = self.by_name.get_mut(name) {
            client.waiting_since = None;
        }
    }

    /// Records that a client got a request which times out at `until`.
    pub fn assign(&mut self, name: &str, until: Millis) {
        if let Some(client) = self.by_name.get_mut(name) {
            client.waiting_since = None;
            client.last_seen = until;
        }
    }

    /// Records how much later than expected a client delivered an answer.
    pub fn record_delay(&mut self, name: &str, delay_ms: u64) {
        if let Some(client) = self.by_name.get_mut(name) {
            let previous_ms = client.delay_ms * (DELAY_WEIGHT - 1);
            client.delay_ms = (previous_ms + delay_ms) / DELAY_WEIGHT;
        }
    }

    /// Pauses a client that delivered no answer in time.
    pub fn pause(&mut self, name: &str, now: Millis) {
        if let Some(client) = self.by_name.get_mut(name) {
            client.paused_until = now + CLIENT_PAUSE_MS;
        }
    }

    /// Forgets clients that were not seen for a while.
    pub fn forget_silent(&mut self, now: Millis) {
        self.by_name
            .retain(|_, client| now.since(client.last_seen) < CLIENT_FORGET_MS);
    }

    /// The client for the next request: among the waiting ones that with the least delay, then the
    /// one that has waited longest. A long request passes over the first `CLIENTS_FOR_SHORT` of
    /// them, but takes the last one if there are no more.
    pub fn next(&self, is_long: bool, now: Millis) -> Option<Arc<str>> {
        let waiting = self.by_name.iter().filter_map(|(name, client)| {
            let since = client.waiting_since?;
            let delay_step = client.delay_ms / DELAY_STEP_MS;
            (client.paused_until <= now).then_some((delay_step, since, name))
        });
        let mut waiting: SmallVec<[_; 64]> = waiting.collect();
        waiting.sort_unstable();
        let skipped = if is_long { CLIENTS_FOR_SHORT } else { 0 };
        let position = skipped.min(waiting.len().checked_sub(1)?);
        Some(waiting[position].2.clone())
    }
}
