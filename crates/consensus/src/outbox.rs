//! Outgoing messages and records, and tracking of what is not synced yet.
//!
//! A message that depends on durable state is sent only after everything before it is synced.

use std::collections::VecDeque;

use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use crate::entry::HardState;
use crate::entry::Index;
use crate::entry::Record;
use crate::entry::Term;
use crate::message::Body;
use crate::message::Message;
use crate::message::OutgoingMessage;
use crate::node::Node;
use crate::node::Role;
use crate::ready::Persisted;

/// End of the log, and whether the hard state changed, in a `Ready` that is not yet reported as
/// synced.
#[derive(Clone, Copy, Debug)]
struct PendingPersist {
    number: u64,
    last_index: Index,
    last_term: Term,
    has_hard_state: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) messages: Vec<OutgoingMessage>,
    pub(crate) messages_after_persist: Vec<OutgoingMessage>,
    pub(crate) ready_number: u64,
    is_hard_state_dirty: bool,
    pending_persists: VecDeque<PendingPersist>,
}

impl Outbox {
    pub(crate) fn is_everything_synced(&self) -> bool {
        self.pending_persists.is_empty()
    }
}

impl Node {
    /// Tells the node that the storage has synced all `Ready` values up to a number.
    pub fn persisted(&mut self, now: Millis, up_to: Persisted) {
        self.advance_clock(now);
        let was_synced = self.is_hard_state_synced();
        let mut has_progress = false;
        while let Some(first) = self.outbox.pending_persists.front() {
            if first.number > up_to.number {
                break;
            }
            let (index, term) = (first.last_index, first.last_term);
            self.outbox.pending_persists.pop_front();
            self.log.mark_stable(index, term);
            has_progress = true;
        }
        if !has_progress {
            return;
        }
        let is_newly_synced = !was_synced && self.is_hard_state_synced();
        if is_newly_synced && self.role != Role::Leader {
            // The vote or the vote requests are sent only now, so the timeout starts again.
            self.reset_election_timer();
        }
        if is_newly_synced && self.role == Role::Candidate {
            self.record_vote(self.config.id, true);
        }
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.outbox.is_hard_state_dirty = true;
        }
    }

    pub(crate) fn is_hard_state_synced(&self) -> bool {
        !self.outbox.is_hard_state_dirty
            && !self
                .outbox
                .pending_persists
                .iter()
                .any(|entry| entry.has_hard_state)
    }

    /// Sends a message that does not depend on unsynced state.
    pub(crate) fn send(&mut self, to: MemberId, body: Body) {
        let term = self.term();
        self.send_at_term(to, term, body);
    }

    pub(crate) fn send_at_term(&mut self, to: MemberId, term: Term, body: Body) {
        if let Some(group) = self.hard_state.group {
            self.outbox.messages.push(OutgoingMessage {
                to,
                message: Message { group, term, body },
            });
        }
    }

    /// Sends a message once all state and entries up to now are synced.
    pub(crate) fn send_after_persist(&mut self, to: MemberId, body: Body) {
        if self.config.faults.ack_before_sync {
            return self.send(to, body);
        }
        let term = self.term();
        if let Some(group) = self.hard_state.group {
            self.outbox.messages_after_persist.push(OutgoingMessage {
                to,
                message: Message { group, term, body },
            });
        }
    }

    pub(crate) fn take_records(&mut self) -> Vec<Record> {
        let has_hard_state = std::mem::take(&mut self.outbox.is_hard_state_dirty);
        let hard_state = has_hard_state.then_some(Record::HardState(self.hard_state));
        let mut records: Vec<_> = hard_state.into_iter().collect();
        records.extend(self.log.take_unsaved());
        if !records.is_empty() {
            self.outbox.pending_persists.push_back(PendingPersist {
                number: self.outbox.ready_number,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                has_hard_state,
            });
        }
        records
    }
}
