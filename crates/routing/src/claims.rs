//! Claims that wait to be sent to the control processes, and outcomes that wait to be acknowledged.
//!
//! Claims that arrive while the maximum number of calls to the control processes is under way are
//! sent together in the next call, so that they share one commit. Outcomes of a failed call are
//! sent again. If it is not known whether a call took effect, its claims may have been granted.
//! They are not used, and `NotRun` is reported for them so that their IDs can be claimed again.
//!
//! At most one request of this entry holds an ID at a time, until its outcome is acknowledged. A
//! repeated `NotRun` of that request thus cannot release the claim under which another one runs.
//! The control processes guard against the same by comparing the tokens of the claims.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_types::Name;
use sapphirepost_types::RequestId;

use crate::event::CallKey;
use crate::event::ClaimFailure;
use crate::event::RequestKey;

/// The most calls under way at a time.
const CALLS_MAX: usize = 2;
/// The most claims, and the most outcomes, in one call.
const BATCH_MAX: usize = 256;
/// The most outcomes that wait to be sent; if there are more, the oldest are dropped. The control
/// processes then keep the IDs as in progress, so that the requests cannot run a second time.
const OUTCOMES_MAX: usize = 8_192;

#[derive(Clone, Debug)]
struct Call {
    claims: Vec<(RequestKey, Claim)>,
    outcomes: Vec<ClaimDone>,
}

/// Why this entry does not claim an ID: another of its requests holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExistingClaim {
    /// The other request has not ended and may run.
    InProgress,
    /// The other request has ended; the control processes have not acknowledged its outcome yet.
    Ended(ClaimOutcome),
    /// The other request differs in method, path or body.
    Mismatch,
}

#[derive(Clone, Debug)]
struct HeldId {
    digest: u64,
    outcome: Option<ClaimOutcome>,
}

/// The result of a call for one of its requests, with the claim that was sent.
pub type ClaimResult = (RequestKey, Claim, Result<ClaimVerdict, ClaimFailure>);

/// The claims and outcomes of this entry that are waiting or under way.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    waiting: VecDeque<(RequestKey, Claim)>,
    outcomes: VecDeque<ClaimDone>,
    calls: BTreeMap<CallKey, Call>,
    held_ids: BTreeMap<(Name, RequestId), HeldId>,
    next_call: u64,
    next_token: u64,
    outcomes_paused: bool,
}

impl Claims {
    /// Queues a claim for the next call and sets its token, unless another request of this entry
    /// holds the ID. Tokens increase with each claim of an incarnation of the entry.
    pub fn enqueue(&mut self, request: RequestKey, mut claim: Claim) -> Result<(), ExistingClaim> {
        let id = (claim.service.clone(), claim.request.clone());
        if let Some(held) = self.held_ids.get(&id) {
            return Err(held.existing_claim(claim.digest));
        }
        let held = HeldId {
            digest: claim.digest,
            outcome: None,
        };
        self.held_ids.insert(id, held);
        claim.token = self.next_token;
        self.next_token += 1;
        self.waiting.push_back((request, claim));
        Ok(())
    }

    /// Removes the claim of a request that was not sent yet, if there is one.
    pub fn cancel(&mut self, request: RequestKey) {
        let position = self.waiting.iter().position(|(key, _)| *key == request);
        if let Some((_, claim)) = position.and_then(|position| self.waiting.remove(position)) {
            self.forget(&claim);
        }
    }

    /// Lets this entry claim the ID again without a report; for a claim that was not granted.
    pub fn forget(&mut self, claim: &Claim) {
        self.held_ids
            .remove(&(claim.service.clone(), claim.request.clone()));
    }

    /// Queues the outcome of a claim that was, or may have been, granted.
    pub fn report_outcome(&mut self, claim: &Claim, outcome: ClaimOutcome) {
        if self.outcomes.len() >= OUTCOMES_MAX
            && let Some(dropped) = self.outcomes.pop_front()
        {
            self.held_ids.remove(&(dropped.service, dropped.request));
        }
        let id = (claim.service.clone(), claim.request.clone());
        let held = HeldId {
            digest: claim.digest,
            outcome: Some(outcome.clone()),
        };
        self.held_ids.insert(id, held);
        self.outcomes.push_back(ClaimDone {
            service: claim.service.clone(),
            request: claim.request.clone(),
            token: claim.token,
            outcome,
        });
    }

    /// Whether no claim or outcome is waiting or under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.outcomes.is_empty() && self.calls.is_empty()
    }

    /// Allows a call for outcomes alone after a call has failed.
    pub fn resume_outcomes(&mut self) {
        self.outcomes_paused = false;
    }

    /// Takes the claims and outcomes of the next call, if one is due. The claims come with their
    /// tokens set, in the order in which their verdicts are expected.
    pub fn next_call(&mut self) -> Option<(CallKey, Vec<Claim>, Vec<ClaimDone>)> {
        let due = !self.waiting.is_empty() || !self.outcomes.is_empty() && !self.outcomes_paused;
        if !due || self.calls.len() >= CALLS_MAX {
            return None;
        }
        let claims: Vec<_> = take_batch(&mut self.waiting);
        let outcomes = take_batch(&mut self.outcomes);
        let key = CallKey(self.next_call);
        self.next_call += 1;
        let sent_claims = claims.iter().map(|(_, claim)| claim.clone()).collect();
        let call = Call {
            claims,
            outcomes: outcomes.clone(),
        };
        self.calls.insert(key, call);
        Some((key, sent_claims, outcomes))
    }

    /// Handles the result of a call and returns it for each claim of the call. Outcomes of a failed
    /// call are queued again.
    pub fn call_ended(
        &mut self,
        key: CallKey,
        result: Result<Vec<ClaimVerdict>, ClaimFailure>,
    ) -> Vec<ClaimResult> {
        let Some(call) = self.calls.remove(&key) else {
            return Vec::new();
        };
        let result = match result {
            Ok(verdicts) if verdicts.len() != call.claims.len() => Err(ClaimFailure::Unknown),
            other => other,
        };
        match result {
            Ok(verdicts) => {
                for done in call.outcomes {
                    self.held_ids.remove(&(done.service, done.request));
                }
                call.claims
                    .into_iter()
                    .zip(verdicts)
                    .map(|((request, claim), verdict)| (request, claim, Ok(verdict)))
                    .collect()
            }
            Err(failure) => {
                self.outcomes_paused = true;
                for outcome in call.outcomes.into_iter().rev() {
                    self.outcomes.push_front(outcome);
                }
                call.claims
                    .into_iter()
                    .map(|(request, claim)| (request, claim, Err(failure)))
                    .collect()
            }
        }
    }
}

impl HeldId {
    fn existing_claim(&self, digest: u64) -> ExistingClaim {
        if self.digest != digest {
            return ExistingClaim::Mismatch;
        }
        match &self.outcome {
            Some(outcome) => ExistingClaim::Ended(outcome.clone()),
            None => ExistingClaim::InProgress,
        }
    }
}

fn take_batch<T>(queue: &mut VecDeque<T>) -> Vec<T> {
    let count = queue.len().min(BATCH_MAX);
    queue.drain(..count).collect()
}
