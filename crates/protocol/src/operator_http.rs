//! Paths and bodies of the HTTP interface for operators.
//!
//! `POST /v1/plans` and `POST /v1/plans/<id>/confirm` take [`Propose`](crate::operator::Propose)
//! and [`Confirm`](crate::operator::Confirm). The body of each answer that comes from the leader,
//! refusals included, is an [`OperatorReply`](crate::operator::OperatorReply); the body of any
//! other error is an [`ErrorBody`](crate::error::ErrorBody).

use sapphirepost_types::ConfigVersion;
use sapphirepost_types::MemberId;
use sapphirepost_types::OperationId;
use serde::Deserialize;
use serde::Serialize;

/// Requests a plan for an intent; `/v1/plans/<id>` shows a plan and `/v1/plans/<id>/confirm`
/// confirms it.
pub const PLANS: &str = "/v1/plans";
/// Cancels a job: `/v1/jobs/<name>/cancel`.
pub const JOBS: &str = "/v1/jobs";
/// Returns the state of the cluster.
pub const STATUS: &str = "/v1/status";
/// Explains why the tasks of a job wait or run where they do: `/v1/explain/<name>`.
pub const EXPLAIN: &str = "/v1/explain";
/// Returns all configuration values; `PUT /v1/config/<key>` requests a plan that sets or removes
/// one. `GET /v1/config/<key>` returns all values as well.
pub const CONFIG: &str = "/v1/config";
/// Returns past changes of the configuration, the newest first: `?limit=<number>`, which may be
/// left out.
pub const CONFIG_HISTORY: &str = "/v1/config-history";
/// Waits until all entries have applied a configuration version:
/// `?version=<number>&wait_ms=<number>`. Without `wait_ms`, it returns at once.
pub const CONFIG_WAIT: &str = "/v1/config-wait";
/// Lists, adds and removes control processes.
pub const CONTROL: &str = "/v1/control";

/// Lists the tenants of the queue table.
pub const TENANTS: &str = "/v1/tenants";

/// The body of `POST /v1/jobs/<name>/cancel`, which is answered with a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// The ID of the operation; a retry with the same ID gets the same plan.
    pub operation: OperationId,
}

/// The body of `PUT /v1/config/<key>`, which is answered with a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetConfigBody {
    /// The ID of the operation; a retry with the same ID gets the same plan.
    pub operation: OperationId,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
    /// The configuration version that the operator has read; the plan is refused if it is not the
    /// current one. `None` skips the check.
    #[serde(default)]
    pub expected: Option<ConfigVersion>,
}

/// The body of `POST /v1/control`. Both changes are idempotent, so that an operator can repeat a
/// request whose answer was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MembershipBody {
    /// Adds a control process.
    Add {
        /// The ID of the process.
        member: MemberId,
        /// The address of its inner listener, as `ip:port`.
        address: String,
    },
    /// Removes a control process.
    Remove {
        /// The ID of the process.
        member: MemberId,
    },
}
