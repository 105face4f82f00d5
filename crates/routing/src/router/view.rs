//! Counters and the visible state of the router, for metrics and the state dump.

use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;
use sapphirepost_types::RequestOutcome;

use crate::event::Answer;
use crate::event::RefusalReason;
use crate::event::UnknownReason;
use crate::roster::Share;
use crate::router::Router;

/// Counters since the start of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests that arrived, refused ones included.
    pub arrived: u64,
    /// Requests that ended, by class and then [`RequestOutcome`].
    pub ended: [[u64; 3]; 3],
    /// The sum of the times from arrival to answer in milliseconds, by class.
    pub time_ms: [u64; 3],
    /// Attempts that were scheduled after a failed one.
    pub retries: u64,
    /// Attempts that were dropped, before the deadline, because no response came in time.
    pub timeouts: u64,
    /// Ejections of upstreams, repeated ones included.
    pub ejections: u64,
    /// Refused requests by reason, in the order of [`RefusalReason`].
    pub refused: [u64; 11],
    /// Requests with an unknown outcome by reason, in the order of [`UnknownReason`].
    pub unknown: [u64; 3],
}

impl Stats {
    pub(super) fn record(&mut self, answer: &Answer, class: RequestClass, took_ms: u64) {
        let outcome = request_outcome(answer);
        self.ended[class as usize][outcome as usize] += 1;
        self.time_ms[class as usize] += took_ms;
        match answer {
            Answer::Refused { reason, .. } => self.refused[*reason as usize] += 1,
            Answer::Unknown { reason } => self.unknown[*reason as usize] += 1,
            Answer::Forward(_) | Answer::Recorded { .. } => {}
        }
    }

    /// The number of requests refused for one reason.
    pub fn refused_for(&self, reason: RefusalReason) -> u64 {
        self.refused[reason as usize]
    }

    /// The number of requests with an unknown outcome for one reason.
    pub fn unknown_for(&self, reason: UnknownReason) -> u64 {
        self.unknown[reason as usize]
    }
}

fn request_outcome(answer: &Answer) -> RequestOutcome {
    match answer {
        Answer::Forward(_) | Answer::Recorded { .. } => RequestOutcome::Done,
        Answer::Refused { .. } => RequestOutcome::Refused,
        Answer::Unknown { .. } => RequestOutcome::Unknown,
    }
}

/// The state of one upstream at this entry.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamView {
    /// The name under which it is announced.
    pub name: Name,
    /// The service whose requests it runs.
    pub service: Name,
    /// Whether it takes new requests.
    pub serving: bool,
    /// Whether it gets no requests because recent ones failed.
    pub ejected: bool,
    /// Whether it gets one request at a time after an ejection.
    pub on_trial: bool,
    /// The slots and connections that this entry may use.
    pub share: Share,
    /// Slots in use by this entry, those of dropped attempts included.
    pub used: u16,
    /// Connections of this entry, those being opened or closed included.
    pub connections: usize,
    /// Average latency of lookups in milliseconds; `None` before the first success.
    pub lookup_latency_ms: Option<f64>,
    /// Milliseconds since its newest announcement was received; see
    /// [`UpstreamTable::age_ms`](crate::UpstreamTable::age_ms).
    pub age_ms: Option<u64>,
}

impl Router {
    /// The counters so far.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// The number of requests that have not been answered.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight and all outcomes of claims are acknowledged.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.claims.is_idle()
    }

    /// Whether the upstream table is known; see
    /// [`UpstreamTable::is_known`](crate::UpstreamTable::is_known).
    pub fn knows_table(&self, now: Millis) -> bool {
        self.table.is_known(now)
    }

    /// Whether a fault of this entry is suspected, because all upstreams with recent attempts
    /// appear down.
    pub fn suspects_itself(&self) -> bool {
        self.local_fault_suspected
    }

    /// The number of upstreams in the table.
    pub fn upstream_count(&self) -> usize {
        self.upstream_by_name.len()
    }

    /// The digest of the upstream table; equal for entries that know the same upstreams.
    pub fn table_digest(&self) -> u64 {
        self.table.digest()
    }

    /// The state of all upstreams in the table, sorted by name.
    pub fn upstreams(&self, now: Millis) -> Vec<UpstreamView> {
        let mut views: Vec<UpstreamView> = self
            .upstream_by_name
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
