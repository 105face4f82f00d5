//! Tests that switch off one mechanism each and expect a violation or a worse result.
//!
//! Guards against checks that pass whatever the router does, and against mechanisms that have no
//! effect.

mod sim;
mod single_router;

use sapphirepost_routing::Action;
use sapphirepost_routing::Disabled;
use sapphirepost_types::RequestClass;
use sim::Options;
use sim::Simulation;
use sim::check;
use sim::check::Checker;
use sim::faults::Fault;
use sim::runner::Mode;

/// The number of seeds that are tried until a violation of the expected kind is found.
const SEEDS: u64 = 60;

fn assert_detected(kind: &str, disabled: Disabled) {
    let detected = (0..SEEDS).any(|seed| {
        Simulation::new(Options::random(seed, disabled))
            .run()
            .has(kind)
    });
    assert!(detected, "no violation `{kind}` in {SEEDS} seeds");
}

macro_rules! detection_tests {
    ($($name:ident: $field:ident => $kind:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_detected($kind, Disabled { $field: true, ..Disabled::default() });
        }
    )*};
}

detection_tests! {
    slots_are_exceeded_without_shares: shares => "slots";
    slots_are_exceeded_by_a_roster_change_in_one_step: two_step_roster => "slots";
    requests_run_twice_without_claims: claims => "duplicate";
    claims_stay_open_without_claim_release: claim_release => "claim left open";
    requests_run_twice_without_the_idempotency_check: idempotency_check => "duplicate";
    refused_requests_ran_without_unknown_answers: unknown_answers => "not run, but ran";
    responses_reach_wrong_requests_without_response_matching: response_matching => "mixed response";
    leaving_runners_get_requests_without_the_leaving_status: leaving_status => "leaving";
}

#[test]
fn requests_start_late_without_the_deadline_check() {
    let pauses = |disabled, seed| Options {
        seed,
        resend: true,
        faults: (0..6)
            .map(|n| (3_501 + n * 1_000, Fault::Pause(n as usize % 3, 1_500)))
            .collect(),
        ..Options::fault_free(disabled, 3, 400, [100, 0, 0])
    };
    let disabled = Disabled {
        deadline_check: true,
        ..Disabled::default()
    };
    let starts_late = |disabled| {
        (0..20).any(|seed| {
            Simulation::new(pauses(disabled, seed))
                .run()
                .has("started late")
        })
    };
    assert!(starts_late(disabled));
    assert!(!starts_late(Disabled::default()));
}

/// Runs the same load with all mechanisms and with some disabled. The first run must have no
/// violations.
fn compare(options: impl Fn(Disabled) -> Options, disabled: Disabled) -> (Checker, Checker) {
    let enabled_run = Simulation::new(options(Disabled::default())).run();
    assert!(
        enabled_run.violations.is_empty(),
        "{:#?}",
        enabled_run.violations
    );
    (enabled_run, Simulation::new(options(disabled)).run())
}

#[test]
fn waits_grow_under_overload_without_admission() {
    let disabled = Disabled {
        admission: true,
        ..Disabled::default()
    };
    let overload = |disabled| Options::fault_free(disabled, 3, 1_500, [0, 100, 0]);
    let (enabled_run, disabled_run) = compare(overload, disabled);
    let p99 = |checker: &Checker| check::quantile_ms(checker, RequestClass::Standard, 0.99);
    assert!(p99(&enabled_run) <= 1_500, "{} ms", p99(&enabled_run));
    assert!(
        p99(&disabled_run) >= 2 * p99(&enabled_run),
        "{} ms",
        p99(&disabled_run)
    );
}

#[test]
fn a_flooding_caller_gets_others_refused_without_fairness() {
    let disabled = Disabled {
        fairness: true,
        ..Disabled::default()
    };
    let flood = |disabled| Options {
        flood_percent: 95,
        ..Options::fault_free(disabled, 3, 1_500, [0, 100, 0])
    };
    let (enabled_run, disabled_run) = compare(flood, disabled);
    let others = |checker: &Checker| check::refused_fraction(checker, 1);
    assert!(others(&enabled_run) <= 0.02, "{}", others(&enabled_run));
    assert!(others(&disabled_run) >= 0.3, "{}", others(&disabled_run));
}

#[test]
fn lookups_are_refused_behind_recalculations_without_lookup_slots() {
    let disabled = Disabled {
        lookup_slots: true,
        ..Disabled::default()
    };
    let load = |disabled| Options::fault_free(disabled, 3, 100, [30, 0, 70]);
    let (enabled_run, disabled_run) = compare(load, disabled);
    let refused = |checker: &Checker| {
        let [done, refused, unknown] = checker.ended[RequestClass::Lookup as usize];
        refused as f64 / (done + refused + unknown) as f64
    };
    let p99 = check::quantile_ms(&enabled_run, RequestClass::Lookup, 0.99);
    assert!(p99 <= 15, "{p99} ms");
    assert!(refused(&enabled_run) <= 0.01, "{}", refused(&enabled_run));
    assert!(refused(&disabled_run) >= 0.1, "{}", refused(&disabled_run));
}

#[test]
fn a_failing_runner_fails_lookups_without_ejection() {
    let disabled = Disabled {
        ejection: true,
        ..Disabled::default()
    };
    let failing = |disabled| Options {
        faults: vec![(0, Fault::Mode(0, Mode::FailFast))],
        ..Options::fault_free(disabled, 5, 100, [100, 0, 0])
    };
    let (enabled_run, disabled_run) = compare(failing, disabled);
    assert!(enabled_run.failed <= 10, "{}", enabled_run.failed);
    assert!(disabled_run.failed >= 50, "{}", disabled_run.failed);
}

/// Returns the actions for a lookup after a timeout: five concurrent lookups leave five idle
/// connections, then one lookup gets no response until its deadline.
fn connection_after_a_timeout(disabled: Disabled) -> Vec<Action> {
    let mut single = single_router::SingleRouter::new(disabled);
    let keys: Vec<_> = (0..5).map(|_| single.lookup()).collect();
    for key in keys {
        single.open_and_answer(key);
    }
    let silent = single.lookup();
    single.advance(600);
    assert!(single.was_answered(silent), "the deadline has passed");
    single.actions.clear();
    single.lookup();
    std::mem::take(&mut single.actions)
}

#[test]
fn idle_connections_are_reused_after_a_timeout_without_suspect_connections() {
    let opens = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Open { .. }));
    let disabled = Disabled {
        suspect_connections: true,
        ..Disabled::default()
    };
    assert!(opens(&connection_after_a_timeout(Disabled::default())));
    assert!(!opens(&connection_after_a_timeout(disabled)));
}

#[test]
fn retries_multiply_the_load_without_a_budget() {
    let disabled = Disabled {
        retry_budget: true,
        ..Disabled::default()
    };
    let failing = |disabled| Options {
        faults: (0..4)
            .map(|r| (0, Fault::Mode(r, Mode::FailFast)))
            .collect(),
        ..Options::fault_free(disabled, 4, 200, [100, 0, 0])
    };
    let (enabled_run, disabled_run) = compare(failing, disabled);
    let requests = |checker: &Checker| checker.answers.len();
    assert!(
        enabled_run.started * 10 <= requests(&enabled_run) * 12,
        "{}",
        enabled_run.started
    );
    assert!(
        disabled_run.started >= requests(&disabled_run) * 2,
        "{}",
        disabled_run.started
    );
}

#[test]
fn an_entry_suspects_itself_only_if_all_runners_fail_at_once() {
    let failing = |count: usize| Options {
        faults: (0..count)
            .map(|r| (4_000, Fault::Mode(r, Mode::Stall)))
            .collect(),
        ..Options::fault_free(Disabled::default(), 4, 100, [100, 0, 0])
    };
    assert!(Simulation::new(failing(4)).run().local_fault_suspected);
    let one_failing = Simulation::new(failing(1)).run();
    assert!(!one_failing.local_fault_suspected);
    assert!(
        one_failing.failed * 100 <= one_failing.answers.len(),
        "{} failed",
        one_failing.failed
    );
}
