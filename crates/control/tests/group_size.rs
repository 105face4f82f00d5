//! The choice of voters after members fail, join and return.

use sapphirepost_consensus::MembershipChange;
use sapphirepost_control::group_size::EvenTimer;
use sapphirepost_control::group_size::MemberView;
use sapphirepost_control::group_size::Tolerance;
use sapphirepost_control::group_size::is_even;
use sapphirepost_control::group_size::next_change;
use sapphirepost_control::group_size::voters_needed;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

/// Members in the order of their numbers, from 1: `L` leads, `v` votes, `s` is a standby, `b` is one
/// that is behind; a capital `V` or `S` is out of contact with the leader.
fn members(text: &str) -> Vec<MemberView> {
    let view = |(index, kind): (usize, char)| MemberView {
        id: MemberId(index as u64 + 1),
        is_voter: matches!(kind, 'L' | 'v' | 'V'),
        is_live: matches!(kind, 'L' | 'v' | 's' | 'b'),
        is_caught_up: kind != 'b',
        is_self: kind == 'L',
    };
    text.chars().enumerate().map(view).collect()
}

/// The change after the group, which promises one loss, has been as it is for long.
fn change(text: &str) -> Option<MembershipChange> {
    change_with(1, text)
}

/// The change after the group has been as it is for long.
fn change_with(fault_tolerance: usize, text: &str) -> Option<MembershipChange> {
    next_change(&members(text), fault_tolerance, 60_000)
}

/// The change as soon as the group, which promises one loss, is as it is.
fn change_at_once(text: &str) -> Option<MembershipChange> {
    next_change(&members(text), 1, 0)
}

/// The number of lost disks and of further failures that the group tolerates.
fn tolerance(text: &str) -> (usize, usize) {
    let tolerance = Tolerance::of(&members(text));
    (tolerance.disk_losses, tolerance.failures)
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
    assert!(is_even(&members("Lvvv"), 1));
    assert_eq!(change_at_once("Lvvv"), None);
    assert_eq!(change_at_once("Lvvvs"), promote(5));
    assert!(!is_even(&members("Lvvvv"), 1));
    assert!(!is_even(&members("Lvvvs"), 1));
    assert!(!is_even(&members("LvvvV"), 1));
    assert!(!is_even(&members("Lv"), 1));
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

/// Guards against voters without power that are removed from a group which promises two losses: the
/// three voters that remained lost their quorum for good with two disks (review case 7).
#[test]
fn silence_leaves_a_group_the_voters_that_its_promise_needs() {
    assert_eq!(change_with(2, "LvvVV"), None);
    assert_eq!(change_with(2, "LvvvV"), None);
    assert_eq!(change_with(2, "LvvV"), None);
    assert_eq!(change_with(2, "LvvvVV"), remove(5));
    assert_eq!(change_with(2, "LvvvvVV"), remove(6));
    assert_eq!(change_with(3, "LvvvvVV"), None);
    assert_eq!(change_with(0, "LVV"), None);
}

/// Guards against a new member that gets no vote because others are dark: the group stays without
/// the voters that its promise needs.
#[test]
fn a_standby_votes_while_the_group_lacks_voters() {
    assert_eq!(change_with(2, "LvvVs"), promote(5));
    assert_eq!(change_with(2, "Lvvs"), promote(4));
    assert_eq!(change_with(2, "LvvVVs"), promote(6));
    assert_eq!(change_with(2, "LvvS"), None);
    assert_eq!(change_with(1, "LVvs"), promote(4));
    assert_eq!(change_with(2, "Ls"), None);
}

/// Guards against a standby that catches up for long, for instance because its disk is full, and
/// keeps another one from the vote that the group needs.
#[test]
fn a_standby_that_is_behind_keeps_no_other_from_its_vote() {
    assert_eq!(change_with(2, "Lvvvbs"), promote(6));
    assert_eq!(change_with(1, "LvVbs"), promote(5));
    assert_eq!(change_with(2, "Lvvvb"), None);
}

/// Guards against a promise from the settings that is too large to be doubled.
#[test]
fn a_promise_beyond_all_numbers_removes_no_voter() {
    assert_eq!(change_with(usize::MAX, "LvvVV"), None);
    assert_eq!(change_with(usize::MAX / 2 + 1, "LvvVV"), None);
    assert_eq!(change_with(usize::MAX, "Lvvvvs"), promote(6));
}

/// Guards against a group that is reduced to an odd number of voters although its promise needs
/// all of them.
#[test]
fn an_even_group_keeps_the_voters_that_its_promise_needs() {
    assert_eq!(change_with(2, "Lvvv"), None);
    assert_eq!(change_with(2, "Lvvvvv"), remove(6));
    assert_eq!(change_with(3, "Lvvvvv"), None);
}

/// Guards against a change that leaves fewer voters than promised: checks every group of up to
/// eight members, with every member live or silent.
#[test]
fn no_silence_takes_a_voter_that_the_promise_needs() {
    let mut removals = 0;
    for size in 1..=8 {
        for code in 0..4_u32.pow(size - 1) {
            let kinds = (0..size - 1).map(|n| ['v', 'V', 's', 'S'][(code >> (2 * n)) as usize % 4]);
            let text: String = std::iter::once('L').chain(kinds).collect();
            let voters = text.chars().filter(|kind| "LvV".contains(*kind)).count();
            for fault_tolerance in 0..=3 {
                let change = change_with(fault_tolerance, &text);
                if matches!(change, Some(MembershipChange::Remove { .. })) {
                    removals += 1;
                    assert!(voters > voters_needed(fault_tolerance), "{text}");
                }
            }
        }
    }
    assert!(removals > 1_000);
}

/// Guards against an engineer on call who isn't told that the group tolerates fewer losses than
/// promised.
#[test]
fn the_tolerance_counts_disks_and_live_voters() {
    assert_eq!(tolerance("Lvvvv"), (2, 2));
    assert_eq!(tolerance("LvvVV"), (2, 0));
    assert_eq!(tolerance("Lvvv"), (1, 1));
    assert_eq!(tolerance("Lvvs"), (1, 1));
    assert_eq!(tolerance("LVVv"), (1, 0));
}
