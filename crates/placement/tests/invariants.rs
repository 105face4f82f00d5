//! Runs of a small cluster with faults and seeded random numbers, checked by the independent model
//! in `common`.

mod common;

use rand::Rng;
use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_placement::TaskEnd;
use sapphirepost_placement::TaskView;
use sapphirepost_placement::WorkerMode;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;
use sapphirepost_types::WorkerId;

use crate::common::Cluster;
use crate::common::name;

const CAPACITY: Resources = Resources::new(8_000, 16_384, 2);

fn random_resources(cluster: &mut Cluster) -> Resources {
    let rng = &mut cluster.rng;
    let accelerators = u32::from(rng.random_range(0..8) == 0);
    Resources::new(
        rng.random_range(1..9) * 500,
        rng.random_range(1..17) * 512,
        accelerators,
    )
}

/// Submits a random job whose run time differs from the declared one by up to a factor of ten in
/// either direction.
fn submit_random(cluster: &mut Cluster) {
    let declared_ms = cluster.rng.random_range(500..20_000);
    let factor = 10f64.powf(cluster.rng.random_range(-1.0..1.0));
    let tasks = cluster.rng.random_range(1..9);
    let deadline = cluster.now + cluster.rng.random_range(1_000..200_000);
    let policy = match cluster.rng.random_range(0..10) {
        0 => JobPolicy::Service,
        1 | 2 => JobPolicy::Gang {
            run_time_ms: declared_ms,
        },
        3 | 4 => JobPolicy::Batch {
            deadline: Some(deadline),
            run_time_ms: declared_ms,
        },
        _ => JobPolicy::Batch {
            deadline: None,
            run_time_ms: declared_ms,
        },
    };
    let mut resources = random_resources(cluster);
    if policy == JobPolicy::Service {
        resources = Resources::new(250, 256, 0);
    }
    let mut view = cluster.view(policy, tasks, resources);
    let group = cluster.rng.random_range(0..4);
    view.name = name(&format!("group{group}-{}", view.id));
    view.team = name(["red", "blue", "green"][cluster.rng.random_range(0..3)]);
    if cluster.chance(10) {
        view.priority = Priority::Urgent;
    }
    if cluster.chance(60) {
        view.checkpoint_cost_ms = Some(cluster.rng.random_range(10..2_000));
    }
    cluster.submit(view, (declared_ms as f64 * factor) as u64);
}

fn change_worker_mode(cluster: &mut Cluster) {
    let id = WorkerId(cluster.rng.random_range(0..12));
    let mut view = cluster.workers[&id].clone();
    view.mode = match cluster.rng.random_range(0..4) {
        0 => WorkerMode::Draining,
        1 => WorkerMode::Disconnected,
        _ => WorkerMode::Ready,
    };
    cluster.put_worker(view);
}

fn lose_worker(cluster: &mut Cluster) {
    let id = WorkerId(cluster.rng.random_range(0..12));
    let view = cluster.workers[&id].clone();
    cluster.placer.remove_worker(id);
    let running = cluster
        .running
        .iter()
        .filter(|(_, running)| running.worker == id);
    for task in running.map(|(&task, _)| task).collect::<Vec<_>>() {
        let end = match cluster.jobs[&cluster.running[&task].job].cancelled {
            true => TaskEnd::Cancelled,
            false => TaskEnd::Lost,
        };
        cluster.release(task, end);
    }
    cluster.put_worker(view);
}

fn cancel_random_jobs(cluster: &mut Cluster) {
    let open: Vec<JobId> = cluster
        .jobs
        .iter()
        .filter(|(_, job)| !job.cancelled)
        .map(|(&id, _)| id)
        .collect();
    for id in open {
        if cluster.chance(30) {
            cluster.cancel(id);
        }
    }
}

/// Guards against overcommitted workers, partly started gangs, exceeded quotas, double starts, more
/// than three preemptions of a task, and jobs that never finish, under wrong run times, drains,
/// lost workers and cancellations.
#[test]
fn invariants_hold_and_all_jobs_end_under_random_faults() {
    let (mut preemptions, mut gangs, mut urgent) = (0, 0, 0);
    for seed in 0..60 {
        let mut cluster = Cluster::new(PlacementConfig::default(), seed);
        cluster.add_workers(3, 2, 2, CAPACITY);
        cluster.set_quota("red", Resources::new(30_000, 60_000, 6));
        cluster.set_quota("blue", Resources::new(50_000, 120_000, 12));
        for step in 0..600 {
            if cluster.chance(15) {
                submit_random(&mut cluster);
            }
            if cluster.chance(4) {
                change_worker_mode(&mut cluster);
            }
            if cluster.chance(1) {
                lose_worker(&mut cluster);
            }
            if step % 200 == 199 {
                cancel_random_jobs(&mut cluster);
            }
            let budget = cluster.rng.random_range(1..30);
            cluster.step(250, budget);
        }
        cluster.assert_no_violations(seed);
        let services = cluster
            .jobs
            .iter()
            .filter(|(_, job)| job.view.policy == JobPolicy::Service);
        for service in services.map(|(&id, _)| id).collect::<Vec<_>>() {
            cluster.cancel(service);
        }
        for id in 0..12 {
            let mut view = cluster.workers[&WorkerId(id)].clone();
            view.mode = WorkerMode::Ready;
            cluster.put_worker(view);
        }
        cluster.run(3_000_000, 1_000);
        cluster.assert_no_violations(seed);
        let left: Vec<String> = cluster
            .unfinished_jobs()
            .into_iter()
            .filter(|id| {
                cluster
                    .placer
                    .check_feasibility(&cluster.jobs[id].view)
                    .is_ok()
            })
            .map(|id| cluster.placer.explain(id).to_string())
            .collect();
        assert!(left.is_empty(), "seed {seed}: {left:?}");
        assert_eq!(
            cluster.placer.bound_tasks(),
            cluster.running.len(),
            "seed {seed}"
        );
        preemptions += cluster
            .preemptions
            .values()
            .filter(|&&count| count > 0)
            .count();
        let started = cluster
            .jobs
            .values()
            .filter(|job| job.first_start.is_some());
        for job in started {
            gangs += usize::from(matches!(job.view.policy, JobPolicy::Gang { .. }));
            urgent += usize::from(job.view.priority == Priority::Urgent);
        }
    }
    // Ensures that the runs exercise preemption, gangs and urgent jobs.
    assert!(
        preemptions > 60 && gangs > 600 && urgent > 300,
        "{preemptions} {gangs} {urgent}"
    );
}

/// Guards against wrong accounting after a change of the leader: a rebuilt placer must have the
/// same free capacity, whatever the order in which it learns of workers, jobs and bound tasks.
#[test]
fn a_rebuilt_placer_has_the_same_free_capacity() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 5);
    cluster.add_workers(3, 2, 2, CAPACITY);
    for _ in 0..100 {
        submit_random(&mut cluster);
        cluster.step(250, 50);
    }
    for order in 0..2 {
        let mut rebuilt = sapphirepost_placement::Placer::new(PlacementConfig::default(), 5);
        let bind_all = |placer: &mut sapphirepost_placement::Placer| {
            for (&task, running) in &cluster.running {
                let need = cluster.jobs[&running.job].view.resources;
                placer.bind(task, running.worker, need);
            }
        };
        if order == 0 {
            bind_all(&mut rebuilt);
        }
        for view in cluster.workers.values() {
            rebuilt.upsert_worker(view.clone());
        }
        for job in cluster.jobs.values().filter(|job| !job.cancelled) {
            let mut view = job.view.clone();
            view.tasks.retain(|task| job.unfinished.contains(&task.id));
            rebuilt.submit(cluster.now, view);
        }
        if order == 1 {
            bind_all(&mut rebuilt);
        }
        for millicores in [500, 1_000, 3_000, 8_000] {
            let need = Resources::new(millicores, 512, 0);
            let (old, new) = (&cluster.placer, &rebuilt);
            assert_eq!(
                old.count_fitting_tasks(need, 1_000),
                new.count_fitting_tasks(need, 1_000)
            );
        }
        assert_eq!(rebuilt.bound_tasks(), cluster.running.len());
        assert_eq!(rebuilt.waiting_jobs(), cluster.placer.waiting_jobs());
    }
}

/// Guards against run times that are measured from a change of the leader: a rebuilt placer would
/// warn of deadlines that are met, and learn run times that are too short.
#[test]
fn a_rebuilt_placer_keeps_the_start_times_of_tasks() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 5);
    cluster.add_workers(1, 1, 1, CAPACITY);
    cluster.now = Millis(90_000);
    let policy = JobPolicy::Batch {
        deadline: Some(Millis(100_000)),
        run_time_ms: 60_000,
    };
    let mut view = cluster.view(policy, 1, Resources::new(1_000, 512, 0));
    view.tasks[0].started = Some(Millis(1_000));
    cluster.placer.submit(cluster.now, view);
    cluster
        .placer
        .bind(TaskId(0), WorkerId(0), Resources::new(1_000, 512, 0));
    let decisions = cluster.placer.decide(cluster.now, 10);
    assert_eq!(decisions.late_warnings, []);
}

/// Guards against a cancellation of many tasks that delays placements, and against cancelled tasks
/// that start.
#[test]
fn cancelling_many_tasks_does_not_delay_placements() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 1);
    cluster.add_workers(1, 1, 2, CAPACITY);
    let mut ids = Vec::new();
    for _ in 0..300 {
        let policy = JobPolicy::Batch {
            deadline: None,
            run_time_ms: 1_000,
        };
        let view = cluster.view(policy, 1_000, Resources::new(4_000, 512, 0));
        ids.push(cluster.submit(view, 1_000));
    }
    cluster.step(10, 10);
    for id in ids {
        cluster.cancel(id);
    }
    let policy = JobPolicy::Batch {
        deadline: None,
        run_time_ms: 1_000,
    };
    let view = cluster.view(policy, 1, Resources::new(1_000, 512, 0));
    let last = cluster.submit(view, 1_000);
    cluster.run(3_000, 100);
    cluster.assert_no_violations(1);
    assert!(
        cluster.jobs[&last]
            .first_start
            .is_some_and(|at| at < Millis(1_000))
    );
    assert!(cluster.running.is_empty());
}

/// Guards against jobs at the head of the queue that cannot be placed and use up a budget of one in
/// each pass, so that the jobs behind them are never considered.
#[test]
fn a_budget_of_one_reaches_every_waiting_job() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 2);
    cluster.add_workers(1, 1, 2, CAPACITY);
    let policy = JobPolicy::Batch {
        deadline: None,
        run_time_ms: 1_000_000,
    };
    let filler = cluster.view(policy, 2, Resources::new(6_000, 512, 0));
    cluster.submit(filler, 1_000_000);
    cluster.run(100, 10);
    for n in 0..400 {
        let policy = JobPolicy::Batch {
            deadline: None,
            run_time_ms: 1_000,
        };
        let view = cluster.view(policy, 1, Resources::new(7_000 - n, 512 + n, 0));
        cluster.submit(view, 1_000);
    }
    let policy = JobPolicy::Batch {
        deadline: None,
        run_time_ms: 500_000,
    };
    let small = cluster.view(policy, 1, Resources::new(1_000, 512, 0));
    let small = cluster.submit(small, 1_000);
    for _ in 0..2_000 {
        cluster.step(1, 1);
    }
    assert!(cluster.jobs[&small].first_start.is_some());
}

/// Guards against a downsized service that starts tasks which are no longer part of it.
#[test]
fn a_smaller_service_drops_its_waiting_tasks() {
    let mut cluster = Cluster::new(PlacementConfig::default(), 3);
    cluster.add_workers(1, 1, 1, CAPACITY);
    let mut view = cluster.view(JobPolicy::Service, 4, Resources::new(4_000, 512, 0));
    let service = cluster.submit(view.clone(), 0);
    cluster.step(10, 10);
    assert_eq!(cluster.running.len(), 2);
    view.tasks = (0..3).map(|id| TaskView::new(TaskId(id))).collect();
    cluster.placer.submit(cluster.now, view);
    cluster.release(TaskId(0), TaskEnd::Cancelled);
    cluster.release(TaskId(1), TaskEnd::Cancelled);
    cluster.step(10, 10);
    let running: Vec<TaskId> = cluster.running.keys().copied().collect();
    assert_eq!(running, [TaskId(2)], "{}", cluster.placer.explain(service));
}
