//! Tests of operations, plans, claims, the configuration and snapshots. They guard against an
//! operation or a request that is accepted twice, records that are never dropped, a plan that is
//! confirmed after an object that it was computed from has changed, and a snapshot that loses data.

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
use crate::support::Harness;
use crate::support::START_UNIX_MS;
use crate::support::name;
use crate::support::record_plan_request;
use crate::support::set_config;
use crate::support::spec;

const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Guards against a resent operation that takes effect twice, a reused ID that gets the result of
/// another operation, and operations and plans that are never dropped.
#[test]
fn an_operation_is_accepted_once_in_its_window() {
    let mut harness = Harness::new();
    let operation = harness.next_operation();
    let request = record_plan_request(&harness.state, &operation, set_config("k", "1"));
    let first = harness.apply(request.clone()).result;
    assert_eq!(harness.apply(request.clone()).result, first);
    let other = record_plan_request(&harness.state, &operation, set_config("k", "2"));
    let mismatch = CommandResult::Refused(Refusal::OperationMismatch);
    assert_eq!(harness.apply(other).result, mismatch);
    harness.at_ms = DAY_MS;
    assert_eq!(harness.apply(request.clone()).result, first);
    harness.at_ms = DAY_MS + 1;
    let too_old = CommandResult::Refused(Refusal::OperationTooOld);
    assert_eq!(harness.apply(request).result, too_old);
    harness.at_ms = 2 * DAY_MS;
    harness.apply(Request::Tick);
    assert!(harness.state.operations().is_empty());
    assert!(harness.state.plans().is_empty());
}

/// Guards against an operation that is accepted although the time in its ID is further ahead of the
/// clock than the accepted difference.
#[test]
fn an_operation_from_the_future_is_refused() {
    let mut harness = Harness::new();
    harness.at_ms = 61_000;
    let operation = harness.next_operation();
    harness.at_ms = 0;
    let request = record_plan_request(&harness.state, &operation, set_config("k", "1"));
    let too_new = CommandResult::Refused(Refusal::OperationTooNew);
    assert_eq!(harness.apply(request).result, too_new);
}

/// Guards against two plans for the same configuration that are both confirmed, and against a
/// refusal that does not say which plan was confirmed first.
#[test]
fn a_stale_plan_is_refused_and_the_confirmed_one_is_named() {
    let mut harness = Harness::new();
    let first = harness.record_plan(set_config("k", "1"));
    let second = harness.record_plan(set_config("k", "2"));
    assert!(matches!(
        harness.confirm(second).result,
        CommandResult::Confirmed(_)
    ));
    let CommandResult::Refused(Refusal::Stale { won, .. }) = harness.confirm(first).result else {
        panic!("the first plan is stale");
    };
    assert_eq!(won, Some(second));
    let again = harness.confirm(second).result;
    assert!(matches!(
        again,
        CommandResult::Refused(Refusal::AlreadyConfirmed { .. })
    ));
}

/// Guards against an old plan that starts a job a second time after the first one has ended, and
/// against ended jobs that are never dropped.
#[test]
fn a_plan_made_before_a_job_stays_stale_after_the_job_ends() {
    let mut harness = Harness::new();
    let early = harness.record_plan(Intent::Run(spec("b", BATCH, 1)));
    harness.run_job("b", BATCH, 1);
    let job = name("b");
    harness.plan_and_confirm(Intent::Cancel { job });
    harness.at_ms = DAY_MS - 1_000;
    harness.apply(Request::Tick);
    let result = harness.confirm(early).result;
    assert!(
        matches!(result, CommandResult::Refused(Refusal::Stale { .. })),
        "{result:?}"
    );
    harness.at_ms = 3 * DAY_MS;
    harness.apply(Request::Tick);
    assert!(harness.state.jobs().is_empty(), "ended jobs are dropped");
    assert!(
        harness.state.tasks().is_empty(),
        "the tasks of ended jobs are dropped"
    );
    assert!(
        harness.state.jobs().name_version(&name("b")).is_none(),
        "the versions of their names are dropped"
    );
}

fn claim_batch(entry: u16, token: u64, digest: u64, id_ms: u64) -> ClaimBatch {
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

fn outcome_batch(entry: u16, token: u64, outcome: ClaimOutcome) -> ClaimBatch {
    let mut batch = claim_batch(entry, token, 1, 0);
    batch.outcomes = vec![ClaimDone {
        service: name("s"),
        request: batch.claims.remove(0).request,
        token,
        outcome,
    }];
    batch
}

fn claim_result(harness: &mut Harness, batch: ClaimBatch) -> ClaimVerdict {
    match harness.apply(Request::Claims(batch)).result {
        CommandResult::Claimed(mut results) => results.remove(0),
        other => panic!("{other:?}"),
    }
}

/// Guards against a request that runs twice because another entry, another incarnation or another
/// claim of the same entry gets or releases the claim.
#[test]
fn only_the_holder_of_a_claim_ends_it() {
    let mut harness = Harness::new();
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 1, 1, 0)),
        ClaimVerdict::Granted
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 1, 1, 0)),
        ClaimVerdict::Granted
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 2, 1, 0)),
        ClaimVerdict::InProgress
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(2, 1, 9, 0)),
        ClaimVerdict::Mismatch
    );
    harness.apply(Request::Claims(outcome_batch(2, 1, ClaimOutcome::NotRun)));
    assert_eq!(
        claim_result(&mut harness, claim_batch(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
    let mut restarted = outcome_batch(1, 1, ClaimOutcome::NotRun);
    restarted.incarnation = Incarnation(2);
    harness.apply(Request::Claims(restarted));
    assert_eq!(
        claim_result(&mut harness, claim_batch(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
}

/// Guards against a request that runs twice because a claim or an outcome is delivered again after
/// the entry has claimed the request anew.
#[test]
fn a_late_not_run_outcome_does_not_release_a_newer_claim() {
    let mut harness = Harness::new();
    claim_result(&mut harness, claim_batch(1, 1, 1, 0));
    harness.apply(Request::Claims(outcome_batch(1, 1, ClaimOutcome::NotRun)));
    // A duplicate of the released claim is not granted; the entry's next claim is granted.
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 2, 1, 0)),
        ClaimVerdict::Granted
    );
    harness.apply(Request::Claims(outcome_batch(1, 1, ClaimOutcome::NotRun)));
    assert_eq!(
        claim_result(&mut harness, claim_batch(2, 1, 1, 0)),
        ClaimVerdict::InProgress
    );
}

/// Guards against response bodies that fill the replicated state, and against an outcome that loses
/// its status because its body is too large.
#[test]
fn a_large_body_is_not_recorded_with_the_outcome() {
    let mut harness = Harness::new();
    let answer = |length: usize| ClaimOutcome::Done {
        status: 200,
        content_type: None,
        body: Some("x".repeat(length)),
    };
    claim_result(&mut harness, claim_batch(1, 1, 1, 0));
    harness.apply(Request::Claims(outcome_batch(1, 1, answer(5_000))));
    let kept = ClaimOutcome::Done {
        status: 200,
        content_type: None,
        body: None,
    };
    assert_eq!(
        claim_result(&mut harness, claim_batch(2, 1, 1, 0)),
        ClaimVerdict::Ended(kept)
    );
    harness.apply(Request::Claims(outcome_batch(1, 1, answer(1))));
    assert!(matches!(
        claim_result(&mut harness, claim_batch(2, 1, 1, 0)),
        ClaimVerdict::Ended(_)
    ));
}

/// Guards against a claim that is granted again after its record was dropped, and against claims
/// that are never dropped.
#[test]
fn claims_outside_the_window_are_refused_and_dropped() {
    let mut harness = Harness::new();
    harness.at_ms = 700_000;
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 1, 1, 0)),
        ClaimVerdict::TooOld
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 2, 1, 760_001)),
        ClaimVerdict::TooNew
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 3, 1, 760_000)),
        ClaimVerdict::Granted
    );
    assert_eq!(
        claim_result(&mut harness, claim_batch(1, 4, 1, 100_000)),
        ClaimVerdict::Granted
    );
    harness.at_ms = 1_360_001;
    harness.apply(Request::Tick);
    assert!(harness.state.claims().is_empty());
}

/// Guards against a copy of the configuration that misses a change because the history no longer
/// reaches back to its version.
#[test]
fn a_configuration_copy_is_updated_by_changes_or_as_a_whole() {
    let mut harness = Harness::new();
    for value in 0..HISTORY_MAX + 10 {
        harness.plan_and_confirm(set_config("k", &value.to_string()));
    }
    let config = harness.state.config();
    let newest = config.version();
    assert_eq!(config.history().count(), HISTORY_MAX);
    assert_eq!(config.update_since(Some(newest)), ConfigUpdate::Current);
    let before = Some(ConfigVersion(newest.0 - 5));
    let ConfigUpdate::Changes(changes) = config.update_since(before) else {
        panic!("the history covers recent changes");
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

/// Guards against a snapshot that loses data, and against a log entry that is applied again after a
/// restore.
#[test]
fn a_snapshot_restores_an_equal_state_and_an_index_applies_once() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 3);
    harness.place(&[(0, 1, worker), (1, 1, worker)]).unwrap();
    claim_result(&mut harness, claim_batch(1, 1, 1, 0));
    harness.plan_and_confirm(set_config("k", "1"));
    let mut restored = State::restore(&harness.state.snapshot()).unwrap();
    assert_eq!(restored.digest(), harness.state.digest());
    let again = Command {
        at_unix_ms: START_UNIX_MS + DAY_MS,
        request: Request::Tick,
    };
    let outcome = restored.apply(restored.applied(), &again);
    assert_eq!(outcome.result, CommandResult::Ignored);
    assert_eq!(restored.digest(), harness.state.digest());
    assert!(State::restore(b"{}").is_err());
}

/// Guards against a drained worker that takes tasks again, without an operator's undrain, because
/// it was away for longer than the retention of workers.
#[test]
fn a_drained_worker_is_still_drained_after_days_of_absence() {
    let mut harness = Harness::new();
    let (drained, other) = (harness.add_worker("drained"), harness.add_worker("other"));
    let worker = name("drained");
    harness.plan_and_confirm(Intent::Drain {
        worker: worker.clone(),
        allow_interruption: false,
    });
    harness.expire_worker(drained);
    harness.expire_worker(other);
    harness.at_ms = 3 * DAY_MS;
    harness.apply(Request::Tick);
    assert_eq!(harness.state.workers().id(&name("other")), None);
    harness.register("drained", 2);
    let (_, known) = harness.state.workers().by_name(&worker).unwrap();
    assert!(known.draining);
}

/// Guards against drained workers that are never dropped, although an operator declared them lost.
#[test]
fn a_drained_worker_that_was_declared_lost_is_dropped() {
    let mut harness = Harness::new();
    let id = harness.add_worker("w");
    let worker = name("w");
    harness.plan_and_confirm(Intent::Drain {
        worker: worker.clone(),
        allow_interruption: false,
    });
    harness.expire_worker(id);
    harness.plan_and_confirm(Intent::DeclareLost { worker });
    harness.at_ms = 3 * DAY_MS;
    harness.apply(Request::Tick);
    assert!(harness.state.workers().is_empty());
}
