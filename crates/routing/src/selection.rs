//! Selection of an upstream for one request.
//!
//! Each candidate gets a score that estimates the wait: outstanding requests relative to the share,
//! times recent latency, raised by errors and overdue responses. The lowest score wins. The score
//! of an upstream in another failure domain is multiplied by a constant, so that it is selected
//! only if those in the entry's failure domain have no free slot or are much slower.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The score is multiplied by 1 plus this many times the error rate, which ranges from 0 to 1.
const ERROR_WEIGHT: f64 = 20.0;
/// Each overdue response counts as this many additional outstanding requests.
const OVERDUE_WEIGHT: f64 = 4.0;
/// An upstream in another failure domain is selected only if its score is this many times better,
/// which covers the network delay between failure domains.
const REMOTE_DOMAIN_FACTOR: f64 = 4.0;
/// Scores within this factor of the best count as tied. One of them is selected at random, so that
/// several entries do not all select the same upstream.
const TIE_FACTOR: f64 = 1.05;

/// The load and health of an upstream that has a free slot.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Identifies the upstream in the result of [`select_upstream`].
    pub key: K,
    /// Whether the upstream is in the entry's failure domain.
    pub same_domain: bool,
    /// Slots of the upstream that requests of this entry use.
    pub outstanding: u16,
    /// Slots of the upstream that this entry may use; at least 1.
    pub share: u16,
    /// Average latency of the request's class in milliseconds; `None` before the first success.
    pub latency_ms: Option<f64>,
    /// The fraction of recent attempts that failed, from 0 to 1.
    pub error_rate: f64,
    /// Outstanding requests that have waited much longer than the average.
    pub overdue: u16,
    /// Whether an earlier attempt of the request used this upstream.
    pub tried: bool,
}

/// Returns the best candidate for a request, or `None` if there are no candidates. Candidates that
/// were not tried yet take precedence. `default_latency_ms` is used where no latency is known.
pub fn select_upstream<K: Copy>(
    candidates: &[Candidate<K>],
    default_latency_ms: f64,
    rng: &mut Pcg64Mcg,
) -> Option<K> {
    let has_untried = candidates.iter().any(|candidate| !candidate.tried);
    let scored: Vec<(K, f64)> = candidates
        .iter()
        .filter(|candidate| candidate.tried != has_untried)
        .map(|candidate| (candidate.key, score(candidate, default_latency_ms)))
        .collect();
    let best = scored
        .iter()
        .map(|(_, score)| *score)
        .min_by(f64::total_cmp)?;
    let is_tied = |score: f64| score <= best * TIE_FACTOR;
    let count = scored.iter().filter(|(_, score)| is_tied(*score)).count();
    let chosen = rng.random_range(0..count);
    scored
        .into_iter()
        .filter(|(_, score)| is_tied(*score))
        .nth(chosen)
        .map(|(key, _)| key)
}

fn score<K>(candidate: &Candidate<K>, default_latency_ms: f64) -> f64 {
    let overdue_load = OVERDUE_WEIGHT * f64::from(candidate.overdue);
    let load = (1.0 + f64::from(candidate.outstanding) + overdue_load) / f64::from(candidate.share);
    let latency_ms = candidate.latency_ms.unwrap_or(default_latency_ms);
    let error_factor = 1.0 + ERROR_WEIGHT * candidate.error_rate;
    let domain_factor = if candidate.same_domain {
        1.0
    } else {
        REMOTE_DOMAIN_FACTOR
    };
    load * latency_ms * error_factor * domain_factor
}
