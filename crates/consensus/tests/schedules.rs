//! Random, seeded schedules of faults. They guard against lost, reverted or diverging committed
//! entries, two leaders in a term, stale reads, and a group that does not recover once the faults
//! end.

mod common;

use std::panic::catch_unwind;

use rand::Rng;

use sapphirepost_consensus::Faults;

use crate::common::Environment;
use crate::common::Sim;

const SEEDS: u64 = 200;
const FAULTY_MS: u64 = 12_000;
const RECOVERY_MS: u64 = 12_000;

/// Counts of a run, to check that it made progress.
struct RunCounts {
    acknowledged: usize,
    reads: usize,
    terms: usize,
    lost_disks: usize,
}

fn inject_fault(sim: &mut Sim, lost_disks: &mut usize) -> Result<(), String> {
    let host = sim.rng.random_range(0..sim.hosts.len());
    match sim.rng.random_range(0..1_000) {
        0..4 if sim.hosts[host].node.is_some() => sim.crash(host),
        4..14 if sim.hosts[host].node.is_none() => sim.start(host),
        14..16 => sim.hosts[host].paused_until_ms = sim.time_ms + sim.rng.random_range(10..1_500),
        16..18 if sim.isolated.is_empty() => {
            sim.isolated.insert(host);
        }
        18..22 => sim.isolated.clear(),
        22..24 if sim.settled_leader().is_some() => {
            sim.crash(host);
            sim.lose_disk(host);
            sim.start(host);
            *lost_disks += 1;
        }
        24..26 => {
            if let Some(leader) = sim.leader() {
                sim.with_node(leader, |node, now| node.transfer_leadership(now).ok())?;
            }
        }
        26..30 => {
            let other = sim.rng.random_range(0..sim.hosts.len());
            sim.cut_links.insert((host, other));
        }
        30..32 => sim.cut_links.clear(),
        _ => {}
    }
    Ok(())
}

fn run_workload(sim: &mut Sim, step: u64) -> Result<(), String> {
    let host = sim.rng.random_range(0..sim.hosts.len());
    let is_running =
        sim.hosts[host].node.is_some() && sim.hosts[host].paused_until_ms <= sim.time_ms;
    if is_running && sim.percent(30) {
        sim.propose(host, format!("command {step}"))?;
    }
    if is_running && sim.percent(10) {
        sim.read(host)?;
    }
    if step.is_multiple_of(50) {
        sim.replace_lost_members()?;
        for (i, a) in sim.hosts.iter().enumerate() {
            for b in &sim.hosts[i + 1..] {
                if let (Some(a), Some(b)) = (&a.node, &b.node) {
                    sim.checker.compare_logs(a, b)?;
                }
            }
        }
    }
    Ok(())
}

fn run(seed: u64, faults: Faults) -> Result<RunCounts, String> {
    let voters = [3, 3, 5][seed as usize % 3];
    let environment = Environment {
        loss_percent: 5,
        duplicate_percent: 5,
        delay_ms: 20,
        sync_ms: [8, 8, 150][seed as usize / 27 % 3],
    };
    let mut sim = Sim::new(seed, voters, environment, faults);
    sim.snapshot_interval_entries = [0, 20, 50][seed as usize / 3 % 3];
    let fault_percent = [100, 30, 10][seed as usize / 9 % 3];
    let mut lost_disks = 0;
    for step in 0..FAULTY_MS {
        sim.advance()?;
        run_workload(&mut sim, step)?;
        if sim.percent(fault_percent) {
            inject_fault(&mut sim, &mut lost_disks)?;
        }
    }
    recover(&mut sim)?;
    Ok(RunCounts {
        acknowledged: sim.checker.acknowledged,
        reads: sim.checker.reads,
        terms: sim.checker.terms_with_leader(),
        lost_disks,
    })
}

/// Ends all faults. The group must then elect a leader with a complete membership, commit a command
/// and bring all members to the same state.
fn recover(sim: &mut Sim) -> Result<(), String> {
    sim.environment = Environment {
        delay_ms: 5,
        ..Environment::RELIABLE
    };
    sim.isolated.clear();
    sim.cut_links.clear();
    for host in 0..sim.hosts.len() {
        sim.hosts[host].paused_until_ms = 0;
        if sim.hosts[host].node.is_none() {
            sim.start(host);
        }
    }
    for step in 0..RECOVERY_MS {
        sim.advance()?;
        if step % 50 == 0 {
            sim.replace_lost_members()?;
        }
        if step > 2_000 && step % 500 == 0 && sim.settled_leader().is_some() {
            break;
        }
    }
    let leader = sim
        .settled_leader()
        .ok_or("no leader with a complete membership after the faults ended")?;
    let before = sim.checker.acknowledged;
    if !sim.propose(leader, "last".to_owned())? {
        return Err("the last proposal was refused".to_owned());
    }
    sim.run(500)?;
    if sim.checker.acknowledged == before {
        return Err("the last proposal was not committed".to_owned());
    }
    let expected = sim.hosts[leader].applied;
    match sim.hosts.iter().find(|host| host.applied != expected) {
        Some(host) => Err(format!(
            "{} has state {:?} instead of {expected:?}",
            host.id, host.applied
        )),
        None => Ok(()),
    }
}

fn seeds() -> u64 {
    let configured = std::env::var("SAPPHIREPOST_TEST_SEEDS").ok();
    configured.map_or(SEEDS, |text| {
        text.parse().expect("SAPPHIREPOST_TEST_SEEDS is a number")
    })
}

#[test]
fn committed_entries_survive_random_faults() {
    let (mut acknowledged, mut reads, mut terms, mut lost_disks) = (0, 0, 0, 0);
    for seed in 0..seeds() {
        let counts = run(seed, Faults::default()).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        acknowledged += counts.acknowledged;
        reads += counts.reads;
        terms += counts.terms;
        lost_disks += counts.lost_disks;
    }
    println!("{acknowledged} commands, {reads} reads, {terms} terms, {lost_disks} lost disks");
    assert!(acknowledged > 0 && reads > 0 && lost_disks > 0);
}

/// Guards against a simulation whose checks do not detect acknowledgements before the sync.
#[test]
fn acknowledging_before_the_sync_is_detected() {
    let faults = Faults {
        ack_before_sync: true,
        ..Faults::default()
    };
    let is_detected = |seed: &u64| catch_unwind(|| run(*seed, faults)).map_or(true, |r| r.is_err());
    let detected = (0..SEEDS).find(is_detected);
    println!("detected with seed {detected:?}");
    assert!(
        detected.is_some(),
        "{SEEDS} schedules with acknowledgements before the sync passed"
    );
}
