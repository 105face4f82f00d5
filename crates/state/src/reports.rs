//! Registration of workers and their reports.
//!
//! Older attempts hold their resources until their end is known. A report of an unexpected running
//! attempt therefore allocates resources to it. They are released when the worker reports the end of
//! the attempt, or when a full report does not list the attempt although an earlier report did. When
//! the lease of the worker ends, or an operator declares it lost, the `expiry` module may release
//! them earlier.

use std::collections::BTreeSet;

use sapphirepost_protocol::worker::AttemptKey;
use sapphirepost_protocol::worker::TaskReport;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_protocol::worker::WorkerSpec;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::ObjectVersion;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::attempt_end::AttemptEnd;
use crate::outcome::Change;
use crate::outcome::CommandResult;
use crate::state::State;
use crate::tasks::Phase;
use crate::workers::Allocation;
use crate::workers::Contact;
use crate::workers::WORKERS_MAX;
use crate::workers::Worker;

impl State {
    pub(crate) fn register_worker(
        &mut self,
        name: &Name,
        incarnation: Incarnation,
        spec: &WorkerSpec,
    ) -> CommandResult {
        let version = self.next_version();
        let Some(id) = self.workers.id(name) else {
            if self.workers.len() >= WORKERS_MAX {
                return CommandResult::Ignored;
            }
            let worker = new_worker(name, incarnation, spec, version);
            let id = self.workers.add(worker);
            self.record_change(Change::Worker(id));
            return CommandResult::Registered(id);
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return CommandResult::Ignored;
        };
        if incarnation < worker.incarnation {
            return CommandResult::Ignored;
        }
        if incarnation == worker.incarnation && worker.spec == *spec {
            return CommandResult::Registered(id);
        }
        if incarnation > worker.incarnation {
            worker.incarnation = incarnation;
            worker.sequence = 0;
            worker.contact = Contact::Reporting;
        }
        worker.spec = spec.clone();
        worker.version = version;
        worker.changed_by = None;
        self.record_change(Change::Worker(id));
        CommandResult::Registered(id)
    }

    pub(crate) fn report_tasks(
        &mut self,
        id: WorkerId,
        incarnation: Incarnation,
        sequence: u64,
        full: bool,
        reports: &[TaskReport],
    ) -> CommandResult {
        let Some(worker) = self.workers.get_mut(id) else {
            return CommandResult::Ignored;
        };
        if worker.incarnation != incarnation || sequence <= worker.sequence {
            return CommandResult::Ignored;
        }
        if !full && worker.contact != Contact::Connected {
            return CommandResult::Ignored;
        }
        worker.sequence = sequence;
        if full {
            self.end_missing_attempts(id, reports);
        }
        for report in reports {
            self.apply_report(id, report);
        }
        if full {
            self.mark_connected(id);
        }
        CommandResult::Applied
    }

    /// Ends the attempts that the worker has reported before and that a full report does not list.
    /// Attempts never reported are kept: the command that starts them may still be in transit.
    fn end_missing_attempts(&mut self, id: WorkerId, reports: &[TaskReport]) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let present: BTreeSet<AttemptKey> = reports.iter().map(key_of).collect();
        let missing: Vec<AttemptKey> = worker
            .held
            .iter()
            .filter(|allocation| allocation.reported && !present.contains(&allocation.key()))
            .map(|allocation| allocation.key())
            .collect();
        for key in missing {
            self.end_attempt(id, key, AttemptEnd::Lost);
        }
    }

    fn apply_report(&mut self, worker: WorkerId, report: &TaskReport) {
        let key = key_of(report);
        match &report.status {
            TaskStatus::Running => self.apply_running(worker, key),
            TaskStatus::Finished => self.end_attempt(worker, key, AttemptEnd::Finished),
            TaskStatus::Failed { reason } => {
                let is_current = self.is_current(worker, key);
                if let Some(task) = self.tasks.get_mut(key.task).filter(|_| is_current) {
                    task.set_failure_reason(reason);
                }
                self.end_attempt(worker, key, AttemptEnd::Failed);
            }
            TaskStatus::Stopped { .. } => self.end_attempt(worker, key, AttemptEnd::Stopped),
        }
    }

    /// Applies a report of a running attempt, which need not be the current one of its task.
    fn apply_running(&mut self, id: WorkerId, key: AttemptKey) {
        let resources = self.resources_of(key.task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.allocation(key).is_some() {
            worker.mark_reported(key);
        } else {
            // The resources of an attempt whose task is unknown are unknown too, so the attempt is
            // assumed to use the whole VM.
            worker.allocate(Allocation {
                task: key.task,
                attempt: key.attempt,
                resources: resources.unwrap_or(worker.spec.capacity),
                reported: true,
            });
            self.record_change(Change::Worker(id));
        }
        if !self.is_current(id, key) {
            return;
        }
        let Some(task) = self.tasks.get_mut(key.task) else {
            return;
        };
        if task.phase != Phase::Running(id) {
            task.phase = Phase::Running(id);
            self.record_task_change(key.task);
        }
    }

    fn resources_of(&self, task: TaskId) -> Option<Resources> {
        let task = self.tasks.get(task)?;
        Some(self.jobs.get(task.job)?.spec.resources)
    }

    /// Marks a worker as connected after its full report, and its tasks as reachable again.
    fn mark_connected(&mut self, id: WorkerId) {
        let version = self.next_version();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.contact == Contact::Connected {
            return;
        }
        if worker.is_expired() {
            worker.version = version;
            worker.changed_by = None;
        }
        worker.contact = Contact::Connected;
        self.record_change(Change::Worker(id));
        self.mark_reachable(id);
    }
}

fn new_worker(
    name: &Name,
    incarnation: Incarnation,
    spec: &WorkerSpec,
    version: ObjectVersion,
) -> Worker {
    Worker {
        name: name.clone(),
        spec: spec.clone(),
        incarnation,
        sequence: 0,
        contact: Contact::Reporting,
        draining: false,
        allow_interruption: false,
        version,
        changed_by: None,
        held: Vec::new(),
        used: Resources::ZERO,
    }
}

fn key_of(report: &TaskReport) -> AttemptKey {
    AttemptKey {
        task: report.task,
        attempt: report.attempt,
    }
}
