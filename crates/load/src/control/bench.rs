//! Runs a leader with its state, and simulated workers that sync over long polls, on a virtual
//! clock.

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

/// Wall-clock time at virtual time zero.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Virtual time between two ticks of the leader.
const TICK_INTERVAL_MS: u64 = 20;

/// Mean run time of a batch task: with 110 starts per second, 4,400 batch tasks are running.
const RUN_TIME_MS: u64 = 40_000;

/// Task starts per second and worker: 110 per second for 800 workers.
const STARTS_PER_WORKER: f64 = 110.0 / 800.0;

const TASKS_PER_JOB: u32 = 20;

/// Service tasks per worker: a fifth of 5,500 tasks on 800 workers.
const SERVICE_TASKS_PER_WORKER: f64 = 1_100.0 / 800.0;

/// A leader with its state and the agents of its workers. Proposals are committed at once.
pub struct Bench {
    cluster: Cluster,
    rng: Pcg64Mcg,
    now: Millis,
    index: u64,
    state: State,
    leader: Leader,
    agents: Vec<Agent>,
    proposals: VecDeque<Command>,
    operation_count: u64,
    jobs: u64,
    /// Batch tasks that have arrived but are not yet in a job.
    pending_tasks: f64,
    spent: Duration,
    calls: u64,
    /// Durations of ticks in nanoseconds, including the handling of replies by the agents.
    ticks: Histogram<u64>,
}

impl Bench {
    /// Creates a cluster whose workers register with their first syncs, and submits its services.
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
            operation_count: 0,
            jobs: 0,
            pending_tasks: 0.0,
            spent: Duration::ZERO,
            calls: 0,
            ticks: Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are valid"),
            cluster,
        };
        bench.add_services();
        bench
    }

    /// Advances the virtual clock by `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while self.now < until {
            self.now = self.now + TICK_INTERVAL_MS;
            self.add_batch_jobs();
            self.end_tasks();
            self.send_syncs();
            let start = Instant::now();
            self.call(|leader, ctx, out| leader.tick(ctx, out));
            self.ticks
                .saturating_record(start.elapsed().as_nanos() as u64);
            self.apply_proposals();
        }
    }

    /// Resets the measured times and the count of calls.
    pub fn reset_timing(&mut self) {
        self.spent = Duration::ZERO;
        self.calls = 0;
        self.ticks.reset();
    }

    /// Returns the time spent in the leader and the state since the last reset.
    pub fn spent(&self) -> Duration {
        self.spent
    }

    /// Returns the number of timed calls to the leader since the last reset.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Returns the 99th percentile of the duration of a tick, which includes the scheduling pass.
    pub fn tick_p99_ns(&self) -> u64 {
        self.ticks.value_at_quantile(0.99)
    }

    /// Returns the size of a snapshot of the state.
    pub fn state_bytes(&self) -> usize {
        self.state.snapshot().len()
    }

    /// Returns the number of attempts that run on all workers.
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
        self.pending_tasks += per_ms * TICK_INTERVAL_MS as f64;
        while self.pending_tasks >= f64::from(TASKS_PER_JOB) {
            self.pending_tasks -= f64::from(TASKS_PER_JOB);
            self.add_job(JobKind::Batch {
                deadline_unix_ms: None,
                run_time_ms: RUN_TIME_MS,
            });
        }
    }

    /// Submits a job: records its plan and confirms it.
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
        let operation = Some(self.next_operation_id());
        let result = self.apply(Request::RecordPlan {
            operation,
            draft: Box::new(draft),
        });
        if let CommandResult::Planned(plan) = result {
            let operation = self.next_operation_id();
            self.apply(Request::ConfirmPlan { operation, plan });
        }
    }

    fn next_operation_id(&mut self) -> OperationId {
        self.operation_count += 1;
        OperationId::new(
            START_UNIX_MS + self.now.0,
            &self.operation_count.to_string(),
        )
        .expect("a number is a valid operation ID")
    }

    /// Ends the attempts whose run time is over; their workers sync at once.
    fn end_tasks(&mut self) {
        for agent in &mut self.agents {
            agent.finish_ended_attempts(self.now);
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
            self.apply_proposals();
        }
    }

    /// Applies all proposals to the state, as if each was committed at once.
    fn apply_proposals(&mut self) {
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
        agent.handle_reply(reply, now);
        for command in &reply.commands {
            let run_ms = self.rng.random_range(1..2 * RUN_TIME_MS);
            agent.execute(command, now, run_ms);
        }
    }
}
