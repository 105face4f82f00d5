//! Run-time estimates as quantiles.
//!
//! Declared run times are wrong by up to a factor of ten in both directions. For each team and name
//! prefix, the mean and variance of the logarithm of actual over declared run time are tracked, and
//! an estimate is a quantile of that distribution. Without samples, the 10th and 90th percentiles
//! are a tenth of the declared run time and ten times as much.

use rustc_hash::FxHashMap;

use crate::quota::TeamId;

/// The standard score of the 90th percentile of a normal distribution.
const Z_PESSIMISTIC: f64 = 1.2816;

/// The standard score of the 75th percentile of a normal distribution.
const Z_CAUTIOUS: f64 = 0.6745;

/// The prior standard deviation of the logarithm. It puts the 90th percentile at ten times the
/// declared run time.
const PRIOR_SIGMA: f64 = std::f64::consts::LN_10 / Z_PESSIMISTIC;

/// The weight of the prior, in samples.
const PRIOR_WEIGHT: f64 = 2.0;

/// The upper bound of the weight of a series. Beyond it, older samples lose weight exponentially,
/// so that estimates follow changes.
const MAX_WEIGHT: f64 = 30.0;

/// The number of series that are tracked, which bounds the memory if job names are random.
const MAX_SERIES: usize = 8_192;

/// The identity of a series of similar jobs. IDs of an earlier generation are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SeriesId {
    generation: u32,
    position: u32,
}

/// A team and a job name without trailing digits and separators.
type SeriesKey = (TeamId, Box<str>);

fn prefix_of(name: &str) -> &str {
    name.trim_end_matches(|c: char| c.is_ascii_digit() || matches!(c, '-' | '_' | '.'))
}

/// The running mean and variance of the logarithm of actual over declared run time.
#[derive(Clone, Copy, Debug, Default)]
struct Series {
    weight: f64,
    mean: f64,
    variance: f64,
}

impl Series {
    fn add(&mut self, value: f64) {
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        let step = 1.0 / self.weight;
        let difference = value - self.mean;
        self.mean += difference * step;
        self.variance = (1.0 - step) * (self.variance + step * difference * difference);
    }

    fn quantile(&self, z: f64) -> f64 {
        let total = self.weight + PRIOR_WEIGHT;
        let mean = self.mean * self.weight / total;
        // The difference between the means of the samples and the prior adds to the variance.
        let between = self.mean * self.mean * self.weight * PRIOR_WEIGHT / (total * total);
        let within =
            (self.variance * self.weight + PRIOR_SIGMA * PRIOR_SIGMA * PRIOR_WEIGHT) / total;
        (mean + z * (within + between).sqrt()).exp()
    }
}

/// Estimates as factors of the declared run time. They are cached, because each pass needs them for
/// each waiting job and computing the exponentials is slow.
#[derive(Clone, Copy, Debug)]
struct Factors {
    optimistic: f64,
    median: f64,
    cautious: f64,
    pessimistic: f64,
}

impl Factors {
    fn of(series: &Series) -> Factors {
        Factors {
            optimistic: series.quantile(-Z_PESSIMISTIC),
            median: series.quantile(0.0),
            cautious: series.quantile(Z_CAUTIOUS),
            pessimistic: series.quantile(Z_PESSIMISTIC),
        }
    }
}

/// Estimates of one task's run time in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Estimate {
    /// One of ten such tasks takes no longer.
    pub(crate) optimistic_ms: u64,
    /// Half of such tasks take no longer.
    pub(crate) median_ms: u64,
    /// Three of four such tasks take no longer.
    pub(crate) cautious_ms: u64,
    /// Nine of ten such tasks take no longer.
    pub(crate) pessimistic_ms: u64,
}

/// All series of run times.
pub(crate) struct Estimates {
    ids: FxHashMap<SeriesKey, u32>,
    series: Vec<(Series, Factors)>,
    generation: u32,
    prior: Factors,
}

impl Estimates {
    pub(crate) fn new() -> Estimates {
        Estimates {
            ids: FxHashMap::default(),
            series: Vec::new(),
            generation: 0,
            prior: Factors::of(&Series::default()),
        }
    }

    /// Returns the series for a job of this team and name, and creates it if needed.
    pub(crate) fn series(&mut self, team: TeamId, name: &str) -> SeriesId {
        let key: SeriesKey = (team, prefix_of(name).into());
        if let Some(&position) = self.ids.get(&key) {
            return self.id(position);
        }
        if self.series.len() >= MAX_SERIES {
            // Job names with random parts would otherwise exhaust the memory. Discarding all series
            // loses what was learned; estimates fall back to the prior, whose spread covers the
            // usual errors of declared run times.
            self.ids.clear();
            self.series.clear();
            self.generation += 1;
        }
        let position = self.series.len() as u32;
        self.series.push((Series::default(), self.prior));
        self.ids.insert(key, position);
        self.id(position)
    }

    fn id(&self, position: u32) -> SeriesId {
        SeriesId {
            generation: self.generation,
            position,
        }
    }

    /// Adds the run time of a task that finished by itself to its series.
    pub(crate) fn learn(&mut self, id: SeriesId, declared_ms: u64, actual_ms: u64) {
        if id.generation != self.generation {
            return;
        }
        let value = (actual_ms.max(1) as f64 / declared_ms.max(1) as f64).ln();
        if let Some((series, factors)) = self.series.get_mut(id.position as usize) {
            series.add(value);
            *factors = Factors::of(series);
        }
    }

    pub(crate) fn estimate(&self, id: SeriesId, declared_ms: u64) -> Estimate {
        let known = self.series.get(id.position as usize);
        let known = known.filter(|_| id.generation == self.generation);
        let factors = known.map_or(&self.prior, |(_, factors)| factors);
        let at = |factor| (declared_ms as f64 * factor) as u64;
        Estimate {
            optimistic_ms: at(factors.optimistic),
            median_ms: at(factors.median),
            cautious_ms: at(factors.cautious),
            pessimistic_ms: at(factors.pessimistic),
        }
    }
}
