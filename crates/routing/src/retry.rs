//! Limits and delays of retries.
//!
//! A token bucket limits retries to a fraction of recent requests, because unlimited retries
//! multiply the load of a service that is already failing.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Deposited for each new request: a tenth of a retry.
const DEPOSIT_MILLITOKENS: u64 = 100;
/// The cost of one retry.
const RETRY_MILLITOKENS: u64 = 1_000;
/// The most that the budget can hold: 50 retries.
const BUDGET_MAX_MILLITOKENS: u64 = 50 * RETRY_MILLITOKENS;
/// The initial budget, 5 retries, so that a service with few requests can retry too.
const BUDGET_START_MILLITOKENS: u64 = 5 * RETRY_MILLITOKENS;
/// The most attempts of one request, the first included.
pub(crate) const ATTEMPTS_MAX: usize = 3;
/// The upper bound of the random delay, before it is doubled for each attempt so far: 20 ms before
/// the first retry, 40 ms before the second.
const JITTER_MAX_MS: u64 = 10;

/// The retry budget of one service: 10 % of its recent requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    millitokens: u64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget {
            millitokens: BUDGET_START_MILLITOKENS,
        }
    }
}

impl RetryBudget {
    /// Adds a tenth of a retry for a new request.
    pub fn deposit(&mut self) {
        self.millitokens = (self.millitokens + DEPOSIT_MILLITOKENS).min(BUDGET_MAX_MILLITOKENS);
    }

    /// Takes one retry out of the budget. Returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        match self.millitokens.checked_sub(RETRY_MILLITOKENS) {
            Some(remaining) => {
                self.millitokens = remaining;
                true
            }
            None => false,
        }
    }
}

/// The delay before the next attempt after `attempts` earlier ones, drawn at random so that retries
/// do not arrive together.
pub(crate) fn backoff_ms(rng: &mut Pcg64Mcg, attempts: usize) -> u64 {
    rng.random_range(0..=JITTER_MAX_MS << attempts.min(3))
}
