//! Seeded simulations with random faults, such as entries that share runners (the simulated
//! upstreams) but cannot reach each other.
//!
//! Guards against: more than 8 slots or 64 connections of a runner in use, non-idempotent requests
//! that run twice, refused requests that ran, responses that are truncated or reach the wrong
//! caller, requests to a leaving runner, late or missing answers, claims that are never released.

mod sim;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use sapphirepost_routing::Disabled;
use sim::Options;
use sim::Simulation;

/// The number of seeds if `SAPPHIREPOST_TEST_SEEDS` is not set.
const SEEDS: u64 = 200;

/// The number of seeds that run at the same time.
const THREADS: usize = 4;

fn seeds() -> u64 {
    std::env::var("SAPPHIREPOST_TEST_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

#[test]
fn invariants_hold_under_random_faults() {
    let first = std::env::var("SAPPHIREPOST_TEST_FIRST_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let next = AtomicU64::new(first);
    let end = first + seeds();
    let started = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end {
                return;
            }
            let checker = Simulation::new(Options::random(seed, Disabled::default())).run();
            started.fetch_add(checker.started, Ordering::Relaxed);
            if !checker.violations.is_empty() {
                failed.lock().unwrap().push((seed, checker.violations));
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    assert!(started.into_inner() > 0, "no request ran");
    let failed = failed.into_inner().unwrap();
    let first_failures: Vec<_> = failed.iter().take(3).collect();
    assert!(
        failed.is_empty(),
        "{} seeds failed: {first_failures:#?}",
        failed.len()
    );
}
