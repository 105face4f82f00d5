//! Each mechanism is left out once, and the check has to notice.
//!
//! Guards against a check that passes whatever the router does, and against mechanisms that have
//! no effect.

mod one;
mod sim;

use sapphirepost_routing::Action;
use sapphirepost_routing::Without;
use sapphirepost_types::RequestClass;
use sim::Options;
use sim::World;
use sim::check;
use sim::check::Checker;
use sim::faults::Fault;
use sim::runner::Mode;

/// Seeds that are tried until a violation of the expected kind shows.
const SEEDS: u64 = 60;

fn assert_noticed(kind: &str, without: Without) {
    let noticed = (0..SEEDS).any(|seed| World::new(Options::random(seed, without)).run().has(kind));
    assert!(noticed, "no violation `{kind}` in {SEEDS} seeds");
}

macro_rules! noticed {
    ($($name:ident: $field:ident => $kind:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_noticed($kind, Without { $field: true, ..Without::default() });
        }
    )*};
}

noticed! {
    slots_are_exceeded_without_shares: shares => "slots";
    slots_are_exceeded_by_a_roster_change_in_one_step: two_step_roster => "slots";
    requests_run_twice_without_claims: claims => "duplicate";
    claims_stay_open_without_return: claim_return => "claim left open";
    requests_run_twice_without_the_retry_rule: retry_rule => "duplicate";
    refused_requests_ran_without_unknown_endings: unknown_ending => "not run, but ran";
    responses_are_mixed_without_matching: send_match => "mixed response";
    leaving_runners_get_requests_without_the_status: leaving => "leaving";
}

#[test]
fn requests_start_late_without_the_time_check() {
    let pauses = |without, seed| Options {
        seed,
        resend: true,
        faults: (0..6)
            .map(|n| (3_501 + n * 1_000, Fault::Pause(n as usize % 3, 1_500)))
            .collect(),
        ..Options::quiet(without, 3, 400, [100, 0, 0])
    };
    let without = Without {
        time_check: true,
        ..Without::default()
    };
    let late =
        |without| (0..20).any(|seed| World::new(pauses(without, seed)).run().has("started late"));
    assert!(late(without));
    assert!(!late(Without::default()));
}

/// Runs the same load with and without one mechanism.
fn compare(options: impl Fn(Without) -> Options, without: Without) -> (Checker, Checker) {
    let with = World::new(options(Without::default())).run();
    assert!(with.violations.is_empty(), "{:#?}", with.violations);
    (with, World::new(options(without)).run())
}

#[test]
fn waits_grow_under_overload_without_admission() {
    let without = Without {
        admission: true,
        ..Without::default()
    };
    let overload = |without| Options::quiet(without, 3, 1_500, [0, 100, 0]);
    let (with, left_out) = compare(overload, without);
    let p99 = |checker: &Checker| check::quantile_ms(checker, RequestClass::Standard, 0.99);
    assert!(p99(&with) <= 1_500, "{} ms", p99(&with));
    assert!(p99(&left_out) >= 2 * p99(&with), "{} ms", p99(&left_out));
}

#[test]
fn a_flooding_caller_crowds_out_others_without_fairness() {
    let without = Without {
        fairness: true,
        ..Without::default()
    };
    let flood = |without| Options {
        flood_percent: 95,
        ..Options::quiet(without, 3, 1_500, [0, 100, 0])
    };
    let (with, left_out) = compare(flood, without);
    let others = |checker: &Checker| check::refused_share(checker, 1);
    assert!(others(&with) <= 0.02, "{}", others(&with));
    assert!(others(&left_out) >= 0.3, "{}", others(&left_out));
}

#[test]
fn lookups_wait_behind_recalculations_without_slots_of_their_own() {
    let without = Without {
        lookup_slots: true,
        ..Without::default()
    };
    let load = |without| Options::quiet(without, 3, 100, [30, 0, 70]);
    let (with, left_out) = compare(load, without);
    let refused = |checker: &Checker| {
        let [done, refused, unknown] = checker.ended[RequestClass::Lookup as usize];
        refused as f64 / (done + refused + unknown) as f64
    };
    let p99 = check::quantile_ms(&with, RequestClass::Lookup, 0.99);
    assert!(p99 <= 15, "{p99} ms");
    assert!(refused(&with) <= 0.01, "{}", refused(&with));
    assert!(refused(&left_out) >= 0.1, "{}", refused(&left_out));
}

#[test]
fn a_failing_runner_fails_lookups_without_ejection() {
    let without = Without {
        ejection: true,
        ..Without::default()
    };
    let failing = |without| Options {
        faults: vec![(0, Fault::Mode(0, Mode::FailFast))],
        ..Options::quiet(without, 5, 100, [100, 0, 0])
    };
    let (with, left_out) = compare(failing, without);
    assert!(with.failed <= 10, "{}", with.failed);
    assert!(left_out.failed >= 50, "{}", left_out.failed);
}

/// Five lookups at once leave five idle connections; then one lookup times out.
fn connection_after_a_timeout(without: Without) -> Vec<Action> {
    let mut one = one::OneRouter::new(without);
    let keys: Vec<_> = (0..5).map(|_| one.lookup()).collect();
    for key in keys {
        one.open_and_answer(key);
    }
    let silent = one.lookup();
    one.pass(600);
    assert!(one.was_answered(silent), "the deadline has passed");
    one.actions.clear();
    one.lookup();
    std::mem::take(&mut one.actions)
}

#[test]
fn old_connections_are_reused_after_a_timeout_without_suspects() {
    let opens = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Open { .. }));
    let without = Without {
        suspects: true,
        ..Without::default()
    };
    assert!(opens(&connection_after_a_timeout(Without::default())));
    assert!(!opens(&connection_after_a_timeout(without)));
}

#[test]
fn retries_multiply_the_load_without_a_budget() {
    let without = Without {
        retry_budget: true,
        ..Without::default()
    };
    let failing = |without| Options {
        faults: (0..4)
            .map(|r| (0, Fault::Mode(r, Mode::FailFast)))
            .collect(),
        ..Options::quiet(without, 4, 200, [100, 0, 0])
    };
    let (with, left_out) = compare(failing, without);
    let asked = |checker: &Checker| checker.answers.len();
    assert!(with.started * 10 <= asked(&with) * 12, "{}", with.started);
    assert!(
        left_out.started >= asked(&left_out) * 2,
        "{}",
        left_out.started
    );
}

#[test]
fn only_a_fault_of_all_runners_at_once_is_taken_for_the_own() {
    let failing = |count: usize| Options {
        faults: (0..count)
            .map(|r| (4_000, Fault::Mode(r, Mode::Stall)))
            .collect(),
        ..Options::quiet(Without::default(), 4, 100, [100, 0, 0])
    };
    assert!(World::new(failing(4)).run().own_fault);
    let one = World::new(failing(1)).run();
    assert!(!one.own_fault);
    assert!(
        one.failed * 100 <= one.answers.len(),
        "{} failed",
        one.failed
    );
}
