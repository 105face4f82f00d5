//! Simulated entries: they pull the configuration and run requests under claims.

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

/// One sending of a request that waits for its claim.
struct Sending {
    request: RequestId,
    submission: u64,
    sent_at: u64,
    /// Set when the entry gave up waiting: the claim, if granted, is freed.
    gave_up: bool,
}

pub struct SimEntry {
    pub id: u16,
    pub incarnation: u64,
    applied: Option<ConfigVersion>,
    values: BTreeMap<Name, String>,
    watch_call: u64,
    watch_until: u64,
    token: u64,
    sendings: BTreeMap<u64, Sending>,
    outcomes: Vec<ClaimDone>,
}

impl SimEntry {
    pub fn start(id: u16, incarnation: u64, now: u64, history: &mut Vec<Timed>) -> SimEntry {
        let process = process(id);
        history.push(Timed {
            at_ms: now,
            event: Event::ProcessStarted { process },
        });
        SimEntry {
            id,
            incarnation,
            applied: None,
            values: BTreeMap::new(),
            watch_call: 0,
            watch_until: 0,
            token: 0,
            sendings: BTreeMap::new(),
            outcomes: Vec::new(),
        }
    }

    /// A restart loses everything; what was being sent has an unknown end.
    pub fn restart(&mut self, now: u64, history: &mut Vec<Timed>) {
        for sending in self.sendings.values() {
            if !sending.gave_up {
                history.push(told(now, sending.submission, Outcome::Unknown));
            }
        }
        let process = process(self.id);
        history.push(Timed {
            at_ms: now,
            event: Event::ProcessStopped { process },
        });
        *self = SimEntry::start(self.id, self.incarnation + 1, now, history);
    }

    pub fn watch(&mut self, now: u64) -> Option<(u64, WatchConfig)> {
        if now < self.watch_until {
            return None;
        }
        self.watch_until = now + WATCH_TIMEOUT_MS;
        self.watch_call += 1;
        let watch = WatchConfig {
            entry: EntryId(self.id),
            incarnation: Incarnation(self.incarnation),
            applied: self.applied,
            wait_ms: 500,
        };
        Some((self.call(self.watch_call), watch))
    }

    /// Calls of different runs of the entry must not be taken for each other.
    fn call(&self, number: u64) -> u64 {
        self.incarnation << 32 | number
    }

    pub fn configured(
        &mut self,
        now: u64,
        call: u64,
        reply: ConfigReply,
        history: &mut Vec<Timed>,
    ) {
        if call != self.call(self.watch_call) {
            return;
        }
        self.watch_until = now;
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
            process: process(self.id),
            version: reply.version.0,
            values: self.values.clone().into_iter().collect(),
        };
        history.push(Timed { at_ms: now, event });
    }

    pub fn send(&mut self, now: u64, request: RequestId, submission: u64) -> (u64, ClaimBatch) {
        self.token += 1;
        let claim = Claim {
            service: name("grades"),
            request: request.clone(),
            digest: 7,
            token: self.token,
        };
        let sending = Sending {
            request,
            submission,
            sent_at: now,
            gave_up: false,
        };
        self.sendings.insert(self.token, sending);
        (self.call(self.token), self.batch(vec![claim]))
    }

    fn batch(&self, claims: Vec<Claim>) -> ClaimBatch {
        ClaimBatch {
            entry: EntryId(self.id),
            incarnation: Incarnation(self.incarnation),
            claims,
            outcomes: self.outcomes.clone(),
        }
    }

    /// Gives up claims without an answer, and repeats outcomes.
    pub fn flush(&mut self, now: u64, history: &mut Vec<Timed>) -> Option<(u64, ClaimBatch)> {
        let mut freed = Vec::new();
        for (token, sending) in &mut self.sendings {
            if !sending.gave_up && now >= sending.sent_at + CLAIM_TIMEOUT_MS {
                sending.gave_up = true;
                history.push(told(now, sending.submission, Outcome::NotRun));
                freed.push(done(&sending.request, *token, ClaimOutcome::NotRun));
            }
        }
        self.outcomes.extend(freed);
        (!self.outcomes.is_empty()).then(|| (u64::MAX, self.batch(Vec::new())))
    }

    pub fn claimed(
        &mut self,
        now: u64,
        call: u64,
        reply: &ClaimReply,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) {
        if call == u64::MAX {
            // Any flush may have been answered; later ones carry the same outcomes.
            self.outcomes.clear();
            return;
        }
        let token = call & u64::from(u32::MAX);
        if call != self.call(token) {
            return;
        }
        let Some(sending) = self
            .sendings
            .remove(&token)
            .filter(|sending| !sending.gave_up)
        else {
            return;
        };
        let outcome = match &reply.verdicts[0] {
            ClaimVerdict::Granted => self.run(now, token, &sending, rng, history),
            ClaimVerdict::Ended(ClaimOutcome::Done { .. }) => Outcome::Done,
            ClaimVerdict::TooNew | ClaimVerdict::Full => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        history.push(told(now, sending.submission, outcome));
    }

    fn run(
        &mut self,
        now: u64,
        token: u64,
        sending: &Sending,
        rng: &mut Pcg64,
        history: &mut Vec<Timed>,
    ) -> Outcome {
        if rng.random_bool(0.3) {
            self.outcomes
                .push(done(&sending.request, token, ClaimOutcome::NotRun));
            return Outcome::NotRun;
        }
        let event = Event::RequestRan {
            request: sending.request.to_string(),
            submission: sending.submission,
            idempotent: false,
        };
        history.push(Timed { at_ms: now, event });
        if rng.random_bool(0.2) {
            self.outcomes
                .push(done(&sending.request, token, ClaimOutcome::Unknown));
            return Outcome::Unknown;
        }
        let outcome = ClaimOutcome::Done {
            status: 200,
            content_type: None,
            body: Some("recorded".to_owned()),
        };
        self.outcomes.push(done(&sending.request, token, outcome));
        Outcome::Done
    }
}

fn process(id: u16) -> Name {
    name(&EntryId(id).to_string())
}

fn done(request: &RequestId, token: u64, outcome: ClaimOutcome) -> ClaimDone {
    ClaimDone {
        service: name("grades"),
        request: request.clone(),
        token,
        outcome,
    }
}

fn told(at_ms: u64, submission: u64, outcome: Outcome) -> Timed {
    Timed {
        at_ms,
        event: Event::CallerTold {
            submission,
            outcome,
        },
    }
}
