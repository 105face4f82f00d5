//! Random, seeded schedules in which machines go dark and lose disks while the leader chooses the
//! voters. They guard against acknowledged entries that are gone, and against a group that can't
//! elect a leader any more, after no more disks were lost than the settings promise (review case 7).
//!
//! `VOTER_LOSSES_SEEDS` sets the number of seeds, and `VOTER_LOSSES_FIRST` the first one.

#[path = "../../consensus/tests/common/mod.rs"]
mod common;
#[path = "voter_losses/loss_in_the_dark.rs"]
mod loss_in_the_dark;
#[path = "voter_losses/schedule.rs"]
mod schedule;

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use sapphirepost_control::group_size::voters_needed;

use crate::loss_in_the_dark::LossInTheDark;
use crate::schedule::Policy;
use crate::schedule::Schedule;

const SEEDS: u64 = 60;
const FOUNDING_MS: u64 = 6_000;
const FAULTY_MS: u64 = 60_000;

/// Runs the schedule of a seed; returns the number of lost disks.
fn run(seed: u64, fault_tolerance: usize, policy: Policy) -> Result<usize, String> {
    let size = voters_needed(fault_tolerance) + seed as usize / 2 % 3;
    let mut schedule = Schedule::new(seed, size, fault_tolerance, policy);
    for _ in 0..FOUNDING_MS {
        schedule.advance()?;
    }
    if policy == Policy::Promise && !schedule.is_whole(fault_tolerance) {
        return Err("the group isn't whole after the founding".to_owned());
    }
    let changes_settings = seed % 5 == 4;
    for step in 0..FAULTY_MS {
        schedule.advance()?;
        schedule.inject_fault();
        if changes_settings {
            change_settings(&mut schedule, step, fault_tolerance);
        }
    }
    schedule.recover(fault_tolerance)?;
    Ok(schedule.lost_disks)
}

/// Lowers the promise in the settings of one machine after the other, and raises it again. While it
/// is lower anywhere, and until the group has the voters for more, one lost disk is to be borne.
fn change_settings(schedule: &mut Schedule, step: u64, fault_tolerance: usize) {
    let turn = (step / 500) as usize;
    let size = schedule.settings.len();
    let host = turn % size;
    match turn / size {
        1 => schedule.settings[host] = 1,
        3 => schedule.settings[host] = fault_tolerance,
        _ => {}
    }
    let is_promised = schedule.settings.iter().all(|n| *n == fault_tolerance);
    if !is_promised {
        schedule.bearable = 1;
    } else if schedule.is_whole(fault_tolerance) {
        schedule.bearable = fault_tolerance;
    }
}

fn run_caught(seed: u64, fault_tolerance: usize, policy: Policy) -> Result<usize, String> {
    let result = catch_unwind(AssertUnwindSafe(|| run(seed, fault_tolerance, policy)));
    result.unwrap_or_else(|_| Err("panicked".to_owned()))
}

fn from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a number"))
}

fn check(fault_tolerance: usize) {
    let first = from_environment("VOTER_LOSSES_FIRST", 0);
    let seeds = first..first + from_environment("VOTER_LOSSES_SEEDS", SEEDS);
    let mut lost_disks = 0;
    let mut failures = Vec::new();
    for seed in seeds.clone() {
        match run_caught(seed, fault_tolerance, Policy::Promise) {
            Ok(lost) => lost_disks += lost,
            Err(error) => failures.push(format!("seed {seed}: {error}")),
        }
    }
    println!("{} seeds, {lost_disks} lost disks", seeds.count());
    assert!(failures.is_empty(), "{failures:#?}");
    assert!(lost_disks > 0);
}

#[test]
fn a_group_that_promises_one_loss_bears_it() {
    check(1);
}

#[test]
fn a_group_that_promises_two_losses_bears_them() {
    check(2);
}

#[test]
fn a_group_that_promises_three_losses_bears_them() {
    check(3);
}

/// Guards against voters that are removed while they are dark, so that two disks are a majority of
/// the others, whoever leads and whoever returns first.
#[test]
fn two_disks_may_be_lost_while_two_machines_are_dark() {
    let mut failures = Vec::new();
    for case in LossInTheDark::all() {
        if let Err(error) = case.run(Policy::Promise) {
            failures.push(format!("{case:?}: {error}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// The schedules find the fault that they guard against.
#[test]
fn voters_for_one_loss_do_not_bear_two() {
    let failed = (0..SEEDS).filter(|seed| run_caught(*seed, 2, Policy::OneLoss).is_err());
    let failed = failed.count();
    let cases = LossInTheDark::all().into_iter();
    let cases = cases.filter(|case| case.run(Policy::OneLoss).is_err());
    let cases = cases.count();
    println!("{failed} of {SEEDS} seeds fail, and {cases} orders of loss and return");
    assert!(failed > 0 && cases > 0);
}
