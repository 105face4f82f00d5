//! The choice of voters after members fail, join and return.

use sapphirepost_consensus::MembershipChange;
use sapphirepost_control::group_size::MemberView;
use sapphirepost_control::group_size::next_change;
use sapphirepost_types::MemberId;

/// Members in the order of their numbers, from 1: `L` leads, `v` votes, `s` is a standby; a
/// capital `V` or `S` is out of contact with the leader.
fn members(text: &str) -> Vec<MemberView> {
    let view = |(index, kind): (usize, char)| MemberView {
        id: MemberId(index as u64 + 1),
        is_voter: matches!(kind, 'L' | 'v' | 'V'),
        is_live: matches!(kind, 'L' | 'v' | 's'),
        is_self: kind == 'L',
    };
    text.chars().enumerate().map(view).collect()
}

fn remove(member: u64) -> Option<MembershipChange> {
    let member = MemberId(member);
    Some(MembershipChange::Remove { member })
}

fn promote(member: u64) -> Option<MembershipChange> {
    let member = MemberId(member);
    Some(MembershipChange::Promote { member })
}

/// Guards against an even number of voters: when a partition splits them into halves, neither half
/// has a quorum. In a run of the platform this caused seven seconds without any service.
#[test]
fn the_number_of_voters_is_odd() {
    assert_eq!(next_change(&members("Lvvs")), None);
    assert_eq!(next_change(&members("Lvvss")), promote(4));
    assert_eq!(next_change(&members("Lvvvs")), promote(5));
    assert_eq!(next_change(&members("Lvvvv")), None);
    assert_eq!(next_change(&members("Lvvv")), remove(4));
}

/// Guards against a dead voter that keeps counting towards the quorum.
#[test]
fn a_standby_replaces_a_dead_voter() {
    assert_eq!(next_change(&members("LVvs")), promote(4));
    assert_eq!(next_change(&members("LVvv")), remove(2));
    assert_eq!(next_change(&members("LvvvV")), remove(5));
}

/// Guards against a group that removes dead voters until it tolerates no further failure.
#[test]
fn a_group_of_three_voters_is_not_reduced() {
    assert_eq!(next_change(&members("LVv")), None);
    assert_eq!(next_change(&members("LVvS")), None);
    assert_eq!(next_change(&members("LVV")), None);
}
