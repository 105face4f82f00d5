//! Faults that a simulation injects.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_routing::Event;
use sapphirepost_routing::RosterChange;

use super::SimEvent;
use super::Simulation;
use super::roster;
use super::runner;
use super::runner::Mode;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Mode(usize, Mode),
    Overannounce(usize),
    SilenceConnections(usize),
    Leave(usize),
    Return(usize),
    Kill(usize),
    Restart(usize),
    /// Entries with an odd index cannot exchange gossip with the others.
    PartitionEntries,
    HealPartition,
    CutControl(usize),
    HealControl(usize),
    Pause(usize, u64),
    /// Removes an entry from the roster, or adds it again, in two steps.
    ChangeRoster(usize),
}

/// Faults at random times. None starts in the last 4 s of the run.
pub fn random(seed: u64, entries: usize, runners: usize, duration_ms: u64) -> Vec<(u64, Fault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x00fa_0175);
    let mut plan = Vec::new();
    let mut at = super::WARM_UP_MS;
    while at + 4_000 < duration_ms {
        let runner = rng.random_range(0..runners);
        let entry = rng.random_range(0..entries);
        let until = at + rng.random_range(300..3_500);
        let modes = [
            Mode::Stall,
            Mode::Truncate,
            Mode::Late,
            Mode::FailFast,
            Mode::NotRun,
        ];
        match rng.random_range(0..13) {
            draw @ 0..5 => {
                plan.push((at, Fault::Mode(runner, modes[draw])));
                plan.push((until, Fault::Mode(runner, Mode::Normal)));
            }
            5 => plan.push((at, Fault::Overannounce(runner))),
            6 => plan.push((at, Fault::SilenceConnections(runner))),
            7 => {
                plan.push((at, Fault::Leave(runner)));
                plan.push((at + rng.random_range(3_500..6_000), Fault::Return(runner)));
            }
            8 => {
                plan.push((at, Fault::Kill(runner)));
                plan.push((until, Fault::Restart(runner)));
            }
            9 => {
                plan.push((at, Fault::PartitionEntries));
                plan.push((until, Fault::HealPartition));
            }
            10 => {
                plan.push((at, Fault::CutControl(entry)));
                plan.push((until, Fault::HealControl(entry)));
            }
            11 => plan.push((at, Fault::Pause(entry, rng.random_range(20..2_500)))),
            _ => plan.push((at, Fault::ChangeRoster(entry))),
        }
        at += rng.random_range(100..1_200);
    }
    plan
}

pub fn apply(sim: &mut Simulation, fault: Fault) {
    match fault {
        Fault::Mode(runner, mode) => sim.runners[runner].mode = mode,
        Fault::Overannounce(runner) => sim.runners[runner].overannounces = true,
        Fault::SilenceConnections(runner) => sim.runners[runner].silence_connections(),
        Fault::Leave(runner) => {
            if sim.runners[runner].leaving_since.is_none() {
                sim.runners[runner].leaving_since = Some(sim.now);
                runner::announce_once(sim, runner);
            }
        }
        Fault::Return(runner) => {
            sim.runners[runner].leaving_since = None;
            runner::announce_once(sim, runner);
        }
        Fault::Kill(runner) => {
            sim.runners[runner].down = true;
            runner::stop(sim, runner);
        }
        Fault::Restart(runner) => {
            sim.runners[runner].down = false;
            sim.runners[runner].incarnation += 1;
            sim.runners[runner].leaving_since = None;
            sim.runners[runner].mode = Mode::Normal;
        }
        Fault::PartitionEntries => {
            sim.partition_end = u64::MAX;
            for (index, entry) in sim.entries.iter_mut().enumerate() {
                entry.partition = (index % 2) as u8;
            }
        }
        Fault::HealPartition => {
            sim.partition_end = sim.now;
            for entry in &mut sim.entries {
                entry.partition = 0;
            }
        }
        Fault::CutControl(entry) => sim.entries[entry].control_cut = true,
        Fault::HealControl(entry) => sim.entries[entry].control_cut = false,
        Fault::Pause(entry, duration_ms) => {
            // A paused entry does not forward announcements, which counts as a partition.
            sim.partition_end = sim.partition_end.max(sim.now + duration_ms);
            let until = &mut sim.entries[entry].paused_until;
            *until = (*until).max(sim.now + duration_ms);
        }
        Fault::ChangeRoster(entry) => change_roster(sim, entry),
    }
}

fn change_roster(sim: &mut Simulation, entry: usize) {
    let mut live = sim.live_entries();
    if sim.roster_pending.is_some() {
        return;
    }
    if !live.remove(&entry) {
        live.insert(entry);
    } else if live.len() < 2 {
        return;
    }
    // An entry that is added or removed gets no requests during the first step; one that is added
    // gets them from the second step on.
    sim.entries[entry].in_roster = false;
    let next = roster(&live.into_iter().collect::<Vec<_>>());
    sim.roster_step += 1;
    let step = sim.roster_step;
    let change = RosterChange {
        current: sim.roster.clone(),
        next: Some(next.clone()),
    };
    sim.roster_pending = Some((next, step));
    distribute(sim, change, step);
    sim.schedule(300, SimEvent::RosterSecondStep);
}

/// Sends a step to all entries with different delays. An entry ignores a step older than its own.
fn distribute(sim: &mut Simulation, change: RosterChange, step: u32) {
    for index in 0..sim.entries.len() {
        let delay_ms = sim.rng.random_range(0..200);
        sim.schedule(delay_ms, SimEvent::Roster(index, step, change.clone()));
    }
}

pub fn roster_step(sim: &mut Simulation, entry: usize, step: u32, change: RosterChange) {
    if sim.entries[entry].roster_step < step {
        sim.entries[entry].roster_step = step;
        sim.deliver(entry, Event::RosterChanged(change));
    }
}

/// Starts the second step once every entry has applied the first and is within its shares. With
/// `two_step_roster` disabled it does not wait for that.
pub fn roster_second_step(sim: &mut Simulation) {
    let step = sim.roster_step;
    let first_step_applied = sim
        .entries
        .iter()
        .all(|entry| entry.router.is_within_shares() && entry.roster_step == step);
    if !first_step_applied && !sim.options.disabled.two_step_roster {
        sim.schedule(200, SimEvent::RosterSecondStep);
        return;
    }
    if let Some((next, _)) = sim.roster_pending.take() {
        for member in &next.entries {
            sim.entries[usize::from(member.id.0)].in_roster = true;
        }
        sim.roster = next.clone();
        sim.roster_step += 1;
        distribute(sim, RosterChange::settled(next), step + 1);
    }
}
