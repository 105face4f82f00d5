//! Random, seeded schedules in which the disks of single members are full in turn. They guard
//! against a group that acknowledges no changes, during that or afterwards.

mod common;

use std::collections::BTreeMap;

use rand::Rng;

use sapphirepost_consensus::Faults;
use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::MembershipChange;

use crate::common::Environment;
use crate::common::Sim;
use crate::common::checker::CheckResult;

/// Seeds for each number of voters.
const SEEDS: u64 = 10;
/// The longest time to an acknowledgement of a change while at most one member is disturbed.
const ACK_MAX_MS: u64 = 4_000;
/// The number of disks that are full, one after another.
const TURNS: u32 = 6;
/// A voter that is silent for longer is removed, if the group tolerates more failures without it.
const SILENT_MAX_MS: u64 = 2_500;

/// What happens to a member while its disk is full.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    Nothing,
    Restart,
    Isolated,
    LeadershipTransfer,
}

struct Run {
    sim: Sim,
    /// When a change was last acknowledged.
    acknowledged_ms: u64,
    acknowledged: usize,
    longest_ms: u64,
    removed: u32,
}

impl Run {
    fn new(seed: u64, voters: usize) -> Run {
        let environment = Environment {
            loss_percent: [0, 2][seed as usize % 2],
            duplicate_percent: 1,
            delay_ms: 5,
            sync_ms: [3, 8, 40][seed as usize % 3],
        };
        let mut sim = Sim::new(seed, voters, environment, Faults::default());
        sim.has_group_commit = true;
        sim.snapshot_interval_entries = [0, 20, 50][seed as usize / 2 % 3];
        sim.has_snapshot_reserve = seed / 3 % 2 == 1;
        Run {
            sim,
            acknowledged_ms: 0,
            acknowledged: 0,
            longest_ms: 0,
            removed: 0,
        }
    }

    /// Advances the time; a client proposes and reads at the leader.
    fn advance(&mut self) -> CheckResult {
        let sim = &mut self.sim;
        sim.advance()?;
        if let Some(leader) = sim.leader() {
            if sim.percent(10) {
                let text = format!("command {}", sim.time_ms);
                sim.propose(leader, text)?;
            }
            if sim.percent(10) {
                sim.read(leader)?;
            }
        }
        if sim.time_ms.is_multiple_of(50) {
            self.adjust_members()?;
        }
        self.check_acknowledged()
    }

    fn check_acknowledged(&mut self) -> CheckResult {
        let now_ms = self.sim.time_ms;
        if self.sim.checker.acknowledged > self.acknowledged {
            self.acknowledged = self.sim.checker.acknowledged;
            self.acknowledged_ms = now_ms;
        }
        let waited_ms = now_ms - self.acknowledged_ms;
        self.longest_ms = self.longest_ms.max(waited_ms);
        if waited_ms > ACK_MAX_MS {
            let members = self.describe();
            return Err(format!(
                "no change was acknowledged until {now_ms} ms\n{members}"
            ));
        }
        Ok(())
    }

    fn describe(&self) -> String {
        let hosts = self.sim.hosts.iter().map(|host| match &host.node {
            None => format!("{} is stopped", host.id),
            Some(node) => format!(
                "{} {:?} term {} leader {:?} last {} commit {} full {} voters {:?}",
                host.id,
                node.role(),
                node.term(),
                node.leader(),
                node.last_index(),
                node.commit_index(),
                host.is_disk_full,
                node.membership().voters().collect::<Vec<_>>()
            ),
        });
        hosts.collect::<Vec<_>>().join("\n")
    }

    /// Removes a dead voter, adds members that are missing and promotes live ones, like the leader
    /// of a group whose members join on their own.
    fn adjust_members(&mut self) -> CheckResult {
        let Some(leader) = self.sim.leader() else {
            return Ok(());
        };
        let Some(change) = self.next_change(leader) else {
            return Ok(());
        };
        let is_removal = matches!(change, MembershipChange::Remove { .. });
        let proposed = self.sim.with_node(leader, |node, now| {
            node.propose_membership(now, change).is_ok()
        })?;
        self.removed += u32::from(proposed && is_removal);
        Ok(())
    }

    fn next_change(&self, leader: usize) -> Option<MembershipChange> {
        let node = self.sim.node(leader);
        let members = &node.membership().members;
        let is_live = |id| {
            let silent_ms = node.member_progress(id).and_then(|found| found.silent_ms);
            id == node.id() || silent_ms.is_some_and(|ms| ms <= SILENT_MAX_MS)
        };
        let voters: Vec<_> = node.membership().voters().collect();
        let live_voters = voters.iter().filter(|id| is_live(**id)).count();
        let live = members.keys().filter(|id| is_live(**id)).count();
        let tolerated = |count: usize| live_voters as i64 - (count / 2 + 1) as i64;
        let dead = voters.iter().find(|id| !is_live(**id));
        if let Some(dead) = dead
            && live_voters >= 3
            && tolerated(live_voters) > tolerated(voters.len())
        {
            return Some(MembershipChange::Remove { member: *dead });
        }
        let standby = members
            .iter()
            .find(|(id, member)| member.role != MemberRole::Voter && is_live(**id));
        if let Some((standby, _)) = standby
            && live_voters < live - usize::from(live.is_multiple_of(2))
        {
            return Some(MembershipChange::Promote { member: *standby });
        }
        let mut running = self.sim.hosts.iter().filter(|host| host.node.is_some());
        let missing = running.find(|host| !members.contains_key(&host.id))?;
        Some(MembershipChange::Add {
            member: missing.id,
            address: String::new(),
            promote: false,
        })
    }

    fn run_for(&mut self, ms: u64) -> CheckResult {
        (0..ms).try_for_each(|_| self.advance())
    }

    /// Makes the disk of one member full for a time, and lets something else happen to it.
    fn fill(&mut self, host: usize, beside: Beside) -> CheckResult {
        let full_ms = self.sim.rng.random_range(200..4_500);
        let before_ms = self.sim.rng.random_range(0..=full_ms);
        self.sim.hosts[host].is_disk_full = true;
        self.run_for(before_ms)?;
        match beside {
            Beside::Nothing => {}
            // A start waits for space.
            Beside::Restart => self.sim.crash(host),
            Beside::Isolated => drop(self.sim.isolated.insert(host)),
            Beside::LeadershipTransfer => {
                if let Some(leader) = self.sim.leader() {
                    self.sim
                        .with_node(leader, |node, now| node.transfer_leadership(now).ok())?;
                }
            }
        }
        self.run_for(full_ms - before_ms)?;
        self.sim.hosts[host].is_disk_full = false;
        self.sim.isolated.clear();
        if self.sim.hosts[host].node.is_none() {
            self.sim.start(host);
        }
        let gap_ms = self.sim.rng.random_range(50..800);
        self.run_for(gap_ms)
    }

    /// The last disk has room: a change is acknowledged in time, and all members catch up.
    fn check_recovered(&mut self) -> CheckResult {
        self.acknowledged_ms = self.sim.time_ms;
        let before = self.acknowledged;
        self.run_for(ACK_MAX_MS)?;
        if self.acknowledged == before {
            return Err("no change was acknowledged after the last disk had room".to_owned());
        }
        self.sim.environment.loss_percent = 0;
        self.sim.run(ACK_MAX_MS)?;
        let applied = self.sim.hosts.iter().map(|host| (host.id, host.applied));
        let applied: BTreeMap<_, _> = applied.collect();
        let first = self.sim.hosts[0].applied;
        if applied.values().any(|found| *found != first) {
            return Err(format!("the states differ: {applied:?}"));
        }
        Ok(())
    }
}

fn run(seed: u64, voters: usize) -> Result<Run, String> {
    let mut run = Run::new(seed, voters);
    run.sim.elect();
    run.acknowledged_ms = run.sim.time_ms;
    run.run_for(1_000)?;
    let joining = run.sim.add_host();
    run.sim.start(joining);
    run.run_for(seed % 4 * 40)?;
    for turn in 0..TURNS {
        let hosts = run.sim.hosts.len();
        let any = run.sim.rng.random_range(0..hosts);
        let leader = run.sim.leader().unwrap_or(any);
        let host = match (turn, seed % 2) {
            (0, 0) | (1, 1) | (3, _) => leader,
            (1, 0) | (0, 1) => joining,
            _ => any,
        };
        let beside = match run.sim.rng.random_range(0..6) {
            0 => Beside::Restart,
            1 => Beside::Isolated,
            2 => Beside::LeadershipTransfer,
            _ => Beside::Nothing,
        };
        let failed = |error| format!("turn {turn}, host {host} full, {beside:?}: {error}");
        run.fill(host, beside).map_err(failed)?;
    }
    run.check_recovered()?;
    Ok(run)
}

fn seeds() -> u64 {
    let configured = std::env::var("SAPPHIREPOST_TEST_SEEDS").ok();
    configured.map_or(SEEDS, |text| {
        text.parse().expect("SAPPHIREPOST_TEST_SEEDS is a number")
    })
}

/// Guards against changes that stay unanswered after the disks of members were full, one after
/// another.
#[test]
fn a_group_whose_disks_are_full_in_turn_acknowledges_changes() {
    for voters in 3..=6 {
        let (mut longest_ms, mut snapshots, mut removed, mut terms) = (0, 0, 0, 0);
        let mut saved = 0;
        for seed in 0..seeds() {
            let done = run(seed, voters);
            let done = done.unwrap_or_else(|e| panic!("{voters} voters, seed {seed}: {e}"));
            longest_ms = done.longest_ms.max(longest_ms);
            snapshots += done.sim.snapshots_on_full_disks;
            saved += done.sim.saved_on_full_disks;
            removed += done.removed;
            terms += done.sim.checker.terms_with_leader();
        }
        println!(
            "{voters} voters: longest time to an acknowledgement {longest_ms} ms, \
             {snapshots} snapshots received by full disks, {saved} saved there, \
             {removed} voters removed, {terms} terms"
        );
        assert!(terms > 2 * seeds() as usize, "leaders must have been hit");
        assert!(snapshots > 0, "a full disk must have received a snapshot");
        assert!(
            saved > 0,
            "a full disk must have saved a snapshot of its own"
        );
    }
}

/// Guards against a follower that counts as dead, and is removed, because its disk is full for some
/// seconds, where heartbeats overtake entries.
#[test]
fn a_follower_with_a_full_disk_stays_in_contact() {
    let environment = Environment {
        delay_ms: 10,
        ..Environment::RELIABLE
    };
    for seed in 0..20 {
        let mut sim = Sim::new(seed, 3, environment, Faults::default());
        sim.has_group_commit = true;
        let leader = sim.elect();
        sim.run(500).unwrap();
        let full = (leader + 1) % 3;
        sim.hosts[full].is_disk_full = true;
        let id = sim.hosts[full].id;
        for step in 0..4_000 {
            if step % 5 == 0 {
                assert!(sim.propose(leader, format!("command {step}")).unwrap());
            }
            // Each round of reads sends heartbeats.
            sim.read(leader).unwrap();
            sim.run(1).unwrap();
            let found = sim.node(leader).member_progress(id).unwrap();
            let silent_ms = found.silent_ms.unwrap();
            assert!(
                silent_ms < 500,
                "seed {seed}: silent for {silent_ms} ms at step {step}"
            );
        }
        sim.hosts[full].is_disk_full = false;
        sim.run(ACK_MAX_MS).unwrap();
        assert_eq!(sim.hosts[full].applied, sim.hosts[leader].applied);
    }
}
