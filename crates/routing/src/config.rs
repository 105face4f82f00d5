//! Parameters of the router.

use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

use crate::roster::RosterChange;

/// Limits of one request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// The longest expected wait in the queue, in milliseconds, at which a request is admitted.
    pub max_wait_ms: u64,
    /// The most queued requests of the class in one service. Bounds memory while the expected wait
    /// counts as 0 because no response has been measured yet.
    pub max_queued: usize,
    /// The longest time without a response, in milliseconds, before an idempotent request is
    /// retried, at another upstream if there is one.
    pub attempt_timeout_ms: u64,
}

/// The identity of an entry, and the limits and timeouts of its router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The ID of this entry in the roster.
    pub entry: EntryId,
    /// The incarnation of this entry; higher after each restart.
    pub incarnation: Incarnation,
    /// The failure domain of this entry; upstreams in it are preferred.
    pub failure_domain: Name,
    /// The entries that share the upstreams at the start; replaced by
    /// [`Event::RosterChanged`](crate::Event::RosterChanged).
    pub roster: RosterChange,
    /// Limits for lookups.
    pub lookup: ClassLimits,
    /// Limits for standard requests.
    pub standard: ClassLimits,
    /// Limits for recalculations.
    pub recalculation: ClassLimits,
    /// The longest time to open a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
    /// The time without an announcement after which an upstream is removed, in milliseconds.
    pub upstream_timeout_ms: u64,
    /// The time between two gossip rounds, in milliseconds.
    pub gossip_interval_ms: u64,
    /// The time after the start in which every upstream should have announced itself, in
    /// milliseconds. Afterwards an empty table means that there are no upstreams.
    pub warm_up_ms: u64,
    /// The longest wait for a claim, in milliseconds.
    pub claim_timeout_ms: u64,
    /// Mechanisms that are switched off, for tests only.
    #[doc(hidden)]
    pub disabled: Disabled,
}

impl RouterConfig {
    /// The default limits and times for one entry.
    pub fn new(
        entry: EntryId,
        incarnation: Incarnation,
        failure_domain: Name,
        roster: RosterChange,
    ) -> RouterConfig {
        RouterConfig {
            entry,
            incarnation,
            failure_domain,
            roster,
            lookup: ClassLimits {
                max_wait_ms: 50,
                max_queued: 2_000,
                attempt_timeout_ms: 250,
            },
            standard: ClassLimits {
                max_wait_ms: 250,
                max_queued: 2_000,
                attempt_timeout_ms: 3_000,
            },
            recalculation: ClassLimits {
                max_wait_ms: 30_000,
                max_queued: 500,
                attempt_timeout_ms: 120_000,
            },
            connect_timeout_ms: 300,
            idle_timeout_ms: 20_000,
            upstream_timeout_ms: 5_000,
            gossip_interval_ms: 200,
            warm_up_ms: 2_500,
            claim_timeout_ms: 1_000,
            disabled: Disabled::default(),
        }
    }

    /// The limits for requests of `class`; the same in every service.
    pub fn limits(&self, class: RequestClass) -> ClassLimits {
        match class {
            RequestClass::Lookup => self.lookup,
            RequestClass::Standard => self.standard,
            RequestClass::Recalculation => self.recalculation,
        }
    }
}

/// Mechanisms that a test switches off to show that its check detects their absence.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disabled {
    /// Each entry uses all slots and connections of an upstream.
    pub shares: bool,
    /// A roster change takes effect in one step instead of two.
    pub two_step_roster: bool,
    /// A non-idempotent request is sent without a granted claim.
    pub claims: bool,
    /// A granted claim is not released if its request is refused.
    pub claim_release: bool,
    /// A non-idempotent request that may have run is retried.
    pub idempotency_check: bool,
    /// A request that may have run is reported as not run.
    pub unknown_answers: bool,
    /// Responses are matched to requests by connection only, and the connection of a timed-out
    /// attempt is reused.
    pub response_matching: bool,
    /// The status `leaving` of an upstream is ignored.
    pub leaving_status: bool,
    /// Requests are admitted whatever the expected wait, and are sent to an upstream even if they
    /// will probably miss their deadline.
    pub admission: bool,
    /// All callers count as one, so that they are served in order of arrival.
    pub fairness: bool,
    /// No slots are reserved for lookups.
    pub lookup_slots: bool,
    /// Upstreams are never ejected, and errors do not count in the choice of an upstream.
    pub ejection: bool,
    /// After a timeout, the other inactive connections to the upstream stay in use.
    pub suspect_connections: bool,
    /// Retries are not limited by a budget.
    pub retry_budget: bool,
    /// A lasting mismatch of table digests does not lead to a request for the whole table.
    pub full_table_requests: bool,
    /// The deadline is not checked again after the claim is granted, when the request leaves the
    /// queue, or before the first byte.
    pub deadline_check: bool,
}
