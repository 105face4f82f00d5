//! A randomized simulation of a small cluster, reproducible by its seed.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sapphirepost_leader::Context;
use sapphirepost_leader::Disabled;
use sapphirepost_leader::Leader;
use sapphirepost_leader::LeaderConfig;
use sapphirepost_leader::Output;
use sapphirepost_leader::Reply;
use sapphirepost_leader::ReplyToken;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_state::Change;
use sapphirepost_state::Command;
use sapphirepost_state::State;
use sapphirepost_state::tasks::Phase;
use sapphirepost_types::Millis;
use sapphirepost_types::RequestId;
use sapphirepost_types::Resources;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Limits;
use sapphirepost_verifier::Timed;
use sapphirepost_verifier::Violation;
use sapphirepost_verifier::check;

use super::entries::SimEntry;
use super::name;
use super::network::Call;
use super::network::Faults;
use super::network::Message;
use super::network::Network;
use super::network::Sender;
use super::operators::SimOperator;
use super::worker::SimWorker;

/// The wall clock at the start of the simulation.
const START_UNIX_MS: u64 = 1_700_000_000_000;
const STEP_MS: u64 = 20;
pub const WORKERS: usize = 6;
pub const ENTRIES: u16 = 3;
const OPERATORS: usize = 3;

#[derive(Clone, Copy, Debug)]
pub struct Options {
    pub seed: u64,
    /// Length of the first phase, in which requests are sent and faults are injected.
    pub busy_ms: u64,
    /// Length of the second phase, in which the cluster recovers without faults.
    pub quiet_ms: u64,
    pub faults: bool,
    /// Upper bound of the time from a proposal to its application.
    pub commit_max_ms: u64,
    pub leader: Disabled,
    pub state: sapphirepost_state::Disabled,
}

impl Options {
    pub fn new(seed: u64) -> Options {
        Options {
            seed,
            busy_ms: 40_000,
            quiet_ms: 45_000,
            faults: true,
            commit_max_ms: 30,
            leader: Disabled::default(),
            state: sapphirepost_state::Disabled::default(),
        }
    }
}

pub struct Sim {
    pub options: Options,
    pub rng: Pcg64,
    pub now_ms: u64,
    pub state: State,
    pub leader: Option<Leader>,
    pub next_leader_at_ms: u64,
    pub log: Vec<Command>,
    pub proposals: VecDeque<(u64, Command)>,
    pub tokens: BTreeMap<u64, Sender>,
    pub next_token: u64,
    pub network: Network,
    pub workers: Vec<SimWorker>,
    pub operators: Vec<SimOperator>,
    pub entries: Vec<SimEntry>,
    pub requests: Vec<RequestId>,
    pub submissions: u64,
    pub history: Vec<Timed>,
    pub leader_changes: u32,
}

impl Sim {
    pub fn new(options: Options) -> Sim {
        let mut rng = Pcg64::seed_from_u64(options.seed);
        let mut history = Vec::new();
        let mut workers: Vec<SimWorker> = (0..WORKERS).map(|id| new_worker(id, &mut rng)).collect();
        for worker in &mut workers {
            worker.outstanding_max = 1 + (options.seed % 3) as usize;
        }
        if options.faults && rng.random_bool(0.3) {
            workers[1].fails_all_tasks = true;
        }
        for worker in &workers {
            let event = Event::WorkerSize {
                worker: worker.name.clone(),
                capacity: worker.spec.capacity,
            };
            history.push(Timed { at_ms: 0, event });
        }
        let entries = (0..ENTRIES).map(|id| SimEntry::start(id, 1, 0, &mut history));
        let entries = entries.collect();
        let mut state = State::new();
        state.disable(options.state);
        let mut network = Network::default();
        if options.faults {
            network.faults = Faults {
                lost: rng.random_range(0..120),
                duplicated: rng.random_range(0..100),
                delayed: rng.random_range(0..100),
            };
        }
        Sim {
            options,
            rng,
            now_ms: 0,
            state,
            leader: None,
            next_leader_at_ms: 300,
            log: Vec::new(),
            proposals: VecDeque::new(),
            tokens: BTreeMap::new(),
            next_token: 0,
            network,
            workers,
            operators: (0..OPERATORS).map(SimOperator::new).collect(),
            entries,
            requests: Vec::new(),
            submissions: 0,
            history,
            leader_changes: 0,
        }
    }

    pub fn run(&mut self) {
        let quiet_from_ms = self.options.busy_ms;
        while self.now_ms < quiet_from_ms + self.options.quiet_ms {
            self.now_ms += STEP_MS;
            if self.now_ms == quiet_from_ms {
                self.end_faults();
            }
            let is_quiet = self.now_ms >= quiet_from_ms;
            if !is_quiet && self.options.faults {
                self.inject_random_fault();
            }
            self.run_leader();
            self.deliver();
            self.step_workers();
            self.step_operators(is_quiet);
            self.step_entries(is_quiet);
            self.apply_due_proposals();
        }
    }

    pub fn violations(&self) -> Vec<Violation> {
        check(&self.history, &Limits::default())
    }

    /// The digest of a new state to which the whole log is applied. Must equal the digest of the
    /// simulated state, because members apply the same log independently.
    pub fn replayed_digest(&self) -> u64 {
        let mut state = State::new();
        state.disable(self.options.state);
        for (position, command) in self.log.iter().enumerate() {
            state.apply(position as u64 + 1, command);
        }
        state.digest()
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now_ms
    }

    fn run_leader(&mut self) {
        if self.leader.is_none() && self.now_ms >= self.next_leader_at_ms {
            let config = LeaderConfig {
                disabled: self.options.leader,
                placement: PlacementConfig {
                    // Shorter than the quiet phase, so that quarantined workers are used again.
                    quarantine_ms: 5_000,
                    quarantine_max_ms: 10_000,
                    ..PlacementConfig::default()
                },
                ..LeaderConfig::default()
            };
            let seed = self.rng.random();
            let now = Millis(self.now_ms);
            let unix_ms = self.unix_ms();
            let leader = Leader::new(config, &self.state, now, unix_ms, seed);
            self.leader = Some(leader);
        }
        self.with_leader(|leader, ctx, out| leader.tick(ctx, out));
    }

    fn with_leader(&mut self, call: impl FnOnce(&mut Leader, &Context<'_>, &mut Output)) {
        let unix_ms = self.unix_ms();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let ctx = Context {
            state: &self.state,
            now: Millis(self.now_ms),
            unix_ms,
        };
        let mut out = Output::default();
        call(leader, &ctx, &mut out);
        for command in out.proposals {
            let at = self.now_ms + self.rng.random_range(2..self.options.commit_max_ms);
            self.proposals.push_back((at, command));
        }
        for (token, reply) in out.replies {
            if let Some(sender) = self.tokens.remove(&token.0) {
                self.send_reply(sender, reply);
            }
        }
    }

    fn send_reply(&mut self, sender: Sender, reply: Reply) {
        if let Sender::Worker(worker, _) = sender
            && self.now_ms < self.workers[worker].partitioned_until_ms
        {
            return;
        }
        let message = Message::Reply(sender, reply);
        self.network.send(self.now_ms, &mut self.rng, message);
    }

    fn apply_due_proposals(&mut self) {
        while let Some((at, _)) = self.proposals.front() {
            if *at > self.now_ms {
                return;
            }
            let Some((_, command)) = self.proposals.pop_front() else {
                return;
            };
            self.log.push(command.clone());
            let index = self.log.len() as u64;
            let outcome = self.state.apply(index, &command);
            self.record_finished(&outcome.changes);
            self.with_leader(|leader, ctx, out| {
                leader.applied(ctx, index, &command, &outcome, out);
            });
        }
    }

    pub fn record_finished(&mut self, changes: &[Change]) {
        for change in changes {
            let Change::Task(task) = change else {
                continue;
            };
            let phase = self.state.tasks().get(*task).map(|known| known.phase);
            if phase == Some(Phase::Ended { success: true }) {
                let event = Event::FinishReported { task: *task };
                self.history.push(Timed {
                    at_ms: self.now_ms,
                    event,
                });
            }
        }
    }

    fn deliver(&mut self) {
        for message in self.network.due(self.now_ms) {
            match message {
                Message::Call(sender, call) => self.call_leader(sender, call),
                Message::Reply(sender, reply) => self.deliver_reply(sender, reply),
            }
        }
    }

    fn call_leader(&mut self, sender: Sender, call: Call) {
        if self.leader.is_none() {
            return;
        }
        self.next_token += 1;
        let token = ReplyToken(self.next_token);
        self.tokens.insert(token.0, sender);
        self.with_leader(|leader, ctx, out| match call {
            Call::Sync(sync) => leader.worker_sync(ctx, sync, token, out),
            Call::Operator(request) => leader.operator_request(ctx, request, token, out),
            Call::Watch(watch) => leader.watch_config(ctx, watch, token, out),
            Call::Claims(batch) => leader.claims(ctx, batch, token, out),
        });
    }

    fn deliver_reply(&mut self, sender: Sender, reply: Reply) {
        let now_ms = self.now_ms;
        let unix_ms = self.unix_ms();
        let (rng, history) = (&mut self.rng, &mut self.history);
        match (sender, reply) {
            (Sender::Worker(id, incarnation), Reply::Worker(reply)) => {
                let worker = &mut self.workers[id];
                if worker.incarnation == incarnation && now_ms >= worker.partitioned_until_ms {
                    worker.receive_reply(now_ms, reply, rng, history);
                }
            }
            (Sender::Operator(id, call), reply) => {
                self.operators[id].receive_reply(now_ms, unix_ms, call, reply, rng, history);
            }
            (Sender::Watcher(id, call), Reply::Config(reply)) => {
                self.entries[id].receive_config(now_ms, call, reply, history);
            }
            (Sender::Claimer(id, call), Reply::Claims(reply)) => {
                self.entries[id].receive_claims(now_ms, call, &reply, rng, history);
            }
            _ => {}
        }
    }

    fn step_workers(&mut self) {
        for id in 0..self.workers.len() {
            let worker = &mut self.workers[id];
            let Some(sync) = worker.step(self.now_ms, &mut self.rng, &mut self.history) else {
                continue;
            };
            if self.now_ms < worker.partitioned_until_ms {
                continue;
            }
            let sender = Sender::Worker(id, worker.incarnation);
            let message = Message::Call(sender, Call::Sync(sync));
            self.network.send(self.now_ms, &mut self.rng, message);
        }
    }

    fn step_operators(&mut self, is_quiet: bool) {
        let lost: Vec<String> = self
            .workers
            .iter()
            .filter(|worker| worker.is_lost)
            .map(|worker| worker.name.to_string())
            .collect();
        let unix_ms = self.unix_ms();
        for id in 0..self.operators.len() {
            let repairs = is_quiet.then(|| self.repairs(&lost));
            let operator = &mut self.operators[id];
            let step = operator.step(self.now_ms, unix_ms, &mut self.rng, &lost, repairs);
            let Some((call, request)) = step else {
                continue;
            };
            let sender = Sender::Operator(id, call);
            let message = Message::Call(sender, Call::Operator(request));
            self.network.send(self.now_ms, &mut self.rng, message);
        }
    }

    fn step_entries(&mut self, is_quiet: bool) {
        for id in 0..self.entries.len() {
            if let Some((call, watch)) = self.entries[id].poll_config(self.now_ms) {
                let message = Message::Call(Sender::Watcher(id, call), Call::Watch(watch));
                self.network.send(self.now_ms, &mut self.rng, message);
            }
            if !is_quiet && self.rng.random_range(0..10) == 0 {
                let request = self.pick_request();
                self.submissions += 1;
                let (call, batch) =
                    self.entries[id].send_request(self.now_ms, request, self.submissions);
                let message = Message::Call(Sender::Claimer(id, call), Call::Claims(batch));
                self.network.send(self.now_ms, &mut self.rng, message);
            }
            if self.now_ms.is_multiple_of(200)
                && let Some((call, batch)) =
                    self.entries[id].flush_outcomes(self.now_ms, &mut self.history)
            {
                let message = Message::Call(Sender::Claimer(id, call), Call::Claims(batch));
                self.network.send(self.now_ms, &mut self.rng, message);
            }
        }
    }

    /// Returns a new request, or a recent one to be resent.
    fn pick_request(&mut self) -> RequestId {
        if !self.requests.is_empty() && self.rng.random_bool(0.6) {
            let from = self.requests.len().saturating_sub(6);
            let position = self.rng.random_range(from..self.requests.len());
            return self.requests[position].clone();
        }
        let number = self.requests.len();
        let request = RequestId::new(self.unix_ms(), &format!("r{number}")).unwrap();
        self.requests.push(request.clone());
        request
    }
}

fn new_worker(id: usize, rng: &mut Pcg64) -> SimWorker {
    let spec = WorkerSpec {
        failure_domain: name(&format!("fd{}", id % 3)),
        rack: name(&format!("rack{}", id % 2)),
        capacity: Resources::new(8_000, 8_000, 0),
    };
    SimWorker::new(name(&format!("w{id}")), spec, rng.random_range(0..150))
}
