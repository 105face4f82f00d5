//! A simulated cluster that is controlled by the directives of the file tests. Faults occur only
//! where a directive asks for them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use datadriven::TestCase;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use sapphirepost_leader::Context;
use sapphirepost_leader::Leader;
use sapphirepost_leader::LeaderConfig;
use sapphirepost_leader::Output;
use sapphirepost_leader::Reply;
use sapphirepost_leader::ReplyToken;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_protocol::operator::Confirm;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Propose;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_state::Command;
use sapphirepost_state::State;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use sapphirepost_types::Resources;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Limits;
use sapphirepost_verifier::Timed;
use sapphirepost_verifier::check;

use super::describe::describe;
use super::describe::describe_stats;
use super::worker::SimWorker;

const START_UNIX_MS: u64 = 1_700_000_000_000;
const STEP_MS: u64 = 20;

pub struct ScenarioCluster {
    now_ms: u64,
    rng: Pcg64,
    state: State,
    leader: Leader,
    index: u64,
    proposals: VecDeque<Command>,
    replies: Vec<(ReplyToken, Reply)>,
    tokens: u64,
    /// The index of the worker that sent each sync, by reply token.
    sync_senders: BTreeMap<u64, usize>,
    /// The operation of each operator call, by reply token.
    operations: BTreeMap<u64, String>,
    workers: Vec<SimWorker>,
    partitioned: Vec<Name>,
    /// Whether proposals are kept until a `commit` directive.
    holds_proposals: bool,
    outstanding_max: usize,
    history: Vec<Timed>,
}

impl ScenarioCluster {
    pub fn new(outstanding_max: usize) -> ScenarioCluster {
        let state = State::new();
        ScenarioCluster {
            now_ms: 0,
            rng: Pcg64::seed_from_u64(1),
            leader: new_leader(&state, 0),
            state,
            index: 0,
            proposals: VecDeque::new(),
            replies: Vec::new(),
            tokens: 0,
            sync_senders: BTreeMap::new(),
            operations: BTreeMap::new(),
            workers: Vec::new(),
            partitioned: Vec::new(),
            holds_proposals: false,
            outstanding_max,
            history: Vec::new(),
        }
    }

    pub fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.clone().as_str() {
            "worker" => self.add_worker(case),
            "propose" => self.propose(case),
            "confirm" => self.confirm(case),
            "explain" => {
                let job = case.take_arg("job").unwrap();
                self.operator(OperatorRequest::Explain { job })
            }
            "history" => self.operator(OperatorRequest::ConfigHistory { limit: 10 }),
            "usage" => {
                let worker: Name = case.take_arg("worker").unwrap();
                let millicores = case.take_arg("millicores").unwrap();
                let worker = self.workers.iter_mut().find(|w| w.name == worker).unwrap();
                worker.usage = Some(Resources::new(millicores, 0, 0));
                String::new()
            }
            "throttled" => {
                let workers = self.workers.iter();
                let lines = workers.map(|w| format!("{}: {:?}\n", w.name, w.throttled));
                lines.collect()
            }
            "watch" => {
                let watch = WatchConfig {
                    entry: case.take_arg("entry").unwrap(),
                    incarnation: Incarnation(1),
                    applied: case.try_take_arg("applied").unwrap(),
                    wait_ms: 1_000,
                };
                let token = self.token();
                self.call(|leader, ctx, out| leader.watch_config(ctx, watch, token, out));
                self.apply_proposals();
                self.take_reply(token)
            }
            "wait-config" => self.operator(OperatorRequest::WaitConfig {
                version: case.take_arg("version").unwrap(),
                wait_ms: 2_000,
            }),
            "figures" => self.stats(),
            "status" => self.operator(OperatorRequest::Status),
            "replies" => self.take_replies(),
            "advance" => {
                let until_ms = self.now_ms + case.take_arg::<u64>("ms").unwrap();
                while self.now_ms < until_ms {
                    self.step();
                }
                self.summary()
            }
            "show" => self.summary(),
            "cut" => {
                self.partitioned.push(case.take_arg("worker").unwrap());
                String::new()
            }
            "deafen" => {
                let worker: Name = case.take_arg("worker").unwrap();
                let worker = self.workers.iter_mut().find(|w| w.name == worker).unwrap();
                worker.replies_lost_until_ms = u64::MAX;
                String::new()
            }
            "heal" => {
                for worker in &mut self.workers {
                    worker.replies_lost_until_ms = 0;
                }
                self.partitioned.clear();
                String::new()
            }
            "lose" => {
                let name: Name = case.take_arg("worker").unwrap();
                let now_ms = self.now_ms;
                let worker = self.workers.iter_mut().find(|w| w.name == name).unwrap();
                worker.lose_vm(now_ms, &mut self.history);
                String::new()
            }
            "hold" => {
                self.holds_proposals = true;
                String::new()
            }
            "commit" => {
                self.holds_proposals = false;
                self.apply_proposals();
                self.deliver();
                self.take_replies()
            }
            "new-leader" => {
                self.proposals.clear();
                self.leader = new_leader(&self.state, self.now_ms);
                String::new()
            }
            "verify" => {
                let violations = check(&self.history, &Limits::default());
                violations
                    .iter()
                    .map(|violation| format!("{violation}\n"))
                    .collect()
            }
            other => panic!("unknown directive {other}"),
        }
    }

    fn add_worker(&mut self, case: &mut TestCase) -> String {
        let name: Name = case.take_arg("name").unwrap();
        let accelerators = case.try_take_arg("accelerators").unwrap().unwrap_or(0);
        let millicores = case.take_arg("millicores").unwrap();
        let memory_mib = case.take_arg("memory_mib").unwrap();
        let capacity = Resources::new(millicores, memory_mib, accelerators);
        let spec = WorkerSpec {
            failure_domain: case.take_arg("domain").unwrap(),
            rack: super::name("rack"),
            capacity,
        };
        let event = Event::WorkerSize {
            worker: name.clone(),
            capacity,
        };
        self.history.push(Timed {
            at_ms: self.now_ms,
            event,
        });
        let mut worker = SimWorker::new(name, spec, 0);
        worker.no_random_failures = true;
        worker.outstanding_max = self.outstanding_max;
        self.workers.push(worker);
        self.step();
        self.step();
        String::new()
    }

    fn propose(&mut self, case: &mut TestCase) -> String {
        let operation = self.operation(case);
        let intent = serde_json::from_str(&case.input).unwrap();
        self.operator(OperatorRequest::Propose(Propose { operation, intent }))
    }

    fn confirm(&mut self, case: &mut TestCase) -> String {
        let operation = self.operation(case);
        let plan: PlanId = case.take_arg("plan").unwrap();
        self.operator(OperatorRequest::Confirm(Confirm { operation, plan }))
    }

    fn operation(&self, case: &mut TestCase) -> OperationId {
        let text: String = case.take_arg("op").unwrap();
        let age_ms = case.try_take_arg::<u64>("age_ms").unwrap().unwrap_or(0);
        OperationId::new(START_UNIX_MS - age_ms, &text).unwrap()
    }

    fn operator(&mut self, request: OperatorRequest) -> String {
        let token = self.token();
        let operation = match &request {
            OperatorRequest::Propose(propose) => propose.operation.to_string(),
            OperatorRequest::Confirm(confirm) => confirm.operation.to_string(),
            _ => String::new(),
        };
        self.operations.insert(token.0, operation);
        self.call(|leader, ctx, out| leader.operator_request(ctx, request, token, out));
        self.apply_proposals();
        self.take_reply(token)
    }

    fn take_reply(&mut self, token: ReplyToken) -> String {
        let position = self
            .replies
            .iter()
            .position(|(replied, _)| *replied == token);
        match position {
            Some(position) => describe(self.replies.remove(position).1),
            None => "waits\n".to_owned(),
        }
    }

    fn take_replies(&mut self) -> String {
        let replies = std::mem::take(&mut self.replies);
        let texts = replies.into_iter().map(|(token, reply)| {
            let operation = self.operations.remove(&token.0).unwrap_or_default();
            format!("{operation}: {}", describe(reply))
        });
        texts.collect()
    }

    fn token(&mut self) -> ReplyToken {
        self.tokens += 1;
        ReplyToken(self.tokens)
    }

    fn call(&mut self, call: impl FnOnce(&mut Leader, &Context<'_>, &mut Output)) {
        let ctx = Context {
            state: &self.state,
            now: Millis(self.now_ms),
            unix_ms: START_UNIX_MS + self.now_ms,
        };
        let mut out = Output::default();
        call(&mut self.leader, &ctx, &mut out);
        self.proposals.extend(out.proposals);
        self.replies.extend(out.replies);
    }

    fn apply_proposals(&mut self) {
        while !self.holds_proposals {
            let Some(command) = self.proposals.pop_front() else {
                return;
            };
            self.index += 1;
            let index = self.index;
            let outcome = self.state.apply(index, &command);
            self.call(|leader, ctx, out| leader.applied(ctx, index, &command, &outcome, out));
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.call(|leader, ctx, out| leader.tick(ctx, out));
        self.apply_proposals();
        for id in 0..self.workers.len() {
            let worker = &mut self.workers[id];
            let sync = worker.step(self.now_ms, &mut self.rng, &mut self.history);
            let is_partitioned = self.partitioned.contains(&self.workers[id].name);
            if let Some(sync) = sync.filter(|_| !is_partitioned) {
                let token = self.token();
                self.sync_senders.insert(token.0, id);
                self.call(|leader, ctx, out| leader.worker_sync(ctx, sync, token, out));
            }
        }
        self.apply_proposals();
        self.deliver();
    }

    fn deliver(&mut self) {
        for (token, reply) in std::mem::take(&mut self.replies) {
            let Reply::Worker(reply) = reply else {
                self.replies.push((token, reply));
                continue;
            };
            if let Some(id) = self.sync_senders.remove(&token.0) {
                let (rng, history) = (&mut self.rng, &mut self.history);
                self.workers[id].receive_reply(self.now_ms, reply, rng, history);
            }
        }
    }

    fn stats(&mut self) -> String {
        let ctx = Context {
            state: &self.state,
            now: Millis(self.now_ms),
            unix_ms: START_UNIX_MS + self.now_ms,
        };
        let stats = self.leader.cluster_stats(&ctx);
        describe_stats(&stats, &self.leader.take_events())
    }

    fn summary(&self) -> String {
        let mut text = String::new();
        for (_, job) in self.state.jobs().iter() {
            text += &format!("{}: {:?}", job.spec.name, job.phase);
            for task in job
                .tasks
                .iter()
                .filter_map(|id| self.state.tasks().get(*id))
            {
                let worker = task.worker().and_then(|id| self.state.workers().get(id));
                let place = worker.map_or("-", |worker| worker.name.as_str());
                let phase = format!("{:?}", task.phase).to_lowercase();
                let phase = phase.split(['(', ' ']).next().unwrap_or("").to_owned();
                let mark = if task.unreachable { " unreachable" } else { "" };
                let added = if task.additional { " additional" } else { "" };
                let stop = if task.stop.is_some() { " stopping" } else { "" };
                text += &format!("\n  {phase} {place} {}{mark}{added}{stop}", task.attempt);
            }
            text.push('\n');
        }
        text
    }
}

fn new_leader(state: &State, now_ms: u64) -> Leader {
    let config = LeaderConfig::default();
    Leader::new(config, state, Millis(now_ms), START_UNIX_MS + now_ms, 1)
}
