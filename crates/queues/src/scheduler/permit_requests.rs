//! Which workers a permit request names, and when it is made.
//!
//! The placement policy takes long for each worker that a request names. Requests therefore name
//! few workers; a request for further workers names those with the most free processor capacity.
//! Permits of a dependent step are requested before the step is ready.

use sapphirepost_types::Millis;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::place::Candidate;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::step_permits::PermitNeed;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// A request for further workers names at least this many, if as many are useful and the step's
/// limit has not been lowered by refused or failed requests.
const WORKERS_PER_REQUEST_MIN: usize = 30;
/// The number of workers that a request names for each waiting task.
const WORKERS_PER_TASK: usize = 4;
/// Permits of a dependent step are requested when the steps before it are expected to end within
/// this time.
const PREFETCH_MS: u64 = 1_200;

impl Scheduler {
    /// Requests the permits of a dependent step shortly before it becomes ready.
    pub(crate) fn prefetch_permits(&mut self, view: &mut StepView, now: Millis) {
        if view.queue.permits.is_none() || !view.permits.is_unrequested() {
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
            view.permits.set_need(PermitNeed::More, now);
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
            run.is_some_and(|run| run.expected_end(now) <= now + PREFETCH_MS)
        };
        let is_placed = view.waiting.is_empty() && view.proposed.is_empty();
        is_placed && view.placed.iter().all(ends_soon)
    }

    /// Requests the permits that the waiting tasks of a step lack.
    pub(crate) fn request_permits(
        &mut self,
        view: &mut StepView,
        candidates: &[Candidate],
        now: Millis,
    ) {
        if view.waiting.is_empty() || view.queue.permits.is_none() || view.permits.has_request() {
            return;
        }
        let with_permission = |permission: Permission| {
            candidates
                .iter()
                .filter(move |c| c.permission == permission)
        };
        let needed = view.waiting.len();
        let expired: Vec<WorkerIndex> = with_permission(Permission::Expired)
            .map(|c| c.index)
            .collect();
        let expired_fits: u32 = with_permission(Permission::Expired).map(|c| c.fits).sum();
        if expired_fits as usize >= needed {
            let count = expired.len().min(needed * 2);
            let renewal = PermitNeed::Renewal(expired[..count].to_vec());
            return view.permits.set_need(renewal, now);
        }
        if view.spec().resources.fits_in(&self.rounds.max_free) {
            view.permits.set_need(PermitNeed::More, now);
        }
    }

    /// The workers to name in a request for further workers, those with the most free processor
    /// capacity first. They accept tasks and have free resources for a task of the step, and no
    /// request for them has been answered yet or the permit has expired. For a gang, they need no
    /// free resources, since it may get a reservation, and expired permits are left out, since
    /// `renew_permits` requests those.
    pub(crate) fn workers_for_request(&self, view: &StepView, now: Millis) -> Vec<WorkerIndex> {
        let is_useful = |(index, worker): &(WorkerIndex, &WorkerView)| {
            let has_room = view.spec().resources.fits_in(&worker.free());
            let is_wanted = match self.permission(view, *index, now) {
                Permission::Unknown => has_room || view.spec().is_gang,
                Permission::Expired => has_room && !view.spec().is_gang,
                Permission::Granted | Permission::Denied => false,
            };
            is_wanted && worker.accepts_tasks(now) && view.can_run_on(worker)
        };
        let workers = self.workers.iter().filter(is_useful);
        let mut workers: Vec<(u64, WorkerIndex)> = workers
            .map(|(index, worker)| (u64::MAX - worker.free().millicores, index))
            .collect();
        workers.sort_unstable();
        workers.truncate(self.request_size(view));
        workers.into_iter().map(|(_, index)| index).collect()
    }

    /// The largest number of workers that a request for further workers names.
    pub(crate) fn request_size(&self, view: &StepView) -> usize {
        // The waiting tasks of a step are known only after the commit of its job.
        let tasks = if view.is_committed {
            view.waiting.len()
        } else {
            view.spec().count as usize
        };
        (tasks * WORKERS_PER_TASK)
            .max(WORKERS_PER_REQUEST_MIN)
            .min(view.permits.request_size_max())
    }
}
