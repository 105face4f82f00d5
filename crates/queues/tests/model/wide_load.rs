//! A load of short jobs, batch jobs and wide gangs on a nearly full cluster. The widths and
//! durations of the jobs vary much, and the estimates that their callers give are far off.

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::Queue;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_queues::table::PermitCost;
use sapphirepost_types::Resources;

use super::hash;

/// The load of one kind of job, for [`CORES`] cores.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub queue: &'static str,
    pub priority: u32,
    pub per_1000_s: u64,
    /// The mean number of tasks of a step.
    width: f64,
    width_max: f64,
    millicores: f64,
    /// The mean duration of a task.
    task_ms: f64,
    /// The spread of the caller's estimate around the duration.
    estimate_spread: f64,
    /// The percentage of jobs that have a second step, which depends on the first one.
    two_steps_percent: u64,
    gang_percent: u64,
    has_checkpoints: bool,
    pub deadline_factor: f64,
    pub target_ms: u64,
    call_ms: f64,
    worker_ms: f64,
    pub allowed_percent: u64,
}

/// The number of cores that the rates of [`KINDS`] fill to nine tenths.
pub const CORES: u64 = 350 * 32;
/// How long a permit is valid.
const PERMIT_VALID_MS: u64 = 1_500;
/// The spread of widths.
const WIDTH_SPREAD: f64 = 0.8;
/// The spread of durations and of needed cores.
const SPREAD: f64 = 0.5;
/// The number of workers of the permit request that the deadline allows for in each step.
const DEADLINE_WORKERS: usize = 30;

pub const SHORT: Kind = Kind {
    queue: "short",
    priority: 0,
    per_1000_s: 137_000,
    width: 3.2,
    width_max: 19.0,
    millicores: 5_000.0,
    task_ms: 650.0,
    estimate_spread: 0.2,
    two_steps_percent: 0,
    gang_percent: 30,
    has_checkpoints: false,
    deadline_factor: 1.5,
    target_ms: 250,
    call_ms: 9.5,
    worker_ms: 0.13,
    allowed_percent: 70,
};

pub const BATCH: Kind = Kind {
    queue: "batch",
    priority: 2,
    per_1000_s: 9_900,
    width: 25.0,
    width_max: 150.0,
    millicores: 3_500.0,
    task_ms: 2_700.0,
    estimate_spread: 0.5,
    two_steps_percent: 50,
    gang_percent: 0,
    has_checkpoints: true,
    deadline_factor: 4.0,
    target_ms: 3_000,
    call_ms: 130.0,
    worker_ms: 1.8,
    allowed_percent: 45,
};

pub const GANG: Kind = Kind {
    queue: "gang",
    priority: 1,
    per_1000_s: 6_000,
    width: 20.0,
    width_max: 120.0,
    millicores: 9_000.0,
    task_ms: 4_000.0,
    estimate_spread: 0.9,
    two_steps_percent: 20,
    gang_percent: 100,
    has_checkpoints: false,
    deadline_factor: 2.2,
    target_ms: 1_000,
    call_ms: 440.0,
    worker_ms: 6.4,
    allowed_percent: 30,
};

pub const KINDS: [Kind; 3] = [SHORT, BATCH, GANG];

/// The same kinds on a larger cluster: wider jobs, fewer of them for the same load, and permits
/// that take longer.
pub const LARGE_SHORT: Kind = Kind {
    queue: "large-short",
    per_1000_s: 110_000,
    width: 4.0,
    width_max: 24.0,
    call_ms: 14.0,
    worker_ms: 0.2,
    ..SHORT
};

pub const LARGE_BATCH: Kind = Kind {
    queue: "large-batch",
    per_1000_s: 7_700,
    width: 32.0,
    width_max: 192.0,
    call_ms: 182.0,
    worker_ms: 2.6,
    ..BATCH
};

pub const LARGE_GANG: Kind = Kind {
    queue: "large-gang",
    per_1000_s: 3_750,
    width: 32.0,
    width_max: 192.0,
    call_ms: 624.0,
    worker_ms: 9.0,
    ..GANG
};

pub const LARGE_KINDS: [Kind; 3] = [LARGE_SHORT, LARGE_BATCH, LARGE_GANG];

fn all_kinds() -> impl Iterator<Item = Kind> {
    KINDS.into_iter().chain(LARGE_KINDS)
}

/// The largest number of cores that a task needs.
const MILLICORES_MAX: f64 = 15_000.0;
/// The memory of a task for each core.
const MIB_PER_CORE: u64 = 2_500;

impl Kind {
    pub fn queue(&self) -> Queue {
        let mut queue = super::queue(
            self.queue,
            self.priority,
            self.deadline_factor,
            self.target_ms,
        );
        queue.permits = Some(PermitCost {
            call_ms: self.call_ms,
            worker_ms: self.worker_ms,
            valid_ms: PERMIT_VALID_MS,
        });
        queue
    }

    /// The key of the job with this number. The upper bits are the position of the kind.
    pub fn key(&self, number: u64) -> u64 {
        let position = all_kinds().position(|kind| kind.queue == self.queue);
        ((position.unwrap() as u64 + 1) << 56) | number
    }

    pub fn spec(&self, number: u64) -> SubmittedSpec {
        let job = JobKey(self.key(number));
        let has_two = hash(job.0, "steps") % 100 < self.two_steps_percent;
        let steps = (0..=u16::from(has_two)).map(|step| self.step(StepKey { job, step }));
        SubmittedSpec {
            payload: Arc::from("payload"),
            steps: steps.collect(),
        }
    }

    fn step(&self, key: StepKey) -> StepSpec {
        let width = vary(key, "width", self.width, WIDTH_SPREAD);
        let estimate_ms = vary(key, "estimate", self.step_ms(key), self.estimate_spread);
        StepSpec {
            count: width.clamp(1.0, self.width_max) as u32,
            resources: need(key.task(0)),
            estimate_ms: estimate_ms as u64,
            after: (0..key.step).collect(),
            is_gang: hash(key.job.0, "gang") % 100 < self.gang_percent,
            has_checkpoints: self.has_checkpoints,
            ..StepSpec::default()
        }
    }

    /// The mean duration of the tasks of a step.
    fn step_ms(&self, key: StepKey) -> f64 {
        let longest_ms = 2.5 * self.task_ms;
        vary(key, "duration", self.task_ms, SPREAD).min(longest_ms)
    }

    /// The time in which a caller expects the job, by the real durations of its tasks.
    pub fn objective_ms(&self, job: JobKey, spec: &SubmittedSpec) -> u64 {
        let permit_ms = self.call_ms + self.worker_ms * DEADLINE_WORKERS as f64;
        let keys = (0..spec.steps.len()).map(|step| StepKey {
            job,
            step: step as u16,
        });
        let chain_ms: f64 = keys.map(|key| self.step_ms(key) + permit_ms).sum();
        (chain_ms * self.deadline_factor) as u64 + self.target_ms
    }

    /// The processor time that the job really takes.
    pub fn work_core_ms(&self, job: JobKey, spec: &SubmittedSpec) -> u64 {
        let steps = spec.steps.iter().enumerate();
        let core_ms = steps.map(|(step, spec)| {
            let key = StepKey {
                job,
                step: step as u16,
            };
            let task_core_ms = spec.resources.millicores as f64 * self.step_ms(key) / 1_000.0;
            u64::from(spec.count) * task_core_ms as u64
        });
        core_ms.sum()
    }
}

fn kind(job: JobKey) -> Kind {
    all_kinds().nth((job.0 >> 56) as usize - 1).unwrap()
}

/// The resources that a task needs.
pub fn need(task: TaskKey) -> Resources {
    let mean = kind(task.step.job).millicores;
    let millicores = vary(task.step, "room", mean, SPREAD).clamp(100.0, MILLICORES_MAX) as u64;
    Resources::new(millicores, millicores * MIB_PER_CORE / 1_000, 0)
}

/// How long a task takes: nearly the same for all tasks of a step.
pub fn work_ms(task: TaskKey) -> u64 {
    let step_ms = kind(task.step.job).step_ms(task.step);
    let percent = 85 + hash(task.step.job.0 + u64::from(task.index), "work") % 31;
    step_ms as u64 * percent / 100
}

/// A log-normal value with this mean and spread that depends only on the step and the salt.
fn vary(step: StepKey, salt: &str, mean: f64, spread: f64) -> f64 {
    let uniform = |salt: &str| {
        let hashed = hash(hash(step.job.0, salt), &step.step.to_string());
        (hashed % 1_000_000) as f64 / 1_000_000.0
    };
    let radius = (-2.0 * (1.0 - uniform(salt)).ln()).sqrt();
    let angle = std::f64::consts::TAU * uniform(&format!("{salt} angle"));
    let normal = radius * angle.cos();
    mean * (spread * normal - spread * spread / 2.0).exp()
}
