//! Guards against lost or duplicated tasks, overcommitted workers, requests that run twice and
//! reverted configuration, under random combinations of lost, duplicated and delayed messages,
//! leader changes, and paused, restarted, partitioned and lost workers. `SAPPHIREPOST_SEEDS` sets
//! the number of seeds.

mod support;

use sapphirepost_state::jobs::JobPhase;
use sapphirepost_state::tasks::Phase;
use sapphirepost_types::Resources;
use sapphirepost_verifier::Event;

use crate::support::sim::Options;
use crate::support::sim::Sim;

const DEFAULT_SEEDS: u64 = 200;

fn seeds() -> u64 {
    let text = std::env::var("SAPPHIREPOST_SEEDS").unwrap_or_default();
    text.parse().unwrap_or(DEFAULT_SEEDS)
}

fn run_seeds(part: u64, parts: u64) {
    for seed in (0..seeds()).filter(|seed| seed % parts == part) {
        let mut options = Options::new(seed);
        if seed % 5 == 0 {
            options.commit_max_ms = 1_000;
        }
        let mut sim = Sim::new(options);
        sim.run();
        let violations = sim.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert_eq!(
            sim.replayed_digest(),
            sim.state.digest(),
            "seed {seed}: replay"
        );
        assert_consistent(&sim, seed);
        assert_settled(&sim, seed);
    }
}

/// After the quiet phase, every task that should run and fits does run, and no other attempt runs
/// or holds capacity.
fn assert_settled(sim: &Sim, seed: u64) {
    let state = &sim.state;
    for (id, job) in state.jobs().iter() {
        if job.phase != JobPhase::Active {
            continue;
        }
        let tasks: Vec<_> = job
            .tasks
            .iter()
            .filter_map(|id| state.tasks().get(*id))
            .collect();
        let running = tasks
            .iter()
            .filter(|task| matches!(task.phase, Phase::Running(_)))
            .count();
        let wanted = job.spec.tasks as usize;
        let together = if job.is_gang() { wanted } else { 1 };
        let is_short = running == 0 || !job.is_gang();
        let lacks_capacity = is_short && capacity_for(sim, &job.spec.resources) < together;
        assert!(
            running == wanted || lacks_capacity,
            "seed {seed}: {id} {job:#?} {tasks:#?}"
        );
    }
    let held: usize = state
        .workers()
        .iter()
        .map(|(_, worker)| worker.held.len())
        .sum();
    let lost = sim.workers.iter().filter(|worker| worker.is_lost);
    let lost: Vec<_> = lost.map(|worker| &worker.name).collect();
    let mut lost_workers = state
        .workers()
        .iter()
        .filter(|(_, worker)| lost.contains(&&worker.name));
    let held_by_lost: usize = lost_workers
        .next()
        .map_or(0, |(_, worker)| worker.held.len());
    let running: usize = sim
        .workers
        .iter()
        .map(|worker| worker.running_count())
        .sum();
    assert_eq!(
        held - held_by_lost,
        running,
        "seed {seed}: attempts held and running"
    );
}

/// The totals that the state maintains incrementally must equal the sums over its records.
fn assert_consistent(sim: &Sim, seed: u64) {
    let state = &sim.state;
    for (id, worker) in state.workers().iter() {
        let held = worker.held.iter().map(|allocation| allocation.resources);
        assert_eq!(worker.used, sum(held), "seed {seed}: {id}");
    }
    let mut charged = Resources::ZERO;
    for (id, job) in state.jobs().iter() {
        let tasks = job.tasks.iter().filter_map(|id| state.tasks().get(*id));
        let placed: Vec<_> = tasks.filter(|task| task.worker().is_some()).collect();
        assert_eq!(placed.len(), job.placed as usize, "seed {seed}: {id}");
        let reachable = placed.iter().filter(|task| !task.unreachable);
        charged = sum([charged]
            .into_iter()
            .chain(reachable.map(|_| job.spec.resources)));
    }
    let quota = state.quotas().get(&support::name("team"));
    let used = quota.map_or(Resources::ZERO, |quota| quota.used);
    assert_eq!(used, charged, "seed {seed}: quota");
}

fn sum(amounts: impl Iterator<Item = Resources>) -> Resources {
    amounts.fold(Resources::ZERO, |sum, more| sum.checked_add(&more).unwrap())
}

fn capacity_for(sim: &Sim, one: &Resources) -> usize {
    let workers = sim.state.workers().iter();
    let open = workers.filter(|(_, worker)| worker.accepts_tasks());
    open.map(|(_, worker)| {
        let free = worker.free();
        (free.millicores / one.millicores).min(free.memory_mib / one.memory_mib) as usize
    })
    .sum()
}

#[test]
fn seeded_schedules_keep_the_invariants_1() {
    run_seeds(0, 4);
}

#[test]
fn seeded_schedules_keep_the_invariants_2() {
    run_seeds(1, 4);
}

#[test]
fn seeded_schedules_keep_the_invariants_3() {
    run_seeds(2, 4);
}

#[test]
fn seeded_schedules_keep_the_invariants_4() {
    run_seeds(3, 4);
}

/// Guards against a simulation that rarely reaches the situations whose invariants it checks.
#[test]
fn simulated_schedules_exercise_what_they_check() {
    let mut confirmed = 0;
    let mut leader_changes = 0;
    let mut starts = 0;
    let mut runs = 0;
    for seed in 0..20 {
        let mut sim = Sim::new(Options::new(seed));
        sim.run();
        let operators = sim.operators.iter();
        confirmed += operators.map(|operator| operator.confirmed).sum::<u64>();
        leader_changes += sim.leader_changes;
        starts += count(&sim, |event| matches!(event, Event::TaskStarted { .. }));
        runs += count(&sim, |event| matches!(event, Event::RequestRan { .. }));
    }
    assert!(confirmed > 200, "{confirmed} confirmations");
    assert!(leader_changes > 20, "{leader_changes} leader changes");
    assert!(starts > 500, "{starts} starts");
    assert!(runs > 500, "{runs} requests run");
}

fn count(sim: &Sim, is_counted: impl Fn(&Event) -> bool) -> usize {
    let events = sim.history.iter();
    events.filter(|timed| is_counted(&timed.event)).count()
}
