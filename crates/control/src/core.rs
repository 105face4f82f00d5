//! The core thread, which owns the consensus node, the replicated state and, while this member
//! leads, the scheduling decisions.
//!
//! Each round handles queued events, advances the node's time, and then handles the node's output
//! until none is left, or for a limited time if many committed entries are to be applied. The clock
//! is read again before replies are sent, so that a process that was paused first notices that it
//! may no longer lead.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use flume::RecvTimeoutError;
use thiserror::Error;

use sapphirepost_consensus::Body;
use sapphirepost_consensus::Entry;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::ProposeError;
use sapphirepost_consensus::Ready;
use sapphirepost_consensus::Role;
use sapphirepost_consensus::RoleChange;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_process::Readiness;
use sapphirepost_process::RpcError;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

use crate::cluster_clock::ClusterClock;
use crate::cluster_metrics::ClusterMetrics;
use crate::commit_path::CommitPath;
use crate::commit_path::Hop;
use crate::core_load::CoreLoad;
use crate::core_load::EventKind;
use crate::core_load::Work;
use crate::event::Event;
use crate::event::EventReceiver;
use crate::follower_reads::StateAge;
use crate::group_size::EvenTimer;
use crate::group_tolerance::FaultTolerance;
use crate::group_tolerance::GroupTolerance;
use crate::leader_settings::LeaderSettings;
use crate::leadership::LEADER_TICK_INTERVAL_MS;
use crate::leadership::Leadership;
use crate::metrics::CoreMetrics;
use crate::peers::Peers;
use crate::pending_calls::PendingCalls;
use crate::queues::Queues;
use crate::relayed_reports::RelayedReports;
use crate::snapshots::Snapshots;
use crate::storage_thread::StorageRequest;
use crate::storage_thread::StorageSender;

/// How many queued events a round handles, after the one that it waited for, before it turns to the
/// node's output. Proposals of the same round share a message.
const EVENTS_PER_ROUND: usize = 512;
/// A round turns to the node's output after this time even if more events are queued. It is a part
/// of the interval of heartbeats, which are output.
const EVENT_TIME_PER_ROUND: Duration = Duration::from_millis(15);
/// A round goes on to the next one after this time even if more committed entries are to be applied,
/// so that a long log delays neither heartbeats nor the messages of the group.
const OUTPUT_TIME_PER_ROUND: Duration = Duration::from_millis(15);
/// A leader begins rounds this far apart for each worker, so that replies that come one by one share
/// a round and the turns of threads that it costs. At 1,100 workers these are 2.2 ms.
const ROUND_INTERVAL_PER_WORKER: Duration = Duration::from_micros(2);
/// A shorter interval saves no turns.
const ROUND_INTERVAL_MIN: Duration = Duration::from_micros(500);
/// A commit waits for two rounds of the leader.
const ROUND_INTERVAL_MAX: Duration = Duration::from_millis(3);
/// A call that has waited for this long is not handled any more. Callers wait for less, and submit
/// again under the same ID.
const CALL_AGE_MAX: Duration = Duration::from_millis(1_000);
/// How long a graceful stop waits for the leadership transfer.
const LEADERSHIP_TRANSFER_WAIT_MS: u64 = 1_000;

/// A failure that ends the core thread and with it the process.
#[derive(Debug, Error)]
pub enum CoreError {
    /// The storage failed, so nothing more may be acknowledged.
    #[error("the storage failed: {0}")]
    Storage(String),
    /// A committed command or a received snapshot cannot be decoded. If this member skipped it, its
    /// state would diverge from that of the others.
    #[error("cannot apply entry {index}: {reason}")]
    Apply {
        /// The index of the entry, or of the last entry that the snapshot covers.
        index: Index,
        /// Why it cannot be decoded.
        reason: String,
    },
}

pub(crate) struct Core {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) node: Node,
    pub(crate) state: State,
    pub(crate) applied: Index,
    pub(crate) calls: PendingCalls,
    pub(crate) peers: Peers,
    pub(crate) storage_requests: StorageSender,
    pub(crate) snapshots: Snapshots,
    pub(crate) readiness: Readiness,
    pub(crate) metrics: CoreMetrics,
    pub(crate) cluster_clock: ClusterClock,
    pub(crate) cluster_metrics: ClusterMetrics,
    pub(crate) leader_settings: LeaderSettings,
    pub(crate) leadership: Leadership,
    pub(crate) queues: Queues,
    pub(crate) relayed_reports: RelayedReports,
    pub(crate) state_age: StateAge,
    /// How long the group has been even, as seen by this member as the leader.
    pub(crate) even_timer: EvenTimer,
    pub(crate) fault_tolerance: FaultTolerance,
    pub(crate) group_tolerance: GroupTolerance,
    pub(crate) load: CoreLoad,
    pub(crate) commit_path: CommitPath,
    /// When a graceful stop ends without a leadership transfer; `None` unless stopping.
    pub(crate) stop_deadline: Option<Millis>,
}

impl Core {
    /// Runs until a graceful stop is complete or a failure ends it.
    pub(crate) fn run(mut self, events: &EventReceiver) -> Result<(), CoreError> {
        let mut is_output_left = false;
        loop {
            let wait_time = if is_output_left {
                Duration::ZERO
            } else {
                self.wait_time()
            };
            let first = match events.recv_timeout(wait_time) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => break,
            };
            self.load.begin_round();
            let began = Instant::now();
            let until = began + EVENT_TIME_PER_ROUND;
            let next = || (Instant::now() < until).then(|| events.try_recv())?;
            let more = std::iter::from_fn(next).take(EVENTS_PER_ROUND);
            self.handle_events(first.into_iter().chain(more))?;
            is_output_left = self.handle_output(events.len())?;
            self.load.end_round(events.len(), self.is_leading());
            self.commit_path.end_round(self.is_leading());
            if self.can_stop() {
                break;
            }
            if !is_output_left {
                self.pause_after_round(began);
            }
        }
        self.calls.fail_all(&RpcError::NotLeader { hint: None });
        Ok(())
    }

    /// Waits until the next round may begin. A round of a busy leader takes longer than that.
    fn pause_after_round(&self, began: Instant) {
        let workers = self.queues.workers() as u32;
        let interval = (ROUND_INTERVAL_PER_WORKER * workers).min(ROUND_INTERVAL_MAX);
        let rest = interval.saturating_sub(began.elapsed());
        if interval >= ROUND_INTERVAL_MIN && !rest.is_zero() {
            thread::sleep(rest);
        }
    }

    fn handle_events(
        &mut self,
        events: impl Iterator<Item = (Event, Instant)>,
    ) -> Result<(), CoreError> {
        let began = Instant::now();
        for (event, queued_at) in events {
            self.load.record_event(queued_at, event.kind());
            self.follow_commit(&event, queued_at);
            match event {
                Event::Queue(_, done) | Event::LocalQueue(_, done)
                    if self.is_outdated(queued_at) =>
                {
                    done.send(Err(self.not_leading()));
                }
                event => self.handle_event(event)?,
            }
        }
        self.load.record_work(Work::Events, began);
        Ok(())
    }

    /// Records how far an event of the group has come.
    fn follow_commit(&mut self, event: &Event, queued_at: Instant) {
        if event.kind() != EventKind::Group {
            return;
        }
        let hops = self.commit_path.hops();
        hops.record(Hop::GroupEvent, queued_at.elapsed());
        match event {
            Event::Step(step) if adds_entries(&step.message.body) => {
                self.commit_path.received(queued_at);
            }
            Event::Persisted(up_to, _) => self.commit_path.written(up_to.number, queued_at),
            _ => {}
        }
    }

    /// Whether a call is too old to be handled: its sender has given it up, or it waited for another
    /// leadership of this member. In between, another leader may have refused the job that the call
    /// submits, and a job that is said to be refused must not run.
    fn is_outdated(&self, queued_at: Instant) -> bool {
        let is_of_earlier_term = self
            .leadership
            .began()
            .is_some_and(|began| queued_at < began);
        is_of_earlier_term || queued_at.elapsed() >= CALL_AGE_MAX
    }

    fn wait_time(&self) -> Duration {
        let now = self.clock.now();
        let due_ms = self.node.next_due().since(now);
        let limit_ms = if self.is_leading() {
            let proposal_ms = self.queues.proposal_wait_ms(now);
            LEADER_TICK_INTERVAL_MS.min(proposal_ms.unwrap_or(u64::MAX))
        } else {
            u64::MAX
        };
        Duration::from_millis(due_ms.min(limit_ms))
    }

    fn handle_event(&mut self, event: Event) -> Result<(), CoreError> {
        let now = self.clock.now();
        match event {
            Event::Step(step) => {
                // Ignores a message to a former member whose address this one has taken over. While
                // the disk is far behind, the member is silent, since most messages would add to
                // what it has to write; a leader then loses contact with a quorum and steps down.
                // While a snapshot is late, only messages that add to the log are ignored.
                let is_ignored = self.storage_requests.is_backlogged()
                    || self.snapshots.is_log_too_long() && adds_entries(&step.message.body);
                if step.to == self.node.id() && !is_ignored {
                    self.peers.note_address(step.from, &step.from_address);
                    self.node.step(now, step.from, step.message);
                }
            }
            Event::Operator(request, done) => self.handle_operator_request(now, request, done),
            Event::WorkerSync(sync, done) => self.handle_worker_sync(now, *sync, done),
            Event::Claims(batch, done) => self.handle_claims(now, batch, done),
            Event::WatchConfig(watch, done) => self.handle_watch_config(now, watch, done),
            Event::Queue(call, done) => self.handle_queue_call(now, *call, done),
            Event::LocalQueue(call, done) => self.handle_local_queue_call(now, *call, done),
            Event::ReportRelayed(worker) => self.relayed_reports.record(worker, now),
            Event::WorkerReplied(request, result) => {
                self.handle_worker_reply(now, &request, result)
            }
            Event::LeaderIndexWanted(done) => self.handle_leader_index_wanted(now, done),
            Event::LeaderIndexKnown(index, asked) => self.state_age.record(index, asked),
            Event::Dump(reply) => reply(self.dump()),
            Event::Persisted(up_to, messages) => {
                self.node.persisted(now, up_to);
                self.peers.send(messages, self.node.membership());
            }
            Event::SnapshotSaved(snapshot) => {
                let (index, bytes) = (snapshot.meta.index, snapshot.data.len());
                log::info!(index, bytes, log_bytes = self.snapshots.log_bytes(); "snapshot saved");
                self.metrics.snapshot_bytes.set(bytes as i64);
                self.snapshots.saved(index);
                self.node.compact(snapshot);
            }
            Event::SnapshotSkipped(reason) => {
                self.snapshots.skipped(now);
                self.metrics.snapshots_skipped.inc();
                log::warn!(reason; "snapshot skipped");
            }
            Event::StorageFull(reason) => {
                log::error!(reason; "the disk takes no records; not leading until it does");
                self.readiness.block("storage", "the disk has no room");
                self.snapshots.set_disk_full(true);
                self.node.set_storage_full(now, true);
            }
            Event::StorageHasSpace => {
                log::info!("the disk takes records again");
                self.readiness.clear("storage");
                self.snapshots.set_disk_full(false);
                self.node.set_storage_full(now, false);
            }
            Event::StorageFailed(reason) => return Err(CoreError::Storage(reason)),
            Event::Shutdown => self.start_graceful_stop(now),
        }
        Ok(())
    }

    /// Advances the node's time and handles its output. Returns whether committed entries are left
    /// to be applied in the next round.
    fn handle_output(&mut self, queued: usize) -> Result<bool, CoreError> {
        let until = Instant::now() + OUTPUT_TIME_PER_ROUND;
        let mut is_output_left = false;
        self.node.tick(self.clock.now());
        self.tick_leadership();
        loop {
            self.deliver_output();
            self.propose_backlog();
            let began = Instant::now();
            self.tick_queues();
            self.load.record_work(Work::Schedule, began);
            let began = Instant::now();
            self.propose_queues();
            self.load.record_work(Work::Propose, began);
            let ready = self.node.ready();
            if ready.is_empty() {
                break;
            }
            self.handle_ready(ready, queued)?;
            is_output_left = self.applied < self.node.commit_index();
            if is_output_left && Instant::now() >= until {
                break;
            }
        }
        self.take_snapshot_if_due();
        self.node.set_log_too_long(self.snapshots.is_log_too_long());
        self.update_metrics();
        Ok(is_output_left)
    }

    fn handle_ready(&mut self, mut ready: Ready, queued: usize) -> Result<(), CoreError> {
        self.commit_path.committed(self.node.commit_index());
        let messages = std::mem::take(&mut ready.messages);
        self.commit_path.sending(&messages);
        self.peers.send(messages, self.node.membership());
        if let Some(snapshot) = &ready.snapshot {
            let index = snapshot.meta.index;
            let restored = State::restore(&snapshot.data);
            self.state = restored.map_err(|error| apply_error(index, error))?;
            self.applied = index;
            self.snapshots.installed(index);
            log::info!(index; "installed a snapshot from the leader");
        }
        if ready.needs_storage() {
            let request = StorageRequest::Persist {
                number: ready.number,
                snapshot: ready.snapshot.take(),
                records: std::mem::take(&mut ready.records),
                messages: std::mem::take(&mut ready.messages_after_persist),
            };
            self.commit_path
                .write_sent(ready.number, self.node.last_index());
            // Fails only after the storage thread has reported its failure.
            let _ = self.storage_requests.send(request);
        }
        let began = Instant::now();
        for entry in &ready.committed {
            self.apply(entry)?;
        }
        self.load.record_work(Work::Apply, began);
        if let Some(change) = ready.role_change {
            self.log_role_change(&change, queued);
            self.commit_path.change_role();
        }
        self.update_leadership();
        if !ready.committed.is_empty() {
            self.tick_leader();
        }
        for token in ready.aborted_reads {
            if let Some(read) = self.calls.take_read(token) {
                read.fail(self.not_leading());
            }
        }
        for read in ready.reads {
            self.handle_confirmed_read(read.token);
        }
        Ok(())
    }

    fn log_role_change(&self, change: &RoleChange, queued: usize) {
        let leader = change.leader.map_or("none".to_owned(), |id| id.to_string());
        log::info!(role:? = change.role, term = change.term, leader; "role changed");
        if let Some(reason) = change.step_down {
            log::warn!(term = change.term, reason:?; "stopped leading");
            self.load.log_now(queued);
        }
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), CoreError> {
        self.applied = entry.index;
        self.snapshots.record_applied(entry.size_bytes());
        match &entry.payload {
            Payload::Noop => {}
            Payload::Membership(membership) => {
                self.peers.retain(membership);
                self.calls
                    .complete_membership_change(entry.index, entry.term);
            }
            Payload::Command(bytes) => {
                let command: Result<Command, _> = serde_json::from_slice(bytes);
                let command = command.map_err(|error| apply_error(entry.index, error))?;
                let outcome = self.state.apply(entry.index, &command);
                let (now, clock_unix_ms) = (self.clock.now(), self.state.clock_unix_ms());
                self.cluster_clock
                    .observe_applied(now, entry.index, clock_unix_ms);
                if let Request::Queues(commands) = &command.request {
                    self.handle_applied_queue_commands(entry.index, commands);
                }
                self.with_leader(|leader, ctx, out| {
                    leader.applied(ctx, entry.index, &command, &outcome, out);
                });
            }
        }
        Ok(())
    }

    /// Starts a graceful stop. A leader first transfers its leadership to another member.
    fn start_graceful_stop(&mut self, now: Millis) {
        self.readiness.block("shutdown", "stopping");
        self.stop_deadline = Some(now + LEADERSHIP_TRANSFER_WAIT_MS);
        match self.node.transfer_leadership(now) {
            Ok(target) => log::info!(target:% ; "transferring the leadership"),
            Err(ProposeError::NotLeader { .. }) => log::info!("stopping"),
            Err(error) => log::warn!(error:%; "stopping without a leadership transfer"),
        }
    }

    fn can_stop(&self) -> bool {
        let Some(stop_deadline) = self.stop_deadline else {
            return false;
        };
        let is_alone = self.node.membership().members.len() <= 1;
        self.node.role() != Role::Leader || is_alone || self.clock.now() >= stop_deadline
    }

    fn take_snapshot_if_due(&mut self) {
        if !self.snapshots.is_due(self.clock.now(), self.applied) {
            return;
        }
        let Some(term) = self.node.term_at(self.applied) else {
            return;
        };
        let membership = self.node.membership_at(self.applied).clone();
        let meta = SnapshotMeta {
            index: self.applied,
            term,
            membership,
        };
        self.snapshots.take(meta, self.state.clone());
    }

    fn update_metrics(&mut self) {
        self.metrics.term.set(self.node.term() as i64);
        self.metrics
            .is_leader
            .set(i64::from(self.node.role() == Role::Leader));
        self.metrics.commit.set(self.node.commit_index() as i64);
        self.metrics.applied.set(self.applied as i64);
        let log_bytes = self.snapshots.log_bytes();
        self.metrics.log_bytes.set(log_bytes as i64);
        match self.node.leader() {
            Some(_) => self.readiness.clear("consensus"),
            None => self.readiness.block("consensus", "no leader is known"),
        }
    }
}

/// Whether a message adds entries to the log of its receiver.
fn adds_entries(body: &Body) -> bool {
    matches!(body, Body::Append { entries, .. } if !entries.is_empty())
}

fn apply_error(index: Index, error: impl ToString) -> CoreError {
    CoreError::Apply {
        index,
        reason: error.to_string(),
    }
}
