//! From the arrival of a request to its queue: admission and the claim.

use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;
use smallvec::SmallVec;

use crate::admission::Admission;
use crate::admission::Queued;
use crate::claims::Held;
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

/// Seconds in `Retry-After` where the cause is expected to pass soon.
const RETRY_SOON_S: u32 = 1;

impl Service {
    fn new(config: &RouterConfig) -> Service {
        Service {
            queues: RequestClass::ALL.map(|class| Admission::new(class, config.limits(class))),
            retries: std::collections::VecDeque::new(),
            budget: RetryBudget::default(),
            turn: 0,
        }
    }
}

impl Router {
    pub(super) fn arrived(&mut self, now: Millis, new: NewRequest, actions: &mut Vec<Action>) {
        self.stats.arrived += 1;
        let key = new.key;
        let refusal = self.refusal_on_arrival(now, &new);
        let claim = self.claim_of(&new);
        self.timers.set(new.deadline, Timer::Deadline(key));
        let request = Request {
            new,
            arrived: now,
            phase: Phase::Claiming,
            granted: None,
            tried: SmallVec::new(),
            tries: 0,
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
                let wait_over = now + self.config.claim_timeout_ms;
                self.timers.set(wait_over, Timer::ClaimWait(key));
                if let Err(held) = self.claims.ask(key, claim) {
                    self.held_already(now, key, held, actions);
                }
            }
            None => self.enqueue(now, key, actions),
        }
    }

    /// Another request with the same ID is under way at this entry.
    fn held_already(
        &mut self,
        now: Millis,
        key: RequestKey,
        held: Held,
        actions: &mut Vec<Action>,
    ) {
        match held {
            Held::InProgress => {
                let reason = UnknownReason::EarlierRun;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
            }
            // The record of the group may still hold the claim that is being given back.
            Held::Ended(ClaimOutcome::NotRun) => {
                self.refuse(now, key, RefusalReason::ClaimUnavailable, actions);
            }
            Held::Ended(outcome) => self.ended_before(now, key, outcome, actions),
            Held::Mismatch => self.refuse(now, key, RefusalReason::IdMismatch, actions),
        }
    }

    /// An earlier request with the same ID has ended.
    fn ended_before(
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

    fn claim_of(&self, new: &NewRequest) -> Option<Claim> {
        let id = new.id.clone()?;
        (!new.idempotent && !self.config.without.claims).then(|| Claim {
            service: new.service.clone(),
            request: id,
            digest: new.digest,
            token: 0,
        })
    }

    fn refusal_on_arrival(&mut self, now: Millis, new: &NewRequest) -> Option<RefusalReason> {
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        if now >= new.deadline {
            return Some(RefusalReason::Deadline);
        }
        if self.serving(&new.service).next().is_none() {
            return Some(if self.table.is_known(now) {
                RefusalReason::NoUpstream
            } else {
                RefusalReason::TableUnknown
            });
        }
        let slots = self.slots_for(&new.service, new.class);
        if slots == 0 {
            return Some(RefusalReason::Unreachable);
        }
        let caller = self.caller_of(new);
        let without_admission = self.config.without.admission;
        let service = self.service(&new.service);
        service.budget.earn();
        let queue = &service.queues[new.class as usize];
        (!without_admission && queue.is_hopeless(now, new.deadline, caller, slots))
            .then_some(RefusalReason::Overload)
    }

    pub(super) fn caller_of(&self, new: &NewRequest) -> u64 {
        if self.config.without.fairness {
            0
        } else {
            new.caller
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
        let name = request.new.service.clone();
        let class = request.new.class;
        let arrived = request.arrived;
        let body_bytes = request.new.body_bytes;
        let caller = self.caller_of(&self.requests[&key].new);
        let queued = Queued::new(key, arrived, caller, body_bytes);
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
        for (key, claim, verdict) in self.claims.answered(call, result) {
            let waits = self
                .requests
                .get(&key)
                .is_some_and(|request| request.phase == Phase::Claiming);
            if waits {
                self.claim_decided(now, key, claim, verdict, actions);
            } else if may_be_granted(&verdict) {
                self.give_back(&claim);
            } else {
                self.claims.let_go(&claim);
            }
        }
    }

    fn claim_decided(
        &mut self,
        now: Millis,
        key: RequestKey,
        claim: Claim,
        verdict: Result<ClaimVerdict, ClaimFailure>,
        actions: &mut Vec<Action>,
    ) {
        if !may_be_granted(&verdict) {
            self.claims.let_go(&claim);
        }
        let verdict = match verdict {
            Ok(verdict) => verdict,
            Err(failure) => {
                if failure == ClaimFailure::Unknown {
                    self.give_back(&claim);
                }
                self.refuse(now, key, RefusalReason::ClaimUnavailable, actions);
                return;
            }
        };
        match verdict {
            ClaimVerdict::Granted => self.granted(now, key, claim, actions),
            ClaimVerdict::Ended(outcome) => self.ended_before(now, key, outcome, actions),
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
        request.granted = Some(claim);
        // The answer may have been read long after it arrived.
        if now >= request.new.deadline && !self.config.without.time_check {
            self.refuse(now, key, RefusalReason::Deadline, actions);
            return;
        }
        self.enqueue(now, key, actions);
    }

    pub(super) fn give_back(&mut self, claim: &Claim) {
        if self.config.without.claim_return {
            self.claims.let_go(claim);
        } else {
            self.claims.report(claim, ClaimOutcome::NotRun);
        }
    }

    pub(super) fn claim_wait_over(
        &mut self,
        now: Millis,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let claiming = self
            .requests
            .get(&key)
            .is_some_and(|request| request.phase == Phase::Claiming);
        if claiming {
            self.claims.withdraw(key);
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
        let new = &self.requests.get(&key)?.new;
        let class = new.class;
        let name = new.service.clone();
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
