//! The choice of voters after members fail, join and return.

use sapphirepost_consensus::MembershipChange;
use sapphirepost_control::group_size::EvenTimer;
use sapphirepost_control::group_size::MemberView;
use sapphirepost_control::group_size::is_even;
use sapphirepost_control::group_size::next_change;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

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

/// The change after the group has been as it is for long.
fn change(text: &str) -> Option<MembershipChange> {
    next_change(&members(text), 60_000)
}

/// The change as soon as the group is as it is.
fn change_at_once(text: &str) -> Option<MembershipChange> {
    next_change(&members(text), 0)
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
    assert_eq!(change("Lvvs"), None);
    assert_eq!(change("Lvvss"), promote(4));
    assert_eq!(change("Lvvvs"), promote(5));
    assert_eq!(change("Lvvvv"), None);
    assert_eq!(change("Lvvv"), remove(4));
}

/// Guards against a dead voter that keeps counting towards the quorum.
#[test]
fn a_standby_replaces_a_dead_voter() {
    assert_eq!(change("LVvs"), promote(4));
    assert_eq!(change("LVvv"), remove(2));
}

/// Guards against a voter out of contact for seconds that is removed although the group tolerates no
/// more failures without it: it had to catch up before it voted again, and two disks that were lost
/// meanwhile were a majority.
#[test]
fn a_silent_voter_stays_while_the_group_tolerates_no_more_without_it() {
    assert_eq!(change("LvvvV"), None);
    assert_eq!(change("LvvvVS"), None);
    assert_eq!(change("LvvVV"), remove(4));
    assert_eq!(change("LvvV"), remove(4));
    assert_eq!(change("LvvvVs"), promote(6));
    assert_eq!(change("LvvvVv"), remove(5));
}

/// Guards against a live voter that is removed while another member is being replaced, which leaves
/// three voters of five members.
#[test]
fn a_group_that_is_even_for_a_moment_keeps_its_voters() {
    assert!(is_even(&members("Lvvv")));
    assert_eq!(change_at_once("Lvvv"), None);
    assert_eq!(change_at_once("Lvvvs"), promote(5));
    assert!(!is_even(&members("Lvvvv")));
    assert!(!is_even(&members("Lvvvs")));
    assert!(!is_even(&members("LvvvV")));
    assert!(!is_even(&members("Lv")));
}

/// Guards against a group that removes dead voters until it tolerates no further failure.
#[test]
fn a_group_of_three_voters_is_not_reduced() {
    assert_eq!(change("LVv"), None);
    assert_eq!(change("LVvS"), None);
    assert_eq!(change("LVV"), None);
}

/// Guards against a live voter that is removed at once by a member that leads again, because it
/// remembers an even group from an earlier term.
#[test]
fn the_time_of_an_even_group_begins_anew_with_each_term() {
    let mut timer = EvenTimer::default();
    assert_eq!(timer.update(true, 3, Millis(1_000)), 0);
    assert_eq!(timer.update(true, 3, Millis(1_500)), 500);
    assert_eq!(timer.update(true, 5, Millis(61_000)), 0);
    assert_eq!(timer.update(true, 5, Millis(61_200)), 200);
    assert_eq!(timer.update(false, 5, Millis(61_300)), 0);
    assert_eq!(timer.update(true, 5, Millis(61_400)), 0);
}
