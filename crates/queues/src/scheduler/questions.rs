//! What is asked of the placement policy, and when.
//!
//! Answers the load pattern in which the policy takes long for each worker named: few workers are
//! asked about, first those with room, and a dependent step is asked for before its turn.

use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::step_permits::Wanted;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// Workers that a question names at least, as far as there are any.
const WORKERS_PER_QUESTION_MIN: usize = 30;
/// Workers that a question names for each task that waits.
const WORKERS_PER_TASK: usize = 4;
/// A dependent step is asked for when the steps before it are expected to end within this time.
const ASK_AHEAD_MS: u64 = 1_200;

impl Scheduler {
    /// Asks for the permits of a step that depends on others shortly before its turn.
    pub(crate) fn ask_ahead(&mut self, view: &mut StepView, now: Millis) {
        if view.queue.permits.is_none() || !view.permits.is_unasked() {
            return;
        }
        let is_soon = view.spec().after.iter().all(|&after| {
            let key = StepKey {
                job: view.key.job,
                step: after,
            };
            self.ends_soon(key, now)
        });
        if is_soon {
            view.permits.want(Wanted::More, now);
        }
    }

    fn ends_soon(&self, key: StepKey, now: Millis) -> bool {
        let Some(view) = self.steps.get(&key) else {
            return true;
        };
        let ends_soon = |(task, (_, worker)): (&u32, &(u32, WorkerIndex))| {
            let run = self
                .workers
                .get(*worker)
                .and_then(|w| w.runs.get(&key.task(*task)));
            run.is_some_and(|run| run.expected_end(now) <= now + ASK_AHEAD_MS)
        };
        let is_placed = view.waiting.is_empty() && view.proposed.is_empty();
        is_placed && view.placed.iter().all(ends_soon)
    }

    /// Asks for what keeps the waiting tasks from a start.
    pub(crate) fn want_permits(
        &mut self,
        view: &mut StepView,
        candidates: &[Candidate],
        now: Millis,
    ) {
        if view.waiting.is_empty() || view.queue.permits.is_none() || view.permits.is_asking() {
            return;
        }
        let of = |permission: Permission| {
            candidates
                .iter()
                .filter(move |c| c.permission == permission)
        };
        let needed = view.waiting.len();
        let expired: Vec<WorkerIndex> = of(Permission::Expired).map(|c| c.index).collect();
        let expired_fits: u32 = of(Permission::Expired).map(|c| c.fits).sum();
        if expired_fits as usize >= needed {
            let most = expired.len().min(needed * 2);
            let renewal = Wanted::Renewal(expired[..most].to_vec());
            return view.permits.want(renewal, now);
        }
        if view.spec().resources.fits_in(&self.rounds.most_free) {
            view.permits.want(Wanted::More, now);
        }
    }

    /// The workers to ask about: those that may run the step and were not asked about or need a
    /// fresh permit, first the ones with the most room.
    pub(crate) fn question(&self, view: &StepView, now: Millis) -> Vec<WorkerIndex> {
        let is_useful = |(index, worker): &(WorkerIndex, &WorkerView)| {
            let has_room = view.spec().resources.fits_in(&worker.free());
            let is_wanted = match self.permission(view, *index, now) {
                Permission::Unknown => has_room || view.spec().is_gang,
                Permission::Expired => has_room && !view.spec().is_gang,
                Permission::Granted | Permission::Denied => false,
            };
            is_wanted && worker.is_open(now) && view.suits(worker)
        };
        let workers = self.workers.iter().filter(is_useful);
        let mut workers: Vec<(u64, WorkerIndex)> = workers
            .map(|(index, worker)| (u64::MAX - worker.free().millicores, index))
            .collect();
        workers.sort_unstable();
        workers.truncate(self.question_size(view));
        workers.into_iter().map(|(_, index)| index).collect()
    }

    /// How many workers a question about a step names at most.
    pub(crate) fn question_size(&self, view: &StepView) -> usize {
        // The tasks of a step are known to wait only after the commit of their job.
        let tasks = if view.is_committed {
            view.waiting.len()
        } else {
            view.spec().count as usize
        };
        (tasks * WORKERS_PER_TASK)
            .max(WORKERS_PER_QUESTION_MIN)
            .min(view.permits.question_max())
    }
}
