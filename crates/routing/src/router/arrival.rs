//! Arrival of a request: admission control, the claim, and the queue of its class.

use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;
use smallvec::SmallVec;

use crate::admission::AdmissionQueue;
use crate::admission::QueuedRequest;
use crate::claims::ExistingClaim;
use crate::config::RouterConfig;
use crate::event::Action;
use crate::event::Answer;
use crate::event::CallKey;
use crate::event::ClaimFailure;
use crate::event::NewRequest;
use crate::event::RefusalReason;
use crate::event::RequestKey;
use crate::event::UnknownReason;
use crate::retry::RetryBudget;
use crate::router::Phase;
use crate::router::Request;
use crate::router::Router;
use crate::router::Service;
use crate::timers::Timer;

/// The value of `Retry-After`, in seconds, if the cause is expected to pass soon.
const RETRY_SOON_S: u32 = 1;

impl Service {
    fn new(config: &RouterConfig) -> Service {
        Service {
            queues: RequestClass::ALL.map(|class| AdmissionQueue::new(class, config.limits(class))),
            retry_queue: std::collections::VecDeque::new(),
            retry_budget: RetryBudget::default(),
            general_dispatches: 0,
        }
    }
}

impl Router {
    pub(super) fn arrived(&mut self, now: Millis, params: NewRequest, actions: &mut Vec<Action>) {
        self.stats.arrived += 1;
        let key = params.key;
        let refusal = self.refusal_on_arrival(now, &params);
        let claim = self.claim_for(&params);
        self.timers.schedule(params.deadline, Timer::Deadline(key));
        let request = Request {
            params,
            arrived: now,
            phase: Phase::Claiming,
            granted_claim: None,
            tried_upstreams: SmallVec::new(),
            attempt_count: 0,
            may_have_run: false,
            upstream_refused: false,
        };
        self.requests.insert(key, request);
        if let Some(reason) = refusal {
            self.refuse(now, key, reason, actions);
            return;
        }
        match claim {
            Some(claim) => {
                let timeout_at = now + self.config.claim_timeout_ms;
                self.timers.schedule(timeout_at, Timer::ClaimTimeout(key));
                if let Err(existing) = self.claims.enqueue(key, claim) {
                    self.answer_duplicate(now, key, existing, actions);
                }
            }
            None => self.enqueue(now, key, actions),
        }
    }

    /// Answers a request whose ID is held by another request of this entry.
    fn answer_duplicate(
        &mut self,
        now: Millis,
        key: RequestKey,
        existing: ExistingClaim,
        actions: &mut Vec<Action>,
    ) {
        match existing {
            ExistingClaim::InProgress => {
                let reason = UnknownReason::EarlierRun;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
            }
            // The control processes may not have processed the release of the claim yet.
            ExistingClaim::Ended(ClaimOutcome::NotRun) => {
                self.refuse(now, key, RefusalReason::ClaimUnavailable, actions);
            }
            ExistingClaim::Ended(outcome) => self.answer_ended(now, key, outcome, actions),
            ExistingClaim::Mismatch => self.refuse(now, key, RefusalReason::IdMismatch, actions),
        }
    }

    /// Answers a request with the outcome of an earlier request with the same ID.
    fn answer_ended(
        &mut self,
        now: Millis,
        key: RequestKey,
        outcome: ClaimOutcome,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            ClaimOutcome::Done {
                status,
                content_type,
                body,
            } => {
                let answer = Answer::Recorded {
                    status,
                    content_type,
                    body,
                };
                self.finish(now, key, answer, None, actions);
            }
            ClaimOutcome::NotRun => {
                self.refuse(now, key, RefusalReason::UpstreamRefused, actions);
            }
            ClaimOutcome::Unknown => {
                let reason = UnknownReason::EarlierRun;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
            }
        }
    }

    fn claim_for(&self, params: &NewRequest) -> Option<Claim> {
        let id = params.id.clone()?;
        (!params.idempotent && !self.config.disabled.claims).then(|| Claim {
            service: params.service.clone(),
            request: id,
            digest: params.digest,
            token: 0,
        })
    }

    fn refusal_on_arrival(&mut self, now: Millis, params: &NewRequest) -> Option<RefusalReason> {
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        if now >= params.deadline {
            return Some(RefusalReason::Deadline);
        }
        if self.serving(&params.service).next().is_none() {
            return Some(if self.table.is_known(now) {
                RefusalReason::NoUpstream
            } else {
                RefusalReason::TableUnknown
            });
        }
        let slots = self.slots_for(&params.service, params.class);
        if slots == 0 {
            return Some(RefusalReason::Unreachable);
        }
        let caller = self.caller_of(params);
        let admission_disabled = self.config.disabled.admission;
        let service = self.service(&params.service);
        service.retry_budget.deposit();
        let queue = &service.queues[params.class as usize];
        (!admission_disabled && queue.should_refuse(now, params.deadline, caller, slots))
            .then_some(RefusalReason::Overload)
    }

    pub(super) fn caller_of(&self, params: &NewRequest) -> u64 {
        if self.config.disabled.fairness {
            0
        } else {
            params.caller
        }
    }

    pub(super) fn service(&mut self, name: &Name) -> &mut Service {
        // The name is cloned only for a new service; this runs for every request.
        if !self.services.contains_key(name) {
            self.services
                .insert(name.clone(), Service::new(&self.config));
        }
        self.services
            .get_mut(name)
            .expect("the service was inserted above")
    }

    fn enqueue(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.phase = Phase::Queued;
        let name = request.params.service.clone();
        let class = request.params.class;
        let arrived = request.arrived;
        let body_bytes = request.params.body_bytes;
        let caller = self.caller_of(&self.requests[&key].params);
        let queued = QueuedRequest::new(key, arrived, caller, body_bytes);
        let dropped = self.service(&name).queues[class as usize].push(queued);
        if let Some(dropped) = dropped {
            self.refuse(now, dropped.key, RefusalReason::Overload, actions);
        }
        self.dispatch(now, &name, actions);
    }

    pub(super) fn claim_answered(
        &mut self,
        now: Millis,
        call: CallKey,
        result: Result<Vec<ClaimVerdict>, ClaimFailure>,
        actions: &mut Vec<Action>,
    ) {
        for (key, claim, verdict) in self.claims.call_ended(call, result) {
            let is_claiming = self
                .requests
                .get(&key)
                .is_some_and(|request| request.phase == Phase::Claiming);
            if is_claiming {
                self.apply_verdict(now, key, claim, verdict, actions);
            } else if may_be_granted(&verdict) {
                self.release_claim(&claim);
            } else {
                self.claims.forget(&claim);
            }
        }
    }

    fn apply_verdict(
        &mut self,
        now: Millis,
        key: RequestKey,
        claim: Claim,
        verdict: Result<ClaimVerdict, ClaimFailure>,
        actions: &mut Vec<Action>,
    ) {
        if !may_be_granted(&verdict) {
            self.claims.forget(&claim);
        }
        let verdict = match verdict {
            Ok(verdict) => verdict,
            Err(failure) => {
                if failure == ClaimFailure::Unknown {
                    self.release_claim(&claim);
                }
                self.refuse(now, key, RefusalReason::ClaimUnavailable, actions);
                return;
            }
        };
        match verdict {
            ClaimVerdict::Granted => self.granted(now, key, claim, actions),
            ClaimVerdict::Ended(outcome) => self.answer_ended(now, key, outcome, actions),
            ClaimVerdict::InProgress => {
                let reason = UnknownReason::EarlierRun;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
            }
            ClaimVerdict::Full => self.refuse(now, key, RefusalReason::Overload, actions),
            ClaimVerdict::TooOld => self.refuse(now, key, RefusalReason::IdTooOld, actions),
            ClaimVerdict::TooNew => self.refuse(now, key, RefusalReason::IdTooNew, actions),
            ClaimVerdict::Mismatch => self.refuse(now, key, RefusalReason::IdMismatch, actions),
        }
    }

    fn granted(&mut self, now: Millis, key: RequestKey, claim: Claim, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.granted_claim = Some(claim);
        // The deadline may have passed since the claim was granted, for instance if this process
        // was paused.
        if now >= request.params.deadline && !self.config.disabled.deadline_check {
            self.refuse(now, key, RefusalReason::Deadline, actions);
            return;
        }
        self.enqueue(now, key, actions);
    }

    pub(super) fn release_claim(&mut self, claim: &Claim) {
        if self.config.disabled.claim_release {
            self.claims.forget(claim);
        } else {
            self.claims.report_outcome(claim, ClaimOutcome::NotRun);
        }
    }

    pub(super) fn claim_timeout(
        &mut self,
        now: Millis,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let is_claiming = self
            .requests
            .get(&key)
            .is_some_and(|request| request.phase == Phase::Claiming);
        if is_claiming {
            self.claims.cancel(key);
            self.refuse(now, key, RefusalReason::ClaimUnavailable, actions);
        }
    }

    pub(super) fn retry_after_s(&mut self, key: RequestKey, reason: RefusalReason) -> Option<u32> {
        match reason {
            RefusalReason::IdTooOld | RefusalReason::IdTooNew | RefusalReason::IdMismatch => {
                return None;
            }
            RefusalReason::TableUnknown => return Some(RETRY_SOON_S),
            _ => {}
        }
        let params = &self.requests.get(&key)?.params;
        let class = params.class;
        let name = params.service.clone();
        let slots = self.slots_for(&name, class);
        match self.services.get(&name) {
            Some(service) => {
                Some(service.queues[class as usize].retry_after_s(&mut self.rng, slots))
            }
            None => Some(RETRY_SOON_S),
        }
    }
}

fn may_be_granted(verdict: &Result<ClaimVerdict, ClaimFailure>) -> bool {
    matches!(
        verdict,
        Ok(ClaimVerdict::Granted) | Err(ClaimFailure::Unknown)
    )
}
