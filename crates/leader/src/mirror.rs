//! Keeps the placement's picture in line with the state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_state::Change;
use sapphirepost_state::Command;
use sapphirepost_state::Request;
use sapphirepost_state::jobs::Job;
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
use crate::placing::JobPolicy;
use crate::placing::JobView;
use crate::placing::Placing;
use crate::placing::TaskEnd;
use crate::placing::TaskView;
use crate::placing::WorkerMode;
use crate::placing::WorkerView;

/// What the placement was told.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
    bound: BTreeMap<TaskId, WorkerId>,
    /// When jobs with a task that waits after a failure are submitted again, by wall clock.
    retries: BTreeSet<(u64, JobId)>,
}

impl Mirror {
    /// Tells an empty placement everything.
    pub(crate) fn rebuild(&mut self, ctx: &Context<'_>, placing: &mut dyn Placing) {
        for (team, quota) in ctx.state.quotas().iter() {
            placing.set_quota(team, quota.limit);
        }
        for (id, worker) in ctx.state.workers().iter() {
            placing.upsert_worker(worker_view(ctx, id, worker));
        }
        for (id, job) in ctx.state.jobs().iter() {
            if job.is_active() || job.placed > 0 {
                self.submit_view(ctx, id, job, placing);
            }
        }
        for (id, task) in ctx.state.tasks().iter() {
            if let Some(worker) = task.worker() {
                self.bind(ctx, id, task, worker, placing);
            }
        }
        for (id, job) in ctx.state.jobs().iter() {
            if !job.is_active() && job.placed > 0 {
                placing.cancel(ctx.now, id);
            }
        }
    }

    /// Tells the placement what a command changed.
    pub(crate) fn follow(
        &mut self,
        ctx: &Context<'_>,
        command: &Command,
        changes: &[Change],
        placing: &mut dyn Placing,
    ) {
        let mut jobs = BTreeSet::new();
        for change in changes {
            match change {
                Change::Task(id) => {
                    self.follow_task(ctx, command, *id, placing);
                    jobs.extend(ctx.state.tasks().get(*id).map(|task| task.job));
                }
                Change::Job(id) => {
                    jobs.insert(*id);
                }
                Change::Worker(id) => match ctx.state.workers().get(*id) {
                    Some(worker) => placing.upsert_worker(worker_view(ctx, *id, worker)),
                    None => placing.remove_worker(*id),
                },
                Change::Quota(team) => {
                    let limit = ctx.state.quotas().get(team).and_then(|quota| quota.limit);
                    placing.set_quota(team, limit);
                }
                Change::Config => {}
            }
        }
        for job in jobs {
            self.submit(ctx, job, placing);
        }
    }

    /// Submits jobs again whose wait after a failure is over.
    pub(crate) fn retry_due(&mut self, ctx: &Context<'_>, placing: &mut dyn Placing) {
        while let Some((at_unix_ms, job)) = self.retries.first().copied() {
            if at_unix_ms > ctx.wall_ms() {
                break;
            }
            self.retries.pop_first();
            self.submit(ctx, job, placing);
        }
    }

    fn follow_task(
        &mut self,
        ctx: &Context<'_>,
        command: &Command,
        id: TaskId,
        placing: &mut dyn Placing,
    ) {
        let task = ctx.state.tasks().get(id);
        if let Some((task, worker)) = task.and_then(|task| Some((task, task.worker()?))) {
            if self.bound.get(&id) != Some(&worker) {
                self.bind(ctx, id, task, worker, placing);
            }
            return;
        }
        if self.bound.remove(&id).is_some() {
            placing.release(ctx.now, id, end_of(command, id, task));
        }
    }

    fn bind(
        &mut self,
        ctx: &Context<'_>,
        id: TaskId,
        task: &Task,
        worker: WorkerId,
        placing: &mut dyn Placing,
    ) {
        let Some(job) = ctx.state.jobs().get(task.job) else {
            return;
        };
        self.bound.insert(id, worker);
        placing.bind(id, worker, job.spec.resources);
    }

    fn submit(&mut self, ctx: &Context<'_>, id: JobId, placing: &mut dyn Placing) {
        match ctx.state.jobs().get(id) {
            Some(job) if job.is_active() => self.submit_view(ctx, id, job, placing),
            _ => placing.cancel(ctx.now, id),
        }
    }

    fn submit_view(&mut self, ctx: &Context<'_>, id: JobId, job: &Job, placing: &mut dyn Placing) {
        let tasks = self.task_views(ctx, id, job);
        placing.submit(ctx.now, job_view(ctx, id, job, tasks));
    }

    fn task_views(&mut self, ctx: &Context<'_>, id: JobId, job: &Job) -> Vec<TaskView> {
        let wall_ms = ctx.wall_ms();
        let live: Vec<(TaskId, &Task)> = job
            .tasks
            .iter()
            .filter_map(|id| ctx.state.tasks().get(*id).map(|task| (*id, task)))
            .filter(|(_, task)| !task.is_ended())
            .collect();
        let retry_at = live
            .iter()
            .filter(|(_, task)| task.is_waiting() && task.retry_at_unix_ms > wall_ms)
            .map(|(_, task)| task.retry_at_unix_ms)
            .max();
        if let Some(retry_at) = retry_at {
            self.retries.insert((retry_at, id));
        }
        // A gang starts as a whole, so none of its tasks waits for room before all do.
        let is_gang_ready = retry_at.is_none() && live.iter().all(|(_, task)| task.is_waiting());
        live.into_iter()
            .filter(|(_, task)| {
                let may_wait = match job.is_gang() {
                    true => is_gang_ready,
                    false => task.retry_at_unix_ms <= wall_ms,
                };
                !task.is_waiting() || may_wait
            })
            .map(|(id, task)| TaskView {
                id,
                displaced: task.displacements,
                started: matches!(task.phase, Phase::Running(_))
                    .then(|| monotonic(ctx, task.placed_unix_ms)),
            })
            .collect()
    }
}

/// A point of the wall clock on the monotonic clock.
fn monotonic(ctx: &Context<'_>, unix_ms: u64) -> Millis {
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
            deadline: deadline_unix_ms.map(|unix_ms| monotonic(ctx, unix_ms)),
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
        submitted: monotonic(ctx, job.created_unix_ms),
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
            .saturating_sub(&older_attempts(ctx, id, worker)),
        mode,
    }
}

/// What attempts hold that are not the current ones of their tasks; the placement knows only the
/// current ones, so this is taken off the capacity.
fn older_attempts(ctx: &Context<'_>, id: WorkerId, worker: &Worker) -> Resources {
    worker
        .held
        .iter()
        .filter(|held| {
            let task = ctx.state.tasks().get(held.task);
            !task.is_some_and(|task| task.attempt == held.attempt && task.worker() == Some(id))
        })
        .fold(Resources::ZERO, |sum, held| {
            sum.checked_add(&held.resources).unwrap_or(sum)
        })
}

fn end_of(command: &Command, id: TaskId, task: Option<&Task>) -> TaskEnd {
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
