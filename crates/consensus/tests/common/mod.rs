//! A simulated group: nodes with a `MemoryStore` each, a network and clocks, all driven by one seed.

#![allow(dead_code)] // Each test binary uses only a part of this module.

pub mod checker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use sapphirepost_consensus::Config;
use sapphirepost_consensus::Faults;
use sapphirepost_consensus::GroupId;
use sapphirepost_consensus::Index;
use sapphirepost_consensus::MemberRole;
use sapphirepost_consensus::Membership;
use sapphirepost_consensus::MembershipChange;
use sapphirepost_consensus::Message;
use sapphirepost_consensus::Node;
use sapphirepost_consensus::OutgoingMessage;
use sapphirepost_consensus::Persisted;
use sapphirepost_consensus::PersistentState;
use sapphirepost_consensus::Ready;
use sapphirepost_consensus::Role;
use sapphirepost_consensus::Snapshot;
use sapphirepost_consensus::SnapshotMeta;
use sapphirepost_consensus::Term;
use sapphirepost_storage::LogStore;
use sapphirepost_storage::MemoryStore;
use sapphirepost_types::MemberId;
use sapphirepost_types::Millis;

use self::checker::AppliedState;
use self::checker::CheckResult;
use self::checker::Checker;

const GROUP: GroupId = GroupId(77);

/// How the network and the disks behave.
#[derive(Clone, Copy)]
pub struct Environment {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay_ms: u64,
    pub sync_ms: u64,
}

impl Environment {
    pub const RELIABLE: Environment = Environment {
        loss_percent: 0,
        duplicate_percent: 0,
        delay_ms: 1,
        sync_ms: 1,
    };
}

/// A `Ready` value that the storage of a host has to write and sync.
struct StorageJob {
    /// [`Ready::number`] of the value.
    number: u64,
    ready: Ready,
    is_written: bool,
    /// Simulated time at which the next step, write or sync, completes.
    due_ms: u64,
}

pub struct Host {
    pub id: MemberId,
    pub store: MemoryStore,
    pub node: Option<Node>,
    pub applied: AppliedState,
    /// Simulated time until which the process is paused.
    pub paused_until_ms: u64,
    /// Whether the storage is paused, so that nothing is written or synced.
    pub is_storage_paused: bool,
    /// Whether the disk takes no records and no snapshots.
    pub is_disk_full: bool,
    /// Whether the node knows that the disk is full.
    is_full_reported: bool,
    clock_rate_percent: u64,
    clock_offset_ms: u64,
    jobs: VecDeque<StorageJob>,
    /// Terms of the proposals whose outcome is not known yet, by index.
    proposals: BTreeMap<Index, Term>,
    /// [`Checker::known_index`] at the start of each read in progress, by token.
    reads: BTreeMap<u64, Index>,
}

pub struct Sim {
    /// Simulated time; the clocks of the hosts differ from it in rate and offset.
    pub time_ms: u64,
    pub rng: Pcg64Mcg,
    pub hosts: Vec<Host>,
    pub environment: Environment,
    pub faults: Faults,
    pub checker: Checker,
    /// Hosts that cannot exchange messages with any other.
    pub isolated: BTreeSet<usize>,
    /// Directed links (sender, receiver) that lose all messages.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Whether a host that lost its disk keeps its identity. Disables a safety mechanism.
    pub reuses_identity: bool,
    /// Whether the records that are queued when a disk is idle share a sync.
    pub has_group_commit: bool,
    /// Number of snapshots that members have received while their disks were full.
    pub snapshots_on_full_disks: u32,
    /// Number of entries after which a member saves a snapshot; 0 for never.
    pub snapshot_interval_entries: u64,
    /// Whether a full disk has room for a member's own snapshots, which then pass what waits.
    pub has_snapshot_reserve: bool,
    /// Number of snapshots that members have saved while their disks were full.
    pub saved_on_full_disks: u32,
    /// Messages in transit by delivery time and sequence number, each with the sending host, the IDs of
    /// sender and receiver, and the message.
    network: BTreeMap<(u64, u64), (usize, MemberId, Message, MemberId)>,
    sequence: u64,
}

impl Sim {
    pub fn new(seed: u64, voters: usize, environment: Environment, faults: Faults) -> Sim {
        let mut sim = Sim {
            time_ms: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            hosts: Vec::new(),
            environment,
            faults,
            checker: Checker::default(),
            isolated: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            reuses_identity: false,
            has_group_commit: false,
            snapshots_on_full_disks: 0,
            snapshot_interval_entries: 0,
            has_snapshot_reserve: false,
            saved_on_full_disks: 0,
            network: BTreeMap::new(),
            sequence: 0,
        };
        let ids = (1..=voters as u64).map(|id| (MemberId(id), format!("host{id}")));
        let membership = Membership::of_voters(ids);
        for _ in 0..voters {
            let host = sim.add_host();
            let store = &mut sim.hosts[host].store;
            store
                .append(&PersistentState::bootstrap_records(
                    GROUP,
                    membership.clone(),
                ))
                .unwrap();
            store.sync().unwrap();
            sim.start(host);
        }
        sim
    }

    /// Adds a host with an empty disk, without starting it.
    pub fn add_host(&mut self) -> usize {
        let is_reliable = self.environment.delay_ms <= 1;
        self.hosts.push(Host {
            id: MemberId(self.hosts.len() as u64 + 1),
            store: MemoryStore::new(),
            node: None,
            applied: AppliedState::default(),
            paused_until_ms: 0,
            is_storage_paused: false,
            is_disk_full: false,
            is_full_reported: false,
            clock_rate_percent: if is_reliable {
                100
            } else {
                self.rng.random_range(95..=105)
            },
            clock_offset_ms: if is_reliable {
                0
            } else {
                self.rng.random_range(0..1_000_000)
            },
            jobs: VecDeque::new(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
        });
        self.hosts.len() - 1
    }

    pub fn start(&mut self, host: usize) {
        let now = self.now(host);
        let seed = self.rng.random();
        let found = &mut self.hosts[host];
        let restored = found.store.restore().unwrap();
        found.applied = restored
            .snapshot
            .as_ref()
            .map_or(AppliedState::default(), decode_snapshot);
        let mut config = Config::new(found.id, seed);
        config.faults = self.faults;
        config.max_batch_bytes = 300;
        config.max_inflight_messages = 4;
        config.snapshot_chunk_bytes = 5;
        config.max_committed_bytes = 150;
        config.trailing_entries = 3;
        found.node = Some(Node::new(config, restored, now));
    }

    /// Crashes a host; a random number of its first unsynced records survives.
    pub fn crash(&mut self, host: usize) {
        let surviving = self.rng.random_range(0..=self.hosts[host].store.unsynced());
        self.crash_with_surviving_records(host, surviving);
    }

    pub fn crash_with_surviving_records(&mut self, host: usize, surviving: usize) {
        let found = &mut self.hosts[host];
        found.store.crash(surviving);
        found.node = None;
        found.is_full_reported = false;
        found.jobs.clear();
        found.proposals.clear();
        found.reads.clear();
    }

    /// Replaces the disk of a stopped host with an empty one.
    pub fn lose_disk(&mut self, host: usize) {
        let fresh = self.hosts.iter().map(|other| other.id.0).max().unwrap() + 1;
        let found = &mut self.hosts[host];
        found.store = MemoryStore::new();
        if !self.reuses_identity {
            found.id = MemberId(fresh);
        }
    }

    pub fn now(&self, host: usize) -> Millis {
        let found = &self.hosts[host];
        Millis(found.clock_offset_ms + self.time_ms * found.clock_rate_percent / 100)
    }

    pub fn stop_clock(&mut self, host: usize) {
        let now = self.now(host).0;
        let found = &mut self.hosts[host];
        (found.clock_offset_ms, found.clock_rate_percent) = (now, 0);
    }

    pub fn node(&self, host: usize) -> &Node {
        self.hosts[host].node.as_ref().expect("host is stopped")
    }

    pub fn host_of(&self, id: MemberId) -> Option<usize> {
        self.hosts.iter().position(|host| host.id == id)
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let nodes = self
            .hosts
            .iter()
            .enumerate()
            .filter_map(|(i, host)| Some((i, host.node.as_ref()?)));
        let leaders = nodes.filter(|(_, node)| node.role() == Role::Leader);
        leaders.max_by_key(|(_, node)| node.term()).map(|(i, _)| i)
    }

    /// Passes an input to a node and handles the node's output.
    pub fn with_node<T>(
        &mut self,
        host: usize,
        input: impl FnOnce(&mut Node, Millis) -> T,
    ) -> Result<T, String> {
        let now = self.now(host);
        let node = self.hosts[host].node.as_mut().expect("host is stopped");
        let result = input(node, now);
        self.process_ready(host)?;
        Ok(result)
    }

    pub fn propose(&mut self, host: usize, text: String) -> Result<bool, String> {
        let proposed = self.call_node(host, |node, now| {
            node.propose(now, Bytes::from(text))
                .ok()
                .map(|index| (index, node.term()))
        });
        if let Some((index, term)) = proposed {
            self.hosts[host].proposals.insert(index, term);
        }
        self.process_ready(host)?;
        Ok(proposed.is_some())
    }

    pub fn read(&mut self, host: usize) -> CheckResult {
        self.sequence += 1;
        let (token, known) = (self.sequence, self.checker.known_index);
        self.hosts[host].reads.insert(token, known);
        self.with_node(host, |node, now| node.read_index(now, token).ok())?;
        Ok(())
    }

    fn call_node<T>(&mut self, host: usize, input: impl FnOnce(&mut Node, Millis) -> T) -> T {
        let now = self.now(host);
        input(
            self.hosts[host].node.as_mut().expect("host is stopped"),
            now,
        )
    }

    fn process_ready(&mut self, host: usize) -> CheckResult {
        let Some(node) = self.hosts[host].node.as_mut() else {
            return Ok(());
        };
        let mut ready = node.ready();
        let term = node.term();
        if node.role() == Role::Leader {
            self.checker.check_leader(node)?;
        }
        self.send(host, std::mem::take(&mut ready.messages));
        let found = &mut self.hosts[host];
        if let Some(snapshot) = &ready.snapshot {
            self.snapshots_on_full_disks += u32::from(found.is_disk_full);
            let before = found.applied.index;
            found.applied = decode_snapshot(snapshot);
            self.checker.check_state(found.id, before, found.applied)?;
        }
        for entry in std::mem::take(&mut ready.committed) {
            self.checker.check_commit(found.id, term, &entry)?;
            let before = found.applied.index;
            found.applied.apply(&entry);
            self.checker.check_state(found.id, before, found.applied)?;
            if found.proposals.remove(&entry.index) == Some(entry.term) {
                self.checker.acknowledge(entry.index);
            }
        }
        for read in &ready.reads {
            assert!(found.applied.index >= read.index);
            let known = found.reads.remove(&read.token).unwrap();
            self.checker.check_read(known, found.applied.index)?;
        }
        if ready
            .role_change
            .is_some_and(|change| change.role != Role::Leader)
        {
            found.proposals.clear();
            found.reads.clear();
        }
        if ready.needs_storage() {
            let due_ms = self.time_ms + self.rng.random_range(0..=self.environment.sync_ms);
            found.jobs.push_back(StorageJob {
                number: ready.number,
                ready,
                is_written: false,
                due_ms,
            });
        }
        self.save_snapshot(host);
        Ok(())
    }

    /// Lets a host apply more of its committed entries, which its node returns in parts.
    fn process_remaining_commits(&mut self, host: usize) -> CheckResult {
        let found = &self.hosts[host];
        let committed = found.node.as_ref().map_or(0, Node::commit_index);
        if found.applied.index < committed {
            self.process_ready(host)?;
        }
        Ok(())
    }

    fn save_snapshot(&mut self, host: usize) {
        let found = &mut self.hosts[host];
        let Some(node) = found.node.as_mut() else {
            return;
        };
        let (index, interval) = (found.applied.index, self.snapshot_interval_entries);
        // A received snapshot is stored before later ones, unless it waits for room.
        let is_busy = found.jobs.iter().any(|job| job.ready.snapshot.is_some());
        let may_save = if found.is_disk_full {
            self.has_snapshot_reserve
        } else {
            !is_busy
        };
        if interval == 0 || !may_save || index % interval != 0 {
            return;
        }
        self.saved_on_full_disks += u32::from(found.is_disk_full);
        let Some(term) = node.term_at(index) else {
            return;
        };
        let meta = SnapshotMeta {
            index,
            term,
            membership: node.membership_at(index).clone(),
        };
        let text = format!("{} {}", found.applied.index, found.applied.digest);
        found.store.save_snapshot(&meta, text.as_bytes()).unwrap();
        node.compact(Snapshot {
            meta,
            data: Bytes::from(text),
        });
    }

    fn send(&mut self, host: usize, messages: Vec<OutgoingMessage>) {
        let from = self.hosts[host].id;
        for OutgoingMessage { to, message } in messages {
            let copies = 1 + u32::from(self.percent(self.environment.duplicate_percent));
            for _ in 0..copies {
                if self.percent(self.environment.loss_percent) {
                    continue;
                }
                let at = self.time_ms + self.rng.random_range(1..=self.environment.delay_ms);
                self.sequence += 1;
                self.network
                    .insert((at, self.sequence), (host, from, message.clone(), to));
            }
        }
    }

    pub fn percent(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Advances the simulated time by one millisecond.
    pub fn advance(&mut self) -> CheckResult {
        self.time_ms += 1;
        while let Some((&(at, sequence), _)) = self.network.first_key_value() {
            if at > self.time_ms {
                break;
            }
            let envelope = self.network.remove(&(at, sequence)).unwrap();
            self.deliver(sequence, envelope)?;
        }
        for host in 0..self.hosts.len() {
            if self.hosts[host].paused_until_ms > self.time_ms {
                continue;
            }
            self.run_storage(host)?;
            self.process_remaining_commits(host)?;
            let now = self.now(host);
            if self.hosts[host]
                .node
                .as_ref()
                .is_some_and(|node| node.next_due() <= now)
            {
                self.with_node(host, |node, now| node.tick(now))?;
            }
        }
        Ok(())
    }

    fn deliver(
        &mut self,
        sequence: u64,
        envelope: (usize, MemberId, Message, MemberId),
    ) -> CheckResult {
        let (sender, from, ref message, to) = envelope;
        let Some(host) = self.host_of(to) else {
            return Ok(());
        };
        let paused_until_ms = self.hosts[host].paused_until_ms;
        let is_cut = self.isolated.contains(&sender) || self.isolated.contains(&host);
        let is_cut = is_cut || self.cut_links.contains(&(sender, host));
        if is_cut || self.hosts[host].node.is_none() {
            return Ok(());
        }
        if paused_until_ms > self.time_ms {
            self.network.insert((paused_until_ms, sequence), envelope);
            return Ok(());
        }
        let message = message.clone();
        self.with_node(host, |node, now| node.step(now, from, message))
    }

    /// Processes the next storage job. Write and sync are separate steps, so that a crash can happen
    /// between them.
    fn run_storage(&mut self, host: usize) -> CheckResult {
        let found = &mut self.hosts[host];
        let Some(job) = found.jobs.front_mut() else {
            return Ok(());
        };
        if found.is_storage_paused || job.due_ms > self.time_ms {
            return Ok(());
        }
        let has_records = job.ready.snapshot.is_some() || !job.ready.records.is_empty();
        if !job.is_written && found.is_disk_full && has_records {
            return self.report_full(host, true);
        }
        if !job.is_written {
            self.write_jobs(host);
            return self.report_full(host, false);
        }
        found.store.sync().unwrap();
        while let Some(job) = self.hosts[host].jobs.pop_front_if(|job| job.is_written) {
            self.send(host, job.ready.messages_after_persist);
            self.with_node(host, |node, now| {
                node.persisted(now, Persisted { number: job.number })
            })?;
        }
        Ok(())
    }

    /// Writes the first storage job, or with group commit all queued ones. One sync covers them.
    fn write_jobs(&mut self, host: usize) {
        let due_ms = self.time_ms + self.environment.sync_ms;
        let count = if self.has_group_commit { usize::MAX } else { 1 };
        let found = &mut self.hosts[host];
        for job in found.jobs.iter_mut().take(count) {
            if let Some(snapshot) = job.ready.snapshot.take() {
                let saved = found.store.save_snapshot(&snapshot.meta, &snapshot.data);
                saved.unwrap();
            }
            found.store.append(&job.ready.records).unwrap();
            job.is_written = true;
            job.due_ms = due_ms;
        }
    }

    /// Tells the node whether the disk takes records, if that has changed.
    fn report_full(&mut self, host: usize, is_full: bool) -> CheckResult {
        let found = &mut self.hosts[host];
        if std::mem::replace(&mut found.is_full_reported, is_full) == is_full {
            return Ok(());
        }
        self.with_node(host, |node, now| node.set_storage_full(now, is_full))
    }

    pub fn run(&mut self, ms: u64) -> CheckResult {
        for _ in 0..ms {
            self.advance()?;
        }
        Ok(())
    }

    /// Runs until a leader has committed an entry of its term.
    pub fn elect(&mut self) -> usize {
        for _ in 0..5_000 {
            self.advance().unwrap();
            let leader = self
                .leader()
                .filter(|&host| self.node(host).has_committed_in_current_term());
            if let Some(host) = leader {
                return host;
            }
        }
        panic!("no leader after 5 s");
    }

    /// The leader, if the current membership is committed and its voters are exactly the existing
    /// hosts.
    pub fn settled_leader(&self) -> Option<usize> {
        let leader = self.leader()?;
        let node = self.node(leader);
        let membership = node.membership();
        let is_settled = node.has_committed_in_current_term()
            && node.membership_at(node.commit_index()) == membership;
        let ids: BTreeSet<MemberId> = self.hosts.iter().map(|host| host.id).collect();
        (is_settled && membership.voters().collect::<BTreeSet<_>>() == ids).then_some(leader)
    }

    /// Acts like an operator after the loss of a disk: adds the new member, or removes the old one.
    pub fn replace_lost_members(&mut self) -> CheckResult {
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        let members = self.node(leader).membership().members.clone();
        let fresh = self
            .hosts
            .iter()
            .find(|host| !members.contains_key(&host.id));
        let gone = members
            .keys()
            .find(|id| self.host_of(**id).is_none())
            .copied();
        let change = if let Some(host) = fresh {
            MembershipChange::Add {
                member: host.id,
                address: String::new(),
                promote: true,
            }
        } else if let Some(member) = gone.filter(|_| is_all_promoted(&members)) {
            MembershipChange::Remove { member }
        } else {
            return Ok(());
        };
        self.with_node(leader, |node, now| {
            node.propose_membership(now, change).ok()
        })?;
        Ok(())
    }
}

fn is_all_promoted(members: &BTreeMap<MemberId, sapphirepost_consensus::Member>) -> bool {
    members
        .values()
        .all(|member| member.role == MemberRole::Voter)
}

fn decode_snapshot(snapshot: &Snapshot) -> AppliedState {
    let text = std::str::from_utf8(&snapshot.data).unwrap();
    let (index, digest) = text.split_once(' ').unwrap();
    AppliedState {
        index: index.parse().unwrap(),
        digest: digest.parse().unwrap(),
    }
}
