//! Generates jobs that arrive over time, with run times that differ from the declared ones.

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use sapphirepost_placement::JobPolicy;
use sapphirepost_placement::JobView;
use sapphirepost_placement::TaskView;
use sapphirepost_types::JobId;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::Priority;
use sapphirepost_types::Resources;
use sapphirepost_types::TaskId;

use crate::clusters::Cluster;
use crate::clusters::name;

/// Share of the processors of the cluster that services take. It is part of the offered load.
const SERVICE_SHARE: f64 = 0.2;

/// Number of tasks of a service.
const SERVICE_TASKS: u32 = 12;

/// Number of job series; all jobs of a series share the bias of their declared run times.
const SERIES_COUNT: usize = 40;

const TEAM_COUNT: usize = 20;

/// Maximum factor between the actual and the declared run time, in either direction.
const MAX_ERROR_FACTOR: f64 = 10.0;

/// A job and the actual run time of its tasks.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The job as submitted to the placer, with its declared run time.
    pub view: JobView,
    /// Actual run time of each task; zero for a service.
    pub actual_ms: u64,
}

impl Arrival {
    /// Returns the deadline of a batch job; `None` for other jobs and for a job without a deadline.
    pub fn deadline(&self) -> Option<Millis> {
        match self.view.policy {
            JobPolicy::Batch { deadline, .. } => deadline,
            JobPolicy::Service | JobPolicy::Gang { .. } => None,
        }
    }

    /// Returns whether the job has the priority `Urgent`.
    pub fn is_urgent(&self) -> bool {
        self.view.priority == Priority::Urgent
    }
}

/// A series of similar jobs of one team.
struct Series {
    name: String,
    /// Typical ratio of the actual to the declared run time.
    bias: f64,
    /// The ratio of a single job differs from `bias` by a factor of at most 10 to the power of
    /// this, in either direction.
    spread: f64,
    /// Typical actual run time.
    run_time_ms: f64,
}

struct ArrivalGenerator<'a> {
    cluster: &'a Cluster,
    rng: Pcg64Mcg,
    series: Vec<Series>,
    teams: Vec<Name>,
    next_job: u32,
    next_task: u32,
}

/// Generates services at time zero, then jobs in the order of their arrival before `horizon_ms`.
///
/// `load` is the offered load as a share of the capacity of the cluster, in the scarcer one of
/// processors and memory. It includes the services, which count as [`SERVICE_SHARE`] of both.
pub fn generate(cluster: &Cluster, load: f64, horizon_ms: u64, seed: u64) -> Vec<Arrival> {
    let mut generator = ArrivalGenerator::new(cluster, seed);
    let total = cluster.total();
    let mut arrivals = generator.services(&total);
    let work = (load - SERVICE_SHARE) * horizon_ms as f64;
    let first = arrivals.len();
    let mut processors = 0.0;
    let mut memory = 0.0;
    while f64::max(processors, memory) < work {
        let arrival = generator.job();
        let amount = arrival.view.tasks.len() as f64 * arrival.actual_ms as f64;
        processors += amount * arrival.view.resources.millicores as f64 / total.millicores as f64;
        memory += amount * arrival.view.resources.memory_mib as f64 / total.memory_mib as f64;
        arrivals.push(arrival);
    }
    // Given their number, the arrival times of a Poisson process are sorted uniform times.
    let count = arrivals.len() - first;
    let mut times: Vec<u64> = (0..count)
        .map(|_| generator.rng.random_range(0..horizon_ms))
        .collect();
    times.sort_unstable();
    for (arrival, at) in arrivals[first..].iter_mut().zip(times) {
        delay(arrival, at);
    }
    arrivals
}

fn delay(arrival: &mut Arrival, by_ms: u64) {
    arrival.view.submitted = arrival.view.submitted + by_ms;
    if let JobPolicy::Batch {
        deadline: Some(deadline),
        ..
    } = &mut arrival.view.policy
    {
        *deadline = *deadline + by_ms;
    }
}

impl<'a> ArrivalGenerator<'a> {
    fn new(cluster: &'a Cluster, seed: u64) -> ArrivalGenerator<'a> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let series = (0..SERIES_COUNT).map(|n| Series {
            name: format!("series{n}x"),
            bias: 10f64.powf(rng.random_range(-0.7..0.7)),
            spread: rng.random_range(0.02..0.3),
            run_time_ms: 1_000.0 * 10f64.powf(rng.random_range(0.5..2.5)),
        });
        ArrivalGenerator {
            cluster,
            series: series.collect(),
            rng,
            teams: (0..TEAM_COUNT).map(|n| name(&format!("team{n}"))).collect(),
            next_job: 0,
            next_task: 0,
        }
    }

    fn services(&mut self, total: &Resources) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut millicores = 0;
        while (millicores as f64) < SERVICE_SHARE * total.millicores as f64 {
            let need = self.cluster.service_task(&mut self.rng);
            millicores += need.millicores * u64::from(SERVICE_TASKS);
            arrivals.push(self.arrival(JobPolicy::Service, SERVICE_TASKS, need, 0, "service"));
        }
        arrivals
    }

    /// Draws a job: one in twenty is urgent, one in twenty is a gang, and half of the rest have a
    /// deadline. Its time of submission is zero.
    fn job(&mut self) -> Arrival {
        let position = self.rng.random_range(0..SERIES_COUNT);
        let series = &self.series[position];
        let label = series.name.clone();
        let (bias, spread) = (series.bias, series.spread);
        let actual_ms = series.run_time_ms * 10f64.powf(self.rng.random_range(-0.3..0.3));
        let error = bias * 10f64.powf(self.rng.random_range(-spread..spread));
        let declared_ms = actual_ms / error.clamp(1.0 / MAX_ERROR_FACTOR, MAX_ERROR_FACTOR);
        let run_time_ms = (declared_ms as u64).max(1);
        let actual_ms = actual_ms as u64;
        let need = self.cluster.batch_task(&mut self.rng);
        match self.rng.random_range(0..20) {
            0 => self.urgent(),
            1 => {
                let tasks = self.rng.random_range(4..=12);
                self.arrival(
                    JobPolicy::Gang { run_time_ms },
                    tasks,
                    need,
                    actual_ms,
                    &label,
                )
            }
            kind => {
                let stretch = self.rng.random_range(1.5..8.0);
                let deadline = Millis((actual_ms as f64 * stretch) as u64);
                let deadline = (kind % 2 == 0).then_some(deadline);
                let policy = JobPolicy::Batch {
                    deadline,
                    run_time_ms,
                };
                let tasks = self.rng.random_range(1..=6);
                self.arrival(policy, tasks, need, actual_ms, &label)
            }
        }
    }

    fn urgent(&mut self) -> Arrival {
        let run_time_ms = self.rng.random_range(1_000..30_000);
        let need = self.cluster.service_task(&mut self.rng);
        let tasks = self.rng.random_range(1..=3);
        let policy = JobPolicy::Batch {
            deadline: None,
            run_time_ms,
        };
        let mut arrival = self.arrival(policy, tasks, need, run_time_ms, "urgent");
        arrival.view.priority = Priority::Urgent;
        arrival
    }

    fn arrival(
        &mut self,
        policy: JobPolicy,
        tasks: u32,
        resources: Resources,
        actual_ms: u64,
        label: &str,
    ) -> Arrival {
        let id = self.next_job;
        let first = self.next_task;
        self.next_job += 1;
        self.next_task += tasks;
        let can_checkpoint = policy != JobPolicy::Service && self.rng.random_range(0..10) < 7;
        let checkpoint_ms = self.rng.random_range(50..2_000);
        let view = JobView {
            id: JobId(id),
            name: name(&format!("{label}-{id}")),
            team: self.team_of(label),
            policy,
            priority: Priority::Normal,
            resources,
            checkpoint_cost_ms: can_checkpoint.then_some(checkpoint_ms),
            submitted: Millis::ZERO,
            tasks: (first..self.next_task)
                .map(|id| TaskView::new(TaskId(id)))
                .collect(),
        };
        Arrival { view, actual_ms }
    }

    /// Returns the team of a job: fixed for the jobs of a series, random for others.
    fn team_of(&mut self, label: &str) -> Name {
        let series = self.series.iter().position(|series| series.name == label);
        match series {
            Some(series) => self.teams[series % TEAM_COUNT].clone(),
            None => self
                .teams
                .choose(&mut self.rng)
                .expect("there are teams")
                .clone(),
        }
    }
}
