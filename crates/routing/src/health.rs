//! What an entry has observed of one upstream.
//!
//! An upstream is ejected when at least half of a minimum number of recent tries failed. It comes
//! back on trial with one request at a time; a failure on trial doubles the next ejection.

use sapphirepost_types::Millis;
use sapphirepost_types::RequestClass;

/// Fewer tries than this say nothing about an upstream.
const EJECT_MIN_SAMPLES: f64 = 5.0;
/// The share of failed tries from which an upstream is ejected.
const EJECT_ERROR_SHARE: f64 = 0.5;
/// The first ejection; doubled for each that follows without a recovery.
const EJECT_FIRST_MS: u64 = 5_000;
/// The longest ejection.
const EJECT_MAX_MS: u64 = 60_000;
/// Successes on trial before an upstream counts as recovered.
const TRIAL_SUCCESSES: u32 = 3;
/// Observations lose half of their weight in this time.
const HALF_LIFE_MS: f64 = 2_000.0;
/// The weight of a new latency in the average.
const LATENCY_WEIGHT: f64 = 0.1;
/// A latency below this is not distinguished, because the clock has milliseconds.
const LATENCY_FLOOR_MS: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Status {
    Normal,
    Ejected { until: Millis },
    Trial { successes: u32 },
}

/// The observations of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    status: Status,
    tries: f64,
    failures: f64,
    decayed: Millis,
    ejections: u32,
    failures_in_row: u32,
    last_try: Option<Millis>,
    latency_ms: [Option<f64>; 3],
}

impl Default for Health {
    fn default() -> Health {
        Health {
            status: Status::Normal,
            tries: 0.0,
            failures: 0.0,
            decayed: Millis::ZERO,
            ejections: 0,
            failures_in_row: 0,
            last_try: None,
            latency_ms: [None; 3],
        }
    }
}

impl Health {
    /// A try ended well after `latency_ms`.
    pub fn success(&mut self, now: Millis, class: RequestClass, latency_ms: u64) {
        self.count(now, 0.0);
        self.failures_in_row = 0;
        let sample = (latency_ms as f64).max(LATENCY_FLOOR_MS);
        let average = &mut self.latency_ms[class as usize];
        *average = Some(match *average {
            Some(old) => old + LATENCY_WEIGHT * (sample - old),
            None => sample,
        });
        if let Status::Trial { successes } = &mut self.status {
            *successes += 1;
            if *successes >= TRIAL_SUCCESSES {
                self.status = Status::Normal;
                self.ejections = 0;
                self.tries = 0.0;
                self.failures = 0.0;
            }
        }
    }

    /// A try failed.
    pub fn failure(&mut self, now: Millis) {
        self.count(now, 1.0);
        self.failures_in_row += 1;
    }

    /// Whether the observations call for an ejection.
    pub fn should_eject(&self) -> bool {
        match self.status {
            Status::Normal => {
                self.tries >= EJECT_MIN_SAMPLES
                    && self.failures >= EJECT_ERROR_SHARE * self.tries
                    && self.failures_in_row > 0
            }
            Status::Trial { .. } => self.failures_in_row > 0,
            Status::Ejected { .. } => false,
        }
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now: Millis) {
        let duration_ms = (EJECT_FIRST_MS << self.ejections.min(8)).min(EJECT_MAX_MS);
        self.ejections += 1;
        self.status = Status::Ejected {
            until: now + duration_ms,
        };
    }

    /// Puts an upstream whose ejection is over on trial.
    pub fn tick(&mut self, now: Millis) {
        if let Status::Ejected { until } = self.status
            && now >= until
        {
            self.start_trial();
        }
    }

    /// Ends an ejection early, with a trial.
    pub fn reinstate(&mut self) {
        if self.is_ejected() {
            self.start_trial();
        }
    }

    /// Whether the upstream takes no requests.
    pub fn is_ejected(&self) -> bool {
        matches!(self.status, Status::Ejected { .. })
    }

    /// Whether the upstream takes one request at a time.
    pub fn is_on_trial(&self) -> bool {
        matches!(self.status, Status::Trial { .. })
    }

    /// Whether recent tries all failed, and at least two did.
    pub fn seems_dead(&self) -> bool {
        self.failures_in_row >= 2
    }

    /// The last time that a try ended.
    pub fn last_try(&self) -> Option<Millis> {
        self.last_try
    }

    /// The share of recent tries that failed, with one assumed success so that a single failure
    /// weighs little. An upstream on trial counts as faultless; otherwise it would not be chosen.
    pub fn error_share(&self, now: Millis) -> f64 {
        if self.is_on_trial() {
            return 0.0;
        }
        let weight = self.weight(now);
        self.failures * weight / (self.tries * weight + 1.0)
    }

    /// The average latency of a class, if one was observed.
    pub fn latency_ms(&self, class: RequestClass) -> Option<f64> {
        self.latency_ms[class as usize]
    }

    fn start_trial(&mut self) {
        self.status = Status::Trial { successes: 0 };
        self.failures_in_row = 0;
    }

    fn weight(&self, now: Millis) -> f64 {
        0.5f64.powf(now.since(self.decayed) as f64 / HALF_LIFE_MS)
    }

    fn count(&mut self, now: Millis, failures: f64) {
        let weight = self.weight(now);
        self.tries = self.tries * weight + 1.0;
        self.failures = self.failures * weight + failures;
        self.decayed = now;
        self.last_try = Some(now);
    }
}
