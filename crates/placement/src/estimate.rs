//! Run-time estimates with their spread.
//!
//! Declared run times are wrong by up to ten times in both directions. For each team and name
//! prefix the logarithm of actual over declared run time is tracked; an estimate is a quantile
//! of its distribution. Without samples the spread covers the ten times.

use rustc_hash::FxHashMap;

use crate::quota::TeamId;

/// The standard score of the 90th percentile of a normal distribution.
const Z_PESSIMISTIC: f64 = 1.2816;

/// The standard score of the 75th percentile of a normal distribution.
const Z_CAUTIOUS: f64 = 0.6745;

/// Spread of the logarithm without samples: the 90th percentile is ten times the declared time.
const PRIOR_SIGMA: f64 = std::f64::consts::LN_10 / Z_PESSIMISTIC;

/// How many samples the assumption without samples counts as.
const PRIOR_WEIGHT: f64 = 2.0;

/// Samples beyond this number displace older ones, so that estimates follow changes.
const MAX_WEIGHT: f64 = 30.0;

/// Series that are tracked; the memory of the placer stays bounded when names are random.
const MAX_SERIES: usize = 8_192;

/// What identifies similar tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SeriesKey {
    pub(crate) team: TeamId,
    pub(crate) prefix: Box<str>,
}

impl SeriesKey {
    /// The key for a job's name: the name without trailing numbers and separators.
    pub(crate) fn new(team: TeamId, name: &str) -> SeriesKey {
        let is_counter = |c: char| c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
        let prefix = name.trim_end_matches(is_counter);
        SeriesKey {
            team,
            prefix: prefix.into(),
        }
    }
}

/// Mean and variance of the logarithm of actual over declared run time.
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
        // The difference between the sample's mean and the prior's widens the spread too.
        let between = self.mean * self.mean * self.weight * PRIOR_WEIGHT / (total * total);
        let within =
            (self.variance * self.weight + PRIOR_SIGMA * PRIOR_SIGMA * PRIOR_WEIGHT) / total;
        (mean + z * (within + between).sqrt()).exp()
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

/// All series.
#[derive(Default)]
pub(crate) struct Estimates {
    series: FxHashMap<SeriesKey, Series>,
}

impl Estimates {
    /// Learns from a task that ended by itself.
    pub(crate) fn learn(&mut self, key: &SeriesKey, declared_ms: u64, actual_ms: u64) {
        let value = (actual_ms.max(1) as f64 / declared_ms.max(1) as f64).ln();
        if let Some(series) = self.series.get_mut(key) {
            series.add(value);
            return;
        }
        if self.series.len() >= MAX_SERIES {
            // Names that carry random text would otherwise fill the memory. Starting over loses
            // some learning, which the cautious prior covers.
            self.series.clear();
        }
        let mut series = Series::default();
        series.add(value);
        self.series.insert(key.clone(), series);
    }

    pub(crate) fn estimate(&self, key: &SeriesKey, declared_ms: u64) -> Estimate {
        let series = self.series.get(key).copied().unwrap_or_default();
        let at = |z| (declared_ms as f64 * series.quantile(z)) as u64;
        Estimate {
            optimistic_ms: at(-Z_PESSIMISTIC),
            median_ms: at(0.0),
            cautious_ms: at(Z_CAUTIOUS),
            pessimistic_ms: at(Z_PESSIMISTIC),
        }
    }
}
