//! Changes of workers: registration, restart, removal, expired leases and crashes.

use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_types::Incarnation;

use crate::command::QueueCommand;
use crate::crash::CrashCount;
use crate::crash::LostRuns;
use crate::ids::TaskKey;
use crate::job::JobPhase;
use crate::lost_workers::ReturnedWorker;
use crate::state::Apply;
use crate::state::QueueChange;
use crate::state::task_mut;
use crate::worker::HeldRun;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

impl Apply<'_> {
    /// Applies a command that is about one incarnation of a worker. It has no effect if that has
    /// ended.
    pub(crate) fn change_worker(&mut self, command: &QueueCommand) {
        match command {
            QueueCommand::RemoveWorker {
                worker,
                incarnation,
                checkpoints,
            } if incarnation.is_none_or(|incarnation| self.has(worker, incarnation)) => {
                self.remove_worker(worker, checkpoints);
            }
            QueueCommand::ForgetWorker {
                worker,
                incarnation,
            } if self.has(worker, *incarnation) => self.forget_worker(worker),
            QueueCommand::Crash {
                worker,
                incarnation,
                checkpoints,
                lost,
            } if self.has(worker, *incarnation) => self.crash(worker, checkpoints, lost),
            QueueCommand::End {
                worker,
                incarnation,
                upto,
                ends,
            } if self.has(worker, *incarnation) => self.end(worker, *upto, ends),
            QueueCommand::Expire {
                worker,
                incarnation,
                checkpoints,
                lost,
                kept,
            } if self.has(worker, *incarnation) => {
                self.expire(worker, checkpoints, kept);
                self.record_expired(worker, lost);
            }
            QueueCommand::Release {
                worker,
                incarnation,
                task,
                run,
            } if self.has(worker, *incarnation) => self.release(worker, *task, *run),
            _ => {}
        }
    }

    /// Whether this is the present incarnation of the worker.
    pub(crate) fn has(&self, worker: &str, incarnation: Incarnation) -> bool {
        let known = self.state.workers.get(worker);
        known.is_some_and(|known| known.record.incarnation == incarnation)
    }

    pub(crate) fn put_worker(&mut self, record: &WorkerRecord) {
        let id = record.id.clone();
        match self.state.workers.get_mut(&id) {
            Some(known) if known.record.incarnation != record.incarnation => return,
            Some(known) if known.record.is_same_description(record) => return,
            // A new leader does not know the reports to the one before, and may get a late one.
            Some(known) if known.record.sequence > record.sequence => return,
            Some(known) => {
                let known = Arc::make_mut(known);
                let is_draining = known.record.is_draining || record.is_draining;
                known.record = record.clone();
                // A draining worker never becomes available again; an older report may arrive late.
                known.record.is_draining = is_draining;
            }
            None => return self.add_worker(record),
        }
        self.changes.push(QueueChange::Worker(id));
    }

    /// Adds a worker; if it replaces a removed one, that one has crashed.
    pub(crate) fn add_worker(&mut self, record: &WorkerRecord) {
        let mut worker = Worker {
            record: record.clone(),
            applied_ends: 0,
            restarted_unix_ms: None,
            runs: OrdMap::new(),
            expired: LostRuns::default(),
            has_returned: false,
        };
        let mut crashed = Vec::new();
        for returned in self.state.lost_workers.take(record, self.at_unix_ms) {
            match returned {
                ReturnedWorker::SameIncarnation(lost) => {
                    worker.expired = lost;
                    worker.has_returned = true;
                }
                ReturnedWorker::Crashed(id, lost) => crashed.push((id, lost)),
            }
        }
        let id = record.id.clone();
        self.state.workers.insert(id.clone(), Arc::new(worker));
        self.changes.push(QueueChange::Worker(id));
        for (id, lost) in crashed {
            self.count_crashes(&id, &lost);
        }
    }

    pub(crate) fn restart_worker(
        &mut self,
        record: &WorkerRecord,
        former: Incarnation,
        checkpoints: &[(TaskKey, Arc<str>)],
        lost: Option<&LostRuns>,
    ) {
        let is_former = record.incarnation != former;
        let known = self.state.workers.get_mut(&record.id);
        let known = known.filter(|known| is_former && known.record.incarnation == former);
        let Some(worker) = known else {
            return self.put_worker(record);
        };
        let worker = Arc::make_mut(worker);
        worker.record = record.clone();
        worker.applied_ends = 0;
        worker.restarted_unix_ms = Some(self.at_unix_ms);
        let mut ended = std::mem::take(&mut worker.expired);
        let runs = worker.runs.clone();
        for (task, checkpoint) in checkpoints {
            if let Some(held) = runs.get(task) {
                self.keep_checkpoint(*task, held.run, checkpoint);
            }
        }
        let restarted = QueueChange::WorkerRestarted(record.id.clone());
        self.changes.push(restarted);
        if let Some(lost) = lost {
            ended.merge(lost);
            self.count_crashes(&record.id, &ended);
        }
    }

    pub(crate) fn remove_worker(&mut self, id: &Arc<str>, checkpoints: &[(TaskKey, Arc<str>)]) {
        self.expire(id, checkpoints, &[]);
        if self.state.workers.remove(id).is_some() {
            self.changes.push(QueueChange::WorkerRemoved(id.clone()));
        }
    }

    /// Removes a silent worker and keeps the evidence, in case it has crashed.
    pub(crate) fn forget_worker(&mut self, id: &Arc<str>) {
        if let Some(worker) = self.state.workers.get(id) {
            let lost_workers = &mut self.state.lost_workers;
            lost_workers.add(worker, self.at_unix_ms);
        }
        self.remove_worker(id, &[]);
    }

    /// Ends the runs of a worker, but for those of the tasks in `kept`.
    pub(crate) fn expire(
        &mut self,
        id: &Arc<str>,
        checkpoints: &[(TaskKey, Arc<str>)],
        kept: &[TaskKey],
    ) {
        let Some(worker) = self.state.workers.get_mut(id) else {
            return;
        };
        let worker = Arc::make_mut(worker);
        let runs = std::mem::take(&mut worker.runs);
        let (kept, ended): (OrdMap<_, _>, OrdMap<_, _>) =
            runs.into_iter().partition(|(task, _)| kept.contains(task));
        worker.runs = kept;
        for (task, HeldRun { run, .. }) in ended {
            let seen = checkpoints.iter().find(|(seen, _)| *seen == task);
            let checkpoint = seen.map(|(_, checkpoint)| checkpoint);
            let ended_run = QueueChange::RunEnded(id.clone(), task, run, None);
            self.changes.push(ended_run);
            if let Some(task) = task_mut(&mut self.state.jobs, task).filter(|t| t.run == run) {
                task.write_off(run, id);
            }
            self.finish_run(task, run, None, checkpoint);
        }
    }

    /// Keeps the runs that ended with the lease of a worker, in case it turns out to have crashed.
    pub(crate) fn record_expired(&mut self, id: &Arc<str>, lost: &LostRuns) {
        if let Some(worker) = self.state.workers.get_mut(id) {
            let worker = Arc::make_mut(worker);
            worker.expired.merge(lost);
            worker.has_returned = false;
        }
        for task in &lost.suspects {
            if let Some(crashes) = self.update_silent(*task)
                && crashes.is_given_up()
            {
                self.changes.push(QueueChange::CrashCounted(*task, crashes));
                self.end_job(task.step.job, JobPhase::Failed);
            }
        }
    }

    /// Counts the silent workers of which a task is a suspect, and returns its counts.
    pub(crate) fn update_silent(&mut self, key: TaskKey) -> Option<CrashCount> {
        let task = task_mut(&mut self.state.jobs, key)?;
        let workers = self.state.workers.values();
        let silent = workers.filter(|worker| !worker.has_returned);
        let expired = silent.map(|worker| &worker.expired);
        let expired = expired.filter(|expired| expired.is_suspect(key));
        let removed = self.state.lost_workers.suspecting(key, self.at_unix_ms);
        task.crashes.set_silent(key, expired.chain(removed));
        Some(task.crashes)
    }

    /// Removes a crashed worker and counts the crash against the tasks that ran there.
    pub(crate) fn crash(
        &mut self,
        id: &Arc<str>,
        checkpoints: &[(TaskKey, Arc<str>)],
        lost: &LostRuns,
    ) {
        let Some(worker) = self.state.workers.get(id) else {
            return;
        };
        let mut ended = worker.expired.clone();
        self.remove_worker(id, checkpoints);
        ended.merge(lost);
        self.count_crashes(id, &ended);
    }

    /// Counts a crash of a worker against the tasks that ran there.
    pub(crate) fn count_crashes(&mut self, id: &Arc<str>, lost: &LostRuns) {
        let crashed = QueueChange::WorkerCrashed(id.clone(), lost.suspects.clone());
        self.changes.push(crashed);
        for task in &lost.tasks {
            self.count_crash(*task, lost);
        }
    }

    /// Counts a crash against a task, and fails its job if the task is given up.
    pub(crate) fn count_crash(&mut self, key: TaskKey, lost: &LostRuns) {
        let Some(task) = task_mut(&mut self.state.jobs, key) else {
            return;
        };
        task.crashes.record(key, lost);
        // A worker that has returned is not silent any more.
        let Some(crashes) = self.update_silent(key) else {
            return;
        };
        self.changes.push(QueueChange::CrashCounted(key, crashes));
        if crashes.is_given_up() {
            self.end_job(key.step.job, JobPhase::Failed);
        }
    }
}
