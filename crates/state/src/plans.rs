//! Recorded plans.

use std::sync::Arc;

use imbl::OrdMap;
use sapphirepost_types::OperationId;
use sapphirepost_types::Plan;
use sapphirepost_types::PlanId;
use serde::Deserialize;
use serde::Serialize;

use crate::command::PlanDraft;
use crate::operations::OPERATION_CLOCK_SKEW_MAX_MS;
use crate::operations::OPERATION_WINDOW_MS;

/// How long a plan is kept: as long as the operation that asked for it can be resent, whose id
/// may lie ahead of the clock by the allowance.
pub const PLAN_RETENTION_MS: u64 = OPERATION_WINDOW_MS + 2 * OPERATION_CLOCK_SKEW_MAX_MS;
/// The most plans that are kept; the oldest are dropped first.
pub const PLANS_MAX: usize = 20_000;

/// A plan with its confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRecord {
    /// The plan.
    pub plan: Plan,
    /// The operation that confirmed it.
    pub confirmed_by: Option<OperationId>,
}

/// The plans of the last 24 h.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    next: PlanId,
    /// Copies share what has not changed since, as in the claims.
    records: OrdMap<PlanId, Arc<PlanRecord>>,
}

impl Plans {
    /// A plan.
    pub fn get(&self, id: PlanId) -> Option<&PlanRecord> {
        self.records.get(&id).map(Arc::as_ref)
    }

    /// How many plans are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no plan is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn add(&mut self, draft: PlanDraft, now_unix_ms: u64) -> PlanId {
        self.next = self.next.next();
        let plan = Plan {
            id: self.next,
            intent: draft.intent,
            rests_on: draft.rests_on,
            effects: draft.effects,
            warnings: draft.warnings,
            created_unix_ms: now_unix_ms,
        };
        let record = PlanRecord {
            plan,
            confirmed_by: None,
        };
        self.records.insert(self.next, Arc::new(record));
        self.next
    }

    pub(crate) fn confirm(&mut self, id: PlanId, operation: &OperationId) {
        if let Some(record) = self.records.get_mut(&id) {
            Arc::make_mut(record).confirmed_by = Some(operation.clone());
        }
    }

    pub(crate) fn prune(&mut self, now_unix_ms: u64) {
        while let Some((id, oldest)) = self.records.get_min() {
            let age_ms = now_unix_ms.saturating_sub(oldest.plan.created_unix_ms);
            if age_ms <= PLAN_RETENTION_MS && self.records.len() <= PLANS_MAX {
                break;
            }
            let id = *id;
            self.records.remove(&id);
        }
    }
}
