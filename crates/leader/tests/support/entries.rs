//! Simulated entries, which poll the configuration and run requests under claims.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::ConfigUpdate;
use sapphirepost_protocol::config::WatchConfig;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::RequestId;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Outcome;
use sapphirepost_verifier::Timed;

use super::name;

const WATCH_TIMEOUT_MS: u64 = 700;
const CLAIM_TIMEOUT_MS: u64 = 1_000;

/// A submission of a request that waits for the reply to its claim.
struct PendingRequest {
    request: RequestId,
    submission: u64,
    sent_at_ms: u64,
    /// Whether the entry has stopped waiting and reported the request as not run, which releases
    /// the claim if it was granted.
    timed_out: bool,
}

pub struct SimEntry {
    pub id: u16,
    pub incarnation: u64,
    applied: Option<ConfigVersion>,
    values: BTreeMap<Name, String>,
    watch_call: u64,
    watch_until_ms: u64,
    token: u64,
    pending_requests: BTreeMap<u64, PendingRequest>,
    outcomes: Vec<ClaimDone>,
}

impl SimEntry {
    pub fn start(id: u16, incarnation: u64, now_ms: u64, history: &mut Vec<Timed>) -> SimEntry {
        let process = process_name(id);
        history.push(Timed {
            at_ms: now_ms,
            event: Event::ProcessStarted { process },
        });
        SimEntry {
            id,
            incarnation,
            applied: None,
            values: BTreeMap::new(),
            watch_call: 0,
            watch_until_ms: 0,
            token: 0,
            pending_requests: BTreeMap::new(),
            outcomes: Vec::new(),
        }
    }

    /// Restarts with empty memory. The outcome of pending requests is unknown.
    pub fn restart(&mut self, now_ms: u64, history: &mut Vec<Timed>) {
        for pending in self.pending_requests.values() {
            if !pending.timed_out {
                history.push(caller_told_event(
                    now_ms,
                    pending.submission,
                    Outcome::Unknown,
                ));
            }
        }
        let process = process_name(self.id);
        history.push(Timed {
            at_ms: now_ms,
            event: Event::ProcessStopped { process },
        });
        *self = SimEntry::start(self.id, self.incarnation + 1, now_ms, history);
    }

    pub fn poll_config(&mut self, now_ms: u64) -> Option<(u64, WatchConfig)> {
        if now_ms < self.watch_until_ms {
            return None;
        }
        self.watch_until_ms = now_ms + WATCH_TIMEOUT_MS;
        self.watch_call += 1;
        let watch = WatchConfig {
            entry: EntryId(self.id),
            incarnation: Incarnation(self.incarnation),
            applied: self.applied,
            wait_ms: 500,
        };
        Some((self.call_id(self.watch_call), watch))
    }

    /// Includes the incarnation, so that a reply to an earlier incarnation is not accepted.
    fn call_id(&self, number: u64) -> u64 {
        self.incarnation << 32 | number
    }

    pub fn receive_config(
        &mut self,
        now_ms: u64,
        call: u64,
        reply: ConfigReply,
        history: &mut Vec<Timed>,
    ) {
        if call != self.call_id(self.watch_call) {
            return;
        }
        self.watch_until_ms = now_ms;
        if self.applied.is_some_and(|applied| reply.version <= applied) {
            return;
        }
        match reply.update {
            ConfigUpdate::Current => {}
            ConfigUpdate::Whole(values) => self.values = values,
            ConfigUpdate::Changes(changes) => {
                for change in changes {
                    match change.value {
                        Some(value) => self.values.insert(change.key, value),
                        None => self.values.remove(&change.key),
                    };
                }
            }
        }
        self.applied = Some(reply.version);
        let event = Event::ConfigApplied {
            process: process_name(self.id),
            version: reply.version.0,
            values: self.values.clone().into_iter().collect(),
        };
        history.push(Timed {
            at_ms: now_ms,
            event,
        });
    }

    pub fn send_request(
        &mut self,
        now_ms: u64,
        request: RequestId,
        submission: u64,
    ) -> (u64, ClaimBatch) {
        self.token += 1;
        let claim = Claim {
            service: name("grades"),
            request: request.clone(),
            digest: 7,
            token: self.token,
        };
        let pending = PendingRequest {
            request,
            submission,
            sent_at_ms: now_ms,
            timed_out: false,
        };
        self.pending_requests.insert(self.token, pending);
        (self.call_id(self.token), self.batch(vec![claim]))
    }

    fn batch(&self, claims: Vec<Claim>) -> ClaimBatch {
        ClaimBatch {
            entry: EntryId(self.id),
            incarnation: Incarnation(self.incarnation),
            claims,
            outcomes: self.outcomes.clone(),
        }
    }

    /// Times out claims without a reply, and resends the outcomes that are not acknowledged.
    pub fn flush_outcomes(
        &mut self,
        now_ms: u64,
        history: &mut Vec<Timed>,
    ) -> Option<(u64, ClaimBatch)> {
        let mut released = Vec::new();
        for (token, pending) in &mut self.pending_requests {
            if !pending.timed_out && now_ms >= pending.sent_at_ms + CLAIM_TIMEOUT_MS {
                pending.timed_out = true;
                history.push(caller_told_event(
                    now_ms,
                    pending.submission,
                    Outcome::NotRun,
                ));
                released.push(claim_done(&pending.request, *token, ClaimOutcome::NotRun));
            }
        }
        self.outcomes.extend(released);
        (!self.outcomes.is_empty()).then(|| (u64::MAX, self.batch(Vec::new())))
    }

    pub fn receive_claims(
        &mut self,
        now_ms: u64,
        call: u64,
        reply: &ClaimReply,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) {
        if call == u64::MAX {
            // This may be the reply to any of the earlier flushes. An outcome that was added after
            // that flush may be lost; its claim then stays held.
            self.outcomes.clear();
            return;
        }
        let token = call & u64::from(u32::MAX);
        if call != self.call_id(token) {
            return;
        }
        let Some(pending) = self
            .pending_requests
            .remove(&token)
            .filter(|pending| !pending.timed_out)
        else {
            return;
        };
        let outcome = match &reply.verdicts[0] {
            ClaimVerdict::Granted => self.run_request(now_ms, token, &pending, rng, history),
            ClaimVerdict::Ended(ClaimOutcome::Done { .. }) => Outcome::Done,
            ClaimVerdict::TooNew | ClaimVerdict::Full => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        history.push(caller_told_event(now_ms, pending.submission, outcome));
    }

    fn run_request(
        &mut self,
        now_ms: u64,
        token: u64,
        pending: &PendingRequest,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) -> Outcome {
        if rng.random_bool(0.3) {
            self.outcomes
                .push(claim_done(&pending.request, token, ClaimOutcome::NotRun));
            return Outcome::NotRun;
        }
        let event = Event::RequestRan {
            request: pending.request.to_string(),
            submission: pending.submission,
            idempotent: false,
        };
        history.push(Timed {
            at_ms: now_ms,
            event,
        });
        if rng.random_bool(0.2) {
            self.outcomes
                .push(claim_done(&pending.request, token, ClaimOutcome::Unknown));
            return Outcome::Unknown;
        }
        let outcome = ClaimOutcome::Done {
            status: 200,
            content_type: None,
            body: Some("recorded".to_owned()),
        };
        self.outcomes
            .push(claim_done(&pending.request, token, outcome));
        Outcome::Done
    }
}

fn process_name(id: u16) -> Name {
    name(&EntryId(id).to_string())
}

fn claim_done(request: &RequestId, token: u64, outcome: ClaimOutcome) -> ClaimDone {
    ClaimDone {
        service: name("grades"),
        request: request.clone(),
        token,
        outcome,
    }
}

fn caller_told_event(at_ms: u64, submission: u64, outcome: Outcome) -> Timed {
    Timed {
        at_ms,
        event: Event::RequestAnswered {
            submission,
            outcome,
        },
    }
}
