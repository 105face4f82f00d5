//! Choice of an upstream for one request.
//!
//! Candidates of the entry's own failure domain come first; the others are used when those have
//! no free slot or are much worse. Among them the lowest expected wait wins: outstanding work
//! relative to the share, times recent latency, with errors and overdue responses weighed in.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// An upstream that fails every request counts as this many times slower.
const ERROR_WEIGHT: f64 = 20.0;
/// Each overdue response counts as this much additional outstanding work.
const OVERDUE_WEIGHT: f64 = 4.0;
/// Another failure domain is preferred only if it is this many times better, which covers the
/// network delay between failure domains.
const DOMAIN_FACTOR: f64 = 4.0;
/// Scores within this factor are equal; one of them is drawn at random, so that several entries
/// do not all turn to the same upstream.
const EQUAL_FACTOR: f64 = 1.05;

/// What is known of an upstream that has a free slot.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Names the upstream.
    pub key: K,
    /// Whether it is in the entry's failure domain.
    pub own_domain: bool,
    /// Requests of this entry that it has.
    pub outstanding: u16,
    /// Slots that this entry may use.
    pub share: u16,
    /// Average latency of the class; `None` before the first response.
    pub latency_ms: Option<f64>,
    /// The share of recent tries that failed.
    pub error_share: f64,
    /// Requests that have waited much longer than usual.
    pub overdue: u16,
    /// Whether the request was tried there before.
    pub tried: bool,
}

/// The candidate for a request, if there is any. `usual_ms` stands in for an unknown latency.
pub fn choose<K: Copy>(
    candidates: &[Candidate<K>],
    usual_ms: f64,
    rng: &mut Pcg64Mcg,
) -> Option<K> {
    let untried = candidates.iter().any(|candidate| !candidate.tried);
    let scored: Vec<(K, f64)> = candidates
        .iter()
        .filter(|candidate| candidate.tried != untried)
        .map(|candidate| (candidate.key, score(candidate, usual_ms)))
        .collect();
    let best = scored
        .iter()
        .map(|(_, score)| *score)
        .min_by(f64::total_cmp)?;
    let equal = |score: f64| score <= best * EQUAL_FACTOR;
    let count = scored.iter().filter(|(_, score)| equal(*score)).count();
    let drawn = rng.random_range(0..count);
    scored
        .into_iter()
        .filter(|(_, score)| equal(*score))
        .nth(drawn)
        .map(|(key, _)| key)
}

fn score<K>(candidate: &Candidate<K>, usual_ms: f64) -> f64 {
    let overdue = OVERDUE_WEIGHT * f64::from(candidate.overdue);
    let load = (1.0 + f64::from(candidate.outstanding) + overdue) / f64::from(candidate.share);
    let latency_ms = candidate.latency_ms.unwrap_or(usual_ms);
    let errors = 1.0 + ERROR_WEIGHT * candidate.error_share;
    let domain = if candidate.own_domain {
        1.0
    } else {
        DOMAIN_FACTOR
    };
    load * latency_ms * errors * domain
}
