//! I4 and I5: a request told as not run did not run; a non-idempotent one runs at most once.
//!
//! A caller that is told "not run" may send the request again, so a run after such an answer is
//! no violation by itself: it is one when the request ran before the answer, or when nothing
//! else was told afterwards.

use std::collections::BTreeMap;

use crate::event::Event;
use crate::event::Outcome;
use crate::event::Timed;
use crate::violation::Invariant;
use crate::violation::Violation;

#[derive(Default)]
struct Request {
    runs: u32,
    is_idempotent: bool,
    last_told: Option<(u64, Outcome)>,
    ran_after_not_run: Option<u64>,
}

pub(crate) fn check(history: &[Timed], violations: &mut Vec<Violation>) {
    let mut requests: BTreeMap<&str, Request> = BTreeMap::new();
    for timed in history {
        match &timed.event {
            Event::RequestRan {
                request,
                idempotent,
            } => {
                let known = requests.entry(request).or_default();
                known.runs += 1;
                known.is_idempotent = *idempotent;
                if matches!(known.last_told, Some((_, Outcome::NotRun))) {
                    known.ran_after_not_run = Some(timed.at_ms);
                }
                if known.runs > 1 && !idempotent {
                    violations.push(Violation {
                        invariant: Invariant::AtMostOnce,
                        at_ms: timed.at_ms,
                        detail: format!("request {request} ran {} times", known.runs),
                    });
                }
            }
            Event::CallerTold { request, outcome } => {
                let known = requests.entry(request).or_default();
                known.last_told = Some((timed.at_ms, *outcome));
                known.ran_after_not_run = None;
                if *outcome == Outcome::NotRun && known.runs > 0 && !known.is_idempotent {
                    violations.push(Violation {
                        invariant: Invariant::NotRun,
                        at_ms: timed.at_ms,
                        detail: format!("request {request} was told as not run after it ran"),
                    });
                }
            }
            _ => {}
        }
    }
    for (request, known) in requests {
        let Some(at_ms) = known.ran_after_not_run else {
            continue;
        };
        violations.push(Violation {
            invariant: Invariant::NotRun,
            at_ms,
            detail: format!("request {request} ran after its last answer, which was \"not run\""),
        });
    }
}
