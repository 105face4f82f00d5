//! Members that join on their own, and the adjustment of the voters.

use std::time::Duration;

use sapphirepost_consensus::Member;
use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::ProposeError;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::core::Core;
use crate::group_size;
use crate::group_size::MemberView;
use crate::group_size::Tolerance;
use crate::join_step::JoinStep;
use crate::join_step::join_step;
use crate::members::check_address;

/// A member that the leader has not heard from for longer counts as dead.
const SILENT_MAX_MS: u64 = 2_500;
/// How long a new leader waits for voters before it accepts the first table. Processes that start
/// together with it have joined by then.
const FOUNDING_MAX: Duration = Duration::from_millis(1_000);

impl Core {
    /// Handles the request of a process to become a member without a vote, as [`join_step`] decides.
    pub(crate) fn join(
        &mut self,
        now: Millis,
        member: MemberId,
        address: String,
        done: Responder<QueueReply>,
    ) {
        if let Err(reason) = check_address(&address) {
            return done.send(Ok(QueueReply::Invalid(reason)));
        }
        let silent_min_ms = self.leader_settings.election_timeout_ms;
        let is_silent = |id| self.silent_ms(id) >= silent_min_ms;
        let change = match join_step(self.node.membership(), member, &address, is_silent) {
            JoinStep::Known { is_voter } => {
                return done.send(Ok(QueueReply::Joining { is_voter }));
            }
            JoinStep::Wait => {
                log::info!(member:%, address; "another member still answers at this address");
                return done.send(Ok(QueueReply::Joining { is_voter: false }));
            }
            JoinStep::Change(change) => change,
        };
        match self.node.propose_membership(now, change.clone()) {
            Ok(_) => {
                log::info!(member:%, address, change:?; "member joins");
                done.send(Ok(QueueReply::Joining { is_voter: false }));
            }
            Err(ProposeError::Membership(error)) => {
                done.send(Ok(QueueReply::Invalid(error.to_string())));
            }
            Err(error) => done.send(Err(self.rpc_error(error))),
        }
    }

    /// For how long this leader has not heard from a member, in milliseconds; 0 for itself.
    fn silent_ms(&self, id: MemberId) -> u64 {
        let progress = self.node.member_progress(id);
        let silent_ms = progress.and_then(|progress| progress.silent_ms);
        silent_ms.unwrap_or(0)
    }

    fn has_caught_up(&self, id: MemberId) -> bool {
        let progress = self.node.member_progress(id);
        progress.is_some_and(|progress| progress.matched >= self.node.commit_index())
    }

    /// Proposes the next change of the voters, if one is needed.
    pub(crate) fn adjust_voters(&mut self, now: Millis) {
        let members = self.member_views();
        let fault_tolerance = self.fault_tolerance.get();
        self.group_tolerance.update(&members, fault_tolerance);
        let is_even = group_size::is_even(&members, fault_tolerance);
        let even_ms = self.even_timer.update(is_even, self.node.term(), now);
        let Some(change) = group_size::next_change(&members, fault_tolerance, even_ms) else {
            return;
        };
        // A change that is refused now, for instance because an earlier one is not committed yet, is
        // proposed again in a later round.
        if self.node.propose_membership(now, change.clone()).is_ok() {
            log::info!(change:?, members = members.len(); "voters change");
        }
    }

    /// Whether a group that has no table yet tolerates fewer lost disks than promised, and more
    /// processes may still join. What it acknowledged now would be lost with too few disks; without
    /// a table it acknowledges no jobs either.
    pub(crate) fn awaits_voters(&self) -> bool {
        let began = self.leadership.began();
        let is_new = began.is_some_and(|began| began.elapsed() < FOUNDING_MAX);
        let tolerance = Tolerance::of(&self.member_views());
        is_new && tolerance.disk_losses < self.fault_tolerance.get()
    }

    fn member_views(&self) -> Vec<MemberView> {
        let own = self.node.id();
        let view = |(id, member): (&MemberId, &Member)| MemberView {
            id: *id,
            is_voter: member.role == MemberRole::Voter,
            is_live: self.silent_ms(*id) <= SILENT_MAX_MS,
            is_caught_up: self.has_caught_up(*id),
            is_self: *id == own,
        };
        let members = self.node.membership().members.iter();
        members.map(view).collect()
    }
}
