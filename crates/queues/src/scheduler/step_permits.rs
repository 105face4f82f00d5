//! What is known of the permits of one step, and what to ask next.

use std::collections::BTreeMap;
use std::sync::Arc;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::Millis;

use crate::scheduler::workers::WorkerIndex;

/// A permit is not used in the last part of its life, since commit and order take time.
const PERMIT_MARGIN_MS: u64 = 350;
/// Workers that a question names at most.
const WORKERS_PER_QUESTION_MAX: usize = 100;
/// The pause after the policy refused a question for load.
const BUSY_PAUSE_MS: u64 = 200;
/// The pause after a question that was refused or not answered.
const RETRY_PAUSE_MS: u64 = 50;
/// A worker about which the policy refuses to answer is not named again for this long.
const REFUSED_WORKER_PAUSE_MS: u64 = 5_000;
/// Questions without a usable answer in a row after which the next one names fewer workers.
const FAILURES_MAX: u32 = 3;

/// What is known of the permits of one step.
#[derive(Debug)]
pub struct StepPermits {
    allowed: BTreeMap<WorkerIndex, Permit>,
    denied: FxHashSet<WorkerIndex>,
    /// Workers about which a question was refused, and until when they are not named again.
    refused: FxHashMap<WorkerIndex, Millis>,
    /// Workers that the next question may name.
    question_max: usize,
    /// Questions in a row that the policy neither answered nor refused.
    failures: u32,
    /// The question that is under way.
    question: Option<u64>,
    /// What to ask next.
    wanted: Option<Wanted>,
    /// No question before this time.
    paused_until: Millis,
}

/// What a step wants to ask the policy. The workers of a new question are chosen when a caller
/// takes it, since room changes while it waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Fresh permits on workers that are known to be allowed.
    Renewal(Vec<WorkerIndex>),
    /// Permits on further workers.
    More,
}

#[derive(Debug)]
struct Permit {
    ticket: Arc<str>,
    obtained: Millis,
    is_void: bool,
}

/// Whether a step may start on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Granted,
    /// It may, with a fresh permit.
    Expired,
    /// It may not, or the policy does not answer about the worker at present.
    Denied,
    /// Nobody has asked.
    Unknown,
}

impl Default for StepPermits {
    fn default() -> StepPermits {
        StepPermits {
            allowed: BTreeMap::new(),
            denied: FxHashSet::default(),
            refused: FxHashMap::default(),
            question_max: WORKERS_PER_QUESTION_MAX,
            failures: 0,
            question: None,
            wanted: None,
            paused_until: Millis::ZERO,
        }
    }
}

impl StepPermits {
    /// Whether the step may start on a worker.
    pub fn of(&self, worker: WorkerIndex, valid_ms: u64, now: Millis) -> Permission {
        if let Some(permit) = self.allowed.get(&worker) {
            let usable_ms = valid_ms.saturating_sub(PERMIT_MARGIN_MS);
            let is_fresh = !permit.is_void && now.since(permit.obtained) < usable_ms;
            if is_fresh {
                return Permission::Granted;
            }
        }
        if self.denied.contains(&worker) || !self.may_name(worker, now) {
            return Permission::Denied;
        }
        if self.allowed.contains_key(&worker) {
            return Permission::Expired;
        }
        Permission::Unknown
    }

    /// Asks the policy, unless a question is under way.
    pub fn want(&mut self, wanted: Wanted, now: Millis) {
        if self.question.is_none() && now >= self.paused_until {
            self.wanted = Some(wanted);
        }
    }

    /// The workers on which the step may start, in order.
    pub fn allowed(&self) -> impl Iterator<Item = WorkerIndex> {
        self.allowed.keys().copied()
    }

    /// Whether a question is under way.
    pub fn is_asking(&self) -> bool {
        self.question.is_some()
    }

    /// How many workers a question may name.
    pub fn question_max(&self) -> usize {
        self.question_max
    }

    /// Whether a question may name a worker.
    pub fn may_name(&self, worker: WorkerIndex, now: Millis) -> bool {
        let refused_until = self.refused.get(&worker);
        refused_until.is_none_or(|until| *until <= now)
    }

    /// The policy refused a question about these workers. The next one names half as many, since a
    /// repeated question would be refused for ever; a worker that is refused alone is left out.
    pub fn refused(&mut self, workers: &[WorkerIndex], now: Millis) {
        self.paused_until = now + RETRY_PAUSE_MS;
        if let [worker] = workers {
            self.refused.insert(*worker, now + REFUSED_WORKER_PAUSE_MS);
            return;
        }
        self.question_max = (workers.len() / 2).max(1);
    }

    /// The policy had too much to do for a question about these workers.
    pub fn busy(&mut self, workers: &[WorkerIndex], now: Millis) {
        self.failed(workers, BUSY_PAUSE_MS, now);
    }

    /// A question about these workers has no answer.
    pub fn unanswered(&mut self, workers: &[WorkerIndex], now: Millis) {
        self.failed(workers, RETRY_PAUSE_MS, now);
    }

    /// A question that fails each time for a reason that may pass is taken for refused.
    fn failed(&mut self, workers: &[WorkerIndex], pause_ms: u64, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.failures = 0;
            self.refused(workers, now);
        }
        self.paused_until = now + pause_ms;
    }

    /// A question was answered, so the next one may name more workers.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.question_max = (2 * self.question_max).min(WORKERS_PER_QUESTION_MAX);
    }

    /// What to ask next, if a question is wanted and none is under way.
    pub fn next_wanted(&self) -> Option<&Wanted> {
        self.wanted.as_ref().filter(|_| self.question.is_none())
    }

    /// Takes what to ask next.
    pub fn take_wanted(&mut self) -> Option<Wanted> {
        self.wanted.take()
    }

    /// A question is under way.
    pub fn begin(&mut self, question: u64) {
        self.question = Some(question);
    }

    /// The question under way is over.
    pub fn end(&mut self) {
        self.question = None;
    }

    /// The policy allows a worker.
    pub fn allow(&mut self, worker: WorkerIndex, ticket: Arc<str>, now: Millis) {
        let permit = Permit {
            ticket,
            obtained: now,
            is_void: false,
        };
        self.allowed.insert(worker, permit);
    }

    /// The policy denies a worker.
    pub fn deny(&mut self, worker: WorkerIndex) {
        self.allowed.remove(&worker);
        self.denied.insert(worker);
    }

    /// The last permit for a worker.
    pub fn ticket(&self, worker: WorkerIndex) -> Option<Arc<str>> {
        Some(self.allowed.get(&worker)?.ticket.clone())
    }

    /// The worker did not take its permit.
    pub fn void(&mut self, worker: WorkerIndex) {
        if let Some(permit) = self.allowed.get_mut(&worker) {
            permit.is_void = true;
        }
    }

    /// Whether nothing was ever asked.
    pub fn is_unasked(&self) -> bool {
        self.allowed.is_empty() && self.denied.is_empty() && self.question.is_none()
    }
}
