//! Chooses the voters among the members.
//!
//! The group keeps an odd number of voters, as many as the live members allow; the other members
//! are standbys. A dead voter counts towards the quorum without contributing to it. It is removed
//! only when the group tolerates more failures without it: a voter that is only out of contact
//! would have to join again and to catch up, and until then the group would tolerate less. For the
//! same reason a live voter leaves an even group only after some time: the group is even for a
//! moment whenever a member is replaced. An even number of voters tolerates no more failures than
//! the odd number below it, and if a partition splits it into halves, neither half can decide.

use sapphirepost_consensus::MembershipChange;
use sapphirepost_consensus::Term;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

/// A voter is removed only if at least this many live voters remain.
const VOTERS_MIN: usize = 3;
/// How long a group has an even number of voters before one of them is removed.
const EVEN_MAX_MS: u64 = 10_000;

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

/// Measures how long a group has been even while one leader led it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EvenTimer {
    /// The term in which the group became even, and when.
    since: Option<(Term, Millis)>,
}

impl EvenTimer {
    /// Records whether the group is even for the leader of `term`. Returns for how long it has
    /// been, in milliseconds; time in an earlier term does not count.
    pub fn update(&mut self, is_even: bool, term: Term, now: Millis) -> u64 {
        let since = self.since.filter(|(known, _)| *known == term);
        self.since = is_even.then(|| since.unwrap_or((term, now)));
        self.since.map_or(0, |(_, since)| now.since(since))
    }
}

/// The next change towards an odd number of live voters, if one is needed. `even_ms` is how long
/// [`is_even`] has held for the members.
pub fn next_change(members: &[MemberView], even_ms: u64) -> Option<MembershipChange> {
    let voters = || members.iter().filter(|member| member.is_voter);
    let live_voters = voters().filter(|member| member.is_live).count();
    if let Some(dead) = voters().find(|member| !member.is_live)
        && live_voters >= VOTERS_MIN
        && tolerated(live_voters, live_voters) > tolerated(voters().count(), live_voters)
    {
        return Some(MembershipChange::Remove { member: dead.id });
    }
    let live = members.iter().filter(|member| member.is_live).count();
    if live_voters < largest_odd(live) {
        let standby = members
            .iter()
            .find(|member| !member.is_voter && member.is_live)?;
        return Some(MembershipChange::Promote { member: standby.id });
    }
    if is_even(members) && even_ms >= EVEN_MAX_MS {
        let last = voters().rfind(|member| !member.is_self)?;
        return Some(MembershipChange::Remove { member: last.id });
    }
    None
}

/// Whether all voters are live, their number is even, no standby can be added to them and one of
/// them can be removed.
pub fn is_even(members: &[MemberView]) -> bool {
    let voters = || members.iter().filter(|member| member.is_voter);
    let live = members.iter().filter(|member| member.is_live).count();
    let target = largest_odd(live);
    voters().all(|member| member.is_live) && voters().count() > target && target >= VOTERS_MIN
}

/// The number of further failures after which the live voters are still a quorum.
fn tolerated(voters: usize, live_voters: usize) -> usize {
    let quorum = voters / 2 + 1;
    live_voters.saturating_sub(quorum)
}

fn largest_odd(count: usize) -> usize {
    if count.is_multiple_of(2) {
        count.saturating_sub(1)
    } else {
        count
    }
}
