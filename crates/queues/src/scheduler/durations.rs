//! Predicts how long tasks run, from the estimates of callers and from the runs of earlier steps.
//!
//! The estimates of a queue may be wrong by several times. A step that is thought to be longer than
//! it is counts as late too early, and a reservation begins too late. For each queue the logarithm
//! of the duration is predicted from that of the estimate by a linear regression over the recent
//! steps, so that estimates count as much as they have proved to be worth.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::spec::StepDurations;
use crate::spec::StepSpec;
use crate::spec::SubmittedSpec;

/// The number of steps of a queue after which its durations are predicted; before, the estimates
/// are used as they are.
const SAMPLES_MIN: f64 = 12.0;
/// Every new step reduces the weight of the earlier ones by one part in this many.
const WINDOW_STEPS: f64 = 200.0;

/// Weighted sums over the steps of one queue: `x` is the logarithm of the estimate and `y` that of
/// the duration.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
    fn add(&mut self, x: f64, y: f64) {
        let keep = 1.0 - 1.0 / WINDOW_STEPS;
        self.weight = self.weight * keep + 1.0;
        self.x = self.x * keep + x;
        self.y = self.y * keep + y;
        self.xx = self.xx * keep + x * x;
        self.xy = self.xy * keep + x * y;
    }

    /// The predicted logarithm of the duration.
    fn predict(&self, x: f64) -> Option<f64> {
        if self.weight < SAMPLES_MIN {
            return None;
        }
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * mean_y;
        let slope = if variance > 0.0 {
            (covariance / variance).clamp(0.0, 1.0)
        } else {
            0.0
        };
        Some(mean_y + slope * (x - mean_x))
    }
}

/// The durations of the tasks of all queues.
#[derive(Debug, Default)]
pub struct Durations {
    by_queue: FxHashMap<Arc<str>, Sums>,
}

impl Durations {
    /// Records how long a task of a step ran.
    pub fn record(&mut self, queue: &Arc<str>, estimate_ms: u64, took_ms: u64) {
        let sums = self.by_queue.entry(queue.clone()).or_default();
        sums.add(log_ms(estimate_ms), log_ms(took_ms));
    }

    /// How long a task of a step is expected to run.
    pub fn predict_ms(&self, queue: &str, step: &StepSpec) -> u64 {
        let sums = self.by_queue.get(queue);
        let predicted = sums.and_then(|sums| sums.predict(log_ms(step.estimate_ms)));
        predicted.map_or(step.estimate_ms, |log| log.exp() as u64)
    }

    /// How long the tasks of each step of a job are expected to run.
    pub fn predict_steps_ms(&self, queue: &str, spec: &SubmittedSpec) -> StepDurations {
        let steps = spec.steps.iter();
        steps.map(|step| self.predict_ms(queue, step)).collect()
    }
}

fn log_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}
