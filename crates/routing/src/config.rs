//! Limits and times of the router.

use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;

use crate::roster::RosterChange;

/// Limits of one request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassLimits {
    /// The longest expected wait in the queue at which a request is still admitted.
    pub max_wait_ms: u64,
    /// The most queued requests of one service; bounds memory while no estimate exists.
    pub max_queued: usize,
    /// The longest time without a response before an idempotent request is tried elsewhere.
    pub attempt_timeout_ms: u64,
}

/// The parameters of a router.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// This entry.
    pub entry: EntryId,
    /// This run of the entry.
    pub incarnation: Incarnation,
    /// The failure domain of this entry.
    pub failure_domain: Name,
    /// The entries.
    pub roster: RosterChange,
    /// Limits for lookups.
    pub lookup: ClassLimits,
    /// Limits for standard requests.
    pub standard: ClassLimits,
    /// Limits for recalculations.
    pub recalculation: ClassLimits,
    /// The longest time to open a connection.
    pub connect_timeout_ms: u64,
    /// An idle connection is closed after this time.
    pub idle_timeout_ms: u64,
    /// An upstream is removed after this time without an announcement.
    pub upstream_silence_ms: u64,
    /// The time between two gossip rounds.
    pub gossip_interval_ms: u64,
    /// After this time from the start, an empty table counts as known.
    pub learn_ms: u64,
    /// The longest wait for a claim.
    pub claim_timeout_ms: u64,
    /// Mechanisms that are left out, for tests only.
    #[doc(hidden)]
    pub without: Without,
}

impl RouterConfig {
    /// The usual parameters for one entry.
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
            upstream_silence_ms: 5_000,
            gossip_interval_ms: 200,
            learn_ms: 2_500,
            claim_timeout_ms: 1_000,
            without: Without::default(),
        }
    }

    /// The limits of a class.
    pub fn limits(&self, class: RequestClass) -> ClassLimits {
        match class {
            RequestClass::Lookup => self.lookup,
            RequestClass::Standard => self.standard,
            RequestClass::Recalculation => self.recalculation,
        }
    }
}

/// Mechanisms that a test leaves out to show that its check notices their absence.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Without {
    /// Each entry uses all slots and connections of a runner.
    pub shares: bool,
    /// A roster change takes effect in one step.
    pub two_step_roster: bool,
    /// A non-idempotent request is sent without a granted claim.
    pub claims: bool,
    /// A granted claim that is not used is kept.
    pub claim_return: bool,
    /// A failed try of a non-idempotent request is repeated although it may have run.
    pub retry_rule: bool,
    /// An unused try after the first byte is reported as not run.
    pub unknown_ending: bool,
    /// Responses are matched by connection only, and a timed-out connection is reused.
    pub send_match: bool,
    /// The status `leaving` is ignored.
    pub leaving: bool,
    /// Requests are admitted whatever the wait.
    pub admission: bool,
    /// Callers share one queue.
    pub fairness: bool,
    /// Lookups have no slots of their own.
    pub lookup_slots: bool,
    /// Upstreams are never ejected, and errors do not count in the choice.
    pub ejection: bool,
    /// Siblings of a silent connection are not suspected.
    pub suspects: bool,
    /// Retries have no budget.
    pub retry_budget: bool,
    /// A gossip gap does not lead to a request for the whole table.
    pub whole_table: bool,
    /// Time is not read again between the claim and the first byte.
    pub time_check: bool,
}
