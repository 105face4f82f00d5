//! Counters and the state dump of the router.

use sapphirepost_types::Ending;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

use crate::event::Answer;
use crate::event::RefusalReason;
use crate::event::UnknownReason;
use crate::roster::Share;
use crate::router::Router;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that ended, by class and then ending.
    pub ended: [[u64; 3]; 3],
    /// The sum of the times to the end in milliseconds, by class.
    pub time_ms: [u64; 3],
    /// Tries after the first.
    pub retries: u64,
    /// Tries that were dropped for lack of a response.
    pub timeouts: u64,
    /// Ejections of upstreams.
    pub ejections: u64,
    /// Refusals by reason, in the order of [`RefusalReason`].
    pub refused: [u64; 11],
    /// Unknown endings by reason, in the order of [`UnknownReason`].
    pub unknown: [u64; 3],
}

impl Stats {
    pub(super) fn note(&mut self, answer: &Answer, class: RequestClass, took_ms: u64) {
        let ending = ending(answer);
        self.ended[class as usize][ending as usize] += 1;
        self.time_ms[class as usize] += took_ms;
        match answer {
            Answer::Refused { reason, .. } => self.refused[*reason as usize] += 1,
            Answer::Unknown { reason } => self.unknown[*reason as usize] += 1,
            Answer::Forward(_) | Answer::Recorded { .. } => {}
        }
    }

    /// Refusals for one reason.
    pub fn refused_for(&self, reason: RefusalReason) -> u64 {
        self.refused[reason as usize]
    }

    /// Unknown endings for one reason.
    pub fn unknown_for(&self, reason: UnknownReason) -> u64 {
        self.unknown[reason as usize]
    }
}

fn ending(answer: &Answer) -> Ending {
    match answer {
        Answer::Forward(_) | Answer::Recorded { .. } => Ending::Done,
        Answer::Refused { .. } => Ending::Refused,
        Answer::Unknown { .. } => Ending::Unknown,
    }
}

/// The state of one upstream at this entry.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// Its name.
    pub name: Name,
    /// Its service.
    pub service: Name,
    /// Whether it takes new requests.
    pub serving: bool,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Whether it is on trial after an ejection.
    pub on_trial: bool,
    /// This entry's share.
    pub share: Share,
    /// Slots in use, held ones included.
    pub used: u16,
    /// Open connections.
    pub connections: usize,
    /// Average latency of lookups in milliseconds.
    pub lookup_latency_ms: Option<f64>,
    /// Milliseconds since its last announcement.
    pub age_ms: Option<u64>,
}

impl Router {
    /// The counters.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Requests that have not been answered.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing is in flight and all outcomes of claims are reported.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.claims.is_idle()
    }

    /// Whether the upstream table is known; see
    /// [`UpstreamTable::is_known`](crate::UpstreamTable::is_known).
    pub fn knows_table(&self, now: Millis) -> bool {
        self.table.is_known(now)
    }

    /// Whether all upstreams seem dead at once, which points to this entry.
    pub fn suspects_itself(&self) -> bool {
        self.own_fault
    }

    /// How many upstreams are known.
    pub fn upstream_count(&self) -> usize {
        self.current.len()
    }

    /// The digest of the upstream table.
    pub fn table_digest(&self) -> u64 {
        self.table.digest()
    }

    /// The upstreams by name.
    pub fn upstreams(&self, now: Millis) -> Vec<UpstreamView> {
        let mut views: Vec<UpstreamView> = self
            .current
            .values()
            .filter_map(|key| self.upstreams.get(key))
            .map(|upstream| UpstreamView {
                name: upstream.name.clone(),
                service: upstream.service.clone(),
                serving: upstream.serving,
                ejected: upstream.health.is_ejected(),
                on_trial: upstream.health.is_on_trial(),
                share: upstream.share,
                used: upstream.used(),
                connections: upstream.connections.count(),
                lookup_latency_ms: upstream.health.latency_ms(RequestClass::Lookup),
                age_ms: self.table.age_ms(now, &upstream.name),
            })
            .collect();
        views.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        views
    }
}
