//! The recorded results of operators' operations, which make resends idempotent.
//!
//! An operation ID is accepted once; a resend gets the recorded result. IDs are ordered by the time
//! in them, so the oldest are dropped first, and only once IDs of that age are refused as too old.

use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use serde::Deserialize;
use serde::Serialize;

/// How long after the time in an operation ID the operation is accepted, in milliseconds. Results
/// are kept at least as long.
pub const OPERATION_WINDOW_MS: u64 = 24 * 60 * 60 * 1_000;
/// How far the time in an operation ID may lie ahead of the clock, in milliseconds: the accepted
/// difference between the clocks of operators and control processes.
pub const OPERATION_CLOCK_SKEW_MAX_MS: u64 = 60_000;
/// Maximum number of recorded operations. Once it is reached, new operations are refused: dropping
/// a record before its ID is too old would allow a resend to take effect twice.
pub const OPERATIONS_MAX: usize = 200_000;

/// The recorded result of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// The operation requested a plan, which got this ID.
    Planned(PlanId),
    /// The operation confirmed a plan, with this result.
    Confirmed(Confirmed),
    /// The operation was refused, for this reason.
    Refused(Refusal),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    /// Digest of the operation's kind and content, against reuse of the ID for another operation.
    content: u64,
    answer: Answer,
}

/// The result of looking up an operation by its ID.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The operation is not recorded and can be carried out.
    New,
    /// The operation was carried out or refused before, with this result.
    Answered(Answer),
    /// The ID is too old, too new or used for another operation, or there are too many operations.
    Refused(Refusal),
}

/// The results of the operations of the last 24 h.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operations {
    /// A persistent map, for cheap copies; see [`Claims`](crate::claims::Claims).
    records: OrdMap<OperationId, Arc<Record>>,
}

impl Operations {
    /// Looks up an operation; `content` is a digest of its kind and content.
    pub fn lookup(&self, id: &OperationId, content: u64, now_unix_ms: u64) -> Lookup {
        if is_too_old(id, now_unix_ms) {
            return Lookup::Refused(Refusal::OperationTooOld);
        }
        if id.unix_ms() > now_unix_ms.saturating_add(OPERATION_CLOCK_SKEW_MAX_MS) {
            return Lookup::Refused(Refusal::OperationTooNew);
        }
        match self.records.get(id) {
            Some(record) if record.content == content => Lookup::Answered(record.answer.clone()),
            Some(_) => Lookup::Refused(Refusal::OperationMismatch),
            None if self.records.len() >= OPERATIONS_MAX => Lookup::Refused(Refusal::Invalid {
                reason: format!("the limit of {OPERATIONS_MAX} operations in 24 h is reached"),
            }),
            None => Lookup::New,
        }
    }

    /// Number of recorded operations.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no operation is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn record(&mut self, id: OperationId, content: u64, answer: Answer) {
        let record = Record { content, answer };
        self.records.insert(id, Arc::new(record));
    }

    pub(crate) fn prune(&mut self, now_unix_ms: u64) {
        while let Some((oldest, _)) = self.records.get_min() {
            if !is_too_old(oldest, now_unix_ms) {
                break;
            }
            let oldest = oldest.clone();
            self.records.remove(&oldest);
        }
    }
}

fn is_too_old(id: &OperationId, now_unix_ms: u64) -> bool {
    id.unix_ms().saturating_add(OPERATION_WINDOW_MS) < now_unix_ms
}
