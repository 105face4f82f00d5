//! Tests of placements, worker reports and the end of jobs. They guard against overcommitted
//! workers and quotas, ends that count twice, older attempts that change newer ones, and jobs that
//! never end.

mod support;

use sapphirepost_state::CommandResult;
use sapphirepost_state::PlacementError;
use sapphirepost_state::jobs::JobPhase;
use sapphirepost_state::tasks::Phase;
use sapphirepost_types::Intent;
use sapphirepost_types::JobKind;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::resources::ResourceKind;

use crate::support::BATCH;
use crate::support::FINISHED;
use crate::support::GANG;
use crate::support::Harness;
use crate::support::RUNNING;
use crate::support::STOPPED;
use crate::support::failed;
use crate::support::name;

fn phase(harness: &Harness, task: u32) -> Phase {
    harness.state.tasks().get(TaskId(task)).unwrap().phase
}

/// Guards against a worker that is overcommitted by two placements, and against a task that is
/// placed twice with the same attempt.
#[test]
fn only_one_of_two_placements_gets_the_last_resources() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 5);
    let group: Vec<_> = (0..4).map(|task| (task, 1, worker)).collect();
    assert_eq!(harness.place(&group), Ok(()));
    let refused = PlacementError::InsufficientResources(worker, ResourceKind::Processor);
    assert_eq!(harness.place(&[(4, 1, worker)]), Err(refused));
    let again = PlacementError::NotWaiting(TaskId(0));
    assert_eq!(harness.place(&[(0, 1, worker)]), Err(again));
}

/// Guards against a group whose tasks fit the quota one by one and exceed it together, and against
/// a refused group that is placed in part.
#[test]
fn a_group_over_the_quota_is_refused_as_a_whole() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 3);
    let limit = Some(Resources::new(2_000, 9_000, 0));
    let team = name("team");
    harness.plan_and_confirm(Intent::SetQuota { team, limit });
    let group = [(0, 1, worker), (1, 1, worker), (2, 1, worker)];
    let refused = PlacementError::OverQuota(ResourceKind::Processor);
    assert_eq!(harness.place(&group), Err(refused));
    assert_eq!(harness.used_resources(worker), Resources::ZERO);
    assert_eq!(harness.place(&group[..2]), Ok(()));
}

/// Guards against a gang that is placed in part, and against one that runs on after a task has
/// failed.
#[test]
fn a_gang_is_placed_as_a_whole_and_stopped_when_one_task_fails() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("g", GANG, 3);
    let group = [(0, 1, worker), (1, 1, worker), (2, 1, worker)];
    let refused = PlacementError::NotWaiting(TaskId(0));
    assert_eq!(harness.place(&group[..2]), Err(refused));
    assert_eq!(harness.place(&group), Ok(()));
    harness.report(worker, 1, 2, false, &[(1, 1, failed())]);
    for task in [0, 2] {
        let stop = harness.state.tasks().get(TaskId(task)).unwrap().stop;
        assert!(stop.is_some(), "task{task}");
    }
}

/// Guards against a report that counts a failure twice when it is sent again, and against the end
/// of an older attempt that ends the newer one.
#[test]
fn a_repeated_end_counts_once_and_an_older_attempt_changes_nothing() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 1);
    harness.place(&[(0, 1, worker)]).unwrap();
    harness.report(worker, 1, 2, false, &[(0, 1, failed())]);
    harness.report(worker, 1, 3, false, &[(0, 1, failed())]);
    let task = harness.state.tasks().get(TaskId(0)).unwrap();
    assert_eq!((task.failures, task.phase), (1, Phase::Waiting));
    harness.place(&[(0, 2, worker)]).unwrap();
    harness.report(worker, 1, 4, false, &[(0, 1, FINISHED)]);
    assert_eq!(phase(&harness, 0), Phase::Starting(worker));
    let late = harness.report(worker, 1, 4, false, &[(0, 2, FINISHED)]);
    assert_eq!(late.result, CommandResult::Ignored);
    harness.report(worker, 1, 5, false, &[(0, 2, FINISHED)]);
    assert_eq!(phase(&harness, 0), Phase::Ended { success: true });
    assert_eq!(harness.used_resources(worker), Resources::ZERO);
}

/// Guards against a worker that is overcommitted after a partition, because an older attempt that
/// still runs there is not counted.
#[test]
fn an_older_attempt_keeps_its_resources_until_it_is_stopped() {
    let mut harness = Harness::new();
    let (partitioned, other) = (harness.add_worker("cut"), harness.add_worker("other"));
    harness.run_job("b", BATCH, 1);
    harness.place(&[(0, 1, partitioned)]).unwrap();
    harness.report(partitioned, 1, 2, false, &[(0, 1, RUNNING)]);
    harness.expire_worker(partitioned);
    harness.place(&[(0, 2, other)]).unwrap();
    harness.report(partitioned, 1, 3, true, &[(0, 1, RUNNING)]);
    assert_eq!(
        harness.used_resources(partitioned),
        Resources::new(1_000, 1_000, 0)
    );
    assert_eq!(phase(&harness, 0), Phase::Starting(other));
    harness.report(partitioned, 1, 4, false, &[(0, 1, STOPPED)]);
    assert_eq!(harness.used_resources(partitioned), Resources::ZERO);
    assert_eq!(phase(&harness, 0), Phase::Starting(other));
}

/// Guards against a worker that is overcommitted by an attempt whose resources are unknown.
#[test]
fn an_attempt_of_an_unknown_task_takes_the_whole_worker() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 1);
    harness.report(worker, 1, 2, false, &[(77, 3, RUNNING)]);
    let refused = PlacementError::InsufficientResources(worker, ResourceKind::Processor);
    assert_eq!(harness.place(&[(0, 1, worker)]), Err(refused));
    harness.report(worker, 1, 3, false, &[(77, 3, STOPPED)]);
    assert_eq!(harness.place(&[(0, 1, worker)]), Ok(()));
}

/// Guards against messages of an earlier incarnation that change the attempts of the current one,
/// and against a restarted worker that is taken for connected before its full report.
#[test]
fn a_lower_incarnation_is_ignored_and_a_new_one_must_report_in_full() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 2);
    harness.place(&[(0, 1, worker), (1, 1, worker)]).unwrap();
    harness.report(worker, 1, 2, false, &[(0, 1, RUNNING)]);
    harness.register("w", 3);
    assert_eq!(harness.register("w", 2).result, CommandResult::Ignored);
    let old = harness.report(worker, 1, 9, true, &[]);
    assert_eq!(old.result, CommandResult::Ignored);
    let partial = harness.report(worker, 3, 1, false, &[]);
    assert_eq!(partial.result, CommandResult::Ignored);
    harness.report(worker, 3, 1, true, &[]);
    // The attempt reported as running has ended. The other one was never reported, so the command
    // that starts it may still be in transit.
    assert_eq!(phase(&harness, 0), Phase::Waiting);
    assert_eq!(phase(&harness, 1), Phase::Starting(worker));
}

/// Guards against a failing task that is retried forever in a cluster with few workers.
#[test]
fn a_job_fails_after_a_bounded_number_of_attempts() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 1);
    let mut attempts = 0;
    while harness.place(&[(0, attempts + 1, worker)]).is_ok() {
        attempts += 1;
        let sequence = u64::from(attempts) + 1;
        harness.report(worker, 1, sequence, false, &[(0, attempts, failed())]);
    }
    assert_eq!(attempts, sapphirepost_state::tasks::FAILURES_MAX);
    let (_, job) = harness.state.jobs().by_name(&name("b")).unwrap();
    assert!(matches!(job.phase, JobPhase::Failed { .. }));
    assert!(job.ended_unix_ms.is_some());
}

/// Guards against a cancellation whose cost grows with the number of tasks, and against waiting
/// tasks that are placed after it.
#[test]
fn a_cancel_changes_the_job_and_none_of_its_tasks() {
    let mut harness = Harness::new();
    let worker = harness.add_worker("w");
    harness.run_job("b", BATCH, 10_000);
    harness.place(&[(0, 1, worker)]).unwrap();
    let job = name("b");
    let outcome = harness.plan_and_confirm(Intent::Cancel { job });
    assert_eq!(outcome.changes.len(), 1, "{:?}", outcome.changes);
    let refused = PlacementError::NotWaiting(TaskId(1));
    assert_eq!(harness.place(&[(1, 1, worker)]), Err(refused));
    assert_eq!(
        harness.used_resources(worker),
        Resources::new(1_000, 1_000, 0)
    );
    harness.report(worker, 1, 2, false, &[(0, 1, STOPPED)]);
    let (_, job) = harness.state.jobs().by_name(&name("b")).unwrap();
    assert_eq!((job.placed, job.ended_unix_ms.is_some()), (0, true));
}

/// Guards against a service that keeps too many replicas after a partition, or stops the original
/// ones instead of the additional ones.
#[test]
fn additional_replicas_are_stopped_when_unreachable_ones_return() {
    let mut harness = Harness::new();
    let (partitioned, other) = (harness.add_worker("cut"), harness.add_worker("other"));
    harness.run_job("s", JobKind::Service, 2);
    harness
        .place(&[(0, 1, partitioned), (1, 1, other)])
        .unwrap();
    harness.report(partitioned, 1, 2, false, &[(0, 1, RUNNING)]);
    harness.report(other, 1, 2, false, &[(1, 1, RUNNING)]);
    harness.expire_worker(partitioned);
    assert_eq!(phase(&harness, 0), Phase::Running(partitioned));
    assert_eq!(harness.place(&[(2, 1, other)]), Ok(()));
    harness.report(other, 1, 3, false, &[(2, 1, RUNNING)]);
    harness.report(partitioned, 1, 3, true, &[(0, 1, RUNNING)]);
    let surplus: Vec<u32> = harness
        .state
        .tasks()
        .iter()
        .filter(|(_, task)| task.is_surplus())
        .map(|(id, _)| id.0)
        .collect();
    assert_eq!(surplus, [2]);
}
