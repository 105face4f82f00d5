//! Creates the [`Leader`] of a term that this member leads.

use sapphirepost_consensus::Term;
use sapphirepost_leader::Context;
use sapphirepost_leader::Leader;
use sapphirepost_leader::LeaderConfig;
use sapphirepost_types::MemberId;

/// The parameters of a [`Leader`] that are the same in all terms of this process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaderSettings {
    pub(crate) member: MemberId,
    pub(crate) lease_ms: u64,
    /// The shortest election timeout; the longest is twice as long.
    pub(crate) election_timeout_ms: u64,
}

impl LeaderSettings {
    /// Creates the leader of `term` from the state that this member has applied.
    pub(crate) fn new_leader(&self, term: Term, ctx: &Context<'_>) -> Leader {
        let defaults = LeaderConfig::default();
        let config = LeaderConfig {
            member: self.member,
            term,
            lease_ms: self.lease_ms,
            hand_over_ms: defaults.hand_over_ms.max(2 * self.election_timeout_ms),
            ..defaults
        };
        let seed = ctx.unix_ms ^ term;
        Leader::new(config, ctx.state, ctx.now, ctx.unix_ms, seed)
    }
}
