//! The replicated state of queues, jobs and workers.
//!
//! Commands are applied in the order of the log and have the same result on every member.

use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::OrdMap;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Placement;
use crate::command::QueueCommand;
use crate::command::RunEnd;
use crate::crash::CrashCount;
use crate::crash::LostRuns;
use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::ids::TaskKey;
use crate::job::Job;
use crate::job::JobPhase;
use crate::job::LateEffect;
use crate::job::Task;
use crate::job::TaskPhase;
use crate::lost_workers::LostWorkers;
use crate::table::ENDED_KEPT_DEFAULT_MS;
use crate::table::QueueTable;
use crate::worker::EndKind;
use crate::worker::HeldRun;
use crate::worker::Worker;

/// Jobs that ended longer ago are dropped when another job ends; until then, callers can ask for
/// their phase.
const ENDED_RETENTION_MS: u64 = 1_800_000;
/// The largest number of ended jobs that are kept for longer than callers are promised. Beyond it the
/// oldest ones are dropped before their retention is over.
const ENDED_JOBS_MAX: usize = 20_000;
/// The largest number of ended jobs in all, which bounds the memory: 500 jobs a second for the time
/// that callers are usually promised.
const ENDED_JOBS_PROMISED_MAX: usize = 60_000;

/// A change that a command made, for the scheduler, log messages and metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueChange {
    /// The queue table was replaced.
    Table,
    /// A job was accepted.
    Accepted(JobKey),
    /// A job ended in this phase.
    Ended(JobKey, JobPhase),
    /// A worker was added or its record changed.
    Worker(Arc<str>),
    /// A worker has started again under its ID.
    WorkerRestarted(Arc<str>),
    /// A worker was removed.
    WorkerRemoved(Arc<str>),
    /// A worker crashed, and these tasks may be the cause.
    WorkerCrashed(Arc<str>, Vec<TaskKey>),
    /// The crash of a worker was counted against a task.
    CrashCounted(TaskKey, CrashCount),
    /// Tasks of a step were placed on workers.
    Started(StepKey, Vec<Placement>),
    /// A run ended and no longer takes resources on a worker; the kind is `None` if the run never
    /// started or if it is unknown how it ended.
    RunEnded(Arc<str>, TaskKey, u32, Option<EndKind>),
    /// A worker has reported the end of a run that it no longer holds: the leader had written the
    /// run off.
    LateEnd(LateEnd),
    /// A task of the step waits again, or tasks of it are done.
    StepChanged(StepKey),
}

/// An end that was learnt after its run was written off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LateEnd {
    /// The ID of the worker that reported it.
    pub worker: Arc<str>,
    /// The end, with the checkpoint that the worker saved.
    pub end: RunEnd,
    /// The number of the last run of the task; `None` if its job has ended.
    pub last_run: Option<u32>,
    /// What it changes.
    pub effect: LateEffect,
}

/// The replicated queue table, the jobs and the workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueState {
    table: Option<Arc<QueueTable>>,
    pub(crate) jobs: OrdMap<JobKey, Arc<Job>>,
    pub(crate) workers: OrdMap<Arc<str>, Arc<Worker>>,
    /// Ended jobs by the log index of the command that ended them, for the retention.
    ended: OrdMap<u64, Vec<JobKey>>,
    ended_count: usize,
    /// Removed workers that may turn out to have crashed.
    #[serde(skip_serializing_if = "LostWorkers::is_empty")]
    pub(crate) lost_workers: LostWorkers,
}

impl QueueState {
    /// The current queue table, once there is one.
    pub fn table(&self) -> Option<&Arc<QueueTable>> {
        self.table.as_ref()
    }

    /// The job with this key, unless it is unknown or was dropped.
    pub fn job(&self, key: JobKey) -> Option<&Arc<Job>> {
        self.jobs.get(&key)
    }

    /// Counts again how many runs of each job the workers hold. Snapshots of earlier versions lack
    /// these counts.
    pub fn recount_held_runs(&mut self) {
        let mut held: BTreeMap<JobKey, u32> = BTreeMap::new();
        for task in self.workers.values().flat_map(|worker| worker.runs.keys()) {
            *held.entry(task.step.job).or_default() += 1;
        }
        let count = |key: &JobKey| held.get(key).copied().unwrap_or(0);
        let jobs = self.jobs.iter();
        let wrong = jobs.filter(|(key, job)| job.held_runs != count(key));
        let wrong: Vec<JobKey> = wrong.map(|(key, _)| *key).collect();
        for key in wrong {
            if let Some(job) = self.jobs.get_mut(&key) {
                Arc::make_mut(job).held_runs = count(&key);
            }
        }
    }

    /// All known jobs, in the order of their keys.
    pub fn jobs(&self) -> impl Iterator<Item = &Arc<Job>> {
        self.jobs.values()
    }

    /// The worker with this ID, if it is known.
    pub fn worker(&self, id: &str) -> Option<&Arc<Worker>> {
        self.workers.get(id)
    }

    /// All known workers, in the order of their IDs.
    pub fn workers(&self) -> impl Iterator<Item = &Arc<Worker>> {
        self.workers.values()
    }

    /// Applies a command at a log index and time, and adds what it changed to `changes`.
    pub fn apply(
        &mut self,
        index: u64,
        at_unix_ms: u64,
        command: &QueueCommand,
        changes: &mut Vec<QueueChange>,
    ) {
        let mut apply = Apply {
            state: self,
            index,
            at_unix_ms,
            changes,
        };
        match command {
            QueueCommand::PutTable(table) => apply.put_table(table),
            QueueCommand::Submit {
                job,
                queue,
                spec,
                tenant,
            } => {
                if !apply.state.jobs.contains_key(job) {
                    let (queue, spec) = (queue.clone(), spec.clone());
                    let new = Job::new(*job, queue, spec, tenant.clone(), at_unix_ms);
                    apply.state.jobs.insert(*job, Arc::new(new));
                    apply.changes.push(QueueChange::Accepted(*job));
                }
            }
            QueueCommand::Cancel { job } => apply.end_job(*job, JobPhase::Cancelled),
            QueueCommand::PutWorker(record) => apply.put_worker(record),
            QueueCommand::RestartWorker {
                record,
                former,
                checkpoints,
                lost,
            } => apply.restart_worker(record, *former, checkpoints, lost.as_ref()),
            QueueCommand::Start { step, placements } => apply.start(*step, placements),
            _ => apply.change_worker(command),
        }
    }
}

/// The context in which one command is applied.
pub(crate) struct Apply<'a> {
    pub(crate) state: &'a mut QueueState,
    pub(crate) index: u64,
    pub(crate) at_unix_ms: u64,
    pub(crate) changes: &'a mut Vec<QueueChange>,
}

impl Apply<'_> {
    fn put_table(&mut self, table: &QueueTable) {
        let known = self.state.table.as_ref().map(|known| known.version);
        if known.is_some_and(|version| version >= table.version) {
            return;
        }
        self.state.table = Some(Arc::new(table.clone()));
        self.changes.push(QueueChange::Table);
    }

    /// Keeps the checkpoint of a run whose worker has lost it, for the next run of the task.
    pub(crate) fn keep_checkpoint(&mut self, key: TaskKey, run: u32, checkpoint: &Arc<str>) {
        let task = task_mut(&mut self.state.jobs, key);
        if let Some(task) = task.filter(|task| task.run == run) {
            task.checkpoint = Some(checkpoint.clone());
        }
    }

    fn start(&mut self, step: StepKey, placements: &[Placement]) {
        let Some(job) = self.state.jobs.get_mut(&step.job) else {
            return;
        };
        if job.phase.has_ended() {
            return;
        }
        let can_start = |placement: &Placement| {
            let tasks = &job.steps[usize::from(step.step)].tasks;
            let task = &tasks[placement.index as usize];
            let worker = self.state.workers.get(&placement.worker);
            let is_known =
                worker.is_some_and(|known| known.record.incarnation == placement.incarnation);
            task.phase == TaskPhase::Waiting && placement.run > task.run && is_known
        };
        let is_gang = job.spec.steps[usize::from(step.step)].is_gang;
        if is_gang && !placements.iter().all(can_start) {
            return;
        }
        let startable: Vec<Placement> = placements
            .iter()
            .filter(|p| can_start(p))
            .cloned()
            .collect();
        if startable.is_empty() {
            return;
        }
        let resources = job.spec.steps[usize::from(step.step)].resources;
        let job = Arc::make_mut(job);
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Active;
        }
        for placement in &startable {
            let tasks = &mut job.steps[usize::from(step.step)].tasks;
            let task = &mut tasks[placement.index as usize];
            task.phase = TaskPhase::Placed;
            task.run = placement.run;
            if let Some(worker) = self.state.workers.get_mut(&placement.worker) {
                let worker = Arc::make_mut(worker);
                // A leader starts tasks only on a worker that it has heard from.
                worker.expired = LostRuns::default();
                let task = step.task(placement.index);
                let run = placement.run;
                let replaced = worker.runs.insert(task, HeldRun { run, resources });
                job.held_runs += u32::from(replaced.is_none());
            }
        }
        self.changes.push(QueueChange::Started(step, startable));
    }

    pub(crate) fn end(&mut self, id: &Arc<str>, upto: u64, ends: &[RunEnd]) {
        let Some(worker) = self.state.workers.get_mut(id) else {
            return;
        };
        let worker = Arc::make_mut(worker);
        worker.applied_ends = worker.applied_ends.max(upto);
        // A worker that reports the ends of its runs has not crashed.
        worker.expired = LostRuns::default();
        for end in ends {
            let Some(worker) = self.state.workers.get_mut(id) else {
                return;
            };
            if worker.runs.get(&end.task).map(|held| held.run) != Some(end.run) {
                self.end_late(id, end);
                continue;
            }
            Arc::make_mut(worker).runs.remove(&end.task);
            let ended_run = QueueChange::RunEnded(id.clone(), end.task, end.run, Some(end.kind));
            self.changes.push(ended_run);
            self.finish_run(end.task, end.run, Some(end.kind), end.checkpoint.as_ref());
        }
    }

    /// Handles an end of a run that the worker no longer holds. What that run has done or saved is
    /// of use if the task is not done yet.
    fn end_late(&mut self, id: &Arc<str>, end: &RunEnd) {
        let job = self.state.jobs.get(&end.task.step.job);
        let job = job.filter(|job| !job.phase.has_ended());
        let task = job.and_then(|job| job.task(end.task));
        let late = LateEnd {
            worker: id.clone(),
            end: end.clone(),
            last_run: task.map(|task| task.run),
            effect: job.map_or(LateEffect::None, |job| job.late_effect(id, end)),
        };
        let effect = late.effect;
        self.changes.push(QueueChange::LateEnd(late));
        let Some(job) = self.state.jobs.get_mut(&end.task.step.job) else {
            return;
        };
        let step = usize::from(end.task.step.step);
        match effect {
            LateEffect::None => {}
            LateEffect::Checkpoint => {
                let tasks = &mut Arc::make_mut(job).steps[step].tasks;
                tasks[end.task.index as usize].checkpoint = end.checkpoint.clone();
            }
            LateEffect::Done => {
                let members = job.done_with(end.task);
                Arc::make_mut(job).steps[step].finish(members, end.run);
                self.job_advanced(end.task.step, false);
            }
        }
    }

    pub(crate) fn release(&mut self, id: &Arc<str>, task: TaskKey, run: u32) {
        let Some(worker) = self.state.workers.get_mut(id) else {
            return;
        };
        if worker.runs.get(&task).map(|held| held.run) != Some(run) {
            return;
        }
        Arc::make_mut(worker).runs.remove(&task);
        let ended_run = QueueChange::RunEnded(id.clone(), task, run, None);
        self.changes.push(ended_run);
        self.finish_run(task, run, None, None);
    }

    /// Updates the task of a run that its worker no longer holds, and ends the job if it is complete
    /// or has failed too often.
    pub(crate) fn finish_run(
        &mut self,
        key: TaskKey,
        run: u32,
        kind: Option<EndKind>,
        checkpoint: Option<&Arc<str>>,
    ) {
        let Some(job) = self.state.jobs.get_mut(&key.step.job) else {
            return;
        };
        let job = Arc::make_mut(job);
        // Snapshots of earlier versions have no count.
        job.held_runs = job.held_runs.saturating_sub(1);
        if job.phase.has_ended() {
            return self.drop_if_unused(key.step.job);
        }
        // A state of an earlier version may hold runs of a job that had the same ID.
        if job.task(key).is_none() {
            return;
        }
        let done = job.done_with(key);
        let is_gang = job.spec.steps[usize::from(key.step.step)].is_gang;
        let is_service = job.spec.steps[usize::from(key.step.step)].is_service;
        let attempts_max = job.queue.attempts_max;
        let step = &mut job.steps[usize::from(key.step.step)];
        let task = &mut step.tasks[key.index as usize];
        if task.run != run || task.phase != TaskPhase::Placed {
            return;
        }
        task.phase = TaskPhase::Waiting;
        if let Some(checkpoint) = checkpoint {
            task.checkpoint = Some(checkpoint.clone());
        }
        let mut has_failed = false;
        match kind {
            Some(EndKind::Done) if !is_service => {
                for index in done {
                    let task = &mut step.tasks[index];
                    if task.run == run && task.phase != TaskPhase::Done {
                        task.phase = TaskPhase::Done;
                        step.left -= 1;
                    }
                }
            }
            Some(EndKind::Failed) if !is_service => {
                // The members of a gang share a run number, and a failed run counts as one failure.
                let is_counted = is_gang && step.failed_run == run;
                if !is_counted {
                    step.failed_run = run;
                    let failures = &mut step.tasks[if is_gang { 0 } else { key.index as usize }];
                    failures.failures += 1;
                    has_failed = failures.failures >= attempts_max;
                }
            }
            _ => {}
        }
        self.job_advanced(key.step, has_failed);
    }

    /// Ends the job of a changed step if it has failed too often or is complete.
    fn job_advanced(&mut self, step: StepKey, has_failed: bool) {
        let job = self.state.jobs.get(&step.job);
        let is_complete = job.is_some_and(|job| job.steps.iter().all(|step| step.left == 0));
        if has_failed {
            self.end_job(step.job, JobPhase::Failed);
        } else if is_complete {
            self.end_job(step.job, JobPhase::Completed);
        } else {
            self.changes.push(QueueChange::StepChanged(step));
        }
    }

    pub(crate) fn end_job(&mut self, key: JobKey, phase: JobPhase) {
        let Some(job) = self.state.jobs.get_mut(&key) else {
            return;
        };
        if job.phase.has_ended() {
            return;
        }
        let job = Arc::make_mut(job);
        job.end(phase, self.at_unix_ms);
        self.changes.push(QueueChange::Ended(key, phase));
        let ended = &mut self.state.ended;
        ended.entry(self.index).or_default().push(key);
        self.state.ended_count += 1;
        self.drop_old_jobs();
    }

    fn drop_old_jobs(&mut self) {
        let table = self.state.table.as_ref();
        let kept_ms = table.map_or(ENDED_KEPT_DEFAULT_MS, |table| table.ended_kept_ms);
        while let Some((index, keys)) = self.state.ended.get_min().cloned() {
            let oldest = keys.first().and_then(|key| self.state.jobs.get(key));
            let ended_unix_ms = oldest.and_then(|job| job.ended_unix_ms).unwrap_or(0);
            let age_ms = self.at_unix_ms.saturating_sub(ended_unix_ms);
            let is_promised = age_ms <= kept_ms;
            let jobs_max = match is_promised {
                true => ENDED_JOBS_PROMISED_MAX,
                false => ENDED_JOBS_MAX,
            };
            if age_ms <= ENDED_RETENTION_MS && self.state.ended_count <= jobs_max {
                return;
            }
            self.state.ended.remove(&index);
            self.state.ended_count -= keys.len();
            for key in keys {
                if let Some(job) = self.state.jobs.get_mut(&key) {
                    Arc::make_mut(job).is_past_retention = true;
                }
                self.drop_if_unused(key);
            }
        }
    }

    /// Drops a job whose retention is over, unless a worker still holds runs of it: its ID may be
    /// used again, and the ends of these runs would count for the other job.
    fn drop_if_unused(&mut self, key: JobKey) {
        let job = self.state.jobs.get(&key);
        if job.is_some_and(|job| job.is_past_retention && job.held_runs == 0) {
            self.state.jobs.remove(&key);
        }
    }
}

/// A task that is not done, of a job that has not ended.
pub(crate) fn task_mut(jobs: &mut OrdMap<JobKey, Arc<Job>>, key: TaskKey) -> Option<&mut Task> {
    let job = jobs.get_mut(&key.step.job)?;
    if job.phase.has_ended() {
        return None;
    }
    let steps = &mut Arc::make_mut(job).steps;
    // The key may belong to an earlier job whose ID was used again.
    let step = steps.get_mut(usize::from(key.step.step))?;
    let task = step.tasks.get_mut(key.index as usize)?;
    (task.phase != TaskPhase::Done).then_some(task)
}
