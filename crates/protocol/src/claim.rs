//! Claims on request ids.
//!
//! An entry may send a non-idempotent request with an id to an upstream only after the group has
//! granted its claim; a resend at any entry then meets that claim.

use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// The longest answer body that is kept with an outcome, in bytes.
pub const KEPT_BODY_MAX_BYTES: usize = 1024;

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The service that the request is for.
    pub service: Name,
    /// The request.
    pub request: RequestId,
    /// A digest of method, path and body, so that another request under the same id is noticed.
    pub digest: u64,
    /// Raised with each claim of an entry run. An outcome counts only for the claim of the same
    /// token, so that a late `NotRun` of an earlier claim cannot free a later one.
    pub token: u64,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimOutcome {
    /// An upstream answered in full.
    Done {
        /// The status code of the answer.
        status: u16,
        /// The answer's content type.
        content_type: Option<String>,
        /// The body as text, if it is UTF-8 and has at most [`KEPT_BODY_MAX_BYTES`].
        body: Option<String>,
    },
    /// It is certain that nothing ran; the id may be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// The outcome of one claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimDone {
    /// The service that the request was for.
    pub service: Name,
    /// The request.
    pub request: RequestId,
    /// The token of the claim that was granted.
    pub token: u64,
    /// How it ended.
    pub outcome: ClaimOutcome,
}

/// Parameters of [`method::CLAIM`](crate::method::CLAIM).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The entry that asks.
    pub entry: EntryId,
    /// The run of that entry; outcomes count only from the run that holds the claim.
    pub incarnation: Incarnation,
    /// Claims, answered in the same order.
    pub claims: Vec<Claim>,
    /// Outcomes of claims granted earlier.
    pub outcomes: Vec<ClaimDone>,
}

/// The answer to one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimVerdict {
    /// The entry may run the request, once.
    Granted,
    /// The request has ended; the recorded outcome is the answer.
    Ended(ClaimOutcome),
    /// Another run of the request is under way, or its entry was lost: it may have run.
    InProgress,
    /// The id is older than the record, so that a second run cannot be ruled out.
    TooOld,
    /// The id lies further in the future than clocks may differ.
    TooNew,
    /// The same id was used for another request.
    Mismatch,
    /// The record holds as many claims as it may; the request was not run.
    Full,
}

/// Result of [`method::CLAIM`](crate::method::CLAIM).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimReply {
    /// One verdict for each claim, in order.
    pub verdicts: Vec<ClaimVerdict>,
}
