//! The scheduling pass: considers waiting jobs in queue order within a budget.

use sapphirepost_types::Millis;

use crate::decision::Decisions;
use crate::job::Stopping;
use crate::job::TaskState;
use crate::placer::Placer;
use crate::queue::QueueKey;

/// The number of queue entries that a pass visits at most for each unit of its budget. A job that
/// needs no search, because no worker gained free capacity since the last one, uses no budget but
/// still takes time.
const VISITS_PER_BUDGET: usize = 4;

/// The lower bound of the limit on visited queue entries.
const MIN_VISITS: usize = 64;

/// The result of a pass over a part of the queue.
struct Pass {
    /// The part of the budget that was used.
    used: usize,
    /// The last entry that was visited, if the pass ended before the queue did.
    stopped_at: Option<QueueKey>,
}

impl Placer {
    /// Runs one scheduling pass and returns its decisions.
    ///
    /// `budget` bounds the number of tasks that the pass tries to place. A gang counts once for
    /// each of its tasks but is never split, so a pass with gangs may exceed the budget.
    pub fn decide(&mut self, now: Millis, budget: usize) -> Decisions {
        self.advance(now);
        self.rotate();
        let mut out = std::mem::take(&mut self.pending);
        out.stops.retain(|stop| self.is_stopping(stop.task));
        self.requeue_delayed();
        self.run_housekeeping(&mut out);
        self.recheck_infeasible(&mut out);
        self.maintain_reservations();
        self.process_queue(budget.max(1), &mut out);
        out
    }

    /// Whether a task is still bound and asked to stop. A stop that was decided between two passes
    /// may be obsolete by now.
    fn is_stopping(&self, task: sapphirepost_types::TaskId) -> bool {
        let state = self.tasks.get(&task).map(|task| task.state);
        matches!(state, Some(TaskState::Bound { stopping, .. }) if stopping != Stopping::No)
    }

    /// Queues infeasible jobs that became feasible through a change of workers or quotas.
    fn recheck_infeasible(&mut self, out: &mut Decisions) {
        if self.infeasible_checked_generation == self.workers.feasibility_generation {
            return;
        }
        self.infeasible_checked_generation = self.workers.feasibility_generation;
        let mut infeasible: Vec<_> = self.infeasible_jobs.iter().copied().collect();
        infeasible.sort_unstable();
        for job in infeasible {
            if self.check_feasible(job, &mut out.infeasible_jobs) {
                self.enqueue(job);
            }
        }
    }

    /// Spends the budget from the head of the queue on. If an earlier pass did not reach the end
    /// of the queue, half of the budget continues from where that pass stopped.
    fn process_queue(&mut self, budget: usize, out: &mut Decisions) {
        let cursor = self.queue.cursor();
        let head_budget = match cursor {
            Some(_) => budget.div_ceil(2),
            None => budget,
        };
        let head = self.process_from(None, head_budget, out);
        let Some(stopped_at) = head.stopped_at else {
            self.queue.set_cursor(None);
            return;
        };
        out.more = true;
        let Some(cursor) = cursor.map(|cursor| cursor.max(stopped_at)) else {
            self.queue.set_cursor(Some(stopped_at));
            return;
        };
        let rest = budget.saturating_sub(head.used).max(1);
        let tail = self.process_from(Some(cursor), rest, out);
        self.queue.set_cursor(tail.stopped_at);
        out.more = tail.stopped_at.is_some() || !out.placements.is_empty();
    }

    fn process_from(
        &mut self,
        after: Option<QueueKey>,
        budget: usize,
        out: &mut Decisions,
    ) -> Pass {
        let visits = (budget * VISITS_PER_BUDGET).max(MIN_VISITS);
        let mut page = std::mem::take(&mut self.page_buffer);
        self.queue.page(after, visits, &mut page);
        let mut used = 0;
        let mut stopped_at = match page.len() < visits {
            true => None,
            false => page.last().copied(),
        };
        for key in &page {
            used += self.process_entry(key, budget - used, out);
            if used >= budget {
                stopped_at = Some(*key);
                break;
            }
        }
        self.page_buffer = page;
        Pass { used, stopped_at }
    }

    /// Tries to place the job of one queue entry and returns how much of the budget was used.
    /// Removes the entry if the job is gone, has no waiting tasks or is infeasible.
    fn process_entry(&mut self, key: &QueueKey, budget: usize, out: &mut Decisions) -> usize {
        let current = self
            .jobs
            .get(&key.job)
            .map(|job| (job.queue_key, job.waiting.is_empty()));
        let Some((Some(current), false)) = current else {
            self.queue.remove(key);
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.queue_key = None;
            }
            return 0;
        };
        if current != *key {
            return 0;
        }
        if !self.check_feasible(key.job, &mut out.infeasible_jobs) {
            self.queue.remove(key);
            if let Some(job) = self.jobs.get_mut(&key.job) {
                job.queue_key = None;
            }
            return 0;
        }
        let used = self.place_job(key.job, budget, out);
        let emptied = self
            .jobs
            .get_mut(&key.job)
            .filter(|job| job.waiting.is_empty());
        if let Some(job) = emptied
            && let Some(key) = job.queue_key.take()
        {
            self.queue.remove(&key);
        }
        used
    }
}
