//! Isolation of tasks that were on a worker when it crashed.
//!
//! A task that crashes its workers does so soon after its start. If only one job started something
//! shortly before the connections to a worker broke, the crash is attributed to this job. A
//! suspected task therefore starts only where nothing of another job has just started, and the
//! worker is closed to other starts for a while. Only few workers are used for such starts at a
//! time, since each may be lost.

use std::sync::Arc;

use sapphirepost_types::Millis;

use crate::crash::Isolation;
use crate::crash::LostRuns;
use crate::ids::JobKey;
use crate::ids::StepKey;
use crate::job::Job;
use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// A run that started this long before the process of its worker ended, or later, may have ended it.
const SUSPECT_MS: u64 = 200;
/// The tasks of one queue are isolated on at most one of this many workers at a time.
const WORKERS_PER_ISOLATED: usize = 8;
/// The same while half of the capacity is free, so that the loss of workers delays nothing else.
const WORKERS_PER_ISOLATED_IF_FREE: usize = 2;
/// The number of workers on which tasks of one queue may be isolated in a small cluster.
const ISOLATED_WORKERS_MIN: usize = 2;
/// How long a step may take to get permits and a worker for an isolated start before another step
/// has its turn.
const TURN_MS: u64 = 3_000;
/// The pause of a step after a turn without a start; each further one doubles it, so that steps
/// that find no worker leave the turns to others.
const TURN_PAUSE_MIN_MS: u64 = 2_000;
/// The longest pause.
const TURN_PAUSE_MAX_MS: u64 = 32_000;

/// A worker on which only one job may start tasks for some time.
#[derive(Clone, Debug)]
pub struct StartReservation {
    /// The job that may start tasks.
    pub job: JobKey,
    /// The name of the job's queue.
    pub queue: Arc<str>,
    /// Until when the worker is closed to other jobs.
    pub until: Millis,
    /// Whether a task of the job has started since the worker was closed.
    pub has_started: bool,
}

/// A step that is about to use a worker for an isolated start.
#[derive(Clone, Debug)]
struct Turn {
    step: StepKey,
    queue: Arc<str>,
    until: Millis,
    pause_ms: u64,
}

/// The steps that are about to use a worker for an isolated start, or paused after that.
#[derive(Debug, Default)]
pub struct IsolationTurns {
    turns: Vec<Turn>,
}

impl IsolationTurns {
    /// Whether a step has its turn.
    fn has(&self, step: StepKey, now: Millis) -> bool {
        let mut turns = self.turns.iter();
        turns.any(|turn| turn.step == step && now < turn.until)
    }

    /// Whether a step had its turn a short time ago.
    fn is_paused(&self, step: StepKey, now: Millis) -> bool {
        let mut turns = self.turns.iter();
        turns.any(|turn| turn.step == step && now < turn.until + turn.pause_ms)
    }

    /// Gives a step its turn.
    fn begin(&mut self, step: StepKey, queue: Arc<str>, now: Millis) {
        let last = self.turns.iter().position(|turn| turn.step == step);
        let last = last.map(|position| self.turns.swap_remove(position));
        let pause_ms = last.map_or(TURN_PAUSE_MIN_MS, |last| {
            (2 * last.pause_ms).min(TURN_PAUSE_MAX_MS)
        });
        self.turns.push(Turn {
            step,
            queue,
            until: now + TURN_MS,
            pause_ms,
        });
    }

    /// The number of steps of a queue that have their turn.
    fn count(&self, queue: &str, now: Millis) -> usize {
        let turns = self.turns.iter();
        turns
            .filter(|turn| *turn.queue == *queue && now < turn.until)
            .count()
    }

    /// Removes the turns that are over for so long that the step's next pause is a short one again.
    fn remove_old(&mut self, now: Millis) {
        let is_known = |turn: &Turn| now < turn.until + 2 * turn.pause_ms;
        self.turns.retain(is_known);
    }

    /// Ends the turn of a step that has started a task.
    fn end(&mut self, step: StepKey) {
        self.turns.retain(|turn| turn.step != step);
    }
}

impl RunView {
    /// Whether the run may have crashed a worker whose process ended at `end` or later.
    fn is_recent(&self, end: Millis) -> bool {
        let is_unconfirmed = matches!(self.stage, RunStage::StartSent { .. } | RunStage::Unknown);
        // The proposal may be much older than the start, if the commit was slow.
        let started = self
            .unlisted_since
            .map_or(self.confirmed, |sent| sent.max(self.confirmed));
        is_unconfirmed || started + SUSPECT_MS >= end
    }
}

impl WorkerView {
    /// Whether the worker is closed to starts of a job for a short time, before and after an
    /// isolated start of another job.
    pub fn is_closed_to(&self, job: JobKey, now: Millis) -> bool {
        let reserved = self.exclusive.as_ref();
        reserved.is_some_and(|exclusive| exclusive.job != job && now < exclusive.until)
    }

    /// Whether another job has the worker for itself, because of an isolated run of it.
    pub fn is_kept_from(&self, job: JobKey) -> bool {
        self.exclusive_job().is_some_and(|owner| owner != job)
    }

    /// The job that has the worker for itself. A task of another job may have started there after
    /// room had been withheld from it for too long; then no job has.
    fn exclusive_job(&self) -> Option<JobKey> {
        let mut runs = self.runs.iter();
        let isolated = runs.find(|(_, run)| run.isolation == Isolation::ExclusiveWorker);
        let job = isolated.map(|(task, _)| task.step.job)?;
        let is_alone = self.runs.keys().all(|task| task.step.job == job);
        is_alone.then_some(job)
    }

    /// Whether the worker is closed to all jobs but this one.
    pub fn is_reserved_for(&self, job: JobKey, now: Millis) -> bool {
        let reserved = self.exclusive.as_ref();
        reserved.is_some_and(|exclusive| exclusive.job == job && now < exclusive.until)
    }

    /// Whether a task of a job may start there now with this isolation.
    pub fn allows_isolation(
        &self,
        isolation: Isolation,
        job: JobKey,
        exclusive_ms: u64,
        now: Millis,
    ) -> bool {
        match isolation {
            Isolation::None => true,
            Isolation::ExclusiveStart => {
                let is_quiet = now.since(self.last_start) >= exclusive_ms;
                is_quiet || self.has_exclusive_start(job, now)
            }
            Isolation::ExclusiveWorker => self.runs.keys().all(|task| task.step.job == job),
        }
    }

    /// Whether it is closed to all jobs but this one, which has started a task there since.
    fn has_exclusive_start(&self, job: JobKey, now: Millis) -> bool {
        let exclusive = self.exclusive.as_ref();
        self.is_reserved_for(job, now) && exclusive.is_some_and(|exclusive| exclusive.has_started)
    }

    /// Records that a start of a job there is proposed or sent.
    pub fn record_start(&mut self, job: JobKey, exclusive_ms: u64, now: Millis) {
        self.last_start = now;
        if let Some(exclusive) = self.exclusive.as_mut().filter(|e| e.job == job) {
            exclusive.has_started = true;
            exclusive.until = exclusive.until.max(now + exclusive_ms);
        }
    }

    /// The job that is isolated there now: the worker is closed for it, or is silent with a run of
    /// it.
    fn isolated_job(&self, now: Millis) -> Option<&StartReservation> {
        let exclusive = self.exclusive.as_ref()?;
        let runs_job = || self.runs.keys().any(|task| task.step.job == exclusive.job);
        let is_in_use = now < exclusive.until || (!self.lease.is_reachable() && runs_job());
        is_in_use.then_some(exclusive)
    }

    /// The runs that end if the worker has crashed, and the tasks that are suspected to be the
    /// cause. A start that nothing shows to have arrived began no run.
    pub fn lost_runs(&self) -> LostRuns {
        let end = self.loss.earliest_end();
        let exclusive_job = self.exclusive_job();
        let started = self
            .runs
            .iter()
            .filter(|(_, run)| run.stage != RunStage::Proposed);
        let mut lost = LostRuns::default();
        for (task, run) in started {
            let is_recent = end.is_some_and(|end| run.is_recent(end));
            if !run.has_begun && !is_recent {
                continue;
            }
            lost.tasks.push(*task);
            // Beside tasks of another job, the run is as likely to be innocent as they are.
            let is_alone = exclusive_job.is_some();
            let is_isolated = run.isolation == Isolation::ExclusiveWorker && is_alone;
            if is_recent || is_isolated {
                lost.suspects.push(*task);
                lost.is_inconclusive |= run.stage == RunStage::Unknown;
            }
        }
        lost.tasks.sort_unstable();
        lost.suspects.sort_unstable();
        lost
    }
}

impl Scheduler {
    /// A start is exclusive if nothing else starts on the worker for this long before and after it.
    /// The last sign of life may be as old as a poll that the worker held open when it crashes.
    pub(crate) fn exclusive_ms(&self) -> u64 {
        SUSPECT_MS + self.busy_wait_ms()
    }

    /// Whether the step has its turn to use a worker for isolated starts; takes one if few workers
    /// and steps of its queue are concerned.
    pub(crate) fn take_isolation_turn(&mut self, view: &StepView, now: Millis) -> bool {
        self.isolation_turns.remove_old(now);
        if self.isolation_turns.has(view.key, now) {
            return true;
        }
        if self.yields_to_shares(view) {
            return false;
        }
        let is_paused = self.isolation_turns.is_paused(view.key, now);
        let capacity = &self.rounds.capacity;
        let is_half_free = capacity.is_service_half_free(&view.queue.service);
        // While half of the capacity is free, a turn is unlikely to be in vain again.
        if is_paused && !is_half_free {
            return false;
        }
        // Steps that find no worker leave the last place to others.
        let left = usize::from(is_paused);
        if !self.may_isolate(view, is_half_free, left, now) {
            return false;
        }
        let queue = view.queue_name.clone();
        self.isolation_turns.begin(view.key, queue, now);
        true
    }

    /// Whether another worker may be used to isolate tasks of the step, so that `left` more are left
    /// to other steps. Workers that the step's own job holds do not count.
    fn may_isolate(&self, view: &StepView, is_half_free: bool, left: usize, now: Millis) -> bool {
        let turns = self.isolation_turns.count(&view.queue_name, now);
        let isolating = self.workers.iter().filter(|(_, worker)| {
            worker.isolated_job(now).is_some_and(|exclusive| {
                exclusive.queue == view.queue_name && exclusive.job != view.key.job
            })
        });
        let workers_per_isolated = if is_half_free {
            WORKERS_PER_ISOLATED_IF_FREE
        } else {
            WORKERS_PER_ISOLATED
        };
        let limit = (self.workers.len() / workers_per_isolated).max(ISOLATED_WORKERS_MIN);
        isolating.count() + turns + left < limit
    }

    /// Ends the turn of a step whose isolated start is proposed.
    pub(crate) fn end_isolation_turn(&mut self, view: &StepView) {
        self.isolation_turns.end(view.key);
    }

    /// Ends the turn of a step that may start nothing, and opens the workers that are closed for a
    /// start that has not come.
    pub(crate) fn drop_isolation(&mut self, step: StepKey, now: Millis) {
        if !self.isolation_turns.has(step, now) {
            return;
        }
        self.isolation_turns.end(step);
        for index in self.workers.indexes() {
            let worker = self.workers.get(index);
            let is_closed = worker.is_some_and(|worker| {
                worker.is_reserved_for(step.job, now) && !worker.has_exclusive_start(step.job, now)
            });
            if is_closed && let Some(worker) = self.workers.get_mut(index) {
                worker.exclusive = None;
                self.rounds.note_freed(index);
            }
        }
    }

    /// Whether the tasks of a step wait only for a worker on which they can be isolated. Further
    /// permits would not help them, and their requests would delay those of other steps.
    pub(crate) fn waits_for_isolation(
        &self,
        job: &Job,
        view: &StepView,
        candidates: &[Candidate],
        now: Millis,
    ) -> bool {
        let mut waiting = view.waiting.iter();
        let are_isolated =
            waiting.all(|task| task_isolation(job, view.key, *task) != Isolation::None);
        let has_permit = || {
            let mut candidates = candidates.iter();
            candidates.any(|candidate| candidate.permission == Permission::Granted)
        };
        are_isolated && (has_permit() || !self.isolation_turns.has(view.key, now))
    }

    /// How a task or a gang of a step is isolated now. If no worker is left to it alone for too long,
    /// it starts beside tasks of other jobs, and is a suspect only of a crash soon after that.
    pub(crate) fn isolation_now(&self, view: &StepView, isolation: Isolation) -> Isolation {
        if self.takes_withheld_room(view) {
            isolation.min(Isolation::ExclusiveStart)
        } else {
            isolation
        }
    }

    /// Closes a worker to the starts of other jobs, before and after an isolated start.
    pub(crate) fn close_for(&mut self, view: &StepView, index: WorkerIndex, now: Millis) {
        let exclusive_ms = self.exclusive_ms();
        if let Some(worker) = self.workers.get_mut(index) {
            let has_started = worker.has_exclusive_start(view.key.job, now);
            worker.exclusive = Some(StartReservation {
                job: view.key.job,
                queue: view.queue_name.clone(),
                until: now + exclusive_ms,
                has_started,
            });
        }
    }
}

/// How a task of a step has to be isolated.
pub(crate) fn task_isolation(job: &Job, step: StepKey, index: u32) -> Isolation {
    let tasks = job
        .steps
        .get(usize::from(step.step))
        .map(|step| &step.tasks);
    let task = tasks.and_then(|tasks| tasks.get(index as usize));
    task.map_or(Isolation::None, |task| task.crashes.isolation())
}

/// How a gang has to be isolated: as its most suspicious member.
pub(crate) fn gang_isolation(job: &Job, step: StepKey) -> Isolation {
    let tasks = job
        .steps
        .get(usize::from(step.step))
        .map(|step| &step.tasks);
    let tasks = tasks.into_iter().flatten();
    let isolations = tasks.map(|task| task.crashes.isolation());
    isolations.max().unwrap_or_default()
}
