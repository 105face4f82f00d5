//! The result of an experiment.

use std::collections::BTreeMap;

use serde::Serialize;

/// Named figures; the unit is part of the name.
pub type Figures = BTreeMap<String, f64>;

/// What one experiment prints.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The name of the experiment.
    pub experiment: &'static str,
    /// The seed of its random numbers.
    pub seed: u64,
    /// What was measured.
    pub figures: Figures,
    /// The same of the baseline.
    pub baseline: Figures,
    /// The targets by name, each with whether it was met.
    pub targets: BTreeMap<String, Target>,
    /// Whether all targets were met.
    pub met: bool,
}

/// One target.
#[derive(Debug, Serialize)]
pub struct Target {
    /// The bound.
    pub bound: f64,
    /// What was measured.
    pub measured: f64,
    /// Whether the measured value keeps to the bound.
    pub met: bool,
}

impl Report {
    /// An empty report.
    pub fn new(experiment: &'static str, seed: u64) -> Report {
        Report {
            experiment,
            seed,
            figures: Figures::new(),
            baseline: Figures::new(),
            targets: BTreeMap::new(),
            met: true,
        }
    }

    /// Adds a figure.
    pub fn figure(&mut self, name: impl Into<String>, value: f64) {
        self.figures.insert(name.into(), rounded(value));
    }

    /// Adds a figure of the baseline.
    pub fn baseline(&mut self, name: impl Into<String>, value: f64) {
        self.baseline.insert(name.into(), rounded(value));
    }

    /// Adds a target that the measured value must reach.
    pub fn at_least(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured >= bound);
    }

    /// Adds a target that the measured value must not exceed.
    pub fn at_most(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured <= bound);
    }

    /// Adds a target that the measured value must exceed.
    pub fn above(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured > bound);
    }

    /// Adds a target that the measured value must stay below.
    pub fn below(&mut self, name: impl Into<String>, measured: f64, bound: f64) {
        self.target(name, measured, bound, measured < bound);
    }

    fn target(&mut self, name: impl Into<String>, measured: f64, bound: f64, met: bool) {
        let target = Target {
            bound: rounded(bound),
            measured: rounded(measured),
            met,
        };
        self.targets.insert(name.into(), target);
        self.met &= met;
    }
}

/// Four decimals keep the line readable; targets are judged on the exact values.
fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}
