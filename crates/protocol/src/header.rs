//! Headers of callers' requests and their answers.
//!
//! An entry passes the request headers on to the upstream. An upstream that answers with
//! [`OUTCOME`] set to [`OUTCOME_REFUSED`] confirms that it did not run the request.

/// Request: the class, `lookup`, `standard` or `recalculation`.
pub const CLASS: &str = "sapphirepost-class";
/// Request: the time that is left for the answer, in milliseconds.
pub const DEADLINE_MS: &str = "sapphirepost-deadline-ms";
/// Request: the ID of a non-idempotent request, `<unix_ms>-<text>`.
pub const REQUEST_ID: &str = "sapphirepost-request-id";
/// Request: `true` or `false`.
pub const IDEMPOTENT: &str = "sapphirepost-idempotent";
/// Request: the caller, for fairness.
pub const CALLER: &str = "sapphirepost-caller";
/// Answer: how the request ended.
pub const OUTCOME: &str = "sapphirepost-outcome";

/// The request ran and the answer is complete.
pub const OUTCOME_DONE: &str = "done";
/// The request was not run.
pub const OUTCOME_REFUSED: &str = "refused";
/// The request may have run.
pub const OUTCOME_UNKNOWN: &str = "unknown";
