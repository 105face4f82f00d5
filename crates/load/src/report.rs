//! The report of an experiment: metrics, baselines and targets.

use std::collections::BTreeMap;

use serde::Serialize;

/// Measured values by name; the unit, if there is one, is part of the name.
pub type Metrics = BTreeMap<String, f64>;

/// The result of one experiment, printed as one line of JSON.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the experiment: the subcommand that runs it.
    pub experiment: &'static str,
    /// Seed of the random number generator, as given on the command line.
    pub seed: u64,
    /// Metrics of the system under test.
    pub figures: Metrics,
    /// Metrics of the baselines.
    pub baseline: Metrics,
    /// Targets by name. A value that is measured for a target need not be among the `figures`.
    pub targets: BTreeMap<String, Target>,
    /// Whether all targets were met; true if there are none.
    pub met: bool,
}

/// A measured value and the bound that it is compared with.
#[derive(Debug, Serialize)]
pub struct Target {
    /// Lower or upper bound, depending on the target.
    pub bound: f64,
    /// Measured value, rounded like the bound.
    pub measured: f64,
    /// Whether the measured value is within the bound; computed before rounding.
    pub met: bool,
}

impl Report {
    /// Creates a report without metrics and targets.
    pub fn new(experiment: &'static str, seed: u64) -> Report {
        Report {
            experiment,
            seed,
            figures: Metrics::new(),
            baseline: Metrics::new(),
            targets: BTreeMap::new(),
            met: true,
        }
    }

    /// Adds a metric of the system under test, replacing one of the same name.
    pub fn metric(&mut self, name: impl Into<String>, value: f64) {
        self.figures.insert(name.into(), round_for_output(value));
    }

    /// Adds a metric of a baseline, replacing one of the same name.
    pub fn baseline(&mut self, name: impl Into<String>, value: f64) {
        self.baseline.insert(name.into(), round_for_output(value));
    }

    /// Adds a target that is met if `measured >= bound`.
    pub fn at_least(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured >= bound);
    }

    /// Adds a target that is met if `measured <= bound`.
    pub fn at_most(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured <= bound);
    }

    /// Adds a target that is met if `measured > bound`.
    pub fn above(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured > bound);
    }

    /// Adds a target that is met if `measured < bound`.
    pub fn below(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured < bound);
    }

    fn target(&mut self, name: impl Into<String>, measured: f64, bound: f64, met: bool) {
        let target = Target {
            bound: round_for_output(bound),
            measured: round_for_output(measured),
            met,
        };
        self.targets.insert(name.into(), target);
        self.met &= met;
    }
}

/// Rounds to four decimals, to keep the output readable. Targets are evaluated before rounding.
fn round_for_output(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
