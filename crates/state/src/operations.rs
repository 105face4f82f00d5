//! The record of operations.
//!
//! An operation id is accepted once. Ids are ordered by their time, so the oldest are dropped
//! first, exactly when an id of that age is refused as too old.

use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_protocol::operator::Confirmed;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_types::OperationId;
use sapphirepost_types::PlanId;
use serde::Deserialize;
use serde::Serialize;

/// How long an operation is remembered.
pub const OPERATION_WINDOW_MS: u64 = 24 * 60 * 60 * 1_000;
/// How far the clocks of operators and control processes may differ.
pub const OPERATION_CLOCK_SKEW_MAX_MS: u64 = 60_000;
/// The most operations that are remembered; when reached, changes are refused, because dropping
/// a younger record would allow a resend to run twice.
pub const OPERATIONS_MAX: usize = 200_000;

/// The recorded answer to an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// The plan.
    Planned(PlanId),
    /// What the confirmation did.
    Confirmed(Confirmed),
    /// Why the change was refused.
    Refused(Refusal),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    content: u64,
    answer: Answer,
}

/// What the record says about an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It is new.
    New,
    /// It was answered before.
    Answered(Answer),
    /// It cannot be accepted.
    Refused(Refusal),
}

/// The answers to the operations of the last 24 h.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operations {
    /// Copies share what has not changed since, as in the claims.
    records: OrdMap<OperationId, Arc<Record>>,
}

impl Operations {
    /// Looks an operation up; `content` is a digest of what it asks for.
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
                reason: format!("{OPERATIONS_MAX} operations in 24 h are the limit"),
            }),
            None => Lookup::New,
        }
    }

    /// How many operations are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no operation is remembered.
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
