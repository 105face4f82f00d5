//! Gangs: all tasks are placed in the same pass, or none is.

use sapphirepost_types::TaskId;

use crate::decision::Decisions;
use crate::decision::Placement;
use crate::job::WaitReason;
use crate::placer::Placer;
use crate::policy::JobSnapshot;
use crate::search::Request;
use crate::search::SearchResult;

impl Placer {
    /// Places all tasks of a gang or none. Returns the budget that was used: one for each task that
    /// was tried.
    pub(crate) fn place_gang(&mut self, job: &JobSnapshot, out: &mut Decisions) -> usize {
        let Some(waiting) = self.jobs.get(&job.id).map(|job| &job.waiting) else {
            return 0;
        };
        let tasks: Vec<TaskId> = waiting.iter().copied().collect();
        let count = tasks.len() as u32;
        if self.is_over_quota(job, count) {
            return 0;
        }
        let whole = job.need.checked_mul(count).unwrap_or(job.need);
        if let Some(kind) = whole.limiting(&self.workers.total_free) {
            self.record_unplaced(job, WaitReason::GangShortage(kind));
            return 0;
        }
        let free_generation = self.workers.free_generation;
        let first = out.placements.len();
        for &task in &tasks {
            match self.find_for_gang(job) {
                SearchResult::Worker(slot) => self.place_tentatively(job, task, slot, out),
                found => {
                    let fit = (out.placements.len() - first) as u32;
                    self.roll_back(&out.placements[first..]);
                    out.placements.truncate(first);
                    // The rollback only restores the previous free capacity, so earlier failed
                    // searches remain valid.
                    self.workers.free_generation = free_generation;
                    let reason = match found {
                        SearchResult::Reserved(holder) => WaitReason::Reserved { holder },
                        _ => WaitReason::GangPartialFit { fit },
                    };
                    self.record_unplaced(job, reason);
                    return fit as usize + 1;
                }
            }
        }
        self.finish_gang(job, &out.placements[first..]);
        tasks.len()
    }

    fn find_for_gang(&mut self, job: &JobSnapshot) -> SearchResult {
        self.find(&Request {
            need: job.need,
            pessimistic_end: job.pessimistic_end,
            avoid: &[],
            job: job.id,
            respect_reservation: true,
        })
    }

    fn place_tentatively(
        &mut self,
        job: &JobSnapshot,
        task: TaskId,
        slot: usize,
        out: &mut Decisions,
    ) {
        let Some(worker) = self.workers.get(slot).map(|worker| worker.id) else {
            return;
        };
        self.start_task(task, worker);
        out.placements.push(Placement {
            job: job.id,
            task,
            worker,
        });
    }

    /// Releases the tasks and puts them back at the head of the waiting list, in their order.
    fn roll_back(&mut self, placements: &[Placement]) {
        for placement in placements.iter().rev() {
            self.unbind(placement.task);
            self.set_waiting(placement.task, true);
        }
    }

    fn finish_gang(&mut self, job: &JobSnapshot, placements: &[Placement]) {
        self.remove_reservation(job.id);
        for placement in placements {
            if let Some(slot) = self.workers.slot(placement.worker) {
                self.record_start(slot, &job.need, job.pessimistic_end, job.id);
            }
        }
    }
}
