//! Replication of the log and the commit rule.
//!
//! A leader counts its own log only up to what it has synced, and commits by counting only
//! entries of its own term: an entry of an earlier term on a quorum may still be replaced.

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
use crate::progress::Mode;

impl Node {
    /// Appends a membership change. One change at a time: the previous one, and an entry of the
    /// leader's term, must be committed.
    pub fn propose_membership(
        &mut self,
        now: Millis,
        change: MembershipChange,
    ) -> Result<Index, ProposeError> {
        self.observe(now);
        self.check_leading()?;
        let is_settled = self.memberships.current_index() <= self.commit_index;
        if !is_settled || !self.has_committed_in_current_term() || self.transfer.is_some() {
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
        Ok(self.append_own(Payload::Membership(next)))
    }

    /// Whether the leader has committed an entry of its own term, so that it knows all that was
    /// committed before.
    pub fn has_committed_in_current_term(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.commit_index) == Some(self.term())
    }

    /// Sends what is due to each member; with `force`, at least a heartbeat.
    pub(crate) fn replicate_all(&mut self, force: bool) {
        let others: Vec<MemberId> = self.progress.keys().copied().collect();
        for id in others {
            self.replicate(id, force);
        }
    }

    pub(crate) fn replicate(&mut self, to: MemberId, force: bool) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let next = progress.next;
        match progress.mode {
            Mode::Snapshot { awaiting, .. } => {
                if force || !awaiting {
                    return self.send_chunk(to);
                }
            }
            Mode::Probe { awaiting: false } => self.send_append(to, next),
            Mode::Probe { awaiting: true } => {}
            Mode::Replicate => self.stream(to),
        }
        if force {
            // Answered at once, whereas entries are answered after their sync. It also takes the
            // place of a lost probe.
            self.send_heartbeat(to);
        }
    }

    /// Sends messages ahead of the answers, as many as may be under way.
    fn stream(&mut self, to: MemberId) {
        while let Some(progress) = self.progress.get(&to) {
            let is_open = progress.inflight.len() < self.config.max_inflight_messages;
            let next = progress.next;
            let is_streaming = matches!(progress.mode, Mode::Replicate);
            if !is_streaming || !is_open || next > self.log.last_index() {
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
        let entries = self.log.slice(next, self.config.max_batch_bytes);
        let last = entries.last().map(|entry| entry.index);
        if let Some(progress) = self.progress.get_mut(&to) {
            match &mut progress.mode {
                Mode::Probe { awaiting } => *awaiting = true,
                _ => {
                    if let Some(last) = last {
                        progress.next = last + 1;
                        progress.inflight.push_back(last);
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
        if prev_index < self.commit_index {
            // A late message; all that is committed here matches the leader's log.
            return self.send_durable(
                from,
                Body::Accepted {
                    matched: self.commit_index,
                    round,
                },
            );
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
        let is_heartbeat = entries.is_empty();
        let matched = prev_index + entries.len() as u64;
        self.append_received(entries);
        self.commit_to(commit.min(matched));
        if is_heartbeat && self.is_hard_state_synced() {
            // Not delayed by a sync in progress, so that a slow disk does not look like a dead
            // member; only what is synced is acknowledged.
            let matched = matched.min(self.log.stable());
            return self.send(from, Body::Accepted { matched, round });
        }
        self.send_durable(from, Body::Accepted { matched, round });
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

    /// The last index that may match: skips the whole term of the conflicting entry.
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

    pub(crate) fn heard(&mut self, from: MemberId, round: u64) -> bool {
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&from) else {
            return false;
        };
        progress.last_heard = now;
        progress.round = progress.round.max(round);
        self.confirm_reads();
        true
    }

    pub(crate) fn handle_accepted(&mut self, from: MemberId, matched: Index, round: u64) {
        if !self.heard(from, round) {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.accepted(matched);
        }
        self.advance_commit();
        if self.role == Role::Leader {
            self.replicate(from, false);
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
        if !self.heard(from, round) {
            return;
        }
        let is_news = self
            .progress
            .get_mut(&from)
            .is_some_and(|progress| progress.rejected(prev_index, hint));
        if is_news {
            self.replicate(from, false);
        }
    }

    /// Commits what a quorum has synced.
    pub(crate) fn advance_commit(&mut self) {
        let stable = self.log.stable();
        let matched = |id: MemberId| self.progress.get(&id).map_or(stable, |other| other.matched);
        let Some(index) = self.membership().quorum_value(matched) else {
            return;
        };
        let is_own_term = self.log.term(index) == Some(self.term());
        if index <= self.commit_index || !(is_own_term || self.config.faults.commit_any_term) {
            return;
        }
        self.commit_to(index);
        self.start_waiting_reads();
        self.leave_if_removed();
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        for committed in self.commit_index + 1..=index {
            let size_bytes = self.log.get(committed).map_or(0, Entry::size_bytes);
            self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(size_bytes);
        }
        self.commit_index = self.commit_index.max(index);
    }

    /// A leader that is no longer a voter steps down once its removal is committed.
    fn leave_if_removed(&mut self) {
        let is_settled = self.memberships.current_index() <= self.commit_index;
        if is_settled && !self.membership().is_voter(self.config.id) {
            self.replicate_all(true);
            self.become_follower(self.term(), None);
        }
    }
}
