//! Chooses the voters among the members.
//!
//! The group keeps an odd number of voters, as many as the live members allow; the other members
//! are standbys. It never has fewer voters than the promised fault tolerance needs, if there are
//! that many members: after the loss of that many disks, the remaining voters are a quorum once all
//! of them are back. A silent voter may only be without power, and its disk holds acknowledged
//! entries. Silence is therefore no reason to go below that number; only a lost disk is one, and the
//! leader knows of it once a new member joins at the address of a voter (see
//! [`join_step`](crate::join_step)).
//!
//! A dead voter counts towards the quorum without contributing to it. It is removed only when the
//! group tolerates more failures without it: a voter that is only out of contact would have to join
//! again and to catch up, and until then the group would tolerate less. For the same reason a live
//! voter leaves an even group only after some time: the group is even for a moment whenever a member
//! is replaced. An even number of voters tolerates no more failures than the odd number below it,
//! and if a partition splits it into halves, neither half can decide.

use sapphirepost_consensus::MembershipChange;
use sapphirepost_consensus::Term;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

/// A voter is removed only if at least this many voters remain, however few losses are promised.
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
    /// Whether it has synced everything that is committed; a standby may vote only then.
    pub is_caught_up: bool,
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

/// The fewest voters with which the group keeps what it has acknowledged while `fault_tolerance`
/// disks are lost.
pub fn voters_needed(fault_tolerance: usize) -> usize {
    let needed = fault_tolerance.saturating_mul(2).saturating_add(1);
    needed.max(VOTERS_MIN)
}

/// The next change towards an odd number of live voters, if one is needed. `fault_tolerance` is the
/// promised number of lost disks, and `even_ms` is how long [`is_even`] has held for the members.
pub fn next_change(
    members: &[MemberView],
    fault_tolerance: usize,
    even_ms: u64,
) -> Option<MembershipChange> {
    let needed = voters_needed(fault_tolerance);
    promotion(members, needed)
        .or_else(|| removal_of_dead(members, needed))
        .or_else(|| removal_from_even(members, fault_tolerance, even_ms))
}

/// Promotes a live standby if there are too few voters or too few live ones. One that is still
/// catching up, perhaps for long because its disk is full, does not keep the others waiting.
fn promotion(members: &[MemberView], needed: usize) -> Option<MembershipChange> {
    let count = Count::of(members);
    let is_short = count.voters < needed && count.live >= VOTERS_MIN;
    if count.live_voters >= live_voters_wanted(count.live, needed) && !is_short {
        return None;
    }
    let standby = members
        .iter()
        .find(|member| !member.is_voter && member.is_live && member.is_caught_up)?;
    Some(MembershipChange::Promote { member: standby.id })
}

/// Removes a dead voter if the group then tolerates more failures and still has the voters that it
/// needs.
fn removal_of_dead(members: &[MemberView], needed: usize) -> Option<MembershipChange> {
    let count = Count::of(members);
    let dead = members
        .iter()
        .find(|member| member.is_voter && !member.is_live)?;
    let dead_voters = count.voters - count.live_voters;
    let removable = dead_voters.min(count.voters.saturating_sub(needed));
    let tolerated_after = tolerated(count.voters - removable, count.live_voters);
    let is_better = tolerated_after > tolerated(count.voters, count.live_voters);
    is_better.then_some(MembershipChange::Remove { member: dead.id })
}

/// Removes a live voter from a group that has been even for long.
fn removal_from_even(
    members: &[MemberView],
    fault_tolerance: usize,
    even_ms: u64,
) -> Option<MembershipChange> {
    if !is_even(members, fault_tolerance) || even_ms < EVEN_MAX_MS {
        return None;
    }
    let last = members
        .iter()
        .rfind(|member| member.is_voter && !member.is_self)?;
    Some(MembershipChange::Remove { member: last.id })
}

/// Whether all voters are live, their number is even, no standby can be added to them and one of
/// them can be removed.
pub fn is_even(members: &[MemberView], fault_tolerance: usize) -> bool {
    let count = Count::of(members);
    let target = largest_odd(count.live);
    count.live_voters == count.voters
        && count.voters > target
        && target >= voters_needed(fault_tolerance)
}

/// What the group can lose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// How many voters may lose their disks, such that the others can still elect a leader that has
    /// everything acknowledged, once all of them are back.
    pub disk_losses: usize,
    /// How many of the live voters may fail without an interruption of the service.
    pub failures: usize,
}

impl Tolerance {
    /// The tolerance of a group with these members.
    pub fn of(members: &[MemberView]) -> Tolerance {
        let count = Count::of(members);
        Tolerance {
            disk_losses: tolerated(count.voters, count.voters),
            failures: tolerated(count.voters, count.live_voters),
        }
    }
}

/// How many members of each kind there are.
struct Count {
    live: usize,
    voters: usize,
    live_voters: usize,
}

impl Count {
    fn of(members: &[MemberView]) -> Count {
        let voters = || members.iter().filter(|member| member.is_voter);
        Count {
            live: members.iter().filter(|member| member.is_live).count(),
            voters: voters().count(),
            live_voters: voters().filter(|member| member.is_live).count(),
        }
    }
}

/// How many of the live members should vote: an odd number, or all of them if more are needed.
fn live_voters_wanted(live: usize, needed: usize) -> usize {
    let odd = largest_odd(live);
    if live < VOTERS_MIN {
        return odd;
    }
    odd.max(needed.min(live))
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
