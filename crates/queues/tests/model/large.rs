//! A large, nearly full cluster under [`LARGE_KINDS`], and what its callers get.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::JobPhase;
use sapphirepost_types::Millis;

use super::Model;
use super::STEP_MS;
use super::leader::Offer;
use super::wide_load;
use super::wide_load::Kind;
use super::wide_load::LARGE_KINDS;
use super::wide_load::LARGE_SHORT;
use super::worker::ModelWorker;

pub const WORKERS: usize = 1_100;
pub const CORES_PER_WORKER: u64 = 32;
const POLICY_CLIENTS: usize = 138;
/// An event costs as much as this many checks.
const CHECKS_PER_EVENT: u64 = 40;
/// The load of short jobs during a burst, as a multiple of the usual load.
const BURST_FACTOR: f64 = 2.0;
/// A late job is useful up to this multiple of its objective.
pub const USEFUL_FACTOR: u64 = 3;

/// The cluster with a leader whose work costs no time.
pub fn model() -> Model {
    let worker = |number| {
        let name = format!("w{number}");
        ModelWorker::new(&name, CORES_PER_WORKER, wide_load::need, wide_load::work_ms)
    };
    let queues = LARGE_KINDS.iter().map(Kind::queue).collect();
    let workers = (0..WORKERS).map(worker).collect();
    let mut model = Model::new(queues, workers, POLICY_CLIENTS);
    for kind in LARGE_KINDS {
        let name = Arc::from(kind.queue);
        model
            .allowed_percent_by_queue
            .insert(name, kind.allowed_percent);
    }
    model
}

/// The cluster with a leader whose work takes time once it knows all workers.
pub fn slow_model(check_cost_ns: u64) -> Model {
    let mut model = model();
    model.run(500);
    model.leader.check_cost_ns = check_cost_ns;
    model.leader.event_cost_us = check_cost_ns * CHECKS_PER_EVENT / 1_000;
    model
}

/// The jobs of `kind` in one step of the model at the usual load.
pub fn jobs_per_step(kind: &Kind) -> f64 {
    let share = (WORKERS as u64 * CORES_PER_WORKER) as f64 / wide_load::CORES as f64;
    kind.per_1000_s as f64 * share * STEP_MS as f64 / 1e6
}

/// Whether and for how long a refused caller returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    /// Each refused caller comes back once.
    ReturnOnce,
    /// A refused caller comes back whenever its job would still be useful then.
    ReturnWhileUseful,
}

/// The usual load, with a burst of short jobs in some seconds.
pub struct Load {
    callers: Callers,
    burst: Range<u64>,
    seconds: u64,
    due: [f64; LARGE_KINDS.len()],
    next: [u64; LARGE_KINDS.len()],
}

impl Load {
    pub fn new(burst: Range<u64>, callers: Callers) -> Load {
        Load {
            callers,
            burst,
            seconds: 0,
            due: [0.0; LARGE_KINDS.len()],
            next: [0; LARGE_KINDS.len()],
        }
    }

    /// Runs the model for one second under the load.
    pub fn run_second(&mut self, model: &mut Model) {
        let is_burst = self.burst.contains(&self.seconds);
        self.seconds += 1;
        for _ in 0..1_000 / STEP_MS {
            for (position, kind) in LARGE_KINDS.iter().enumerate() {
                let is_short = kind.queue == LARGE_SHORT.queue;
                let factor = if is_burst && is_short {
                    BURST_FACTOR
                } else {
                    1.0
                };
                self.due[position] += jobs_per_step(kind) * factor;
                while self.due[position] >= 1.0 {
                    self.due[position] -= 1.0;
                    let number = self.next[position];
                    self.next[position] += 1;
                    self.offer(model, kind, number);
                }
            }
            model.run(STEP_MS);
        }
    }

    pub fn run(&mut self, model: &mut Model, seconds: u64) {
        for _ in 0..seconds {
            self.run_second(model);
        }
    }

    fn offer(&self, model: &mut Model, kind: &Kind, number: u64) {
        let (key, spec) = (kind.key(number), kind.spec(number));
        match self.callers {
            Callers::ReturnOnce => model.offer(key, kind.queue, spec),
            Callers::ReturnWhileUseful => {
                let useful_ms = USEFUL_FACTOR * kind.objective_ms(JobKey(key), &spec);
                model.offer_while_useful(key, kind.queue, spec, useful_ms);
            }
        }
    }
}

/// The position in [`LARGE_KINDS`].
pub fn position(queue: &str) -> usize {
    let position = LARGE_KINDS.iter().position(|kind| kind.queue == queue);
    position.unwrap()
}

/// How many milliseconds after `since` the job has completed, and its objective; `None` if it has
/// not completed.
pub fn completion_ms(model: &Model, job: JobKey, since: Millis) -> Option<(u64, u64)> {
    let submitted = &model.jobs[&job];
    let ended = submitted.ended;
    let (ended, _) = ended.filter(|(_, phase)| *phase == JobPhase::Completed)?;
    let kind = &LARGE_KINDS[position(&submitted.queue)];
    let spec = kind.spec(job.0 & 0xff_ffff_ffff);
    Some((ended.since(since), kind.objective_ms(job, &spec)))
}

/// What became of the jobs of one kind that were first offered in the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub offered: usize,
    /// Jobs that were accepted at any time.
    pub accepted: usize,
    /// Jobs of which a step was started at any time.
    pub started: usize,
    /// Jobs that ended within their objective after they were first offered.
    pub in_time: usize,
    /// Jobs that ended within their objective after the offer that was accepted.
    pub accepted_in_time: usize,
    /// Jobs that were refused at least once.
    pub refused: usize,
    pub refusals: usize,
}

impl Served {
    pub fn percent_in_time(&self) -> usize {
        100 * self.in_time / self.offered.max(1)
    }

    pub fn percent_accepted(&self) -> usize {
        100 * self.accepted / self.offered.max(1)
    }
}

/// What became of the jobs that were first offered between two times, by kind.
pub fn served(model: &Model, offered: Range<Millis>) -> [Served; LARGE_KINDS.len()] {
    let started: BTreeSet<JobKey> = model.first_starts.keys().map(|step| step.job).collect();
    let mut kinds = [Served::default(); LARGE_KINDS.len()];
    for (key, offer) in &model.leader.offers {
        if offered.contains(&offer.first_at) {
            let served = &mut kinds[position(&offer.queue)];
            add(model, *key, offer, served);
            served.started += usize::from(started.contains(key));
        }
    }
    kinds
}

fn add(model: &Model, key: JobKey, offer: &Offer, served: &mut Served) {
    served.offered += 1;
    served.refused += usize::from(offer.refusals > 0);
    served.refusals += offer.refusals;
    if !model.jobs.contains_key(&key) {
        return;
    }
    served.accepted += 1;
    let is_in_time = |since| {
        let completion = completion_ms(model, key, since);
        completion.is_some_and(|(took_ms, objective_ms)| took_ms <= objective_ms)
    };
    served.in_time += usize::from(is_in_time(offer.first_at));
    served.accepted_in_time += usize::from(is_in_time(offer.last_at));
}
