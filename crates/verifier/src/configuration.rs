//! I8: accepted changes reach every process in time and never revert.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use sapphirepost_types::Name;

use crate::Limits;
use crate::event::Answer;
use crate::event::Event;
use crate::event::Timed;
use crate::violation::Invariant;
use crate::violation::Violation;

#[derive(Default)]
struct Process {
    /// Since when it has been running and reachable without a break.
    reachable_since_ms: Option<u64>,
    is_running: bool,
    applied: u64,
}

pub(crate) fn check(history: &[Timed], limits: &Limits, violations: &mut Vec<Violation>) {
    let accepted = accepted_changes(history);
    let mut processes: BTreeMap<&Name, Process> = BTreeMap::new();
    let mut missed: BTreeSet<(&Name, u64)> = BTreeSet::new();
    for timed in history {
        report_late(
            &processes,
            &accepted,
            timed.at_ms,
            limits,
            &mut missed,
            violations,
        );
        match &timed.event {
            Event::ProcessStarted { process } => {
                let known = processes.entry(process).or_default();
                *known = Process {
                    reachable_since_ms: Some(timed.at_ms),
                    is_running: true,
                    applied: 0,
                };
            }
            Event::ProcessStopped { process } => {
                let known = processes.entry(process).or_default();
                known.is_running = false;
                known.reachable_since_ms = None;
            }
            Event::ProcessCutOff { process, cut_off } => {
                let known = processes.entry(process).or_default();
                let is_reachable = known.is_running && !cut_off;
                known.reachable_since_ms = is_reachable.then_some(timed.at_ms);
            }
            Event::ConfigApplied {
                process,
                version,
                values,
            } => {
                let known = processes.entry(process).or_default();
                if *version < known.applied {
                    violations.push(violation(
                        timed.at_ms,
                        format!("{process} went from version {} to {version}", known.applied),
                    ));
                }
                known.applied = *version;
                check_values(
                    timed.at_ms,
                    process,
                    *version,
                    values,
                    &accepted,
                    violations,
                );
            }
            _ => {}
        }
    }
}

struct Accepted<'a> {
    at_ms: u64,
    key: &'a Name,
    value: &'a Option<String>,
}

fn accepted_changes(history: &[Timed]) -> BTreeMap<u64, Accepted<'_>> {
    let mut accepted = BTreeMap::new();
    for timed in history {
        let Event::ConfirmAnswered {
            answer:
                Answer::Accepted {
                    config: Some((version, key, value)),
                    ..
                },
            ..
        } = &timed.event
        else {
            continue;
        };
        accepted.entry(*version).or_insert(Accepted {
            at_ms: timed.at_ms,
            key,
            value,
        });
    }
    accepted
}

fn report_late<'a>(
    processes: &BTreeMap<&'a Name, Process>,
    accepted: &BTreeMap<u64, Accepted<'_>>,
    now_ms: u64,
    limits: &Limits,
    missed: &mut BTreeSet<(&'a Name, u64)>,
    violations: &mut Vec<Violation>,
) {
    for (process, known) in processes {
        let Some(since_ms) = known.reachable_since_ms else {
            continue;
        };
        for (version, change) in accepted.range(known.applied + 1..) {
            let due_ms = change.at_ms.max(since_ms) + limits.config_in_force_ms;
            let is_late = change.at_ms <= now_ms && now_ms > due_ms;
            if is_late && missed.insert((process, *version)) {
                violations.push(violation(
                    now_ms,
                    format!("{process} has not applied version {version}"),
                ));
            }
        }
    }
}

/// Going back from the applied version, the first accepted change of each key must be visible.
/// The walk ends at a version whose answer is not known, because it may have changed any key.
fn check_values(
    at_ms: u64,
    process: &Name,
    version: u64,
    values: &[(Name, String)],
    accepted: &BTreeMap<u64, Accepted<'_>>,
    violations: &mut Vec<Violation>,
) {
    let shown: BTreeMap<&Name, &String> = values.iter().map(|(key, value)| (key, value)).collect();
    let mut seen: BTreeSet<&Name> = BTreeSet::new();
    for earlier in (1..=version).rev() {
        let Some(change) = accepted.get(&earlier) else {
            return;
        };
        if !seen.insert(change.key) {
            continue;
        }
        let visible = shown.get(change.key).copied();
        if visible != change.value.as_ref() {
            violations.push(violation(
                at_ms,
                format!(
                    "{process} at version {version} shows {visible:?} for {}, version {earlier} \
                     set {:?}",
                    change.key, change.value
                ),
            ));
        }
    }
}

fn violation(at_ms: u64, detail: String) -> Violation {
    Violation {
        invariant: Invariant::Configuration,
        at_ms,
        detail,
    }
}
