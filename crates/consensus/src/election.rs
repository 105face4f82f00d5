//! Elections: pre-vote, votes, check-quorum and leadership transfer.
//!
//! A member sends a vote request, counts its own vote and grants a vote only after its term and vote
//! are synced; otherwise it could vote twice in a term after a restart.

use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::entry::HardState;
use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::Term;
use crate::membership::MemberRole;
use crate::membership::MembershipChange;
use crate::message::Body;
use crate::message::Message;
use crate::node::Node;
use crate::node::ProposeError;
use crate::node::Role;
use crate::node::Transfer;
use crate::progress::Progress;
use crate::progress::ReplicationMode;
use crate::ready::StepDown;
use crate::replication::Least;

/// Limits how often the election timeout of a candidate is doubled: to at most eight times the
/// configured value, before randomization.
const ELECTION_TIMEOUT_DOUBLINGS_MAX: u32 = 3;

impl Node {
    /// Starts to transfer the leadership to the most up-to-date voter that is in contact, for example
    /// before the process stops, and returns that voter. Proposals are refused as busy until another
    /// member leads or an election timeout has passed.
    pub fn transfer_leadership(&mut self, now: Millis) -> Result<MemberId, ProposeError> {
        self.advance_clock(now);
        self.check_leading()?;
        let candidates = self.progress.iter().filter(|(id, progress)| {
            let is_recent = self.now.since(progress.last_contact) < self.config.election_timeout_ms;
            is_recent && self.membership().is_voter(**id)
        });
        let best = candidates.max_by_key(|(_, progress)| (progress.matched, progress.last_contact));
        let target = best.map(|(id, _)| *id).ok_or(ProposeError::QuorumLost)?;
        let deadline = self.now + self.config.election_timeout_ms;
        self.transfer = Some(Transfer {
            target,
            deadline,
            is_sent: false,
        });
        self.continue_transfer();
        Ok(target)
    }

    /// Sets whether the storage currently rejects records for lack of disk space. If so, the member
    /// does not campaign, and a leader transfers its leadership or else steps down: it could neither
    /// persist a vote nor count its own log towards a commit.
    pub fn set_storage_full(&mut self, now: Millis, is_full: bool) {
        self.is_storage_full = is_full;
        if is_full && self.role == Role::Leader && self.transfer_leadership(now).is_err() {
            self.step_down(StepDown::StorageFull);
        }
    }

    /// Asks the target of a leadership transfer to campaign once its log is complete.
    pub(crate) fn continue_transfer(&mut self) {
        let Some(transfer) = &mut self.transfer else {
            return;
        };
        let matched = self
            .progress
            .get(&transfer.target)
            .map_or(0, |progress| progress.matched);
        if transfer.is_sent || matched < self.log.last_index() {
            return;
        }
        transfer.is_sent = true;
        let target = transfer.target;
        self.send(target, Body::TimeoutNow);
    }

    pub(crate) fn tick_election(&mut self) {
        if self.now < self.election_due {
            return;
        }
        self.leader = None;
        self.reset_election_timer();
        if !self.is_hard_state_synced() {
            // The last vote or vote requests have not been sent yet. Another campaign would make
            // them obsolete, and with slow disks no campaign would ever complete.
            return;
        }
        if self.may_campaign() {
            self.is_transfer_campaign = false;
            if self.config.faults.no_pre_vote {
                self.campaign();
            } else {
                self.pre_campaign();
            }
        }
    }

    fn may_campaign(&self) -> bool {
        self.membership().is_voter(self.config.id) && !self.is_storage_full
    }

    /// Factor by which the election timeout is extended. If every voter needs longer than an election
    /// timeout to sync its vote, a constant timeout would end every campaign before the votes arrive,
    /// so candidates double it from the third campaign on. The second campaign is not extended, since
    /// its usual cause is a split vote.
    pub(crate) fn election_timeout_factor(&self) -> u64 {
        match self.role {
            Role::Candidate => {
                1 << self
                    .campaigns
                    .saturating_sub(2)
                    .min(ELECTION_TIMEOUT_DOUBLINGS_MAX)
            }
            _ => 1,
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        if self
            .transfer
            .is_some_and(|transfer| self.now >= transfer.deadline)
        {
            self.transfer = None;
            if self.is_storage_full {
                return self.step_down(StepDown::StorageFull);
            }
        }
        if self.now < self.heartbeat_due {
            return;
        }
        self.heartbeat_due = self.now + self.config.heartbeat_ms;
        self.replicate_all(Least::Heartbeat);
        self.promote_caught_up();
    }

    /// Steps down if the leader has had no contact with a quorum for an election timeout.
    pub(crate) fn check_quorum(&mut self) {
        let last_contact = |id: MemberId| {
            self.progress
                .get(&id)
                .map_or(self.now, |other| other.last_contact)
        };
        let quorum_contact = self
            .membership()
            .quorum_value(last_contact)
            .unwrap_or(self.now);
        let silent_ms = self.now.since(quorum_contact);
        let is_lost = silent_ms >= self.config.election_timeout_ms;
        if is_lost && !self.config.faults.no_check_quorum {
            self.step_down(StepDown::QuorumSilent {
                silent_ms,
                unattended_ms: self.unattended_ms,
            });
        }
    }

    /// Stops leading in the current term, and records why.
    pub(crate) fn step_down(&mut self, reason: StepDown) {
        self.step_down = Some(reason);
        self.become_follower(self.term(), None);
    }

    /// Whether a message is a vote request that must be ignored because there is a live leader and
    /// the request is not part of a leadership transfer.
    pub(crate) fn is_disruptive_vote_request(&self, message: &Message) -> bool {
        let is_request = match message.body {
            Body::PreVote { .. } => true,
            Body::Vote { transfer, .. } => !transfer,
            _ => false,
        };
        is_request && self.has_live_leader() && !self.config.faults.no_pre_vote
    }

    fn has_live_leader(&self) -> bool {
        if self.role == Role::Leader {
            return true;
        }
        let timeout_ms = self.config.election_timeout_ms;
        let is_recent = self
            .leader_contact
            .is_some_and(|at| self.now.since(at) < timeout_ms);
        self.leader.is_some() && is_recent
    }

    /// Follows the sender of a message of the current term that only a leader sends.
    pub(crate) fn follow(&mut self, leader: MemberId) {
        assert!(
            self.role != Role::Leader,
            "two leaders in term {}",
            self.term()
        );
        self.become_follower(self.term(), Some(leader));
        self.leader_contact = Some(self.now);
        self.campaigns = 0;
    }

    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<MemberId>) {
        if term > self.term() {
            self.set_hard_state(HardState {
                term,
                voted_for: None,
                ..self.hard_state
            });
            self.incoming_snapshot = None;
        }
        if self.role == Role::Leader {
            self.reads.abort();
            self.progress.clear();
            self.transfer = None;
            self.uncommitted_bytes = 0;
            // Counts as contact with a leader, so that requests are first refused with `NotLeader`,
            // and with `QuorumLost` only if the election takes too long.
            self.leader_contact = Some(self.now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reset_election_timer();
    }

    fn pre_campaign(&mut self) {
        self.role = Role::PreCandidate;
        self.votes.clear();
        let body = Body::PreVote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for voter in self.other_voters() {
            self.send_at_term(voter, self.term() + 1, body.clone());
        }
        self.record_vote(self.config.id, true);
    }

    fn campaign(&mut self) {
        let id = self.config.id;
        let term = self.term() + 1;
        self.role = Role::Candidate;
        self.campaigns += 1;
        self.leader = None;
        self.votes.clear();
        self.reset_election_timer();
        self.set_hard_state(HardState {
            term,
            voted_for: Some(id),
            ..self.hard_state
        });
        let body = Body::Vote {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer: self.is_transfer_campaign,
        };
        for voter in self.other_voters() {
            self.send_after_persist(voter, body.clone());
        }
        if self.config.faults.ack_before_sync {
            self.record_vote(id, true);
        }
    }

    fn other_voters(&self) -> Vec<MemberId> {
        self.membership()
            .voters()
            .filter(|&voter| voter != self.config.id)
            .collect()
    }

    pub(crate) fn record_vote(&mut self, from: MemberId, granted: bool) {
        self.votes.insert(from, granted);
        let membership = self.membership();
        let granting = self
            .votes
            .iter()
            .filter(|(id, granted)| **granted && membership.is_voter(**id));
        if granting.count() < membership.quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.campaigns = 0;
        self.leader = Some(self.config.id);
        self.votes.clear();
        self.uncommitted_bytes = 0;
        self.heartbeat_due = self.now + self.config.heartbeat_ms;
        self.progress.clear();
        self.reconcile_progress();
        self.append_as_leader(Payload::Noop);
        self.replicate_all(Least::Heartbeat);
    }

    /// Makes the leader track the progress of exactly the other members of the current membership.
    pub(crate) fn reconcile_progress(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let membership = self.memberships.current();
        self.progress
            .retain(|id, _| membership.members.contains_key(id));
        let next = self.log.last_index() + 1;
        for id in membership
            .members
            .keys()
            .filter(|id| **id != self.config.id)
        {
            self.progress
                .entry(*id)
                .or_insert_with(|| Progress::new(next, self.now));
        }
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: MemberId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let is_eligible = term > self.term() && self.log.is_up_to_date(last_index, last_term);
        let granted = is_eligible && !self.has_priority_over(from, last_index, last_term);
        if granted {
            // Delays this member's campaign to give the candidate time to win, since two concurrent
            // campaigns would split the votes.
            self.election_due = self.election_due.max(self.now + self.config.heartbeat_ms);
        }
        let reply_term = if granted { term } else { self.term() };
        self.send_at_term(from, reply_term, Body::PreVoteReply { granted });
    }

    /// Whether this member is a pre-candidate with an equal log and the higher ID. Of two such members
    /// only one may get the other's pre-vote; otherwise both would campaign in the same term and
    /// split the votes.
    fn has_priority_over(&self, other: MemberId, last_index: Index, last_term: Term) -> bool {
        let is_same_log = (last_index, last_term) == (self.log.last_index(), self.log.last_term());
        self.role == Role::PreCandidate && is_same_log && self.config.id > other
    }

    pub(crate) fn handle_pre_vote_reply(&mut self, from: MemberId, term: Term, granted: bool) {
        if self.role == Role::PreCandidate && granted && term == self.term() + 1 {
            self.record_vote(from, true);
        }
    }

    pub(crate) fn handle_vote(&mut self, from: MemberId, last_index: Index, last_term: Term) {
        let is_vote_available = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = is_vote_available
            && self.role != Role::Leader
            && self.log.is_up_to_date(last_index, last_term);
        if granted {
            self.set_hard_state(HardState {
                voted_for: Some(from),
                ..self.hard_state
            });
            self.reset_election_timer();
        }
        self.send_after_persist(from, Body::VoteReply { granted });
    }

    pub(crate) fn handle_vote_reply(&mut self, from: MemberId, granted: bool) {
        if self.role == Role::Candidate {
            self.record_vote(from, granted);
        }
    }

    pub(crate) fn handle_timeout_now(&mut self) {
        if self.may_campaign() && self.role != Role::Leader {
            self.is_transfer_campaign = true;
            self.campaign();
        }
    }

    /// Answers a pre-vote, an append message or a snapshot chunk of an earlier term, so that its
    /// sender learns the current term. Ignores other messages of earlier terms.
    pub(crate) fn handle_stale(&mut self, from: MemberId, body: &Body) {
        match body {
            Body::PreVote { .. } => self.send(from, Body::PreVoteReply { granted: false }),
            Body::Append { .. } | Body::SnapshotChunk { .. } => {
                // This member may have reached a higher term while it was isolated and can no
                // longer accept messages of the leader's term, so the leader must learn the higher
                // one.
                let hint = self.log.last_index();
                self.send_after_persist(
                    from,
                    Body::Rejected {
                        prev_index: 0,
                        hint,
                        round: 0,
                    },
                );
            }
            _ => {}
        }
    }

    /// Proposes to promote a joining member that is in contact and has synced all committed entries.
    fn promote_caught_up(&mut self) {
        let membership = self.membership();
        let caught_up = self.progress.iter().find(|(id, progress)| {
            let is_joining = membership
                .members
                .get(id)
                .is_some_and(|member| member.role == MemberRole::Joining);
            let is_recent = self.now.since(progress.last_contact) < self.config.election_timeout_ms;
            let is_streaming = matches!(progress.mode, ReplicationMode::Replicate);
            is_joining && is_recent && is_streaming && progress.matched >= self.commit_index
        });
        if let Some(member) = caught_up.map(|(id, _)| *id) {
            // Refused while another change is in progress; retried at the next heartbeat.
            let _ = self.propose_membership(self.now, MembershipChange::Promote { member });
        }
    }
}
