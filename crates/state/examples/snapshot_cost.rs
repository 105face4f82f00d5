//! Measures the time that snapshots of a large state take. The state has 400,000 claims with
//! recorded outcomes and 5,500 running tasks; a second one has the maximum number of operations.
//!
//! `cargo run --release -p sapphirepost-state --example snapshot_cost`

#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::worker::TaskStatus;
use sapphirepost_state::Request;
use sapphirepost_state::State;
use sapphirepost_state::claims::CLAIMS_MAX;
use sapphirepost_state::operations::OPERATIONS_MAX;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::RequestId;
use sapphirepost_types::WorkerId;

use crate::support::BATCH;
use crate::support::Harness;
use crate::support::START_UNIX_MS;
use crate::support::name;
use crate::support::set_config;

const JOBS: u32 = 55;
const TASKS_PER_JOB: u32 = 100;
const TASKS_PER_WORKER: u32 = 4;
const CLAIMS_PER_BATCH: usize = 500;
const REPETITIONS: usize = 9;
/// The time in which all claims arrive, in milliseconds.
const ARRIVAL_PERIOD_MS: u64 = 600_000;

fn main() {
    let mut harness = Harness::new();
    add_tasks(&mut harness);
    let since = Instant::now();
    add_claims(&mut harness);
    println!("claims and outcomes applied in {:?}", since.elapsed());
    let state = &harness.state;
    println!(
        "{} claims, {} tasks",
        state.claims().len(),
        state.tasks().len()
    );
    print_times("clone", || state.clone());
    let bytes = state.snapshot();
    println!("snapshot: {} bytes", bytes.len());
    print_times("encode", || state.snapshot());
    print_times("restore", || State::restore(&bytes).unwrap());
    print_slowest_claim(&mut harness);
    print_clone_with_operations();
}

fn add_tasks(harness: &mut Harness) {
    for job in 0..JOBS {
        harness.run_job(&format!("job{job}"), BATCH, TASKS_PER_JOB);
    }
    let tasks = JOBS * TASKS_PER_JOB;
    let workers: Vec<WorkerId> = (0..tasks / TASKS_PER_WORKER)
        .map(|worker| harness.add_worker(&format!("w{worker}")))
        .collect();
    for task in 0..tasks {
        let worker = workers[(task / TASKS_PER_WORKER) as usize];
        harness.place(&[(task, 1, worker)]).unwrap();
        let sequence = u64::from(task) + 2;
        harness.report(
            worker,
            1,
            sequence,
            false,
            &[(task, 1, TaskStatus::Running)],
        );
    }
}

fn claim_batch(numbers: &[usize]) -> ClaimBatch {
    let claims = numbers.iter().map(|number| Claim {
        service: name("grades"),
        request: request_id(*number),
        digest: *number as u64,
        token: *number as u64,
    });
    ClaimBatch {
        entry: EntryId(1),
        incarnation: Incarnation(1),
        claims: claims.collect(),
        outcomes: Vec::new(),
    }
}

fn request_id(number: usize) -> RequestId {
    let unix_ms = START_UNIX_MS + number as u64 * ARRIVAL_PERIOD_MS / CLAIMS_MAX as u64;
    RequestId::new(unix_ms, &format!("composite-run-{number}")).unwrap()
}

fn outcome_batch(numbers: &[usize]) -> ClaimBatch {
    let outcomes = numbers.iter().map(|number| ClaimDone {
        service: name("grades"),
        request: request_id(*number),
        token: *number as u64,
        outcome: ClaimOutcome::Done {
            status: 200,
            content_type: Some("application/json".to_owned()),
            body: Some(format!(
                "{{\"grade\":\"g{number}\",\"sample\":\"s{number}\"}}"
            )),
        },
    });
    ClaimBatch {
        outcomes: outcomes.collect(),
        ..claim_batch(&[])
    }
}

fn add_claims(harness: &mut Harness) {
    let numbers: Vec<usize> = (0..CLAIMS_MAX).collect();
    for numbers in numbers.chunks(CLAIMS_PER_BATCH) {
        harness.at_ms = numbers[0] as u64 * ARRIVAL_PERIOD_MS / CLAIMS_MAX as u64;
        harness.apply(Request::Claims(claim_batch(numbers)));
        harness.apply(Request::Claims(outcome_batch(numbers)));
    }
}

/// Prints the longest time to apply a claim while a copy of the state exists, as during a snapshot.
fn print_slowest_claim(harness: &mut Harness) {
    let copy = harness.state.clone();
    let mut slowest = Duration::ZERO;
    for second in 1..60 {
        harness.at_ms = ARRIVAL_PERIOD_MS + second * 1_000;
        let request = Request::Claims(claim_batch(&[CLAIMS_MAX + second as usize]));
        let since = Instant::now();
        harness.apply(request);
        slowest = slowest.max(since.elapsed());
    }
    println!("slowest of 59 claims while a copy exists: {slowest:?}");
    black_box(copy);
}

/// Prints the time to clone a state with the maximum number of operations.
fn print_clone_with_operations() {
    let mut harness = Harness::new();
    for number in 0..OPERATIONS_MAX {
        harness.at_ms = number as u64;
        harness.record_plan(set_config("key", &number.to_string()));
    }
    let state = &harness.state;
    let (operations, plans) = (state.operations().len(), state.plans().len());
    println!("{operations} operations, {plans} plans");
    print_times("clone", || state.clone());
}

fn print_times<T>(what: &str, mut run: impl FnMut() -> T) {
    let mut times: Vec<Duration> = (0..REPETITIONS)
        .map(|_| {
            let since = Instant::now();
            let result = black_box(run());
            let time = since.elapsed();
            drop(result);
            time
        })
        .collect();
    times.sort_unstable();
    let (median, slowest) = (times[REPETITIONS / 2], times[REPETITIONS - 1]);
    println!("{what}: median {median:?}, slowest {slowest:?}");
}
