//! State and entry points of a group member.
//!
//! The node is a state machine: messages and requests carry the time, and [`Node::ready`] collects
//! the output. The parts of the protocol are in the modules `election`, `replication`, `reads` and
//! `snapshot`.

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
use crate::ready::StepDown;
use crate::replication::Least;
use crate::snapshot::IncomingSnapshot;

/// Current role of a member in elections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for an election.
    Follower,
    /// Collects pre-votes, to find out whether a campaign could succeed.
    PreCandidate,
    /// Collects votes in a new term.
    Candidate,
    /// Accepts proposals and replicates its log to the other members.
    Leader,
}

/// Why a proposal, a read or a leadership transfer is refused. A refused request has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// Another member is the leader, or an election is in progress.
    #[error("not the leader")]
    NotLeader {
        /// The current leader; `None` if it is not known.
        hint: Option<MemberId>,
    },
    /// No leader is known, and none has been heard from for more than two election timeouts. For a
    /// transfer: no other voter is in contact.
    #[error("no contact with a quorum")]
    QuorumLost,
    /// A leadership transfer is in progress. For a command, also: too many bytes are uncommitted,
    /// or the log is too long.
    /// For a membership change, also: an earlier change is in progress, or no entry of the leader's
    /// term is committed yet. The request may be retried.
    #[error("busy")]
    Busy,
    /// The payload, whose size in bytes is given, is larger than
    /// [`Config::max_entry_bytes`](crate::Config::max_entry_bytes).
    #[error("payload of {0} bytes exceeds the maximum entry size")]
    TooLarge(usize),
    /// The membership change is not valid for the current membership.
    #[error(transparent)]
    Membership(#[from] MembershipError),
}

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    pub(crate) target: MemberId,
    /// When the transfer is given up.
    pub(crate) deadline: Millis,
    /// Whether the target has been asked to campaign.
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
    /// The last index that was returned in [`Ready::committed`].
    applied_index: Index,
    /// Time of the last message from a leader or, on a former leader, of its stepping down.
    pub(crate) leader_contact: Option<Millis>,
    pub(crate) election_due: Millis,
    pub(crate) heartbeat_due: Millis,
    pub(crate) votes: BTreeMap<MemberId, bool>,
    /// Number of campaigns since the last message from a leader or since this member was elected.
    pub(crate) campaigns: u32,
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    pub(crate) uncommitted_bytes: usize,
    pub(crate) transfer: Option<Transfer>,
    /// Whether the storage currently rejects records for lack of disk space.
    pub(crate) is_storage_full: bool,
    /// Whether the owner takes no more entries until it has saved a snapshot.
    pub(crate) is_log_too_long: bool,
    /// Whether the current campaign is part of a leadership transfer.
    pub(crate) is_transfer_campaign: bool,
    pub(crate) reads: Reads,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) received_snapshot: Option<Snapshot>,
    rng: Pcg64Mcg,
    pub(crate) outbox: Outbox,
    last_role_change: RoleChange,
    /// Why this member last stopped leading, until it is reported.
    pub(crate) step_down: Option<StepDown>,
    /// Time between the last two calls that passed the time.
    pub(crate) unattended_ms: u64,
}

impl Node {
    /// Creates a member from the persistent state that its storage has restored.
    pub fn new(config: Config, restored: PersistentState, now: Millis) -> Node {
        let hard_state = restored.hard_state;
        let memberships = MembershipHistory::from_persistent_state(&restored);
        let log = Log::new(restored);
        let commit_index = log.snapshot().map_or(0, |snapshot| snapshot.meta.index);
        let rng = Pcg64Mcg::seed_from_u64(config.seed ^ config.id.0);
        let last_role_change = RoleChange {
            role: Role::Follower,
            term: hard_state.term,
            leader: None,
            step_down: None,
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
            is_log_too_long: false,
            is_transfer_campaign: false,
            reads: Reads::default(),
            incoming_snapshot: None,
            received_snapshot: None,
            rng,
            outbox: Outbox::default(),
            last_role_change,
            step_down: None,
            unattended_ms: 0,
        };
        node.reset_election_timer();
        node
    }

    /// Handles a message from another member. A message of another group is ignored.
    pub fn step(&mut self, now: Millis, from: MemberId, message: Message) {
        self.advance_clock(now);
        if !self.accepts_group(&message) {
            return;
        }
        if self.is_disruptive_vote_request(&message) {
            return;
        }
        let is_granted_pre_vote = matches!(message.body, Body::PreVoteReply { granted: true });
        let is_pre_vote = matches!(message.body, Body::PreVote { .. });
        if message.term > self.term() && !is_pre_vote && !is_granted_pre_vote {
            if self.role == Role::Leader {
                self.step_down = Some(StepDown::HigherTerm);
            }
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
        self.advance_clock(now);
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

    /// Appends a command to the log and returns its index. The command is committed once it appears
    /// in [`Ready::committed`] with this index and the current term; if the leader steps down
    /// before, its outcome is unknown.
    pub fn propose(&mut self, now: Millis, payload: Bytes) -> Result<Index, ProposeError> {
        self.advance_clock(now);
        self.check_leading()?;
        if payload.len() > self.config.max_entry_bytes {
            return Err(ProposeError::TooLarge(payload.len()));
        }
        let has_room =
            self.uncommitted_bytes <= self.config.max_uncommitted_bytes && !self.is_log_too_long;
        if !has_room || self.transfer.is_some() {
            return Err(ProposeError::Busy);
        }
        Ok(self.append_as_leader(Payload::Command(payload)))
    }

    /// Sets whether commands are refused as busy because the log grows faster than it can be
    /// compacted.
    pub fn set_log_too_long(&mut self, is_too_long: bool) {
        self.is_log_too_long = is_too_long;
    }

    /// Returns an error unless this member is the leader and in contact with a quorum.
    pub fn ensure_leading(&mut self, now: Millis) -> Result<(), ProposeError> {
        self.advance_clock(now);
        self.check_leading()
    }

    /// Returns the output since the last call; the caller handles it as [`Ready`] describes. If more
    /// entries are committed than [`Config::max_committed_bytes`] allows, later calls return the
    /// rest, and the reads that have to see it.
    pub fn ready(&mut self) -> Ready {
        if self.role == Role::Leader {
            self.replicate_all(Least::Nothing);
        }
        self.outbox.ready_number += 1;
        // The reads follow, since they may need these entries.
        let committed = self.take_committed();
        let reads = self.reads.take_confirmed(self.applied_index);
        let mut ready = Ready {
            number: self.outbox.ready_number,
            snapshot: self.received_snapshot.take(),
            records: self.take_records(),
            committed,
            reads,
            aborted_reads: self.reads.take_aborted(),
            role_change: self.take_role_change(),
            messages: std::mem::take(&mut self.outbox.messages),
            messages_after_persist: std::mem::take(&mut self.outbox.messages_after_persist),
        };
        if ready.records.is_empty()
            && ready.snapshot.is_none()
            && self.outbox.is_everything_synced()
        {
            ready.messages.append(&mut ready.messages_after_persist);
        }
        ready
    }

    /// Tells the node that a snapshot of the applied state has been saved. Drops the entries that it
    /// covers, except for the last [`Config::trailing_entries`] ones within
    /// [`Config::trailing_bytes`].
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        assert!(
            index <= self.applied_index,
            "snapshot index {index} is ahead of applied index {}",
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
        let (entries, bytes) = (self.config.trailing_entries, self.config.trailing_bytes);
        self.log.compact(snapshot, entries, bytes);
    }

    /// Advances the time of the node before any input is handled. A leader checks its contact with a
    /// quorum here, so that after a pause of the process it steps down before it acts on the input.
    pub(crate) fn advance_clock(&mut self, now: Millis) {
        self.unattended_ms = now.since(self.now);
        self.now = self.now.max(now);
        if self.role == Role::Leader {
            self.check_quorum();
        }
    }

    /// Returns an error unless this member is the leader.
    pub(crate) fn check_leading(&self) -> Result<(), ProposeError> {
        if self.role == Role::Leader {
            return Ok(());
        }
        let election_wait_ms = 2 * self.config.election_timeout_ms;
        let contact_age_ms = self
            .leader_contact
            .map_or(u64::MAX, |at| self.now.since(at));
        if self.leader.is_none() && contact_age_ms > election_wait_ms {
            return Err(ProposeError::QuorumLost);
        }
        Err(ProposeError::NotLeader { hint: self.leader })
    }

    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> Index {
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
        self.reconcile_progress();
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let timeout_ms = self.config.election_timeout_ms * self.election_timeout_factor();
        let delay_ms = self.rng.random_range(timeout_ms..2 * timeout_ms);
        self.election_due = self.now + delay_ms;
    }

    fn accepts_group(&mut self, message: &Message) -> bool {
        if let Some(group) = self.hard_state.group {
            return group == message.group;
        }
        // A new member joins the group of the leader that contacts it; an operator has added the
        // member there.
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
                self.handle_snapshot_chunk(from, meta, total_bytes, (offset, data), round);
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
        let range = self.applied_index + 1..=self.commit_index;
        let committed = self.log.slice(range, self.config.max_committed_bytes);
        if let Some(last) = committed.last() {
            self.applied_index = last.index;
        }
        committed
    }

    /// Excludes the entries that a received snapshot covers from the entries to apply.
    pub(crate) fn skip_applied(&mut self, index: Index) {
        self.applied_index = self.applied_index.max(index);
    }

    fn take_role_change(&mut self) -> Option<RoleChange> {
        let current = RoleChange {
            role: self.role,
            term: self.term(),
            leader: self.leader,
            step_down: None,
        };
        if current == self.last_role_change {
            return None;
        }
        self.last_role_change = current;
        Some(RoleChange {
            step_down: self.step_down.take(),
            ..current
        })
    }
}
