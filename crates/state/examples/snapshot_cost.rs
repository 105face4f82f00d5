//! Measures what a snapshot of a full state costs: 400,000 claims with recorded answers and 5,500
//! running tasks.
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
use crate::support::Machine;
use crate::support::START_UNIX_MS;
use crate::support::name;
use crate::support::set_config;

const JOBS: u32 = 55;
const TASKS_PER_JOB: u32 = 100;
const TASKS_PER_WORKER: u32 = 4;
const CLAIMS_PER_BATCH: usize = 500;
const RUNS: usize = 9;
/// The time over which the claims arrived.
const WINDOW_MS: u64 = 600_000;

fn main() {
    let mut machine = Machine::new();
    add_tasks(&mut machine);
    let since = Instant::now();
    add_claims(&mut machine);
    println!("claims and outcomes applied in {:?}", since.elapsed());
    let state = &machine.state;
    println!(
        "{} claims, {} tasks",
        state.claims().len(),
        state.tasks().len()
    );
    report("clone", || state.clone());
    let bytes = state.snapshot();
    println!("snapshot: {} bytes", bytes.len());
    report("encode", || state.snapshot());
    report("restore", || State::restore(&bytes).unwrap());
    report_claims(&mut machine);
    report_operations();
}

fn add_tasks(machine: &mut Machine) {
    for job in 0..JOBS {
        machine.run(&format!("job{job}"), BATCH, TASKS_PER_JOB);
    }
    let tasks = JOBS * TASKS_PER_JOB;
    let workers: Vec<WorkerId> = (0..tasks / TASKS_PER_WORKER)
        .map(|worker| machine.worker(&format!("w{worker}")))
        .collect();
    for task in 0..tasks {
        let worker = workers[(task / TASKS_PER_WORKER) as usize];
        machine.place(&[(task, 1, worker)]).unwrap();
        let sequence = u64::from(task) + 2;
        machine.report(
            worker,
            1,
            sequence,
            false,
            &[(task, 1, TaskStatus::Running)],
        );
    }
}

fn batch(numbers: &[usize]) -> ClaimBatch {
    let claims = numbers.iter().map(|number| Claim {
        service: name("grades"),
        request: request(*number),
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

fn request(number: usize) -> RequestId {
    let unix_ms = START_UNIX_MS + number as u64 * WINDOW_MS / CLAIMS_MAX as u64;
    RequestId::new(unix_ms, &format!("composite-run-{number}")).unwrap()
}

fn outcomes(numbers: &[usize]) -> ClaimBatch {
    let outcomes = numbers.iter().map(|number| ClaimDone {
        service: name("grades"),
        request: request(*number),
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
        ..batch(&[])
    }
}

fn add_claims(machine: &mut Machine) {
    let numbers: Vec<usize> = (0..CLAIMS_MAX).collect();
    for numbers in numbers.chunks(CLAIMS_PER_BATCH) {
        machine.at_ms = numbers[0] as u64 * WINDOW_MS / CLAIMS_MAX as u64;
        machine.apply(Request::Claims(batch(numbers)));
        machine.apply(Request::Claims(outcomes(numbers)));
    }
}

/// The slowest application of claims while a copy of the state is alive, as during a snapshot.
fn report_claims(machine: &mut Machine) {
    let copy = machine.state.clone();
    let mut slowest = Duration::ZERO;
    for second in 1..60 {
        machine.at_ms = WINDOW_MS + second * 1_000;
        let request = Request::Claims(batch(&[CLAIMS_MAX + second as usize]));
        let since = Instant::now();
        machine.apply(request);
        slowest = slowest.max(since.elapsed());
    }
    println!("slowest of 59 claims beside a copy: {slowest:?}");
    black_box(copy);
}

/// The clone of a state with the largest record of operations.
fn report_operations() {
    let mut machine = Machine::new();
    for number in 0..OPERATIONS_MAX {
        machine.at_ms = number as u64;
        machine.plan(set_config("key", &number.to_string()));
    }
    let state = &machine.state;
    let (operations, plans) = (state.operations().len(), state.plans().len());
    println!("{operations} operations, {plans} plans");
    report("clone", || state.clone());
}

fn report<T>(what: &str, mut run: impl FnMut() -> T) {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let since = Instant::now();
            let result = black_box(run());
            let time = since.elapsed();
            drop(result);
            time
        })
        .collect();
    times.sort_unstable();
    let (median, slowest) = (times[RUNS / 2], times[RUNS - 1]);
    println!("{what}: median {median:?}, slowest {slowest:?}");
}
