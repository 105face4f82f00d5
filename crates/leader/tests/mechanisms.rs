//! Guards against safety mechanisms without effect and against invariant checks that detect
//! nothing: with a mechanism disabled, some seed of the simulation must violate the named
//! invariant, and the same seed must not violate it with the mechanism enabled.

mod support;

use std::collections::BTreeSet;

use sapphirepost_leader::Disabled;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_state::Command;
use sapphirepost_state::CommandResult;
use sapphirepost_state::Disabled as StateDisabled;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::RequestId;
use sapphirepost_verifier::Event;
use sapphirepost_verifier::Invariant;
use sapphirepost_verifier::Limits;
use sapphirepost_verifier::Timed;
use sapphirepost_verifier::check;

use crate::support::sim::Options;
use crate::support::sim::Sim;

/// Maximum number of seeds that are tried to find a violation.
const SEEDS: u64 = 2_000;

fn broken_invariants(options: Options) -> BTreeSet<Invariant> {
    let mut sim = Sim::new(options);
    sim.run();
    sim.violations().iter().map(|v| v.invariant).collect()
}

fn assert_breaks(invariant: Invariant, leader: Disabled, state: StateDisabled) {
    assert_breaks_at(invariant, leader, state, 30);
}

fn assert_breaks_at(
    invariant: Invariant,
    leader: Disabled,
    state: StateDisabled,
    commit_max_ms: u64,
) {
    for seed in 0..SEEDS {
        let intact = Options {
            quiet_ms: 1_000,
            commit_max_ms,
            ..Options::new(seed)
        };
        let faulty = Options {
            leader,
            state,
            ..intact
        };
        if broken_invariants(faulty).contains(&invariant) {
            println!("{invariant} is broken by seed {seed}");
            assert!(
                !broken_invariants(intact).contains(&invariant),
                "seed {seed}"
            );
            return;
        }
    }
    panic!("no seed below {SEEDS} breaks {invariant}");
}

#[test]
fn without_the_drift_bound_a_task_runs_twice() {
    let leader = Disabled {
        drift_bound: true,
        ..Disabled::default()
    };
    assert_breaks(Invariant::SingleAttempt, leader, StateDisabled::default());
}

#[test]
fn without_the_wait_of_a_new_leader_a_task_runs_twice() {
    let leader = Disabled {
        new_leader_waits: true,
        ..Disabled::default()
    };
    assert_breaks(Invariant::SingleAttempt, leader, StateDisabled::default());
}

#[test]
fn renewals_while_an_expiry_is_proposed_let_a_task_run_twice() {
    let leader = Disabled {
        no_renewal_while_expiring: true,
        ..Disabled::default()
    };
    // With slow commits, syncs often arrive while a proposed expiry is not applied yet.
    assert_breaks_at(
        Invariant::SingleAttempt,
        leader,
        StateDisabled::default(),
        2_000,
    );
}

#[test]
fn without_attempt_fencing_a_task_runs_twice() {
    let state = StateDisabled {
        attempt_fencing: true,
        ..StateDisabled::default()
    };
    assert_breaks(Invariant::SingleAttempt, Disabled::default(), state);
}

#[test]
fn capacity_released_by_a_stop_command_overcommits_a_worker() {
    let state = StateDisabled {
        release_on_confirmed_stop: true,
        ..StateDisabled::default()
    };
    assert_breaks(Invariant::Capacity, Disabled::default(), state);
}

#[test]
fn without_the_stale_check_two_conflicting_plans_are_confirmed() {
    let state = StateDisabled {
        stale_check: true,
        ..StateDisabled::default()
    };
    assert_breaks(Invariant::Answers, Disabled::default(), state);
}

const START_UNIX_MS: u64 = 1_700_000_000_000;

/// Two entries claim the same request, the second one `later_ms` after the first, whose outcome was
/// not reported. Each runs the request if its claim is granted. Returns the violated invariants.
fn violations_of_two_claims(disabled: StateDisabled, later_ms: u64) -> Vec<Invariant> {
    let mut state = State::new();
    state.disable(disabled);
    let mut history = Vec::new();
    for (entry, at_ms) in [(1, 0), (2, later_ms)] {
        let batch = ClaimBatch {
            entry: EntryId(entry),
            incarnation: Incarnation(1),
            claims: vec![Claim {
                service: support::name("grades"),
                request: RequestId::new(START_UNIX_MS, "composite-run").unwrap(),
                digest: 1,
                token: 1,
            }],
            outcomes: Vec::new(),
        };
        let command = Command {
            at_unix_ms: START_UNIX_MS + at_ms,
            request: Request::Claims(batch),
        };
        let outcome = state.apply(u64::from(entry), &command);
        if outcome.result == CommandResult::Claimed(vec![ClaimVerdict::Granted]) {
            let event = Event::RequestRan {
                request: "composite-run".to_owned(),
                submission: u64::from(entry),
                idempotent: false,
            };
            history.push(Timed { at_ms, event });
        }
    }
    let violations = check(&history, &Limits::default());
    violations.iter().map(|v| v.invariant).collect()
}

#[test]
fn without_the_claim_window_a_late_resend_runs_again() {
    let disabled = StateDisabled {
        claim_window: true,
        ..StateDisabled::default()
    };
    let eleven_minutes_ms = 11 * 60 * 1_000;
    let faulty = violations_of_two_claims(disabled, eleven_minutes_ms);
    assert_eq!(faulty, [Invariant::AtMostOnce]);
    for later_ms in [1, 9 * 60 * 1_000, 10 * 60 * 1_000, eleven_minutes_ms] {
        assert_eq!(
            violations_of_two_claims(StateDisabled::default(), later_ms),
            []
        );
    }
}
