//! What a request to join changes in the membership.

use std::collections::BTreeMap;

use sapphirepost_consensus::Member;
use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::MembershipChange;
use sapphirepost_control::join_step::JoinStep;
use sapphirepost_control::join_step::join_step;
use sapphirepost_types::MemberId;

/// Voters 1 to 3 at `a1` to `a3`, and a standby 4 at `a4`.
fn membership() -> Membership {
    let member = |id: u64| {
        let role = if id < 4 {
            MemberRole::Voter
        } else {
            MemberRole::NonVoter
        };
        let address = format!("a{id}");
        (MemberId(id), Member { address, role })
    };
    let members: BTreeMap<MemberId, Member> = (1..=4).map(member).collect();
    Membership { members }
}

/// The step for a request while only member 2 is silent.
fn step(member: u64, address: &str) -> JoinStep {
    join_step(&membership(), MemberId(member), address, |id| {
        id == MemberId(2)
    })
}

#[test]
fn a_member_learns_whether_it_votes() {
    assert_eq!(step(3, "a3"), JoinStep::Known { is_voter: true });
    assert_eq!(step(4, "a4"), JoinStep::Known { is_voter: false });
}

#[test]
fn a_process_that_lost_its_disk_replaces_its_former_identity() {
    let remove = MembershipChange::Remove {
        member: MemberId(2),
    };
    assert_eq!(step(7, "a2"), JoinStep::Change(remove));
    let add = MembershipChange::Add {
        member: MemberId(7),
        address: "a7".to_owned(),
        promote: false,
    };
    assert_eq!(step(7, "a7"), JoinStep::Change(add));
}

/// Guards against a voter that is removed by the delayed request of an earlier identity, which its
/// process had before it lost a disk.
#[test]
fn a_delayed_request_removes_no_member_that_answers() {
    assert_eq!(step(7, "a3"), JoinStep::Wait);
}

/// Guards against a voter that loses its vote because it moves: it still has its disk, and without
/// it the group tolerates fewer losses than promised.
#[test]
fn a_member_that_moves_keeps_its_vote() {
    let JoinStep::Change(change) = step(3, "a9") else {
        panic!("no change");
    };
    let moved = membership().with_change(&change).unwrap();
    assert_eq!(moved.members[&MemberId(3)].address, "a9");
    assert!(moved.is_voter(MemberId(3)));
    // Even if it takes over the address of a silent voter, nothing shows that this one lost its disk.
    let JoinStep::Change(change) = step(3, "a2") else {
        panic!("no change");
    };
    let moved = membership().with_change(&change).unwrap();
    assert_eq!(moved.voters().count(), 3);
}
