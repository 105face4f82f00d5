//! The end of workers' leases, and the reachability of their tasks.

use std::collections::BTreeSet;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_types::Incarnation;
use sapphirepost_types::JobId;
use sapphirepost_types::Name;
use sapphirepost_types::OnPartition;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::attempt_end::AttemptEnd;
use crate::outcome::Change;
use crate::outcome::CommandResult;
use crate::state::State;
use crate::workers::Contact;

impl State {
    /// Ends the lease of a worker. Depending on the job's behaviour on a partition, an attempt ends
    /// and its task is placed again ([`OnPartition::Move`]), or the task becomes unreachable and
    /// the attempt keeps its resources ([`OnPartition::Keep`]).
    pub(crate) fn expire_worker(
        &mut self,
        id: WorkerId,
        incarnation: Incarnation,
    ) -> CommandResult {
        let now_unix_ms = self.clock_unix_ms;
        let version = self.next_version();
        let Some(worker) = self.workers.get_mut(id) else {
            return CommandResult::Ignored;
        };
        if worker.incarnation != incarnation || worker.is_expired() {
            return CommandResult::Ignored;
        }
        worker.contact = Contact::Expired {
            since_unix_ms: now_unix_ms,
            lost: false,
        };
        worker.version = version;
        worker.changed_by = None;
        let keys: Vec<AttemptKey> = worker
            .held
            .iter()
            .map(|allocation| allocation.key())
            .collect();
        self.record_change(Change::Worker(id));
        for key in keys {
            self.expire_attempt(id, key);
        }
        CommandResult::Applied
    }

    fn expire_attempt(&mut self, worker: WorkerId, key: AttemptKey) {
        match self.on_partition(key.task) {
            Some(OnPartition::Keep) if self.is_current(worker, key) => {
                self.set_unreachable(key.task, true);
            }
            Some(OnPartition::Move) => self.end_attempt(worker, key, AttemptEnd::Lost),
            // An older attempt of a job with `Keep` and an attempt of a job that was dropped may
            // still run, so they keep their resources until the worker reports their end or is
            // declared lost.
            _ => {}
        }
    }

    fn on_partition(&self, task: TaskId) -> Option<OnPartition> {
        let task = self.tasks.get(task)?;
        Some(self.jobs.get(task.job)?.spec.on_partition())
    }

    /// Ends every attempt on a worker that an operator declared lost, and returns their number.
    pub(crate) fn end_all_as_lost(&mut self, id: WorkerId) -> usize {
        let Some(worker) = self.workers.get(id) else {
            return 0;
        };
        let keys: Vec<AttemptKey> = worker
            .held
            .iter()
            .map(|allocation| allocation.key())
            .collect();
        self.record_change(Change::Worker(id));
        for key in &keys {
            self.end_attempt(id, *key, AttemptEnd::Lost);
        }
        keys.len()
    }

    /// Marks the unreachable tasks of a worker that is connected again as reachable, and updates
    /// their jobs.
    pub(crate) fn mark_reachable(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let keys: Vec<AttemptKey> = worker
            .held
            .iter()
            .map(|allocation| allocation.key())
            .collect();
        let mut jobs = BTreeSet::new();
        for key in keys {
            if self.is_current(id, key) {
                jobs.extend(self.set_unreachable(key.task, false));
            }
        }
        for job in jobs {
            self.reconcile_job(job);
        }
    }

    pub(crate) fn release_unreachable(&mut self, team: &Name, resources: &Resources) {
        self.quotas.release_unreachable(team, resources);
        self.record_quota_change(team);
    }

    /// Marks a task as unreachable or reachable and counts its resources accordingly in the quota.
    /// Returns the job if the mark changed.
    fn set_unreachable(&mut self, id: TaskId, unreachable: bool) -> Option<JobId> {
        let task = self.tasks.get_mut(id)?;
        if task.unreachable == unreachable {
            return None;
        }
        task.unreachable = unreachable;
        let job_id = task.job;
        let job = self.jobs.get(job_id)?;
        let resources = job.spec.resources;
        let team = job.spec.team.clone();
        match unreachable {
            true => self.quotas.move_to_unreachable(&team, &resources),
            false => {
                self.quotas.charge(&team, &resources);
                self.quotas.release_unreachable(&team, &resources);
            }
        }
        self.record_quota_change(&team);
        self.record_task_change(id);
        if unreachable {
            self.adjust_replicas(job_id);
        }
        Some(job_id)
    }
}
