//! Workers that were removed because they were silent, with the runs that ended with their leases.
//!
//! A worker may be down for much longer than the leader tracks it. If another incarnation returns
//! instead, it has crashed, and these runs are the evidence.

use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_types::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::crash::LostRuns;
use crate::ids::TaskKey;
use crate::worker::Worker;
use crate::worker::WorkerRecord;

/// Covers the restart of a machine.
const KEPT_MS: u64 = 300_000;
/// The largest number of workers that are kept, which bounds the memory. The oldest ones are
/// dropped first.
const KEPT_MAX: usize = 256;

/// A worker that was removed while it was silent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LostWorker {
    incarnation: Incarnation,
    address: Arc<str>,
    removed_unix_ms: u64,
    runs: LostRuns,
}

/// What a worker that registers says about one that was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReturnedWorker {
    /// The removed worker was only silent, or this is a late report of it. These runs ended with its
    /// lease.
    SameIncarnation(LostRuns),
    /// The removed worker with this ID has crashed.
    Crashed(Arc<str>, LostRuns),
}

/// The removed workers by their IDs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LostWorkers {
    by_id: OrdMap<Arc<str>, LostWorker>,
}

impl LostWorker {
    /// Whether the evidence is recent enough.
    fn is_kept(&self, at_unix_ms: u64) -> bool {
        at_unix_ms.saturating_sub(self.removed_unix_ms) <= KEPT_MS
    }

    /// Whether a worker with this record has the ID of the lost one and is an earlier incarnation.
    fn is_later_than(&self, id: &str, record: &WorkerRecord) -> bool {
        *record.id == *id && record.incarnation < self.incarnation
    }

    /// Whether a worker with this record can only run if the lost one has ended.
    fn is_replaced_by(&self, id: &str, record: &WorkerRecord) -> bool {
        if *record.id != *id {
            return record.address == self.address;
        }
        // A number that was only unknown until now is no sign of a crash.
        self.incarnation != Incarnation::default() && record.incarnation > self.incarnation
    }
}

impl LostWorkers {
    /// Whether no worker is kept.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Keeps the evidence of a worker that is removed. One that drains ends as planned.
    pub fn add(&mut self, worker: &Worker, at_unix_ms: u64) {
        let by_id = std::mem::take(&mut self.by_id);
        let kept = by_id.into_iter();
        self.by_id = kept.filter(|(_, lost)| lost.is_kept(at_unix_ms)).collect();
        if worker.expired.is_empty() || worker.record.is_draining {
            return;
        }
        if self.by_id.len() >= KEPT_MAX {
            let oldest = self
                .by_id
                .iter()
                .min_by_key(|(_, lost)| lost.removed_unix_ms);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.by_id.remove(&id);
            }
        }
        let lost = LostWorker {
            incarnation: worker.record.incarnation,
            address: worker.record.address.clone(),
            removed_unix_ms: at_unix_ms,
            runs: worker.expired.clone(),
        };
        self.by_id.insert(worker.record.id.clone(), lost);
    }

    /// Takes the evidence that concerns a worker which registers.
    pub fn take(&mut self, record: &WorkerRecord, at_unix_ms: u64) -> Vec<ReturnedWorker> {
        let mut returned = Vec::new();
        let by_id = std::mem::take(&mut self.by_id);
        for (id, lost) in by_id {
            let is_concerned = *record.id == *id || record.address == lost.address;
            if !is_concerned || lost.is_later_than(&id, record) {
                self.by_id.insert(id, lost);
            } else if !lost.is_kept(at_unix_ms) {
                continue;
            } else if lost.is_replaced_by(&id, record) {
                returned.push(ReturnedWorker::Crashed(id, lost.runs));
            } else {
                returned.push(ReturnedWorker::SameIncarnation(lost.runs));
            }
        }
        returned
    }

    /// The runs of each removed worker of which a task is a suspect, if they are recent enough.
    pub fn suspecting(&self, task: TaskKey, at_unix_ms: u64) -> impl Iterator<Item = &LostRuns> {
        let kept = self.by_id.values();
        let kept = kept.filter(move |lost| lost.is_kept(at_unix_ms));
        let runs = kept.map(|lost| &lost.runs);
        runs.filter(move |runs| runs.is_suspect(task))
    }
}
