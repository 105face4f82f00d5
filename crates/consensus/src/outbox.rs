//! Messages and records that wait to be handed out, and what is not synced yet.
//!
//! A message that promises something about the disk waits until everything before it is synced.

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

/// The log end and hard state of a `Ready` that is not reported as synced yet.
#[derive(Clone, Copy, Debug)]
struct Persisting {
    number: u64,
    last_index: Index,
    last_term: Term,
    has_hard_state: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub(crate) messages: Vec<OutgoingMessage>,
    pub(crate) durable_messages: Vec<OutgoingMessage>,
    pub(crate) ready_number: u64,
    is_hard_state_dirty: bool,
    persisting: VecDeque<Persisting>,
}

impl Outbox {
    pub(crate) fn is_everything_synced(&self) -> bool {
        self.persisting.is_empty()
    }
}

impl Node {
    /// Says that the storage has synced all `Ready` values up to a number.
    pub fn persisted(&mut self, now: Millis, upto: Persisted) {
        self.observe(now);
        let was_synced = self.is_hard_state_synced();
        let mut is_progress = false;
        while let Some(first) = self.outbox.persisting.front() {
            if first.number > upto.number {
                break;
            }
            let (index, term) = (first.last_index, first.last_term);
            self.outbox.persisting.pop_front();
            self.log.mark_stable(index, term);
            is_progress = true;
        }
        if !is_progress {
            return;
        }
        let is_new = !was_synced && self.is_hard_state_synced();
        if is_new && self.role != Role::Leader {
            // The vote, or the requests for votes, leave now.
            self.reset_election_timer();
        }
        if is_new && self.role == Role::Candidate {
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
                .persisting
                .iter()
                .any(|entry| entry.has_hard_state)
    }

    /// Sends a message that promises nothing about the disk.
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

    /// Sends a message once everything up to now is synced.
    pub(crate) fn send_durable(&mut self, to: MemberId, body: Body) {
        if self.config.faults.ack_before_sync {
            return self.send(to, body);
        }
        let term = self.term();
        if let Some(group) = self.hard_state.group {
            self.outbox.durable_messages.push(OutgoingMessage {
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
            self.outbox.persisting.push_back(Persisting {
                number: self.outbox.ready_number,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
                has_hard_state,
            });
        }
        records
    }
}
