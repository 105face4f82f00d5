//! What the core thread does only while this member leads: the decisions, their proposals and
//! replies.

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

/// How often the decisions are asked for what is due.
pub(crate) const DECISION_INTERVAL_MS: u64 = 20;
/// How often the metrics of the cluster are set.
const MEASURE_INTERVAL_MS: u64 = 1_000;

/// The decisions of a term.
struct Led {
    term: Term,
    leader: Leader,
    ticked: Millis,
    /// When the metrics were set last.
    measured: Millis,
}

/// What only a leader has.
#[derive(Default)]
pub(crate) struct LedState {
    current: Option<Led>,
    output: Output,
    /// Commands that the node has not taken yet.
    backlog: VecDeque<Command>,
    /// The command that moves the state's clock at the start of a term.
    clock_command: Option<(Term, Index)>,
    /// Confirmed calls that wait for the decisions.
    early: Vec<u64>,
}

impl Core {
    /// Makes or drops the decisions when the leadership was gained or lost.
    pub(crate) fn follow_role(&mut self) {
        let is_leading = self.node.role() == Role::Leader;
        let term = self.node.term();
        let is_other_term = self
            .led
            .current
            .as_ref()
            .is_some_and(|led| led.term != term);
        if !is_leading || is_other_term {
            self.stop_measuring();
            self.led.current = None;
            self.led.output = Output::default();
            self.led.backlog.clear();
            self.led.early.clear();
            self.queues.stop_leading();
            let error = self.not_leading();
            self.calls.abandon(&error);
        }
        if self.led.current.is_none() && self.is_clock_current(term) {
            self.start_leading(term);
        }
    }

    /// Whether the state's clock was moved in this term. It stands still while no member leads,
    /// and the state compares the ids of operations with it.
    fn is_clock_current(&mut self, term: Term) -> bool {
        if !self.node.has_committed_in_current_term() {
            return false;
        }
        if let Some((proposed, index)) = self.led.clock_command
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
            self.led.clock_command = proposed.ok().map(|index| (term, index));
        }
        false
    }

    fn start_leading(&mut self, term: Term) {
        let ticked = self.clock.now();
        let state_unix_ms = self.state.clock_unix_ms();
        let unix_ms = self.cluster_clock.unix_ms(&*self.clock, state_unix_ms);
        let ctx = Context {
            state: &self.state,
            now: ticked,
            unix_ms,
        };
        let leader = self.leading.leader(term, &ctx);
        self.led.current = Some(Led {
            term,
            leader,
            ticked,
            measured: Millis::ZERO,
        });
        log::info!(term; "leading");
        self.start_queues(ticked, term, unix_ms);
        for token in std::mem::take(&mut self.led.early) {
            self.confirmed(token);
        }
    }

    pub(crate) fn is_leading(&self) -> bool {
        self.led.current.is_some()
    }

    /// Keeps a confirmed call until the decisions are made.
    pub(crate) fn hold(&mut self, token: u64) {
        self.led.early.push(token);
    }

    /// Calls the decisions, if this member leads. Returns whether it does.
    pub(crate) fn decide(
        &mut self,
        call: impl FnOnce(&mut Leader, &Context<'_>, &mut Output),
    ) -> bool {
        let Some(led) = &mut self.led.current else {
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
        call(&mut led.leader, &ctx, &mut self.led.output);
        true
    }

    pub(crate) fn tick_decisions(&mut self) {
        let now = self.clock.now();
        let Some(led) = &mut self.led.current else {
            return;
        };
        if now.since(led.ticked) >= DECISION_INTERVAL_MS {
            led.ticked = now;
            self.tick_leader();
        }
        self.measure();
    }

    /// Lets the decisions do what is due.
    pub(crate) fn tick_leader(&mut self) {
        let since = Instant::now();
        if self.decide(|leader, ctx, out| leader.tick(ctx, out)) {
            let seconds = since.elapsed().as_secs_f64();
            self.cluster_metrics.note_decision(seconds);
        }
    }

    fn measure(&mut self) {
        let now = self.clock.now();
        let Some(led) = &mut self.led.current else {
            return;
        };
        if led.measured != Millis::ZERO && now.since(led.measured) < MEASURE_INTERVAL_MS {
            return;
        }
        led.measured = now;
        let metrics = self.cluster_metrics.clone();
        self.decide(|leader, ctx, _| {
            metrics.set(&leader.cluster_stats(ctx));
            metrics.add_events(&leader.take_events());
        });
    }

    fn stop_measuring(&mut self) {
        if let Some(led) = &mut self.led.current {
            self.cluster_metrics.add_events(&led.leader.take_events());
            self.cluster_metrics.set(&ClusterStats::default());
        }
    }

    /// Sends the replies, unless this member no longer leads; then the calls end as abandoned.
    pub(crate) fn flush(&mut self) {
        let output = std::mem::take(&mut self.led.output);
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
        self.led.backlog.extend(output.proposals);
    }

    pub(crate) fn propose_backlog(&mut self) {
        while let Some(command) = self.led.backlog.front() {
            let Ok(bytes) = serde_json::to_vec(command) else {
                log::error!("a command cannot be encoded");
                self.led.backlog.pop_front();
                continue;
            };
            match self.node.propose(self.clock.now(), Bytes::from(bytes)) {
                Ok(_) => {
                    self.metrics.proposals.inc();
                    self.led.backlog.pop_front();
                }
                Err(ProposeError::TooLarge(bytes)) => {
                    log::error!(bytes; "a command is too large and is dropped");
                    self.led.backlog.pop_front();
                }
                Err(_) => return,
            }
        }
    }
}
