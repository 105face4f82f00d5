//! Chooses the voters among the members.
//!
//! The group keeps an odd number of voters, as many as the live members allow; the other members
//! are standbys. A dead voter counts towards the quorum without contributing to it, so it is
//! replaced by a live member. An even number of voters tolerates no more failures than the odd
//! number below it, and if a partition splits it into halves, neither half can decide.

use sapphirepost_consensus::MembershipChange;
use sapphirepost_types::MemberId;

/// A voter is removed only if at least this many live voters remain.
const VOTERS_MIN: usize = 3;

/// What the leader knows of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The identity by which a change names it.
    pub id: MemberId,
    /// Whether it votes; otherwise it is a standby.
    pub is_voter: bool,
    /// Whether the leader has heard from it recently; true for the leader itself.
    pub is_live: bool,
    /// Whether it is the leader itself, which [`next_change`] never removes.
    pub is_self: bool,
}

/// The next change towards an odd number of live voters, if one is needed.
pub fn next_change(members: &[MemberView]) -> Option<MembershipChange> {
    let voters = || members.iter().filter(|member| member.is_voter);
    let live_voters = voters().filter(|member| member.is_live).count();
    if let Some(dead) = voters().find(|member| !member.is_live)
        && live_voters >= VOTERS_MIN
    {
        return Some(MembershipChange::Remove { member: dead.id });
    }
    let live = members.iter().filter(|member| member.is_live).count();
    let target = largest_odd(live);
    if live_voters < target {
        let standby = members
            .iter()
            .find(|member| !member.is_voter && member.is_live)?;
        return Some(MembershipChange::Promote { member: standby.id });
    }
    let is_even = voters().count() == live_voters && live_voters > target;
    if is_even && target >= VOTERS_MIN {
        let last = voters().rfind(|member| !member.is_self)?;
        return Some(MembershipChange::Remove { member: last.id });
    }
    None
}

fn largest_odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}
