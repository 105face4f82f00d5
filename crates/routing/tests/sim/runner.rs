//! A simulated runner.

use std::collections::BTreeMap;

use rand::Rng;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_routing::ConnectionKey;
use sapphirepost_routing::Event;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::ResponseSummary;
use sapphirepost_routing::SendKey;
use sapphirepost_types::Incarnation;
use sapphirepost_types::RequestClass;

use super::Ev;
use super::NET_MS;
use super::World;
use super::check;
use super::domain;
use super::name;

/// How a runner behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Normal,
    /// Takes requests and never answers.
    Stall,
    /// Cuts bodies off.
    Cut,
    /// Answers long after callers have given up.
    Late,
    /// Fails every request at once.
    FailFast,
    /// Confirms for every request that it was not run.
    NotRun,
}

pub type Link = (usize, ConnectionKey);

#[derive(Clone, Debug)]
pub struct Run {
    pub connection: Link,
    pub send: SendKey,
    pub request: RequestKey,
    pub lookup: bool,
    mode: Mode,
}

pub struct Runner {
    pub index: usize,
    pub mode: Mode,
    pub down: bool,
    pub leaving_since: Option<u64>,
    /// Announces more slots than it has.
    pub lies: bool,
    pub incarnation: u64,
    sequence: u64,
    /// Open connections; `true` marks a silent one.
    pub connections: BTreeMap<Link, bool>,
    pub runs: BTreeMap<u64, Run>,
    next_run: u64,
}

impl Runner {
    pub fn new(index: usize) -> Runner {
        Runner {
            index,
            mode: Mode::Normal,
            down: false,
            leaving_since: None,
            lies: false,
            incarnation: 1,
            sequence: 0,
            connections: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
        }
    }

    pub fn address(&self) -> String {
        format!("127.0.0.1:{}", 20_000 + self.index)
    }

    pub fn connect(&mut self, link: Link) {
        self.connections.insert(link, false);
    }

    /// All open connections go silent; new ones work.
    pub fn silence(&mut self) {
        for silent in self.connections.values_mut() {
            *silent = true;
        }
    }

    /// Runs on connections that are not silent, lookups and others.
    pub fn load(&self) -> (usize, usize) {
        let heard = |run: &&Run| self.connections.get(&run.connection) == Some(&false);
        let lookups = self
            .runs
            .values()
            .filter(heard)
            .filter(|r| r.lookup)
            .count();
        let all = self.runs.values().filter(heard).count();
        (lookups, all - lookups)
    }

    fn announcement(&mut self) -> Announcement {
        self.sequence += 1;
        Announcement {
            name: name(&format!("runner-{}", self.index)),
            service: name("logbook"),
            address: self.address(),
            failure_domain: domain(self.index),
            slots: if self.lies { 100 } else { 8 },
            connections: if self.lies { 1_000 } else { 64 },
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            status: if self.leaving_since.is_some() {
                UpstreamStatus::Leaving
            } else {
                UpstreamStatus::Serving
            },
        }
    }
}

pub fn announce(world: &mut World, runner: usize) {
    world.after(1_000, Ev::Announce(runner));
    announce_once(world, runner);
}

pub fn announce_once(world: &mut World, runner: usize) {
    if world.runners[runner].down {
        return;
    }
    let announcement = world.runners[runner].announcement();
    let entry = world.rng.random_range(0..world.entries.len());
    world.after(NET_MS, Ev::Deliver(entry, Event::Announced(announcement)));
}

pub fn arrive(
    world: &mut World,
    runner: usize,
    connection: Link,
    send: SendKey,
    request: RequestKey,
) {
    let state = &mut world.runners[runner];
    if state.down || state.connections.get(&connection) != Some(&false) {
        return;
    }
    let mode = state.mode;
    let class = world.asked[&(connection.0, request)].new.class;
    let run = Run {
        connection,
        send,
        request,
        lookup: class == RequestClass::Lookup,
        mode,
    };
    let key = state.next_run;
    state.next_run += 1;
    state.runs.insert(key, run);
    if mode != Mode::NotRun {
        check::run_started(world, runner, connection.0, request);
    }
    check::slots(world, runner);
    let takes = match class {
        RequestClass::Lookup => 1..=5,
        RequestClass::Standard => 5..=30,
        RequestClass::Recalculation => 100..=1_000,
    };
    let takes_ms = match mode {
        Mode::Normal | Mode::Cut => world.rng.random_range(takes),
        Mode::Late => world.rng.random_range(500..4_000),
        Mode::FailFast | Mode::NotRun => 0,
        Mode::Stall => 1_000_000,
    };
    world.after(takes_ms, Ev::RunEnds(runner, key));
}

pub fn ends(world: &mut World, runner: usize, key: u64) {
    let Some(run) = world.runners[runner].runs.remove(&key) else {
        return;
    };
    let (entry, connection) = run.connection;
    let send = run.send;
    if world.runners[runner].connections.get(&run.connection) != Some(&false) {
        return;
    }
    let cut = run.mode == Mode::Cut;
    world
        .check
        .responses
        .insert((entry, send), (run.request, !cut));
    if run.mode == Mode::FailFast {
        world.check.errors.insert((entry, send));
    }
    let event = if cut {
        Event::ResponseTruncated { connection, send }
    } else {
        Event::ResponseEnd {
            connection,
            send,
            summary: ResponseSummary {
                status: match run.mode {
                    Mode::FailFast => 500,
                    Mode::NotRun => 503,
                    _ => 200,
                },
                not_run: run.mode == Mode::NotRun,
                reusable: true,
                content_type: None,
                body: Some(String::from("{}")),
            },
        }
    };
    world.after(NET_MS, Ev::Deliver(entry, event));
}

/// An entry has closed a connection; its run is stopped.
pub fn closed(world: &mut World, runner: usize, connection: Link) {
    let state = &mut world.runners[runner];
    state.connections.remove(&connection);
    state.runs.retain(|_, run| run.connection != connection);
}

/// The process ends: its connections break.
pub fn stop(world: &mut World, runner: usize) {
    let state = &mut world.runners[runner];
    state.runs.clear();
    for ((entry, connection), _) in std::mem::take(&mut state.connections) {
        world.entries[entry].open.remove(&connection);
        world.after(NET_MS, Ev::Deliver(entry, Event::Closed(connection)));
    }
}
