//! A simulated runner: an upstream that runs requests in slots.

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

use super::NET_MS;
use super::SimEvent;
use super::Simulation;
use super::check;
use super::domain;
use super::name;

/// How a runner treats the requests that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Normal,
    /// Takes requests and never answers.
    Stall,
    /// Truncates the bodies of its responses.
    Truncate,
    /// Answers long after callers have given up.
    Late,
    /// Fails every request at once.
    FailFast,
    /// Answers that it did not run the request.
    NotRun,
}

pub type ConnectionId = (usize, ConnectionKey);

#[derive(Clone, Debug)]
pub struct Run {
    pub connection: ConnectionId,
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
    /// Announces more slots and connections than it has.
    pub overannounces: bool,
    pub incarnation: u64,
    sequence: u64,
    /// Open connections; `true` if requests and responses on the connection are lost.
    pub connections: BTreeMap<ConnectionId, bool>,
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
            overannounces: false,
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

    pub fn connect(&mut self, connection_id: ConnectionId) {
        self.connections.insert(connection_id, false);
    }

    /// Makes all open connections lose requests and responses; connections opened later work.
    pub fn silence_connections(&mut self) {
        for silent in self.connections.values_mut() {
            *silent = true;
        }
    }

    /// The number of lookups, and of other requests, that run on connections that still work.
    pub fn load(&self) -> (usize, usize) {
        let on_working_connection =
            |run: &&Run| self.connections.get(&run.connection) == Some(&false);
        let lookups = self
            .runs
            .values()
            .filter(on_working_connection)
            .filter(|r| r.lookup)
            .count();
        let all = self.runs.values().filter(on_working_connection).count();
        (lookups, all - lookups)
    }

    fn announcement(&mut self) -> Announcement {
        self.sequence += 1;
        Announcement {
            name: name(&format!("runner-{}", self.index)),
            service: name("logbook"),
            address: self.address(),
            failure_domain: domain(self.index),
            slots: if self.overannounces { 100 } else { 8 },
            connections: if self.overannounces { 1_000 } else { 64 },
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

pub fn announce(sim: &mut Simulation, runner: usize) {
    sim.schedule(1_000, SimEvent::Announce(runner));
    announce_once(sim, runner);
}

pub fn announce_once(sim: &mut Simulation, runner: usize) {
    if sim.runners[runner].down {
        return;
    }
    let announcement = sim.runners[runner].announcement();
    let entry = sim.rng.random_range(0..sim.entries.len());
    sim.schedule(
        NET_MS,
        SimEvent::Deliver(entry, Event::Announced(announcement)),
    );
}

pub fn arrive(
    sim: &mut Simulation,
    runner: usize,
    connection: ConnectionId,
    send: SendKey,
    request: RequestKey,
) {
    let state = &mut sim.runners[runner];
    if state.down || state.connections.get(&connection) != Some(&false) {
        return;
    }
    let mode = state.mode;
    let class = sim.submitted[&(connection.0, request)].params.class;
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
        check::run_started(sim, runner, connection.0, request);
    }
    check::slots(sim, runner);
    let durations_ms = match class {
        RequestClass::Lookup => 1..=5,
        RequestClass::Standard => 5..=30,
        RequestClass::Recalculation => 100..=1_000,
    };
    let duration_ms = match mode {
        Mode::Normal | Mode::Truncate => sim.rng.random_range(durations_ms),
        Mode::Late => sim.rng.random_range(500..4_000),
        Mode::FailFast | Mode::NotRun => 0,
        Mode::Stall => 1_000_000,
    };
    sim.schedule(duration_ms, SimEvent::RunEnds(runner, key));
}

pub fn ends(sim: &mut Simulation, runner: usize, key: u64) {
    let Some(run) = sim.runners[runner].runs.remove(&key) else {
        return;
    };
    let (entry, connection) = run.connection;
    let send = run.send;
    if sim.runners[runner].connections.get(&run.connection) != Some(&false) {
        return;
    }
    let truncated = run.mode == Mode::Truncate;
    sim.check
        .responses
        .insert((entry, send), (run.request, !truncated));
    if run.mode == Mode::FailFast {
        sim.check.errors.insert((entry, send));
    }
    let event = if truncated {
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
    sim.schedule(NET_MS, SimEvent::Deliver(entry, event));
}

/// Handles a connection that an entry has closed: its run is stopped.
pub fn closed(sim: &mut Simulation, runner: usize, connection: ConnectionId) {
    let state = &mut sim.runners[runner];
    state.connections.remove(&connection);
    state.runs.retain(|_, run| run.connection != connection);
}

/// Stops the process of a runner: its runs end and its connections are closed.
pub fn stop(sim: &mut Simulation, runner: usize) {
    let state = &mut sim.runners[runner];
    state.runs.clear();
    for ((entry, connection), _) in std::mem::take(&mut state.connections) {
        sim.entries[entry].open.remove(&connection);
        sim.schedule(NET_MS, SimEvent::Deliver(entry, Event::Closed(connection)));
    }
}
