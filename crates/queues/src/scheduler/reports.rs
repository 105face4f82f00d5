//! What workers report about themselves.
//!
//! Reports may overtake each other, and one of a former incarnation may come after the first one of
//! the next. Of one incarnation, the report with the highest number counts.

use std::sync::Arc;

use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::command::QueueCommand;
use crate::scheduler::Scheduler;
use crate::scheduler::workers::WorkerView;
use crate::state::QueueState;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

/// What a worker reports about itself in addition to its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerReport {
    /// While the worker drains, the shortest time until it leaves.
    pub remaining_ms: Option<u64>,
}

impl Scheduler {
    /// The incarnation of a worker that this leader sends requests to, if it knows the worker.
    pub fn incarnation(&self, worker: &str) -> Option<Incarnation> {
        let index = self.index(worker)?;
        Some(self.workers.get(index)?.record.incarnation)
    }

    /// Handles a report of a worker. Returns the command to commit before the report may be
    /// acknowledged, if it says something new.
    pub fn handle_report(
        &mut self,
        record: &WorkerRecord,
        report: WorkerReport,
        now: Millis,
    ) -> Option<QueueCommand> {
        let put_worker = || QueueCommand::PutWorker(Box::new(record.clone()));
        let Some(worker) = self.workers.by_id_mut(&record.id) else {
            return Some(put_worker());
        };
        if record.incarnation < worker.record.incarnation {
            return None;
        }
        if record.incarnation > worker.record.incarnation {
            return Some(worker.begin_restart(record.clone(), now));
        }
        worker.reported_at = now;
        if record.sequence < worker.reported.sequence {
            return None;
        }
        worker.leaves_at = report.remaining_ms.map(|remaining_ms| now + remaining_ms);
        // An earlier report that says something else may be in the log and not applied yet.
        let is_committed = worker.record.is_same_description(record)
            && worker.reported.is_same_description(record);
        worker.reported = record.clone();
        (!is_committed).then(put_worker)
    }

    /// Handles the sign-off of a worker, which may name its incarnation. Returns the command to
    /// commit before the sign-off may be acknowledged; `None` if the present incarnation goes on.
    ///
    /// A sign-off that names none may be a late one of a former incarnation, so it ends only a
    /// worker that has announced it, or whose incarnations have IDs of their own. An unknown
    /// worker's registration may be in progress.
    pub fn handle_sign_off(
        &self,
        id: &Arc<str>,
        incarnation: Option<Incarnation>,
    ) -> Option<QueueCommand> {
        let worker = self.index(id).and_then(|index| self.workers.get(index));
        let present = worker.map(|worker| worker.record.incarnation);
        let has_ended = worker.is_none_or(|worker| match incarnation {
            Some(incarnation) => incarnation >= worker.record.incarnation,
            None => worker.record.incarnation == Incarnation::default() || worker.is_leaving(),
        });
        has_ended.then(|| QueueCommand::RemoveWorker {
            worker: id.clone(),
            incarnation: present.or(incarnation),
            checkpoints: Vec::new(),
        })
    }

    /// Handles a new worker, or a changed record of a known incarnation.
    pub(crate) fn worker_changed(&mut self, state: &QueueState, id: &str, now: Millis) {
        let Some(known) = state.worker(id) else {
            return;
        };
        if let Some(index) = self.index(id) {
            self.rounds.note_freed(index);
        }
        match self.workers.by_id_mut(id) {
            Some(worker) => {
                worker.record = known.record.clone();
                if worker.reported.sequence < known.record.sequence {
                    worker.reported = known.record.clone();
                }
            }
            None => self.add_worker(known, None, now),
        }
    }

    /// Begins to track an incarnation, which followed another one with the same ID at `restarted`.
    pub(crate) fn add_worker(&mut self, worker: &Worker, restarted: Option<Millis>, now: Millis) {
        let mut view = WorkerView::new(worker, restarted, now);
        // A worker that was removed and is added again has seen the tokens of all former requests.
        view.restarts = self.restarts;
        let index = self.workers.insert(view);
        if let Some(worker) = self.workers.get(index) {
            self.quarantine.adopt(index, worker);
        }
        self.poll_candidates.push(index);
    }
}
