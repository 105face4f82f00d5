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

/// A series of similar tasks. Ids of an earlier generation are void.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SeriesId {
    generation: u32,
    position: u32,
}

/// A team and a job's name without trailing numbers and separators.
type SeriesKey = (TeamId, Box<str>);

fn prefix_of(name: &str) -> &str {
    name.trim_end_matches(|c: char| c.is_ascii_digit() || matches!(c, '-' | '_' | '.'))
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

/// Estimates relative to the declared run time; kept, since they are needed for each waiting job
/// in each decision and their exponentials are slow.
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

/// All series.
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

    /// The series of a job.
    pub(crate) fn series(&mut self, team: TeamId, name: &str) -> SeriesId {
        let key: SeriesKey = (team, prefix_of(name).into());
        if let Some(&position) = self.ids.get(&key) {
            return self.id(position);
        }
        if self.series.len() >= MAX_SERIES {
            // Names that carry random text would otherwise fill the memory. Starting over loses
            // some learning, which the spread without samples covers.
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

    /// Learns from a task that ended by itself.
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
