//! Limits a queue whose tasks crash workers to few of the service's workers.
//!
//! All queues of a service share its workers, so a queue whose tasks crash them takes the workers
//! from all other queues within seconds. While the crashes point to a queue, it starts tasks only
//! on a small set of workers, on which the other queues start nothing new. A crashed worker stays
//! in the set until it has returned, which bounds the rate of crashes. Workers that are empty
//! belong to the set too while the other queues do not need them. The set grows, and is dissolved,
//! when its workers run without crashes.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;

use crate::ids::TaskKey;
use crate::scheduler::Scheduler;
use crate::scheduler::crash_evidence::Assessment;
use crate::scheduler::crash_evidence::Contact;
use crate::scheduler::crash_evidence::CrashEvidence;
use crate::scheduler::place::Candidate;
use crate::scheduler::quarantine_set::GROWTHS_MAX;
use crate::scheduler::step_permits::Permission;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;
use crate::table::Queue;

/// A set has the workers of the service divided by this, at least one.
pub(super) const SET_DIVISOR: usize = 8;
/// After each such time without a crash while some of its workers accept tasks, a set doubles.
pub(super) const GROWTH_MS: u64 = 2_000;
/// A refused connection this long after the worker's last reply does not show what ran when the
/// worker crashed.
const SIGN_AGE_MAX_MS: u64 = 2_000;
/// Once a set has grown, its workers start another job only this long after the last one, so that
/// it is clear which job crashes a worker.
const SETTLE_MS: u64 = 150;
/// Admission counts on this many jobs at a time on each worker of a set that has grown. They start one
/// after the other, and the next crash ends the growth.
const GROWN_JOBS_PER_WORKER: u64 = 4;

/// A queue that is quarantined or released, with the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The name of the queue.
    pub queue: Arc<str>,
    /// Whether it is quarantined now.
    pub is_quarantined: bool,
    /// The number of recent crash events in which it is a suspect.
    pub suspect_events: usize,
    /// The number of recent crash events that no other quarantined queue explains.
    pub events: usize,
    /// The number of workers in its set.
    pub workers: usize,
}

/// A place in a set.
#[derive(Clone, Debug)]
pub(super) struct Place {
    pub(super) worker: WorkerIndex,
    pub(super) address: Arc<str>,
    /// Since when its worker takes no tasks or is gone.
    pub(super) closed_since: Option<Millis>,
}

/// A quarantined queue and its set.
#[derive(Debug)]
pub(super) struct QuarantinedQueue {
    pub(super) queue: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) places: Vec<Place>,
    /// How long some of its workers accepted tasks since the last crash.
    pub(super) quiet_ms: u64,
    pub(super) last_event: Millis,
    /// Whether a worker runs only one job at a time, so that a crash ends no other job.
    pub(super) runs_single_jobs: bool,
}

/// The quarantined queues and the evidence for them.
#[derive(Debug, Default)]
pub struct Quarantine {
    pub(crate) evidence: CrashEvidence,
    queues: Vec<QuarantinedQueue>,
    /// The queue that each worker of a set is reserved for.
    members: FxHashMap<WorkerIndex, Arc<str>>,
    changes: Vec<QuarantineChange>,
}

impl Quarantine {
    /// Whether a queue is quarantined.
    pub fn is_quarantined(&self, queue: &str) -> bool {
        self.get(queue).is_some()
    }

    fn get(&self, queue: &str) -> Option<&QuarantinedQueue> {
        let mut queues = self.queues.iter();
        queues.find(|quarantined| *quarantined.queue == *queue)
    }

    /// Whether a queue may start tasks on a worker.
    pub fn may_use(&self, queue: &str, worker: WorkerIndex) -> bool {
        match self.members.get(&worker) {
            Some(owner) => **owner == *queue,
            None => !self.is_quarantined(queue),
        }
    }

    /// The workers that are set apart for quarantined queues.
    pub fn members(&self) -> impl ExactSizeIterator<Item = WorkerIndex> {
        self.members.keys().copied()
    }

    /// Puts a new worker in the place of the earlier incarnation at its address, if that is in a
    /// set, before other queues use it.
    pub fn adopt(&mut self, index: WorkerIndex, worker: &WorkerView) {
        for quarantined in &mut self.queues {
            let mut places = quarantined.places.iter_mut();
            let same_address = places.find(|place| place.address == worker.record.address);
            if let Some(place) = same_address {
                self.members.remove(&place.worker);
                self.members.insert(index, quarantined.queue.clone());
                *place = Place::of(index, worker);
            }
        }
    }

    /// Whether two queues of one service start tasks on the same workers.
    pub fn share_workers(&self, queue: &str, other: &str) -> bool {
        queue == other || !(self.is_quarantined(queue) || self.is_quarantined(other))
    }

    fn names(&self) -> Vec<Arc<str>> {
        self.queues
            .iter()
            .map(|quarantined| quarantined.queue.clone())
            .collect()
    }
}

impl Scheduler {
    /// Takes the changes of quarantines since the last call.
    pub fn take_quarantine_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.quarantine.changes)
    }

    /// The number of quarantined queues.
    pub fn quarantined_queues(&self) -> usize {
        self.quarantine.queues.len()
    }

    /// Handles a refused connection to a worker as a sign of a crash.
    pub(crate) fn handle_crash_sign(&mut self, index: WorkerIndex, now: Millis) {
        let Some(worker) = self.workers.get(index) else {
            return;
        };
        let is_leaving = worker.is_leaving();
        let Some(last_reply) = worker.lease.last_reply().filter(|_| !is_leaving) else {
            return;
        };
        if now.since(last_reply) > SIGN_AGE_MAX_MS {
            return;
        }
        let service = worker.record.service.clone();
        let peers = self.workers_of(&service).filter_map(|(worker, view)| {
            let is_up = view.lease.is_reachable() || worker == index;
            let last_reply = view.lease.last_reply().filter(|_| is_up)?;
            Some(Contact { worker, last_reply })
        });
        let peers: Vec<Contact> = peers.collect();
        let crashed = Contact {
            worker: index,
            last_reply,
        };
        let evidence = &mut self.quarantine.evidence;
        let is_first = evidence.record_refused_connection(&service, crashed, &peers, now);
        self.counts.worker_crashes += u64::from(is_first);
    }

    /// Quarantines and releases queues, and adjusts the sets.
    pub(crate) fn tick_quarantine(&mut self, now: Millis) {
        let workers = &self.workers;
        let is_known = |worker| workers.get(worker).is_some();
        self.quarantine.evidence.prune(now, is_known);
        for service in self.quarantine.evidence.services() {
            self.quarantine_suspects(&service, now);
        }
        self.release_queues(now);
        if self.quarantine.queues.is_empty() {
            return;
        }
        let mut queues = std::mem::take(&mut self.quarantine.queues);
        for position in 0..queues.len() {
            let (earlier, rest) = queues.split_at_mut(position);
            if let Some((quarantined, later)) = rest.split_first_mut() {
                let others = earlier.iter().chain(later.iter());
                let others = others.filter(|other| other.service == quarantined.service);
                let taken: Vec<WorkerIndex> = others
                    .flat_map(|other| other.places.iter().map(|place| place.worker))
                    .collect();
                self.adjust_set(quarantined, &taken, now);
            }
        }
        let members = queues.iter().flat_map(|quarantined| {
            let places = quarantined.places.iter();
            places.map(|place| (place.worker, quarantined.queue.clone()))
        });
        self.quarantine.members = members.collect();
        self.quarantine.queues = queues;
    }

    fn quarantine_suspects(&mut self, service: &Arc<str>, now: Millis) {
        for queue in self.quarantine.evidence.suspects(service, now) {
            if self.quarantine.is_quarantined(&queue) {
                continue;
            }
            let responsible = self.quarantine.names();
            let evidence = &self.quarantine.evidence;
            let assessment = evidence.assess(service, &queue, &responsible, now);
            if !assessment.is_responsible {
                continue;
            }
            let crashed = evidence.crashed_workers(service, &queue);
            let last_event = evidence.last_event(service, &queue).unwrap_or(now);
            let is_down = |worker: &WorkerView| !worker.lease.is_reachable();
            let crashed = crashed.into_iter().filter_map(|index| {
                let worker = self.workers.get(index).filter(|worker| is_down(worker))?;
                Some(Place::of(index, worker))
            });
            let limit = self.set_size(service, 0);
            let quarantined = QuarantinedQueue {
                queue: queue.clone(),
                service: service.clone(),
                places: crashed.take(limit).collect(),
                quiet_ms: 0,
                last_event,
                runs_single_jobs: true,
            };
            self.quarantine.queues.push(quarantined);
            self.record_change(queue, Some(assessment), true, limit);
            self.retry_all();
        }
    }

    fn record_change(
        &mut self,
        queue: Arc<str>,
        assessment: Option<Assessment>,
        is_quarantined: bool,
        workers: usize,
    ) {
        self.quarantine.changes.push(QuarantineChange {
            queue,
            is_quarantined,
            suspect_events: assessment.map_or(0, |assessment| assessment.suspect_events),
            events: assessment.map_or(0, |assessment| assessment.events),
            workers,
        });
    }

    /// Releases the queues whose workers have run long enough without crashes, and those that most
    /// crashes do not point to any more.
    fn release_queues(&mut self, now: Millis) {
        let names = self.quarantine.names();
        let mut released = Vec::new();
        let evidence = &self.quarantine.evidence;
        self.quarantine.queues.retain(|quarantined| {
            let (service, queue) = (&quarantined.service, &quarantined.queue);
            let assessment = evidence.assess(service, queue, &names, now);
            let is_over = quarantined.quiet_ms >= GROWTH_MS * u64::from(GROWTHS_MAX + 1);
            let is_released = is_over || assessment.has_other_cause();
            if is_released {
                released.push((queue.clone(), assessment, quarantined.places.len()));
            }
            !is_released
        });
        for (queue, assessment, workers) in released {
            self.quarantine.members.retain(|_, owner| *owner != queue);
            self.record_change(queue, Some(assessment), false, workers);
            self.retry_all();
        }
    }

    pub(super) fn workers_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (WorkerIndex, &'a WorkerView)> {
        let workers = self.workers.iter();
        workers.filter(move |(_, worker)| *worker.record.service == *service)
    }

    /// The size of a set that has doubled `growths` times.
    pub(super) fn set_size(&self, service: &str, growths: u32) -> usize {
        let first = (self.workers_of(service).count() / SET_DIVISOR).max(1);
        first << growths
    }

    /// Whether a step may start tasks on a worker, by the quarantine of its queue or of others.
    pub(crate) fn may_use(&self, view: &StepView, index: WorkerIndex) -> bool {
        self.quarantine.may_use(&view.queue_name, index)
    }

    /// The processor capacity that a queue may use. For a quarantined queue, only workers count
    /// that accept tasks now, each with what the few jobs take that it runs at a time; at least 1 is
    /// returned.
    pub(crate) fn serving_millicores(
        &self,
        queue: &Queue,
        job_millicores: u64,
        now: Millis,
    ) -> u64 {
        let Some(quarantined) = self.quarantine.get(&queue.name) else {
            return self.rounds.backlog.millicores(&queue.service);
        };
        let jobs = if quarantined.runs_single_jobs {
            1
        } else {
            GROWN_JOBS_PER_WORKER
        };
        let serving = self.workers_of(&queue.service).filter(|(index, worker)| {
            worker.accepts_tasks(now) && self.quarantine.may_use(&queue.name, *index)
        });
        self.count_checks(self.workers.len());
        let sum: u64 = serving
            .map(|(_, worker)| worker.record.capacity.millicores.min(jobs * job_millicores))
            .sum();
        sum.max(1)
    }

    /// For a step of a quarantined queue, leaves only the workers that fit all its waiting tasks,
    /// if there are any: a task that crashes its worker should not do so on several ones.
    pub(crate) fn keep_job_together(&self, view: &StepView, candidates: &mut Vec<Candidate>) {
        if !self.quarantine.is_quarantined(&view.queue_name) {
            return;
        }
        let fits_all = |candidate: &Candidate| candidate.fits as usize >= view.waiting.len();
        let is_usable = |candidate: &Candidate| candidate.permission == Permission::Granted;
        if candidates.iter().any(|c| fits_all(c) && is_usable(c)) {
            candidates.retain(fits_all);
        }
    }

    /// Whether a worker of a set has to wait with another job of its quarantined queue. Does not
    /// hold for workers that are in no set.
    pub(crate) fn is_settling(&self, view: &StepView, index: WorkerIndex, now: Millis) -> bool {
        let Some(quarantined) = self.quarantine.get(&view.queue_name) else {
            return false;
        };
        let Some(worker) = self.workers.get(index) else {
            return false;
        };
        let is_own = |task: &TaskKey| {
            let step = self.steps.get(&task.step);
            step.is_some_and(|step| step.queue_name == view.queue_name)
        };
        let mut runs = worker.runs.iter();
        runs.any(|(task, run)| {
            let is_new = quarantined.runs_single_jobs || now.since(run.since) < SETTLE_MS;
            task.step.job != view.key.job && is_new && is_own(task)
        })
    }
}

impl Place {
    pub(super) fn of(index: WorkerIndex, worker: &WorkerView) -> Place {
        Place {
            worker: index,
            address: worker.record.address.clone(),
            closed_since: None,
        }
    }
}
