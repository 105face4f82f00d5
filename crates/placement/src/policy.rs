//! Policies: how the waiting tasks of each kind of job are placed.

pub(crate) mod batch;
pub(crate) mod gang;
pub(crate) mod service;
pub(crate) mod urgent;

use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::decision::Decisions;
use crate::decision::Placement;
use crate::job::Job;
use crate::job::WaitReason;
use crate::placer::Placer;
use crate::quota::TeamId;
use crate::search::Found;
use crate::search::Request;
use crate::view::JobPolicy;

/// What a decision needs of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Brief {
    pub(crate) id: JobId,
    pub(crate) team: TeamId,
    pub(crate) policy: JobPolicy,
    pub(crate) priority: Priority,
    pub(crate) need: Resources,
    /// When a task that starts now has ended by the pessimistic estimate.
    pub(crate) ends: Millis,
}

impl Placer {
    fn brief(&self, job: &Job) -> Brief {
        Brief {
            id: job.id,
            team: job.team,
            policy: job.policy,
            priority: job.priority,
            need: job.need,
            ends: self.pessimistic_end(job, self.now),
        }
    }

    /// Tries to place the waiting tasks of a job and returns how much of the budget it used.
    pub(crate) fn try_job(&mut self, id: JobId, budget: usize, out: &mut Decisions) -> usize {
        let gains = self.workers.gains;
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        // Nothing gained room since the job was looked at in vain.
        if job.failed_at_gain == gains || !job.is_startable() {
            return 0;
        }
        let brief = self.brief(job);
        match brief.policy {
            JobPolicy::Gang { .. } => self.place_gang(&brief, out),
            _ if brief.priority == Priority::Urgent => self.place_urgent(&brief, budget, out),
            JobPolicy::Service => self.place_singly(&brief, budget, out, Placer::find_spread),
            JobPolicy::Batch { .. } => self.place_singly(&brief, budget, out, Placer::find_batch),
        }
    }

    /// Places waiting tasks one by one until one finds no room.
    fn place_singly(
        &mut self,
        job: &Brief,
        budget: usize,
        out: &mut Decisions,
        find: fn(&mut Placer, &Brief, TaskId) -> Found,
    ) -> usize {
        let mut used = 0;
        while used < budget {
            let Some(task) = self.next_waiting(job.id) else {
                break;
            };
            if self.is_over_quota(job, 1) {
                break;
            }
            // The memo holds what failed beside the reservations, which the holder may use.
            if !self.has_reservation(job.id)
                && self.memo.covers(self.workers.gains, &job.need, job.ends)
            {
                self.note_failure(job, WaitReason::NoRoom);
                break;
            }
            used += 1;
            match find(self, job, task) {
                Found::At(slot) => self.place(job, task, slot, out),
                found => {
                    self.note_not_found(job, found);
                    break;
                }
            }
        }
        used
    }

    fn next_waiting(&self, job: JobId) -> Option<TaskId> {
        self.jobs.get(&job)?.waiting.front().copied()
    }

    /// Whether `tasks` more tasks exceed the quota of the team, which is then noted.
    pub(crate) fn is_over_quota(&mut self, job: &Brief, tasks: u32) -> bool {
        if !self.config.mechanisms.quota {
            return false;
        }
        let whole = job.need.checked_mul(tasks).unwrap_or(job.need);
        let Some(kind) = self.quotas.limiting(job.team, &whole) else {
            return false;
        };
        if let Some(job) = self.jobs.get_mut(&job.id) {
            job.reason = WaitReason::Quota(kind);
        }
        true
    }

    /// Notes that a search was in vain.
    pub(crate) fn note_not_found(&mut self, job: &Brief, found: Found) {
        self.memo.add(self.workers.gains, &job.need, job.ends);
        let reason = match found {
            Found::Reserved(holder) => WaitReason::Reserved { holder },
            Found::At(_) | Found::Nothing => WaitReason::NoRoom,
        };
        self.note_failure(job, reason);
    }

    pub(crate) fn note_failure(&mut self, job: &Brief, reason: WaitReason) {
        let gains = self.workers.gains;
        if let Some(job) = self.jobs.get_mut(&job.id) {
            job.failed_at_gain = gains;
            job.reason = reason;
        }
        self.reposition(job.id);
    }

    /// Starts a task on the worker in `slot`.
    pub(crate) fn place(&mut self, job: &Brief, task: TaskId, slot: usize, out: &mut Decisions) {
        let Some(worker) = self.workers.get(slot).map(|worker| worker.id) else {
            return;
        };
        self.note_start(slot, &job.need, job.ends, job.id);
        self.start_task(task, worker);
        out.placements.push(Placement {
            job: job.id,
            task,
            worker,
        });
    }

    /// Searches away from the workers on which the task failed, and only then on them too.
    pub(crate) fn find_away(
        &mut self,
        job: &Brief,
        task: TaskId,
        mut find: impl FnMut(&mut Placer, &Request<'_>) -> Found,
    ) -> Found {
        let failed_on = self.tasks.get(&task).map(|task| task.failed_on.clone());
        let failed_on = failed_on.unwrap_or_default();
        let mut request = Request {
            need: job.need,
            ends: job.ends,
            avoid: &failed_on,
            job: job.id,
            respect_reservation: true,
        };
        let found = find(self, &request);
        if matches!(found, Found::At(_)) || failed_on.is_empty() {
            return found;
        }
        request.avoid = &[];
        find(self, &request)
    }
}
