//! Queues of one service, one per class.
//!
//! A request is admitted only if its expected wait is within the limit of its class and leaves
//! time to finish before its deadline. Callers are served in turn by deficit round robin, so a
//! caller that floods waits behind its own requests only.

use std::collections::VecDeque;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use sapphirepost_types::RequestClass;

use crate::config::ClassLimits;
use crate::event::RequestKey;

/// Body bytes that cost as much as one request.
const BYTES_PER_COST: u32 = 16 * 1024;
/// What a caller may take in one turn.
const QUANTUM: u32 = 4;
/// The weight of a new service time in the average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// A service time below this is not distinguished, because the clock has milliseconds.
const SERVICE_TIME_FLOOR_MS: f64 = 0.5;
/// The expected wait may turn out this many times longer. Without a margin, admitted requests end
/// at their deadline in an upstream and take the slots of those that would have finished.
const WAIT_MARGIN: f64 = 2.0;
/// The spread of `Retry-After` beyond the expected wait.
const RETRY_SPREAD_S: u32 = 3;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queued {
    /// The request.
    pub key: RequestKey,
    /// When it arrived.
    pub arrived: Millis,
    /// Its caller.
    pub caller: u64,
    /// Its cost in the round robin.
    pub cost: u32,
}

impl Queued {
    /// A request of a caller with a body of `body_bytes`.
    pub fn new(key: RequestKey, arrived: Millis, caller: u64, body_bytes: u32) -> Queued {
        Queued {
            key,
            arrived,
            caller,
            cost: 1 + body_bytes / BYTES_PER_COST,
        }
    }
}

#[derive(Debug, Default)]
struct CallerQueue {
    requests: VecDeque<Queued>,
    deficit: u32,
}

/// The queue of one class.
#[derive(Debug)]
pub struct Admission {
    class: RequestClass,
    limits: ClassLimits,
    callers: FxHashMap<u64, CallerQueue>,
    turns: VecDeque<u64>,
    length: usize,
    service_time_ms: Option<f64>,
}

impl Admission {
    /// An empty queue.
    pub fn new(class: RequestClass, limits: ClassLimits) -> Admission {
        Admission {
            class,
            limits,
            callers: FxHashMap::default(),
            turns: VecDeque::new(),
            length: 0,
            service_time_ms: None,
        }
    }

    /// The class of the queue.
    pub fn class(&self) -> RequestClass {
        self.class
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Notes how long an upstream took for a request.
    pub fn served(&mut self, took_ms: u64) {
        let sample = (took_ms as f64).max(SERVICE_TIME_FLOOR_MS);
        self.service_time_ms = Some(match self.service_time_ms {
            Some(old) => old + SERVICE_TIME_WEIGHT * (sample - old),
            None => sample,
        });
    }

    /// The average time that upstreams take; 0 before the first response.
    pub fn service_time_ms(&self) -> f64 {
        self.service_time_ms.unwrap_or(0.0)
    }

    /// The expected wait of a new request of `caller` when `slots` serve this class.
    pub fn expected_wait_ms(&self, caller: u64, slots: usize) -> f64 {
        let own = self
            .callers
            .get(&caller)
            .map_or(0, |queue| queue.requests.len());
        let active = self.turns.len() + usize::from(own == 0);
        let ahead = self.length.min((own + 1) * active);
        self.service_time_ms() * ahead as f64 / slots.max(1) as f64
    }

    /// Whether a request that arrives now would wait too long or miss its deadline.
    pub fn is_hopeless(&self, now: Millis, deadline: Millis, caller: u64, slots: usize) -> bool {
        let wait_ms = self.expected_wait_ms(caller, slots);
        let left_ms = deadline.since(now) as f64;
        // An empty queue always admits, so that a service time that was measured too long is
        // corrected by new samples.
        !self.is_empty()
            && (wait_ms > self.limits.max_wait_ms as f64
                || WAIT_MARGIN * wait_ms + self.service_time_ms() > left_ms)
    }

    /// Adds a request. If the queue is full, the newest request of the caller with the most
    /// waiting requests is returned, to be refused.
    pub fn push(&mut self, queued: Queued) -> Option<Queued> {
        self.add(queued);
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
        self.drop_empty(longest);
        dropped
    }

    /// Takes the next request out.
    pub fn pop(&mut self) -> Option<Queued> {
        loop {
            let caller = *self.turns.front()?;
            let queue = self.callers.get_mut(&caller)?;
            let cost = queue.requests.front()?.cost;
            if queue.deficit < cost {
                queue.deficit += QUANTUM;
                self.turns.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            let queued = queue.requests.pop_front();
            self.length -= 1;
            self.drop_empty(caller);
            return queued;
        }
    }

    /// Takes a request of `caller` out.
    pub fn remove(&mut self, caller: u64, key: RequestKey) {
        let Some(queue) = self.callers.get_mut(&caller) else {
            return;
        };
        let before = queue.requests.len();
        queue.requests.retain(|queued| queued.key != key);
        self.length -= before - queue.requests.len();
        self.drop_empty(caller);
    }

    /// The value of `Retry-After` in seconds, drawn at random so that refused callers do not
    /// return together.
    pub fn retry_after_s(&self, rng: &mut Pcg64Mcg, slots: usize) -> u32 {
        let backlog_ms = self.service_time_ms() * self.length as f64 / slots.max(1) as f64;
        let wait_s = (backlog_ms / 1000.0).ceil().min(60.0) as u32;
        1 + wait_s + rng.random_range(0..=RETRY_SPREAD_S)
    }

    fn add(&mut self, queued: Queued) {
        let queue = self.callers.entry(queued.caller).or_default();
        if queue.requests.is_empty() {
            self.turns.push_back(queued.caller);
        }
        queue.requests.push_back(queued);
        self.length += 1;
    }

    fn drop_empty(&mut self, caller: u64) {
        let empty = self
            .callers
            .get(&caller)
            .is_some_and(|queue| queue.requests.is_empty());
        if empty {
            self.callers.remove(&caller);
            self.turns.retain(|turn| *turn != caller);
        }
    }
}
