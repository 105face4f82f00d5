//! The log lines of the leader about jobs, steps and runs.
//!
//! Lines about single runs have a log target of their own, since they are by far the most frequent
//! and have a rate limit of their own. The few about runs of ended jobs have another one, so that
//! no others crowd them out.

use std::fmt::Write;

use sapphirepost_consensus::Index;
use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::Placement;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::RunEnd;
use sapphirepost_queues::Scheduler;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::AdoptedRuns;
use sapphirepost_queues::scheduler::EndedJobRun;
use sapphirepost_queues::scheduler::QuarantineChange;
use sapphirepost_queues::scheduler::WaitingStep;
use sapphirepost_queues::scheduler::WrittenOffRun;
use sapphirepost_queues::state::LateEnd;
use sapphirepost_queues::state::QueueChange;

/// The log target of lines about single runs.
const RUNS_TARGET: &str = "sapphirepost_control::runs";
/// The log target of lines about runs of ended jobs, runs taken over and ends that came late.
const ENDED_RUNS_TARGET: &str = "sapphirepost_control::ended_runs";

/// The most tasks that the line of a crashed worker names.
const SUSPECTS_LOGGED_MAX: usize = 8;

/// The largest number of workers with adopted runs of ended jobs that get a line each.
const ADOPTED_WORKERS_MAX: usize = 16;

/// Logs the runs that a new leader has taken over, and the workers on which most of them belong to
/// ended jobs.
pub(crate) fn log_adopted(adopted: &[AdoptedRuns]) {
    let runs: usize = adopted.iter().map(|worker| worker.runs).sum();
    let of_ended_jobs: usize = adopted.iter().map(|worker| worker.of_ended_jobs).sum();
    log::info!(
        target: ENDED_RUNS_TARGET,
        workers = adopted.len(), runs, of_ended_jobs; "runs taken over"
    );
    let with_ended = adopted.iter().filter(|worker| worker.of_ended_jobs > 0);
    for on_worker in with_ended.take(ADOPTED_WORKERS_MAX) {
        log::info!(
            target: ENDED_RUNS_TARGET,
            worker = &*on_worker.worker, runs = on_worker.runs,
            of_ended_jobs = on_worker.of_ended_jobs; "runs of ended jobs taken over"
        );
    }
}

/// Logs a run that goes on although its job has ended.
pub(crate) fn log_ended_job_run(run: &EndedJobRun) {
    log::info!(
        target: ENDED_RUNS_TARGET,
        task:% = run.task, run = run.run, worker = &*run.worker, held_ms = run.held_ms,
        stage:? = run.stage, is_adopted = run.is_adopted, is_reachable = run.is_reachable;
        "run of an ended job not over"
    );
}

/// Logs a job that is about to be committed, with its size.
pub(crate) fn log_proposed(job: JobKey, queue: &Queue, spec: &SubmittedSpec) {
    let widest = spec.steps.iter().map(|step| step.count).max();
    let critical_path_ms = spec.critical_path_ms(&spec.estimates_ms());
    log::info!(
        job:%, queue = &*queue.name, steps = spec.steps.len(), widest_step = widest.unwrap_or(0),
        core_ms = spec.core_ms(), deadline_ms = queue.deadline_ms(critical_path_ms); "job proposed"
    );
}

/// Logs a step that makes no progress, and why.
pub(crate) fn log_waiting(waiting: &WaitingStep) {
    log::info!(
        step:% = waiting.step, tasks = waiting.tasks, waits_ms = waiting.waits_ms,
        reason:? = waiting.reason, lateness:? = waiting.lateness,
        is_over_share = waiting.is_over_share, steps_ahead = waiting.steps_ahead, is_asking = waiting.is_asking,
        request_due_ms:? = waiting.request_due_ms, reserved_in_ms:? = waiting.reserved_in_ms,
        workers_with_room = waiting.workers_with_room,
        tasks_that_fit = waiting.tasks_that_fit,
        tasks_that_fit_if_empty = waiting.tasks_that_fit_if_empty; "step waits"
    );
}

/// Logs that a queue is quarantined or released, with the evidence.
pub(crate) fn log_quarantine(change: &QuarantineChange) {
    let event = if change.is_quarantined {
        "queue quarantined: its tasks crash workers"
    } else {
        "queue released from quarantine"
    };
    log::warn!(
        queue = &*change.queue, suspect_events = change.suspect_events, events = change.events,
        workers = change.workers; "{event}"
    );
}

/// Logs an applied change. Jobs and steps get a line each, and so does the end of each run.
pub(crate) fn log_change(
    change: &QueueChange,
    index: Index,
    scheduler: &Scheduler,
    state: &QueueState,
) {
    match change {
        QueueChange::Table => log::info!(index; "table in force"),
        QueueChange::Accepted(job) => log::info!(job:%, index; "job accepted"),
        QueueChange::Ended(job, phase) => log_ended(*job, *phase, index, state),
        QueueChange::Worker(worker) => log::info!(worker = &**worker, index; "worker known"),
        QueueChange::WorkerRestarted(worker) => {
            let incarnation = scheduler.incarnation(worker).unwrap_or_default();
            log::info!(worker = &**worker, incarnation:%, index; "worker restarted");
        }
        QueueChange::WorkerRemoved(worker) => log::info!(worker = &**worker, index; "worker gone"),
        QueueChange::WorkerCrashed(worker, suspects) => log_crash(worker, suspects, index),
        QueueChange::CrashCounted(task, crashes) => {
            let is_given_up = crashes.is_given_up();
            log::info!(
                target: RUNS_TARGET,
                task:%, crashes = crashes.workers, suspected = crashes.suspected,
                attributed = crashes.attributed, silent = crashes.silent, is_given_up,
                index; "crash counted"
            );
        }
        QueueChange::Started(step, placements) => {
            log_placed(*step, placements, index, scheduler.last_wait_ms(*step));
        }
        QueueChange::RunEnded(worker, task, run, kind) => {
            log::info!(
                target: RUNS_TARGET,
                task:%, run, worker = &**worker, end:? = kind, index; "run over"
            );
        }
        QueueChange::LateEnd(late) => log_late_end(late, index),
        QueueChange::StepChanged(_) => {}
    }
}

/// Logs an end of a run that was written off before.
fn log_late_end(late: &LateEnd, index: Index) {
    let RunEnd {
        task,
        run,
        kind,
        checkpoint,
    } = &late.end;
    log::info!(
        target: ENDED_RUNS_TARGET,
        task:%, run, worker = &*late.worker, end:? = kind, last_run:? = late.last_run,
        effect:? = late.effect,
        checkpoint = checkpoint.as_deref().unwrap_or_default(), index; "late end"
    );
}

/// Logs a run that was written off although it may have been at work, with what the leader had last
/// seen of it.
pub(crate) fn log_written_off_run(run: &WrittenOffRun) {
    log::info!(
        target: RUNS_TARGET,
        task:% = run.task, run = run.run, worker = &*run.worker,
        checkpoint = run.checkpoint.as_deref().unwrap_or_default(),
        checkpoint_age_ms:? = run.checkpoint_age_ms, progress_percent = run.progress_percent,
        progress_age_ms = run.progress_age_ms; "run written off"
    );
}

fn log_ended(job: JobKey, phase: JobPhase, index: Index, state: &QueueState) {
    let ended = state.job(job);
    let took_ms =
        ended.and_then(|job| Some(job.ended_unix_ms?.saturating_sub(job.accepted_unix_ms)));
    log::info!(job:%, phase:?, took_ms:?, index; "job ended");
}

/// Logs a crashed worker, with the first tasks that may be the cause.
fn log_crash(worker: &str, suspects: &[TaskKey], index: Index) {
    let named = suspects.iter().take(SUSPECTS_LOGGED_MAX);
    let tasks = named.map(TaskKey::to_string).collect::<Vec<_>>().join(",");
    log::info!(worker, suspects = suspects.len(), tasks, index; "worker crashed");
}

fn log_placed(step: StepKey, placements: &[Placement], index: Index, wait_ms: u64) {
    let mut runs = String::with_capacity(24 * placements.len());
    for placement in placements {
        let separator = if runs.is_empty() { "" } else { "," };
        let Placement {
            index, run, worker, ..
        } = placement;
        let _ = write!(runs, "{separator}{index}:{run}@{worker}");
    }
    log::info!(step:%, tasks = placements.len(), wait_ms, runs, index; "tasks placed");
}
