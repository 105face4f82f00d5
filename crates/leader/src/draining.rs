//! The pass that empties drained workers.
//!
//! A task leaves when another worker has room for it now: a service one replica at a time, while
//! all its other replicas run; work that would lose its progress only if the operator allowed it.

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

use crate::estimate::FreeRoom;
use crate::leader::Leader;
use crate::message::Context;
use crate::message::Output;

/// Why a task stays on a drained worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stays {
    /// It is the only replica of a service.
    OnlyReplica,
    /// It cannot write a checkpoint, so it would lose its progress.
    NoCheckpoint,
}

/// Whether the kind of the job forbids moving the task.
pub(crate) fn stays(job: &Job, allow_interruption: bool) -> Option<Stays> {
    if allow_interruption {
        return None;
    }
    if job.is_service() {
        return (job.spec.tasks <= 1).then_some(Stays::OnlyReplica);
    }
    job.spec
        .checkpoint_cost_ms
        .is_none()
        .then_some(Stays::NoCheckpoint)
}

/// Why the task stays, for operators.
pub(crate) fn stay_reason(why: Stays, job: &Job, worker: &str) -> String {
    match why {
        Stays::OnlyReplica => {
            format!("its only replica is on {worker}; allow an interruption to move it")
        }
        Stays::NoCheckpoint => match job.spec.kind.run_time_ms() {
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
        let mut room = FreeRoom::of(ctx.state);
        let mut moving = BTreeSet::new();
        let mut stops = Vec::new();
        for worker in draining {
            for held in &worker.held {
                let stop = self.next_stop(ctx, worker, held.task, &mut room, &mut moving);
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
        room: &mut FreeRoom,
        moving: &mut BTreeSet<JobId>,
    ) -> Option<StopRequest> {
        let task = ctx.state.tasks().get(id)?;
        let job = ctx.state.jobs().get(task.job)?;
        let is_here = worker.held(key(id, task)).is_some();
        let is_asked = self.deciding.stops.contains_key(&id);
        if !is_here || is_asked || !ctx.state.is_wanted(task) || task.worker().is_none() {
            return None;
        }
        if stays(job, worker.allow_interruption).is_some() {
            return None;
        }
        let is_single = job.is_service() || job.is_gang();
        if is_single && (moving.contains(&task.job) || !self.is_settled(ctx, id, job)) {
            return None;
        }
        let has_room = match job.is_gang() {
            true => room.take_gang(ctx.state, job),
            false => room.take(&job.spec.resources).is_some(),
        };
        if !has_room {
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

    /// Whether every other task of the job runs and none is being stopped.
    fn is_settled(&self, ctx: &Context<'_>, id: TaskId, job: &Job) -> bool {
        let mut others = job.tasks.iter().filter(|other| **other != id);
        others.all(|other| {
            let task = ctx.state.tasks().get(*other);
            let runs = task.is_some_and(|task| {
                let is_running = matches!(task.phase, Phase::Running(_));
                task.is_ended() || (is_running && task.stop.is_none() && !task.unreachable)
            });
            runs && !self.deciding.stops.contains_key(other)
        })
    }
}

fn key(id: TaskId, task: &Task) -> AttemptKey {
    AttemptKey {
        task: id,
        attempt: task.attempt,
    }
}
