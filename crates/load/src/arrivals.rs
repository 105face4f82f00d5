//! Jobs that arrive over time, with run times that differ from the declared ones.

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

/// Share of the cluster that services take, on top of which the other jobs arrive.
const SERVICE_SHARE: f64 = 0.2;

/// Tasks of a service.
const SERVICE_TASKS: u32 = 12;

/// Kinds of jobs with the same bias of their declared run times.
const SERIES: usize = 40;

const TEAMS: usize = 20;

/// The declared run time is wrong by at most this factor.
const MAX_ERROR: f64 = 10.0;

/// A job and how long its tasks really run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The job as it is declared.
    pub view: JobView,
    /// The run time of each task; zero for a service.
    pub actual_ms: u64,
}

impl Arrival {
    /// The deadline of a batch job.
    pub fn deadline(&self) -> Option<Millis> {
        match self.view.policy {
            JobPolicy::Batch { deadline, .. } => deadline,
            JobPolicy::Service | JobPolicy::Gang { .. } => None,
        }
    }

    /// Whether the job is urgent.
    pub fn is_urgent(&self) -> bool {
        self.view.priority == Priority::Urgent
    }
}

/// Similar jobs.
struct Series {
    name: String,
    /// The typical factor between actual and declared run time.
    bias: f64,
    /// The decimal exponent by which single jobs differ from it.
    spread: f64,
    run_time_ms: f64,
}

struct Source<'a> {
    cluster: &'a Cluster,
    rng: Pcg64Mcg,
    series: Vec<Series>,
    teams: Vec<Name>,
    next_job: u32,
    next_task: u32,
}

/// Services at time zero, then jobs in the order of their arrival up to `horizon_ms`, with an
/// offered load of `load` of the scarcer one of processors and memory.
pub fn generate(cluster: &Cluster, load: f64, horizon_ms: u64, seed: u64) -> Vec<Arrival> {
    let mut source = Source::new(cluster, seed);
    let total = cluster.total();
    let mut arrivals = source.services(&total);
    let work = (load - SERVICE_SHARE) * horizon_ms as f64;
    let first = arrivals.len();
    let mut processors = 0.0;
    let mut memory = 0.0;
    while f64::max(processors, memory) < work {
        let arrival = source.job();
        let amount = arrival.view.tasks.len() as f64 * arrival.actual_ms as f64;
        processors += amount * arrival.view.resources.millicores as f64 / total.millicores as f64;
        memory += amount * arrival.view.resources.memory_mib as f64 / total.memory_mib as f64;
        arrivals.push(arrival);
    }
    // Uniform times in order are a Poisson process with this number of arrivals.
    let count = arrivals.len() - first;
    let mut times: Vec<u64> = (0..count)
        .map(|_| source.rng.random_range(0..horizon_ms))
        .collect();
    times.sort_unstable();
    for (arrival, at) in arrivals[first..].iter_mut().zip(times) {
        shift(arrival, at);
    }
    arrivals
}

fn shift(arrival: &mut Arrival, by_ms: u64) {
    arrival.view.submitted = arrival.view.submitted + by_ms;
    if let JobPolicy::Batch {
        deadline: Some(deadline),
        ..
    } = &mut arrival.view.policy
    {
        *deadline = *deadline + by_ms;
    }
}

impl<'a> Source<'a> {
    fn new(cluster: &'a Cluster, seed: u64) -> Source<'a> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let series = (0..SERIES).map(|n| Series {
            name: format!("series{n}x"),
            bias: 10f64.powf(rng.random_range(-0.7..0.7)),
            spread: rng.random_range(0.02..0.3),
            run_time_ms: 1_000.0 * 10f64.powf(rng.random_range(0.5..2.5)),
        });
        Source {
            cluster,
            series: series.collect(),
            rng,
            teams: (0..TEAMS).map(|n| name(&format!("team{n}"))).collect(),
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

    /// One in twenty is urgent, one in twenty is a gang; half of the rest has a deadline.
    fn job(&mut self) -> Arrival {
        let position = self.rng.random_range(0..SERIES);
        let series = &self.series[position];
        let label = series.name.clone();
        let (bias, spread) = (series.bias, series.spread);
        let actual_ms = series.run_time_ms * 10f64.powf(self.rng.random_range(-0.3..0.3));
        let error = bias * 10f64.powf(self.rng.random_range(-spread..spread));
        let declared_ms = actual_ms / error.clamp(1.0 / MAX_ERROR, MAX_ERROR);
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

    /// Jobs of a series belong to one team.
    fn team_of(&mut self, label: &str) -> Name {
        let series = self.series.iter().position(|series| series.name == label);
        match series {
            Some(series) => self.teams[series % TEAMS].clone(),
            None => self
                .teams
                .choose(&mut self.rng)
                .expect("there are teams")
                .clone(),
        }
    }
}
