//! Packing: the utilization of the cluster when the first task that should fit must wait.
//!
//! Jobs of random sizes arrive until one cannot be placed although the total free capacity of the
//! cluster is sufficient in every resource, or until one exceeds that capacity. The volume bound is
//! what the same jobs use if the whole cluster counts as one worker and the first job that does not
//! fit ends the run. The result is the use relative to that bound, in the resource that limits it.
//! The placer and the baselines get the same jobs.

use argh::FromArgs;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::JobView;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_placement::Placer;
use sapphirepost_placement::TaskView;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::clusters::COOPERATIVE;
use crate::clusters::Cluster;
use crate::clusters::DESIGN;
use crate::clusters::LABORATORY;
use crate::clusters::name;
use crate::report::Report;
use crate::simple::Rule;
use crate::simple::SimpleCluster;

/// Minimum of the mean packing relative to the volume bound.
const PACKING_TARGET: f64 = 0.92;

/// On average one of this many jobs is a service. With three tasks each, services have about a
/// fifth of the tasks.
const JOBS_PER_SERVICE: u32 = 13;

/// Number of tasks of a service.
const SERVICE_TASKS: u32 = 3;

/// Packing at the point where the first task that should fit must wait.
#[derive(FromArgs)]
#[argh(subcommand, name = "packing")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// fewer repetitions
    #[argh(switch)]
    quick: bool,
}

/// A batch job of one task, or a service of equal tasks.
struct Job {
    resources: Resources,
    tasks: u32,
}

/// Measures the packing of the placer and of simple placement rules on each cluster.
pub fn run(arguments: &Arguments) -> Report {
    let mut report = Report::new("packing", arguments.seed);
    let repetitions = if arguments.quick { 10 } else { 100 };
    for cluster in [COOPERATIVE, LABORATORY, DESIGN] {
        measure(&cluster, arguments.seed, repetitions, &mut report);
    }
    report
}

fn measure(cluster: &Cluster, seed: u64, repetitions: u64, report: &mut Report) {
    let mut placer = Vec::new();
    let mut first_fit = Vec::new();
    let mut random = Vec::new();
    let mut best_fit = Vec::new();
    for repetition in 0..repetitions {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(repetition);
        let jobs = generate_jobs(cluster, seed);
        let bound = fill(cluster, &jobs, |_, _| true);
        let relative_use = |used| relative_use(&used, &bound, &cluster.total());
        placer.push(relative_use(fill_placer(cluster, &jobs, seed)));
        first_fit.push(relative_use(fill_simple(
            cluster,
            &jobs,
            Rule::FirstFit,
            seed,
        )));
        random.push(relative_use(fill_simple(
            cluster,
            &jobs,
            Rule::Random,
            seed,
        )));
        best_fit.push(relative_use(fill_simple(
            cluster,
            &jobs,
            Rule::BestFit,
            seed,
        )));
    }
    let least = placer.iter().copied().fold(1.0, f64::min);
    let [placer, first_fit, random, best_fit] =
        [placer, first_fit, random, best_fit].map(|values| mean(&values));
    let label = cluster.name;
    report.metric(format!("{label}_mean"), placer);
    report.metric(format!("{label}_least"), least);
    report.baseline(format!("{label}_first_fit_mean"), first_fit);
    report.baseline(format!("{label}_random_mean"), random);
    report.baseline(format!("{label}_best_fit_mean"), best_fit);
    report.at_least(format!("{label}_packing"), placer, PACKING_TARGET);
    report.above(format!("{label}_above_first_fit"), placer, first_fit);
    report.above(format!("{label}_above_random"), placer, random);
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Generates jobs that together need at least twice the processors of the cluster, so that the
/// cluster is full before they run out.
fn generate_jobs(cluster: &Cluster, seed: u64) -> Vec<Job> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let total = cluster.total();
    let mut volume = Resources::ZERO;
    let mut jobs = Vec::new();
    while volume.millicores < 2 * total.millicores {
        let service = rng.random_range(0..JOBS_PER_SERVICE) == 0;
        let job = match service {
            true => Job {
                resources: cluster.service_task(&mut rng),
                tasks: SERVICE_TASKS,
            },
            false => Job {
                resources: cluster.batch_task(&mut rng),
                tasks: 1,
            },
        };
        volume = volume.checked_add(&total_resources(&job)).unwrap_or(volume);
        jobs.push(job);
    }
    jobs
}

fn total_resources(job: &Job) -> Resources {
    job.resources
        .checked_mul(job.tasks)
        .unwrap_or(job.resources)
}

/// Returns the resources in use when `place` first rejects a job, or when a job exceeds the total
/// free capacity of the cluster.
fn fill(cluster: &Cluster, jobs: &[Job], mut place: impl FnMut(usize, &Job) -> bool) -> Resources {
    let total = cluster.total();
    let mut used = Resources::ZERO;
    for (position, job) in jobs.iter().enumerate() {
        let fits = total_resources(job).fits_in(&total.saturating_sub(&used));
        if !fits || !place(position, job) {
            break;
        }
        used = used.checked_add(&total_resources(job)).unwrap_or(used);
    }
    used
}

/// Returns `used` relative to the volume bound, in the resource that limits the bound.
fn relative_use(used: &Resources, bound: &Resources, total: &Resources) -> f64 {
    let used = amounts(used);
    let bound = amounts(bound);
    let total = amounts(total);
    let share = |&resource: &usize| bound[resource] / total[resource].max(1.0);
    let limiting = (0..3)
        .max_by(|a, b| share(a).total_cmp(&share(b)))
        .unwrap_or(0);
    used[limiting] / bound[limiting].max(1.0)
}

fn amounts(resources: &Resources) -> [f64; 3] {
    [
        resources.millicores as f64,
        resources.memory_mib as f64,
        f64::from(resources.accelerators),
    ]
}

fn fill_simple(cluster: &Cluster, jobs: &[Job], rule: Rule, seed: u64) -> Resources {
    let mut cluster_model = SimpleCluster::new(cluster, rule, seed);
    fill(cluster, jobs, |_, job| {
        (0..job.tasks).all(|_| cluster_model.place(&job.resources).is_some())
    })
}

fn fill_placer(cluster: &Cluster, jobs: &[Job], seed: u64) -> Resources {
    let mut placer = Placer::new(PlacementConfig::default(), seed);
    for view in cluster.views() {
        placer.upsert_worker(view);
    }
    fill(cluster, jobs, |position, job| {
        let id = position as u32;
        let first = id * SERVICE_TASKS;
        let policy = match job.tasks {
            SERVICE_TASKS => JobPolicy::Service,
            _ => JobPolicy::Batch {
                deadline: None,
                run_time_ms: 60_000,
            },
        };
        let view = JobView {
            id: JobId(id),
            name: name(&format!("job-{}", id % 64)),
            team: name(&format!("team-{}", id % 290)),
            policy,
            priority: Priority::Normal,
            resources: job.resources,
            checkpoint_cost_ms: None,
            submitted: Millis::ZERO,
            tasks: (first..first + job.tasks)
                .map(|id| TaskView::new(TaskId(id)))
                .collect(),
        };
        placer.submit(Millis::ZERO, view);
        placer.decide(Millis::ZERO, 16).placements.len() == job.tasks as usize
    })
}
