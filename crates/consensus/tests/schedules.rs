//! Seeded schedules of faults; guards against lost, reverted or diverging committed entries, two
//! leaders in a term, stale reads, and a group that does not recover once the faults end.

mod common;

use std::panic::catch_unwind;

use rand::Rng;

use sapphirepost_consensus::Faults;

use crate::common::Sim;
use crate::common::Weather;

const SEEDS: u64 = 200;
const FAULTY_MS: u64 = 12_000;
const RECOVERY_MS: u64 = 12_000;

/// Figures of a run, to see that it did something.
struct Figures {
    acknowledged: usize,
    reads: usize,
    terms: usize,
    lost_disks: usize,
}

fn disturb(sim: &mut Sim, lost_disks: &mut usize) -> Result<(), String> {
    let host = sim.rng.random_range(0..sim.hosts.len());
    match sim.rng.random_range(0..1_000) {
        0..4 if sim.hosts[host].node.is_some() => sim.crash(host),
        4..14 if sim.hosts[host].node.is_none() => sim.start(host),
        14..16 => sim.hosts[host].frozen_until = sim.time + sim.rng.random_range(10..1_500),
        16..18 if sim.isolated.is_empty() => {
            sim.isolated.insert(host);
        }
        18..22 => sim.isolated.clear(),
        22..24 if sim.settled().is_some() => {
            sim.crash(host);
            sim.lose_disk(host);
            sim.start(host);
            *lost_disks += 1;
        }
        24..26 => {
            if let Some(leader) = sim.leader() {
                sim.with(leader, |node, now| node.transfer_leadership(now).ok())?;
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

fn work(sim: &mut Sim, step: u64) -> Result<(), String> {
    let host = sim.rng.random_range(0..sim.hosts.len());
    let is_running = sim.hosts[host].node.is_some() && sim.hosts[host].frozen_until <= sim.time;
    if is_running && sim.percent(30) {
        sim.propose(host, format!("command {step}"))?;
    }
    if is_running && sim.percent(10) {
        sim.read(host)?;
    }
    if step.is_multiple_of(50) {
        sim.repair()?;
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

fn run(seed: u64, faults: Faults) -> Result<Figures, String> {
    let voters = [3, 3, 5][seed as usize % 3];
    let weather = Weather {
        loss_percent: 5,
        duplicate_percent: 5,
        delay_ms: 20,
        sync_ms: [8, 8, 150][seed as usize / 27 % 3],
    };
    let mut sim = Sim::new(seed, voters, weather, faults);
    sim.snapshot_interval = [0, 20, 50][seed as usize / 3 % 3];
    let fault_percent = [100, 30, 10][seed as usize / 9 % 3];
    let mut lost_disks = 0;
    for step in 0..FAULTY_MS {
        sim.advance()?;
        work(&mut sim, step)?;
        if sim.percent(fault_percent) {
            disturb(&mut sim, &mut lost_disks)?;
        }
    }
    recover(&mut sim)?;
    Ok(Figures {
        acknowledged: sim.checker.acknowledged,
        reads: sim.checker.reads,
        terms: sim.checker.terms_with_leader(),
        lost_disks,
    })
}

/// Ends all faults; the group must settle, accept a command and bring all members to one state.
fn recover(sim: &mut Sim) -> Result<(), String> {
    sim.weather = Weather {
        delay_ms: 5,
        ..Weather::CALM
    };
    sim.isolated.clear();
    sim.cut_links.clear();
    for host in 0..sim.hosts.len() {
        sim.hosts[host].frozen_until = 0;
        if sim.hosts[host].node.is_none() {
            sim.start(host);
        }
    }
    for step in 0..RECOVERY_MS {
        sim.advance()?;
        if step % 50 == 0 {
            sim.repair()?;
        }
        if step > 2_000 && step % 500 == 0 && sim.settled().is_some() {
            break;
        }
    }
    let leader = sim.settled().ok_or("the group did not settle")?;
    let before = sim.checker.acknowledged;
    if !sim.propose(leader, "last".to_owned())? {
        return Err("the last proposal was refused".to_owned());
    }
    sim.run(500)?;
    if sim.checker.acknowledged == before {
        return Err("the last proposal was not committed".to_owned());
    }
    let shown = sim.hosts[leader].shown;
    match sim.hosts.iter().find(|host| host.shown != shown) {
        Some(host) => Err(format!(
            "{} shows {:?} instead of {shown:?}",
            host.id, host.shown
        )),
        None => Ok(()),
    }
}

fn seeds() -> u64 {
    let raised = std::env::var("SAPPHIREPOST_TEST_SEEDS").ok();
    raised.map_or(SEEDS, |text| {
        text.parse().expect("SAPPHIREPOST_TEST_SEEDS is a number")
    })
}

#[test]
fn committed_entries_survive_random_faults() {
    let (mut acknowledged, mut reads, mut terms, mut lost_disks) = (0, 0, 0, 0);
    for seed in 0..seeds() {
        let figures = run(seed, Faults::default()).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        acknowledged += figures.acknowledged;
        reads += figures.reads;
        terms += figures.terms;
        lost_disks += figures.lost_disks;
    }
    println!("{acknowledged} commands, {reads} reads, {terms} terms, {lost_disks} lost disks");
    assert!(acknowledged > 0 && reads > 0 && lost_disks > 0);
}

/// Guards against a simulation that would not notice acknowledgements before the sync.
#[test]
fn acknowledging_before_the_sync_is_noticed() {
    let faults = Faults {
        ack_before_sync: true,
        ..Faults::default()
    };
    let is_noticed = |seed: &u64| catch_unwind(|| run(*seed, faults)).map_or(true, |r| r.is_err());
    let noticed = (0..SEEDS).find(is_noticed);
    println!("noticed with seed {noticed:?}");
    assert!(
        noticed.is_some(),
        "{SEEDS} schedules passed without syncs before answers"
    );
}
