//! Claims that are waiting to be sent, and outcomes that are waiting to be acknowledged.
//!
//! Claims that arrive while a call is under way share the next call, so that each costs a part of
//! one commit. Outcomes of a failed call are sent again. A claim whose call failed may have been
//! granted; it is not used, and `NotRun` is reported so that the ID can be claimed again.
//!
//! An ID is claimed by at most one request of this entry at a time, until its outcome is
//! acknowledged. Otherwise a repeated `NotRun` of the first request would free the claim under
//! which the second one runs.

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

/// The most calls under way.
const CALLS_MAX: usize = 2;
/// The most claims and outcomes of one call.
const BATCH_MAX: usize = 256;
/// Outcomes kept for sending. Beyond it the oldest are dropped; their IDs then stay in progress,
/// which is safe.
const OUTCOMES_MAX: usize = 8_192;

#[derive(Clone, Debug)]
struct Call {
    claims: Vec<(RequestKey, Claim)>,
    outcomes: Vec<ClaimDone>,
}

/// What this entry knows of an ID that it has claimed before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Held {
    /// A request with the ID is under way; it may run.
    InProgress,
    /// The request has ended; the group has not acknowledged the outcome yet.
    Ended(ClaimOutcome),
    /// The ID was used for another request.
    Mismatch,
}

#[derive(Clone, Debug)]
struct Holder {
    digest: u64,
    outcome: Option<ClaimOutcome>,
}

/// What a call brought for one request.
pub type Verdict = (RequestKey, Claim, Result<ClaimVerdict, ClaimFailure>);

/// The claims and outcomes of this entry.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    waiting: VecDeque<(RequestKey, Claim)>,
    outcomes: VecDeque<ClaimDone>,
    calls: BTreeMap<CallKey, Call>,
    held: BTreeMap<(Name, RequestId), Holder>,
    next_call: u64,
    next_token: u64,
    paused: bool,
}

impl Claims {
    /// Asks for a claim under the next token of this entry run, unless this entry holds the ID
    /// already.
    pub fn ask(&mut self, request: RequestKey, mut claim: Claim) -> Result<(), Held> {
        let id = (claim.service.clone(), claim.request.clone());
        if let Some(holder) = self.held.get(&id) {
            return Err(holder.held(claim.digest));
        }
        let holder = Holder {
            digest: claim.digest,
            outcome: None,
        };
        self.held.insert(id, holder);
        claim.token = self.next_token;
        self.next_token += 1;
        self.waiting.push_back((request, claim));
        Ok(())
    }

    /// Drops a claim that was not sent yet.
    pub fn withdraw(&mut self, request: RequestKey) {
        let position = self.waiting.iter().position(|(key, _)| *key == request);
        if let Some((_, claim)) = position.and_then(|position| self.waiting.remove(position)) {
            self.let_go(&claim);
        }
    }

    /// A claim was not granted, so nothing is to be reported.
    pub fn let_go(&mut self, claim: &Claim) {
        self.held
            .remove(&(claim.service.clone(), claim.request.clone()));
    }

    /// Reports how a granted claim ended.
    pub fn report(&mut self, claim: &Claim, outcome: ClaimOutcome) {
        if self.outcomes.len() >= OUTCOMES_MAX
            && let Some(dropped) = self.outcomes.pop_front()
        {
            self.held.remove(&(dropped.service, dropped.request));
        }
        let id = (claim.service.clone(), claim.request.clone());
        let holder = Holder {
            digest: claim.digest,
            outcome: Some(outcome.clone()),
        };
        self.held.insert(id, holder);
        self.outcomes.push_back(ClaimDone {
            service: claim.service.clone(),
            request: claim.request.clone(),
            token: claim.token,
            outcome,
        });
    }

    /// Whether nothing is waiting or under way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.outcomes.is_empty() && self.calls.is_empty()
    }

    /// Lets outcomes of a failed call be sent again.
    pub fn resume(&mut self) {
        self.paused = false;
    }

    /// The next call, if one is due.
    pub fn next_call(&mut self) -> Option<(CallKey, Vec<Claim>, Vec<ClaimDone>)> {
        let due = !self.waiting.is_empty() || !self.outcomes.is_empty() && !self.paused;
        if !due || self.calls.len() >= CALLS_MAX {
            return None;
        }
        let claims: Vec<_> = take(&mut self.waiting);
        let outcomes = take(&mut self.outcomes);
        let key = CallKey(self.next_call);
        self.next_call += 1;
        let wire = claims.iter().map(|(_, claim)| claim.clone()).collect();
        let call = Call {
            claims,
            outcomes: outcomes.clone(),
        };
        self.calls.insert(key, call);
        Some((key, wire, outcomes))
    }

    /// A call has ended; returns what it brought for each of its claims.
    pub fn answered(
        &mut self,
        key: CallKey,
        result: Result<Vec<ClaimVerdict>, ClaimFailure>,
    ) -> Vec<Verdict> {
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
                    self.held.remove(&(done.service, done.request));
                }
                call.claims
                    .into_iter()
                    .zip(verdicts)
                    .map(|((request, claim), verdict)| (request, claim, Ok(verdict)))
                    .collect()
            }
            Err(failure) => {
                self.paused = true;
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

impl Holder {
    fn held(&self, digest: u64) -> Held {
        if self.digest != digest {
            return Held::Mismatch;
        }
        match &self.outcome {
            Some(outcome) => Held::Ended(outcome.clone()),
            None => Held::InProgress,
        }
    }
}

fn take<T>(queue: &mut VecDeque<T>) -> Vec<T> {
    let count = queue.len().min(BATCH_MAX);
    queue.drain(..count).collect()
}
