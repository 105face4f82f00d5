//! Discrete-event simulation of entries, runners and the claim record, for seeded runs.

#![allow(dead_code)] // Each test crate uses a part of it.

pub mod check;
pub mod faults;
pub mod runner;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_protocol::claim::ClaimDone;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_routing::Action;
use sapphirepost_routing::Answer;
use sapphirepost_routing::ClaimFailure;
use sapphirepost_routing::ConnectionKey;
use sapphirepost_routing::Event;
use sapphirepost_routing::NewRequest;
use sapphirepost_routing::ReplyToken;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::Roster;
use sapphirepost_routing::RosterChange;
use sapphirepost_routing::RosterEntry;
use sapphirepost_routing::Router;
use sapphirepost_routing::RouterConfig;
use sapphirepost_routing::SendKey;
use sapphirepost_routing::Without;
use sapphirepost_types::EntryId;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;
use sapphirepost_types::RequestId;

use self::check::Checker;
use self::faults::Fault;
use self::runner::Runner;

/// One-way network delay.
pub const NET_MS: u64 = 1;
/// The first point in time; ages reach back from it.
pub const START_MS: u64 = 100_000;
/// Callers start when entries have learnt the table.
pub const WARM_UP_MS: u64 = 3_000;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub without: Without,
    pub entries: usize,
    pub runners: usize,
    pub duration_ms: u64,
    /// Requests per second and entry.
    pub rate: u64,
    /// Lookups, standard requests and recalculations in percent.
    pub mix: [u64; 3],
    pub non_idempotent_percent: u64,
    pub resend: bool,
    pub callers: u64,
    /// The share of requests that come from caller 0, in percent.
    pub flood_percent: u64,
    pub faults: Vec<(u64, Fault)>,
}

impl Options {
    /// A run with a size, load and faults that follow from the seed.
    pub fn random(seed: u64, without: Without) -> Options {
        let entries = [3, 6, 9][(seed % 3) as usize];
        let runners = 2 + (seed % 4) as usize;
        let duration_ms = 12_000;
        Options {
            seed,
            without,
            entries,
            runners,
            duration_ms,
            rate: [30, 80, 150][(seed / 3 % 3) as usize],
            mix: [60, 30, 10],
            non_idempotent_percent: 50,
            resend: true,
            callers: 5,
            flood_percent: 0,
            faults: faults::random(seed, entries, runners, duration_ms),
        }
    }

    /// A run of 3 entries without faults and without resends.
    pub fn quiet(without: Without, runners: usize, rate: u64, mix: [u64; 3]) -> Options {
        Options {
            seed: 1,
            without,
            entries: 3,
            runners,
            duration_ms: 10_000,
            rate,
            mix,
            non_idempotent_percent: 0,
            resend: false,
            callers: 5,
            flood_percent: 0,
            faults: Vec::new(),
        }
    }
}

#[derive(Clone, Debug)]
pub enum Ev {
    Deliver(usize, Event),
    Wake(usize),
    Arrive(usize),
    /// The sender of an entry writes a request.
    Io {
        entry: usize,
        connection: ConnectionKey,
        send: SendKey,
        request: RequestKey,
        not_after: Millis,
    },
    Open(usize, ConnectionKey, String),
    AtRunner {
        runner: usize,
        connection: (usize, ConnectionKey),
        send: SendKey,
        request: RequestKey,
    },
    RunEnds(usize, u64),
    CloseAtRunner(usize, (usize, ConnectionKey)),
    ClaimAt {
        entry: usize,
        call: sapphirepost_routing::CallKey,
        claims: Vec<Claim>,
        outcomes: Vec<ClaimDone>,
    },
    Announce(usize),
    Fault(Fault),
    Roster(usize, u32, RosterChange),
    RosterSecondStep,
}

/// What a caller asked for.
#[derive(Clone, Debug)]
pub struct Asked {
    pub new: NewRequest,
    pub at: u64,
    pub resends: u32,
}

pub struct Entry {
    pub router: Router,
    pub wake: Option<u64>,
    pub paused_until: u64,
    pub control_cut: bool,
    pub side: u8,
    pub roster_step: u32,
    pub open: BTreeMap<ConnectionKey, usize>,
    pub in_roster: bool,
}

pub struct World {
    pub options: Options,
    pub now: u64,
    pub rng: Pcg64Mcg,
    /// Time, order within it, and number of each event.
    heap: BinaryHeap<Reverse<(u64, u8, u64)>>,
    events: BTreeMap<u64, Ev>,
    next_seq: u64,
    pub entries: Vec<Entry>,
    pub runners: Vec<Runner>,
    pub claims: BTreeMap<RequestId, (usize, u64, Option<ClaimOutcome>)>,
    pub asked: BTreeMap<(usize, RequestKey), Asked>,
    next_request: u64,
    pub last_cut: u64,
    pub roster_pending: Option<(Roster, u32)>,
    pub roster: Roster,
    pub roster_step: u32,
    pub check: Checker,
}

pub fn roster(entries: &[usize]) -> Roster {
    Roster {
        entries: entries
            .iter()
            .map(|&index| RosterEntry {
                id: EntryId(index as u16),
                failure_domain: domain(index),
            })
            .collect(),
    }
}

pub fn domain(index: usize) -> Name {
    name(["a", "b", "c"][index % 3])
}

impl World {
    pub fn new(options: Options) -> World {
        let all: Vec<usize> = (0..options.entries).collect();
        let current = roster(&all);
        let entries = all
            .iter()
            .map(|&index| {
                let mut config = RouterConfig::new(
                    EntryId(index as u16),
                    Incarnation(1),
                    domain(index),
                    RosterChange::settled(current.clone()),
                );
                config.without = options.without;
                Entry {
                    router: Router::new(config, options.seed.wrapping_add(index as u64)),
                    wake: None,
                    paused_until: 0,
                    control_cut: false,
                    side: 0,
                    roster_step: 0,
                    open: BTreeMap::new(),
                    in_roster: true,
                }
            })
            .collect();
        let mut world = World {
            now: START_MS,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_seq: 0,
            entries,
            runners: (0..options.runners).map(Runner::new).collect(),
            claims: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_request: 0,
            last_cut: 0,
            roster_pending: None,
            roster: current,
            roster_step: 0,
            check: Checker::default(),
            options,
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        for index in 0..self.runners.len() {
            let at = self.rng.random_range(0..1_000);
            self.after(at, Ev::Announce(index));
        }
        for index in 0..self.entries.len() {
            self.after(0, Ev::Wake(index));
            self.after(WARM_UP_MS, Ev::Arrive(index));
        }
        for (at, fault) in self.options.faults.clone() {
            self.after(at, Ev::Fault(fault));
        }
    }

    pub fn after(&mut self, delay_ms: u64, event: Ev) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.events.insert(seq, event);
        self.heap.push(Reverse((self.now + delay_ms, 1, seq)));
    }

    /// Runs callers for the given time, then lets everything end, and returns the violations.
    pub fn run(mut self) -> Checker {
        let end = START_MS + self.options.duration_ms;
        while let Some(Reverse((at, _, seq))) = self.heap.pop() {
            if at > end + 15_000 {
                break;
            }
            self.now = at;
            if let Some(until) = self.paused(seq) {
                // After a pause the sender's thread may run before the router's.
                let sender = matches!(self.events.get(&seq), Some(Ev::Io { .. }));
                let order = u8::from(!sender || self.rng.random_bool(0.5));
                self.heap.push(Reverse((until, order, seq)));
                continue;
            }
            let event = self.events.remove(&seq).unwrap();
            self.step(event, end);
        }
        check::finish(&mut self);
        self.check
    }

    fn paused(&self, seq: u64) -> Option<u64> {
        let entry = match self.events.get(&seq)? {
            Ev::Deliver(entry, _) | Ev::Wake(entry) | Ev::Roster(entry, ..) => *entry,
            Ev::Io { entry, .. } => *entry,
            _ => return None,
        };
        let until = self.entries[entry].paused_until;
        (until > self.now).then_some(until)
    }

    fn step(&mut self, event: Ev, end: u64) {
        match event {
            Ev::Deliver(entry, event) => self.deliver(entry, event),
            Ev::Wake(entry) => {
                self.entries[entry].wake = None;
                self.deliver(entry, Event::Timer);
            }
            Ev::Arrive(entry) => {
                if self.now < end {
                    self.arrivals(entry);
                }
            }
            Ev::Io {
                entry,
                connection,
                send,
                request,
                not_after,
            } => self.write(entry, connection, send, request, not_after),
            Ev::Open(entry, connection, address) => self.open(entry, connection, &address),
            Ev::AtRunner {
                runner,
                connection,
                send,
                request,
            } => runner::arrive(self, runner, connection, send, request),
            Ev::RunEnds(runner, run) => runner::ends(self, runner, run),
            Ev::CloseAtRunner(runner, connection) => runner::closed(self, runner, connection),
            Ev::ClaimAt {
                entry,
                call,
                claims,
                outcomes,
            } => self.claim(entry, call, claims, outcomes),
            Ev::Announce(runner) => runner::announce(self, runner),
            Ev::Fault(fault) => faults::apply(self, fault),
            Ev::Roster(entry, step, change) => faults::roster_step(self, entry, step, change),
            Ev::RosterSecondStep => faults::roster_second_step(self),
        }
    }

    /// Requests of one step of 10 ms, so that any rate can be had with a clock in milliseconds.
    fn arrivals(&mut self, entry: usize) {
        self.after(10, Ev::Arrive(entry));
        if !self.entries[entry].in_roster {
            return;
        }
        let twice = self.options.rate / 50;
        let rest = self.options.rate % 50;
        let extra = u64::from(self.rng.random_range(0..50) < rest);
        let count = self.rng.random_range(0..=twice) + extra * self.rng.random_range(0..=1);
        for _ in 0..count {
            self.ask(entry);
        }
    }

    pub fn deliver(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        let state = &mut self.entries[entry];
        state.router.handle(Millis(self.now), event, &mut actions);
        self.check.own_fault |= state.router.suspects_itself();
        let next = state.router.next_timer().map(|at| at.0.max(self.now + 1));
        if let Some(next) = next
            && state.wake.is_none_or(|wake| next < wake)
        {
            state.wake = Some(next);
            self.after(next - self.now, Ev::Wake(entry));
        }
        for action in actions {
            self.act(entry, action);
        }
    }

    fn act(&mut self, entry: usize, action: Action) {
        match action {
            Action::Open {
                connection,
                address,
            } => self.after(NET_MS, Ev::Open(entry, connection, address)),
            Action::Send {
                connection,
                send,
                request,
                not_after,
                ..
            } => {
                let event = Ev::Io {
                    entry,
                    connection,
                    send,
                    request,
                    not_after,
                };
                // The sender is another thread, which may be paused before it writes.
                let delay = self.rng.random_range(0..=2);
                self.after(delay, event);
            }
            Action::Close(connection) => {
                if let Some(runner) = self.entries[entry].open.remove(&connection) {
                    self.after(NET_MS, Ev::CloseAtRunner(runner, (entry, connection)));
                }
                self.after(0, Ev::Deliver(entry, Event::Closed(connection)));
            }
            Action::Respond { request, answer } => self.answered(entry, request, answer),
            Action::Claim {
                call,
                claims,
                outcomes,
            } => {
                let event = Ev::ClaimAt {
                    entry,
                    call,
                    claims,
                    outcomes,
                };
                self.after(3 * NET_MS, event);
            }
            Action::Gossip { peer, gossip } => {
                let peer = usize::from(peer.0);
                let event = if self.entries[entry].side == self.entries[peer].side {
                    let token = ReplyToken(entry as u64);
                    Ev::Deliver(peer, Event::Gossip { gossip, token })
                } else {
                    let peer = EntryId(peer as u16);
                    Ev::Deliver(entry, Event::GossipFailed { peer })
                };
                self.after(NET_MS, event);
            }
            Action::GossipReply { token, reply } => {
                let to = token.0 as usize;
                let peer = EntryId(entry as u16);
                self.after(NET_MS, Ev::Deliver(to, Event::GossipReply { peer, reply }));
            }
        }
    }

    fn ask(&mut self, entry: usize) {
        let draw = self.rng.random_range(0..100);
        let mix = self.options.mix;
        let class = if draw < mix[0] {
            RequestClass::Lookup
        } else if draw < mix[0] + mix[1] {
            RequestClass::Standard
        } else {
            RequestClass::Recalculation
        };
        let idempotent = self.rng.random_range(0..100) >= self.options.non_idempotent_percent;
        let with_id = self.rng.random_bool(0.7);
        let key = self.next_key();
        let id = with_id.then(|| RequestId::new(self.now, &format!("r{}", key.0)).unwrap());
        let wait = [1_000, 3_000, 8_000][class as usize];
        let caller = if self.rng.random_range(0..100) < self.options.flood_percent {
            0
        } else {
            self.rng.random_range(1..=self.options.callers)
        };
        let new = NewRequest {
            key,
            service: name("logbook"),
            class,
            deadline: Millis(self.now + wait),
            idempotent,
            id,
            digest: key.0,
            caller,
            body_bytes: 100,
        };
        self.submit(entry, new, 0);
        if self.rng.random_bool(0.02) {
            let after = self.rng.random_range(0..50);
            self.after(after, Ev::Deliver(entry, Event::Abandoned(key)));
        }
    }

    pub fn next_key(&mut self) -> RequestKey {
        self.next_request += 1;
        RequestKey(self.next_request)
    }

    pub fn submit(&mut self, entry: usize, new: NewRequest, resends: u32) {
        let asked = Asked {
            new: new.clone(),
            at: self.now,
            resends,
        };
        self.asked.insert((entry, new.key), asked);
        self.after(0, Ev::Deliver(entry, Event::Arrived(new)));
    }

    fn answered(&mut self, entry: usize, request: RequestKey, answer: Answer) {
        let paused = self.now.saturating_sub(self.entries[entry].paused_until) < 50;
        check::answer(self, entry, request, &answer, paused);
        let asked = self.asked[&(entry, request)].clone();
        let again = !matches!(answer, Answer::Forward(_) | Answer::Recorded { .. });
        if !again || !self.options.resend || asked.resends >= 2 || asked.new.id.is_none() {
            return;
        }
        // A caller that was not answered sends the same ID again, through any entry.
        let live: Vec<usize> = (0..self.entries.len())
            .filter(|&index| self.entries[index].in_roster)
            .collect();
        let entry = live[self.rng.random_range(0..live.len())];
        let mut new = asked.new;
        new.key = self.next_key();
        new.deadline = Millis(self.now + 2_000);
        self.submit(entry, new, asked.resends + 1);
    }

    fn write(
        &mut self,
        entry: usize,
        connection: ConnectionKey,
        send: SendKey,
        request: RequestKey,
        not_after: Millis,
    ) {
        let open = self.entries[entry].open.get(&connection).copied();
        let Some(runner) = open.filter(|_| Millis(self.now) < not_after) else {
            self.after(0, Ev::Deliver(entry, Event::NotSent { connection, send }));
            return;
        };
        let event = Ev::AtRunner {
            runner,
            connection: (entry, connection),
            send,
            request,
        };
        self.after(NET_MS, event);
    }

    fn open(&mut self, entry: usize, connection: ConnectionKey, address: &str) {
        let runner = self
            .runners
            .iter()
            .position(|runner| runner.address() == address)
            .unwrap();
        let event = if self.runners[runner].down {
            Event::OpenFailed(connection)
        } else {
            self.entries[entry].open.insert(connection, runner);
            self.runners[runner].connect((entry, connection));
            check::connections(self, runner);
            Event::Opened(connection)
        };
        self.after(NET_MS, Ev::Deliver(entry, event));
    }

    fn claim(
        &mut self,
        entry: usize,
        call: sapphirepost_routing::CallKey,
        claims: Vec<Claim>,
        outcomes: Vec<ClaimDone>,
    ) {
        if self.entries[entry].control_cut {
            let result = Err(ClaimFailure::NotReached);
            self.after(
                NET_MS,
                Ev::Deliver(entry, Event::ClaimAnswered { call, result }),
            );
            return;
        }
        for done in outcomes {
            let held = self
                .claims
                .get(&done.request)
                .is_some_and(|(holder, _, outcome)| *holder == entry && outcome.is_none());
            if held && done.outcome == ClaimOutcome::NotRun {
                self.claims.remove(&done.request);
            } else if held {
                self.claims.get_mut(&done.request).unwrap().2 = Some(done.outcome);
            }
        }
        let verdicts = claims
            .into_iter()
            .map(|claim| self.verdict(entry, claim))
            .collect();
        // Now and then the reply is lost after the claims took effect.
        let result = if self.rng.random_bool(0.02) {
            Err(ClaimFailure::Unknown)
        } else {
            Ok(verdicts)
        };
        self.after(
            NET_MS,
            Ev::Deliver(entry, Event::ClaimAnswered { call, result }),
        );
    }

    fn verdict(&mut self, entry: usize, claim: Claim) -> ClaimVerdict {
        match self.claims.get(&claim.request) {
            Some((_, digest, _)) if *digest != claim.digest => ClaimVerdict::Mismatch,
            Some((_, _, Some(outcome))) => ClaimVerdict::Ended(outcome.clone()),
            Some((_, _, None)) => ClaimVerdict::InProgress,
            None => {
                self.claims
                    .insert(claim.request, (entry, claim.digest, None));
                ClaimVerdict::Granted
            }
        }
    }

    pub fn live_entries(&self) -> BTreeSet<usize> {
        (0..self.entries.len())
            .filter(|&index| self.entries[index].in_roster)
            .collect()
    }
}
