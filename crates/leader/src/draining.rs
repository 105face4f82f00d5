//! Moves tasks off drained workers.
//!
//! A task is stopped only when another worker has enough free capacity for it at that moment; for a
//! gang, there must be enough for all its tasks. A service moves one replica at a time, while all
//! its other replicas run. Of a gang, one task is stopped while all its other tasks run, and the
//! state then stops those too. Tasks that would lose their progress, and the only replica of a
//! service, are moved only if the operator allowed interruptions.

use std::collections::BTreeSet;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_state::StopRequest;
use sapphirepost_state::jobs::Job;
use sapphirepost_state::tasks::Phase;
use sapphirepost_state::tasks::StopReason;
use sapphirepost_state::tasks::Task;
use sapphirepost_state::workers::Contact;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::JobId;
use sapphirepost_types::TaskId;

use crate::estimate::FreeCapacity;
use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;

/// Why a task is not moved off a drained worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MoveBlocker {
    /// It is the only replica of a service.
    OnlyReplica,
    /// It cannot write a checkpoint, so it would lose its progress.
    NoCheckpoint,
}

/// What prevents the tasks of a job from being moved, if anything does.
pub(crate) fn move_blocker(job: &Job, allow_interruption: bool) -> Option<MoveBlocker> {
    if allow_interruption {
        return None;
    }
    if job.is_service() {
        return (job.spec.tasks <= 1).then_some(MoveBlocker::OnlyReplica);
    }
    job.spec
        .checkpoint_cost_ms
        .is_none()
        .then_some(MoveBlocker::NoCheckpoint)
}

/// The explanation of a [`MoveBlocker`] for operators.
pub(crate) fn blocker_reason(blocker: MoveBlocker, job: &Job, worker: &str) -> String {
    match blocker {
        MoveBlocker::OnlyReplica => {
            format!("its only replica is on {worker}; allow an interruption to move it")
        }
        MoveBlocker::NoCheckpoint => match job.spec.kind.run_time_ms() {
            Some(run_time_ms) => format!(
                "it cannot write a checkpoint and runs to its end (declared {run_time_ms} ms)"
            ),
            None => "it cannot write a checkpoint".to_owned(),
        },
    }
}

impl Leader {
    pub(crate) fn drain_workers(&mut self, ctx: &Context<'_>, out: &mut Output) {
        let draining: Vec<&Worker> = ctx
            .state
            .workers()
            .iter()
            .map(|(_, worker)| worker)
            .filter(|worker| worker.draining && worker.contact == Contact::Connected)
            .filter(|worker| !worker.held.is_empty())
            .collect();
        if draining.is_empty() {
            return;
        }
        let mut free = FreeCapacity::of(ctx.state);
        let mut moving = BTreeSet::new();
        let mut stops = Vec::new();
        for worker in draining {
            for allocation in &worker.held {
                let stop = self.next_stop(ctx, worker, allocation.task, &mut free, &mut moving);
                stops.extend(stop);
            }
        }
        self.propose_stops(ctx, stops, out);
    }

    fn next_stop(
        &self,
        ctx: &Context<'_>,
        worker: &Worker,
        id: TaskId,
        free: &mut FreeCapacity,
        moving: &mut BTreeSet<JobId>,
    ) -> Option<StopRequest> {
        let task = ctx.state.tasks().get(id)?;
        let job = ctx.state.jobs().get(task.job)?;
        let is_held_here = worker.allocation(key(id, task)).is_some();
        let is_stop_proposed = self.pending_decisions.stops.contains_key(&id);
        if !is_held_here
            || is_stop_proposed
            || !ctx.state.should_run(task)
            || task.worker().is_none()
        {
            return None;
        }
        if move_blocker(job, worker.allow_interruption).is_some() {
            return None;
        }
        let moves_one_at_a_time = job.is_service() || job.is_gang();
        if moves_one_at_a_time
            && (moving.contains(&task.job) || !self.are_others_running(ctx, id, job))
        {
            return None;
        }
        let fits = match job.is_gang() {
            true => free.reserve_gang(ctx.state, job),
            false => free.reserve(&job.spec.resources).is_some(),
        };
        if !fits {
            return None;
        }
        moving.insert(task.job);
        Some(StopRequest {
            task: id,
            attempt: task.attempt,
            reason: StopReason::Drained,
            checkpoint: job.spec.checkpoint_cost_ms.is_some(),
        })
    }

    /// Whether every other task of the job has ended, or is running, reachable and not being
    /// stopped.
    fn are_others_running(&self, ctx: &Context<'_>, id: TaskId, job: &Job) -> bool {
        let mut others = job.tasks.iter().filter(|other| **other != id);
        others.all(|other| {
            let task = ctx.state.tasks().get(*other);
            let runs = task.is_some_and(|task| {
                let is_running = matches!(task.phase, Phase::Running(_));
                task.is_ended() || (is_running && task.stop.is_none() && !task.unreachable)
            });
            runs && !self.pending_decisions.stops.contains_key(other)
        })
    }
}

fn key(id: TaskId, task: &Task) -> AttemptKey {
    AttemptKey {
        task: id,
        attempt: task.attempt,
    }
}
