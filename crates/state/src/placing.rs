//! The pass that applies placements and requests to stop.
//!
//! The leader decides over a picture that may be old, so room and quota are checked again here;
//! of two racing decisions only one passes.

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_types::Name;
use sapphirepost_types::Resources;
use sapphirepost_types::WorkerId;
use sapphirepost_types::resources::ResourceKind;
use smallvec::SmallVec;

use crate::command::Placement;
use crate::command::StopRequest;
use crate::ending::AttemptEnd;
use crate::jobs::Job;
use crate::outcome::Change;
use crate::outcome::CommandResult;
use crate::outcome::PlaceError;
use crate::state::State;
use crate::tasks::DISPLACEMENTS_MAX;
use crate::tasks::Phase;
use crate::tasks::Stop;
use crate::tasks::StopReason;
use crate::workers::Allocation;

/// What a group takes so far, while it is checked.
#[derive(Default)]
struct Taken {
    workers: SmallVec<[(WorkerId, Resources); 4]>,
    teams: SmallVec<[(Name, Resources); 1]>,
}

impl State {
    pub(crate) fn place_groups(&mut self, groups: &[Vec<Placement>]) -> CommandResult {
        let results = groups.iter().map(|group| self.place_group(group)).collect();
        CommandResult::Placed(results)
    }

    fn place_group(&mut self, group: &[Placement]) -> Result<(), PlaceError> {
        let mut taken = Taken::default();
        for (position, placement) in group.iter().enumerate() {
            let is_repeated = group[..position]
                .iter()
                .any(|earlier| earlier.task == placement.task);
            if is_repeated {
                return Err(PlaceError::NotWaiting(placement.task));
            }
            self.check(placement, group, &mut taken)?;
        }
        for placement in group {
            self.place(placement);
        }
        Ok(())
    }

    fn check(
        &self,
        placement: &Placement,
        group: &[Placement],
        taken: &mut Taken,
    ) -> Result<(), PlaceError> {
        let job = self.waiting_job(placement)?;
        if job.is_gang() && !self.covers_gang(job, group) {
            return Err(PlaceError::NotWaiting(placement.task));
        }
        self.check_room(placement.worker, &job.spec.resources, taken)?;
        self.check_quota(&job.spec.team, &job.spec.resources, taken)
    }

    fn waiting_job(&self, placement: &Placement) -> Result<&Job, PlaceError> {
        let refused = PlaceError::NotWaiting(placement.task);
        let task = self.tasks.get(placement.task).ok_or(refused)?;
        let job = self.jobs.get(task.job).ok_or(refused)?;
        let is_next = task.attempt.next() == placement.attempt;
        match task.is_waiting() && is_next && job.is_active() {
            true => Ok(job),
            false => Err(refused),
        }
    }

    /// Whether the group starts every task of the gang that has not ended.
    fn covers_gang(&self, job: &Job, group: &[Placement]) -> bool {
        job.tasks
            .iter()
            .filter(|id| self.tasks.get(**id).is_some_and(|task| !task.is_ended()))
            .all(|id| group.iter().any(|placement| placement.task == *id))
    }

    fn check_room(
        &self,
        id: WorkerId,
        more: &Resources,
        taken: &mut Taken,
    ) -> Result<(), PlaceError> {
        let worker = self.workers.get(id).filter(|worker| worker.accepts_tasks());
        let worker = worker.ok_or(PlaceError::WorkerClosed(id))?;
        let sum = add(&mut taken.workers, id, more)
            .ok_or(PlaceError::NoRoom(id, ResourceKind::Processor))?;
        match sum.limiting(&worker.free()) {
            Some(kind) => Err(PlaceError::NoRoom(id, kind)),
            None => Ok(()),
        }
    }

    fn check_quota(
        &self,
        team: &Name,
        more: &Resources,
        taken: &mut Taken,
    ) -> Result<(), PlaceError> {
        let sum = add(&mut taken.teams, team.clone(), more)
            .ok_or(PlaceError::OverQuota(ResourceKind::Processor))?;
        match self.quotas.limiting(team, &sum) {
            Some(kind) => Err(PlaceError::OverQuota(kind)),
            None => Ok(()),
        }
    }

    fn place(&mut self, placement: &Placement) {
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
        self.task_changed(placement.task);
        self.changed(Change::Worker(placement.worker));
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
            if task.displacements >= DISPLACEMENTS_MAX {
                return;
            }
            task.displacements += 1;
        }
        task.stop = Some(Stop {
            reason: request.reason,
            checkpoint: request.checkpoint,
        });
        let job = task.job;
        self.task_changed(request.task);
        self.break_gang(job);
        if self.disabled.release_on_confirmed_stop {
            let key = AttemptKey {
                task: request.task,
                attempt: request.attempt,
            };
            self.end_attempt(worker, key, AttemptEnd::Stopped);
        }
    }
}

fn add<K: PartialEq, const N: usize>(
    sums: &mut SmallVec<[(K, Resources); N]>,
    key: K,
    more: &Resources,
) -> Option<Resources>
where
    [(K, Resources); N]: smallvec::Array<Item = (K, Resources)>,
{
    if let Some((_, sum)) = sums.iter_mut().find(|(known, _)| *known == key) {
        *sum = sum.checked_add(more)?;
        return Some(*sum);
    }
    sums.push((key, *more));
    Some(*more)
}
