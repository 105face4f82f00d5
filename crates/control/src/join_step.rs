//! What a request to join changes in the membership.
//!
//! A process that lost its disk returns with a new identity at the address of the former one. That
//! is the only sign by which the leader tells a lost disk from a loss of power: the former identity
//! cannot return, so it is removed, whatever the number of voters. A member that moves to another
//! address still has its disk, so it keeps its vote.

use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::MembershipChange;
use sapphirepost_types::MemberId;

/// The answer to a request to join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JoinStep {
    /// The process is a member at this address.
    Known {
        /// Whether it votes.
        is_voter: bool,
    },
    /// The change to propose now; a later request of the process leads to the next one.
    Change(MembershipChange),
    /// Another member still answers at this address, so the request may be an old one. A later
    /// request of the process decides.
    Wait,
}

/// The next step for `member`, which asks to join with `address`. `is_silent` tells whether a member
/// has not answered the leader for long enough that its process has ended.
pub fn join_step(
    membership: &Membership,
    member: MemberId,
    address: &str,
    is_silent: impl Fn(MemberId) -> bool,
) -> JoinStep {
    let members = &membership.members;
    let change = match members.get(&member) {
        Some(known) if known.address == address => {
            let is_voter = known.role == MemberRole::Voter;
            return JoinStep::Known { is_voter };
        }
        Some(_) => MembershipChange::Move {
            member,
            address: address.to_owned(),
        },
        None => match members.iter().find(|(_, known)| known.address == address) {
            Some((former, _)) if !is_silent(*former) => return JoinStep::Wait,
            Some((former, _)) => MembershipChange::Remove { member: *former },
            None => MembershipChange::Add {
                member,
                address: address.to_owned(),
                promote: false,
            },
        },
    };
    JoinStep::Change(change)
}
