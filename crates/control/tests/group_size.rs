//! Who votes after losses, joins and returns.

use sapphirepost_consensus::MembershipChange;
use sapphirepost_control::group_size::MemberView;
use sapphirepost_control::group_size::next_change;
use sapphirepost_types::MemberId;

/// Members in the order of their numbers, from 1: `L` leads, `v` votes, `s` is a standby; a
/// capital `V` or `S` is silent.
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

/// Guards against an even group, of which neither half decides when it is cut in two (found on the
/// platform's bench as seven seconds without any service).
#[test]
fn the_number_of_voters_is_odd() {
    assert_eq!(next_change(&members("Lvvs")), None);
    assert_eq!(next_change(&members("Lvvss")), promote(4));
    assert_eq!(next_change(&members("Lvvvs")), promote(5));
    assert_eq!(next_change(&members("Lvvvv")), None);
    assert_eq!(next_change(&members("Lvvv")), remove(4));
}

/// Guards against a dead voter that raises the quorum of the others.
#[test]
fn a_standby_takes_the_vote_of_a_dead_voter() {
    assert_eq!(next_change(&members("LVvs")), promote(4));
    assert_eq!(next_change(&members("LVvv")), remove(2));
    assert_eq!(next_change(&members("LvvvV")), remove(5));
}

/// Guards against a group that shrinks below what bears one more loss.
#[test]
fn three_voters_stay_three() {
    assert_eq!(next_change(&members("LVv")), None);
    assert_eq!(next_change(&members("LVvS")), None);
    assert_eq!(next_change(&members("LVV")), None);
}
