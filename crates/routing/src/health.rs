//! Passive health checks: what an entry has observed of one upstream.
//!
//! An upstream is ejected when at least half of its recent attempts failed, given a minimum number
//! of them. After the ejection it is on trial with one request at a time. A failure on trial ejects
//! it again, for twice as long up to a limit.

use sapphirepost_types::Millis;
use sapphirepost_types::RequestClass;

/// An upstream is not ejected after fewer recent attempts than this.
const EJECT_MIN_ATTEMPTS: f64 = 5.0;
/// The fraction of failed attempts from which an upstream is ejected.
const EJECT_ERROR_RATE: f64 = 0.5;
/// The length of the first ejection; doubled for each that follows without a recovery.
const EJECT_FIRST_MS: u64 = 5_000;
/// The upper bound of the length of an ejection.
const EJECT_MAX_MS: u64 = 60_000;
/// Successes on trial before an upstream counts as recovered.
const TRIAL_SUCCESSES: u32 = 3;
/// The time in which earlier attempts lose half of their weight.
const HALF_LIFE_MS: f64 = 2_000.0;
/// The weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// The smallest latency sample; the clock has a resolution of 1 ms.
const LATENCY_FLOOR_MS: f64 = 0.5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Status {
    Normal,
    Ejected { until: Millis },
    Trial { successes: u32 },
}

/// The results of recent attempts at one upstream, and its ejection state.
#[derive(Clone, Debug)]
pub struct Health {
    status: Status,
    /// The number of attempts, each with a weight that halves every `HALF_LIFE_MS`.
    attempts: f64,
    /// The number of failed attempts, with the same weights.
    failures: f64,
    decayed_at: Millis,
    ejections: u32,
    consecutive_failures: u32,
    last_attempt: Option<Millis>,
    latency_ms: [Option<f64>; 3],
}

impl Default for Health {
    fn default() -> Health {
        Health {
            status: Status::Normal,
            attempts: 0.0,
            failures: 0.0,
            decayed_at: Millis::ZERO,
            ejections: 0,
            consecutive_failures: 0,
            last_attempt: None,
            latency_ms: [None; 3],
        }
    }
}

impl Health {
    /// Records an attempt that succeeded after `latency_ms`. Ends a trial after enough successes.
    pub fn record_success(&mut self, now: Millis, class: RequestClass, latency_ms: u64) {
        self.record(now, 0.0);
        self.consecutive_failures = 0;
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
                self.attempts = 0.0;
                self.failures = 0.0;
            }
        }
    }

    /// Records a failed attempt. The caller checks [`Health::should_eject`] afterwards.
    pub fn record_failure(&mut self, now: Millis) {
        self.record(now, 1.0);
        self.consecutive_failures += 1;
    }

    /// Whether the failures so far call for an ejection.
    pub fn should_eject(&self) -> bool {
        match self.status {
            Status::Normal => {
                self.attempts >= EJECT_MIN_ATTEMPTS
                    && self.failures >= EJECT_ERROR_RATE * self.attempts
                    && self.consecutive_failures > 0
            }
            Status::Trial { .. } => self.consecutive_failures > 0,
            Status::Ejected { .. } => false,
        }
    }

    /// Ejects the upstream, for longer with each ejection since the last recovery.
    pub fn eject(&mut self, now: Millis) {
        let duration_ms = (EJECT_FIRST_MS << self.ejections.min(8)).min(EJECT_MAX_MS);
        self.ejections += 1;
        self.status = Status::Ejected {
            until: now + duration_ms,
        };
    }

    /// Starts the trial of an upstream whose ejection is over.
    pub fn tick(&mut self, now: Millis) {
        if let Status::Ejected { until } = self.status
            && now >= until
        {
            self.start_trial();
        }
    }

    /// Ends an ejection early and starts the trial.
    pub fn reinstate(&mut self) {
        if self.is_ejected() {
            self.start_trial();
        }
    }

    /// Whether the upstream is ejected and gets no requests.
    pub fn is_ejected(&self) -> bool {
        matches!(self.status, Status::Ejected { .. })
    }

    /// Whether the upstream is on trial and gets one request at a time.
    pub fn is_on_trial(&self) -> bool {
        matches!(self.status, Status::Trial { .. })
    }

    /// Whether at least the last two attempts failed.
    pub fn appears_down(&self) -> bool {
        self.consecutive_failures >= 2
    }

    /// The time at which the last attempt ended; `None` before the first.
    pub fn last_attempt(&self) -> Option<Millis> {
        self.last_attempt
    }

    /// The fraction of recent attempts that failed, with one success added so that a single failure
    /// weighs little. It is 0 on trial; otherwise the upstream would not be selected.
    pub fn error_rate(&self, now: Millis) -> f64 {
        if self.is_on_trial() {
            return 0.0;
        }
        let decay_factor = self.decay_factor(now);
        self.failures * decay_factor / (self.attempts * decay_factor + 1.0)
    }

    /// The average latency of a class in milliseconds; `None` before its first success.
    pub fn latency_ms(&self, class: RequestClass) -> Option<f64> {
        self.latency_ms[class as usize]
    }

    fn start_trial(&mut self) {
        self.status = Status::Trial { successes: 0 };
        self.consecutive_failures = 0;
    }

    fn decay_factor(&self, now: Millis) -> f64 {
        0.5f64.powf(now.since(self.decayed_at) as f64 / HALF_LIFE_MS)
    }

    fn record(&mut self, now: Millis, failures: f64) {
        let decay_factor = self.decay_factor(now);
        self.attempts = self.attempts * decay_factor + 1.0;
        self.failures = self.failures * decay_factor + failures;
        self.decayed_at = now;
        self.last_attempt = Some(now);
    }
}
