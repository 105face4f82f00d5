//! Runs of ended jobs that still take resources on workers, for the log and the metrics.

use std::cmp::Reverse;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::ids::JobKey;
use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::workers::RunStage;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerView;

/// A run is reported after its job has been over for this long: several times what a stop takes on
/// a worker that answers.
const REPORT_AFTER_MS: u64 = 2_000;
/// The largest number of runs in one report.
const REPORTED_MAX: usize = 8;

/// The runs that a new leader has taken over on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptedRuns {
    /// The ID of the worker.
    pub worker: Arc<str>,
    /// The number of runs.
    pub runs: usize,
    /// How many of them belong to jobs that have ended or were dropped.
    pub of_ended_jobs: usize,
}

/// A run whose job has ended or was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedJobRun {
    /// The task of the run.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// The ID of the worker that holds it.
    pub worker: Arc<str>,
    /// How long this leader has known that the job is over.
    pub held_ms: u64,
    /// What the leader takes the run for.
    pub stage: RunStage,
    /// Whether an earlier leader started it.
    pub is_adopted: bool,
    /// Whether the worker answers.
    pub is_reachable: bool,
}

/// The runs of ended jobs that take resources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedJobRuns {
    /// The number of these runs.
    pub count: usize,
    /// Those that have taken them for long, beginning with the longest time.
    pub longest: Vec<EndedJobRun>,
}

/// Since when this leader has known the runs of ended jobs.
#[derive(Debug, Default)]
pub struct EndedRunTracker {
    since: FxHashMap<(TaskKey, u32), Millis>,
}

impl Scheduler {
    /// Whether the job is accepted or about to be committed, and has not ended.
    pub(crate) fn is_live(&self, job: JobKey) -> bool {
        self.job_steps.contains_key(&job)
    }

    /// The runs that this leader has taken over and still tracks, for each worker that has some;
    /// workers with the most runs of ended jobs come first.
    pub fn adopted_runs(&self) -> Vec<AdoptedRuns> {
        let workers = self.workers.iter().map(|(_, worker)| worker);
        let mut adopted: Vec<AdoptedRuns> = workers
            .map(|worker| self.adopted_on(worker))
            .filter(|adopted| adopted.runs > 0)
            .collect();
        adopted.sort_by_key(|adopted| Reverse(adopted.of_ended_jobs));
        adopted
    }

    fn adopted_on(&self, worker: &WorkerView) -> AdoptedRuns {
        let adopted = || worker.runs.iter().filter(|(_, run)| run.is_adopted);
        let ended = adopted().filter(|(task, _)| !self.is_live(task.step.job));
        AdoptedRuns {
            worker: worker.record.id.clone(),
            runs: adopted().count(),
            of_ended_jobs: ended.count(),
        }
    }

    /// The runs of ended jobs that take resources now. Call it about once a second.
    pub fn find_ended_job_runs(&mut self, now: Millis) -> EndedJobRuns {
        let mut tracker = std::mem::take(&mut self.ended_runs);
        let mut since = FxHashMap::default();
        let mut longest = Vec::new();
        for (_, worker) in self.workers.iter() {
            for (task, run) in self.ended_runs_on(worker) {
                let key = (*task, run.run);
                let known_since = tracker.since.remove(&key).unwrap_or(now);
                since.insert(key, known_since);
                let held_ms = now.since(known_since);
                if held_ms >= REPORT_AFTER_MS {
                    longest.push(ended_run(worker, *task, run, held_ms));
                }
            }
        }
        longest.sort_by_key(|run| (Reverse(run.held_ms), run.task));
        longest.truncate(REPORTED_MAX);
        let count = since.len();
        self.ended_runs = EndedRunTracker { since };
        EndedJobRuns { count, longest }
    }

    fn ended_runs_on<'a>(
        &'a self,
        worker: &'a WorkerView,
    ) -> impl Iterator<Item = (&'a TaskKey, &'a RunView)> {
        let runs = worker.runs.iter();
        runs.filter(|(task, _)| !self.is_live(task.step.job))
    }
}

fn ended_run(worker: &WorkerView, task: TaskKey, run: &RunView, held_ms: u64) -> EndedJobRun {
    EndedJobRun {
        task,
        run: run.run,
        worker: worker.record.id.clone(),
        held_ms,
        stage: run.stage,
        is_adopted: run.is_adopted,
        is_reachable: worker.lease.is_reachable(),
    }
}
