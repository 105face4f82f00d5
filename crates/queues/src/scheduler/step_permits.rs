//! The permits of one step and the next request for them.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use sapphirepost_types::Millis;

use crate::scheduler::workers::WorkerIndex;

/// A permit is not used during the last part of its validity, since the commit and the start take
/// time.
const PERMIT_MARGIN_MS: u64 = 350;
/// The largest number of workers that a request names.
const WORKERS_PER_REQUEST_MAX: usize = 100;
/// The pause after the policy was too busy for a request.
const BUSY_PAUSE_MS: u64 = 200;
/// The pause after a request that was refused or not answered.
const RETRY_PAUSE_MS: u64 = 50;
/// How long a worker is left out of requests after a request that named only this worker was
/// refused.
const REFUSED_WORKER_PAUSE_MS: u64 = 5_000;
/// The number of requests that the policy was too busy for or did not answer, without a permit or a
/// denial in between, after which the next one names fewer workers.
const FAILURES_MAX: u32 = 3;

/// The known permits of one step and the state of its requests.
#[derive(Debug)]
pub struct StepPermits {
    /// The last permit for each allowed worker, in the order of their index.
    allowed: Vec<(WorkerIndex, Permit)>,
    denied: FxHashSet<WorkerIndex>,
    /// Workers that are left out of requests, and until when.
    refused: FxHashMap<WorkerIndex, Millis>,
    /// How many workers the next request may name.
    request_size_max: usize,
    /// Requests that the policy was too busy for or did not answer, since it last allowed or denied
    /// workers, or since this count last reached `FAILURES_MAX`.
    failures: u32,
    /// The ID of the unanswered request, if there is one.
    in_flight: Option<u64>,
    /// What to request next, if anything.
    need: Option<PermitNeed>,
    /// Since when a request has been needed that no policy client has taken.
    needed_since: Option<Millis>,
    /// When permits on further workers were last requested.
    further_requested_at: Millis,
    /// No request is made before this time.
    paused_until: Millis,
    /// Whether a request was answered and no task was placed since.
    is_answer_unused: bool,
}

/// What a step needs from the placement policy. The workers of a request for `More` are chosen only
/// when a policy client takes it, since free resources change while the request waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitNeed {
    /// Fresh permits on workers that the policy has allowed before.
    Renewal {
        /// The workers to name.
        workers: Vec<WorkerIndex>,
        /// For a gang that has room, one worker for each member.
        members: Vec<WorkerIndex>,
    },
    /// Permits on further workers.
    More,
}

#[derive(Debug)]
struct Permit {
    token: Arc<str>,
    issued: Millis,
    is_invalidated: bool,
}

/// Whether a step may start on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It has a usable permit.
    Granted,
    /// It is allowed, but needs a fresh permit.
    Expired,
    /// The policy denied the worker, or the worker is left out of requests at present.
    Denied,
    /// No answered request has named the worker.
    Unknown,
}

impl Default for StepPermits {
    fn default() -> StepPermits {
        StepPermits {
            allowed: Vec::new(),
            denied: FxHashSet::default(),
            refused: FxHashMap::default(),
            request_size_max: WORKERS_PER_REQUEST_MAX,
            failures: 0,
            in_flight: None,
            need: None,
            needed_since: None,
            further_requested_at: Millis::ZERO,
            paused_until: Millis::ZERO,
            is_answer_unused: false,
        }
    }
}

impl StepPermits {
    /// Whether the step may start on a worker, given how long its permits are valid.
    pub fn permission(&self, worker: WorkerIndex, valid_ms: u64, now: Millis) -> Permission {
        let permit = self.allowed_permit(worker);
        if let Some(permit) = permit {
            let usable_ms = valid_ms.saturating_sub(PERMIT_MARGIN_MS);
            let is_fresh = !permit.is_invalidated && now.since(permit.issued) < usable_ms;
            if is_fresh {
                return Permission::Granted;
            }
        }
        if self.denied.contains(&worker) || !self.may_include(worker, now) {
            return Permission::Denied;
        }
        match permit {
            Some(_) => Permission::Expired,
            None => Permission::Unknown,
        }
    }

    fn position(&self, worker: WorkerIndex) -> Result<usize, usize> {
        self.allowed
            .binary_search_by_key(&worker, |(index, _)| *index)
    }

    /// The last permit for a worker, which may have expired.
    fn allowed_permit(&self, worker: WorkerIndex) -> Option<&Permit> {
        let position = self.position(worker).ok()?;
        Some(&self.allowed[position].1)
    }

    /// Sets what to request next, unless a request is unanswered or requests are paused.
    pub fn set_need(&mut self, need: PermitNeed, now: Millis) {
        if self.in_flight.is_none() && now >= self.paused_until {
            self.need = Some(need);
            self.needed_since.get_or_insert(now);
        }
    }

    /// Withdraws a request that no policy client has taken.
    pub fn drop_need(&mut self) {
        self.need = None;
        self.needed_since = None;
    }

    /// Whether requests are paused after one that was refused or failed.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// When the permit of a worker becomes unusable, if there is one that has not been rejected.
    pub fn expires(&self, worker: WorkerIndex, valid_ms: u64) -> Option<Millis> {
        let permit = self.allowed_permit(worker)?;
        let usable_ms = valid_ms.saturating_sub(PERMIT_MARGIN_MS);
        (!permit.is_invalidated).then(|| permit.issued + usable_ms)
    }

    /// The workers that the policy has allowed, in the order of their index.
    pub fn allowed(&self) -> impl Iterator<Item = WorkerIndex> {
        self.allowed.iter().map(|(index, _)| *index)
    }

    /// Whether the policy has allowed a worker, also if the permit has expired, or has not been
    /// asked about it while no request is needed or unanswered.
    pub fn may_use_or_ask(&self, worker: WorkerIndex) -> bool {
        let may_ask = self.need.is_none() && self.in_flight.is_none();
        self.position(worker).is_ok() || (may_ask && !self.denied.contains(&worker))
    }

    /// Whether room on any worker is of use: the policy has allowed some, or may be asked.
    pub fn may_use_any(&self) -> bool {
        !self.allowed.is_empty() || (self.need.is_none() && self.in_flight.is_none())
    }

    /// Whether a request is unanswered.
    pub fn has_request(&self) -> bool {
        self.in_flight.is_some()
    }

    /// How many workers a request may name.
    pub fn request_size_max(&self) -> usize {
        self.request_size_max
    }

    /// Whether a request may name a worker.
    pub fn may_include(&self, worker: WorkerIndex, now: Millis) -> bool {
        let refused_until = self.refused.get(&worker);
        refused_until.is_none_or(|until| *until <= now)
    }

    /// Handles a refused request for these workers. The next request names at most half as many,
    /// since the same one would be refused for ever; a worker that is refused alone is left out for
    /// a while.
    pub fn refused(&mut self, workers: &[WorkerIndex], now: Millis) {
        self.paused_until = now + RETRY_PAUSE_MS;
        if let [worker] = workers {
            self.refused.insert(*worker, now + REFUSED_WORKER_PAUSE_MS);
            return;
        }
        self.request_size_max = (workers.len() / 2).max(1);
    }

    /// Handles a request for these workers that the policy was too busy for.
    pub fn busy(&mut self, workers: &[WorkerIndex], now: Millis) {
        self.failed(workers, BUSY_PAUSE_MS, now);
    }

    /// Handles a request for these workers that got no answer.
    pub fn unanswered(&mut self, workers: &[WorkerIndex], now: Millis) {
        self.failed(workers, RETRY_PAUSE_MS, now);
    }

    /// Counts a failure that may be temporary; several in a row are treated like a refusal.
    fn failed(&mut self, workers: &[WorkerIndex], pause_ms: u64, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_MAX {
            self.failures = 0;
            self.refused(workers, now);
        }
        self.paused_until = now + pause_ms;
    }

    /// Handles an answered request: the next one may name more workers.
    pub fn answered(&mut self) {
        self.failures = 0;
        self.request_size_max = (2 * self.request_size_max).min(WORKERS_PER_REQUEST_MAX);
    }

    /// What to request next, if no request is unanswered.
    pub fn next_need(&self) -> Option<&PermitNeed> {
        self.need.as_ref().filter(|_| self.in_flight.is_none())
    }

    /// Since when a request has been needed that no policy client has taken.
    pub fn needed_since(&self) -> Option<Millis> {
        self.needed_since
    }

    /// Takes what to request next.
    pub fn take_need(&mut self) -> Option<PermitNeed> {
        self.needed_since = None;
        self.need.take()
    }

    /// Records the ID of a request that was sent, on further workers or to renew permits.
    pub fn begin_request(&mut self, request: u64, is_renewal: bool, now: Millis) {
        self.in_flight = Some(request);
        if !is_renewal {
            self.further_requested_at = now;
        }
    }

    /// When permits on further workers were last requested; `Millis::ZERO` if never.
    pub fn further_requested_at(&self) -> Millis {
        self.further_requested_at
    }

    /// Records that the request was answered or given up.
    pub fn end_request(&mut self) {
        self.in_flight = None;
    }

    /// Records an answer. Returns whether no task was placed since the answer before.
    pub fn note_answer(&mut self) -> bool {
        std::mem::replace(&mut self.is_answer_unused, true)
    }

    /// Records that a task of the step was placed.
    pub fn note_placement(&mut self) {
        self.is_answer_unused = false;
    }

    /// Whether nothing is known about any worker.
    pub fn is_empty(&self) -> bool {
        self.allowed.is_empty() && self.denied.is_empty()
    }

    /// Stores a permit for a worker that was issued at `issued`, or later. Returns whether there
    /// was an earlier one.
    pub fn allow(&mut self, worker: WorkerIndex, token: Arc<str>, issued: Millis) -> bool {
        let permit = Permit {
            token,
            issued,
            is_invalidated: false,
        };
        match self.position(worker) {
            Ok(position) => {
                self.allowed[position].1 = permit;
                true
            }
            Err(position) => {
                self.allowed.insert(position, (worker, permit));
                false
            }
        }
    }

    /// Marks a worker as denied for good.
    pub fn deny(&mut self, worker: WorkerIndex) {
        if let Ok(position) = self.position(worker) {
            self.allowed.remove(position);
        }
        self.denied.insert(worker);
    }

    /// The last permit for a worker, which may have expired.
    pub fn token(&self, worker: WorkerIndex) -> Option<Arc<str>> {
        Some(self.allowed_permit(worker)?.token.clone())
    }

    /// Marks the permit of a worker as unusable, since the worker has rejected it.
    pub fn invalidate(&mut self, worker: WorkerIndex) {
        if let Ok(position) = self.position(worker) {
            self.allowed[position].1.is_invalidated = true;
        }
    }

    /// Whether nothing is known yet and no request is unanswered.
    pub fn is_unrequested(&self) -> bool {
        self.allowed.is_empty() && self.denied.is_empty() && self.in_flight.is_none()
    }
}
