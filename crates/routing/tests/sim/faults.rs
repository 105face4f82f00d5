//! Faults of a simulated run.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_routing::Event;
use sapphirepost_routing::RosterChange;

use super::Ev;
use super::World;
use super::roster;
use super::runner;
use super::runner::Mode;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Mode(usize, Mode),
    Lie(usize),
    Silence(usize),
    Leave(usize),
    Return(usize),
    Kill(usize),
    Restart(usize),
    /// Entries with an odd index lose contact to the others.
    CutEntries,
    HealEntries,
    CutControl(usize),
    HealControl(usize),
    Pause(usize, u64),
    /// Removes an entry from the roster, or adds it again, in two steps.
    ChangeRoster(usize),
}

/// Faults at random times. The last part of the run is free of them.
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
            Mode::Cut,
            Mode::Late,
            Mode::FailFast,
            Mode::NotRun,
        ];
        match rng.random_range(0..13) {
            draw @ 0..5 => {
                plan.push((at, Fault::Mode(runner, modes[draw])));
                plan.push((until, Fault::Mode(runner, Mode::Normal)));
            }
            5 => plan.push((at, Fault::Lie(runner))),
            6 => plan.push((at, Fault::Silence(runner))),
            7 => {
                plan.push((at, Fault::Leave(runner)));
                plan.push((at + rng.random_range(3_500..6_000), Fault::Return(runner)));
            }
            8 => {
                plan.push((at, Fault::Kill(runner)));
                plan.push((until, Fault::Restart(runner)));
            }
            9 => {
                plan.push((at, Fault::CutEntries));
                plan.push((until, Fault::HealEntries));
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

pub fn apply(world: &mut World, fault: Fault) {
    match fault {
        Fault::Mode(runner, mode) => world.runners[runner].mode = mode,
        Fault::Lie(runner) => world.runners[runner].lies = true,
        Fault::Silence(runner) => world.runners[runner].silence(),
        Fault::Leave(runner) => {
            if world.runners[runner].leaving_since.is_none() {
                world.runners[runner].leaving_since = Some(world.now);
                runner::announce_once(world, runner);
            }
        }
        Fault::Return(runner) => {
            world.runners[runner].leaving_since = None;
            runner::announce_once(world, runner);
        }
        Fault::Kill(runner) => {
            world.runners[runner].down = true;
            runner::stop(world, runner);
        }
        Fault::Restart(runner) => {
            world.runners[runner].down = false;
            world.runners[runner].incarnation += 1;
            world.runners[runner].leaving_since = None;
            world.runners[runner].mode = Mode::Normal;
        }
        Fault::CutEntries => {
            world.last_cut = u64::MAX;
            for (index, entry) in world.entries.iter_mut().enumerate() {
                entry.side = (index % 2) as u8;
            }
        }
        Fault::HealEntries => {
            world.last_cut = world.now;
            for entry in &mut world.entries {
                entry.side = 0;
            }
        }
        Fault::CutControl(entry) => world.entries[entry].control_cut = true,
        Fault::HealControl(entry) => world.entries[entry].control_cut = false,
        Fault::Pause(entry, duration_ms) => {
            // A paused entry does not pass news on, which counts as a cut.
            world.last_cut = world.last_cut.max(world.now + duration_ms);
            let until = &mut world.entries[entry].paused_until;
            *until = (*until).max(world.now + duration_ms);
        }
        Fault::ChangeRoster(entry) => change_roster(world, entry),
    }
}

fn change_roster(world: &mut World, entry: usize) {
    let mut live = world.live_entries();
    if world.roster_pending.is_some() {
        return;
    }
    if !live.remove(&entry) {
        live.insert(entry);
    } else if live.len() < 2 {
        return;
    }
    // An entry that is added gets requests from the second step on.
    world.entries[entry].in_roster = false;
    let next = roster(&live.into_iter().collect::<Vec<_>>());
    world.roster_step += 1;
    let step = world.roster_step;
    let change = RosterChange {
        current: world.roster.clone(),
        next: Some(next.clone()),
    };
    world.roster_pending = Some((next, step));
    distribute(world, change, step);
    world.after(300, Ev::RosterSecondStep);
}

/// Entries learn of a step at different times, and never go back to an earlier one.
fn distribute(world: &mut World, change: RosterChange, step: u32) {
    for index in 0..world.entries.len() {
        let delay = world.rng.random_range(0..200);
        world.after(delay, Ev::Roster(index, step, change.clone()));
    }
}

pub fn roster_step(world: &mut World, entry: usize, step: u32, change: RosterChange) {
    if world.entries[entry].roster_step < step {
        world.entries[entry].roster_step = step;
        world.deliver(entry, Event::RosterChanged(change));
    }
}

/// The second step follows once every entry has applied the first one and is within its shares.
pub fn roster_second_step(world: &mut World) {
    let step = world.roster_step;
    let settled = world
        .entries
        .iter()
        .all(|entry| entry.router.is_within_shares() && entry.roster_step == step);
    if !settled && !world.options.without.two_step_roster {
        world.after(200, Ev::RosterSecondStep);
        return;
    }
    if let Some((next, _)) = world.roster_pending.take() {
        for member in &next.entries {
            world.entries[usize::from(member.id.0)].in_roster = true;
        }
        world.roster = next.clone();
        world.roster_step += 1;
        distribute(world, RosterChange::settled(next), step + 1);
    }
}
