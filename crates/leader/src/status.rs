//! Status and explanations for operators, derived from the state.

use std::collections::BTreeSet;

use sapphirepost_placement::LateWarning;
use sapphirepost_protocol::operator::ClusterStatus;
use sapphirepost_protocol::operator::JobStatus;
use sapphirepost_protocol::operator::WorkerStatus;
use sapphirepost_state::jobs::Job;
use sapphirepost_state::jobs::JobPhase;
use sapphirepost_state::tasks::Phase;
use sapphirepost_state::tasks::StopReason;
use sapphirepost_state::tasks::Task;
use sapphirepost_state::workers::Contact;
use sapphirepost_state::workers::Worker;
use sapphirepost_types::JobId;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::config::LeaderConfig;
use crate::draining::blocker_reason;
use crate::draining::move_blocker;
use crate::message::Context;

/// Maximum number of tasks that an explanation lists individually.
const EXPLAINED_TASKS_MAX: usize = 20;

pub(crate) fn cluster(
    ctx: &Context<'_>,
    config: &LeaderConfig,
    quarantined: &BTreeSet<WorkerId>,
) -> ClusterStatus {
    let jobs = ctx.state.jobs().iter();
    let workers = ctx.state.workers().iter();
    ClusterStatus {
        jobs: jobs.map(|(_, job)| job_status(ctx, job)).collect(),
        workers: workers
            .map(|(id, worker)| worker_status(worker, quarantined.contains(&id)))
            .collect(),
        config_version: ctx.state.config().version(),
        leader: config.member,
        term: config.term,
    }
}

fn job_status(ctx: &Context<'_>, job: &Job) -> JobStatus {
    let mut status = JobStatus {
        name: job.spec.name.clone(),
        team: job.spec.team.clone(),
        kind: job.spec.kind.clone(),
        wanted: job.spec.tasks,
        running: 0,
        starting: 0,
        waiting: 0,
        unreachable: 0,
        finished: job.finished,
        failed: job.failed,
        cancelled: job.phase == JobPhase::Cancelled,
    };
    for task in job.tasks.iter().filter_map(|id| ctx.state.tasks().get(*id)) {
        match task.phase {
            _ if task.unreachable => status.unreachable += 1,
            Phase::Waiting if job.is_active() => status.waiting += 1,
            Phase::Starting(_) => status.starting += 1,
            Phase::Running(_) => status.running += 1,
            Phase::Waiting | Phase::Ended { .. } => {}
        }
    }
    status
}

fn worker_status(worker: &Worker, quarantined: bool) -> WorkerStatus {
    WorkerStatus {
        name: worker.name.clone(),
        failure_domain: worker.spec.failure_domain.clone(),
        rack: worker.spec.rack.clone(),
        capacity: worker.spec.capacity,
        used: worker.used,
        tasks: worker.held.len() as u32,
        connected: worker.contact == Contact::Connected,
        draining: worker.draining,
        quarantined,
    }
}

/// Describes the phase of the job and of its tasks. Why tasks wait is explained by the placer.
pub(crate) fn explain(ctx: &Context<'_>, id: JobId, job: &Job) -> Vec<String> {
    let mut lines = vec![phase_line(id, job)];
    let tasks = job
        .tasks
        .iter()
        .filter_map(|id| Some((*id, ctx.state.tasks().get(*id)?)));
    let described: Vec<String> = tasks
        .filter_map(|(id, task)| task_line(ctx, id, task, job))
        .collect();
    let left_out = described.len().saturating_sub(EXPLAINED_TASKS_MAX);
    lines.extend(described.into_iter().take(EXPLAINED_TASKS_MAX));
    if left_out > 0 {
        lines.push(format!("{left_out} more tasks"));
    }
    if let Some(limiting) = ctx
        .state
        .quotas()
        .limiting(&job.spec.team, &job.spec.resources)
        .filter(|_| job.is_active())
    {
        lines.push(format!(
            "the quota of {} has too little {limiting} left for another task",
            job.spec.team
        ));
    }
    lines
}

fn phase_line(id: JobId, job: &Job) -> String {
    let name = &job.spec.name;
    match &job.phase {
        JobPhase::Active => format!("{name} ({id}) is active; it wants {} tasks", job.spec.tasks),
        JobPhase::Cancelled if job.placed > 0 => {
            format!(
                "{name} ({id}) was cancelled; {} tasks are stopping",
                job.placed
            )
        }
        JobPhase::Cancelled => format!("{name} ({id}) was cancelled"),
        JobPhase::Finished => format!("{name} ({id}) finished"),
        JobPhase::Failed { reason } => format!("{name} ({id}) failed: {reason}"),
    }
}

fn task_line(ctx: &Context<'_>, id: TaskId, task: &Task, job: &Job) -> Option<String> {
    let worker = task.worker().and_then(|id| ctx.state.workers().get(id));
    let place = worker.map_or("no worker", |worker| worker.name.as_str());
    let line = match task.phase {
        _ if task.unreachable => format!("{id} is on {place}, which has no contact; it is kept"),
        Phase::Ended { success: false } => match &task.last_failure {
            Some(reason) => format!("{id} failed {} times, last with: {reason}", task.failures),
            None => format!("{id} ended without success"),
        },
        Phase::Ended { success: true } => return None,
        Phase::Waiting if !job.is_active() => return None,
        Phase::Waiting if task.failures > 0 => format!(
            "{id} failed {} times and waits to be retried; the last reason was: {}",
            task.failures,
            task.last_failure.as_deref().unwrap_or("unknown")
        ),
        Phase::Waiting if task.attempt.0 > 0 => {
            format!("{id} waits for room after {}", task.attempt)
        }
        Phase::Waiting => format!("{id} waits for room"),
        Phase::Starting(_) | Phase::Running(_) if task.stop.is_some() || !job.is_active() => {
            format!("{id} is being stopped on {place}: {}", stop_reason(task))
        }
        Phase::Running(_) if worker.is_some_and(|worker| worker.draining) => {
            let allow_interruption = worker.is_some_and(|worker| worker.allow_interruption);
            let why = match move_blocker(job, allow_interruption) {
                Some(blocker) => blocker_reason(blocker, job, place),
                None => {
                    "it moves when another worker has capacity and its other tasks run".to_owned()
                }
            };
            format!("{id} runs on {place}, which is drained: {why}")
        }
        Phase::Starting(_) => format!("{id} starts on {place}"),
        Phase::Running(_) if task.additional => {
            format!("{id} runs on {place} in place of a replica without contact")
        }
        Phase::Running(_) => format!("{id} runs on {place}"),
    };
    Some(line)
}

pub(crate) fn late_line(ctx: &Context<'_>, late: &LateWarning) -> String {
    let late_ms = late.expected_end.since(late.deadline);
    let due_ms = late.deadline.since(ctx.now);
    format!("its deadline is in {due_ms} ms; it will probably end {late_ms} ms after it")
}

fn stop_reason(task: &Task) -> &'static str {
    match task.stop.map(|stop| stop.reason) {
        Some(StopReason::Displaced) => "urgent work needs its room",
        Some(StopReason::Drained) => "its worker is drained",
        Some(StopReason::GangBroken) => "the gang restarts as a whole",
        Some(StopReason::Surplus) => "the service has surplus replicas",
        None => "its job has ended",
    }
}
