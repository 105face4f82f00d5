//! Paths and bodies of the operators' HTTP interface.
//!
//! `POST /v1/plans` and `POST /v1/plans/<id>/confirm` take [`Propose`](crate::operator::Propose)
//! and [`Confirm`](crate::operator::Confirm). Every answer that the leader gave, refusals
//! included, has an [`OperatorReply`](crate::operator::OperatorReply) as its body; every other
//! error has an [`ErrorBody`](crate::error::ErrorBody).

use sapphirepost_types::ConfigVersion;
use sapphirepost_types::MemberId;
use sapphirepost_types::OperationId;
use serde::Deserialize;
use serde::Serialize;

/// Proposes an intent.
pub const PLANS: &str = "/v1/plans";
/// Cancels a job: `/v1/jobs/<name>/cancel`.
pub const JOBS: &str = "/v1/jobs";
/// Shows the cluster.
pub const STATUS: &str = "/v1/status";
/// Explains a job: `/v1/explain/<name>`.
pub const EXPLAIN: &str = "/v1/explain";
/// Shows the whole configuration, or one key: `/v1/config/<key>`.
pub const CONFIG: &str = "/v1/config";
/// Shows past changes: `?limit=<number>`.
pub const CONFIG_HISTORY: &str = "/v1/config-history";
/// Waits until entries have applied a version: `?version=<number>&wait_ms=<number>`.
pub const CONFIG_WAIT: &str = "/v1/config-wait";
/// Shows and changes the control processes.
pub const CONTROL: &str = "/v1/control";

/// The body of `POST /v1/jobs/<name>/cancel`; the answer is a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// The operation; a resend gets the same plan.
    pub operation: OperationId,
}

/// The body of `PUT /v1/config/<key>`; the answer is a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SetConfigBody {
    /// The operation; a resend gets the same plan.
    pub operation: OperationId,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
    /// The version that the operator has seen.
    #[serde(default)]
    pub expected: Option<ConfigVersion>,
}

/// The body of `POST /v1/control`. Both changes are absolute, so that an operator may repeat
/// them after a lost answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MembershipBody {
    /// Adds a control process.
    Add {
        /// The member.
        member: MemberId,
        /// Its inner address.
        address: String,
    },
    /// Removes a control process.
    Remove {
        /// The member.
        member: MemberId,
    },
}
