//! When a failed try may be repeated.
//!
//! Retries are limited to a share of recent requests, because unlimited ones multiply the load of
//! a service that is already failing.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Retries per request, in thousandths of a token.
const REFILL_MILLITOKENS: u64 = 100;
/// The cost of one retry.
const RETRY_MILLITOKENS: u64 = 1_000;
/// Unused budget is kept for at most this many retries.
const BUDGET_MAX_MILLITOKENS: u64 = 50 * RETRY_MILLITOKENS;
/// A quiet service may retry this often before it has earned a budget.
const BUDGET_START_MILLITOKENS: u64 = 5 * RETRY_MILLITOKENS;
/// The most tries of one request.
pub(crate) const TRIES_MAX: usize = 3;
/// The longest pause before the first retry; doubled for the second.
const JITTER_MAX_MS: u64 = 10;

/// The budget of retries of one service: 10 % of its recent requests.
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
    /// A new request earns a tenth of a retry.
    pub fn earn(&mut self) {
        self.millitokens = (self.millitokens + REFILL_MILLITOKENS).min(BUDGET_MAX_MILLITOKENS);
    }

    /// Takes one retry out, if there is one.
    pub fn take(&mut self) -> bool {
        match self.millitokens.checked_sub(RETRY_MILLITOKENS) {
            Some(rest) => {
                self.millitokens = rest;
                true
            }
            None => false,
        }
    }
}

/// The pause before retry number `tries`, drawn at random so that retries do not arrive together.
pub(crate) fn pause_ms(rng: &mut Pcg64Mcg, tries: usize) -> u64 {
    rng.random_range(0..=JITTER_MAX_MS << tries.min(3))
}
