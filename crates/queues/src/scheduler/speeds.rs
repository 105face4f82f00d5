//! Learns how fast each worker is from the ends of runs.
//!
//! Workers of one service differ in speed by a factor of two and more, while single durations vary
//! by a factor of seven and estimates are off by half. The duration of a run is compared with those
//! of the same step on other workers, which share the error of the estimate, or, without such runs,
//! with the predicted duration. Logarithms of the ratios are averaged with bounded deviations. A
//! prior of several samples at the usual speed keeps single ends from changing much, and a speed
//! counts only once the samples show that it differs from the usual one, so that workers of equal
//! speed are all treated alike.
//!
//! Runs of gangs end with their slowest member, and runs that resumed, that an earlier leader
//! started or that were remote from their data took longer or shorter for other reasons than the
//! speed of the worker. None of them is a sample.

use std::sync::Arc;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use crate::ids::StepKey;
use crate::scheduler::Scheduler;
use crate::scheduler::workers::RunView;
use crate::scheduler::workers::WorkerIndex;
use crate::scheduler::workers::WorkerView;

/// The number of samples at the usual speed that the prior counts as.
const PRIOR_SAMPLES: f64 = 4.0;
/// Every sample of a worker reduces the weight of its earlier ones by one part in this many.
const WINDOW_SAMPLES: f64 = 100.0;
/// The largest deviation of a sample from what was expected, as the logarithm of a ratio. Without a
/// limit, a single run of seven times the usual duration would outweigh ten ordinary ones.
const DEVIATION_MAX: f64 = std::f64::consts::LN_2;
/// The variance that is assumed before there are samples.
const VARIANCE_INITIAL: f64 = 0.1;
/// The number of samples that the assumed variance counts as.
const VARIANCE_PRIOR_SAMPLES: f64 = 20.0;
/// Every sample reduces the weight of the earlier ones in the mean and the variance of all workers
/// by one part in this many.
const COMMON_WINDOW_SAMPLES: f64 = 500.0;
/// The number of samples of a queue from which on durations are compared with its predictions. The
/// mean of the earlier samples shows how far the estimates are off.
const QUEUE_SAMPLES_MIN: f64 = 24.0;
/// A speed counts from this many standard deviations on. A lower limit would show differences by
/// chance, since a service may have a thousand workers, each of which is tested after each sample.
const SHOWN_DEVIATIONS: f64 = 4.5;
/// A speed that counts does so down to this many standard deviations.
const KEPT_DEVIATIONS: f64 = 2.5;
/// Every sample reduces the weight of the earlier ones in the mean slowdown of a service by one
/// part in this many.
const USUAL_WINDOW_SAMPLES: f64 = 200.0;
/// The weight of a new run in the moving mean of the ratios of durations to predictions in a queue.
const RATIO_WEIGHT: f64 = 0.05;
/// The smallest and the largest ratio that a run counts as.
const RATIO_RANGE: (f64, f64) = (0.5, 8.0);
/// The smallest and the largest slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 8.0);
/// The speeds of a service count once a tenth of its workers are slower than usual by this factor.
/// Smaller differences rarely decide whether a deadline is met, which allows half of the duration
/// more even for short jobs.
const UNEVEN_SLOWDOWN: f64 = 1.4;
/// One worker in this many has to be slower.
const WORKERS_PER_SLOW_ONE: usize = 10;
/// The ratio between the slowdowns of two adjacent speed classes.
const CLASS_RATIO: f64 = 1.25;
/// The number of ends of a step that later ends are compared with.
const ENDS_PER_STEP_MAX: usize = 16;

/// The speed of a worker, compared with the usual speed in its service.
#[derive(Clone, Debug)]
pub struct WorkerSpeed {
    /// The weighted sum of the logarithms of the ratios.
    sum: f64,
    weight: f64,
    /// The slowdown that counts: 1 unless the samples show that the worker differs.
    slowdown: f64,
}

impl Default for WorkerSpeed {
    fn default() -> WorkerSpeed {
        WorkerSpeed {
            sum: 0.0,
            weight: 0.0,
            slowdown: 1.0,
        }
    }
}

impl WorkerSpeed {
    /// How much longer than usual runs take there, as a factor; exactly 1 unless shown otherwise.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    fn is_slow(&self) -> bool {
        self.slowdown >= UNEVEN_SLOWDOWN
    }

    /// The best estimate of the logarithm of the slowdown, whether it counts or not.
    fn log_slowdown(&self) -> f64 {
        self.sum / (self.weight + PRIOR_SAMPLES)
    }

    /// Adds a sample. `variance` is that of samples with weight 1, and `usual` the mean logarithm of
    /// the slowdown of the workers of the service.
    fn add(&mut self, log_ratio: f64, weight: f64, variance: f64, usual: f64) {
        let keep = 1.0 - weight / WINDOW_SAMPLES;
        self.sum = self.sum * keep + log_ratio * weight;
        self.weight = self.weight * keep + weight;
        let log_slowdown = self.log_slowdown() - usual;
        let deviation = (variance / (self.weight + PRIOR_SAMPLES)).sqrt();
        let needed = if self.slowdown == 1.0 {
            SHOWN_DEVIATIONS
        } else {
            KEPT_DEVIATIONS
        };
        self.slowdown = if log_slowdown.abs() < needed * deviation {
            1.0
        } else {
            let (min, max) = SLOWDOWN_RANGE;
            log_slowdown.exp().clamp(min, max)
        };
    }
}

/// The speed class of a worker. Workers of one class are treated as equally fast; faster workers
/// have lower classes.
pub(crate) fn speed_class(slowdown: f64) -> i32 {
    (slowdown.ln() / CLASS_RATIO.ln()).round() as i32
}

/// The mean and the variance of one kind of sample over all workers, beyond their known speeds.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    mean: f64,
    variance: f64,
    samples: f64,
}

impl Default for Comparison {
    fn default() -> Comparison {
        Comparison {
            mean: 0.0,
            variance: VARIANCE_INITIAL,
            samples: 0.0,
        }
    }
}

impl Comparison {
    /// Records a log-ratio on a worker with a known slowdown; returns the log-ratio with a bounded
    /// deviation and without the common mean.
    fn record(&mut self, log_ratio: f64, log_slowdown: f64) -> f64 {
        let deviation = log_ratio - self.mean - log_slowdown;
        let deviation = deviation.clamp(-DEVIATION_MAX, DEVIATION_MAX);
        self.samples = (self.samples + 1.0).min(COMMON_WINDOW_SAMPLES);
        self.mean += deviation / (self.samples + PRIOR_SAMPLES);
        let change = deviation * deviation - self.variance;
        self.variance += change / (self.samples + VARIANCE_PRIOR_SAMPLES);
        log_slowdown + deviation
    }
}

/// What the samples of all workers have in common.
#[derive(Debug, Default)]
pub struct Speeds {
    /// Comparisons with runs of the same step.
    same_step: Comparison,
    /// Comparisons with the predicted durations, by queue.
    by_queue: FxHashMap<Arc<str>, Comparison>,
    /// The mean logarithm of the slowdown of the workers of each service. Comparisons show only
    /// differences between workers, so that all of them together may drift.
    usual: FxHashMap<Arc<str>, f64>,
    /// The mean ratio of the durations of runs to their predictions, by queue. A prediction is a
    /// typical duration of the first run of a step that ends, and the others take longer.
    ratios: FxHashMap<Arc<str>, f64>,
    /// The services whose workers have been shown to differ in speed.
    uneven: FxHashSet<Arc<str>>,
}

impl Speeds {
    /// Whether the workers of a service have been shown to differ in speed. Otherwise, speeds decide
    /// nothing.
    pub(crate) fn are_uneven(&self, service: &str) -> bool {
        self.uneven.contains(service)
    }

    /// How long runs of a queue take on average, in proportion to their predicted durations.
    pub(crate) fn mean_ratio(&self, queue: &str) -> f64 {
        self.ratios.get(queue).copied().unwrap_or(1.0)
    }

    /// Compares the duration of the first run of a step that ends with its prediction. Returns the
    /// log-ratio and its weight, once the queue has enough samples.
    fn compare_with_prediction(
        &mut self,
        queue: &Arc<str>,
        log_ratio: f64,
        log_slowdown: f64,
    ) -> Option<(f64, f64)> {
        let comparison = self.by_queue.entry(queue.clone()).or_default();
        let log_ratio = comparison.record(log_ratio, log_slowdown);
        let weight = (self.same_step.variance / comparison.variance).min(1.0);
        (comparison.samples >= QUEUE_SAMPLES_MIN).then_some((log_ratio, weight))
    }

    /// Updates and returns the mean logarithm of the slowdown of the workers of a service.
    fn update_usual(&mut self, service: &Arc<str>, log_slowdown: f64) -> f64 {
        let usual = self.usual.entry(service.clone()).or_default();
        *usual += (log_slowdown - *usual) / USUAL_WINDOW_SAMPLES;
        *usual
    }

    fn record_ratio(&mut self, queue: &Arc<str>, ratio: f64) {
        let mean = self.ratios.entry(queue.clone()).or_insert(1.0);
        *mean += (ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1) - *mean) * RATIO_WEIGHT;
    }
}

/// The last ends of runs of a step, with the worker and the logarithm of the duration.
#[derive(Clone, Debug, Default)]
pub struct StepEnds {
    ends: SmallVec<[(WorkerIndex, f64); 1]>,
}

impl StepEnds {
    fn add(&mut self, worker: WorkerIndex, log_ms: f64) {
        if self.ends.len() >= ENDS_PER_STEP_MAX {
            self.ends.remove(0);
        }
        self.ends.push((worker, log_ms));
    }
}

impl RunView {
    /// Whether the duration of the run depends only on the task and the speed of the worker.
    fn shows_speed(&self) -> bool {
        self.is_measurable() && !self.is_service
    }
}

impl Scheduler {
    /// Records the end of a run that was done after `took_ms` as a sample of its worker's speed.
    pub(crate) fn record_speed(
        &mut self,
        step: StepKey,
        index: WorkerIndex,
        run: &RunView,
        took_ms: u64,
    ) {
        let Some(view) = self.steps.get_mut(&step).filter(|_| run.shows_speed()) else {
            return;
        };
        let workers = &self.workers;
        let known = |index| Some(workers.get(index)?.health.speed.log_slowdown());
        let Some(log_slowdown) = known(index) else {
            return;
        };
        let ratio = took_ms as f64 / run.usual_ms.max(1) as f64;
        self.speeds
            .record_ratio(&view.queue_name, ratio / log_slowdown.exp());
        if view.spec().is_gang && view.spec().count > 1 {
            return;
        }
        let log_took_ms = log_ms(took_ms);
        let others = view.ends.ends.iter().filter(|(other, _)| *other != index);
        let others = others.filter_map(|(other, log_ms)| Some(log_ms - known(*other)?));
        let mut others: SmallVec<[f64; ENDS_PER_STEP_MAX]> = others.collect();
        let is_first = view.ends.ends.is_empty();
        let own = view.ends.ends.iter().filter(|(worker, _)| *worker == index);
        let own = own.count();
        view.ends.add(index, log_took_ms);
        let variance = self.speeds.same_step.variance;
        let sample = if let Some(median) = median(&mut others) {
            let comparison = &mut self.speeds.same_step;
            let log_ratio = comparison.record(log_took_ms - median, log_slowdown);
            Some((log_ratio, weight_in_step(own, others.len())))
        } else if is_first {
            let log_ratio = log_took_ms - log_ms(run.usual_ms);
            let speeds = &mut self.speeds;
            speeds.compare_with_prediction(&view.queue_name, log_ratio, log_slowdown)
        } else {
            // Further runs of the step on this worker share the error of its estimate.
            None
        };
        if let Some((log_ratio, weight)) = sample
            && let Some(worker) = self.workers.get_mut(index)
        {
            let service = worker.record.service.clone();
            let usual = self.speeds.update_usual(&service, log_slowdown);
            let was_slow = worker.health.speed.is_slow();
            worker.health.speed.add(log_ratio, weight, variance, usual);
            if worker.health.speed.is_slow() != was_slow {
                self.update_unevenness(service);
            }
        }
    }

    /// Compares the number of slow workers of a service with the number of all.
    fn update_unevenness(&mut self, service: Arc<str>) {
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| worker.record.service == service);
        let (mut all, mut slow) = (0, 0);
        for (_, worker) in workers {
            all += 1;
            slow += usize::from(worker.health.speed.is_slow());
        }
        if slow * WORKERS_PER_SLOW_ONE >= all {
            self.speeds.uneven.insert(service);
        } else {
            self.speeds.uneven.remove(&service);
        }
    }

    /// How much longer than usual runs take on a worker, as a factor, by comparison with the other
    /// workers of its service; 1 unless the service has been shown to be uneven.
    pub(crate) fn speed_factor(&self, worker: &WorkerView) -> f64 {
        if self.speeds.are_uneven(&worker.record.service) {
            worker.health.speed.slowdown()
        } else {
            1.0
        }
    }

    /// How much longer than predicted runs of a queue take on a worker, as a factor.
    pub(crate) fn duration_factor(&self, queue: &str, worker: &WorkerView) -> f64 {
        if self.speeds.are_uneven(&worker.record.service) {
            worker.health.speed.slowdown() * self.speeds.mean_ratio(queue)
        } else {
            worker.health.slowdown()
        }
    }
}

/// The weight of a further sample of a worker in a step with `own` earlier ends there and `others`
/// on other workers. All samples of the worker in the step share the durations of the others, so
/// together they count as the harmonic sum of both numbers.
fn weight_in_step(own: usize, others: usize) -> f64 {
    let (own, others) = (own as f64, others as f64);
    others * others / ((own + 1.0 + others) * (own + others))
}

fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    let upper = *values.get(middle)?;
    if values.len().is_multiple_of(2) {
        Some((values[middle - 1] + upper) / 2.0)
    } else {
        Some(upper)
    }
}

fn log_ms(ms: u64) -> f64 {
    (ms.max(1) as f64).ln()
}
