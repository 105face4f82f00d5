//! Log replication and the commit rule.
//!
//! A leader counts its own log only up to the last synced entry. It commits an entry by counting
//! replicas only if the entry is of its own term, since an entry of an earlier term may still be
//! replaced even if a quorum has it.

use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::entry::Entry;
use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::Term;
use crate::membership::MembershipChange;
use crate::membership::MembershipError;
use crate::message::Body;
use crate::node::Node;
use crate::node::ProposeError;
use crate::node::Role;
use crate::progress::ReplicationMode;
use crate::ready::StepDown;

/// What a member is sent even if nothing is pending for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Least {
    Nothing,
    /// A message without entries or data, which the member answers. There may be many in a second.
    Contact,
    /// What replaces lost messages: a heartbeat, or once more a snapshot chunk.
    Heartbeat,
}

impl Node {
    /// Appends a membership change and returns its index. Refused as busy until the previous change
    /// and an entry of the leader's term are committed, so that only one change is in progress at a
    /// time, and during a leadership transfer.
    pub fn propose_membership(
        &mut self,
        now: Millis,
        change: MembershipChange,
    ) -> Result<Index, ProposeError> {
        self.advance_clock(now);
        self.check_leading()?;
        let is_membership_committed = self.memberships.current_index() <= self.commit_index;
        if !is_membership_committed
            || !self.has_committed_in_current_term()
            || self.transfer.is_some()
        {
            return Err(ProposeError::Busy);
        }
        let next = self.membership().with_change(&change)?;
        if let MembershipChange::Promote { member } = change {
            let matched = self
                .progress
                .get(&member)
                .map_or(0, |progress| progress.matched);
            if matched < self.commit_index {
                return Err(MembershipError::NotCaughtUp(member).into());
            }
        }
        Ok(self.append_as_leader(Payload::Membership(next)))
    }

    /// Whether this member is the leader and has committed an entry of its term. Only then does it
    /// know everything that was committed in earlier terms.
    pub fn has_committed_in_current_term(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit_index) == Some(self.term())
    }

    /// Sends pending entries or snapshot chunks to every other member, and at least `least`.
    pub(crate) fn replicate_all(&mut self, least: Least) {
        let others: Vec<MemberId> = self.progress.keys().copied().collect();
        for id in others {
            self.replicate(id, least);
        }
    }

    pub(crate) fn replicate(&mut self, to: MemberId, least: Least) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let next = progress.next;
        match progress.mode {
            ReplicationMode::Snapshot { awaiting, .. } => match least {
                Least::Contact if awaiting => return self.send_empty_chunk(to),
                Least::Nothing if awaiting => {}
                _ => return self.send_chunk(to),
            },
            ReplicationMode::Probe { awaiting: false } => self.send_append(to, next),
            ReplicationMode::Probe { awaiting: true } => {}
            ReplicationMode::Replicate => self.stream(to),
        }
        if least != Least::Nothing {
            // A member answers a heartbeat immediately, but entries only after their sync. The
            // heartbeat also replaces a lost probe.
            self.send_heartbeat(to);
        }
    }

    /// Sends append messages without waiting for replies, up to the limits of what is in flight.
    fn stream(&mut self, to: MemberId) {
        while let Some(progress) = self.progress.get(&to) {
            let inflight = &progress.inflight;
            let has_capacity = inflight.messages() < self.config.max_inflight_messages
                && inflight.size_bytes() < self.config.max_inflight_bytes;
            let next = progress.next;
            let is_streaming = matches!(progress.mode, ReplicationMode::Replicate);
            if !is_streaming || !has_capacity || next > self.log.last_index() {
                break;
            }
            self.send_append(to, next);
        }
    }

    fn send_heartbeat(&mut self, to: MemberId) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.start_snapshot(to);
        };
        let (commit, round) = (self.commit_index, self.reads.round());
        self.send(
            to,
            Body::Append {
                prev_index,
                prev_term,
                entries: Vec::new(),
                commit,
                round,
            },
        );
    }

    fn send_append(&mut self, to: MemberId, next: Index) {
        let prev_index = next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            return self.start_snapshot(to);
        };
        let entries = self
            .log
            .slice(next..=self.log.last_index(), self.config.max_batch_bytes);
        let last = entries.last().map(|entry| entry.index);
        if let Some(progress) = self.progress.get_mut(&to) {
            match &mut progress.mode {
                ReplicationMode::Probe { awaiting } => *awaiting = true,
                _ => {
                    if let Some(last) = last {
                        progress.next = last + 1;
                        let size_bytes = entries.iter().map(Entry::size_bytes).sum();
                        progress.inflight.push(last, size_bytes);
                    }
                }
            }
        }
        let (commit, round) = (self.commit_index, self.reads.round());
        self.send(
            to,
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            },
        );
    }

    pub(crate) fn handle_append(
        &mut self,
        from: MemberId,
        (prev_index, prev_term): (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    ) {
        let is_heartbeat = entries.is_empty();
        if prev_index < self.commit_index {
            // The log matches the leader's at least up to the commit index. The message is delayed,
            // or this member has not synced what it was sent, and the leader starts from there.
            return self.accept(from, self.commit_index, is_heartbeat, round);
        }
        if self.log.term(prev_index) != Some(prev_term) {
            let hint = self.conflict_hint(prev_index);
            return self.send(
                from,
                Body::Rejected {
                    prev_index,
                    hint,
                    round,
                },
            );
        }
        let matched = prev_index + entries.len() as u64;
        self.append_received(entries);
        self.commit_to(commit.min(matched));
        self.accept(from, matched, is_heartbeat, round);
    }

    /// Answers an append message with the index up to which the logs match. The reply to a heartbeat
    /// does not wait for a sync in progress, so that the leader does not take a member with a slow
    /// or full disk for a failed one. It acknowledges only what is synced.
    fn accept(&mut self, from: MemberId, matched: Index, is_heartbeat: bool, round: u64) {
        if is_heartbeat && self.is_hard_state_synced() {
            let matched = matched.min(self.log.stable());
            return self.send(from, Body::Accepted { matched, round });
        }
        self.send_after_persist(from, Body::Accepted { matched, round });
    }

    fn append_received(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.truncate_after(entry.index - 1),
                None => {}
            }
            self.append_entry(entry);
        }
    }

    fn truncate_after(&mut self, index: Index) {
        assert!(
            index >= self.commit_index,
            "committed entry {} would be replaced",
            index + 1
        );
        self.log.truncate_after(index);
        self.memberships.truncate_after(index);
    }

    /// Upper bound of the last index at which the logs match. Skips the whole term of the conflicting
    /// entry, so that the leader does not probe its entries one by one.
    fn conflict_hint(&self, prev_index: Index) -> Index {
        let last = self.log.last_index();
        if prev_index > last {
            return last;
        }
        let conflicting = self.log.term(prev_index);
        let mut index = prev_index;
        while index > self.commit_index && self.log.term(index) == conflicting {
            index -= 1;
        }
        index
    }

    /// Records a reply from a member, and the read round that it confirms. Returns false if the
    /// sender's progress is not tracked.
    pub(crate) fn record_contact(&mut self, from: MemberId, round: u64) -> bool {
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&from) else {
            return false;
        };
        progress.last_contact = now;
        progress.round = progress.round.max(round);
        self.confirm_reads();
        true
    }

    pub(crate) fn handle_accepted(&mut self, from: MemberId, matched: Index, round: u64) {
        if !self.record_contact(from, round) {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.record_accepted(matched);
        }
        self.advance_commit();
        if self.role == Role::Leader {
            self.replicate(from, Least::Nothing);
            self.continue_transfer();
        }
    }

    pub(crate) fn handle_rejected(
        &mut self,
        from: MemberId,
        prev_index: Index,
        hint: Index,
        round: u64,
    ) {
        if !self.record_contact(from, round) {
            return;
        }
        let has_changed = self
            .progress
            .get_mut(&from)
            .is_some_and(|progress| progress.record_rejected(prev_index, hint));
        if has_changed {
            self.replicate(from, Least::Nothing);
        }
    }

    /// Advances the commit index to the last entry that a quorum has synced, if it is of the
    /// leader's term.
    pub(crate) fn advance_commit(&mut self) {
        let stable = self.log.stable();
        let matched = |id: MemberId| self.progress.get(&id).map_or(stable, |other| other.matched);
        let Some(index) = self.membership().quorum_value(matched) else {
            return;
        };
        let is_current_term = self.log.term(index) == Some(self.term());
        if index <= self.commit_index || !(is_current_term || self.config.faults.commit_any_term) {
            return;
        }
        self.commit_to(index);
        self.start_waiting_reads();
        self.step_down_if_removed();
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        for committed in self.commit_index + 1..=index {
            let size_bytes = self.log.get(committed).map_or(0, Entry::size_bytes);
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(size_bytes);
        }
        self.commit_index = self.commit_index.max(index);
    }

    /// A leader that is no longer a voter steps down once its removal is committed.
    fn step_down_if_removed(&mut self) {
        let is_membership_committed = self.memberships.current_index() <= self.commit_index;
        if is_membership_committed && !self.membership().is_voter(self.config.id) {
            self.replicate_all(Least::Heartbeat);
            self.step_down(StepDown::NotVoter);
        }
    }
}
