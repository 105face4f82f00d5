//! I8: accepted configuration changes are applied by every process in time and are not reverted.

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
    /// The start of the current period in which it has been running and in contact; `None` if it is
    /// not both now.
    reachable_since_ms: Option<u64>,
    is_running: bool,
    applied_version: u64,
}

pub(crate) fn check(history: &[Timed], limits: &Limits, violations: &mut Vec<Violation>) {
    let accepted = accepted_changes(history);
    let mut processes: BTreeMap<&Name, Process> = BTreeMap::new();
    let mut reported: BTreeSet<(&Name, u64)> = BTreeSet::new();
    for timed in history {
        report_overdue(
            &processes,
            &accepted,
            timed.at_ms,
            limits,
            &mut reported,
            violations,
        );
        match &timed.event {
            Event::ProcessStarted { process } => {
                let state = processes.entry(process).or_default();
                *state = Process {
                    reachable_since_ms: Some(timed.at_ms),
                    is_running: true,
                    applied_version: 0,
                };
            }
            Event::ProcessStopped { process } => {
                let state = processes.entry(process).or_default();
                state.is_running = false;
                state.reachable_since_ms = None;
            }
            Event::ProcessCutOff { process, cut_off } => {
                let state = processes.entry(process).or_default();
                let is_reachable = state.is_running && !cut_off;
                state.reachable_since_ms = is_reachable.then_some(timed.at_ms);
            }
            Event::ConfigApplied {
                process,
                version,
                values,
            } => {
                let state = processes.entry(process).or_default();
                if *version < state.applied_version {
                    violations.push(violation(
                        timed.at_ms,
                        format!(
                            "{process} went from version {} to {version}",
                            state.applied_version
                        ),
                    ));
                }
                state.applied_version = *version;
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

struct AcceptedChange<'a> {
    at_ms: u64,
    key: &'a Name,
    value: &'a Option<String>,
}

fn accepted_changes(history: &[Timed]) -> BTreeMap<u64, AcceptedChange<'_>> {
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
        accepted.entry(*version).or_insert(AcceptedChange {
            at_ms: timed.at_ms,
            key,
            value,
        });
    }
    accepted
}

fn report_overdue<'a>(
    processes: &BTreeMap<&'a Name, Process>,
    accepted: &BTreeMap<u64, AcceptedChange<'_>>,
    now_ms: u64,
    limits: &Limits,
    reported: &mut BTreeSet<(&'a Name, u64)>,
    violations: &mut Vec<Violation>,
) {
    for (process, state) in processes {
        let Some(since_ms) = state.reachable_since_ms else {
            continue;
        };
        for (version, change) in accepted.range(state.applied_version + 1..) {
            let deadline_ms = change.at_ms.max(since_ms) + limits.config_in_force_ms;
            let is_overdue = change.at_ms <= now_ms && now_ms > deadline_ms;
            if is_overdue && reported.insert((process, *version)) {
                violations.push(violation(
                    now_ms,
                    format!("{process} has not applied version {version}"),
                ));
            }
        }
    }
}

/// Checks that the values which a process applied contain, for each key, the newest accepted change
/// up to its version.
///
/// The check goes back from this version and ends at a version for which the history has no
/// accepted change, because that change may have been to any key.
fn check_values(
    at_ms: u64,
    process: &Name,
    version: u64,
    values: &[(Name, String)],
    accepted: &BTreeMap<u64, AcceptedChange<'_>>,
    violations: &mut Vec<Violation>,
) {
    let values_by_key: BTreeMap<&Name, &String> =
        values.iter().map(|(key, value)| (key, value)).collect();
    let mut checked_keys: BTreeSet<&Name> = BTreeSet::new();
    for earlier in (1..=version).rev() {
        let Some(change) = accepted.get(&earlier) else {
            return;
        };
        if !checked_keys.insert(change.key) {
            continue;
        }
        let applied = values_by_key.get(change.key).copied();
        if applied != change.value.as_ref() {
            violations.push(violation(
                at_ms,
                format!(
                    "{process} at version {version} has {applied:?} for {}, version {earlier} \
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
