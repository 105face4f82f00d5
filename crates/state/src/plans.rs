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

/// How long a plan is kept, in milliseconds: at least as long as the operation that requested it can
/// be resent. The time in the operation's ID may be ahead of the clock by the accepted difference.
pub const PLAN_RETENTION_MS: u64 = OPERATION_WINDOW_MS + 2 * OPERATION_CLOCK_SKEW_MAX_MS;
/// Maximum number of plans; the oldest are dropped first.
pub const PLANS_MAX: usize = 20_000;

/// A recorded plan and its confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRecord {
    /// The plan as recorded, with the ID it was given.
    pub plan: Plan,
    /// The operation that confirmed it; `None` before.
    pub confirmed_by: Option<OperationId>,
}

/// The plans of about the last 24 h.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    next: PlanId,
    /// A persistent map, for cheap copies; see [`Claims`](crate::claims::Claims).
    records: OrdMap<PlanId, Arc<PlanRecord>>,
}

impl Plans {
    /// The plan with the given ID, unless it was dropped.
    pub fn get(&self, id: PlanId) -> Option<&PlanRecord> {
        self.records.get(&id).map(Arc::as_ref)
    }

    /// Number of plans, confirmed or not.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no plan.
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
