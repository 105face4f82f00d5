//! Requests of operators that list, add and remove members.

use std::net::SocketAddr;

use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::MembershipChange;
use sapphirepost_consensus::MembershipError;
use sapphirepost_consensus::ProposeError;
use sapphirepost_process::RpcError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::operator::MemberStatus;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_types::MemberId;

use crate::core::Core;
use crate::pending_calls::PendingMembershipChange;

impl Core {
    /// Handles a membership request; returns any other request.
    pub(crate) fn membership_request(
        &mut self,
        request: OperatorRequest,
        done: Responder<OperatorReply>,
    ) -> Option<(OperatorRequest, Responder<OperatorReply>)> {
        match request {
            OperatorRequest::ListMembers => done.send(Ok(OperatorReply::Members(self.members()))),
            OperatorRequest::AddMember { member, address } => {
                self.add_member(member, address, done);
            }
            OperatorRequest::RemoveMember { member } => {
                self.remove_member(member, done);
            }
            other => return Some((other, done)),
        }
        None
    }

    fn members(&self) -> Vec<MemberStatus> {
        let status = |(id, member): (&MemberId, &sapphirepost_consensus::Member)| {
            let progress = self.node.member_progress(*id);
            MemberStatus {
                member: *id,
                address: member.address.clone(),
                voter: member.role == MemberRole::Voter,
                leader: *id == self.node.id(),
                matched: progress.map_or(0, |progress| progress.matched),
                silent_ms: progress.and_then(|progress| progress.silent_ms),
            }
        };
        self.node.membership().members.iter().map(status).collect()
    }

    fn add_member(&mut self, member: MemberId, address: String, done: Responder<OperatorReply>) {
        if let Err(reason) = check_address(&address) {
            return done.send(Ok(OperatorReply::Refused(Refusal::Invalid { reason })));
        }
        if self.is_membership_uncommitted() {
            return done.send(Err(RpcError::Busy));
        }
        let known = self.node.membership().members.get(&member);
        if known.is_some_and(|known| known.address == address) {
            // A resend of a request whose answer was lost.
            let detail = format!("{member} is already a member");
            return done.send(Ok(OperatorReply::MembershipChanged { detail }));
        }
        let detail = format!("{member} joins without a vote until it has caught up");
        let change = MembershipChange::Add {
            member,
            address,
            promote: true,
        };
        self.propose_change(change, detail, done);
    }

    fn remove_member(&mut self, member: MemberId, done: Responder<OperatorReply>) {
        if self.is_membership_uncommitted() {
            return done.send(Err(RpcError::Busy));
        }
        if !self.node.membership().members.contains_key(&member) {
            // A resend of a request whose answer was lost, or the member never existed.
            let detail = format!("{member} is not a member");
            return done.send(Ok(OperatorReply::MembershipChanged { detail }));
        }
        let detail = format!("{member} is removed");
        self.propose_change(MembershipChange::Remove { member }, detail, done);
    }

    /// Whether a membership change is not applied yet. It may still be lost if this leader fails,
    /// so a request that may be its resend must not be answered as done.
    fn is_membership_uncommitted(&self) -> bool {
        self.node.membership_at(self.applied) != self.node.membership()
    }

    fn propose_change(
        &mut self,
        change: MembershipChange,
        detail: String,
        done: Responder<OperatorReply>,
    ) {
        match self.node.propose_membership(self.clock.now(), change) {
            Ok(index) => {
                let term = self.node.term();
                self.calls.add_membership_change(PendingMembershipChange {
                    index,
                    term,
                    done,
                    detail,
                });
            }
            Err(ProposeError::Membership(error)) => {
                done.send(Ok(OperatorReply::Refused(refusal(&error))));
            }
            Err(error) => done.send(Err(self.rpc_error(error))),
        }
    }
}

/// Checks the address of a member, or returns what is wrong with it.
pub(crate) fn check_address(address: &str) -> Result<(), String> {
    match address.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => Err(format!("`{address}` is not an address, expected ip:port")),
    }
}

fn refusal(error: &MembershipError) -> Refusal {
    match error {
        MembershipError::NotAMember(member) => Refusal::NotFound {
            what: member.to_string(),
        },
        error => Refusal::Invalid {
            reason: error.to_string(),
        },
    }
}
