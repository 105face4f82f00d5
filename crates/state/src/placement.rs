//! Placement of tasks and requests to stop them.
//!
//! The leader decides on a view of the state that may be outdated, so capacity and quotas are
//! checked again when a placement is applied. Of two placements that compete for the same
//! resources, only the first is accepted.

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;
use smallvec::SmallVec;

use crate::attempt_end::AttemptEnd;
use crate::command::Placement;
use crate::command::StopRequest;
use crate::jobs::Job;
use crate::outcome::Change;
use crate::outcome::CommandResult;
use crate::outcome::PlacementError;
use crate::state::State;
use crate::tasks::PREEMPTIONS_MAX;
use crate::tasks::Phase;
use crate::tasks::Stop;
use crate::tasks::StopReason;
use crate::workers::Allocation;

/// The resources that the placements of a group need, summed up while the group is checked.
#[derive(Default)]
struct GroupUsage {
    workers: SmallVec<[(WorkerId, Resources); 4]>,
    teams: SmallVec<[(Name, Resources); 1]>,
}

impl State {
    pub(crate) fn place_groups(&mut self, groups: &[Vec<Placement>]) -> CommandResult {
        let results = groups.iter().map(|group| self.place_group(group)).collect();
        CommandResult::Placed(results)
    }

    fn place_group(&mut self, group: &[Placement]) -> Result<(), PlacementError> {
        let mut usage = GroupUsage::default();
        for (position, placement) in group.iter().enumerate() {
            let is_repeated = group[..position]
                .iter()
                .any(|earlier| earlier.task == placement.task);
            if is_repeated {
                return Err(PlacementError::NotWaiting(placement.task));
            }
            self.check_placement(placement, group, &mut usage)?;
        }
        for placement in group {
            self.apply_placement(placement);
        }
        Ok(())
    }

    fn check_placement(
        &self,
        placement: &Placement,
        group: &[Placement],
        usage: &mut GroupUsage,
    ) -> Result<(), PlacementError> {
        let job = self.waiting_job(placement)?;
        if job.is_gang() && !self.covers_gang(job, group) {
            return Err(PlacementError::NotWaiting(placement.task));
        }
        self.check_capacity(placement.worker, &job.spec.resources, usage)?;
        self.check_quota(&job.spec.team, &job.spec.resources, usage)
    }

    /// Returns the job of a placement, provided that the task waits for this very attempt and the
    /// job is active.
    fn waiting_job(&self, placement: &Placement) -> Result<&Job, PlacementError> {
        let refused = PlacementError::NotWaiting(placement.task);
        let task = self.tasks.get(placement.task).ok_or(refused)?;
        let job = self.jobs.get(task.job).ok_or(refused)?;
        let is_next = task.attempt.next() == placement.attempt;
        match task.is_waiting() && is_next && job.is_active() {
            true => Ok(job),
            false => Err(refused),
        }
    }

    /// Whether the group places every task of the gang that has not ended.
    fn covers_gang(&self, job: &Job, group: &[Placement]) -> bool {
        job.tasks
            .iter()
            .filter(|id| self.tasks.get(**id).is_some_and(|task| !task.is_ended()))
            .all(|id| group.iter().any(|placement| placement.task == *id))
    }

    fn check_capacity(
        &self,
        id: WorkerId,
        requested: &Resources,
        usage: &mut GroupUsage,
    ) -> Result<(), PlacementError> {
        let worker = self.workers.get(id).filter(|worker| worker.accepts_tasks());
        let worker = worker.ok_or(PlacementError::WorkerUnavailable(id))?;
        let sum = add_to_sum(&mut usage.workers, id, requested).ok_or(
            PlacementError::InsufficientResources(id, ResourceKind::Processor),
        )?;
        match sum.limiting(&worker.free()) {
            Some(kind) => Err(PlacementError::InsufficientResources(id, kind)),
            None => Ok(()),
        }
    }

    fn check_quota(
        &self,
        team: &Name,
        requested: &Resources,
        usage: &mut GroupUsage,
    ) -> Result<(), PlacementError> {
        let sum = add_to_sum(&mut usage.teams, team.clone(), requested)
            .ok_or(PlacementError::OverQuota(ResourceKind::Processor))?;
        match self.quotas.limiting(team, &sum) {
            Some(kind) => Err(PlacementError::OverQuota(kind)),
            None => Ok(()),
        }
    }

    fn apply_placement(&mut self, placement: &Placement) {
        let now_unix_ms = self.clock_unix_ms;
        let Some(task) = self.tasks.get_mut(placement.task) else {
            return;
        };
        task.attempt = placement.attempt;
        task.phase = Phase::Starting(placement.worker);
        task.placed_unix_ms = now_unix_ms;
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        job.placed += 1;
        let resources = job.spec.resources;
        let team = job.spec.team.clone();
        if let Some(worker) = self.workers.get_mut(placement.worker) {
            worker.allocate(Allocation {
                task: placement.task,
                attempt: placement.attempt,
                resources,
                reported: false,
            });
        }
        self.quotas.charge(&team, &resources);
        self.record_task_change(placement.task);
        self.record_change(Change::Worker(placement.worker));
    }

    pub(crate) fn stop_tasks(&mut self, stops: &[StopRequest]) -> CommandResult {
        for stop in stops {
            self.stop_task(stop);
        }
        CommandResult::Applied
    }

    fn stop_task(&mut self, request: &StopRequest) {
        let Some(task) = self.tasks.get_mut(request.task) else {
            return;
        };
        let Some(worker) = task.worker() else {
            return;
        };
        if task.attempt != request.attempt || task.stop.is_some() {
            return;
        }
        if request.reason == StopReason::Displaced {
            if task.displacements >= PREEMPTIONS_MAX {
                return;
            }
            task.displacements += 1;
        }
        task.stop = Some(Stop {
            reason: request.reason,
            checkpoint: request.checkpoint,
        });
        let job = task.job;
        self.record_task_change(request.task);
        self.stop_broken_gang(job);
        if self.disabled.release_on_confirmed_stop {
            let key = AttemptKey {
                task: request.task,
                attempt: request.attempt,
            };
            self.end_attempt(worker, key, AttemptEnd::Stopped);
        }
    }
}

/// Adds to the sum kept for `key` and returns the new sum; `None` on overflow.
fn add_to_sum<K: PartialEq, const N: usize>(
    sums: &mut SmallVec<[(K, Resources); N]>,
    key: K,
    requested: &Resources,
) -> Option<Resources>
where
    [(K, Resources); N]: smallvec::Array<Item = (K, Resources)>,
{
    if let Some((_, sum)) = sums.iter_mut().find(|(known, _)| *known == key) {
        *sum = sum.checked_add(requested)?;
        return Some(*sum);
    }
    sums.push((key, *requested));
    Some(*requested)
}
