//! Whether wide gangs are served on a nearly full cluster, beside narrow ones and other jobs.
//!
//! The load has bursts of short jobs and of gangs, and the loss of a failure domain. The placement
//! policy allows each step on a part of the workers only, and takes long to answer.

mod model;

use std::collections::BTreeMap;
use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_queues::SubmittedSpec;

use crate::model::Model;
use crate::model::STEP_MS;
use crate::model::wide_load;
use crate::model::wide_load::GANG;
use crate::model::wide_load::KINDS;
use crate::model::wide_load::Kind;
use crate::model::wide_load::SHORT;
use crate::model::worker::ModelWorker;

const CORES_PER_WORKER: u64 = 32;
const FAILURE_DOMAINS: usize = 5;
/// One in this many workers is slow.
const SLOW_ONE_IN: usize = 3;
/// How long a task takes on a slow worker, in percent.
const SLOW_PERCENT: u64 = 130;

/// A cluster and its load over time.
struct Scenario {
    workers: usize,
    policy_clients: usize,
    seconds: u64,
    /// The load outside of bursts, as a factor.
    usual_load: f64,
    /// The seconds during which a failure domain is cut off.
    cut: std::ops::Range<u64>,
    /// Where the numbers of the jobs begin, for each repetition; other numbers make other jobs.
    first_jobs: &'static [u64],
}

/// A job that was submitted, and what became of it.
struct Submitted {
    kind: Kind,
    objective_ms: u64,
    work_core_ms: u64,
    /// The time from its submission to its completion.
    took_ms: Option<u64>,
}

/// All jobs of a scenario.
#[derive(Default)]
struct Run {
    submitted: BTreeMap<JobKey, Submitted>,
}

/// A late job is of no more use after this multiple of the time in which it is expected.
const USEFUL_FACTOR: u64 = 3;
/// How long the model runs after the last submission.
const AFTER_LOAD_MS: u64 = 30_000;

impl Scenario {
    fn model(&self) -> Model {
        let worker = |number: usize| {
            let name = format!("w{number}");
            let mut worker =
                ModelWorker::new(&name, CORES_PER_WORKER, wide_load::need, wide_load::work_ms);
            if number.is_multiple_of(SLOW_ONE_IN) {
                worker.duration_percent = SLOW_PERCENT;
            }
            worker
        };
        let queues = KINDS.iter().map(Kind::queue).collect();
        let workers = (0..self.workers).map(worker).collect();
        let mut model = Model::new(queues, workers, self.policy_clients);
        for kind in KINDS {
            let name = Arc::from(kind.queue);
            model
                .allowed_percent_by_queue
                .insert(name, kind.allowed_percent);
        }
        model.run(100);
        model
    }

    /// The load factor of a kind: twice the short jobs for 4 s, later more gangs for 4 s.
    fn load(&self, kind: &Kind, second: u64) -> f64 {
        let is_burst = |begin: u64| (begin..begin + 4).contains(&second);
        match kind.queue {
            queue if queue == SHORT.queue && is_burst(8) => 2.0,
            queue if queue == GANG.queue && is_burst(20) => 1.7,
            _ => self.usual_load,
        }
    }

    fn set_cut(&self, model: &mut Model, is_cut_off: bool) {
        for number in (0..self.workers).step_by(FAILURE_DOMAINS) {
            let worker = model.workers.get_mut(&*format!("w{number}")).unwrap();
            worker.is_unreachable = is_cut_off;
        }
        let clients: Vec<usize> = (0..self.policy_clients).step_by(FAILURE_DOMAINS).collect();
        model.cut_off_clients(&clients, is_cut_off);
    }

    fn run(&self) -> Run {
        let mut run = Run::default();
        for first_job in self.first_jobs {
            run.submitted.append(&mut self.run_once(*first_job));
        }
        run
    }

    fn run_once(&self, first_job: u64) -> BTreeMap<JobKey, Submitted> {
        let mut model = self.model();
        let mut submitted = BTreeMap::new();
        let share = (self.workers as u64 * CORES_PER_WORKER) as f64 / wide_load::CORES as f64;
        let mut due = [0.0; KINDS.len()];
        let mut next = [first_job; KINDS.len()];
        let begin = model.now;
        while model.now.since(begin) < self.seconds * 1_000 {
            let at_ms = model.now.since(begin);
            if at_ms == self.cut.start * 1_000 || at_ms == self.cut.end * 1_000 {
                self.set_cut(&mut model, at_ms == self.cut.start * 1_000);
            }
            for (position, kind) in KINDS.iter().enumerate() {
                let rate = kind.per_1000_s as f64 * share * self.load(kind, at_ms / 1_000);
                due[position] += rate * STEP_MS as f64 / 1e6;
                while due[position] >= 1.0 {
                    due[position] -= 1.0;
                    submit(&mut model, &mut submitted, kind, next[position]);
                    next[position] += 1;
                }
            }
            model.run(STEP_MS);
        }
        model.run(AFTER_LOAD_MS);
        for (key, job) in &mut submitted {
            let known = &model.jobs[key];
            let completed = known
                .ended
                .filter(|(_, phase)| *phase == JobPhase::Completed);
            job.took_ms = completed.map(|(at, _)| at.since(known.at));
        }
        submitted
    }
}

fn submit(
    model: &mut Model,
    submitted: &mut BTreeMap<JobKey, Submitted>,
    kind: &Kind,
    number: u64,
) {
    let job = JobKey(kind.key(number));
    let spec: SubmittedSpec = kind.spec(number);
    let facts = Submitted {
        kind: *kind,
        objective_ms: kind.objective_ms(job, &spec),
        work_core_ms: kind.work_core_ms(job, &spec),
        took_ms: None,
    };
    submitted.insert(job, facts);
    model.submit(job.0, kind.queue, spec);
}

/// The shares of jobs that were done in time and while they were of use, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Shares {
    jobs: usize,
    in_time: usize,
    useful: usize,
}

impl Run {
    /// The jobs of a kind, with the smallest amount of work first.
    fn by_size(&self, kind: &Kind) -> Vec<JobKey> {
        let of_kind = self
            .submitted
            .iter()
            .filter(|(_, job)| job.kind.queue == kind.queue);
        let mut jobs: Vec<(u64, JobKey)> =
            of_kind.map(|(key, job)| (job.work_core_ms, *key)).collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, key)| key).collect()
    }

    fn shares(&self, jobs: &[JobKey]) -> Shares {
        let done_within = |factor: u64| {
            let is_done = |key: &&JobKey| {
                let job = &self.submitted[*key];
                job.took_ms
                    .is_some_and(|took_ms| took_ms <= factor * job.objective_ms)
            };
            jobs.iter().filter(is_done).count() * 100 / jobs.len().max(1)
        };
        Shares {
            jobs: jobs.len(),
            in_time: done_within(1),
            useful: done_within(USEFUL_FACTOR),
        }
    }

    /// The shares of all jobs of a kind, and of the tenth with the most work.
    fn all_and_largest(&self, kind: &Kind) -> (Shares, Shares) {
        let jobs = self.by_size(kind);
        let largest = &jobs[jobs.len() - jobs.len() / 10..];
        (self.shares(&jobs), self.shares(largest))
    }

    fn report(&self) -> String {
        let lines = KINDS.iter().map(|kind| {
            let jobs = self.by_size(kind);
            let fifths = jobs.chunks(jobs.len().div_ceil(5)).map(|fifth| {
                let shares = self.shares(fifth);
                format!(" {}/{}", shares.in_time, shares.useful)
            });
            let (all, largest) = self.all_and_largest(kind);
            let fifths: String = fifths.collect();
            format!(
                "{}: all {}/{} of {}, largest {}/{}, fifths{fifths}\n",
                kind.queue, all.in_time, all.useful, all.jobs, largest.in_time, largest.useful
            )
        });
        lines.collect()
    }
}

/// Guards against wide gangs that are hardly ever served because narrow ones are always placed
/// before them.
#[test]
fn wide_gangs_are_served_at_least_half_as_often_as_all_gangs() {
    let scenario = Scenario {
        workers: 120,
        policy_clients: 16,
        seconds: 60,
        usual_load: 1.1,
        cut: 26..32,
        first_jobs: &[0, 10_000],
    };
    let run = scenario.run();
    println!("{}", run.report());
    let (all, largest) = run.all_and_largest(&GANG);
    assert!(
        2 * largest.useful >= all.useful,
        "{largest:?} of {all:?}\n{}",
        run.report()
    );
}
