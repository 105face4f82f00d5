//! Measures the time to compute the statistics of a full cluster: 5,500 placed tasks, 1,375
//! workers, and 5,000 cancelled jobs of 10 tasks each.
//!
//! `cargo run --release -p sapphirepost-leader --example figures_cost`

#[path = "../../state/tests/support/mod.rs"]
mod support;

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_leader::Context;
use sapphirepost_leader::Leader;
use sapphirepost_leader::LeaderConfig;
use sapphirepost_types::Intent;
use sapphirepost_types::Millis;
use sapphirepost_types::WorkerId;

use crate::support::BATCH;
use crate::support::Harness;
use crate::support::START_UNIX_MS;
use crate::support::name;

const ENDED_JOBS: u32 = 5_000;
const TASKS_PER_ENDED_JOB: u32 = 10;
const JOBS: u32 = 55;
const TASKS_PER_JOB: u32 = 100;
const TASKS_PER_WORKER: u32 = 4;
const RUNS: usize = 101;

fn main() {
    let mut harness = Harness::new();
    for job in 0..ENDED_JOBS {
        harness.run_job(&format!("ended{job}"), BATCH, TASKS_PER_ENDED_JOB);
        let job = name(&format!("ended{job}"));
        harness.plan_and_confirm(Intent::Cancel { job });
    }
    let first = ENDED_JOBS * TASKS_PER_ENDED_JOB;
    for job in 0..JOBS {
        harness.run_job(&format!("job{job}"), BATCH, TASKS_PER_JOB);
    }
    let workers: Vec<WorkerId> = (0..JOBS * TASKS_PER_JOB / TASKS_PER_WORKER)
        .map(|worker| harness.add_worker(&format!("w{worker}")))
        .collect();
    for task in 0..JOBS * TASKS_PER_JOB {
        let worker = workers[(task / TASKS_PER_WORKER) as usize];
        harness.place(&[(first + task, 1, worker)]).unwrap();
    }
    let ctx = Context {
        state: &harness.state,
        now: Millis(0),
        unix_ms: START_UNIX_MS,
    };
    let leader = Leader::new(LeaderConfig::default(), ctx.state, ctx.now, ctx.unix_ms, 1);
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let since = Instant::now();
            black_box(leader.cluster_stats(&ctx));
            since.elapsed()
        })
        .collect();
    times.sort_unstable();
    println!("{:?}", leader.cluster_stats(&ctx));
    println!("{} tasks in the state", harness.state.tasks().len());
    let (median, slowest) = (times[RUNS / 2], times[RUNS - 1]);
    println!("cluster statistics: median {median:?}, slowest {slowest:?}");
}
