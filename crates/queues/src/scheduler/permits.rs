//! Dispatch of permit requests to the placement policy.
//!
//! The policy decides which workers may run a step. It processes one request at a time for each
//! policy client, so requests are spread over the clients. Requests that take long must not occupy
//! all clients, since short jobs would wait behind them. A denial is permanent. An approval
//! expires, but a valid permit is needed only when a task starts.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use sapphirepost_types::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::StepKey;
use crate::scheduler::Action;
use crate::scheduler::Scheduler;
use crate::scheduler::gangs::Hold;
use crate::scheduler::placement_counts::RequestCause;
use crate::scheduler::placement_counts::VisitKind;
use crate::scheduler::policy_clients::CLIENTS_FOR_SHORT;
use crate::scheduler::policy_clients::PolicyClients;
use crate::scheduler::ranking::Rank;
use crate::scheduler::step_permits::PermitNeed;
use crate::scheduler::steps::StepView;
use crate::scheduler::workers::WorkerIndex;

/// A request that is expected to take longer than this counts as long.
const LONG_REQUEST_MS: u64 = 60;
/// The number of low bits of a request ID that count the requests of one leader; the other bits
/// hold the term.
const REQUEST_ID_BITS: u32 = 32;
/// Added to the expected time of a request for its timeout, and once more before the request is
/// given up.
const REQUEST_SLACK_MS: u64 = 1_500;

/// A needed request is overdue if no policy client has taken it for this long.
const OVERDUE_MS: u64 = 2_000;
/// After this many long requests in the order of the steps' ranks, one goes to the overdue step
/// that has waited longest. Without it, steps that ask again and again, for instance about workers
/// that keep being replaced, would leave no policy client to the steps behind them.
const LONG_IN_RANK_ORDER_MAX: u32 = 2;

/// The shortest time between two comparisons of all needed requests.
const DISPATCH_INTERVAL_MS: u64 = 4;

/// How long after the expected answer to a request a gang still holds the workers of its members.
const HOLD_SLACK_MS: u64 = 200;

/// A request for permits of a step on some workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// The ID of the request, unique among those of all leaders.
    pub id: u64,
    /// The step that the permits are for.
    pub step: StepKey,
    /// The IDs of the workers that the permits are requested for.
    pub workers: Vec<Arc<str>>,
    /// How long the placement policy may take to answer.
    pub timeout_ms: u64,
}

/// The answer that a policy client delivers for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitAnswer {
    /// The ID of the request.
    pub id: u64,
    /// What the placement policy answered, if anything.
    pub outcome: PermitOutcome,
}

/// The outcome of a permit request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitOutcome {
    /// The allowed workers with their permits; the other workers of the request are denied.
    Allowed(Vec<(Arc<str>, Arc<str>)>),
    /// The policy is overloaded.
    Busy,
    /// The policy refuses the request, and would refuse the same one again.
    Refused,
    /// There was no answer, or none that could be decoded.
    Unanswered,
}

/// The workers of the next request of a step.
struct RequestedWorkers {
    /// The workers to name.
    workers: Vec<WorkerIndex>,
    /// For a gang that has room, one worker for each member.
    members: Vec<WorkerIndex>,
    is_renewal: bool,
}

/// A request that is not answered yet.
#[derive(Debug)]
struct OutstandingRequest {
    step: StepKey,
    workers: Vec<WorkerIndex>,
    client: Arc<str>,
    is_long: bool,
    dispatched_at: Millis,
    /// How long the policy is expected to take.
    expected_ms: u64,
    expires_at: Millis,
}

/// The request that an answer belongs to, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredPermitRequest {
    /// The step that the permits are for.
    pub step: StepKey,
    /// The policy client that passed the request on.
    pub client: Arc<str>,
    /// The number of workers that the request named.
    pub workers: usize,
    /// Time from the dispatch of the request to its answer.
    pub took_ms: u64,
    /// The expected time, by the permit cost of the queue.
    pub expected_ms: u64,
}

/// The policy clients and the unanswered requests.
#[derive(Debug, Default)]
pub struct PermitDispatcher {
    clients: PolicyClients,
    outstanding: FxHashMap<u64, OutstandingRequest>,
    last_id: u64,
    /// Long requests in the order of ranks since the last one of an overdue step.
    long_in_rank_order: u32,
    /// Whether a request may have become possible since the last dispatch.
    pub(crate) is_dispatch_due: bool,
    /// When the needed requests were last compared.
    dispatched_at: Millis,
}

impl PermitDispatcher {
    /// A dispatcher without requests. The IDs of different leaders differ, since an answer may
    /// reach a later leader than the one that made the request.
    pub(crate) fn new(term: u64) -> PermitDispatcher {
        PermitDispatcher {
            last_id: term << REQUEST_ID_BITS,
            ..PermitDispatcher::default()
        }
    }

    /// Whether the needed requests are to be compared now. If so, the caller does that.
    pub(crate) fn take_due(&mut self, now: Millis) -> bool {
        let is_due = self.is_dispatch_due && now.since(self.dispatched_at) >= DISPATCH_INTERVAL_MS;
        self.is_dispatch_due &= !is_due;
        is_due
    }

    pub(crate) fn forget(&mut self, step: StepKey) {
        self.outstanding
            .retain(|_, outstanding| outstanding.step != step);
    }

    fn long_outstanding(&self) -> usize {
        self.outstanding
            .values()
            .filter(|outstanding| outstanding.is_long)
            .count()
    }
}

impl Scheduler {
    /// Records that a policy client waits for a request.
    pub fn policy_client_waits(&mut self, client: &Arc<str>, now: Millis) {
        self.dispatcher.clients.start_waiting(client, now);
        self.dispatcher.is_dispatch_due = true;
    }

    /// Records that a policy client no longer waits. It may still answer a request that it already
    /// has.
    pub fn policy_client_gone(&mut self, client: &str) {
        self.dispatcher.clients.stop_waiting(client);
    }

    /// Handles the answer that a policy client delivers. Returns the request; `None` if it was
    /// given up, its step has ended, or an earlier leader made it.
    pub fn handle_permit_answer(
        &mut self,
        answer: &PermitAnswer,
        now: Millis,
    ) -> Option<AnsweredPermitRequest> {
        let outstanding = self.dispatcher.outstanding.remove(&answer.id)?;
        self.rounds.is_due = true;
        let took_ms = now.since(outstanding.dispatched_at);
        let delay_ms = took_ms.saturating_sub(outstanding.expected_ms);
        self.dispatcher
            .clients
            .record_delay(&outstanding.client, delay_ms);
        let answered = AnsweredPermitRequest {
            step: outstanding.step,
            client: outstanding.client.clone(),
            workers: outstanding.workers.len(),
            took_ms,
            expected_ms: outstanding.expected_ms,
        };
        self.answered_steps.push(outstanding.step);
        self.record_answer(outstanding, answer, now);
        Some(answered)
    }

    fn record_answer(
        &mut self,
        outstanding: OutstandingRequest,
        answer: &PermitAnswer,
        now: Millis,
    ) {
        let Some(view) = self.steps.get_mut(&outstanding.step) else {
            return;
        };
        view.permits.end_request();
        view.tried = None;
        view.renewal_due = None;
        let is_repeated = view.permits.note_answer();
        let counts = &mut self.tally.counts;
        counts.answers += 1;
        counts.repeated_answers += u64::from(is_repeated);
        let allowed = match &answer.outcome {
            PermitOutcome::Allowed(allowed) => allowed,
            PermitOutcome::Refused => {
                self.counts.refused_permit_requests += 1;
                return view.permits.refused(&outstanding.workers, now);
            }
            PermitOutcome::Busy => {
                return view.permits.busy(&outstanding.workers, now);
            }
            PermitOutcome::Unanswered => {
                return view.permits.unanswered(&outstanding.workers, now);
            }
        };
        view.permits.answered();
        // An answer that took longer may have been delayed after the policy issued the permits.
        let issued = now.min(outstanding.dispatched_at + outstanding.expected_ms);
        let known = allowed
            .iter()
            .filter_map(|(id, token)| Some((self.workers.index(id)?, token)));
        let mut known: Vec<(WorkerIndex, &Arc<str>)> = known.collect();
        known.sort_by_key(|(index, _)| *index);
        known.dedup_by_key(|(index, _)| *index);
        for index in outstanding.workers {
            if self.workers.get(index).is_none() {
                continue;
            }
            match known.binary_search_by_key(&index, |(index, _)| *index) {
                Ok(position) => {
                    let token = known[position].1.clone();
                    let is_renewed = view.permits.allow(index, token, issued);
                    counts.permits += 1;
                    counts.renewed_permits += u64::from(is_renewed);
                }
                Err(_) => {
                    view.permits.deny(index);
                }
            }
        }
    }

    /// The last permit of a step on a worker.
    pub(crate) fn permit(&self, step: StepKey, worker: WorkerIndex) -> Option<Arc<str>> {
        self.steps.get(&step)?.permits.token(worker)
    }

    /// Marks the permit of a step as unusable after a worker has rejected it.
    pub(crate) fn invalidate_permit(&mut self, step: StepKey, worker: WorkerIndex) {
        if let Some(view) = self.steps.get_mut(&step) {
            view.permits.invalidate(worker);
            view.renewal_due = None;
        }
    }

    /// Gives up requests that are overdue, and forgets policy clients that have been silent for
    /// long.
    pub(crate) fn tick_permits(&mut self, now: Millis) {
        let overdue: Vec<u64> = self
            .dispatcher
            .outstanding
            .iter()
            .filter(|(_, outstanding)| outstanding.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            let Some(outstanding) = self.dispatcher.outstanding.remove(&id) else {
                continue;
            };
            self.dispatcher.clients.pause(&outstanding.client, now);
            if let Some(view) = self.steps.get_mut(&outstanding.step) {
                view.permits.end_request();
                view.tried = None;
                view.renewal_due = None;
                view.permits.unanswered(&outstanding.workers, now);
            }
            self.rounds.is_due = true;
        }
        self.dispatcher.clients.forget_silent(now);
    }

    /// Sends the needed requests to waiting policy clients: short requests first, then long ones,
    /// each in the order of the steps' ranks, except that overdue long requests have a share.
    pub(crate) fn dispatch_requests(&mut self, now: Millis) {
        if self.dispatcher.clients.next(false, now).is_none() {
            return;
        }
        self.dispatcher.dispatched_at = now;
        let pending = self.pending_steps.iter();
        let pending = pending.filter_map(|key| self.steps.get(key));
        let candidates = pending.filter(|view| {
            let needs_request = !view.is_settled() && view.permits.next_need().is_some();
            needs_request && !self.is_at_quota(view)
        });
        self.count_visits(VisitKind::Round, self.pending_steps.len());
        let mut candidates: Vec<(bool, Rank)> = candidates
            .map(|view| (self.is_long(view), Rank::of(view, now)))
            .collect();
        candidates.sort_unstable();
        candidates.dedup();
        let first_long = candidates.partition_point(|(is_long, _)| !is_long);
        let keys: Vec<StepKey> = candidates.iter().map(|(_, rank)| rank.key).collect();
        let (short, long) = keys.split_at(first_long);
        for step in short {
            let Some(client) = self.dispatcher.clients.next(false, now) else {
                return;
            };
            self.send_request(*step, client, false, now);
        }
        self.dispatch_long_requests(long, now);
    }

    /// Sends the long requests of steps in the order of their ranks.
    fn dispatch_long_requests(&mut self, ranked: &[StepKey], now: Millis) {
        let overdue = self.overdue_steps(ranked, now);
        let (mut ranked, mut overdue) = (ranked.iter(), overdue.iter());
        let total = self.dispatcher.clients.len();
        let long_max = total.saturating_sub(CLIENTS_FOR_SHORT).max(1);
        while self.dispatcher.long_outstanding() < long_max {
            let Some(client) = self.dispatcher.clients.next(true, now) else {
                return;
            };
            let is_overdue_due = self.dispatcher.long_in_rank_order >= LONG_IN_RANK_ORDER_MAX;
            let overdue_step = is_overdue_due.then(|| overdue.next()).flatten();
            let Some(step) = overdue_step.or_else(|| ranked.next()) else {
                return;
            };
            if self.send_request(*step, client, true, now) {
                let in_rank_order = &mut self.dispatcher.long_in_rank_order;
                *in_rank_order = match overdue_step {
                    Some(_) => 0,
                    None => in_rank_order.saturating_add(1),
                };
            }
        }
    }

    /// The steps whose requests are overdue, those that have waited longest first.
    fn overdue_steps(&self, steps: &[StepKey], now: Millis) -> Vec<StepKey> {
        let needed = steps.iter().filter_map(|step| {
            let since = self.steps.get(step)?.permits.needed_since()?;
            (now.since(since) >= OVERDUE_MS).then_some((since, *step))
        });
        let mut overdue: Vec<(Millis, StepKey)> = needed.collect();
        overdue.sort_unstable();
        overdue.into_iter().map(|(_, step)| step).collect()
    }

    fn is_long(&self, view: &StepView) -> bool {
        let workers = match view.permits.next_need() {
            Some(PermitNeed::Renewal { workers, .. }) => {
                workers.len().min(view.permits.request_size_max())
            }
            _ => self.request_size(view),
        };
        let cost = view.queue.permits;
        cost.is_some_and(|cost| cost.total_ms(workers) > LONG_REQUEST_MS)
    }

    /// Takes the next need of a step and returns the workers to name in the request; `None` if no
    /// request is needed or no worker is left.
    fn take_need(&mut self, step: StepKey, now: Millis) -> Option<RequestedWorkers> {
        let need = self.steps.get_mut(&step)?.permits.take_need()?;
        let view = self.steps.get(&step)?;
        let is_renewal = matches!(need, PermitNeed::Renewal { .. });
        let (mut workers, members) = match need {
            PermitNeed::Renewal { workers, members } => (workers, members),
            PermitNeed::More => (self.workers_for_request(view, now), Vec::new()),
        };
        workers.retain(|worker| view.permits.may_include(*worker, now));
        workers.truncate(view.permits.request_size_max());
        let requested = RequestedWorkers {
            workers,
            members,
            is_renewal,
        };
        (!requested.workers.is_empty()).then_some(requested)
    }

    /// Sends the next request of a step. Returns whether there was one.
    fn send_request(
        &mut self,
        step: StepKey,
        client: Arc<str>,
        is_long: bool,
        now: Millis,
    ) -> bool {
        let Some(requested) = self.take_need(step, now) else {
            return false;
        };
        let RequestedWorkers {
            workers,
            members,
            is_renewal,
        } = requested;
        let view = self.steps.get(&step);
        let may_hold = view.is_some_and(|view| !self.yields_to_shares(view));
        let Some(view) = self.steps.get_mut(&step) else {
            return false;
        };
        let Some(cost) = view.queue.permits else {
            return false;
        };
        let expected_ms = cost.total_ms(workers.len());
        let timeout_ms = expected_ms + REQUEST_SLACK_MS;
        let cause = match is_renewal {
            true => RequestCause::Renewal,
            false if view.permits.is_empty() => RequestCause::First,
            false => RequestCause::Further,
        };
        let counts = &mut self.tally.counts;
        counts.requests[cause as usize] += 1;
        counts.requested_workers[cause as usize] += workers.len() as u64;
        self.dispatcher.last_id += 1;
        let id = self.dispatcher.last_id;
        view.permits.begin_request(id, is_renewal, now);
        if may_hold && !members.is_empty() {
            let until = now + expected_ms + HOLD_SLACK_MS;
            view.hold = Hold {
                workers: members,
                until,
            };
        }
        let known = workers.iter().filter_map(|index| self.workers.get(*index));
        let request = PermitRequest {
            id,
            step,
            workers: known.map(|worker| worker.record.id.clone()).collect(),
            timeout_ms,
        };
        self.dispatcher.clients.assign(&client, now + timeout_ms);
        let outstanding = OutstandingRequest {
            step,
            workers,
            client: client.clone(),
            is_long,
            dispatched_at: now,
            expected_ms,
            expires_at: now + timeout_ms + REQUEST_SLACK_MS,
        };
        self.dispatcher.outstanding.insert(id, outstanding);
        self.counts.permit_requests += 1;
        self.actions
            .push(Action::RequestPermits { client, request });
        true
    }
}
