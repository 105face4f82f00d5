//! Endings of requests: deadlines, abandoned requests, retries and answers.
//!
//! A request is refused only if it is certain that none of its attempts ran.

use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_types::Millis;

use crate::event::Action;
use crate::event::Answer;
use crate::event::RefusalReason;
use crate::event::RequestKey;
use crate::event::UnknownReason;
use crate::retry::ATTEMPTS_MAX;
use crate::retry::backoff_ms;
use crate::router::Phase;
use crate::router::Router;
use crate::timers::Timer;

impl Router {
    pub(super) fn deadline_passed(
        &mut self,
        now: Millis,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let caller = self.caller_of(&request.params);
        let name = request.params.service.clone();
        let class = request.params.class;
        let may_have_run = request.may_have_run;
        match request.phase {
            Phase::Trying(send)
                if self
                    .attempts
                    .get(&send)
                    .is_some_and(|attempt| attempt.sent_at.is_some()) =>
            {
                self.drop_send(now, send, true, actions);
                if self.config.disabled.unknown_answers {
                    self.refuse(now, key, RefusalReason::Deadline, actions);
                    return;
                }
                let reason = UnknownReason::Deadline;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
                return;
            }
            // The connection is still being opened; it becomes idle once it is open.
            Phase::Trying(send) => self.free_slot(send),
            Phase::Claiming => self.claims.cancel(key),
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

    /// Ends a request whose caller has disconnected. A non-idempotent request that was handed to a
    /// connection continues, because closing the connection might interrupt it halfway.
    pub(super) fn abandoned(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if let Phase::Trying(send) = request.phase
            && self
                .attempts
                .get(&send)
                .is_some_and(|attempt| attempt.sent_at.is_some())
        {
            if request.params.idempotent {
                self.drop_send(now, send, false, actions);
                let reason = UnknownReason::Broken;
                self.finish(now, key, Answer::Unknown { reason }, None, actions);
            }
            return;
        }
        self.deadline_passed(now, key, actions);
    }

    /// Handles a failed attempt that certainly did not run.
    pub(super) fn failed_not_run(
        &mut self,
        now: Millis,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        let is_late = now >= request.params.deadline;
        let may_have_run = request.may_have_run;
        let upstream_refused = request.upstream_refused;
        if !is_late && self.may_retry(key, false) {
            self.retry(now, key);
            return;
        }
        if may_have_run {
            let reason = UnknownReason::Broken;
            self.finish(now, key, Answer::Unknown { reason }, None, actions);
            return;
        }
        let reason = if is_late {
            RefusalReason::Deadline
        } else if upstream_refused {
            RefusalReason::UpstreamRefused
        } else {
            RefusalReason::Unreachable
        };
        self.refuse(now, key, reason, actions);
    }

    /// Handles an attempt that failed after the request was handed to the connection, so that it may
    /// have run.
    pub(super) fn failed_may_have_run(
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
        } else if self.config.disabled.unknown_answers {
            self.refuse(now, key, RefusalReason::Unreachable, actions);
        } else {
            self.finish(now, key, Answer::Unknown { reason }, None, actions);
        }
    }

    /// Whether another attempt is allowed; if so, takes one retry from the budget of the service.
    pub(super) fn may_retry(&mut self, key: RequestKey, may_have_run: bool) -> bool {
        let Some(request) = self.requests.get(&key) else {
            return false;
        };
        if request.attempt_count >= ATTEMPTS_MAX {
            return false;
        }
        if may_have_run && !request.params.idempotent && !self.config.disabled.idempotency_check {
            return false;
        }
        let name = request.params.service.clone();
        self.config.disabled.retry_budget || self.service(&name).retry_budget.try_withdraw()
    }

    pub(super) fn retry(&mut self, now: Millis, key: RequestKey) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        self.stats.retries += 1;
        request.phase = Phase::Retrying;
        let delay_ms = backoff_ms(&mut self.rng, request.attempt_count);
        self.timers.schedule(now + delay_ms, Timer::Retry(key));
    }

    /// Starts another attempt in place of one that ended without a failure and does not count.
    pub(super) fn restart_now(
        &mut self,
        now: Millis,
        key: RequestKey,
        delay_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.attempt_count -= 1;
        request.phase = Phase::Retrying;
        self.retry_due(now + delay_ms, key, actions);
    }

    pub(super) fn retry_due(&mut self, now: Millis, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&key) else {
            return;
        };
        if request.phase != Phase::Retrying {
            return;
        }
        let name = request.params.service.clone();
        self.service(&name).retry_queue.push_back(key);
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
        outcome: Option<ClaimOutcome>,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        self.stats
            .record(&answer, request.params.class, now.since(request.arrived));
        if let Some(claim) = &request.granted_claim {
            match (&answer, outcome) {
                (Answer::Refused { .. }, _) => self.release_claim(claim),
                (_, Some(outcome)) => self.claims.report_outcome(claim, outcome),
                (_, None) => self.claims.report_outcome(claim, ClaimOutcome::Unknown),
            }
        }
        actions.push(Action::Respond {
            request: key,
            answer,
        });
    }
}
