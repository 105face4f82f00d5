//! Settings of the leader.

use sapphirepost_placement::PlacementConfig;
use sapphirepost_types::MemberId;

/// Settings of a [`Leader`](crate::Leader).
#[derive(Clone, Debug)]
pub struct LeaderConfig {
    /// This control process.
    pub member: MemberId,
    /// The term that it leads.
    pub term: u64,
    /// How long a lease lasts on the worker's clock, counted from when the sync was sent.
    pub lease_ms: u64,
    /// How much longer a lease may last on the leader's clock, because clocks run differently.
    pub drift_ms: u64,
    /// How long a worker takes to stop its tasks after the lease.
    pub stop_ms: u64,
    /// How long after the start of this leader its predecessor may still answer a renewal. A voter
    /// that restarted does not remember hearing the predecessor, and an answer to a heartbeat may
    /// arrive late, so the predecessor may take itself for the leader for about one election
    /// timeout longer. Must be at least the longest election timeout.
    pub hand_over_ms: u64,
    /// The longest time that a sync is held. It shortens the lease that remains at its answer.
    pub hold_max_ms: u64,
    /// The longest time that a sync is held while the worker has commands that no report has
    /// confirmed. A worker that sends one sync at a time could not report sooner, and an urgent
    /// task would wait for room that is free.
    pub hold_pending_ms: u64,
    /// The most syncs held for one worker; the oldest is answered when another arrives.
    pub held_syncs_max: usize,
    /// When a command is sent again that no report has confirmed.
    pub repeat_ms: u64,
    /// When a worker that syncs and does not carry out a start is taken to receive no replies. Its
    /// lease is then left to end, so that its tasks start elsewhere; it is connected again by a
    /// full report, which it sends only when it has received a reply that asks for one.
    pub unheard_start_ms: u64,
    /// When a proposal that was not applied is taken for lost.
    pub proposal_timeout_ms: u64,
    /// The longest time that a configuration call is held.
    pub watch_max_ms: u64,
    /// The most calls that wait for proposals.
    pub waiting_calls_max: usize,
    /// Settings of the placement.
    pub placement: PlacementConfig,
    /// The most waiting tasks looked at by one decision.
    pub decide_budget: usize,
    /// Mechanisms that tests switch off to show that their checks notice.
    #[doc(hidden)]
    pub disabled: Disabled,
}

/// Mechanisms that tests switch off.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disabled {
    /// Leases end on the leader's clock without drift and stop time.
    pub drift_bound: bool,
    /// A new leader takes the leases of its predecessor for ended.
    pub new_leader_waits: bool,
    /// Renewals are answered after an expiry was proposed.
    pub no_renewal_while_expiring: bool,
}

impl Default for LeaderConfig {
    fn default() -> LeaderConfig {
        LeaderConfig {
            member: MemberId::default(),
            term: 0,
            lease_ms: 6_000,
            drift_ms: 1_000,
            stop_ms: 1_000,
            hand_over_ms: 1_000,
            hold_max_ms: 1_000,
            hold_pending_ms: 100,
            held_syncs_max: 2,
            repeat_ms: 500,
            unheard_start_ms: 10_000,
            proposal_timeout_ms: 5_000,
            watch_max_ms: 30_000,
            waiting_calls_max: 10_000,
            placement: PlacementConfig::default(),
            decide_budget: 512,
            disabled: Disabled::default(),
        }
    }
}

impl LeaderConfig {
    /// How long after an answer the lease has certainly ended and the tasks have stopped.
    pub(crate) fn certain_end_ms(&self) -> u64 {
        match self.disabled.drift_bound {
            true => self.lease_ms,
            false => self.lease_ms + self.drift_ms + self.stop_ms,
        }
    }
}
