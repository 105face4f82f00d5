//! The callers of the placement policy.
//!
//! Answers the load pattern in which short jobs arrive at a high rate: the policy serves one
//! question at a time for each caller, and callers on small VMs add a delay of their own. Short
//! questions go to the callers with the least delay, long ones leave some of these free.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use smallvec::SmallVec;

/// A caller that did not answer is not asked again for this long.
const CLIENT_PAUSE_MS: u64 = 1_000;
/// A caller that does not wait for a question for this long is forgotten.
const CLIENT_FORGET_MS: u64 = 4_000;
/// Share of a new delay in the mean, as a divisor.
const DELAY_WEIGHT: u64 = 4;
/// Delays of one step of this size count as equal, so that callers take turns.
const DELAY_STEP_MS: u64 = 5;

/// Callers that long questions leave free.
pub(crate) const CLIENTS_FOR_SHORT: usize = 3;

#[derive(Debug, Default)]
struct PolicyClient {
    /// When it began to wait for a question, if it does.
    waits_since: Option<Millis>,
    /// When it last asked for a question or brought an answer.
    seen: Millis,
    paused_until: Millis,
    /// What it adds to the time of a question, as a moving mean.
    delay_ms: u64,
}

/// The callers of the policy.
#[derive(Debug, Default)]
pub struct PolicyClients {
    by_name: FxHashMap<Arc<str>, PolicyClient>,
}

impl PolicyClients {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// A caller waits for a question.
    pub fn waits(&mut self, name: &Arc<str>, now: Millis) {
        let client = self.by_name.entry(name.clone()).or_default();
        client.waits_since.get_or_insert(now);
        client.seen = now;
    }

    /// A caller no longer waits.
    pub fn gone(&mut self, name: &str) {
        if let Some(client) = self.by_name.get_mut(name) {
            client.waits_since = None;
        }
    }

    /// A caller is given a question that is answered by `until`.
    pub fn given(&mut self, name: &str, until: Millis) {
        if let Some(client) = self.by_name.get_mut(name) {
            client.waits_since = None;
            client.seen = until;
        }
    }

    /// A caller brought an answer, this much later than the policy takes.
    pub fn answered(&mut self, name: &str, delay_ms: u64) {
        if let Some(client) = self.by_name.get_mut(name) {
            let others = client.delay_ms * (DELAY_WEIGHT - 1);
            client.delay_ms = (others + delay_ms) / DELAY_WEIGHT;
        }
    }

    /// A caller did not bring an answer.
    pub fn missed(&mut self, name: &str, now: Millis) {
        if let Some(client) = self.by_name.get_mut(name) {
            client.paused_until = now + CLIENT_PAUSE_MS;
        }
    }

    /// Forgets callers that are gone.
    pub fn forget_silent(&mut self, now: Millis) {
        self.by_name
            .retain(|_, client| now.since(client.seen) < CLIENT_FORGET_MS);
    }

    /// The caller for a question: among those that wait the one with the least delay, then the one
    /// that waits longest. A long question passes over the first ones.
    pub fn next(&self, is_long: bool, now: Millis) -> Option<Arc<str>> {
        let waiting = self.by_name.iter().filter_map(|(name, client)| {
            let since = client.waits_since?;
            let step = client.delay_ms / DELAY_STEP_MS;
            (client.paused_until <= now).then_some((step, since, name))
        });
        let mut waiting: SmallVec<[_; 64]> = waiting.collect();
        waiting.sort_unstable();
        let passed = if is_long { CLIENTS_FOR_SHORT } else { 0 };
        let position = passed.min(waiting.len().checked_sub(1)?);
        Some(waiting[position].2.clone())
    }
}
