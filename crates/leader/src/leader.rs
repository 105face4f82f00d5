//! The [`Leader`] type: its components, and the handling of applied commands and ticks.

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
use crate::decisions::PendingDecisions;
use crate::distribution::Distribution;
use crate::message::Context;
use crate::message::Output;
use crate::mirror::Mirror;
use crate::operators::OperatorCalls;
use crate::sessions::Session;
use crate::sessions::Sessions;
use crate::stats::Events;

/// How far the clock of the state may lag behind the wall clock before a `Tick` command is
/// proposed, and the shortest time between two such proposals.
const IDLE_TICK_MS: u64 = 10_000;
/// Maximum number of tasks of inactive jobs that one call visits to mark their workers as dirty, so
/// that a burst of cancellations does not delay other work. A worker that is not marked yet gets
/// its stop commands with its next sync.
const INACTIVE_TASKS_PER_CALL: usize = 1_000;

/// Makes the scheduling decisions of one term.
pub struct Leader {
    pub(crate) config: LeaderConfig,
    pub(crate) placer: Placer,
    pub(crate) mirror: Mirror,
    pub(crate) sessions: Sessions,
    pub(crate) pending_decisions: PendingDecisions,
    pub(crate) operators: OperatorCalls,
    pub(crate) claims: ClaimCalls,
    pub(crate) distribution: Distribution,
    /// Accumulated since the last call of `take_events`.
    pub(crate) events: Events,
    /// Workers whose held syncs may have to be answered because something changed.
    pub(crate) dirty_workers: BTreeSet<WorkerId>,
    /// Jobs that are no longer active (cancelled jobs and failed gangs) but had placed tasks, each
    /// with the next task whose worker is to be marked as dirty.
    inactive_jobs: VecDeque<(JobId, TaskId)>,
    last_tick_proposed: Millis,
}

impl Leader {
    /// Creates a leader from the state after an entry of its term was applied. With equal inputs and
    /// an equal seed, two leaders make the same decisions.
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
        let sessions = initial_sessions(&config, &ctx);
        Leader {
            config,
            placer,
            mirror,
            sessions,
            pending_decisions: PendingDecisions::default(),
            operators: OperatorCalls::default(),
            claims: ClaimCalls::default(),
            distribution: Distribution::default(),
            events: Events::default(),
            dirty_workers: BTreeSet::new(),
            inactive_jobs: VecDeque::new(),
            last_tick_proposed: now,
        }
    }

    /// Processes a command that the state has applied. Must be called for every applied command, in
    /// log order, with `ctx.state` as the state after the command.
    pub fn applied(
        &mut self,
        ctx: &Context<'_>,
        _index: u64,
        command: &Command,
        outcome: &Outcome,
        out: &mut Output,
    ) {
        self.mirror
            .apply_changes(ctx, command, &outcome.changes, &mut self.placer);
        self.mark_dirty(ctx, &outcome.changes);
        self.mark_inactive_dirty(ctx);
        self.handle_applied(ctx, command, outcome, out);
        if outcome.changes.contains(&Change::Config) {
            self.answer_watchers(ctx, out);
        }
        self.answer_dirty_workers(ctx, out);
    }

    /// Makes new decisions and handles everything that has become due, such as expired leases. To
    /// be called every 20 to 50 ms, and after `applied`.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.expire_leases(ctx, out);
        self.expire_calls(ctx, out);
        self.decide(ctx, out);
        self.drain_workers(ctx, out);
        self.tick_distribution(ctx, out);
        self.mark_inactive_dirty(ctx);
        self.answer_due_syncs(ctx, out);
        self.answer_dirty_workers(ctx, out);
        self.advance_idle_clock(ctx, out);
    }

    fn handle_applied(
        &mut self,
        ctx: &Context<'_>,
        command: &Command,
        outcome: &Outcome,
        out: &mut Output,
    ) {
        match &command.request {
            Request::RecordPlan { operation, draft } => {
                self.plan_recorded(ctx, operation.as_ref(), draft, &outcome.result, out);
            }
            Request::ConfirmPlan { operation, plan } => {
                self.plan_confirmed(ctx, operation, *plan, &outcome.result, out);
            }
            Request::RegisterWorker { worker, .. } => self.worker_registered(ctx, worker, out),
            Request::ReportTasks {
                worker, sequence, ..
            } => self.report_applied(ctx, *worker, *sequence, &outcome.result),
            Request::PlaceTasks { groups } => {
                self.placements_applied(ctx, groups, &outcome.result);
            }
            Request::StopTasks { stops } => self.stops_applied(ctx, stops),
            Request::ExpireWorker { worker, .. } => {
                self.expiry_applied(*worker, &outcome.result);
            }
            Request::Claims(batch) => self.claims_applied(batch, &outcome.result, out),
            // Handled by the scheduler of the queues, which is not part of this type.
            Request::Queues(_) => {}
            Request::Tick | Request::NoteEntry { .. } => {}
        }
    }

    fn mark_dirty(&mut self, ctx: &Context<'_>, changes: &[Change]) {
        for change in changes {
            match change {
                Change::Worker(worker) => {
                    self.dirty_workers.insert(*worker);
                }
                Change::Task(id) => {
                    let task = ctx.state.tasks().get(*id);
                    self.dirty_workers
                        .extend(task.and_then(|task| task.worker()));
                }
                Change::Job(job) => self.queue_inactive(ctx, *job),
                Change::Quota(_) | Change::Config => {}
            }
        }
    }

    fn queue_inactive(&mut self, ctx: &Context<'_>, id: JobId) {
        let Some(job) = ctx.state.jobs().get(id) else {
            return;
        };
        if job.is_active() || job.placed == 0 {
            return;
        }
        self.inactive_jobs.push_back((id, TaskId::default()));
    }

    fn mark_inactive_dirty(&mut self, ctx: &Context<'_>) {
        let mut budget = INACTIVE_TASKS_PER_CALL;
        while let Some((id, from)) = self.inactive_jobs.pop_front() {
            let Some(job) = ctx.state.jobs().get(id) else {
                continue;
            };
            let mut rest = job.tasks.range(from..);
            for task in rest.by_ref().take(budget) {
                budget -= 1;
                let task = ctx.state.tasks().get(*task);
                self.dirty_workers
                    .extend(task.and_then(|task| task.worker()));
            }
            if let Some(next) = rest.next() {
                self.inactive_jobs.push_front((id, *next));
                return;
            }
        }
    }

    fn advance_idle_clock(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let is_behind = ctx.unix_ms > ctx.state.clock_unix_ms() + IDLE_TICK_MS;
        let was_proposed = ctx.now.since(self.last_tick_proposed) < IDLE_TICK_MS;
        if is_behind && !was_proposed {
            self.last_tick_proposed = ctx.now;
            out.propose(ctx, Request::Tick);
        }
    }
}

/// Creates a session for each registered worker.
///
/// A new leader does not know when its predecessor last renewed a lease. It assumes that each lease
/// is renewed until the predecessor has certainly stepped down, `hand_over_ms` from now.
fn initial_sessions(config: &LeaderConfig, ctx: &Context<'_>) -> Sessions {
    let wait_ms = match config.disabled.new_leader_waits {
        true => 0,
        false => config.lease_end_bound_ms() + config.hand_over_ms,
    };
    let mut sessions = Sessions::default();
    for (id, worker) in ctx.state.workers().iter() {
        let mut session = Session::new(worker.incarnation, worker.sequence, ctx.now + wait_ms);
        session.wants_full_report = worker.contact != Contact::Connected;
        session.needs_lease = worker.contact != Contact::Connected;
        sessions.by_worker.insert(id, session);
    }
    sessions
}
