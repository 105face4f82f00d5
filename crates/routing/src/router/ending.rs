//! How requests end: deadlines, abandonment, retries and answers.
//!
//! A request ends as refused only while it is certain that none of its tries ran.

use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_types::Millis;

use crate::event::Action;
use crate::event::Answer;
use crate::event::RefusalReason;
use crate::event::RequestKey;
use crate::event::UnknownReason;
use crate::retry::TRIES_MAX;
use crate::retry::pause_ms;
use crate::router::Phase;
use crate::router::Router;
use crate::timers::Timer;

impl Router {
    pub(super) fn deadline(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let caller = self.caller_of(&request.new);
        let name = request.new.service.clone();
        let class = request.new.class;
        let may_have_run = request.may_have_run;
        match request.phase {
            Phase::Trying(send) if self.sends.get(&send).is_some_and(|s| s.sent.is_some()) => {
                self.drop_send(now, send, true, actions);
                if self.config.without.unknown_ending {
                    self.refuse(now, key, RefusalReason::Deadline, actions);
                    return;
                }
                let reason = UnknownReason::Deadline;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
                return;
            }
            // The connection is kept once it is open.
            Phase::Trying(send) => self.free_slot(send),
            Phase::Claiming => self.claims.withdraw(key),
            Phase::Queued => self.service(&name).queues[class as usize].remove(caller, key),
            Phase::Retrying => {}
        }
        if may_have_run {
            let reason = UnknownReason::Deadline;
            self.finish(now, key, Answer::Unknown { reason }, None, actions);
        } else {
            self.refuse(now, key, RefusalReason::Deadline, actions);
        }
    }

    /// The caller is gone. A non-idempotent request that was handed over goes on, because closing
    /// its connection might cut it off halfway.
    pub(super) fn abandoned(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if let Phase::Trying(send) = request.phase
            && self.sends.get(&send).is_some_and(|s| s.sent.is_some())
        {
            if request.new.idempotent {
                self.drop_send(now, send, false, actions);
                let reason = UnknownReason::Broken;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
            }
            return;
        }
        self.deadline(now, key, actions);
    }

    /// A try failed and it is certain that it did not run.
    pub(super) fn failed_unsent(
        &mut self,
        now: Millis,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let late = now >= request.new.deadline;
        let may_have_run = request.may_have_run;
        let upstream_refused = request.upstream_refused;
        if !late && self.may_retry(key, false) {
            self.retry(now, key);
            return;
        }
        if may_have_run {
            let reason = UnknownReason::Broken;
            self.finish(now, key, Answer::Unknown { reason }, None, actions);
            return;
        }
        let reason = if late {
            RefusalReason::Deadline
        } else if upstream_refused {
            RefusalReason::UpstreamRefused
        } else {
            RefusalReason::Unreachable
        };
        self.refuse(now, key, reason, actions);
    }

    /// A try failed after the request was handed over, so it may have run.
    pub(super) fn failed_sent(
        &mut self,
        now: Millis,
        key: RequestKey,
        reason: UnknownReason,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.requests.get_mut(&key) {
            request.may_have_run = true;
        }
        if self.may_retry(key, true) {
            self.retry(now, key);
        } else if self.config.without.unknown_ending {
            self.refuse(now, key, RefusalReason::Unreachable, actions);
        } else {
            self.finish(now, key, Answer::Unknown { reason }, None, actions);
        }
    }

    pub(super) fn may_retry(&mut self, key: RequestKey, may_have_run: bool) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        if request.tries >= TRIES_MAX {
            return false;
        }
        if may_have_run && !request.new.idempotent && !self.config.without.retry_rule {
            return false;
        }
        let name = request.new.service.clone();
        self.config.without.retry_budget || self.service(&name).budget.take()
    }

    pub(super) fn retry(&mut self, now: Millis, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        self.stats.retries += 1;
        request.phase = Phase::Retrying;
        let pause = pause_ms(&mut self.rng, request.tries);
        self.timers.set(now + pause, Timer::Retry(key));
    }

    /// Puts a request whose try ended without fault back to be started at once.
    pub(super) fn again(
        &mut self,
        now: Millis,
        key: RequestKey,
        pause: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.tries -= 1;
        request.phase = Phase::Retrying;
        self.retry_due(now + pause, key, actions);
    }

    pub(super) fn retry_due(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if request.phase != Phase::Retrying {
            return;
        }
        let name = request.new.service.clone();
        self.service(&name).retries.push_back(key);
        self.dispatch(now, &name, actions);
    }

    pub(super) fn refuse(
        &mut self,
        now: Millis,
        key: RequestKey,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let retry_after_s = self.retry_after_s(key, reason);
        let answer = Answer::Refused {
            reason,
            retry_after_s,
        };
        self.finish(now, key, answer, None, actions);
    }

    /// Ends a request: answers the caller and reports the outcome of its claim.
    pub(super) fn finish(
        &mut self,
        now: Millis,
        key: RequestKey,
        answer: Answer,
        done: Option<ClaimOutcome>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        self.stats
            .note(&answer, request.new.class, now.since(request.arrived));
        if let Some(claim) = &request.granted {
            match (&answer, done) {
                (Answer::Refused { .. }, _) => self.give_back(claim),
                (_, Some(outcome)) => self.claims.report(claim, outcome),
                (_, None) => self.claims.report(claim, ClaimOutcome::Unknown),
            }
        }
        actions.push(Action::Respond {
            request: key,
            answer,
        });
    }
}
