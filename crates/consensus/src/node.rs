//! One member of the group.
//!
//! The node is a state machine: every input carries the time, and [`Node::ready`] collects the
//! output. The mechanisms are in the modules `election`, `replication`, `reads` and `snapshot`.

use std::collections::BTreeMap;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;
use thiserror::Error;

use crate::config::Config;
use crate::entry::Entry;
use crate::entry::HardState;
use crate::entry::Index;
use crate::entry::Payload;
use crate::entry::PersistentState;
use crate::entry::Snapshot;
use crate::entry::Term;
use crate::log::Log;
use crate::membership::MembershipError;
use crate::membership::MembershipHistory;
use crate::message::Body;
use crate::message::Message;
use crate::outbox::Outbox;
use crate::progress::Progress;
use crate::reads::Reads;
use crate::ready::Ready;
use crate::ready::RoleChange;
use crate::snapshot::Incoming;

/// What a member does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether a campaign could succeed.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal or a read is refused. It has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Another member leads, or an election is under way.
    #[error("not the leader")]
    NotLeader {
        /// The leader, if it is known.
        hint: Option<MemberId>,
    },
    /// This member has no contact with a quorum.
    #[error("no contact with a quorum")]
    QuorumLost,
    /// Too much is uncommitted, a membership change is under way, or the leader is stopping.
    #[error("busy")]
    Busy,
    /// The payload is larger than an entry may be.
    #[error("{0} bytes are too many for one entry")]
    TooLarge(usize),
    /// The membership change does not fit the membership.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}

/// A planned hand-over of the leadership.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    pub(crate) target: MemberId,
    pub(crate) deadline: Millis,
    pub(crate) is_sent: bool,
}

/// One member of a replicated group.
#[derive(Debug)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) now: Millis,
    pub(crate) role: Role,
    pub(crate) hard_state: HardState,
    pub(crate) leader: Option<MemberId>,
    pub(crate) log: Log,
    pub(crate) memberships: MembershipHistory,
    pub(crate) commit_index: Index,
    applied_index: Index,
    /// When the leader was last heard from.
    pub(crate) leader_contact: Option<Millis>,
    pub(crate) election_due: Millis,
    pub(crate) heartbeat_due: Millis,
    pub(crate) votes: BTreeMap<MemberId, bool>,
    /// Campaigns since a leader was last heard from.
    pub(crate) campaigns: u32,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) uncommitted_bytes: usize,
    pub(crate) transfer: Option<Transfer>,
    /// Whether the storage takes no records at present.
    pub(crate) is_storage_full: bool,
    /// Whether the campaign in progress was asked for by the leader.
    pub(crate) is_transfer_campaign: bool,
    pub(crate) reads: Reads,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) received_snapshot: Option<Snapshot>,
    rng: Pcg64Mcg,
    pub(crate) outbox: Outbox,
    reported: RoleChange,
}

impl Node {
    /// Starts a member from what its storage holds.
    pub fn new(config: Config, restored: PersistentState, now: Millis) -> Node {
        let hard_state = restored.hard_state;
        let memberships = MembershipHistory::restored(&restored);
        let log = Log::new(restored);
        let commit_index = log.snapshot().map_or(0, |snapshot| snapshot.meta.index);
        let rng = Pcg64Mcg::seed_from_u64(config.seed ^ config.id.0);
        let reported = RoleChange {
            role: Role::Follower,
            term: hard_state.term,
            leader: None,
        };
        let mut node = Node {
            config,
            now,
            role: Role::Follower,
            hard_state,
            leader: None,
            log,
            memberships,
            commit_index,
            applied_index: commit_index,
            leader_contact: None,
            election_due: now,
            heartbeat_due: now,
            votes: BTreeMap::new(),
            campaigns: 0,
            progress: BTreeMap::new(),
            uncommitted_bytes: 0,
            transfer: None,
            is_storage_full: false,
            is_transfer_campaign: false,
            reads: Reads::default(),
            incoming: None,
            received_snapshot: None,
            rng,
            outbox: Outbox::default(),
            reported,
        };
        node.reset_election_timer();
        node
    }

    /// Handles a message. A message of another group is ignored.
    pub fn step(&mut self, now: Millis, from: MemberId, message: Message) {
        self.observe(now);
        if !self.accepts_group(&message) {
            return;
        }
        if self.is_disturbing_vote(&message) {
            return;
        }
        let is_granted_pre_vote = matches!(message.body, Body::PreVoteReply { granted: true });
        let is_pre_vote = matches!(message.body, Body::PreVote { .. });
        if message.term > self.term() && !is_pre_vote && !is_granted_pre_vote {
            self.become_follower(message.term, None);
        }
        if message.term < self.term() {
            self.handle_stale(from, &message.body);
            return;
        }
        self.dispatch(from, message.term, message.body);
    }

    /// Handles the passing of time; to be called at [`Node::next_due`] or more often.
    pub fn tick(&mut self, now: Millis) {
        self.observe(now);
        match self.role {
            Role::Leader => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// When the next [`Node::tick`] is due.
    pub fn next_due(&self) -> Millis {
        match self.role {
            Role::Leader => self.heartbeat_due,
            _ => self.election_due,
        }
    }

    /// Appends a command. It is committed once it appears in [`Ready::committed`] with this index
    /// and the current term; if the leader steps down first, its outcome is unknown.
    pub fn propose(&mut self, now: Millis, payload: Bytes) -> Result<Index, ProposeError> {
        self.observe(now);
        self.check_leading()?;
        if payload.len() > self.config.max_entry_bytes {
            return Err(ProposeError::TooLarge(payload.len()));
        }
        if self.uncommitted_bytes > self.config.max_uncommitted_bytes || self.transfer.is_some() {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_own(Payload::Command(payload)))
    }

    /// Checks that this member leads and has contact with a quorum.
    pub fn ensure_leading(&mut self, now: Millis) -> Result<(), ProposeError> {
        self.observe(now);
        self.check_leading()
    }

    /// Collects the output since the last call.
    pub fn ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.replicate_all(false);
        }
        self.outbox.ready_number += 1;
        let mut ready = Ready {
            number: self.outbox.ready_number,
            snapshot: self.received_snapshot.take(),
            records: self.take_records(),
            committed: self.take_committed(),
            reads: self.reads.take_confirmed(),
            aborted_reads: self.reads.take_aborted(),
            role_change: self.take_role_change(),
            messages: std::mem::take(&mut self.outbox.messages),
            messages_after_persist: std::mem::take(&mut self.outbox.durable_messages),
        };
        if ready.records.is_empty()
            && ready.snapshot.is_none()
            && self.outbox.is_everything_synced()
        {
            ready.messages.append(&mut ready.messages_after_persist);
        }
        ready
    }

    /// Says that a snapshot of the applied state is saved, so that older entries can be dropped.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        assert!(
            index <= self.applied_index,
            "snapshot {index} is ahead of applied {}",
            self.applied_index
        );
        if self
            .log
            .snapshot()
            .is_some_and(|last| last.meta.index >= index)
        {
            return;
        }
        self.memberships.compact(index);
        self.log.compact(snapshot, self.config.trailing_entries);
    }

    /// Takes the time and checks the quorum first, so that a leader that was paused does not
    /// decide anything before it notices.
    pub(crate) fn observe(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            self.check_quorum();
        }
    }

    /// Whether this member may propose and confirm reads.
    pub(crate) fn check_leading(&self) -> Result<(), ProposeError> {
        if self.role == Role::Leader {
            return Ok(());
        }
        let patience_ms = 2 * self.config.election_timeout_ms;
        let silent_ms = self
            .leader_contact
            .map_or(u64::MAX, |heard| self.now.since(heard));
        if self.leader.is_none() && silent_ms > patience_ms {
            return Err(ProposeError::QuorumLost);
        }
        Err(ProposeError::NotLeader { hint: self.leader })
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.term(),
            payload,
        };
        self.uncommitted_bytes += entry.size_bytes();
        self.append_entry(entry);
        if self.config.faults.ack_before_sync {
            self.log.mark_stable(index, self.term());
            self.advance_commit();
        }
        index
    }

    pub(crate) fn append_entry(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push(entry.index, membership.clone());
        }
        self.log.push(entry);
        self.align_progress();
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let timeout_ms = self.config.election_timeout_ms * self.patience();
        let delay_ms = self.rng.random_range(timeout_ms..2 * timeout_ms);
        self.election_due = self.now + delay_ms;
    }

    fn accepts_group(&mut self, message: &Message) -> bool {
        if let Some(group) = self.hard_state.group {
            return group == message.group;
        }
        // A new member adopts the group of the leader that an operator told about it.
        let is_from_leader = matches!(
            message.body,
            Body::Append { .. } | Body::SnapshotChunk { .. }
        );
        if is_from_leader {
            self.set_hard_state(HardState {
                group: Some(message.group),
                ..self.hard_state
            });
        }
        is_from_leader
    }

    fn dispatch(&mut self, from: MemberId, term: Term, body: Body) {
        match body {
            Body::PreVote {
                last_index,
                last_term,
            } => {
                self.handle_pre_vote(from, term, last_index, last_term);
            }
            Body::PreVoteReply { granted } => self.handle_pre_vote_reply(from, term, granted),
            Body::Vote {
                last_index,
                last_term,
                ..
            } => {
                self.handle_vote(from, last_index, last_term);
            }
            Body::VoteReply { granted } => self.handle_vote_reply(from, granted),
            Body::Append {
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                self.follow(from);
                self.handle_append(from, (prev_index, prev_term), entries, commit, round);
            }
            Body::Accepted { matched, round } => self.handle_accepted(from, matched, round),
            Body::Rejected {
                prev_index,
                hint,
                round,
            } => {
                self.handle_rejected(from, prev_index, hint, round);
            }
            Body::SnapshotChunk {
                meta,
                total_bytes,
                offset,
                data,
                round,
            } => {
                self.follow(from);
                self.handle_chunk(from, meta, total_bytes, (offset, data), round);
            }
            Body::SnapshotReply {
                index,
                received,
                round,
            } => {
                self.handle_snapshot_reply(from, index, received, round);
            }
            Body::TimeoutNow => self.handle_timeout_now(),
        }
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let from = self.applied_index + 1;
        self.applied_index = self.commit_index;
        (from..=self.commit_index)
            .filter_map(|index| self.log.get(index).cloned())
            .collect()
    }

    /// Skips entries that a received snapshot contains.
    pub(crate) fn skip_applied(&mut self, index: Index) {
        self.applied_index = self.applied_index.max(index);
    }

    fn take_role_change(&mut self) -> Option<RoleChange> {
        let current = RoleChange {
            role: self.role,
            term: self.term(),
            leader: self.leader,
        };
        if current == self.reported {
            return None;
        }
        self.reported = current;
        Some(current)
    }
}
