//! HTTP headers of callers' requests and of the answers to them.
//!
//! An entry forwards the request headers to the upstream. An upstream that answers with
//! [`OUTCOME`] set to [`OUTCOME_REFUSED`] confirms that it did not run the request.

/// Request header: the request class, `lookup`, `standard` (the default) or `recalculation`.
pub const CLASS: &str = "sapphirepost-class";
/// Request header: the time until the deadline, in milliseconds. The default depends on the class.
/// The entry replaces it by the time that remains when it forwards the request.
pub const DEADLINE_MS: &str = "sapphirepost-deadline-ms";
/// Request header: the ID of a non-idempotent request, `<unix_ms>-<text>`.
pub const REQUEST_ID: &str = "sapphirepost-request-id";
/// Request header: whether the request may run more than once, `true` or `false`. The default
/// depends on the HTTP method.
pub const IDEMPOTENT: &str = "sapphirepost-idempotent";
/// Request header: the name of the caller; capacity is shared fairly among callers. A caller
/// without a name is identified by its IP address.
pub const CALLER: &str = "sapphirepost-caller";
/// Response header: the outcome of the request, one of the values below.
pub const OUTCOME: &str = "sapphirepost-outcome";

/// Value of [`OUTCOME`]: the request ran and the answer is complete.
pub const OUTCOME_DONE: &str = "done";
/// Value of [`OUTCOME`]: the request was not run.
pub const OUTCOME_REFUSED: &str = "refused";
/// Value of [`OUTCOME`]: it is not known whether the request ran.
pub const OUTCOME_UNKNOWN: &str = "unknown";
