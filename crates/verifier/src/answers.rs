//! Answers to confirmations: an operation always gets the same answer, a plan is accepted for one
//! operation only, and of the plans computed from the same version of an object, at most one is
//! accepted.

use std::collections::BTreeMap;

use sapphirepost_types::PlanId;

use crate::event::Answer;
use crate::event::Event;
use crate::event::Timed;
use crate::violation::Invariant;
use crate::violation::Violation;

pub(crate) fn check(history: &[Timed], violations: &mut Vec<Violation>) {
    let mut by_operation: BTreeMap<&str, (PlanId, &Answer)> = BTreeMap::new();
    let mut by_plan: BTreeMap<PlanId, &str> = BTreeMap::new();
    let mut by_version: BTreeMap<(&str, u64), PlanId> = BTreeMap::new();
    for timed in history {
        let Event::ConfirmAnswered {
            operation,
            plan,
            answer,
        } = &timed.event
        else {
            continue;
        };
        let mut report = |detail: String| {
            violations.push(Violation {
                invariant: Invariant::Answers,
                at_ms: timed.at_ms,
                detail,
            });
        };
        let first = by_operation.entry(operation).or_insert((*plan, answer));
        if *first != (*plan, answer) {
            report(format!("operation {operation} got two different answers"));
        }
        let Answer::Accepted { rests_on, .. } = answer else {
            continue;
        };
        let confirmed_by = by_plan.entry(*plan).or_insert(operation);
        if confirmed_by != operation {
            report(format!(
                "{plan} was accepted for the operations {confirmed_by} and {operation}"
            ));
        }
        for (object, version) in rests_on {
            let accepted = by_version.entry((object, *version)).or_insert(*plan);
            if accepted != plan {
                report(format!(
                    "{accepted} and {plan} were both accepted for version {version} of {object}"
                ));
            }
        }
    }
}
