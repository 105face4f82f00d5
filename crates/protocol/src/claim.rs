//! Claims on request IDs.
//!
//! An entry sends a non-idempotent request with an ID to an upstream only after the control
//! processes have granted its claim on the ID. When the caller retries the request at any entry,
//! the recorded claim keeps it from running a second time.

use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use sapphirepost_types::RequestId;
use serde::Deserialize;
use serde::Serialize;

/// The maximum length of a body, and of a content type, that is recorded with an outcome, in bytes.
pub const KEPT_BODY_MAX_BYTES: usize = 1024;

/// A claim of an entry on one request ID.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The service that the request is for.
    pub service: Name,
    /// The claimed ID.
    pub request: RequestId,
    /// A digest of the method, path and body, by which another request with the same ID is
    /// detected.
    pub digest: u64,
    /// Increases with each claim of an incarnation of an entry. An outcome counts only for the
    /// claim with the same token, so that a delayed `NotRun` of an earlier claim cannot release a
    /// later one.
    pub token: u64,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimOutcome {
    /// An upstream sent a complete answer.
    Done {
        /// The status code of the answer.
        status: u16,
        /// The content type of the answer; `None` if it had none, or one that is too long to
        /// record.
        content_type: Option<String>,
        /// The body if it is UTF-8 and has at most [`KEPT_BODY_MAX_BYTES`]; else `None`, and a
        /// retry gets an error that says that the request ran.
        body: Option<String>,
    },
    /// The request certainly did not run; the ID can be claimed again.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

/// The outcome of one claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimDone {
    /// The service that the request was for.
    pub service: Name,
    /// The claimed ID.
    pub request: RequestId,
    /// The token of the claim that was granted.
    pub token: u64,
    /// How the request ended.
    pub outcome: ClaimOutcome,
}

/// Parameters of [`method::CLAIM`](crate::method::CLAIM).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBatch {
    /// The entry that sends the batch.
    pub entry: EntryId,
    /// The incarnation of that entry. An outcome counts only if it comes from the incarnation that
    /// holds the claim.
    pub incarnation: Incarnation,
    /// New claims; the reply has one verdict for each, in the same order.
    pub claims: Vec<Claim>,
    /// Outcomes of claims that were granted earlier.
    pub outcomes: Vec<ClaimDone>,
}

/// The answer to one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ClaimVerdict {
    /// The entry may send the request to an upstream, once.
    Granted,
    /// The request has ended; the recorded outcome is the answer to the caller.
    Ended(ClaimOutcome),
    /// Another claim on the ID is held, by an entry that is running the request or was lost, so the
    /// request may have run. Also the answer to a delayed duplicate of a claim that was released.
    InProgress,
    /// The ID is older than the time for which claims are kept, so that a second run cannot be
    /// ruled out.
    TooOld,
    /// The time in the ID is further in the future than clocks may differ.
    TooNew,
    /// The ID was used for a request with another digest.
    Mismatch,
    /// The maximum number of claims is recorded; the request was not run.
    Full,
}

/// Result of [`method::CLAIM`](crate::method::CLAIM).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimReply {
    /// One verdict for each claim, in the order of the claims.
    pub verdicts: Vec<ClaimVerdict>,
}
