//! The token bucket of a tenant, and its tokens that are promised to rejected jobs.
//!
//! A rejected job is promised the first future token that no earlier promise takes, and is told
//! when the bucket will have it. Rejected jobs therefore come back at the rate of the tenant,
//! however many were rejected at once. A promised token is set aside when it is due. If the job
//! does not come for it, any other job of the tenant gets it, so that promises to callers that have
//! given up do not lower the rate. A job that comes early is told the rest of its time.

use std::collections::VecDeque;

use sapphirepost_types::Millis;

use crate::ids::JobKey;

/// How long a token is set aside for a late caller. Retry times reach callers in whole seconds,
/// rounded up.
const PROMISE_KEPT_MS: u64 = 2_000;
/// The largest number of promises of a tenant. It bounds the memory, and the time to find a job
/// among the promises.
const PROMISES_MAX: usize = 2_048;
/// Jobs without a promise return within this time, spread by their keys.
const SPREAD_MS: u64 = 60_000;
/// The shortest time after which a job without a promise may return.
const UNPROMISED_MIN_MS: u64 = 30_000;
/// A lower rate, in jobs a second, promises nothing, since its next token is too far away for a caller.
const PROMISED_RATE_MIN: f64 = 0.01;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// What a job may take from the bucket of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// A token that nobody else was promised.
    Token,
    /// The token that was promised to the job when it was rejected.
    PromisedToken,
    /// Nothing: the job is beyond the rate of the tenant, or has come before its promised token.
    Nothing,
}

/// A token that is promised to a job.
#[derive(Clone, Copy, Debug)]
struct Promise {
    job: JobKey,
    due: Millis,
}

/// The token bucket of a tenant.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens that come each second.
    rate: f64,
    /// Tokens that are not set aside; below 0 if the rate was lowered after promises were made.
    tokens: f64,
    refilled_at: Millis,
    /// The promises, the earliest first.
    promises: VecDeque<Promise>,
    /// The number of promises, from the earliest, whose tokens are set aside.
    set_aside: usize,
}

impl TokenBucket {
    /// A full bucket to which `rate` tokens come each second.
    pub fn new(rate: f64, now: Millis) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: burst(rate),
            refilled_at: now,
            promises: VecDeque::new(),
            set_aside: 0,
        }
    }

    /// Changes the rate. Promises stay as they are.
    pub fn set_rate(&mut self, rate: f64, now: Millis) {
        if rate != self.rate {
            self.refill(now);
            self.rate = rate;
            self.tokens = self.tokens.clamp(-burst(rate), burst(rate));
        }
    }

    /// What a job may take now.
    pub fn claim(&mut self, job: JobKey, now: Millis) -> Claim {
        self.refill(now);
        match self.promise_of(job) {
            Some(position) if position < self.set_aside => Claim::PromisedToken,
            Some(_) => Claim::Nothing,
            None if self.tokens >= 1.0 => Claim::Token,
            None => Claim::Nothing,
        }
    }

    /// Takes what [`TokenBucket::claim`] has returned, for a job that is admitted.
    pub fn take(&mut self, job: JobKey, claim: Claim) {
        if claim == Claim::Token {
            self.tokens -= 1.0;
            return;
        }
        if let Some(position) = self.promise_of(job) {
            self.promises.remove(position);
            self.set_aside -= usize::from(position < self.set_aside);
        }
    }

    /// Promises a token to a job that is rejected, unless it has a promise. Returns the time in
    /// milliseconds after which the caller may retry.
    pub fn promise(&mut self, job: JobKey, now: Millis) -> u64 {
        self.refill(now);
        if let Some(position) = self.promise_of(job) {
            return self.promises[position].due.since(now).max(1);
        }
        let last_due = self.promises.back().map_or(now, |last| last.due);
        if self.rate < PROMISED_RATE_MIN || self.promises.len() >= PROMISES_MAX {
            let spread_ms = job.spread_permille() * SPREAD_MS / 1_000;
            return last_due.since(now).max(UNPROMISED_MIN_MS) + spread_ms;
        }
        let earlier = self.promises.len() - self.set_aside;
        let missing = (earlier + 1) as f64 - self.tokens;
        let wait_ms = (missing * MILLIS_PER_SECOND / self.rate).ceil().max(1.0);
        let due = last_due.max(now + wait_ms as u64);
        self.promises.push_back(Promise { job, due });
        due.since(now)
    }

    /// Adds the tokens that have come since the last call, sets aside those that are due, and
    /// releases those that nobody came for.
    fn refill(&mut self, now: Millis) {
        let passed_s = now.since(self.refilled_at) as f64 / MILLIS_PER_SECOND;
        self.refilled_at = now;
        self.tokens += passed_s * self.rate;
        while let Some(next) = self.promises.get(self.set_aside)
            && next.due <= now
        {
            self.set_aside += 1;
            self.tokens -= 1.0;
        }
        while let Some(first) = self.promises.front()
            && now.since(first.due) > PROMISE_KEPT_MS
        {
            self.promises.pop_front();
            self.set_aside -= 1;
            self.tokens += 1.0;
        }
        self.tokens = self.tokens.min(burst(self.rate));
    }

    fn promise_of(&self, job: JobKey) -> Option<usize> {
        self.promises.iter().position(|promise| promise.job == job)
    }
}

/// The largest number of tokens that a bucket keeps: those of a second, and at least one unless the
/// tenant is owed nothing.
fn burst(rate: f64) -> f64 {
    match rate > 0.0 {
        true => rate.max(1.0),
        false => 0.0,
    }
}
