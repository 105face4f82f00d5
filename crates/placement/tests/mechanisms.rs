//! Tests of single mechanisms, each against the failure that it prevents. Most of them also run
//! with the mechanism switched off, and the failure must then occur.

mod common;

use rand::Rng;
use sapphirepost_placement::Health;
use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::Mechanisms;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_placement::TaskEnd;
use sapphirepost_placement::TaskView;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::common::Cluster;
use crate::common::name;

const CAPACITY: Resources = Resources::new(8_000, 16_384, 0);

fn config(change: impl FnOnce(&mut Mechanisms)) -> PlacementConfig {
    let mut config = PlacementConfig::default();
    change(&mut config.mechanisms);
    config
}

fn batch(run_time_ms: u64) -> JobPolicy {
    JobPolicy::Batch {
        deadline: None,
        run_time_ms,
    }
}

/// Keeps a cluster full of small tasks, whose run times are `run_time_factor` times the declared
/// ones, and returns when a gang that needs half of the cluster started.
fn gang_start_time(config: PlacementConfig, run_time_factor: f64) -> Option<Millis> {
    let mut cluster = Cluster::new(config, 11);
    cluster.add_workers(1, 1, 4, CAPACITY);
    let mut gang = None;
    for step in 0..2_400 {
        if step == 100 {
            let policy = JobPolicy::Gang { run_time_ms: 5_000 };
            let view = cluster.view(policy, 2, Resources::new(8_000, 1_024, 0));
            gang = Some(cluster.submit(view, 5_000));
        }
        for _ in 0..2 {
            let mut view = cluster.view(batch(4_000), 1, Resources::new(1_000, 512, 0));
            view.name = name(&format!("filler-{}", view.id.0));
            cluster.submit(view, (4_000.0 * run_time_factor) as u64);
        }
        cluster.step(200, 100);
    }
    cluster.assert_no_violations(11);
    cluster.jobs[&gang.unwrap()].first_start
}

/// Guards against a gang that starves behind a stream of small tasks, also when these take 0.4 or
/// 10 times their declared run time.
#[test]
fn a_reservation_starts_a_gang_in_a_full_cluster() {
    for run_time_factor in [0.4, 1.0, 10.0] {
        let start = gang_start_time(config(|_| ()), run_time_factor);
        assert!(
            start.is_some_and(|at| at < Millis(130_000)),
            "{run_time_factor}: {start:?}"
        );
    }
    let without = gang_start_time(config(|mechanisms| mechanisms.reservation = false), 1.0);
    assert_eq!(without, None);
}

/// Guards against two gangs that block each other's capacity: both must run, one after the other.
#[test]
fn two_large_gangs_do_not_block_each_other() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 4);
    cluster.add_workers(1, 1, 4, CAPACITY);
    let mut gangs = Vec::new();
    for _ in 0..2 {
        let policy = JobPolicy::Gang { run_time_ms: 5_000 };
        let view = cluster.view(policy, 3, Resources::new(8_000, 1_024, 0));
        gangs.push(cluster.submit(view, 20_000));
    }
    cluster.run(60_000, 200);
    cluster.assert_no_violations(4);
    assert_eq!(cluster.unfinished_jobs(), []);
}

/// Runs a cluster with one failing worker for ten minutes. Returns the number of starts on that
/// worker and the largest excess of quarantines over recoveries.
fn run_with_failing_worker(config: PlacementConfig) -> (u32, usize) {
    let mut cluster = Cluster::new(config, 9);
    cluster.add_workers(1, 2, 5, CAPACITY);
    cluster.failing_workers.insert(WorkerId(3));
    let mut quarantined = 0;
    let mut max_quarantined = 0;
    for _ in 0..1_200 {
        let view = cluster.view(batch(5_000), 2, Resources::new(4_000, 512, 0));
        cluster.submit(view, 3_000);
        cluster.step(500, 100);
        for change in &cluster.decisions.health_changes {
            match change.health {
                Health::Quarantined => quarantined += 1,
                Health::Healthy => quarantined -= 1,
                Health::Probation => {}
            }
            max_quarantined = max_quarantined.max(quarantined);
        }
    }
    cluster.assert_no_violations(9);
    (cluster.failed_starts, max_quarantined)
}

/// Guards against a worker that fails all its tasks and therefore stays empty and attracts more.
#[test]
fn a_quarantine_keeps_tasks_off_a_failing_worker() {
    let (starts_with, max_quarantined) = run_with_failing_worker(config(|_| ()));
    assert!(
        starts_with <= 30,
        "{starts_with} starts on the failing worker"
    );
    assert!(max_quarantined >= 1);
    let (without, _) = run_with_failing_worker(config(|mechanisms| mechanisms.quarantine = false));
    assert!(without > 300, "{without} starts on the failing worker");
}

/// Guards against the quarantine of most of the cluster when tasks fail on all workers, for
/// instance because of a shared dependency.
#[test]
fn at_most_a_fifth_of_the_workers_is_quarantined() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 9);
    cluster.add_workers(1, 2, 5, CAPACITY);
    cluster.failing_workers.extend((0..10).map(WorkerId));
    let mut quarantined = std::collections::BTreeSet::new();
    for _ in 0..600 {
        let view = cluster.view(batch(5_000), 2, Resources::new(4_000, 512, 0));
        cluster.submit(view, 3_000);
        cluster.step(500, 100);
        for change in &cluster.decisions.health_changes {
            match change.health {
                Health::Quarantined => quarantined.insert(change.worker),
                Health::Healthy | Health::Probation => quarantined.remove(&change.worker),
            };
        }
        assert!(quarantined.len() <= 2, "{quarantined:?}");
    }
}

/// Guards against the quarantine of healthy workers because of a job that fails everywhere.
#[test]
fn a_faulty_job_is_given_up_and_quarantines_no_worker() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 9);
    cluster.add_workers(1, 2, 5, CAPACITY);
    cluster.failing_workers.extend((0..10).map(WorkerId));
    let view = cluster.view(batch(5_000), 8, Resources::new(500, 512, 0));
    let job = cluster.submit(view, 3_000);
    let mut given_up = 0;
    for _ in 0..300 {
        cluster.step(500, 100);
        given_up += cluster.decisions.faulty_tasks.len();
        assert!(
            cluster.decisions.health_changes.is_empty(),
            "{:?}",
            cluster.decisions.health_changes
        );
    }
    assert_eq!(given_up, 8, "{}", cluster.placer.explain(job));
}

fn quota_violations(config: PlacementConfig) -> usize {
    let mut cluster = Cluster::new(config, 3);
    cluster.add_workers(1, 1, 4, CAPACITY);
    cluster.set_quota("red", Resources::new(5_000, 16_384, 0));
    for _ in 0..200 {
        let policy = match cluster.chance(30) {
            true => JobPolicy::Gang { run_time_ms: 1_000 },
            false => batch(1_000),
        };
        let mut view = cluster.view(policy, 3, Resources::new(1_000, 512, 0));
        view.team = name("red");
        if cluster.chance(20) {
            view.priority = Priority::Urgent;
        }
        cluster.submit(view, 2_000);
        cluster.step(300, 50);
    }
    cluster.violations.len()
}

/// Guards against a team that takes more than its quota through any of the policies.
#[test]
fn quotas_hold_for_every_policy() {
    assert_eq!(quota_violations(config(|_| ())), 0);
    assert!(quota_violations(config(|mechanisms| mechanisms.quota = false)) > 0);
}

/// Returns the largest number of a service's tasks in one failure domain and in one rack, in a
/// cluster that is partly filled with batch tasks.
fn max_concentration(config: PlacementConfig) -> (u32, u32) {
    let mut cluster = Cluster::new(config, 6);
    cluster.add_workers(3, 4, 2, CAPACITY);
    for _ in 0..30 {
        let view = cluster.view(batch(60_000), 1, Resources::new(3_500, 1_024, 0));
        cluster.submit(view, 60_000);
    }
    cluster.step(100, 100);
    let view = cluster.view(JobPolicy::Service, 12, Resources::new(500, 512, 0));
    let service = cluster.submit(view, 0);
    cluster.step(100, 100);
    let (domains, racks) = cluster.spread(service);
    (
        *domains.values().max().unwrap(),
        *racks.values().max().unwrap(),
    )
}

/// Guards against a service whose tasks are concentrated in one failure domain or rack, so that
/// losing it stops the service.
#[test]
fn services_are_spread_over_failure_domains_and_racks() {
    assert_eq!(max_concentration(config(|_| ())), (4, 1));
    let (domain, rack) = max_concentration(config(|mechanisms| mechanisms.spread = false));
    assert!(
        domain > 4 && rack > 1,
        "{domain} in one failure domain, {rack} in one rack"
    );
}

/// Returns whether the first pass warns of a job that will miss its deadline because it takes
/// eight times its declared run time, as earlier jobs of its series did.
fn is_warned(config: PlacementConfig) -> bool {
    let mut cluster = Cluster::new(config, 8);
    cluster.add_workers(1, 1, 2, CAPACITY);
    for _ in 0..20 {
        let mut view = cluster.view(batch(1_000), 1, Resources::new(1_000, 512, 0));
        view.name = name(&format!("nightly-{}", view.id.0));
        cluster.submit(view, 8_000);
        cluster.run(10_000, 500);
    }
    let deadline = Some(cluster.now + 5_000);
    let policy = JobPolicy::Batch {
        deadline,
        run_time_ms: 1_000,
    };
    let mut view = cluster.view(policy, 1, Resources::new(1_000, 512, 0));
    view.name = name("nightly-21");
    cluster.submit(view, 8_000);
    cluster.step(100, 10);
    !cluster.decisions.late_warnings.is_empty()
}

/// Guards against a warning that comes only when the deadline can no longer be saved, because the
/// estimate relies on the declared run time.
#[test]
fn learned_run_times_warn_of_a_missed_deadline_at_once() {
    assert!(is_warned(config(|_| ())));
    assert!(!is_warned(config(|mechanisms| mechanisms.learning = false)));
}

/// Returns how long an urgent task waits in a cluster full of long tasks; `None` if it does not
/// start within 30 s.
fn urgent_wait_ms(config: PlacementConfig) -> Option<u64> {
    let mut cluster = Cluster::new(config, 8);
    cluster.add_workers(1, 1, 4, CAPACITY);
    for _ in 0..4 {
        let mut view = cluster.view(batch(600_000), 1, Resources::new(8_000, 512, 0));
        view.checkpoint_cost_ms = Some(300);
        cluster.submit(view, 600_000);
    }
    cluster.step(100, 100);
    let mut view = cluster.view(batch(1_000), 1, Resources::new(2_000, 512, 0));
    view.priority = Priority::Urgent;
    let urgent = cluster.submit(view, 1_000);
    cluster.run(30_000, 100);
    cluster.assert_no_violations(8);
    let job = &cluster.jobs[&urgent];
    job.first_start.map(|at| at.since(job.view.submitted))
}

/// Guards against urgent tasks that wait for long tasks to end.
#[test]
fn urgent_tasks_preempt_running_tasks() {
    assert!(urgent_wait_ms(config(|_| ())).is_some_and(|wait_ms| wait_ms <= 400));
    assert_eq!(
        urgent_wait_ms(config(|mechanisms| mechanisms.preemption = false)),
        None
    );
}

/// Guards against a task that is preempted more often than allowed because its worker is lost
/// before it has stopped: the replicated state counts the preemption when it is decided, and
/// ignores a further one.
#[test]
fn a_preemption_counts_although_the_worker_is_lost() {
    for end in [TaskEnd::Lost, TaskEnd::Failed, TaskEnd::Stopped] {
        let config = PlacementConfig::default();
        let max_preemptions = u32::from(config.max_preemptions);
        let mut cluster = Cluster::new(config, 1);
        cluster.add_workers(1, 1, 1, CAPACITY);
        let long = cluster.view(batch(600_000), 1, CAPACITY);
        let task = long.tasks[0].id;
        let mut now = Millis(0);
        cluster.placer.submit(now, long);
        let mut preemptions = 0;
        for urgent_task in 100..110 {
            now = now + 400_000;
            cluster.placer.decide(now, 64);
            let mut urgent = cluster.view(batch(1_000), 1, CAPACITY);
            urgent.id = JobId(urgent_task);
            urgent.priority = Priority::Urgent;
            urgent.tasks = vec![TaskView::new(TaskId(urgent_task))];
            cluster.placer.submit(now, urgent);
            let stops = cluster.placer.decide(now, 64).stops;
            if stops.is_empty() {
                break;
            }
            preemptions += 1;
            cluster.placer.release(now, task, end);
            cluster.placer.decide(now, 64);
            let urgent_task = TaskId(urgent_task);
            cluster.placer.release(now, urgent_task, TaskEnd::Finished);
        }
        assert_eq!(preemptions, max_preemptions, "{end:?}");
    }
}

/// Guards against backfill that delays a reservation: a gang must start no later than its first
/// reservation said, as long as all run times stay within their pessimistic estimates.
#[test]
fn backfill_does_not_delay_a_reservation() {
    for seed in 0..20 {
        // Without learning the pessimistic estimate is ten times the declared run time, and no
        // task here takes longer.
        let mut cluster = Cluster::new(config(|mechanisms| mechanisms.learning = false), seed);
        cluster.add_workers(1, 1, 6, CAPACITY);
        let policy = JobPolicy::Gang { run_time_ms: 5_000 };
        let mut gang = None;
        let mut reserved_start = None;
        for step in 0..3_000 {
            if step == 50 {
                let view = cluster.view(policy, 4, Resources::new(7_000, 1_024, 0));
                gang = Some(cluster.submit(view, 5_000));
            }
            let declared_ms = [300, 3_000, 30_000][step % 3];
            let view = cluster.view(batch(declared_ms), 1, Resources::new(2_000, 512, 0));
            let factor = [1, 2, 5, 9][cluster.rng.random_range(0..4)];
            cluster.submit(view, declared_ms * factor);
            cluster.step(250, 100);
            let explanation = gang.map(|gang| cluster.placer.explain(gang).to_string());
            if reserved_start.is_none() {
                reserved_start = explanation
                    .and_then(|text| reserved_start_ms(&text))
                    .map(|ms| cluster.now + ms);
            }
        }
        let start = cluster.jobs[&gang.unwrap()].first_start;
        let (start, reserved_start) = (start.unwrap(), reserved_start.unwrap());
        assert!(
            start <= reserved_start + 250,
            "seed {seed}: started {start}, reserved for {reserved_start}"
        );
    }
}

fn reserved_start_ms(explanation: &str) -> Option<u64> {
    let (_, rest) = explanation.split_once("expected in ")?;
    rest.split(' ').next()?.parse().ok()
}

/// Returns when a large batch task starts in a cluster that small tasks keep full.
fn large_task_start_time(config: PlacementConfig) -> Option<Millis> {
    let mut cluster = Cluster::new(config, 12);
    cluster.add_workers(1, 1, 2, CAPACITY);
    let mut large = None;
    for step in 0..1_200 {
        if step == 50 {
            let view = cluster.view(batch(2_000), 1, Resources::new(8_000, 1_024, 0));
            large = Some(cluster.submit(view, 2_000));
        }
        let mut view = cluster.view(batch(4_000), 1, Resources::new(1_000, 512, 0));
        view.name = name(&format!("small-{}", view.id.0));
        cluster.submit(view, 4_000);
        cluster.step(200, 100);
    }
    cluster.jobs[&large.unwrap()].first_start
}

/// Guards against a large batch task that starves because small tasks take freed capacity first.
#[test]
fn a_reservation_starts_a_large_batch_task_in_a_full_cluster() {
    let start = large_task_start_time(config(|_| ()));
    assert!(start.is_some_and(|at| at < Millis(60_000)), "{start:?}");
    let without = large_task_start_time(config(|mechanisms| mechanisms.reservation = false));
    assert_eq!(without, None);
}

/// Returns when a job without a deadline starts in a cluster that jobs with deadlines keep full.
fn best_effort_start_time(config: PlacementConfig) -> Option<Millis> {
    let mut cluster = Cluster::new(config, 13);
    cluster.add_workers(1, 1, 2, CAPACITY);
    let mut best_effort = None;
    for step in 0..3_500 {
        if step == 2_000 {
            let view = cluster.view(batch(2_000), 1, Resources::new(4_000, 1_024, 0));
            best_effort = Some(cluster.submit(view, 2_000));
        }
        let policy = JobPolicy::Batch {
            deadline: Some(cluster.now + 200_000),
            run_time_ms: 4_000,
        };
        let mut view = cluster.view(policy, 1, Resources::new(1_000, 512, 0));
        view.name = name(&format!("dated-{}", view.id.0));
        cluster.submit(view, 4_000);
        cluster.step(200, 100);
    }
    cluster.jobs[&best_effort.unwrap()].first_start
}

/// Guards against a job without a deadline that starves behind a stream of jobs with deadlines.
#[test]
fn jobs_without_a_deadline_do_not_starve_behind_deadlines() {
    let start = best_effort_start_time(config(|_| ()));
    assert!(start.is_some_and(|at| at < Millis(500_000)), "{start:?}");
    let without = best_effort_start_time(config(|mechanisms| mechanisms.reservation = false));
    assert_eq!(without, None);
}
