//! Quotas of tenants.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::scheduler::WaitReason;
use sapphirepost_types::Resources;

use crate::model::COMMIT_MS;
use crate::model::LEASE_MS;
use crate::model::Model;
use crate::model::queue;
use crate::model::tenants::UNLIMITED;
use crate::model::tenants::tenant;
use crate::model::worker::ModelWorker;

/// What each task takes.
const TASK: Resources = Resources::new(1_000, 1_000, 0);
/// A quota of ten tasks.
const TEN: Resources = Resources::new(10_000, u64::MAX, u32::MAX);
const FOUR: Resources = Resources::new(4_000, u64::MAX, u32::MAX);
/// Tasks of jobs with keys from here on run for 100 s, all others for 400 ms.
const LONG_JOBS: u64 = 1_000_000;
const SHORT_MS: u64 = 400;
const LONG_MS: u64 = 100_000;
const CORES: u64 = 16;

fn need(_: TaskKey) -> Resources {
    TASK
}

fn work_ms(task: TaskKey) -> u64 {
    match task.step.job.0 < LONG_JOBS {
        true => SHORT_MS,
        false => LONG_MS,
    }
}

fn spec(count: u32, is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count,
        resources: TASK,
        estimate_ms: SHORT_MS,
        is_gang,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

fn model(workers: u64) -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), CORES, need, work_ms);
    let queues = vec![
        queue("first", 0, 4.0, 3_000),
        queue("second", 1, 4.0, 3_000),
    ];
    let mut model = Model::new(queues, (0..workers).map(worker).collect(), 0);
    model.run(100);
    model
}

fn running(model: &Model, name: &str) -> u64 {
    model.tenant_used(name).millicores / TASK.millicores
}

/// Guards against a quota that counts the processor only.
#[test]
fn a_quota_in_memory_alone_limits_what_runs() {
    let mut model = model(4);
    let quota = Resources::new(u64::MAX, 7_500, u32::MAX);
    model.put_tenants(vec![tenant("a", 1.0, quota)]);
    model.submit_as("a", LONG_JOBS, "first", spec(40, false));
    model.run(2_000);
    assert_eq!(running(&model, "a"), 7);
}

/// Guards against starts beyond the quota within one round, and against a step of more tasks than
/// the quota allows that does not go on when the first ones have ended.
#[test]
fn many_steps_and_a_wide_one_run_in_waves_within_the_quota() {
    let mut model = model(4);
    model.put_tenants(vec![tenant("a", 1.0, TEN)]);
    for job in 1..=30 {
        model.submit_as("a", job, "first", spec(1, false));
    }
    model.submit_as("a", 31, "second", spec(40, false));
    model.submit_as("a", 32, "second", spec(9, true));
    // Eight waves of ten tasks, each with two commits.
    model.run_until_done(8 * (SHORT_MS + 400));
}

/// Guards against a lowered quota that stops what runs, or that does not hold for new starts.
#[test]
fn a_quota_that_is_lowered_under_what_runs_only_keeps_new_tasks_from_starting() {
    let mut model = model(4);
    model.put_tenants(vec![tenant("a", 1.0, TEN)]);
    model.submit_as("a", LONG_JOBS, "first", spec(6, false));
    model.run(100);
    model.submit_as("a", 1, "first", spec(20, false));
    model.run(200);
    assert_eq!(running(&model, "a"), 10);
    model.put_tenants(vec![tenant("a", 1.0, FOUR)]);
    model.run(5_000);
    assert_eq!(running(&model, "a"), 6);
    let starts = model.starts;
    model.run(5_000);
    assert_eq!(model.starts, starts);
    model.put_tenants(vec![tenant("a", 1.0, TEN)]);
    model.run(200);
    assert_eq!(running(&model, "a"), 10);
}

/// Guards against starts that were decided under a quota which no longer holds when they are sent,
/// and against a part of a gang that is started.
#[test]
fn a_start_that_is_not_sent_when_the_quota_is_lowered_is_released() {
    for is_gang in [false, true] {
        let mut model = model(4);
        model.commit_ms = 500;
        model.put_tenants(vec![tenant("a", 1.0, TEN)]);
        model.submit_as("a", LONG_JOBS, "first", spec(8, is_gang));
        model.run(700);
        assert_eq!(model.starts, 0, "the start is committed already");
        model.put_tenants(vec![tenant("a", 1.0, FOUR)]);
        for _ in 0..400 {
            model.run(10);
            assert!(running(&model, "a") <= 4);
        }
        assert_eq!(running(&model, "a"), if is_gang { 0 } else { 4 });
    }
}

/// Guards against a new leader that starts tasks before it knows what runs, or that cannot tell the
/// tenant of runs whose jobs have ended.
#[test]
fn a_replaced_leader_keeps_to_the_quota() {
    let mut model = model(4);
    model.put_tenants(vec![tenant("a", 1.0, TEN)]);
    for job in 0..40 {
        let key = if job % 4 == 0 {
            LONG_JOBS + job
        } else {
            job + 1
        };
        model.submit_as("a", key, "first", spec(2, job % 3 == 0));
    }
    for round in 0..10 {
        model.run(210 + 35 * round);
        let cancelled = JobKey(LONG_JOBS + 4 * round);
        model.propose(sapphirepost_queues::QueueCommand::Cancel { job: cancelled });
        model.run(round);
        model.change_leader();
    }
    model.run(5_000);
    assert!(running(&model, "a") <= 10);
    assert!(
        model
            .jobs
            .values()
            .filter(|job| job.ended.is_some())
            .count()
            >= 30
    );
}

/// Guards against a tenant that starts its tasks elsewhere while they may go on at a silent worker.
#[test]
fn runs_of_a_silent_worker_count_until_its_lease_has_expired() {
    let mut model = model(2);
    model.put_tenants(vec![tenant("a", 1.0, TEN)]);
    model.submit_as("a", LONG_JOBS, "first", spec(30, false));
    model.run(500);
    assert_eq!(running(&model, "a"), 10);
    for worker in model.workers.values_mut() {
        worker.is_unreachable = !worker.running.is_empty();
    }
    let starts = model.starts;
    model.run(LEASE_MS - 1_000);
    assert_eq!(model.starts, starts);
    model.run(3 * LEASE_MS);
    assert_eq!(running(&model, "a"), 10);
}

/// Guards against steps at the quota of their tenant that withhold workers from others, or use up
/// the checks of the rounds.
#[test]
fn a_tenant_at_its_quota_does_not_delay_another_one() {
    let mut model = model(100);
    model.put_tenants(vec![tenant("a", 1.0, TEN), tenant("b", 1.0, UNLIMITED)]);
    model.submit_as("a", LONG_JOBS, "first", spec(2, false));
    model.run(500);
    for job in 1..=200 {
        model.submit_as("a", LONG_JOBS + job, "first", spec(9, true));
        model.submit_as("a", LONG_JOBS + 1_000 + job, "first", spec(8, false));
    }
    model.run(2_000);
    assert_eq!(running(&model, "a"), 10);
    model.scheduler.take_checks();
    model.leader.checks = 0;
    let statuses = model.scheduler.tenant_statuses(&model.state);
    let status = statuses.iter().find(|status| &*status.name == "a").unwrap();
    assert_eq!(status.waiting_steps, status.steps_at_quota);
    assert_eq!(
        (status.used, status.limits.quota),
        (Resources::new(10_000, 10_000, 0), TEN)
    );
    assert_eq!(status.running_tasks, 10);
    let begin = model.now;
    for job in 1..=100 {
        model.submit_as("b", job, "second", spec(14, job % 2 == 0));
    }
    model.run(1_000);
    let started = model
        .first_starts
        .iter()
        .filter(|(step, _)| step.job.0 <= 100);
    let latest = started.clone().map(|(_, at)| at.since(begin)).max();
    assert_eq!(started.count(), 100);
    assert!(latest.unwrap() <= 200, "{latest:?} ms");
    model.run(3_000);
    let waiting = model.scheduler.find_waiting_steps(model.now);
    model.run(3_000);
    let waiting = [waiting, model.scheduler.find_waiting_steps(model.now)].concat();
    assert!(!waiting.is_empty());
    assert!(waiting.iter().all(|step| step.reason == WaitReason::Quota));
    // A round visits each waiting step once, and tries none of those at the quota.
    let rounds = (model.now.since(begin) / 4) + 1;
    assert!(
        model.leader.checks <= rounds * 500 + 400_000,
        "{}",
        model.leader.checks
    );
}

/// Guards against a job that waits although its tenant and its service have much room: its tenant
/// uses less than half of its quota, less than half of the service is in use, and its next task
/// would fit twice.
#[test]
fn a_job_with_room_in_quota_and_service_runs_within_three_seconds() {
    let mut model = model(20);
    let quotas = |number: u64| Resources::new(8_000 + 1_000 * number, 12_000, u32::MAX);
    let names: Vec<String> = (0..6).map(|number| format!("t{number}")).collect();
    let tenants = (0..6).map(|number| tenant(&names[number as usize], 1.0, quotas(number)));
    model.put_tenants(tenants.collect());
    let mut next = 1;
    let mut waits = std::collections::BTreeMap::new();
    for step in 0..600_u64 {
        for (number, name) in names.iter().enumerate() {
            if model::hash(step, name) % 100 < 6 {
                let key = next + if step % 7 == 0 { LONG_JOBS } else { 0 };
                let count = 1 + (model::hash(key, name) % 6) as u32;
                model.submit_as(name, key, "first", spec(count, next % 5 == 0));
                waits.insert(key, (number, count, 0));
                next += 1;
            }
        }
        if step % 100 == 99 {
            let cancelled = waits.keys().filter(|key| **key >= LONG_JOBS);
            for key in cancelled.copied().collect::<Vec<_>>() {
                let job = JobKey(key);
                model.propose(sapphirepost_queues::QueueCommand::Cancel { job });
                waits.remove(&key);
            }
        }
        model.run(50);
        let used: Vec<u64> = names.iter().map(|name| running(&model, name)).collect();
        let is_half_free = used.iter().sum::<u64>() * 2 < 20 * CORES;
        waits.retain(|key, (number, count, waited_ms)| {
            let is_gang = model
                .state
                .job(JobKey(*key))
                .is_some_and(|job| job.spec.steps.first().is_some_and(|step| step.is_gang));
            let needed = if is_gang { u64::from(*count) } else { 1 };
            let quota = quotas(*number as u64).millicores / 1_000;
            let has_room =
                used[*number] * 2 < quota.min(12) && used[*number] + 2 * needed <= quota.min(12);
            *waited_ms = if has_room && is_half_free {
                *waited_ms + 50
            } else {
                0
            };
            assert!(*waited_ms <= 3_000, "job {key} at {}", model.now);
            let step = sapphirepost_queues::StepKey {
                job: JobKey(*key),
                step: 0,
            };
            !model.first_starts.contains_key(&step)
        });
    }
    assert!(next > 150);
}

/// Guards against a cost of tenants that grows with their number, and against totals that drift
/// from what runs.
#[test]
fn a_hundred_tenants_at_200_jobs_a_second_cost_few_checks() {
    let checks = |tenants: u64| {
        let mut model = model(60);
        let names: Vec<String> = (0..tenants).map(|number| format!("t{number}")).collect();
        let quota = Resources::new(20_000, 20_000, u32::MAX);
        model.put_tenants(names.iter().map(|name| tenant(name, 1.0, quota)).collect());
        for job in 1..=2_000 {
            match tenants {
                0 => model.submit(job, "first", spec(3, false)),
                _ => {
                    let name = &names[(model::hash(job, "tenant") % tenants) as usize];
                    model.submit_as(name, job, "first", spec(3, false));
                }
            }
            model.run(5);
            if job == 1_000 {
                // Jobs whose commit is in progress would be lost.
                model.run(2 * COMMIT_MS);
                model.change_leader();
            }
        }
        model.run_until_done(20_000);
        model.leader.checks
    };
    let (without, with) = (checks(0), checks(100));
    println!("{without} checks without tenants, {with} with 100");
    assert!(
        with <= without + without / 20,
        "{with} checks, {without} without tenants"
    );
}
