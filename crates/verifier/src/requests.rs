//! I4 and I5: a submission that was refused as not run did not run; a non-idempotent request runs
//! at most once.
//!
//! [`Outcome::NotRun`] is a statement about one submission of a request: an earlier submission of
//! the same request with the outcome [`Outcome::Unknown`] may have run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::event::Event;
use crate::event::Outcome;
use crate::event::Timed;
use crate::violation::Invariant;
use crate::violation::Violation;

pub(crate) fn check(history: &[Timed], violations: &mut Vec<Violation>) {
    let refused = refused_submissions(history);
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for timed in history {
        let Event::RequestRan {
            request,
            submission,
            idempotent,
        } = &timed.event
        else {
            continue;
        };
        if refused.contains(submission) {
            violations.push(Violation {
                invariant: Invariant::NotRun,
                at_ms: timed.at_ms,
                detail: format!(
                    "submission {submission} of {request} ran although it was answered as not run"
                ),
            });
        }
        let count = runs.entry(request).or_default();
        *count += 1;
        if *count > 1 && !idempotent {
            violations.push(Violation {
                invariant: Invariant::AtMostOnce,
                at_ms: timed.at_ms,
                detail: format!("{request} ran {count} times"),
            });
        }
    }
}

fn refused_submissions(history: &[Timed]) -> BTreeSet<u64> {
    history
        .iter()
        .filter_map(|timed| match &timed.event {
            Event::RequestAnswered {
                submission,
                outcome: Outcome::NotRun,
            } => Some(*submission),
            _ => None,
        })
        .collect()
}
