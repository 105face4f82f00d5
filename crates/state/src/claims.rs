//! Claims on request IDs.
//!
//! A claim ensures that a request runs at most once: at any time, at most one incarnation of one
//! entry holds the claim on a request ID, and an outcome counts only if it comes from that
//! incarnation with the token of that claim. A claim is dropped only once its ID is refused as too
//! old, so that the ID cannot be claimed a second time.

use std::collections::BTreeMap;
use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_protocol::claim::KEPT_BODY_MAX_BYTES;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// How long after the time in a request ID the ID can be claimed, in milliseconds. Claims are kept
/// at least as long.
pub const CLAIM_WINDOW_MS: u64 = 10 * 60 * 1_000;
/// How far the time in a request ID may lie ahead of the clock of the state, in milliseconds: the
/// accepted difference between the clocks of callers and control processes.
pub const CLAIM_CLOCK_SKEW_MAX_MS: u64 = 60_000;
/// Maximum number of claims: 600 per second over the window and the accepted clock difference.
pub const CLAIMS_MAX: usize = 400_000;

/// The incarnation of an entry that claimed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The entry that sent the claim.
    pub entry: EntryId,
    /// The incarnation of that entry; other incarnations cannot end the claim.
    pub incarnation: Incarnation,
    /// The token of the claim, which increases with each claim of an incarnation.
    pub token: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Progress {
    /// The holder may run the request.
    Held,
    /// The holder reported that the request did not run, so it can be claimed again. The holder is
    /// kept so that a duplicate of its claim, delivered late, is not granted.
    Free,
    /// The holder reported another outcome, which is the answer to further claims.
    Ended(ClaimOutcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    /// Digest of the request's content, against reuse of the ID for another request.
    digest: u64,
    holder: Holder,
    progress: Progress,
}

/// The claims on request IDs of the last ten minutes, by service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claims {
    /// A persistent map: a copy shares the unchanged records with the original, so the copy that a
    /// snapshot is made from does not have to visit all claims.
    services: BTreeMap<Name, OrdMap<RequestId, Arc<Record>>>,
    count: usize,
}

impl Claims {
    /// Number of claims of all services.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no claim, not even an ended one.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Applies a batch and returns one result for each claim. Outcomes come first, so that a
    /// request that did not run can be claimed again in the same batch.
    pub(crate) fn apply(
        &mut self,
        batch: &ClaimBatch,
        now_unix_ms: u64,
        check_window: bool,
    ) -> Vec<ClaimVerdict> {
        for done in &batch.outcomes {
            self.record_outcome(batch, done);
        }
        batch
            .claims
            .iter()
            .map(|claim| self.claim(batch, claim, now_unix_ms, check_window))
            .collect()
    }

    fn claim(
        &mut self,
        batch: &ClaimBatch,
        claim: &Claim,
        now_unix_ms: u64,
        check_window: bool,
    ) -> ClaimVerdict {
        if check_window && is_too_old(&claim.request, now_unix_ms) {
            return ClaimVerdict::TooOld;
        }
        if claim.request.unix_ms() > now_unix_ms.saturating_add(CLAIM_CLOCK_SKEW_MAX_MS) {
            return ClaimVerdict::TooNew;
        }
        let holder = Holder {
            entry: batch.entry,
            incarnation: batch.incarnation,
            token: claim.token,
        };
        let requests = self.services.entry(claim.service.clone()).or_default();
        if let Some(record) = requests.get_mut(&claim.request) {
            return Arc::make_mut(record).claim_again(claim.digest, holder);
        }
        if self.count >= CLAIMS_MAX {
            return ClaimVerdict::Full;
        }
        let record = Record {
            digest: claim.digest,
            holder,
            progress: Progress::Held,
        };
        requests.insert(claim.request.clone(), Arc::new(record));
        self.count += 1;
        ClaimVerdict::Granted
    }

    fn record_outcome(&mut self, batch: &ClaimBatch, done: &ClaimDone) {
        let record = self
            .services
            .get_mut(&done.service)
            .and_then(|requests| requests.get_mut(&done.request));
        let Some(record) = record else {
            return;
        };
        let holder = Holder {
            entry: batch.entry,
            incarnation: batch.incarnation,
            token: done.token,
        };
        let record = Arc::make_mut(record);
        if record.holder != holder || record.progress != Progress::Held {
            return;
        }
        record.progress = match &done.outcome {
            ClaimOutcome::NotRun => Progress::Free,
            outcome => Progress::Ended(drop_large_texts(outcome)),
        };
    }

    pub(crate) fn prune(&mut self, now_unix_ms: u64) {
        for requests in self.services.values_mut() {
            while let Some((oldest, _)) = requests.get_min() {
                if !is_too_old(oldest, now_unix_ms) {
                    break;
                }
                let oldest = oldest.clone();
                requests.remove(&oldest);
                self.count -= 1;
            }
        }
        self.services.retain(|_, requests| !requests.is_empty());
    }
}

impl Record {
    fn claim_again(&mut self, digest: u64, holder: Holder) -> ClaimVerdict {
        if self.digest != digest {
            return ClaimVerdict::Mismatch;
        }
        match &self.progress {
            Progress::Held if self.holder == holder => ClaimVerdict::Granted,
            Progress::Held => ClaimVerdict::InProgress,
            Progress::Ended(outcome) => ClaimVerdict::Ended(outcome.clone()),
            Progress::Free if self.is_duplicate(&holder) => ClaimVerdict::InProgress,
            Progress::Free => {
                self.holder = holder;
                self.progress = Progress::Held;
                ClaimVerdict::Granted
            }
        }
    }

    /// Whether the claim is a late duplicate of one that the last holder, the same incarnation, has
    /// already released.
    fn is_duplicate(&self, holder: &Holder) -> bool {
        self.holder.entry == holder.entry
            && self.holder.incarnation == holder.incarnation
            && holder.token <= self.holder.token
    }
}

/// Removes a content type or body that is too large to be recorded.
fn drop_large_texts(outcome: &ClaimOutcome) -> ClaimOutcome {
    match outcome {
        ClaimOutcome::Done {
            status,
            content_type,
            body,
        } => ClaimOutcome::Done {
            status: *status,
            content_type: content_type.clone().filter(|text| is_within_limit(text)),
            body: body.clone().filter(|text| is_within_limit(text)),
        },
        other => other.clone(),
    }
}

fn is_within_limit(text: &str) -> bool {
    text.len() <= KEPT_BODY_MAX_BYTES
}

fn is_too_old(id: &RequestId, now_unix_ms: u64) -> bool {
    id.unix_ms().saturating_add(CLAIM_WINDOW_MS) < now_unix_ms
}
