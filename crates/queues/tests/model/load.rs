//! The jobs of the model. The duration and resources of a task follow from the job key, so that the
//! model's workers can compute them too.

use std::sync::Arc;

use sapphirepost_queues::JobKey;
use sapphirepost_queues::StepKey;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::TaskKey;
use sapphirepost_types::Resources;

/// The kind of a job; stored in the upper bits of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A job of about two short tasks.
    Lookup,
    /// A job of about ten tasks that take some seconds.
    Tally,
    /// A job of one gang of about six tasks with many resources each.
    Gang,
}

/// The key of the job with this kind and number.
pub fn key(kind: Kind, number: u64) -> u64 {
    ((kind as u64 + 1) << 56) | number
}

fn kind(job: JobKey) -> Kind {
    match job.0 >> 56 {
        1 => Kind::Lookup,
        2 => Kind::Tally,
        _ => Kind::Gang,
    }
}

/// The resources that a task needs: 0.6 to 1.4 times the mean of its kind.
pub fn need(task: TaskKey) -> Resources {
    let mean = match kind(task.step.job) {
        Kind::Lookup => Resources::new(5_600, 8_000, 0),
        Kind::Tally => Resources::new(3_900, 8_000, 0),
        Kind::Gang => Resources::new(18_000, 40_000, 0),
    };
    let percent = 60 + super::hash(task.step.job.0, "room") % 81;
    Resources::new(
        mean.millicores * percent / 100,
        mean.memory_mib * percent / 100,
        0,
    )
}

/// How long a task takes: 0.5 to 1.5 times the estimate.
pub fn work_ms(task: TaskKey) -> u64 {
    let mean_ms = estimate_ms(kind(task.step.job));
    let spread = super::hash(task.step.job.0 + u64::from(task.index), "work") % 100;
    mean_ms / 2 + mean_ms * spread / 100
}

fn estimate_ms(kind: Kind) -> u64 {
    match kind {
        Kind::Lookup => 800,
        Kind::Tally => 3_400,
        Kind::Gang => 6_200,
    }
}

/// The specification of the job with this kind and number. It has 0.5 to 1.5 times the mean number
/// of tasks of its kind.
pub fn spec(kind: Kind, number: u64) -> SubmittedSpec {
    let key = StepKey {
        job: JobKey(key(kind, number)),
        step: 0,
    };
    let mean = match kind {
        Kind::Lookup => 2,
        Kind::Tally => 10,
        Kind::Gang => 6,
    };
    let spread = (super::hash(key.job.0, "count") % (u64::from(mean) + 1)) as u32;
    let count = mean / 2 + spread;
    let step = StepSpec {
        count,
        resources: need(key.task(0)),
        estimate_ms: estimate_ms(kind),
        is_gang: kind == Kind::Gang,
        has_checkpoints: kind == Kind::Tally,
        ..StepSpec::default()
    };
    SubmittedSpec {
        payload: Arc::from("payload"),
        steps: vec![step],
    }
}
