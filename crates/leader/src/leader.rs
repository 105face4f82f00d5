//! The leader as a whole: its parts, applied commands and time.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use sapphirepost_placement::Placer;
use sapphirepost_state::Change;
use sapphirepost_state::Command;
use sapphirepost_state::Outcome;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_state::workers::Contact;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::claims::ClaimCalls;
use crate::config::LeaderConfig;
use crate::deciding::Deciding;
use crate::distribution::Distribution;
use crate::message::Context;
use crate::message::Output;
use crate::mirror::Mirror;
use crate::operators::OperatorCalls;
use crate::sessions::Session;
use crate::sessions::Sessions;
use crate::stats::Events;

/// How long the clock of an idle cluster stands still before a command moves it.
const IDLE_TICK_MS: u64 = 10_000;
/// The most tasks of cancelled jobs whose workers are woken by one call, so that a burst of
/// cancels does not stall other work. A worker that is not woken gets its command with its next
/// sync.
const CANCELLED_PER_CALL: usize = 1_000;

/// The leader's decisions.
pub struct Leader {
    pub(crate) config: LeaderConfig,
    pub(crate) placer: Placer,
    pub(crate) mirror: Mirror,
    pub(crate) sessions: Sessions,
    pub(crate) deciding: Deciding,
    pub(crate) operators: OperatorCalls,
    pub(crate) claims: ClaimCalls,
    pub(crate) distribution: Distribution,
    /// What happened since it was taken last.
    pub(crate) events: Events,
    /// Workers whose commands may have changed.
    pub(crate) touched: BTreeSet<WorkerId>,
    /// Cancelled jobs with the next task whose worker is to be woken.
    cancelled: VecDeque<(JobId, TaskId)>,
    last_tick_proposed: Millis,
}

impl Leader {
    /// A leader over the state as applied so far. Runs with equal inputs and an equal seed are
    /// equal.
    pub fn new(
        config: LeaderConfig,
        state: &State,
        now: Millis,
        unix_ms: u64,
        seed: u64,
    ) -> Leader {
        let ctx = Context {
            state,
            now,
            unix_ms,
        };
        let mut mirror = Mirror::default();
        let mut placer = Placer::new(config.placement.clone(), seed);
        mirror.rebuild(&ctx, &mut placer);
        let sessions = first_sessions(&config, &ctx);
        Leader {
            config,
            placer,
            mirror,
            sessions,
            deciding: Deciding::default(),
            operators: OperatorCalls::default(),
            claims: ClaimCalls::default(),
            distribution: Distribution::default(),
            events: Events::default(),
            touched: BTreeSet::new(),
            cancelled: VecDeque::new(),
            last_tick_proposed: now,
        }
    }

    /// Follows a command that the state has applied. Every applied command must be passed in, in
    /// order; `ctx.state` is the state after it.
    pub fn applied(
        &mut self,
        ctx: &Context<'_>,
        _index: u64,
        command: &Command,
        outcome: &Outcome,
        out: &mut Output,
    ) {
        self.mirror
            .follow(ctx, command, &outcome.changes, &mut self.placer);
        self.touch(ctx, &outcome.changes);
        self.touch_cancelled(ctx);
        self.follow_request(ctx, command, outcome, out);
        if outcome.changes.contains(&Change::Config) {
            self.answer_watchers(ctx, out);
        }
        self.answer_touched(ctx, out);
    }

    /// Does what is due. To be called every 20 to 50 ms, and after `applied`.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.expire_leases(ctx, out);
        self.expire_calls(ctx, out);
        self.decide(ctx, out);
        self.drain_workers(ctx, out);
        self.tick_distribution(ctx, out);
        self.touch_cancelled(ctx);
        self.answer_due_syncs(ctx, out);
        self.answer_touched(ctx, out);
        self.move_idle_clock(ctx, out);
    }

    fn follow_request(
        &mut self,
        ctx: &Context<'_>,
        command: &Command,
        outcome: &Outcome,
        out: &mut Output,
    ) {
        match &command.request {
            Request::RecordPlan { operation, draft } => {
                self.plan_recorded(ctx, operation.as_ref(), draft, &outcome.verdict, out);
            }
            Request::ConfirmPlan { operation, plan } => {
                self.plan_confirmed(ctx, operation, *plan, &outcome.verdict, out);
            }
            Request::RegisterWorker { worker, .. } => self.worker_registered(ctx, worker, out),
            Request::ReportTasks {
                worker, sequence, ..
            } => self.report_applied(ctx, *worker, *sequence, &outcome.verdict),
            Request::PlaceTasks { groups } => {
                self.placements_applied(ctx, groups, &outcome.verdict);
            }
            Request::StopTasks { stops } => self.stops_applied(ctx, stops),
            Request::ExpireWorker { worker, .. } => {
                self.expiry_applied(*worker, &outcome.verdict);
            }
            Request::Claims(batch) => self.claims_applied(batch, &outcome.verdict, out),
            // The scheduler of the queues follows these.
            Request::Queues(_) => {}
            Request::Tick | Request::NoteEntry { .. } => {}
        }
    }

    fn touch(&mut self, ctx: &Context<'_>, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Worker(worker) => {
                    self.touched.insert(*worker);
                }
                Change::Task(id) => {
                    let task = ctx.state.tasks().get(*id);
                    self.touched.extend(task.and_then(|task| task.worker()));
                }
                Change::Job(job) => self.queue_cancelled(ctx, *job),
                Change::Quota(_) | Change::Config => {}
            }
        }
    }

    fn queue_cancelled(&mut self, ctx: &Context<'_>, id: JobId) {
        let Some(job) = ctx.state.jobs().get(id) else {
            return;
        };
        if job.is_active() || job.placed == 0 {
            return;
        }
        self.cancelled.push_back((id, TaskId::default()));
    }

    fn touch_cancelled(&mut self, ctx: &Context<'_>) {
        let mut budget = CANCELLED_PER_CALL;
        while let Some((id, from)) = self.cancelled.pop_front() {
            let Some(job) = ctx.state.jobs().get(id) else {
                continue;
            };
            let mut rest = job.tasks.range(from..);
            for task in rest.by_ref().take(budget) {
                budget -= 1;
                let task = ctx.state.tasks().get(*task);
                self.touched.extend(task.and_then(|task| task.worker()));
            }
            if let Some(next) = rest.next() {
                self.cancelled.push_front((id, *next));
                return;
            }
        }
    }

    fn move_idle_clock(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let is_behind = ctx.unix_ms > ctx.state.clock_unix_ms() + IDLE_TICK_MS;
        let was_proposed = ctx.now.since(self.last_tick_proposed) < IDLE_TICK_MS;
        if is_behind && !was_proposed {
            self.last_tick_proposed = ctx.now;
            out.propose(ctx, Request::Tick);
        }
    }
}

/// A new leader does not know when its predecessor answered last, so it takes every lease for
/// renewed just now, and again until its predecessor has certainly stepped down.
fn first_sessions(config: &LeaderConfig, ctx: &Context<'_>) -> Sessions {
    let wait_ms = match config.disabled.new_leader_waits {
        true => 0,
        false => config.certain_end_ms() + config.hand_over_ms,
    };
    let mut sessions = Sessions::default();
    for (id, worker) in ctx.state.workers().iter() {
        let mut session = Session::new(worker.incarnation, worker.sequence, ctx.now + wait_ms);
        session.wants_full = worker.contact != Contact::Connected;
        session.owes_lease = worker.contact != Contact::Connected;
        sessions.by_worker.insert(id, session);
    }
    sessions
}
