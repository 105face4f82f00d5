//! Seeded runs with random faults: several entries share runners and are cut from each other.
//!
//! Guards against: more than 8 slots or 64 connections of a runner in use, non-idempotent requests
//! that run twice, refused requests that ran, mixed or truncated responses, requests to a leaving
//! runner, late or missing answers, claims that are never given back.

mod sim;

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use sapphirepost_routing::Without;
use sim::Options;
use sim::World;

/// Seeds without an override by `SAPPHIREPOST_TEST_SEEDS`.
const SEEDS: u64 = 200;

/// Seeds run at the same time.
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
            let checker = World::new(Options::random(seed, Without::default())).run();
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
    let shown: Vec<_> = failed.iter().take(3).collect();
    assert!(
        failed.is_empty(),
        "{} seeds failed: {shown:#?}",
        failed.len()
    );
}
