//! A leader with its state, and workers that sync as they do over long polls.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_leader::Context;
use sapphirepost_leader::Leader;
use sapphirepost_leader::LeaderConfig;
use sapphirepost_leader::Output;
use sapphirepost_leader::Reply;
use sapphirepost_leader::ReplyToken;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_state::Command;
use sapphirepost_state::CommandResult;
use sapphirepost_state::PlanDraft;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::JobSpec;
use sapphirepost_types::Millis;
use sapphirepost_types::ObjectKey;
use sapphirepost_types::OperationId;
use sapphirepost_types::Priority;
use sapphirepost_types::VersionedObject;

use crate::clusters::Cluster;
use crate::clusters::name;
use crate::control::agent::Agent;

const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Between two ticks of the leader.
const STEP_MS: u64 = 20;

/// The mean run time with which 110 starts a second keep 4,400 batch tasks running.
const RUN_TIME_MS: u64 = 40_000;

/// Task starts each second for each worker: 110 for 800.
const STARTS_PER_WORKER: f64 = 110.0 / 800.0;

const TASKS_PER_JOB: u32 = 20;

/// Tasks of services for each worker: a fifth of 5,500 for 800.
const SERVICE_TASKS_PER_WORKER: f64 = 1_100.0 / 800.0;

/// The bench.
pub struct Bench {
    cluster: Cluster,
    rng: Pcg64Mcg,
    now: Millis,
    index: u64,
    state: State,
    leader: Leader,
    agents: Vec<Agent>,
    proposals: VecDeque<Command>,
    operations: u64,
    jobs: u64,
    due_tasks: f64,
    spent: Duration,
    calls: u64,
    ticks: Histogram<u64>,
}

impl Bench {
    /// A cluster whose workers register with their first syncs, and its services.
    pub fn new(cluster: Cluster, seed: u64) -> Bench {
        let state = State::new();
        let config = LeaderConfig::default();
        let leader = Leader::new(config, &state, Millis::ZERO, START_UNIX_MS, seed);
        let views = cluster.views().into_iter().enumerate();
        let agents = views.map(|(position, view)| {
            let first_sync = Millis(position as u64 * 1_000 / u64::from(cluster.workers));
            let spec = WorkerSpec {
                failure_domain: view.failure_domain,
                rack: view.rack,
                capacity: view.capacity,
            };
            Agent::new(name(&format!("worker-{position}")), spec, first_sync)
        });
        let mut bench = Bench {
            agents: agents.collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Millis::ZERO,
            index: 0,
            state,
            leader,
            proposals: VecDeque::new(),
            operations: 0,
            jobs: 0,
            due_tasks: 0.0,
            spent: Duration::ZERO,
            calls: 0,
            ticks: Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are valid"),
            cluster,
        };
        bench.add_services();
        bench
    }

    /// Runs for a virtual time.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while self.now < until {
            self.now = self.now + STEP_MS;
            self.add_batch_jobs();
            self.end_tasks();
            self.send_syncs();
            let start = Instant::now();
            self.call(|leader, ctx, out| leader.tick(ctx, out));
            self.ticks
                .saturating_record(start.elapsed().as_nanos() as u64);
            self.settle();
        }
    }

    /// Starts the measurement.
    pub fn reset_timing(&mut self) {
        self.spent = Duration::ZERO;
        self.calls = 0;
        self.ticks.reset();
    }

    /// Time spent in the leader and the state.
    pub fn spent(&self) -> Duration {
        self.spent
    }

    /// Timed calls.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// 99th percentile of a tick, which decides.
    pub fn tick_p99_ns(&self) -> u64 {
        self.ticks.value_at_quantile(0.99)
    }

    /// Size of a snapshot.
    pub fn state_bytes(&self) -> usize {
        self.state.snapshot().len()
    }

    /// Running attempts.
    pub fn running(&self) -> usize {
        self.agents.iter().map(|agent| agent.running_count()).sum()
    }

    fn add_services(&mut self) {
        let tasks = SERVICE_TASKS_PER_WORKER * f64::from(self.cluster.workers);
        let jobs = (tasks / f64::from(TASKS_PER_JOB)).ceil() as u32;
        for _ in 0..jobs {
            self.add_job(JobKind::Service);
        }
    }

    fn add_batch_jobs(&mut self) {
        let per_ms = STARTS_PER_WORKER * f64::from(self.cluster.workers) / 1_000.0;
        self.due_tasks += per_ms * STEP_MS as f64;
        while self.due_tasks >= f64::from(TASKS_PER_JOB) {
            self.due_tasks -= f64::from(TASKS_PER_JOB);
            self.add_job(JobKind::Batch {
                deadline_unix_ms: None,
                run_time_ms: RUN_TIME_MS,
            });
        }
    }

    /// Plans and confirms a job.
    fn add_job(&mut self, kind: JobKind) {
        self.jobs += 1;
        let resources = match kind {
            JobKind::Service => self.cluster.service_task(&mut self.rng),
            _ => self.cluster.batch_task(&mut self.rng),
        };
        let job = name(&format!("series{}-{}", self.jobs % 64, self.jobs));
        let spec = JobSpec {
            name: job.clone(),
            team: name(&format!("team-{}", self.jobs % 290)),
            kind,
            tasks: TASKS_PER_JOB,
            resources,
            priority: Priority::Normal,
            on_partition: None,
            checkpoint_cost_ms: Some(100),
            payload: String::new(),
        };
        let object = ObjectKey::Job(job);
        let (version, _) = self.state.version_of(&object);
        let draft = PlanDraft {
            intent: Intent::Run(spec),
            rests_on: std::iter::once(VersionedObject { object, version }).collect(),
            effects: Vec::new(),
            warnings: Vec::new(),
        };
        let operation = Some(self.operation());
        let verdict = self.apply(Request::RecordPlan {
            operation,
            draft: Box::new(draft),
        });
        if let CommandResult::Planned(plan) = verdict {
            let operation = self.operation();
            self.apply(Request::ConfirmPlan { operation, plan });
        }
    }

    fn operation(&mut self) -> OperationId {
        self.operations += 1;
        OperationId::new(START_UNIX_MS + self.now.0, &self.operations.to_string())
            .expect("a number is a valid text")
    }

    /// Notes attempts that end by themselves; their workers sync at once.
    fn end_tasks(&mut self) {
        for agent in &mut self.agents {
            agent.finish_due(self.now);
        }
    }

    fn send_syncs(&mut self) {
        for position in 0..self.agents.len() {
            let agent = &mut self.agents[position];
            if !agent.is_sync_due(self.now) {
                continue;
            }
            let sync = agent.sync();
            let token = ReplyToken(position as u64);
            self.call(|leader, ctx, out| leader.worker_sync(ctx, sync, token, out));
            self.settle();
        }
    }

    /// Applies proposals as if they were committed at once.
    fn settle(&mut self) {
        while let Some(command) = self.proposals.pop_front() {
            self.apply_command(command);
        }
    }

    fn apply(&mut self, request: Request) -> CommandResult {
        let command = Command {
            at_unix_ms: START_UNIX_MS + self.now.0,
            request,
        };
        self.apply_command(command)
    }

    fn apply_command(&mut self, command: Command) -> CommandResult {
        self.index += 1;
        let index = self.index;
        let start = Instant::now();
        let outcome = self.state.apply(index, &command);
        self.spent += start.elapsed();
        self.call(|leader, ctx, out| leader.applied(ctx, index, &command, &outcome, out));
        outcome.result
    }

    fn call(&mut self, call: impl FnOnce(&mut Leader, &Context<'_>, &mut Output)) {
        let mut out = Output::default();
        let ctx = Context {
            state: &self.state,
            now: self.now,
            unix_ms: START_UNIX_MS + self.now.0,
        };
        let start = Instant::now();
        call(&mut self.leader, &ctx, &mut out);
        self.spent += start.elapsed();
        self.calls += 1;
        self.proposals.extend(out.proposals);
        for (token, reply) in out.replies {
            if let Reply::Worker(reply) = reply {
                self.handle_reply(token.0 as usize, &reply);
            }
        }
    }

    fn handle_reply(&mut self, position: usize, reply: &WorkerSyncReply) {
        let now = self.now;
        let agent = &mut self.agents[position];
        agent.read_reply(reply, now);
        for command in &reply.commands {
            let run_ms = self.rng.random_range(1..2 * RUN_TIME_MS);
            agent.obey(command, now, run_ms);
        }
    }
}
