//! Recovery: the time from the kill of the leader to the next confirmed intent.
//!
//! After each kill the configuration must contain exactly the changes that were confirmed. The
//! baseline kills a follower instead.

use std::collections::BTreeMap;
use std::time::Instant;

use argh::FromArgs;
use hdrhistogram::Histogram;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_types::ConfigVersion;
use sapphirepost_types::Intent;
use sapphirepost_types::Name;

use crate::group::processes::Group;
use crate::report::Report;

const GROUP_SIZE: usize = 3;
const KILLS: usize = 20;
const KILLS_QUICK: usize = 6;
const RECOVERY_TARGET_MS: f64 = 1_500.0;

/// Kills of the leader.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
pub struct Arguments {
    /// seed, reported only: the times depend on the processes
    #[argh(option, default = "1")]
    seed: u64,
    /// fewer kills
    #[argh(switch)]
    quick: bool,
}

/// The configuration changes that were confirmed, and counts of violations.
#[derive(Default)]
struct AcceptedChanges {
    values: BTreeMap<Name, String>,
    /// The highest confirmed version.
    version: ConfigVersion,
    /// Confirmed values that were missing, summed over the checks.
    lost: u64,
    /// Versions beyond the number of changes, summed over the checks.
    repeated: u64,
    /// Checks that saw a version lower than a confirmed one.
    reverted: u64,
}

/// Kills the leader repeatedly, then a follower as the baseline.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let mut report = Report::new("recovery", arguments.seed);
    let kills = if arguments.quick { KILLS_QUICK } else { KILLS };
    let mut group = Group::start(GROUP_SIZE)?;
    let mut accepted = AcceptedChanges::default();
    let leaders = kill_members(&mut group, kills, &mut accepted, |leader| leader)?;
    let followers = kill_members(&mut group, kills, &mut accepted, |leader| {
        (leader + 1) % GROUP_SIZE
    })?;
    report.metric("kills", kills as f64);
    report.metric("confirmed_after_kill_p50_ms", quantile_ms(&leaders, 0.5));
    report.metric("confirmed_after_kill_max_ms", quantile_ms(&leaders, 1.0));
    report.baseline("follower_kill_p50_ms", quantile_ms(&followers, 0.5));
    report.baseline("follower_kill_p99_ms", quantile_ms(&followers, 0.99));
    let p99_ms = quantile_ms(&leaders, 0.99);
    report.at_most("confirmed_after_kill_p99_ms", p99_ms, RECOVERY_TARGET_MS);
    report.at_most("accepted_lost", accepted.lost as f64, 0.0);
    report.at_most("accepted_repeated", accepted.repeated as f64, 0.0);
    report.at_most("accepted_reverted", accepted.reverted as f64, 0.0);
    Ok(report)
}

/// Kills and restarts the member that `victim` chooses by the index of the leader, and records the
/// times from the kill to the next confirmed change.
fn kill_members(
    group: &mut Group,
    kills: usize,
    accepted: &mut AcceptedChanges,
    victim: impl Fn(usize) -> usize,
) -> anyhow::Result<Histogram<u64>> {
    let mut times_us = Histogram::new(3)?;
    for _ in 0..kills {
        accepted.change(group)?;
        let index = victim(group.leader()?);
        group.kill(index)?;
        let start = Instant::now();
        accepted.change(group)?;
        times_us.record(start.elapsed().as_micros() as u64)?;
        accepted.count_violations(group)?;
        group.restart(index)?;
        group.wait_for_member(index)?;
    }
    Ok(times_us)
}

fn quantile_ms(times_us: &Histogram<u64>, quantile: f64) -> f64 {
    times_us.value_at_quantile(quantile) as f64 / 1_000.0
}

impl AcceptedChanges {
    /// Sets a new key of the configuration and waits until the change is confirmed.
    fn change(&mut self, group: &mut Group) -> anyhow::Result<()> {
        let number = self.values.len();
        let key = Name::new(&format!("key{number}"))?;
        let value = format!("value{number}");
        let confirmed = group.confirm(Intent::SetConfig {
            key: key.clone(),
            value: Some(value.clone()),
            expected: None,
        })?;
        if let Some(version) = confirmed.config_version {
            self.version = self.version.max(version);
        }
        self.values.insert(key, value);
        Ok(())
    }

    /// Counts changes that are missing or were applied twice, and whether the version went back.
    fn count_violations(&mut self, group: &Group) -> anyhow::Result<()> {
        let reply = group.request(&OperatorRequest::GetConfig)?;
        let OperatorReply::Config { version, values } = reply else {
            anyhow::bail!("no configuration: {reply:?}");
        };
        let missing = self
            .values
            .iter()
            .filter(|(key, value)| values.get(*key) != Some(*value));
        self.lost += missing.count() as u64;
        self.repeated += version.0.saturating_sub(self.values.len() as u64);
        self.reverted += u64::from(version < self.version);
        Ok(())
    }
}
