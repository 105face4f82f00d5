//! Which queue's tasks crash workers, judged from the crashes of workers.
//!
//! A task that crashes its worker does so shortly after its start. So the queues with a recent
//! start on a crashed worker are its suspects. A queue that starts tasks everywhere is a suspect of
//! every crash, whatever the cause; it is only held responsible if it is a suspect more often than
//! chance explains. Crashes at the same time have one cause, so their suspects are those that they
//! share.

use std::collections::VecDeque;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use smallvec::SmallVec;

use crate::scheduler::workers::WorkerIndex;

/// A start is recent if it came no longer than this before the worker's last reply.
const RECENT_MS: u64 = 150;
/// Crashes within this time of the first one are one event.
const SAME_EVENT_MS: u64 = 50;
/// Events are evidence for this long.
const WINDOW_MS: u64 = 5_000;
/// A queue is responsible only if it is a suspect in at least this many events.
const EVENTS_MIN: usize = 3;
/// A queue is responsible only if it is a suspect in at least this share of the events.
const SHARE_MIN_PERCENT: usize = 80;
/// A queue is responsible only if the probability that it is a suspect this often by chance is
/// below this.
const CHANCE_MAX: f64 = 0.001;
/// The number of events that are kept for each service.
const EVENTS_MAX: usize = 64;

/// A worker and when its last reply came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contact {
    /// The worker.
    pub worker: WorkerIndex,
    /// When its last reply came.
    pub last_reply: Millis,
}

/// A queue with recent starts at the time of a crash.
#[derive(Clone, Debug, PartialEq)]
struct Exposure {
    queue: Arc<str>,
    /// The share of the workers on which it had a recent start, from 0 to 1: the probability that
    /// it is a suspect of a crash with another cause.
    share: f64,
    /// Whether it had a recent start on each crashed worker.
    is_suspect: bool,
}

/// Crashes of workers of one service at the same time.
#[derive(Clone, Debug)]
struct CrashEvent {
    at: Millis,
    exposures: SmallVec<[Exposure; 4]>,
    workers: SmallVec<[WorkerIndex; 2]>,
}

impl CrashEvent {
    fn exposure(&self, queue: &str) -> Option<&Exposure> {
        self.exposures
            .iter()
            .find(|exposure| *exposure.queue == *queue)
    }

    fn is_suspect(&self, queue: &str) -> bool {
        self.exposure(queue)
            .is_some_and(|exposure| exposure.is_suspect)
    }
}

/// What the recent events say about a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assessment {
    /// The number of events in which the queue is a suspect.
    pub suspect_events: usize,
    /// The number of all events that no other responsible queue explains.
    pub events: usize,
    /// Whether the queue is responsible for most of them.
    pub is_responsible: bool,
}

impl Assessment {
    /// Whether there are enough events, and most of them have another cause than the queue.
    pub fn has_other_cause(&self) -> bool {
        self.events >= EVENTS_MIN && !is_most(self.suspect_events, self.events)
    }
}

fn is_most(suspect_events: usize, events: usize) -> bool {
    suspect_events * 100 >= events * SHARE_MIN_PERCENT
}

/// The queues that started tasks on a worker, with the time of the last start of each.
type LastStarts = SmallVec<[(Arc<str>, Millis); 4]>;

/// The recent starts on each worker and the recent crashes of each service.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    /// The time of the last start of each queue on each worker.
    starts: FxHashMap<WorkerIndex, LastStarts>,
    /// When each worker last showed a sign of a crash.
    signs: FxHashMap<WorkerIndex, Millis>,
    /// The events by service.
    events: FxHashMap<Arc<str>, VecDeque<CrashEvent>>,
}

impl CrashEvidence {
    /// Records that a start is sent to a worker.
    pub fn record_start(&mut self, worker: WorkerIndex, queue: &Arc<str>, now: Millis) {
        let starts = self.starts.entry(worker).or_default();
        match starts.iter_mut().find(|(name, _)| name == queue) {
            Some((_, last)) => *last = now,
            None => starts.push((queue.clone(), now)),
        }
    }

    /// Records a sign that a worker has crashed since its last reply. `peers` are all workers of
    /// the service that are up, and the crashed one. Returns whether it is the first sign since
    /// then.
    pub fn record_refused_connection(
        &mut self,
        service: &Arc<str>,
        crashed: Contact,
        peers: &[Contact],
        now: Millis,
    ) -> bool {
        let worker = crashed.worker;
        let last_sign = self.signs.get(&worker);
        if last_sign.is_some_and(|sign| *sign >= crashed.last_reply) {
            return false;
        }
        self.signs.insert(worker, now);
        let exposures = self.exposures(crashed, peers);
        let events = self.events.entry(service.clone()).or_default();
        match events.back_mut() {
            Some(last) if now.since(last.at) <= SAME_EVENT_MS => {
                for exposure in &mut last.exposures {
                    let other = exposures.iter().find(|other| other.queue == exposure.queue);
                    exposure.is_suspect &= other.is_some_and(|other| other.is_suspect);
                }
                last.workers.push(worker);
            }
            _ => events.push_back(CrashEvent {
                at: now,
                exposures,
                workers: SmallVec::from_slice(&[worker]),
            }),
        }
        if events.len() > EVENTS_MAX {
            events.pop_front();
        }
        true
    }

    /// The queues with a recent start on a worker.
    fn recent_queues(&self, contact: Contact) -> impl Iterator<Item = &Arc<str>> {
        let starts = self.starts.get(&contact.worker).into_iter().flatten();
        let recent = starts.filter(move |(_, start)| *start + RECENT_MS >= contact.last_reply);
        recent.map(|(queue, _)| queue)
    }

    /// The queues with recent starts on any worker.
    fn exposures(&self, crashed: Contact, peers: &[Contact]) -> SmallVec<[Exposure; 4]> {
        let mut counts: FxHashMap<&Arc<str>, u32> = FxHashMap::default();
        for peer in peers {
            for queue in self.recent_queues(*peer) {
                *counts.entry(queue).or_default() += 1;
            }
        }
        let exposures = counts.into_iter().map(|(queue, count)| Exposure {
            queue: queue.clone(),
            share: f64::from(count) / peers.len().max(1) as f64,
            is_suspect: self.recent_queues(crashed).any(|name| name == queue),
        });
        exposures.collect()
    }

    /// Forgets events that are too old, and workers that are gone.
    pub fn prune(&mut self, now: Millis, is_known: impl Fn(WorkerIndex) -> bool) {
        for events in self.events.values_mut() {
            events.retain(|event| now.since(event.at) <= WINDOW_MS);
        }
        self.events.retain(|_, events| !events.is_empty());
        self.starts.retain(|worker, _| is_known(*worker));
        self.signs.retain(|worker, _| is_known(*worker));
    }

    /// The services with recent events.
    pub fn services(&self) -> Vec<Arc<str>> {
        self.events.keys().cloned().collect()
    }

    /// The events of a service that are complete, since all crashes at the same time are in them.
    fn complete_events(&self, service: &str, now: Millis) -> impl Iterator<Item = &CrashEvent> {
        let events = self.events.get(service).into_iter().flatten();
        events.filter(move |event| now.since(event.at) > SAME_EVENT_MS)
    }

    /// The queues that are suspects in an event of a service.
    pub fn suspects(&self, service: &str, now: Millis) -> Vec<Arc<str>> {
        let exposures = self.complete_events(service, now);
        let suspects = exposures
            .flat_map(|event| &event.exposures)
            .filter(|exposure| exposure.is_suspect);
        let mut queues: Vec<Arc<str>> = suspects.map(|suspect| suspect.queue.clone()).collect();
        queues.sort_unstable();
        queues.dedup();
        queues
    }

    /// What the events of a service say about a queue. Events in which only queues of
    /// `responsible` are suspects, and not this one, have another cause and do not count.
    pub fn assess(
        &self,
        service: &str,
        queue: &str,
        responsible: &[Arc<str>],
        now: Millis,
    ) -> Assessment {
        let mut shares: SmallVec<[f64; 16]> = SmallVec::new();
        let mut suspect_events = 0;
        for event in self.complete_events(service, now) {
            let is_suspect = event.is_suspect(queue);
            if !is_suspect && responsible.iter().any(|other| event.is_suspect(other)) {
                continue;
            }
            suspect_events += usize::from(is_suspect);
            shares.push(event.exposure(queue).map_or(0.0, |exposure| exposure.share));
        }
        let events = shares.len();
        let is_responsible = suspect_events >= EVENTS_MIN
            && is_most(suspect_events, events)
            && probability_of_at_least(suspect_events, &shares) <= CHANCE_MAX;
        Assessment {
            suspect_events,
            events,
            is_responsible,
        }
    }

    /// When the last event began in which a queue is a suspect.
    pub fn last_event(&self, service: &str, queue: &str) -> Option<Millis> {
        let mut events = self.events.get(service)?.iter().rev();
        Some(events.find(|event| event.is_suspect(queue))?.at)
    }

    /// The workers that crashed in events in which a queue is a suspect, the latest first.
    pub fn crashed_workers(&self, service: &str, queue: &str) -> Vec<WorkerIndex> {
        let events = self.events.get(service).into_iter().flatten().rev();
        let suspect = events.filter(|event| event.is_suspect(queue));
        let workers = suspect.flat_map(|event| event.workers.iter().copied());
        workers.collect()
    }
}

/// The probability that at least `count` of independent events with these probabilities occur.
fn probability_of_at_least(count: usize, probabilities: &[f64]) -> f64 {
    // Entry `k` is the probability that `k` of the events so far occur; the last entry counts all
    // numbers from `count` on.
    let mut by_count = vec![0.0; count + 1];
    by_count[0] = 1.0;
    for probability in probabilities {
        by_count[count] += by_count[count - 1] * probability;
        for k in (1..count).rev() {
            by_count[k] = by_count[k] * (1.0 - probability) + by_count[k - 1] * probability;
        }
        by_count[0] *= 1.0 - probability;
    }
    by_count[count]
}
