//! Shares of tenants in full workers.

mod model;

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Resources;

use crate::model::Model;
use crate::model::queue;
use crate::model::tenants::UNLIMITED;
use crate::model::tenants::tenant;
use crate::model::worker::ModelWorker;

const TASK: Resources = Resources::new(1_000, 1_000, 0);
/// Tasks of jobs with keys from here on take four times as much.
const LARGE_JOBS: u64 = 1_000_000;
const LARGE: Resources = Resources::new(4_000, 4_000, 0);
const TASK_MS: u64 = 1_000;
const WORKERS: u64 = 10;
const CORES: u64 = 8;

fn need(task: TaskKey) -> Resources {
    match task.step.job.0 < LARGE_JOBS {
        true => TASK,
        false => LARGE,
    }
}

/// Tasks end at different times, so that room appears all the time.
fn work_ms(task: TaskKey) -> u64 {
    TASK_MS / 2 + model::hash(task.step.job.0 + u64::from(task.index), "work") % TASK_MS
}

fn spec(resources: Resources, count: u32, is_gang: bool) -> SubmittedSpec {
    let step = StepSpec {
        count,
        resources,
        estimate_ms: TASK_MS,
        is_gang,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}

fn model() -> Model {
    let worker = |number| ModelWorker::new(&format!("w{number}"), CORES, need, work_ms);
    let queues = vec![
        queue("first", 0, 100.0, 3_000),
        queue("second", 1, 100.0, 3_000),
    ];
    let mut model = Model::new(queues, (0..WORKERS).map(worker).collect(), 0);
    model.run(100);
    model
}

fn cores(model: &Model, name: &str) -> u64 {
    model.tenant_used(name).millicores / 1_000
}

/// The mean number of cores that each tenant uses for some seconds.
fn mean_cores(model: &mut Model, names: &[&str], seconds: u64) -> Vec<f64> {
    let mut sums = vec![0; names.len()];
    let samples = seconds * 20;
    for _ in 0..samples {
        model.run(50);
        for (sum, name) in sums.iter_mut().zip(names) {
            *sum += cores(model, name);
        }
    }
    let means = sums.into_iter().map(|sum| sum as f64 / samples as f64);
    means.collect()
}

/// Guards against a tenant that gets less than its weight, since another one has the more urgent
/// queue, the earlier jobs and more of them.
#[test]
fn a_tenant_with_half_of_the_weight_gets_a_third_of_full_workers() {
    let mut model = model();
    model.put_tenants(vec![
        tenant("heavy", 2.0, UNLIMITED),
        tenant("light", 1.0, UNLIMITED),
    ]);
    for job in 1..=40 {
        model.submit_as("heavy", job, "second", spec(TASK, 100, false));
    }
    for job in 101..=200 {
        model.submit_as("light", job, "first", spec(TASK, 100, false));
    }
    model.run(2_000);
    let means = mean_cores(&mut model, &["heavy", "light"], 10);
    let total = (WORKERS * CORES) as f64;
    assert!(
        means[0] >= total * 0.62 && means[0] <= total * 0.70,
        "{means:?}"
    );
    assert!(means[1] >= total * 0.30, "{means:?}");
}

/// Guards against a round that places a lot and lets one tenant take everything, after an election
/// in particular.
#[test]
fn a_round_that_fills_all_workers_divides_them_by_weight() {
    let mut model = model();
    let tenants = ["a", "b", "c", "d"].map(|name| tenant(name, 1.0, UNLIMITED));
    model.put_tenants(tenants.into());
    for worker in model.workers.values_mut() {
        worker.is_unreachable = true;
    }
    model.run(2_000);
    for (number, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let first = 1 + 100 * number as u64;
        model.submit_as(name, first, "first", spec(TASK, 200, false));
        for job in first + 1..first + 50 {
            model.submit_as(name, job, "first", spec(TASK, 3, false));
        }
    }
    model.run(500);
    for worker in model.workers.values_mut() {
        worker.is_unreachable = false;
    }
    model.change_leader();
    model.run(300);
    let each = WORKERS * CORES / 4;
    for name in ["a", "b", "c", "d"] {
        let used = cores(&model, name);
        assert!(
            used >= each - 1 && used <= each + 1,
            "{name} uses {used} cores"
        );
    }
}

/// Guards against tenants with few jobs that wait behind one with many.
#[test]
fn a_hot_tenant_does_not_delay_the_nineteen_others() {
    let mut model = model();
    let names: Vec<String> = (0..20).map(|number| format!("t{number}")).collect();
    let tenants = names.iter().map(|name| tenant(name, 1.0, UNLIMITED));
    model.put_tenants(tenants.collect());
    for job in 1..=100 {
        model.submit_as("t0", job, "first", spec(TASK, 50, false));
    }
    model.run(1_000);
    assert!(mean_cores(&mut model, &["t0"], 1)[0] >= (WORKERS * CORES) as f64 * 0.9);
    let mut submitted = Vec::new();
    for number in 0..200 {
        let key = 1_000 + number;
        let name = &names[1 + (number as usize) % 19];
        model.submit_as(name, key, "second", spec(TASK, 1, false));
        submitted.push((key, model.now));
        model.run(50);
    }
    let mut waits: Vec<u64> = Vec::new();
    for (key, at) in submitted {
        let step = StepKey {
            job: JobKey(key),
            step: 0,
        };
        waits.push(model.first_starts[&step].since(at));
    }
    waits.sort_unstable();
    // A task of the hot tenant ends every 12 ms on average.
    assert!(waits[190] <= 200, "{waits:?}");
    assert!(mean_cores(&mut model, &["t0"], 2)[0] >= (WORKERS * CORES) as f64 * 0.9);
}

/// Guards against shares that leave workers idle.
#[test]
fn unused_shares_go_to_the_tenants_that_wait() {
    let mut model = model();
    model.put_tenants(vec![
        tenant("a", 1.0, UNLIMITED),
        tenant("b", 9.0, UNLIMITED),
    ]);
    model.submit_as("b", 1, "first", spec(TASK, 4, false));
    for job in 2..=40 {
        model.submit_as("a", job, "first", spec(TASK, 20, false));
    }
    model.run(400);
    assert_eq!(cores(&model, "a"), WORKERS * CORES - 4);
}

/// Guards against a gang of a tenant over its share that reserves workers while another tenant
/// waits for them.
#[test]
fn a_gang_of_a_tenant_over_its_share_withholds_nothing() {
    let mut model = model();
    model.put_tenants(vec![
        tenant("a", 1.0, UNLIMITED),
        tenant("b", 1.0, UNLIMITED),
    ]);
    for job in 1..=100 {
        model.submit_as("a", job, "first", spec(TASK, 50, false));
    }
    model.run(1_000);
    model.submit_as("a", 101, "first", spec(TASK, 80, true));
    model.run(500);
    let begin = model.now;
    for job in 201..=300 {
        model.submit_as("b", job, "second", spec(TASK, 2, false));
    }
    while cores(&model, "b") < WORKERS * CORES * 45 / 100 {
        model.run(10);
        assert!(
            model.now.since(begin) <= 2 * TASK_MS,
            "{}",
            cores(&model, "b")
        );
    }
}

/// Guards against a dominant share that follows the processor only, and against small tasks of a
/// tenant over its share that take each piece of room before a large task fits.
#[test]
fn a_tenant_with_large_tasks_gets_its_share_beside_small_ones() {
    let mut model = model();
    model.put_tenants(vec![
        tenant("small", 1.0, UNLIMITED),
        tenant("large", 1.0, UNLIMITED),
    ]);
    for job in 1..=100 {
        model.submit_as("small", job, "first", spec(TASK, 50, false));
    }
    model.run(1_000);
    for job in 1..=50 {
        model.submit_as("large", LARGE_JOBS + job, "first", spec(LARGE, 10, false));
    }
    model.run(5_000);
    let means = mean_cores(&mut model, &["small", "large"], 10);
    let total = (WORKERS * CORES) as f64;
    assert!(means[1] >= total * 0.4, "{means:?}");
    assert!(means[0] + means[1] >= total * 0.85, "{means:?}");
}
