//! Settings of the leader.

use sapphirepost_placement::PlacementConfig;
use sapphirepost_types::MemberId;

/// Settings of a [`Leader`](crate::Leader).
#[derive(Clone, Debug)]
pub struct LeaderConfig {
    /// The member ID of this control process.
    pub member: MemberId,
    /// The term in which this process leads.
    pub term: u64,
    /// Duration of a lease on the worker's clock, counted from when the worker sent the sync.
    pub lease_ms: u64,
    /// How much longer than `lease_ms` a lease may last on the leader's clock because of clock
    /// drift.
    pub drift_ms: u64,
    /// Longest time that a worker takes to stop its tasks after its lease has ended.
    pub stop_ms: u64,
    /// How long after the start of this leader its predecessor may still renew leases. A voter that
    /// restarted does not remember the heartbeats of the predecessor, and replies to heartbeats may
    /// arrive late, so the predecessor may consider itself the leader for about one election
    /// timeout longer. Must be at least the longest election timeout.
    pub hand_over_ms: u64,
    /// Longest time for which a sync is held. The lease counts from when the sync was sent, so a
    /// longer hold leaves less of it when the reply arrives.
    pub hold_max_ms: u64,
    /// Longest time for which a sync is held while a start or stop command is not confirmed by a
    /// report. A worker that sends one sync at a time cannot report before the held sync is
    /// answered, and an urgent task would wait for capacity that is already free.
    pub hold_pending_ms: u64,
    /// Maximum number of syncs held for one worker. Beyond it, the oldest gets a reply without lease
    /// and commands.
    pub held_syncs_max: usize,
    /// Interval at which a start or stop command is sent again until a report confirms it.
    pub command_resend_ms: u64,
    /// Time after which a worker that syncs but has not confirmed a start command is assumed to
    /// receive no replies. Its lease is then no longer renewed, so that its tasks start elsewhere.
    /// It becomes connected again with a full report, which it sends only after it has received a
    /// reply that asks for one.
    pub unconfirmed_start_max_ms: u64,
    /// Time after which a proposal that was not applied is considered lost.
    pub proposal_timeout_ms: u64,
    /// Longest time for which a configuration poll or a wait for a configuration version is held.
    pub watch_max_ms: u64,
    /// Maximum number of pending calls, separately for operator requests, claim batches and waits
    /// for a configuration version. Further calls get [`Reply::Busy`](crate::Reply::Busy).
    pub waiting_calls_max: usize,
    /// Settings of the placer.
    pub placement: PlacementConfig,
    /// Approximate number of waiting tasks that one tick examines.
    pub decide_budget: usize,
    /// Mechanisms that tests disable to show that their checks detect the failure.
    #[doc(hidden)]
    pub disabled: Disabled,
}

/// Safety mechanisms that tests disable; each field describes the behaviour when it is set.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Disabled {
    /// A lease is assumed to end after `lease_ms` on the leader's clock, without the bounds for
    /// drift and for stopping tasks.
    pub drift_bound: bool,
    /// A new leader assumes that the leases granted by its predecessor have ended.
    pub new_leader_waits: bool,
    /// Leases are renewed after an expiry was proposed.
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
            command_resend_ms: 500,
            unconfirmed_start_max_ms: 10_000,
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
    /// Time after a renewal at which the lease has certainly ended and the worker has stopped its
    /// tasks.
    pub(crate) fn lease_end_bound_ms(&self) -> u64 {
        match self.disabled.drift_bound {
            true => self.lease_ms,
            false => self.lease_ms + self.drift_ms + self.stop_ms,
        }
    }
}
