//! Speed of decisions in a loaded cluster.
//!
//! The cluster runs at a steady number of tasks while tasks end and jobs arrive, in rounds of one
//! call of `decide`. All calls of the placer count: submission, decision and release. The time
//! of a decision is that of the call which made it; its other decisions in the same call are not
//! subtracted.

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

/// Running tasks at the design scale.
const RUNNING: u32 = 5_500;

const TEAMS: u32 = 290;

/// Waiting jobs that never find room, which each call passes on its way.
const STUCK: u32 = 200;

/// Tasks that end and jobs that arrive between two calls; the leader decides in batches too.
const ROUND: usize = 16;

/// Budget of one call.
const BUDGET: usize = 64;

/// Speed of decisions at the design scale.
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

/// What was measured at one size.
struct Speed {
    per_second: f64,
    mean_us: f64,
    p50_us: f64,
    p99_us: f64,
    max_us: f64,
    used: f64,
}

/// Runs the experiment.
pub fn run(arguments: &Arguments) -> Report {
    let mut report = Report::new("placement", arguments.seed);
    let decisions = if arguments.quick { 100_000 } else { 1_000_000 };
    let sizes = [50, 100, 200, 400, 800];
    let mut speeds = Vec::new();
    for workers in sizes {
        let speed = measure(workers, decisions, arguments.seed);
        report.figure(format!("decision_mean_us_{workers}"), speed.mean_us);
        speeds.push(speed);
    }
    let (small, large) = (&speeds[0], &speeds[speeds.len() - 1]);
    report.figure("decisions_per_s", large.per_second);
    report.figure("decision_p50_us", large.p50_us);
    report.figure("decision_p99_us", large.p99_us);
    report.figure("decision_max_us", large.max_us);
    report.figure("used_processors_800", large.used);
    for (label, rule) in [("first_fit", Rule::FirstFit), ("random", Rule::Random)] {
        let small_us = measure_simple(50, rule, decisions, arguments.seed);
        let large_us = measure_simple(800, rule, decisions, arguments.seed);
        report.baseline(format!("{label}_mean_us_50"), small_us);
        report.baseline(format!("{label}_mean_us_800"), large_us);
        report.baseline(format!("{label}_growth"), large_us / small_us);
    }
    report.at_least("decisions_per_s", large.per_second, 20_000.0);
    report.at_most("decision_p99_us", large.p99_us, 1_000.0);
    report.at_most("growth_50_to_800", large.mean_us / small.mean_us, 2.0);
    report
}

/// Jobs and tasks that arrive.
struct Source {
    cluster: Cluster,
    rng: Pcg64Mcg,
    teams: Vec<Name>,
    names: Vec<Name>,
    next: u32,
}

impl Source {
    fn new(workers: u32, seed: u64) -> Source {
        Source {
            cluster: DESIGN.scaled(workers),
            rng: Pcg64Mcg::seed_from_u64(seed),
            teams: (0..TEAMS).map(|n| name(&format!("team-{n}"))).collect(),
            names: (0..64).map(|n| name(&format!("job{n}-1"))).collect(),
            next: 0,
        }
    }

    /// A job of one task. A fifth of the tasks belong to services.
    fn job(&mut self, now: Millis) -> JobView {
        let service = self.rng.random_range(0..5) == 0;
        let (policy, resources) = match service {
            true => (JobPolicy::Service, self.cluster.service_task(&mut self.rng)),
            false => {
                let run_time_ms = self.rng.random_range(1_000..600_000);
                let dated = self.rng.random_range(0..2) == 0;
                let deadline = dated.then_some(now + 4 * run_time_ms);
                let policy = JobPolicy::Batch {
                    deadline,
                    run_time_ms,
                };
                (policy, self.cluster.batch_task(&mut self.rng))
            }
        };
        self.view(now, policy, resources)
    }

    /// A job too large for the room that any worker has left.
    fn stuck_job(&mut self, now: Millis) -> JobView {
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
        let id = self.next;
        self.next += 1;
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

/// Fills a placer with tasks in proportion to the number of workers.
fn filled(source: &mut Source, workers: u32, seed: u64) -> (Placer, Vec<TaskId>) {
    let mut placer = Placer::new(PlacementConfig::default(), seed);
    for view in source.cluster.views() {
        placer.upsert_worker(view);
    }
    for team in &source.teams {
        placer.set_quota(team, Some(Resources::new(50_000_000, 200_000_000, 2_000)));
    }
    let running = RUNNING * workers / DESIGN.workers;
    let mut tasks = Vec::new();
    while tasks.len() < running as usize {
        let job = source.job(Millis::ZERO);
        placer.submit(Millis::ZERO, job);
        let placements = placer.decide(Millis::ZERO, BUDGET).placements;
        tasks.extend(placements.iter().map(|placement| placement.task));
    }
    for _ in 0..STUCK {
        let job = source.stuck_job(Millis::ZERO);
        placer.submit(Millis::ZERO, job);
    }
    (placer, tasks)
}

fn measure(workers: u32, decisions: usize, seed: u64) -> Speed {
    let mut source = Source::new(workers, seed);
    let (mut placer, mut running) = filled(&mut source, workers, seed);
    let mut histogram: Histogram<u64> =
        Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are valid");
    let mut spent = Duration::ZERO;
    let mut made = 0;
    let mut now = Millis(1);
    while made < decisions {
        now = now + 10;
        let ended: Vec<TaskId> = (0..ROUND.min(running.len()))
            .map(|_| running.swap_remove(source.rng.random_range(0..running.len())))
            .collect();
        let jobs: Vec<JobView> = ended.iter().map(|_| source.job(now)).collect();
        let start = Instant::now();
        for task in ended {
            placer.release(now, task, TaskEnd::Cancelled);
        }
        for job in jobs {
            placer.submit(now, job);
        }
        let called = Instant::now();
        let decided = placer.decide(now, BUDGET);
        let called_ns = called.elapsed().as_nanos() as u64;
        spent += start.elapsed();
        made += decided.placements.len();
        histogram.saturating_record_n(called_ns, decided.placements.len() as u64);
        running.extend(decided.placements.iter().map(|placement| placement.task));
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Speed {
        per_second: made as f64 / spent.as_secs_f64(),
        mean_us: spent.as_secs_f64() * 1e6 / made as f64,
        p50_us: at(0.5),
        p99_us: at(0.99),
        max_us: histogram.max() as f64 / 1_000.0,
        used: placer.processor_utilization(),
    }
}

/// The mean time of a placement and a release by a scan, in microseconds.
fn measure_simple(workers: u32, rule: Rule, decisions: usize, seed: u64) -> f64 {
    let mut source = Source::new(workers, seed);
    let mut simple = SimpleCluster::new(&source.cluster, rule, seed);
    let mut running: Vec<(usize, Resources)> = Vec::new();
    let target = (RUNNING * workers / DESIGN.workers) as usize;
    while running.len() < target {
        let need = source.job(Millis::ZERO).resources;
        running.extend(simple.place(&need).map(|worker| (worker, need)));
    }
    let mut spent = Duration::ZERO;
    let mut made = 0;
    while made < decisions / 4 {
        let position = source.rng.random_range(0..running.len());
        let (worker, ended) = running.swap_remove(position);
        let mut need = source.job(Millis::ZERO).resources;
        let start = Instant::now();
        simple.free(worker, &ended);
        let mut found = simple.place(&need);
        spent += start.elapsed();
        if found.is_none() {
            need = ended;
            found = simple.place(&need);
        }
        running.extend(found.map(|worker| (worker, need)));
        made += 1;
    }
    spent.as_secs_f64() * 1e6 / made as f64
}
