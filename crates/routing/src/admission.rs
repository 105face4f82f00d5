//! Admission control and fair queueing for one class of requests to one service.
//!
//! A request is admitted only if its expected wait is within the limit of its class and leaves
//! enough time before its deadline. Deficit round robin shares the slots among callers, so that a
//! caller that sends many requests delays mainly its own.

use std::collections::VecDeque;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use sapphirepost_types::RequestClass;

use crate::config::ClassLimits;
use crate::event::RequestKey;

/// The body bytes that add one unit to the cost of a request.
const BYTES_PER_COST_UNIT: u32 = 16 * 1024;
/// The amount that is added to a caller's deficit in each turn.
const QUANTUM: u32 = 4;
/// The weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// The smallest service time sample; the clock has a resolution of 1 ms.
const SERVICE_TIME_FLOOR_MS: f64 = 0.5;
/// The factor by which the wait may exceed its estimate. Without a margin, admitted requests reach
/// their deadline while they run and use slots in which others would have finished.
const WAIT_MARGIN: f64 = 2.0;
/// The upper bound of the random part of `Retry-After`.
const RETRY_AFTER_JITTER_S: u32 = 3;

/// A request in an [`AdmissionQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request.
    pub key: RequestKey,
    /// When the request arrived at the entry.
    pub arrived: Millis,
    /// A hash that identifies the caller.
    pub caller: u64,
    /// The cost of the request in the deficit round robin; at least 1.
    pub cost: u32,
}

impl QueuedRequest {
    /// A queued request whose cost grows with the size of its body.
    pub fn new(key: RequestKey, arrived: Millis, caller: u64, body_bytes: u32) -> QueuedRequest {
        QueuedRequest {
            key,
            arrived,
            caller,
            cost: 1 + body_bytes / BYTES_PER_COST_UNIT,
        }
    }
}

#[derive(Debug, Default)]
struct CallerQueue {
    requests: VecDeque<QueuedRequest>,
    deficit: u32,
}

/// The queue of one class of requests to one service, with a measured service time.
#[derive(Debug)]
pub struct AdmissionQueue {
    class: RequestClass,
    limits: ClassLimits,
    callers: FxHashMap<u64, CallerQueue>,
    active_callers: VecDeque<u64>,
    length: usize,
    service_time_ms: Option<f64>,
}

impl AdmissionQueue {
    /// An empty queue without a measured service time.
    pub fn new(class: RequestClass, limits: ClassLimits) -> AdmissionQueue {
        AdmissionQueue {
            class,
            limits,
            callers: FxHashMap::default(),
            active_callers: VecDeque::new(),
            length: 0,
            service_time_ms: None,
        }
    }

    /// The class whose requests the queue holds.
    pub fn class(&self) -> RequestClass {
        self.class
    }

    /// The number of waiting requests of all callers.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Records how long an upstream took for a request.
    pub fn record_service_time(&mut self, took_ms: u64) {
        let sample = (took_ms as f64).max(SERVICE_TIME_FLOOR_MS);
        self.service_time_ms = Some(match self.service_time_ms {
            Some(old) => old + SERVICE_TIME_WEIGHT * (sample - old),
            None => sample,
        });
    }

    /// The average time that upstreams take for a request, in milliseconds; 0 before the first
    /// response.
    pub fn service_time_ms(&self) -> f64 {
        self.service_time_ms.unwrap_or(0.0)
    }

    /// The expected wait of a new request of `caller`, in milliseconds, if `slots` slots serve this
    /// class.
    pub fn expected_wait_ms(&self, caller: u64, slots: usize) -> f64 {
        let own_queued = self
            .callers
            .get(&caller)
            .map_or(0, |queue| queue.requests.len());
        let caller_count = self.active_callers.len() + usize::from(own_queued == 0);
        let ahead = self.length.min((own_queued + 1) * caller_count);
        self.service_time_ms() * ahead as f64 / slots.max(1) as f64
    }

    /// Whether a request that arrives now is expected to wait too long or to miss its deadline.
    pub fn should_refuse(&self, now: Millis, deadline: Millis, caller: u64, slots: usize) -> bool {
        let wait_ms = self.expected_wait_ms(caller, slots);
        let remaining_ms = deadline.since(now) as f64;
        // An empty queue always admits, so that new samples can correct an average service time
        // that is too long.
        !self.is_empty()
            && (wait_ms > self.limits.max_wait_ms as f64
                || WAIT_MARGIN * wait_ms + self.service_time_ms() > remaining_ms)
    }

    /// Adds a request. If the queue is then too long, removes the newest request of the caller with
    /// the most waiting requests and returns it, to be refused.
    pub fn push(&mut self, queued: QueuedRequest) -> Option<QueuedRequest> {
        self.append(queued);
        if self.length <= self.limits.max_queued {
            return None;
        }
        let longest = self
            .callers
            .iter()
            .max_by_key(|(caller, queue)| (queue.requests.len(), **caller))
            .map(|(caller, _)| *caller)?;
        let dropped = self.callers.get_mut(&longest)?.requests.pop_back();
        self.length -= usize::from(dropped.is_some());
        self.remove_if_empty(longest);
        dropped
    }

    /// Removes and returns the next request in deficit round robin order.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        loop {
            let caller = *self.active_callers.front()?;
            let queue = self.callers.get_mut(&caller)?;
            let cost = queue.requests.front()?.cost;
            if queue.deficit < cost {
                queue.deficit += QUANTUM;
                self.active_callers.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            let queued = queue.requests.pop_front();
            self.length -= 1;
            self.remove_if_empty(caller);
            return queued;
        }
    }

    /// Removes a request of `caller`, if it is queued.
    pub fn remove(&mut self, caller: u64, key: RequestKey) {
        let Some(queue) = self.callers.get_mut(&caller) else {
            return;
        };
        let before = queue.requests.len();
        queue.requests.retain(|queued| queued.key != key);
        self.length -= before - queue.requests.len();
        self.remove_if_empty(caller);
    }

    /// The value of `Retry-After` in seconds: 1, plus the expected time until the queue is empty
    /// (at most 60), plus a random part so that refused callers do not return together.
    pub fn retry_after_s(&self, rng: &mut Pcg64Mcg, slots: usize) -> u32 {
        let backlog_ms = self.service_time_ms() * self.length as f64 / slots.max(1) as f64;
        let wait_s = (backlog_ms / 1000.0).ceil().min(60.0) as u32;
        1 + wait_s + rng.random_range(0..=RETRY_AFTER_JITTER_S)
    }

    fn append(&mut self, queued: QueuedRequest) {
        let queue = self.callers.entry(queued.caller).or_default();
        if queue.requests.is_empty() {
            self.active_callers.push_back(queued.caller);
        }
        queue.requests.push_back(queued);
        self.length += 1;
    }

    fn remove_if_empty(&mut self, caller: u64) {
        let empty = self
            .callers
            .get(&caller)
            .is_some_and(|queue| queue.requests.is_empty());
        if empty {
            self.callers.remove(&caller);
            self.active_callers.retain(|active| *active != caller);
        }
    }
}
