//! What the core thread does only while this member leads: it drives the [`Leader`], which makes
//! the scheduling decisions, and handles its proposals and replies.

use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;

use sapphirepost_consensus::Index;
use sapphirepost_consensus::ProposeError;
use sapphirepost_consensus::Role;
use sapphirepost_consensus::Term;
use sapphirepost_leader::ClusterStats;
use sapphirepost_leader::Context;
use sapphirepost_leader::Leader;
use sapphirepost_leader::Output;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_types::Millis;

use crate::core::Core;

/// The longest time between two ticks of the [`Leader`].
pub(crate) const LEADER_TICK_INTERVAL_MS: u64 = 20;
/// Time between two updates of the cluster metrics.
const CLUSTER_METRICS_INTERVAL_MS: u64 = 1_000;

/// The [`Leader`] of one term.
struct LeaderTerm {
    term: Term,
    leader: Leader,
    began: Instant,
    ticked_at: Millis,
    /// When the cluster metrics were last set; zero before the first time.
    metrics_set_at: Millis,
}

/// State of this member's leadership.
#[derive(Default)]
pub(crate) struct Leadership {
    current: Option<LeaderTerm>,
    output: Output,
    /// Commands that are still to be proposed, in order.
    backlog: VecDeque<Command>,
    /// Term and index of the command that advances the state's clock at the start of a term.
    clock_command: Option<(Term, Index)>,
    /// Tokens of confirmed reads that wait until the [`Leader`] of this term exists.
    deferred_reads: Vec<u64>,
}

impl Leadership {
    /// When this member began to lead; `None` if it does not lead.
    pub(crate) fn began(&self) -> Option<Instant> {
        self.current.as_ref().map(|current| current.began)
    }
}

impl Core {
    /// Creates the [`Leader`] once this member leads and the state's clock was advanced in this
    /// term. When the leadership is lost or the term has changed, drops it and fails all calls.
    pub(crate) fn update_leadership(&mut self) {
        let is_leading = self.node.role() == Role::Leader;
        let term = self.node.term();
        let is_other_term = self
            .leadership
            .current
            .as_ref()
            .is_some_and(|current| current.term != term);
        if !is_leading || is_other_term {
            self.clear_cluster_metrics();
            self.group_tolerance.clear();
            self.leadership.current = None;
            self.leadership.output = Output::default();
            self.leadership.backlog.clear();
            self.leadership.deferred_reads.clear();
            self.queues.stop_leading();
            let error = self.not_leading();
            self.calls.fail_all(&error);
        }
        if self.leadership.current.is_none() && self.is_clock_current(term) {
            self.start_leading(term);
        }
    }

    /// Whether a command of this term has advanced the state's clock; proposes one if there is none
    /// yet and the entries of all earlier terms are applied. The clock stands still while no member
    /// leads, and the state checks the timestamps in the IDs of operations against it.
    fn is_clock_current(&mut self, term: Term) -> bool {
        let has_applied_earlier_terms = self.node.term_at(self.applied) == Some(term);
        if !self.node.has_committed_in_current_term() || !has_applied_earlier_terms {
            return false;
        }
        if let Some((proposed, index)) = self.leadership.clock_command
            && proposed == term
        {
            return self.applied >= index;
        }
        let state_unix_ms = self.state.clock_unix_ms();
        let unix_ms = self.cluster_clock.unix_ms(&*self.clock, state_unix_ms);
        let at_unix_ms = unix_ms.max(state_unix_ms);
        let command = Command {
            at_unix_ms,
            request: Request::Tick,
        };
        if let Ok(bytes) = serde_json::to_vec(&command) {
            let proposed = self.node.propose(self.clock.now(), Bytes::from(bytes));
            self.leadership.clock_command = proposed.ok().map(|index| (term, index));
        }
        false
    }

    fn start_leading(&mut self, term: Term) {
        let ticked_at = self.clock.now();
        let state_unix_ms = self.state.clock_unix_ms();
        let unix_ms = self.cluster_clock.unix_ms(&*self.clock, state_unix_ms);
        let ctx = Context {
            state: &self.state,
            now: ticked_at,
            unix_ms,
        };
        let leader = self.leader_settings.new_leader(term, &ctx);
        self.leadership.current = Some(LeaderTerm {
            term,
            leader,
            began: Instant::now(),
            ticked_at,
            metrics_set_at: Millis::ZERO,
        });
        log::info!(term; "leading");
        self.start_queues(ticked_at, term, unix_ms);
        for token in std::mem::take(&mut self.leadership.deferred_reads) {
            self.handle_confirmed_read(token);
        }
    }

    pub(crate) fn is_leading(&self) -> bool {
        self.leadership.current.is_some()
    }

    /// Keeps a confirmed read until the [`Leader`] of this term exists.
    pub(crate) fn defer_read(&mut self, token: u64) {
        self.leadership.deferred_reads.push(token);
    }

    /// Runs `call` on the [`Leader`], if this member leads. Returns whether it does.
    pub(crate) fn with_leader(
        &mut self,
        call: impl FnOnce(&mut Leader, &Context<'_>, &mut Output),
    ) -> bool {
        let Some(current) = &mut self.leadership.current else {
            return false;
        };
        let now = self.clock.now();
        let state_unix_ms = self.state.clock_unix_ms();
        let unix_ms = self.cluster_clock.unix_ms(&*self.clock, state_unix_ms);
        let ctx = Context {
            state: &self.state,
            now,
            unix_ms,
        };
        call(&mut current.leader, &ctx, &mut self.leadership.output);
        true
    }

    pub(crate) fn tick_leadership(&mut self) {
        let now = self.clock.now();
        let Some(current) = &mut self.leadership.current else {
            return;
        };
        if now.since(current.ticked_at) >= LEADER_TICK_INTERVAL_MS {
            current.ticked_at = now;
            self.tick_leader();
        }
        self.update_cluster_metrics();
    }

    /// Ticks the [`Leader`] and records how long the tick took.
    pub(crate) fn tick_leader(&mut self) {
        let since = Instant::now();
        if self.with_leader(|leader, ctx, out| leader.tick(ctx, out)) {
            let seconds = since.elapsed().as_secs_f64();
            self.cluster_metrics.observe_decision(seconds);
        }
    }

    fn update_cluster_metrics(&mut self) {
        let now = self.clock.now();
        let Some(current) = &mut self.leadership.current else {
            return;
        };
        if current.metrics_set_at != Millis::ZERO
            && now.since(current.metrics_set_at) < CLUSTER_METRICS_INTERVAL_MS
        {
            return;
        }
        current.metrics_set_at = now;
        let metrics = self.cluster_metrics.clone();
        self.with_leader(|leader, ctx, _| {
            metrics.set(&leader.cluster_stats(ctx));
            metrics.add_events(&leader.take_events());
        });
    }

    fn clear_cluster_metrics(&mut self) {
        if let Some(current) = &mut self.leadership.current {
            self.cluster_metrics
                .add_events(&current.leader.take_events());
            self.cluster_metrics.set(&ClusterStats::default());
        }
    }

    /// Sends the replies of the [`Leader`] and queues its proposals. Both are dropped if this
    /// member no longer leads; the calls then fail when the new role is handled.
    pub(crate) fn deliver_output(&mut self) {
        let output = std::mem::take(&mut self.leadership.output);
        if output == Output::default() {
            return;
        }
        self.node.tick(self.clock.now());
        if self.node.role() != Role::Leader {
            return;
        }
        for (token, reply) in output.replies {
            self.calls.reply(token, reply);
        }
        self.leadership.backlog.extend(output.proposals);
    }

    pub(crate) fn propose_backlog(&mut self) {
        while let Some(command) = self.leadership.backlog.front() {
            let Ok(bytes) = serde_json::to_vec(command) else {
                log::error!("a command cannot be encoded");
                self.leadership.backlog.pop_front();
                continue;
            };
            match self.node.propose(self.clock.now(), Bytes::from(bytes)) {
                Ok(_) => {
                    self.metrics.proposals.inc();
                    self.leadership.backlog.pop_front();
                }
                Err(ProposeError::TooLarge(bytes)) => {
                    log::error!(bytes; "a command is too large and is dropped");
                    self.leadership.backlog.pop_front();
                }
                Err(_) => return,
            }
        }
    }
}
