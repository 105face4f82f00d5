//! Turns the decisions of the placer into proposals and commands: placements, stops and throttles.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirepost_placement::Health;
use sapphirepost_placement::LateWarning;
use sapphirepost_placement::StopCause;
use sapphirepost_placement::TaskEnd;
use sapphirepost_placement::TaskStop;
use sapphirepost_placement::Throttle;
use sapphirepost_state::CommandResult;
use sapphirepost_state::Placement;
use sapphirepost_state::Request;
use sapphirepost_state::StopRequest;
use sapphirepost_state::tasks::StopReason;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;

/// Decisions that are proposed and not applied yet, and findings of the placer.
#[derive(Debug, Default)]
pub(crate) struct PendingDecisions {
    /// When the placement of each task was proposed.
    placements: BTreeMap<TaskId, Millis>,
    /// When the stop of each task was proposed.
    pub(crate) stops: BTreeMap<TaskId, Millis>,
    /// Workers that get no tasks because many distinct tasks failed on them.
    pub(crate) quarantined: BTreeSet<WorkerId>,
    /// Active jobs that will probably miss their deadline.
    pub(crate) late_jobs: BTreeMap<JobId, LateWarning>,
}

impl Leader {
    pub(crate) fn decide(&mut self, ctx: &Context<'_>, out: &mut Output) {
        self.drop_timed_out_decisions(ctx);
        let decisions = self.placer.decide(ctx.now, self.config.decide_budget);
        for change in &decisions.health_changes {
            match change.health {
                Health::Quarantined => self.pending_decisions.quarantined.insert(change.worker),
                Health::Healthy | Health::Probation => {
                    self.pending_decisions.quarantined.remove(&change.worker)
                }
            };
        }
        for faulty in &decisions.faulty_tasks {
            // The placer has stopped placing this task. The state counts failures across terms and
            // decides whether the task is given up; if it is not, submitting the job again makes
            // the placer retry the task.
            self.mirror.submit(ctx, faulty.job, &mut self.placer);
        }
        for warning in &decisions.late_warnings {
            self.pending_decisions
                .late_jobs
                .insert(warning.job, *warning);
        }
        let jobs = ctx.state.jobs();
        self.pending_decisions
            .late_jobs
            .retain(|job, _| jobs.get(*job).is_some_and(|job| job.is_active()));
        self.propose_placements(ctx, &decisions.placements, out);
        self.propose_placer_stops(ctx, &decisions.stops, out);
        self.apply_throttles(&decisions.throttles);
    }

    fn drop_timed_out_decisions(&mut self, ctx: &Context<'_>) {
        let timeout_ms = self.config.proposal_timeout_ms;
        let is_timed_out = |since: &Millis| ctx.now.since(*since) >= timeout_ms;
        self.pending_decisions
            .stops
            .retain(|_, since| !is_timed_out(since));
        let timed_out: Vec<TaskId> = self
            .pending_decisions
            .placements
            .iter()
            .filter(|(_, since)| is_timed_out(since))
            .map(|(task, _)| *task)
            .collect();
        for task in timed_out {
            self.pending_decisions.placements.remove(&task);
            self.placer.release(ctx.now, task, TaskEnd::Rejected);
        }
    }

    fn propose_placements(
        &mut self,
        ctx: &Context<'_>,
        placements: &[sapphirepost_placement::Placement],
        out: &mut Output,
    ) {
        let mut groups: Vec<Vec<Placement>> = Vec::new();
        let mut last_gang: Option<JobId> = None;
        for decided in placements {
            let Some(task) = ctx.state.tasks().get(decided.task) else {
                self.placer
                    .release(ctx.now, decided.task, TaskEnd::Cancelled);
                continue;
            };
            let placement = Placement {
                task: decided.task,
                attempt: task.attempt.next(),
                worker: decided.worker,
            };
            self.pending_decisions
                .placements
                .insert(decided.task, ctx.now);
            let job = ctx.state.jobs().get(task.job);
            let gang = job.filter(|job| job.is_gang()).map(|_| task.job);
            match groups.last_mut() {
                Some(group) if gang.is_some() && gang == last_gang => group.push(placement),
                _ => groups.push(vec![placement]),
            }
            last_gang = gang;
        }
        if !groups.is_empty() {
            out.propose(ctx, Request::PlaceTasks { groups });
        }
    }

    fn propose_placer_stops(
        &mut self,
        ctx: &Context<'_>,
        task_stops: &[TaskStop],
        out: &mut Output,
    ) {
        let stops: Vec<StopRequest> = task_stops
            .iter()
            .filter_map(|task_stop| {
                let task = ctx.state.tasks().get(task_stop.task)?;
                Some(StopRequest {
                    task: task_stop.task,
                    attempt: task.attempt,
                    reason: match task_stop.cause {
                        StopCause::Displaced { .. } => StopReason::Displaced,
                        StopCause::GangBroken => StopReason::GangBroken,
                    },
                    checkpoint: task_stop.checkpoint,
                })
            })
            .collect();
        self.propose_stops(ctx, stops, out);
    }

    pub(crate) fn propose_stops(
        &mut self,
        ctx: &Context<'_>,
        stops: Vec<StopRequest>,
        out: &mut Output,
    ) {
        if stops.is_empty() {
            return;
        }
        for stop in &stops {
            self.pending_decisions.stops.insert(stop.task, ctx.now);
        }
        out.propose(ctx, Request::StopTasks { stops });
    }

    fn apply_throttles(&mut self, throttles: &[Throttle]) {
        for throttle in throttles {
            if let Some(session) = self.sessions.by_worker.get_mut(&throttle.worker) {
                session.throttled.insert(throttle.task, throttle.percent);
                session.forget_sent_throttle(throttle.task);
                self.dirty_workers.insert(throttle.worker);
            }
        }
    }

    pub(crate) fn placements_applied(
        &mut self,
        ctx: &Context<'_>,
        groups: &[Vec<Placement>],
        command_result: &CommandResult,
    ) {
        let CommandResult::Placed(results) = command_result else {
            return;
        };
        for (group, result) in groups.iter().zip(results) {
            if result.is_ok() {
                self.events.record_waits(ctx.state, group);
            }
            for placement in group {
                let was_pending = self
                    .pending_decisions
                    .placements
                    .remove(&placement.task)
                    .is_some();
                if result.is_err() && was_pending {
                    self.placer
                        .release(ctx.now, placement.task, TaskEnd::Rejected);
                }
            }
        }
    }

    pub(crate) fn stops_applied(&mut self, ctx: &Context<'_>, stops: &[StopRequest]) {
        for stop in stops {
            if self.pending_decisions.stops.remove(&stop.task).is_some() {
                self.events.record_preemption(ctx.state, stop);
            }
        }
    }
}
