//! Mirrors the replicated state into the placer.

use std::collections::BTreeMap;

use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::JobView;
use sapphirepost_placement::Placer;
use sapphirepost_placement::TaskEnd;
use sapphirepost_placement::TaskView;
use sapphirepost_placement::WorkerMode;
use sapphirepost_placement::WorkerView;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_state::Change;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_state::jobs::Job;
use sapphirepost_state::quotas::Quota;
use sapphirepost_state::tasks::Phase;
use sapphirepost_state::tasks::Task;
use sapphirepost_state::workers::Contact;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::JobId;
use sapphirepost_types::JobKind;
use sapphirepost_types::Millis;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::message::Context;

/// The task bindings that were passed to the placer.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
    bound: BTreeMap<TaskId, WorkerId>,
}

impl Mirror {
    /// Loads the whole state into an empty placer.
    pub(crate) fn rebuild(&mut self, ctx: &Context<'_>, placer: &mut Placer) {
        for (team, quota) in ctx.state.quotas().iter() {
            placer.set_quota(team, placer_limit(quota));
        }
        for (id, worker) in ctx.state.workers().iter() {
            placer.upsert_worker(worker_view(ctx, id, worker));
        }
        for (id, job) in ctx.state.jobs().iter() {
            if job.is_active() || job.placed > 0 {
                self.submit_view(ctx, id, job, placer);
            }
        }
        for (id, task) in ctx.state.tasks().iter() {
            if let Some(worker) = task.worker() {
                self.bind(ctx, id, task, worker, placer);
                record_stop(ctx, id, task, placer);
            }
        }
        for (id, job) in ctx.state.jobs().iter() {
            if !job.is_active() && job.placed > 0 {
                placer.cancel(ctx.now, id);
            }
        }
    }

    /// Passes the changes of a command on to the placer.
    ///
    /// A job is submitted as a whole only when its size or phase changed, because that costs a pass
    /// over its tasks. Jobs come before tasks in `changes`, so the placer knows new tasks before
    /// they are bound.
    pub(crate) fn apply_changes(
        &mut self,
        ctx: &Context<'_>,
        command: &Command,
        changes: &[Change],
        placer: &mut Placer,
    ) {
        for change in changes {
            match change {
                Change::Task(id) => self.apply_task_change(ctx, command, *id, placer),
                Change::Job(id) => self.submit(ctx, *id, placer),
                Change::Worker(id) => match ctx.state.workers().get(*id) {
                    Some(worker) => placer.upsert_worker(worker_view(ctx, *id, worker)),
                    None => placer.remove_worker(*id),
                },
                Change::Quota(team) => {
                    let limit = ctx.state.quotas().get(team).and_then(placer_limit);
                    placer.set_quota(team, limit);
                }
                Change::Config => {}
            }
        }
    }

    fn apply_task_change(
        &mut self,
        ctx: &Context<'_>,
        command: &Command,
        id: TaskId,
        placer: &mut Placer,
    ) {
        let task = ctx.state.tasks().get(id);
        if let Some((task, worker)) = task.and_then(|task| Some((task, task.worker()?))) {
            if self.bound.get(&id) != Some(&worker) {
                self.bind(ctx, id, task, worker, placer);
            }
            record_stop(ctx, id, task, placer);
            return;
        }
        let was_bound = self.bound.remove(&id).is_some();
        let is_over = task.is_none_or(Task::is_ended);
        if was_bound || is_over {
            placer.release(ctx.now, id, task_end(command, id, task));
        }
    }

    fn bind(
        &mut self,
        ctx: &Context<'_>,
        id: TaskId,
        task: &Task,
        worker: WorkerId,
        placer: &mut Placer,
    ) {
        let Some(job) = ctx.state.jobs().get(task.job) else {
            return;
        };
        self.bound.insert(id, worker);
        placer.bind(id, worker, job.spec.resources);
    }

    /// Submits an active job to the placer as it is in the state, and cancels any other there.
    pub(crate) fn submit(&mut self, ctx: &Context<'_>, id: JobId, placer: &mut Placer) {
        match ctx.state.jobs().get(id) {
            Some(job) if job.is_active() => self.submit_view(ctx, id, job, placer),
            _ => placer.cancel(ctx.now, id),
        }
    }

    fn submit_view(&mut self, ctx: &Context<'_>, id: JobId, job: &Job, placer: &mut Placer) {
        let tasks = task_views(ctx, job);
        placer.submit(ctx.now, job_view(ctx, id, job, tasks));
    }
}

/// Tells the placer that a placed task is being stopped.
fn record_stop(ctx: &Context<'_>, id: TaskId, task: &Task, placer: &mut Placer) {
    if task.stop.is_some() {
        placer.record_stop(ctx.now, id);
    }
}

fn task_views(ctx: &Context<'_>, job: &Job) -> Vec<TaskView> {
    job.tasks
        .iter()
        .filter_map(|id| ctx.state.tasks().get(*id).map(|task| (*id, task)))
        .filter(|(_, task)| !task.is_ended())
        .map(|(id, task)| TaskView {
            id,
            preemptions: task.displacements,
            started: matches!(task.phase, Phase::Running(_))
                .then(|| to_monotonic(ctx, task.placed_unix_ms)),
        })
        .collect()
}

/// The limit of a quota for the placer. The placer charges unreachable tasks to the quota and the
/// state does not, so the placer's limit is higher by the resources of these tasks.
fn placer_limit(quota: &Quota) -> Option<Resources> {
    let limit = quota.limit?;
    Some(limit.checked_add(&quota.unreachable).unwrap_or(limit))
}

/// Converts a time of the wall clock to the monotonic clock.
fn to_monotonic(ctx: &Context<'_>, unix_ms: u64) -> Millis {
    match unix_ms >= ctx.unix_ms {
        true => ctx.now + (unix_ms - ctx.unix_ms),
        false => Millis(ctx.now.0.saturating_sub(ctx.unix_ms - unix_ms)),
    }
}

fn job_view(ctx: &Context<'_>, id: JobId, job: &Job, tasks: Vec<TaskView>) -> JobView {
    let policy = match job.spec.kind {
        JobKind::Service => JobPolicy::Service,
        JobKind::Batch {
            deadline_unix_ms,
            run_time_ms,
        } => JobPolicy::Batch {
            deadline: deadline_unix_ms.map(|unix_ms| to_monotonic(ctx, unix_ms)),
            run_time_ms,
        },
        JobKind::Gang { run_time_ms } => JobPolicy::Gang { run_time_ms },
    };
    JobView {
        id,
        name: job.spec.name.clone(),
        team: job.spec.team.clone(),
        policy,
        priority: job.spec.priority,
        resources: job.spec.resources,
        checkpoint_cost_ms: job.spec.checkpoint_cost_ms,
        submitted: to_monotonic(ctx, job.created_unix_ms),
        tasks,
    }
}

fn worker_view(ctx: &Context<'_>, id: WorkerId, worker: &Worker) -> WorkerView {
    let mode = match worker.contact {
        Contact::Connected if worker.draining => WorkerMode::Draining,
        Contact::Connected => WorkerMode::Ready,
        Contact::Reporting | Contact::Expired { .. } => WorkerMode::Disconnected,
    };
    WorkerView {
        id,
        failure_domain: worker.spec.failure_domain.clone(),
        rack: worker.spec.rack.clone(),
        capacity: worker
            .spec
            .capacity
            .saturating_sub(&held_by_older_attempts(ctx, id, worker)),
        mode,
    }
}

/// Resources held by attempts that are not the current ones of their tasks. The placer knows only
/// current attempts, so these resources are subtracted from the worker's capacity.
fn held_by_older_attempts(ctx: &Context<'_>, id: WorkerId, worker: &Worker) -> Resources {
    worker
        .held
        .iter()
        .filter(|allocation| {
            let task = ctx.state.tasks().get(allocation.task);
            !task
                .is_some_and(|task| task.attempt == allocation.attempt && task.worker() == Some(id))
        })
        .fold(Resources::ZERO, |sum, allocation| {
            sum.checked_add(&allocation.resources).unwrap_or(sum)
        })
}

/// How the placer is to treat the end of the task's attempt that `command` caused.
fn task_end(command: &Command, id: TaskId, task: Option<&Task>) -> TaskEnd {
    let status = match &command.request {
        Request::ReportTasks { tasks, .. } => tasks
            .iter()
            .find(|report| report.task == id)
            .map(|report| &report.status),
        _ => None,
    };
    let is_over = task.is_none_or(Task::is_ended);
    match status {
        Some(TaskStatus::Finished) => TaskEnd::Finished,
        _ if is_over => TaskEnd::Cancelled,
        Some(TaskStatus::Failed { .. }) => TaskEnd::Failed,
        Some(TaskStatus::Stopped { .. } | TaskStatus::Running) => TaskEnd::Stopped,
        None => TaskEnd::Lost,
    }
}
