//! A simulated group whose machines go dark and lose disks, and whose leader chooses the voters.

use rand::Rng;

use sapphirepost_consensus::Faults;
use sapphirepost_consensus::Member;
use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::MembershipChange;
use sapphirepost_consensus::Node;
use sapphirepost_control::group_size::EvenTimer;
use sapphirepost_control::group_size::MemberView;
use sapphirepost_control::group_size::is_even;
use sapphirepost_control::group_size::next_change;
use sapphirepost_control::group_size::voters_needed;
use sapphirepost_control::join_step::JoinStep;
use sapphirepost_control::join_step::join_step;
use sapphirepost_types::MemberId;

use crate::common::Environment;
use crate::common::Sim;

const FOUNDERS: usize = 3;
/// Time after the return of all machines within which the group has to be whole again.
const RECOVERY_MS: u64 = 15_000;
/// A machine with a new disk counts as lost until it has been back for this long.
const CATCH_UP_MS: u64 = 4_000;
const SILENT_MAX_MS: u64 = 2_500;
const ELECTION_TIMEOUT_MS: u64 = 250;
const ADJUST_INTERVAL_MS: u64 = 50;
/// How many notes the message of a failed test has.
const NOTES_SHOWN: usize = 60;

/// How a leader chooses the voters.
#[derive(Clone, Copy, PartialEq)]
pub enum Policy {
    /// As the settings promise.
    Promise,
    /// As if only one loss were promised, like the code before the fix.
    OneLoss,
}

/// What the platform does to one machine.
#[derive(Clone, Copy, Default)]
struct Machine {
    /// When a machine without power gets it back.
    back_at_ms: Option<u64>,
    /// For how long a machine with a new disk has been back; `None` for one that counts as sound.
    replaced_for_ms: Option<u64>,
}

pub struct Schedule {
    sim: Sim,
    machines: Vec<Machine>,
    /// The promise in the settings of each machine.
    pub settings: Vec<usize>,
    /// The number of lost disks that the group has to bear now.
    pub bearable: usize,
    policy: Policy,
    /// Lower values cause more faults.
    fault_interval: u32,
    even_timers: Vec<EvenTimer>,
    /// Disks that will be lost, with the time.
    planned_losses: Vec<(u64, usize)>,
    pub lost_disks: usize,
    /// What has happened, for the message of a failed test.
    notes: Vec<String>,
}

impl Schedule {
    pub fn new(seed: u64, size: usize, fault_tolerance: usize, policy: Policy) -> Schedule {
        let environment = Environment {
            loss_percent: 1,
            duplicate_percent: 1,
            delay_ms: 5,
            sync_ms: 8,
        };
        let mut sim = Sim::new(seed, FOUNDERS.min(size), environment, Faults::default());
        sim.snapshot_interval_entries = [0, 20][seed as usize % 2];
        while sim.hosts.len() < size {
            let host = sim.add_host();
            sim.start(host);
        }
        Schedule {
            sim,
            machines: vec![Machine::default(); size],
            settings: vec![fault_tolerance; size],
            bearable: fault_tolerance,
            policy,
            fault_interval: [50_000, 200_000, 600_000][seed as usize % 3],
            even_timers: vec![EvenTimer::default(); size],
            planned_losses: Vec::new(),
            lost_disks: 0,
            notes: Vec::new(),
        }
    }

    fn note(&mut self, text: String) {
        self.notes.push(format!("{} ms: {text}", self.sim.time_ms));
    }

    pub fn advance(&mut self) -> Result<(), String> {
        self.sim.advance()?;
        self.return_machines();
        self.lose_planned_disks();
        self.count_repairs();
        if self.sim.time_ms.is_multiple_of(ADJUST_INTERVAL_MS) {
            self.adjust_voters()?;
            let host = self.sim.rng.random_range(0..self.machines.len());
            if self.sim.hosts[host].node.is_some() {
                let text = format!("command {}", self.sim.time_ms);
                self.sim.propose(host, text)?;
            }
        }
        Ok(())
    }

    /// What the leader does about the voters, and what the processes without a vote ask of it.
    fn adjust_voters(&mut self) -> Result<(), String> {
        let Some(leader) = self.sim.leader() else {
            return Ok(());
        };
        if self.sim.isolated.contains(&leader) {
            return Ok(());
        }
        let members = self.member_views(leader);
        let fault_tolerance = match self.policy {
            Policy::Promise => self.settings[leader],
            Policy::OneLoss => 1,
        };
        let term = self.sim.node(leader).term();
        let is_even = is_even(&members, fault_tolerance);
        let now = self.sim.now(leader);
        let even_ms = self.even_timers[leader].update(is_even, term, now);
        let change = self
            .join_request(leader)
            .or_else(|| next_change(&members, fault_tolerance, even_ms));
        if let Some(change) = change {
            let text = format!("{} proposes {change:?}", self.sim.hosts[leader].id);
            let proposed = self.sim.with_node(leader, |node, now| {
                node.propose_membership(now, change).is_ok()
            })?;
            if proposed {
                self.note(text);
            }
        }
        Ok(())
    }

    fn silent_ms(&self, leader: usize, id: MemberId) -> u64 {
        let progress = self.sim.node(leader).member_progress(id);
        progress
            .and_then(|progress| progress.silent_ms)
            .unwrap_or(0)
    }

    fn member_views(&self, leader: usize) -> Vec<MemberView> {
        let node = self.sim.node(leader);
        let members = node.membership().members.iter();
        let matched = |id| node.member_progress(id).map_or(0, |found| found.matched);
        let view = |(id, member): (&MemberId, &Member)| MemberView {
            id: *id,
            is_caught_up: matched(*id) >= node.commit_index(),
            is_voter: member.role == MemberRole::Voter,
            is_live: self.silent_ms(leader, *id) <= SILENT_MAX_MS,
            is_self: *id == node.id(),
        };
        members.map(view).collect()
    }

    /// The change for the first process that asks to join and is not a member yet.
    fn join_request(&self, leader: usize) -> Option<MembershipChange> {
        let membership = self.sim.node(leader).membership();
        let hosts = self.sim.hosts.iter().enumerate();
        hosts
            .filter(|(host, found)| found.node.is_some() && !self.sim.isolated.contains(host))
            .find_map(|(host, found)| {
                let address = format!("host{}", host + 1);
                let is_silent = |id| self.silent_ms(leader, id) >= ELECTION_TIMEOUT_MS;
                match join_step(membership, found.id, &address, is_silent) {
                    JoinStep::Change(change) => Some(change),
                    JoinStep::Known { .. } | JoinStep::Wait => None,
                }
            })
    }

    pub fn cut_power(&mut self, host: usize, for_ms: u64) {
        self.note(format!("{host} is dark for {for_ms} ms"));
        if self.sim.hosts[host].node.is_some() {
            self.sim.crash(host);
        }
        let back_at_ms = self.sim.time_ms + for_ms;
        let machine = &mut self.machines[host];
        machine.back_at_ms = machine.back_at_ms.max(Some(back_at_ms));
    }

    /// Replaces the disk of a machine, if no more are lost than the group has to bear.
    fn lose_disk(&mut self, host: usize) {
        let machines = self.machines.iter();
        let lost = machines.filter(|machine| machine.replaced_for_ms.is_some());
        let is_lost = self.machines[host].replaced_for_ms.is_some();
        if !is_lost && lost.count() >= self.bearable {
            return;
        }
        let for_ms = self.sim.rng.random_range(300..3_000);
        self.cut_power(host, for_ms);
        self.replace_disk(host);
    }

    pub fn replace_disk(&mut self, host: usize) {
        self.sim.lose_disk(host);
        let id = self.sim.hosts[host].id;
        self.note(format!("{host} has a new disk, as {id}"));
        self.machines[host].replaced_for_ms = Some(0);
        self.lost_disks += 1;
    }

    fn lose_planned_disks(&mut self) {
        let now_ms = self.sim.time_ms;
        let planned = std::mem::take(&mut self.planned_losses);
        let (due, later) = planned.into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.planned_losses = later;
        let due: Vec<(u64, usize)> = due;
        due.into_iter().for_each(|(_, host)| self.lose_disk(host));
    }

    /// As many machines as the group has to bear go dark, and while they are, others lose their
    /// disks.
    fn lose_disks_in_the_dark(&mut self, host: usize) {
        let size = self.machines.len();
        let for_ms = self.sim.rng.random_range(4_000..9_000);
        let lost_at_ms = self.sim.time_ms + self.sim.rng.random_range(0..for_ms);
        for next in 0..self.bearable {
            self.cut_power((host + next) % size, for_ms);
            let other = (host + self.bearable + next) % size;
            self.planned_losses.push((lost_at_ms, other));
        }
    }

    fn return_machines(&mut self) {
        for host in 0..self.machines.len() {
            let due = self.machines[host].back_at_ms;
            if due.is_some_and(|due| due <= self.sim.time_ms) {
                self.machines[host].back_at_ms = None;
                self.sim.start(host);
            }
        }
    }

    fn is_reachable(&self, host: usize) -> bool {
        self.machines[host].back_at_ms.is_none()
            && !self.sim.isolated.contains(&host)
            && self.sim.hosts[host].paused_until_ms <= self.sim.time_ms
    }

    /// A new disk counts as lost until its machine has been back for some time in which the group
    /// could work, since no more machines were lost than it has to bear.
    fn count_repairs(&mut self) {
        let hosts = 0..self.machines.len();
        let is_reachable: Vec<bool> = hosts.map(|host| self.is_reachable(host)).collect();
        let lost = self.machines.iter().zip(&is_reachable);
        let lost = lost
            .filter(|(machine, is_reachable)| machine.replaced_for_ms.is_some() || !**is_reachable);
        let can_work = lost.count() <= self.bearable;
        for (machine, is_reachable) in self.machines.iter_mut().zip(is_reachable) {
            let Some(for_ms) = machine.replaced_for_ms else {
                continue;
            };
            let for_ms = if is_reachable && can_work {
                for_ms + 1
            } else {
                0
            };
            machine.replaced_for_ms = (for_ms < CATCH_UP_MS).then_some(for_ms);
        }
    }

    pub fn inject_fault(&mut self) {
        let size = self.machines.len();
        let host = self.sim.rng.random_range(0..size);
        match self.sim.rng.random_range(0..self.fault_interval) {
            0..3 => {
                // Some machines go dark, however many the settings allow.
                let count = self.sim.rng.random_range(1..=size);
                let for_ms = self.sim.rng.random_range(500..9_000);
                for next in 0..count {
                    self.cut_power((host + next) % size, for_ms);
                }
            }
            3..10 => {
                let count = self.sim.rng.random_range(1..=self.bearable);
                let for_ms = self.sim.rng.random_range(500..9_000);
                for next in 0..count {
                    self.cut_power((host + next) % size, for_ms);
                }
            }
            10..17 => {
                let count = self.sim.rng.random_range(1..=self.bearable);
                for next in 0..count {
                    self.lose_disk((host + next * 2) % size);
                }
            }
            17..19 if self.sim.isolated.is_empty() => {
                self.sim.isolated.insert(host);
                self.note(format!("{host} is cut off"));
            }
            19..24 if !self.sim.isolated.is_empty() => {
                self.sim.isolated.clear();
                self.note("the cut ends".to_owned());
            }
            24..44 => self.lose_disks_in_the_dark(host),
            44..46 => {
                let for_ms = self.sim.rng.random_range(10..3_000);
                self.sim.hosts[host].paused_until_ms = self.sim.time_ms + for_ms;
                self.note(format!("{host} is paused for {for_ms} ms"));
            }
            _ => {}
        }
    }

    /// Whether a leader has the voters that the promise needs, all of them with the disks that the
    /// machines have now.
    pub fn is_whole(&self, fault_tolerance: usize) -> bool {
        let leader = self.sim.leader();
        leader.is_some_and(|leader| {
            let node = self.sim.node(leader);
            let membership = node.membership();
            let voters = || membership.voters();
            let needed = voters_needed(fault_tolerance).min(self.machines.len());
            node.has_committed_in_current_term()
                && node.membership_at(node.commit_index()) == membership
                && voters().all(|id| self.sim.host_of(id).is_some())
                && voters().count() >= needed
        })
    }

    /// The state of each node, for the message of a failed test.
    fn describe(&self) -> String {
        let nodes = self.sim.hosts.iter().filter_map(|host| host.node.as_ref());
        let describe = |node: &Node| {
            let voters: Vec<MemberId> = node.membership().voters().collect();
            let (id, role, term) = (node.id(), node.role(), node.term());
            let (last, commit) = (node.last_index(), node.commit_index());
            format!("\n{id} {role:?} term={term} commit={commit} last={last} voters={voters:?}")
        };
        let states: String = nodes.map(describe).collect();
        let from = self.notes.len().saturating_sub(NOTES_SHOWN);
        format!("{states}\n{}", self.notes[from..].join("\n"))
    }

    /// All machines are back. The group must then be whole again, with everything acknowledged.
    pub fn recover(&mut self, fault_tolerance: usize) -> Result<(), String> {
        self.sim.isolated.clear();
        for host in 0..self.machines.len() {
            self.sim.hosts[host].paused_until_ms = 0;
            self.machines[host].back_at_ms = None;
            if self.sim.hosts[host].node.is_none() {
                self.sim.start(host);
            }
        }
        for _ in 0..RECOVERY_MS {
            self.advance()?;
            if self.is_whole(fault_tolerance) {
                break;
            }
        }
        if !self.is_whole(fault_tolerance) {
            let state = self.describe();
            return Err(format!(
                "the group isn't whole after all machines are back: {state}"
            ));
        }
        let before = self.sim.checker.acknowledged;
        for _ in 0..2_000 {
            self.advance()?;
            if let Some(leader) = self.sim.leader() {
                self.sim.propose(leader, "last".to_owned())?;
            }
        }
        if self.sim.checker.acknowledged == before {
            return Err("nothing is acknowledged after all machines are back".to_owned());
        }
        Ok(())
    }
}
