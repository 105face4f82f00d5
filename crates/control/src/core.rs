//! The core thread: owner of the node, the state and the leader's decisions.
//!
//! Each round takes the waiting events, lets time pass, and then handles the node's output until
//! nothing is left. The clock is read again before replies leave, so that a process that was
//! paused notices first that it may no longer lead.

use std::sync::Arc;
use std::time::Duration;

use flume::RecvTimeoutError;
use thiserror::Error;

use sapphirepost_consensus::Entry;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::Payload;
use sapphirepost_consensus::ProposeError;
use sapphirepost_consensus::Ready;
use sapphirepost_consensus::Role;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_process::Readiness;
use sapphirepost_process::RpcError;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Clock;
use sapphirepost_types::Millis;

use crate::calls::Calls;
use crate::cluster_clock::ClusterClock;
use crate::cluster_metrics::ClusterMetrics;
use crate::event::Event;
use crate::leading::Leading;
use crate::led::DECISION_INTERVAL_MS;
use crate::led::LedState;
use crate::metrics::CoreMetrics;
use crate::peers::Peers;
use crate::queues::Queues;
use crate::snapshots::Snapshots;
use crate::storage_thread::Job;

/// Events handled before the node's output is, so that many proposals share one message.
const EVENTS_PER_ROUND: usize = 512;
/// How long a graceful stop waits for another leader.
const HAND_OVER_MS: u64 = 1_000;

/// Why the core thread ends with a failure.
#[derive(Debug, Error)]
pub enum CoreError {
    /// The storage failed, so nothing more may be acknowledged.
    #[error("the storage failed: {0}")]
    Storage(String),
    /// A committed command or snapshot cannot be read; applying the rest would diverge.
    #[error("cannot apply entry {index}: {reason}")]
    Apply {
        /// The entry or snapshot.
        index: Index,
        /// What is wrong.
        reason: String,
    },
}

pub(crate) struct Core {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) node: Node,
    pub(crate) state: State,
    pub(crate) applied: Index,
    pub(crate) calls: Calls,
    pub(crate) peers: Peers,
    pub(crate) jobs: flume::Sender<Job>,
    pub(crate) snapshots: Snapshots,
    pub(crate) readiness: Readiness,
    pub(crate) metrics: CoreMetrics,
    pub(crate) cluster_clock: ClusterClock,
    pub(crate) cluster_metrics: ClusterMetrics,
    pub(crate) leading: Leading,
    pub(crate) led: LedState,
    pub(crate) queues: Queues,
    /// When a graceful stop no longer waits.
    pub(crate) stop_by: Option<Millis>,
}

impl Core {
    /// Runs until the process is asked to stop.
    pub(crate) fn run(mut self, events: &flume::Receiver<Event>) -> Result<(), CoreError> {
        loop {
            match events.recv_timeout(self.wait_time()) {
                Ok(event) => self.handle(event)?,
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            for event in events.try_iter().take(EVENTS_PER_ROUND) {
                self.handle(event)?;
            }
            self.turn()?;
            if self.is_handed_over() {
                break;
            }
        }
        self.calls.abandon(&RpcError::NotLeader { hint: None });
        Ok(())
    }

    fn wait_time(&self) -> Duration {
        let now = self.clock.now();
        let due_ms = self.node.next_due().since(now);
        let limit_ms = if self.is_leading() {
            DECISION_INTERVAL_MS
        } else {
            u64::MAX
        };
        Duration::from_millis(due_ms.min(limit_ms))
    }

    fn handle(&mut self, event: Event) -> Result<(), CoreError> {
        let now = self.clock.now();
        match event {
            Event::Step(step) => {
                // An address may be reused by a new member, which must ignore such messages.
                if step.to == self.node.id() {
                    self.peers.heard(step.from, &step.from_address);
                    self.node.step(now, step.from, step.message);
                }
            }
            Event::Operator(request, done) => self.operator(now, request, done),
            Event::WorkerSync(sync, done) => self.worker_sync(now, *sync, done),
            Event::Claims(batch, done) => self.claims(now, batch, done),
            Event::WatchConfig(watch, done) => self.watch_config(now, watch, done),
            Event::Queue(call, done) => self.queue_call(now, *call, done),
            Event::OrderAnswered(order, result) => self.order_answered(now, &order, result),
            Event::Dump(reply) => reply(self.dump()),
            Event::Persisted(upto, messages) => {
                self.node.persisted(now, upto);
                self.peers.send(messages, self.node.membership());
            }
            Event::SnapshotSaved(snapshot) => {
                self.snapshots.saved(snapshot.meta.index);
                self.node.compact(snapshot);
            }
            Event::SnapshotSkipped(reason) => {
                self.snapshots.skipped(self.applied);
                log::warn!(reason; "snapshot skipped");
            }
            Event::StorageFull(reason) => {
                log::error!(reason; "the disk takes no records; following until it does");
                self.readiness.block("storage", "the disk has no room");
                self.node.set_storage_full(now, true);
            }
            Event::StorageHasRoom => {
                log::info!("the disk takes records again");
                self.readiness.clear("storage");
                self.node.set_storage_full(now, false);
            }
            Event::StorageFailed(reason) => return Err(CoreError::Storage(reason)),
            Event::Shutdown => self.hand_over(now),
        }
        Ok(())
    }

    /// Lets time pass and handles all output.
    fn turn(&mut self) -> Result<(), CoreError> {
        self.node.tick(self.clock.now());
        self.tick_decisions();
        loop {
            self.flush();
            self.propose_backlog();
            self.tick_queues();
            self.propose_queues();
            let ready = self.node.ready();
            if ready.is_empty() {
                break;
            }
            self.handle_ready(ready)?;
        }
        self.update_figures();
        Ok(())
    }

    fn handle_ready(&mut self, mut ready: Ready) -> Result<(), CoreError> {
        let messages = std::mem::take(&mut ready.messages);
        self.peers.send(messages, self.node.membership());
        if let Some(snapshot) = &ready.snapshot {
            let index = snapshot.meta.index;
            let restored = State::restore(&snapshot.data);
            self.state = restored.map_err(|error| apply_error(index, error))?;
            self.applied = index;
            self.snapshots.installed(index);
            log::info!(index; "installed a snapshot of the leader");
        }
        if ready.needs_storage() {
            let job = Job::Persist {
                number: ready.number,
                snapshot: ready.snapshot.take(),
                records: std::mem::take(&mut ready.records),
                messages: std::mem::take(&mut ready.messages_after_persist),
            };
            // Fails only after the storage thread has reported its failure.
            let _ = self.jobs.send(job);
        }
        for entry in &ready.committed {
            self.apply(entry)?;
        }
        if let Some(change) = ready.role_change {
            let leader = change.leader.map_or("none".to_owned(), |id| id.to_string());
            log::info!(role:? = change.role, term = change.term, leader; "role changed");
        }
        self.follow_role();
        if !ready.committed.is_empty() {
            self.tick_leader();
        }
        for token in ready.aborted_reads {
            if let Some(read) = self.calls.take_read(token) {
                read.fail(self.not_leading());
            }
        }
        for read in ready.reads {
            self.confirmed(read.token);
        }
        self.take_snapshot_if_due();
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), CoreError> {
        self.applied = entry.index;
        match &entry.payload {
            Payload::Noop => {}
            Payload::Membership(membership) => {
                self.peers.retain(membership);
                self.calls.changed(entry.index, entry.term);
            }
            Payload::Command(bytes) => {
                let command: Result<Command, _> = serde_json::from_slice(bytes);
                let command = command.map_err(|error| apply_error(entry.index, error))?;
                let outcome = self.state.apply(entry.index, &command);
                let (now, clock_unix_ms) = (self.clock.now(), self.state.clock_unix_ms());
                self.cluster_clock.applied(now, entry.index, clock_unix_ms);
                if let Request::Queues(commands) = &command.request {
                    self.queues_applied(entry.index, commands);
                }
                self.decide(|leader, ctx, out| {
                    leader.applied(ctx, entry.index, &command, &outcome, out);
                });
            }
        }
        Ok(())
    }

    /// Starts a graceful stop: another member takes over first.
    fn hand_over(&mut self, now: Millis) {
        self.readiness.block("shutdown", "stopping");
        self.stop_by = Some(now + HAND_OVER_MS);
        match self.node.transfer_leadership(now) {
            Ok(target) => log::info!(target:% ; "handing the leadership over"),
            Err(ProposeError::NotLeader { .. }) => log::info!("stopping"),
            Err(error) => log::warn!(error:%; "stopping without a hand-over"),
        }
    }

    fn is_handed_over(&self) -> bool {
        let Some(stop_by) = self.stop_by else {
            return false;
        };
        let is_alone = self.node.membership().members.len() <= 1;
        self.node.role() != Role::Leader || is_alone || self.clock.now() >= stop_by
    }

    fn take_snapshot_if_due(&mut self) {
        if !self.snapshots.is_due(self.applied) {
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

    fn update_figures(&mut self) {
        self.metrics.term.set(self.node.term() as i64);
        self.metrics
            .is_leader
            .set(i64::from(self.node.role() == Role::Leader));
        self.metrics.commit.set(self.node.commit_index() as i64);
        self.metrics.applied.set(self.applied as i64);
        match self.node.leader() {
            Some(_) => self.readiness.clear("consensus"),
            None => self.readiness.block("consensus", "no leader is known"),
        }
    }
}

fn apply_error(index: Index, error: impl ToString) -> CoreError {
    CoreError::Apply {
        index,
        reason: error.to_string(),
    }
}
