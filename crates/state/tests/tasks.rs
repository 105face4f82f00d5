//! Guards against overfilled workers and quotas, ends that count twice, old attempts that change
//! new ones, and jobs that never end.

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
use crate::support::Machine;
use crate::support::RUNNING;
use crate::support::STOPPED;
use crate::support::failed;
use crate::support::name;

fn phase(machine: &Machine, task: u32) -> Phase {
    machine.state.tasks().get(TaskId(task)).unwrap().phase
}

#[test]
fn of_two_placements_for_the_last_room_one_passes() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 5);
    let group: Vec<_> = (0..4).map(|task| (task, 1, worker)).collect();
    assert_eq!(machine.place(&group), Ok(()));
    let refused = PlacementError::InsufficientResources(worker, ResourceKind::Processor);
    assert_eq!(machine.place(&[(4, 1, worker)]), Err(refused));
    let again = PlacementError::NotWaiting(TaskId(0));
    assert_eq!(machine.place(&[(0, 1, worker)]), Err(again));
}

#[test]
fn a_group_beyond_the_quota_places_nothing() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 3);
    let limit = Some(Resources::new(2_000, 9_000, 0));
    let team = name("team");
    machine.intend(Intent::SetQuota { team, limit });
    let group = [(0, 1, worker), (1, 1, worker), (2, 1, worker)];
    let refused = PlacementError::OverQuota(ResourceKind::Processor);
    assert_eq!(machine.place(&group), Err(refused));
    assert_eq!(machine.used(worker), Resources::ZERO);
    assert_eq!(machine.place(&group[..2]), Ok(()));
}

#[test]
fn a_gang_starts_as_a_whole_and_restarts_as_a_whole() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("g", GANG, 3);
    let group = [(0, 1, worker), (1, 1, worker), (2, 1, worker)];
    let refused = PlacementError::NotWaiting(TaskId(0));
    assert_eq!(machine.place(&group[..2]), Err(refused));
    assert_eq!(machine.place(&group), Ok(()));
    machine.report(worker, 1, 2, false, &[(1, 1, failed())]);
    for task in [0, 2] {
        let stop = machine.state.tasks().get(TaskId(task)).unwrap().stop;
        assert!(stop.is_some(), "task{task}");
    }
}

#[test]
fn an_end_counts_once_and_an_old_attempt_changes_nothing() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 1);
    machine.place(&[(0, 1, worker)]).unwrap();
    machine.report(worker, 1, 2, false, &[(0, 1, failed())]);
    machine.report(worker, 1, 3, false, &[(0, 1, failed())]);
    let task = machine.state.tasks().get(TaskId(0)).unwrap();
    assert_eq!((task.failures, task.phase), (1, Phase::Waiting));
    machine.place(&[(0, 2, worker)]).unwrap();
    machine.report(worker, 1, 4, false, &[(0, 1, FINISHED)]);
    assert_eq!(phase(&machine, 0), Phase::Starting(worker));
    let late = machine.report(worker, 1, 4, false, &[(0, 2, FINISHED)]);
    assert_eq!(late.result, CommandResult::Ignored);
    machine.report(worker, 1, 5, false, &[(0, 2, FINISHED)]);
    assert_eq!(phase(&machine, 0), Phase::Ended { success: true });
    assert_eq!(machine.used(worker), Resources::ZERO);
}

#[test]
fn an_older_attempt_holds_its_room_until_it_is_stopped() {
    let mut machine = Machine::new();
    let (cut, other) = (machine.worker("cut"), machine.worker("other"));
    machine.run("b", BATCH, 1);
    machine.place(&[(0, 1, cut)]).unwrap();
    machine.report(cut, 1, 2, false, &[(0, 1, RUNNING)]);
    machine.expire(cut);
    machine.place(&[(0, 2, other)]).unwrap();
    machine.report(cut, 1, 3, true, &[(0, 1, RUNNING)]);
    assert_eq!(machine.used(cut), Resources::new(1_000, 1_000, 0));
    assert_eq!(phase(&machine, 0), Phase::Starting(other));
    machine.report(cut, 1, 4, false, &[(0, 1, STOPPED)]);
    assert_eq!(machine.used(cut), Resources::ZERO);
    assert_eq!(phase(&machine, 0), Phase::Starting(other));
}

#[test]
fn an_unknown_attempt_counts_as_the_whole_worker() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 1);
    machine.report(worker, 1, 2, false, &[(77, 3, RUNNING)]);
    let refused = PlacementError::InsufficientResources(worker, ResourceKind::Processor);
    assert_eq!(machine.place(&[(0, 1, worker)]), Err(refused));
    machine.report(worker, 1, 3, false, &[(77, 3, STOPPED)]);
    assert_eq!(machine.place(&[(0, 1, worker)]), Ok(()));
}

#[test]
fn a_lower_incarnation_is_ignored_and_a_new_one_must_report_in_full() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 2);
    machine.place(&[(0, 1, worker), (1, 1, worker)]).unwrap();
    machine.report(worker, 1, 2, false, &[(0, 1, RUNNING)]);
    machine.register("w", 3);
    assert_eq!(machine.register("w", 2).result, CommandResult::Ignored);
    let old = machine.report(worker, 1, 9, true, &[]);
    assert_eq!(old.result, CommandResult::Ignored);
    let partial = machine.report(worker, 3, 1, false, &[]);
    assert_eq!(partial.result, CommandResult::Ignored);
    machine.report(worker, 3, 1, true, &[]);
    // The attempt that ran is gone; the one never reported may still be on its way.
    assert_eq!(phase(&machine, 0), Phase::Waiting);
    assert_eq!(phase(&machine, 1), Phase::Starting(worker));
}

#[test]
fn a_job_fails_after_bounded_attempts() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 1);
    let mut attempts = 0;
    while machine.place(&[(0, attempts + 1, worker)]).is_ok() {
        attempts += 1;
        let sequence = u64::from(attempts) + 1;
        machine.report(worker, 1, sequence, false, &[(0, attempts, failed())]);
    }
    assert_eq!(attempts, sapphirepost_state::tasks::FAILURES_MAX);
    let (_, job) = machine.state.jobs().by_name(&name("b")).unwrap();
    assert!(matches!(job.phase, JobPhase::Failed { .. }));
    assert!(job.ended_unix_ms.is_some());
}

#[test]
fn a_cancel_touches_no_task() {
    let mut machine = Machine::new();
    let worker = machine.worker("w");
    machine.run("b", BATCH, 10_000);
    machine.place(&[(0, 1, worker)]).unwrap();
    let job = name("b");
    let outcome = machine.intend(Intent::Cancel { job });
    assert_eq!(outcome.changes.len(), 1, "{:?}", outcome.changes);
    let refused = PlacementError::NotWaiting(TaskId(1));
    assert_eq!(machine.place(&[(1, 1, worker)]), Err(refused));
    assert_eq!(machine.used(worker), Resources::new(1_000, 1_000, 0));
    machine.report(worker, 1, 2, false, &[(0, 1, STOPPED)]);
    let (_, job) = machine.state.jobs().by_name(&name("b")).unwrap();
    assert_eq!((job.placed, job.ended_unix_ms.is_some()), (0, true));
}

#[test]
fn additional_replicas_leave_when_the_others_return() {
    let mut machine = Machine::new();
    let (cut, other) = (machine.worker("cut"), machine.worker("other"));
    machine.run("s", JobKind::Service, 2);
    machine.place(&[(0, 1, cut), (1, 1, other)]).unwrap();
    machine.report(cut, 1, 2, false, &[(0, 1, RUNNING)]);
    machine.report(other, 1, 2, false, &[(1, 1, RUNNING)]);
    machine.expire(cut);
    assert_eq!(phase(&machine, 0), Phase::Running(cut));
    assert_eq!(machine.place(&[(2, 1, other)]), Ok(()));
    machine.report(other, 1, 3, false, &[(2, 1, RUNNING)]);
    machine.report(cut, 1, 3, true, &[(0, 1, RUNNING)]);
    let leaving: Vec<u32> = machine
        .state
        .tasks()
        .iter()
        .filter(|(_, task)| task.is_surplus())
        .map(|(id, _)| id.0)
        .collect();
    assert_eq!(leaving, [2]);
}
