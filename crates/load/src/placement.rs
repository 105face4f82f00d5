//! Rate and latency of placement decisions in a loaded cluster.
//!
//! The number of running tasks stays steady while tasks end and jobs arrive, in rounds of one
//! scheduling pass. The rate and the mean time include all calls to the placer: submission,
//! decision and release. The latency of a decision is the time of the whole scheduling pass that
//! made it, including the other decisions of that pass.

use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::JobView;
use sapphirepost_placement::PlacementConfig;
use sapphirepost_placement::Placer;
use sapphirepost_placement::TaskEnd;
use sapphirepost_placement::TaskView;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::clusters::Cluster;
use crate::clusters::DESIGN;
use crate::clusters::name;
use crate::report::Report;
use crate::simple::Rule;
use crate::simple::SimpleCluster;

/// Running tasks on a cluster of the design size.
const RUNNING_TASKS: u32 = 5_500;

const TEAM_COUNT: u32 = 290;

/// Waiting jobs that do not fit into the free capacity of any worker. Scheduling passes have to
/// skip them.
const BLOCKED_JOBS: u32 = 200;

/// Tasks that end and jobs that arrive between two scheduling passes; the leader decides in batches
/// too.
const TASKS_PER_ROUND: usize = 16;

/// Budget of one scheduling pass, in tasks.
const PASS_BUDGET: usize = 64;

/// Rate and latency of decisions at the design scale.
#[derive(FromArgs)]
#[argh(subcommand, name = "placement")]
pub struct Arguments {
    /// seed of the random numbers
    #[argh(option, default = "1")]
    seed: u64,
    /// fewer decisions
    #[argh(switch)]
    quick: bool,
}

/// Rate and latency of decisions at one cluster size.
struct DecisionStats {
    decisions_per_s: f64,
    mean_us: f64,
    p50_us: f64,
    p99_us: f64,
    max_us: f64,
    processor_utilization: f64,
}

/// Measures the placer on five cluster sizes, and the baselines on the smallest and the largest.
pub fn run(arguments: &Arguments) -> Report {
    let mut report = Report::new("placement", arguments.seed);
    let decisions = if arguments.quick { 100_000 } else { 1_000_000 };
    let sizes = [50, 100, 200, 400, 800];
    let mut all_stats = Vec::new();
    for workers in sizes {
        let stats = measure(workers, decisions, arguments.seed);
        report.metric(format!("decision_mean_us_{workers}"), stats.mean_us);
        all_stats.push(stats);
    }
    let (small, large) = (&all_stats[0], &all_stats[all_stats.len() - 1]);
    report.metric("decisions_per_s", large.decisions_per_s);
    report.metric("decision_p50_us", large.p50_us);
    report.metric("decision_p99_us", large.p99_us);
    report.metric("decision_max_us", large.max_us);
    report.metric("used_processors_800", large.processor_utilization);
    for (label, rule) in [("first_fit", Rule::FirstFit), ("random", Rule::Random)] {
        let small_us = measure_simple(50, rule, decisions, arguments.seed);
        let large_us = measure_simple(800, rule, decisions, arguments.seed);
        report.baseline(format!("{label}_mean_us_50"), small_us);
        report.baseline(format!("{label}_mean_us_800"), large_us);
        report.baseline(format!("{label}_growth"), large_us / small_us);
    }
    report.at_least("decisions_per_s", large.decisions_per_s, 20_000.0);
    report.at_most("decision_p99_us", large.p99_us, 1_000.0);
    report.at_most("growth_50_to_800", large.mean_us / small.mean_us, 2.0);
    report
}

/// Generates the jobs that arrive.
struct JobGenerator {
    cluster: Cluster,
    rng: Pcg64Mcg,
    teams: Vec<Name>,
    names: Vec<Name>,
    next_id: u32,
}

impl JobGenerator {
    fn new(workers: u32, seed: u64) -> JobGenerator {
        JobGenerator {
            cluster: DESIGN.scaled(workers),
            rng: Pcg64Mcg::seed_from_u64(seed),
            teams: (0..TEAM_COUNT)
                .map(|n| name(&format!("team-{n}")))
                .collect(),
            names: (0..64).map(|n| name(&format!("job{n}-1"))).collect(),
            next_id: 0,
        }
    }

    /// Draws a job of one task. On average a fifth of the jobs are services.
    fn job(&mut self, now: Millis) -> JobView {
        let service = self.rng.random_range(0..5) == 0;
        let (policy, resources) = match service {
            true => (JobPolicy::Service, self.cluster.service_task(&mut self.rng)),
            false => {
                let run_time_ms = self.rng.random_range(1_000..600_000);
                let has_deadline = self.rng.random_range(0..2) == 0;
                let deadline = has_deadline.then_some(now + 4 * run_time_ms);
                let policy = JobPolicy::Batch {
                    deadline,
                    run_time_ms,
                };
                (policy, self.cluster.batch_task(&mut self.rng))
            }
        };
        self.view(now, policy, resources)
    }

    /// Draws a job that needs nearly a whole worker, more than any worker of a loaded cluster has
    /// free.
    fn blocked_job(&mut self, now: Millis) -> JobView {
        let policy = JobPolicy::Batch {
            deadline: None,
            run_time_ms: 1_000,
        };
        let spare = self.rng.random_range(0..500);
        let capacity = self.cluster.capacity;
        let resources = Resources {
            millicores: capacity.millicores - spare,
            ..capacity
        };
        self.view(now, policy, resources)
    }

    fn view(&mut self, now: Millis, policy: JobPolicy, resources: Resources) -> JobView {
        let id = self.next_id;
        self.next_id += 1;
        JobView {
            id: JobId(id),
            name: self
                .names
                .choose(&mut self.rng)
                .expect("there are names")
                .clone(),
            team: self
                .teams
                .choose(&mut self.rng)
                .expect("there are teams")
                .clone(),
            policy,
            priority: Priority::Normal,
            resources,
            checkpoint_cost_ms: Some(100),
            submitted: now,
            tasks: vec![TaskView::new(TaskId(id))],
        }
    }
}

/// Creates a placer and starts tasks in proportion to the number of workers, then submits the jobs
/// that cannot be placed. Returns the placer and the running tasks.
fn fill_cluster(generator: &mut JobGenerator, workers: u32, seed: u64) -> (Placer, Vec<TaskId>) {
    let mut placer = Placer::new(PlacementConfig::default(), seed);
    for view in generator.cluster.views() {
        placer.upsert_worker(view);
    }
    for team in &generator.teams {
        placer.set_quota(team, Some(Resources::new(50_000_000, 200_000_000, 2_000)));
    }
    let running = RUNNING_TASKS * workers / DESIGN.workers;
    let mut tasks = Vec::new();
    while tasks.len() < running as usize {
        let job = generator.job(Millis::ZERO);
        placer.submit(Millis::ZERO, job);
        let placements = placer.decide(Millis::ZERO, PASS_BUDGET).placements;
        tasks.extend(placements.iter().map(|placement| placement.task));
    }
    for _ in 0..BLOCKED_JOBS {
        let job = generator.blocked_job(Millis::ZERO);
        placer.submit(Millis::ZERO, job);
    }
    (placer, tasks)
}

fn measure(workers: u32, decisions: usize, seed: u64) -> DecisionStats {
    let mut generator = JobGenerator::new(workers, seed);
    let (mut placer, mut running) = fill_cluster(&mut generator, workers, seed);
    let mut histogram: Histogram<u64> =
        Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are valid");
    let mut spent = Duration::ZERO;
    let mut made = 0;
    let mut now = Millis(1);
    while made < decisions {
        now = now + 10;
        let ended: Vec<TaskId> = (0..TASKS_PER_ROUND.min(running.len()))
            .map(|_| running.swap_remove(generator.rng.random_range(0..running.len())))
            .collect();
        let jobs: Vec<JobView> = ended.iter().map(|_| generator.job(now)).collect();
        let start = Instant::now();
        for task in ended {
            placer.release(now, task, TaskEnd::Cancelled);
        }
        for job in jobs {
            placer.submit(now, job);
        }
        let decide_start = Instant::now();
        let decisions_of_pass = placer.decide(now, PASS_BUDGET);
        let decide_ns = decide_start.elapsed().as_nanos() as u64;
        spent += start.elapsed();
        made += decisions_of_pass.placements.len();
        histogram.saturating_record_n(decide_ns, decisions_of_pass.placements.len() as u64);
        running.extend(
            decisions_of_pass
                .placements
                .iter()
                .map(|placement| placement.task),
        );
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    DecisionStats {
        decisions_per_s: made as f64 / spent.as_secs_f64(),
        mean_us: spent.as_secs_f64() * 1e6 / made as f64,
        p50_us: at(0.5),
        p99_us: at(0.99),
        max_us: histogram.max() as f64 / 1_000.0,
        processor_utilization: placer.processor_utilization(),
    }
}

/// Returns the mean time of a placement and a release with a simple rule, in microseconds.
///
/// If a new task fits on no worker, the released one is placed again, which is not timed. This
/// keeps the number of running tasks steady.
fn measure_simple(workers: u32, rule: Rule, decisions: usize, seed: u64) -> f64 {
    let mut generator = JobGenerator::new(workers, seed);
    let mut cluster_model = SimpleCluster::new(&generator.cluster, rule, seed);
    let mut running: Vec<(usize, Resources)> = Vec::new();
    let target = (RUNNING_TASKS * workers / DESIGN.workers) as usize;
    while running.len() < target {
        let need = generator.job(Millis::ZERO).resources;
        running.extend(cluster_model.place(&need).map(|worker| (worker, need)));
    }
    let mut spent = Duration::ZERO;
    let mut made = 0;
    while made < decisions / 4 {
        let position = generator.rng.random_range(0..running.len());
        let (worker, ended) = running.swap_remove(position);
        let mut need = generator.job(Millis::ZERO).resources;
        let start = Instant::now();
        cluster_model.release(worker, &ended);
        let mut found = cluster_model.place(&need);
        spent += start.elapsed();
        if found.is_none() {
            need = ended;
            found = cluster_model.place(&need);
        }
        running.extend(found.map(|worker| (worker, need)));
        made += 1;
    }
    spent.as_secs_f64() * 1e6 / made as f64
}
