//! Guards against an operation or a request that is accepted twice, a record that grows without
//! bound, a plan that outlives what it rests on, and a snapshot that loses something.

mod support;

use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_protocol::config::ConfigUpdate;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_state::Command;
use sapphirepost_state::CommandResult;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_state::config::HISTORY_MAX;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Intent;
use sapphirepost_types::RequestId;

use crate::support::BATCH;
use crate::support::Machine;
use crate::support::START_UNIX_MS;
use crate::support::name;
use crate::support::record;
use crate::support::set_config;
use crate::support::spec;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

#[test]
fn an_operation_is_accepted_once_in_its_window() {
    let mut machine = Machine::new();
    let operation = machine.operation();
    let request = record(&machine.state, &operation, set_config("k", "1"));
    let first = machine.apply(request.clone()).result;
    assert_eq!(machine.apply(request.clone()).result, first);
    let other = record(&machine.state, &operation, set_config("k", "2"));
    let mismatch = CommandResult::Refused(Refusal::OperationMismatch);
    assert_eq!(machine.apply(other).result, mismatch);
    machine.at_ms = DAY_MS;
    assert_eq!(machine.apply(request.clone()).result, first);
    machine.at_ms = DAY_MS + 1;
    let too_old = CommandResult::Refused(Refusal::OperationTooOld);
    assert_eq!(machine.apply(request).result, too_old);
    machine.at_ms = 2 * DAY_MS;
    machine.apply(Request::Tick);
    assert!(machine.state.operations().is_empty());
    assert!(machine.state.plans().is_empty());
}

#[test]
fn an_operation_from_the_future_is_refused() {
    let mut machine = Machine::new();
    machine.at_ms = 61_000;
    let operation = machine.operation();
    machine.at_ms = 0;
    let request = record(&machine.state, &operation, set_config("k", "1"));
    let too_new = CommandResult::Refused(Refusal::OperationTooNew);
    assert_eq!(machine.apply(request).result, too_new);
}

#[test]
fn of_two_plans_over_one_version_one_is_confirmed_and_named() {
    let mut machine = Machine::new();
    let first = machine.plan(set_config("k", "1"));
    let second = machine.plan(set_config("k", "2"));
    assert!(matches!(
        machine.confirm(second).result,
        CommandResult::Confirmed(_)
    ));
    let CommandResult::Refused(Refusal::Stale { won, .. }) = machine.confirm(first).result else {
        panic!("the first plan is stale");
    };
    assert_eq!(won, Some(second));
    let again = machine.confirm(second).result;
    assert!(matches!(
        again,
        CommandResult::Refused(Refusal::AlreadyConfirmed { .. })
    ));
}

#[test]
fn a_plan_made_before_a_job_stays_stale_after_the_job() {
    let mut machine = Machine::new();
    let early = machine.plan(Intent::Run(spec("b", BATCH, 1)));
    machine.run("b", BATCH, 1);
    let job = name("b");
    machine.intend(Intent::Cancel { job });
    machine.at_ms = DAY_MS - 1_000;
    machine.apply(Request::Tick);
    let verdict = machine.confirm(early).result;
    assert!(
        matches!(verdict, CommandResult::Refused(Refusal::Stale { .. })),
        "{verdict:?}"
    );
    machine.at_ms = 3 * DAY_MS;
    machine.apply(Request::Tick);
    assert!(machine.state.jobs().is_empty(), "ended jobs are forgotten");
    assert!(machine.state.tasks().is_empty(), "and their tasks");
    assert!(
        machine.state.jobs().name_version(&name("b")).is_none(),
        "and their names"
    );
}

fn claim(entry: u16, token: u64, digest: u64, id_ms: u64) -> ClaimBatch {
    ClaimBatch {
        entry: EntryId(entry),
        incarnation: Incarnation(1),
        claims: vec![Claim {
            service: name("s"),
            request: RequestId::new(START_UNIX_MS + id_ms, "r").unwrap(),
            digest,
            token,
        }],
        outcomes: Vec::new(),
    }
}

fn done(entry: u16, token: u64, outcome: ClaimOutcome) -> ClaimBatch {
    let mut batch = claim(entry, token, 1, 0);
    batch.outcomes = vec![ClaimDone {
        service: name("s"),
        request: batch.claims.remove(0).request,
        token,
        outcome,
    }];
    batch
}

fn verdict(machine: &mut Machine, batch: ClaimBatch) -> ClaimVerdict {
    match machine.apply(Request::Claims(batch)).result {
        CommandResult::Claimed(mut verdicts) => verdicts.remove(0),
        other => panic!("{other:?}"),
    }
}

#[test]
fn only_the_holder_of_a_claim_ends_it() {
    let mut machine = Machine::new();
    assert_eq!(
        verdict(&mut machine, claim(1, 1, 1, 0)),
        ClaimVerdict::Granted
    );
    assert_eq!(
        verdict(&mut machine, claim(1, 1, 1, 0)),
        ClaimVerdict::Granted
    );
    assert_eq!(
        verdict(&mut machine, claim(1, 2, 1, 0)),
        ClaimVerdict::InProgress
    );
    assert_eq!(
        verdict(&mut machine, claim(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
    assert_eq!(
        verdict(&mut machine, claim(2, 1, 9, 0)),
        ClaimVerdict::Mismatch
    );
    machine.apply(Request::Claims(done(2, 1, ClaimOutcome::NotRun)));
    assert_eq!(
        verdict(&mut machine, claim(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
    let mut restarted = done(1, 1, ClaimOutcome::NotRun);
    restarted.incarnation = Incarnation(2);
    machine.apply(Request::Claims(restarted));
    assert_eq!(
        verdict(&mut machine, claim(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
}

#[test]
fn a_late_not_run_does_not_free_a_newer_claim() {
    let mut machine = Machine::new();
    verdict(&mut machine, claim(1, 1, 1, 0));
    machine.apply(Request::Claims(done(1, 1, ClaimOutcome::NotRun)));
    // The given up claim, delivered again, is not granted; the next one is.
    assert_eq!(
        verdict(&mut machine, claim(1, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
    assert_eq!(
        verdict(&mut machine, claim(1, 2, 1, 0)),
        ClaimVerdict::Granted
    );
    machine.apply(Request::Claims(done(1, 1, ClaimOutcome::NotRun)));
    assert_eq!(
        verdict(&mut machine, claim(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
}

#[test]
fn an_outcome_is_kept_with_a_small_body_only() {
    let mut machine = Machine::new();
    let answer = |length: usize| ClaimOutcome::Done {
        status: 200,
        content_type: None,
        body: Some("x".repeat(length)),
    };
    verdict(&mut machine, claim(1, 1, 1, 0));
    machine.apply(Request::Claims(done(1, 1, answer(5_000))));
    let kept = ClaimOutcome::Done {
        status: 200,
        content_type: None,
        body: None,
    };
    assert_eq!(
        verdict(&mut machine, claim(2, 1, 1, 0)),
        ClaimVerdict::Ended(kept)
    );
    machine.apply(Request::Claims(done(1, 1, answer(1))));
    assert!(matches!(
        verdict(&mut machine, claim(2, 1, 1, 0)),
        ClaimVerdict::Ended(_)
    ));
}

#[test]
fn claims_have_a_window() {
    let mut machine = Machine::new();
    machine.at_ms = 700_000;
    assert_eq!(
        verdict(&mut machine, claim(1, 1, 1, 0)),
        ClaimVerdict::TooOld
    );
    assert_eq!(
        verdict(&mut machine, claim(1, 2, 1, 760_001)),
        ClaimVerdict::TooNew
    );
    assert_eq!(
        verdict(&mut machine, claim(1, 3, 1, 760_000)),
        ClaimVerdict::Granted
    );
    assert_eq!(
        verdict(&mut machine, claim(1, 4, 1, 100_000)),
        ClaimVerdict::Granted
    );
    machine.at_ms = 1_360_001;
    machine.apply(Request::Tick);
    assert!(machine.state.claims().is_empty());
}

#[test]
fn a_copy_of_the_configuration_follows_by_changes_or_as_a_whole() {
    let mut machine = Machine::new();
    for value in 0..HISTORY_MAX + 10 {
        machine.intend(set_config("k", &value.to_string()));
    }
    let config = machine.state.config();
    let newest = config.version();
    assert_eq!(config.history().count(), HISTORY_MAX);
    assert_eq!(config.update_since(Some(newest)), ConfigUpdate::Current);
    let before = Some(ConfigVersion(newest.0 - 5));
    let ConfigUpdate::Changes(changes) = config.update_since(before) else {
        panic!("recent changes are kept");
    };
    assert_eq!(changes.len(), 1, "one change for each key");
    let oldest_kept = Some(ConfigVersion(10));
    assert!(matches!(
        config.update_since(oldest_kept),
        ConfigUpdate::Changes(_)
    ));
    for copy in [None, Some(ConfigVersion(9))] {
        assert!(matches!(config.update_since(copy), ConfigUpdate::Whole(_)));
    }
}

#[test]
fn a_snapshot_restores_an_equal_state_and_an_index_applies_once() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 3);
    machine.place(&[(0, 1, worker), (1, 1, worker)]).unwrap();
    verdict(&mut machine, claim(1, 1, 1, 0));
    machine.intend(set_config("k", "1"));
    let mut restored = State::restore(&machine.state.snapshot()).unwrap();
    assert_eq!(restored.digest(), machine.state.digest());
    let again = Command {
        at_unix_ms: START_UNIX_MS + DAY_MS,
        request: Request::Tick,
    };
    let outcome = restored.apply(restored.applied(), &again);
    assert_eq!(outcome.result, CommandResult::Ignored);
    assert_eq!(restored.digest(), machine.state.digest());
    assert!(State::restore(b"{}").is_err());
}
