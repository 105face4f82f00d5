//! Discrete-event simulation of entries, runners and the record of claims.

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
use sapphirepost_routing::Disabled;
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
/// The time at the start, high enough that the time of an announcement, now minus its age, is
/// positive.
pub const START_MS: u64 = 100_000;
/// The time after the start at which callers begin, when all entries know the upstream table.
pub const WARM_UP_MS: u64 = 3_000;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// The parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Options {
    pub seed: u64,
    pub disabled: Disabled,
    pub entries: usize,
    pub runners: usize,
    pub duration_ms: u64,
    /// Mean number of requests per second at each entry.
    pub requests_per_s: u64,
    /// The fractions of lookups, standard requests and recalculations, in percent.
    pub mix_percent: [u64; 3],
    pub non_idempotent_percent: u64,
    pub resend: bool,
    pub callers: u64,
    /// The fraction of requests that come from caller 0, in percent.
    pub flood_percent: u64,
    pub faults: Vec<(u64, Fault)>,
}

impl Options {
    /// Parameters with a size, load and faults that are derived from the seed.
    pub fn random(seed: u64, disabled: Disabled) -> Options {
        let entries = [3, 6, 9][(seed % 3) as usize];
        let runners = 2 + (seed % 4) as usize;
        let duration_ms = 12_000;
        Options {
            seed,
            disabled,
            entries,
            runners,
            duration_ms,
            requests_per_s: [30, 80, 150][(seed / 3 % 3) as usize],
            mix_percent: [60, 30, 10],
            non_idempotent_percent: 50,
            resend: true,
            callers: 5,
            flood_percent: 0,
            faults: faults::random(seed, entries, runners, duration_ms),
        }
    }

    /// Parameters of a run of 3 entries without faults and without resends.
    pub fn fault_free(
        disabled: Disabled,
        runners: usize,
        requests_per_s: u64,
        mix_percent: [u64; 3],
    ) -> Options {
        Options {
            seed: 1,
            disabled,
            entries: 3,
            runners,
            duration_ms: 10_000,
            requests_per_s,
            mix_percent,
            non_idempotent_percent: 0,
            resend: false,
            callers: 5,
            flood_percent: 0,
            faults: Vec::new(),
        }
    }
}

#[derive(Clone, Debug)]
pub enum SimEvent {
    Deliver(usize, Event),
    Wake(usize),
    Arrive(usize),
    /// The network thread of an entry writes a request to its socket.
    WriteRequest {
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

/// A request as the caller sent it.
#[derive(Clone, Debug)]
pub struct SubmittedRequest {
    pub params: NewRequest,
    pub at: u64,
    pub resends: u32,
}

pub struct Entry {
    pub router: Router,
    pub next_wake: Option<u64>,
    pub paused_until: u64,
    pub control_cut: bool,
    pub partition: u8,
    pub roster_step: u32,
    pub open: BTreeMap<ConnectionKey, usize>,
    pub in_roster: bool,
}

pub struct Simulation {
    pub options: Options,
    pub now: u64,
    pub rng: Pcg64Mcg,
    /// Time of each event, its order among events of the same time, and its number.
    heap: BinaryHeap<Reverse<(u64, u8, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    next_seq: u64,
    pub entries: Vec<Entry>,
    pub runners: Vec<Runner>,
    /// For each claimed ID: the entry that claimed it, the digest, and the outcome once reported.
    /// A claim whose request did not run is removed.
    pub claims: BTreeMap<RequestId, (usize, u64, Option<ClaimOutcome>)>,
    pub submitted: BTreeMap<(usize, RequestKey), SubmittedRequest>,
    next_request: u64,
    pub partition_end: u64,
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

impl Simulation {
    pub fn new(options: Options) -> Simulation {
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
                config.disabled = options.disabled;
                Entry {
                    router: Router::new(config, options.seed.wrapping_add(index as u64)),
                    next_wake: None,
                    paused_until: 0,
                    control_cut: false,
                    partition: 0,
                    roster_step: 0,
                    open: BTreeMap::new(),
                    in_roster: true,
                }
            })
            .collect();
        let mut sim = Simulation {
            now: START_MS,
            rng: Pcg64Mcg::seed_from_u64(options.seed),
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_seq: 0,
            entries,
            runners: (0..options.runners).map(Runner::new).collect(),
            claims: BTreeMap::new(),
            submitted: BTreeMap::new(),
            next_request: 0,
            partition_end: 0,
            roster_pending: None,
            roster: current,
            roster_step: 0,
            check: Checker::default(),
            options,
        };
        sim.schedule_initial_events();
        sim
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.runners.len() {
            let at = self.rng.random_range(0..1_000);
            self.schedule(at, SimEvent::Announce(index));
        }
        for index in 0..self.entries.len() {
            self.schedule(0, SimEvent::Wake(index));
            self.schedule(WARM_UP_MS, SimEvent::Arrive(index));
        }
        for (at, fault) in self.options.faults.clone() {
            self.schedule(at, SimEvent::Fault(fault));
        }
    }

    pub fn schedule(&mut self, delay_ms: u64, event: SimEvent) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.events.insert(seq, event);
        self.heap.push(Reverse((self.now + delay_ms, 1, seq)));
    }

    /// Simulates callers for the given time, then up to 15 s more in which requests and claims can
    /// end, and returns the results of the check.
    pub fn run(mut self) -> Checker {
        let end = START_MS + self.options.duration_ms;
        while let Some(Reverse((at, _, seq))) = self.heap.pop() {
            if at > end + 15_000 {
                break;
            }
            self.now = at;
            if let Some(until) = self.paused(seq) {
                // After a pause the sender's thread may run before the router's.
                let sender = matches!(self.events.get(&seq), Some(SimEvent::WriteRequest { .. }));
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
            SimEvent::Deliver(entry, _) | SimEvent::Wake(entry) | SimEvent::Roster(entry, ..) => {
                *entry
            }
            SimEvent::WriteRequest { entry, .. } => *entry,
            _ => return None,
        };
        let until = self.entries[entry].paused_until;
        (until > self.now).then_some(until)
    }

    fn step(&mut self, event: SimEvent, end: u64) {
        match event {
            SimEvent::Deliver(entry, event) => self.deliver(entry, event),
            SimEvent::Wake(entry) => {
                self.entries[entry].next_wake = None;
                self.deliver(entry, Event::Timer);
            }
            SimEvent::Arrive(entry) => {
                if self.now < end {
                    self.arrivals(entry);
                }
            }
            SimEvent::WriteRequest {
                entry,
                connection,
                send,
                request,
                not_after,
            } => self.write(entry, connection, send, request, not_after),
            SimEvent::Open(entry, connection, address) => self.open(entry, connection, &address),
            SimEvent::AtRunner {
                runner,
                connection,
                send,
                request,
            } => runner::arrive(self, runner, connection, send, request),
            SimEvent::RunEnds(runner, run) => runner::ends(self, runner, run),
            SimEvent::CloseAtRunner(runner, connection) => runner::closed(self, runner, connection),
            SimEvent::ClaimAt {
                entry,
                call,
                claims,
                outcomes,
            } => self.claim(entry, call, claims, outcomes),
            SimEvent::Announce(runner) => runner::announce(self, runner),
            SimEvent::Fault(fault) => faults::apply(self, fault),
            SimEvent::Roster(entry, step, change) => faults::roster_step(self, entry, step, change),
            SimEvent::RosterSecondStep => faults::roster_second_step(self),
        }
    }

    /// Generates the requests of 10 ms. A step of 1 ms would round low rates to zero.
    fn arrivals(&mut self, entry: usize) {
        self.schedule(10, SimEvent::Arrive(entry));
        if !self.entries[entry].in_roster {
            return;
        }
        let twice_the_mean = self.options.requests_per_s / 50;
        let rest = self.options.requests_per_s % 50;
        let extra = u64::from(self.rng.random_range(0..50) < rest);
        let count =
            self.rng.random_range(0..=twice_the_mean) + extra * self.rng.random_range(0..=1);
        for _ in 0..count {
            self.generate_request(entry);
        }
    }

    pub fn deliver(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        let state = &mut self.entries[entry];
        state.router.handle(Millis(self.now), event, &mut actions);
        self.check.local_fault_suspected |= state.router.suspects_itself();
        let next = state.router.next_timer().map(|at| at.0.max(self.now + 1));
        if let Some(next) = next
            && state.next_wake.is_none_or(|next_wake| next < next_wake)
        {
            state.next_wake = Some(next);
            self.schedule(next - self.now, SimEvent::Wake(entry));
        }
        for action in actions {
            self.perform(entry, action);
        }
    }

    fn perform(&mut self, entry: usize, action: Action) {
        match action {
            Action::Open {
                connection,
                address,
            } => self.schedule(NET_MS, SimEvent::Open(entry, connection, address)),
            Action::Send {
                connection,
                send,
                request,
                not_after,
                ..
            } => {
                let event = SimEvent::WriteRequest {
                    entry,
                    connection,
                    send,
                    request,
                    not_after,
                };
                // The sender is another thread, which may be delayed before it writes.
                let delay_ms = self.rng.random_range(0..=2);
                self.schedule(delay_ms, event);
            }
            Action::Close(connection) => {
                if let Some(runner) = self.entries[entry].open.remove(&connection) {
                    self.schedule(NET_MS, SimEvent::CloseAtRunner(runner, (entry, connection)));
                }
                self.schedule(0, SimEvent::Deliver(entry, Event::Closed(connection)));
            }
            Action::Respond { request, answer } => self.handle_answer(entry, request, answer),
            Action::Claim {
                call,
                claims,
                outcomes,
            } => {
                let event = SimEvent::ClaimAt {
                    entry,
                    call,
                    claims,
                    outcomes,
                };
                self.schedule(3 * NET_MS, event);
            }
            Action::Gossip { peer, gossip } => {
                let peer = usize::from(peer.0);
                let event = if self.entries[entry].partition == self.entries[peer].partition {
                    let token = ReplyToken(entry as u64);
                    SimEvent::Deliver(peer, Event::Gossip { gossip, token })
                } else {
                    let peer = EntryId(peer as u16);
                    SimEvent::Deliver(entry, Event::GossipFailed { peer })
                };
                self.schedule(NET_MS, event);
            }
            Action::GossipReply { token, reply } => {
                let to = token.0 as usize;
                let peer = EntryId(entry as u16);
                self.schedule(
                    NET_MS,
                    SimEvent::Deliver(to, Event::GossipReply { peer, reply }),
                );
            }
        }
    }

    fn generate_request(&mut self, entry: usize) {
        let draw = self.rng.random_range(0..100);
        let mix_percent = self.options.mix_percent;
        let class = if draw < mix_percent[0] {
            RequestClass::Lookup
        } else if draw < mix_percent[0] + mix_percent[1] {
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
        let params = NewRequest {
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
        self.submit(entry, params, 0);
        if self.rng.random_bool(0.02) {
            let delay_ms = self.rng.random_range(0..50);
            self.schedule(delay_ms, SimEvent::Deliver(entry, Event::Abandoned(key)));
        }
    }

    pub fn next_key(&mut self) -> RequestKey {
        self.next_request += 1;
        RequestKey(self.next_request)
    }

    pub fn submit(&mut self, entry: usize, params: NewRequest, resends: u32) {
        let submitted = SubmittedRequest {
            params: params.clone(),
            at: self.now,
            resends,
        };
        self.submitted.insert((entry, params.key), submitted);
        self.schedule(0, SimEvent::Deliver(entry, Event::Arrived(params)));
    }

    fn handle_answer(&mut self, entry: usize, request: RequestKey, answer: Answer) {
        let paused = self.now.saturating_sub(self.entries[entry].paused_until) < 50;
        check::answer(self, entry, request, &answer, paused);
        let submitted = self.submitted[&(entry, request)].clone();
        let needs_resend = !matches!(answer, Answer::Forward(_) | Answer::Recorded { .. });
        if !needs_resend
            || !self.options.resend
            || submitted.resends >= 2
            || submitted.params.id.is_none()
        {
            return;
        }
        // A caller whose request was refused or has an unknown outcome sends the same ID again,
        // through any entry.
        let live: Vec<usize> = (0..self.entries.len())
            .filter(|&index| self.entries[index].in_roster)
            .collect();
        let entry = live[self.rng.random_range(0..live.len())];
        let mut params = submitted.params;
        params.key = self.next_key();
        params.deadline = Millis(self.now + 2_000);
        self.submit(entry, params, submitted.resends + 1);
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
            self.schedule(
                0,
                SimEvent::Deliver(entry, Event::NotSent { connection, send }),
            );
            return;
        };
        let event = SimEvent::AtRunner {
            runner,
            connection: (entry, connection),
            send,
            request,
        };
        self.schedule(NET_MS, event);
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
        self.schedule(NET_MS, SimEvent::Deliver(entry, event));
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
            self.schedule(
                NET_MS,
                SimEvent::Deliver(entry, Event::ClaimAnswered { call, result }),
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
        // In 2 % of the calls the reply is lost after the claims took effect.
        let result = if self.rng.random_bool(0.02) {
            Err(ClaimFailure::Unknown)
        } else {
            Ok(verdicts)
        };
        self.schedule(
            NET_MS,
            SimEvent::Deliver(entry, Event::ClaimAnswered { call, result }),
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
