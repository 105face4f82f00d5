//! The router: ties the modules together.
//!
//! `handle` takes one event with the current time and appends actions. Every path on which a
//! request ends goes through `finish`, which also reports the outcome of its claim.

mod arrival;
mod dispatch;
mod ending;
mod outcome;
mod upstreams;
mod view;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use sapphirepost_protocol::claim::Claim;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Millis;
use sapphirepost_types::Name;
use sapphirepost_types::RequestClass;
use smallvec::SmallVec;

use crate::admission::Admission;
use crate::claims::Claims;
use crate::config::RouterConfig;
use crate::connections::Connections;
use crate::event::Action;
use crate::event::ConnectionKey;
use crate::event::Event;
use crate::event::NewRequest;
use crate::event::RequestKey;
use crate::event::SendKey;
use crate::health::Health;
use crate::retry::RetryBudget;
use crate::roster::RosterChange;
use crate::roster::Share;
use crate::table::UpstreamTable;
use crate::timers::Timer;
use crate::timers::Timers;

pub use crate::router::view::Stats;
pub use crate::router::view::UpstreamView;

/// The time between two rounds of periodic work, drawn anew each time so that entries do not fall
/// into step.
const PERIOD_MS: std::ops::RangeInclusive<u64> = 90..=110;

/// An upstream at one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct UpstreamKey(u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lane {
    General,
    LookupOnly,
}

#[derive(Debug)]
struct Upstream {
    name: Name,
    service: Name,
    address: String,
    failure_domain: Name,
    incarnation: Incarnation,
    /// Whether it takes new requests: announced, serving and not replaced by a newer run.
    serving: bool,
    share: Share,
    general_used: u16,
    lookup_used: u16,
    health: Health,
    connections: Connections,
    outstanding: SmallVec<[SendKey; 8]>,
}

impl Upstream {
    fn used(&self) -> u16 {
        self.general_used + self.lookup_used
    }

    fn used_in(&mut self, lane: Lane) -> &mut u16 {
        match lane {
            Lane::General => &mut self.general_used,
            Lane::LookupOnly => &mut self.lookup_used,
        }
    }

    fn free_slots_at_all(&self, class: RequestClass) -> bool {
        self.share.general > 0 || class == RequestClass::Lookup && self.share.lookup_only > 0
    }

    fn free_lane(&self, class: RequestClass) -> Option<Lane> {
        if class == RequestClass::Lookup && self.lookup_used < self.share.lookup_only {
            return Some(Lane::LookupOnly);
        }
        (self.general_used < self.share.general).then_some(Lane::General)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for its claim.
    Claiming,
    /// Waits in the queue of its class.
    Queued,
    /// Waits to be tried again: in the retry queue, or for the end of the pause before it.
    Retrying,
    /// Has a slot of an upstream.
    Trying(SendKey),
}

#[derive(Debug)]
struct Request {
    new: NewRequest,
    arrived: Millis,
    phase: Phase,
    granted: Option<Claim>,
    tried: SmallVec<[UpstreamKey; 3]>,
    tries: usize,
    may_have_run: bool,
    upstream_refused: bool,
}

#[derive(Clone, Copy, Debug)]
struct Send {
    request: RequestKey,
    class: RequestClass,
    upstream: UpstreamKey,
    lane: Lane,
    connection: ConnectionKey,
    /// When the request was handed to the connection; `None` while it is being opened.
    sent: Option<Millis>,
}

#[derive(Debug)]
struct Service {
    queues: [Admission; 3],
    retries: std::collections::VecDeque<RequestKey>,
    budget: RetryBudget,
    turn: u32,
}

/// The decisions about requests at one entry.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    roster: RosterChange,
    rng: Pcg64Mcg,
    table: UpstreamTable,
    upstreams: FxHashMap<UpstreamKey, Upstream>,
    current: FxHashMap<Name, UpstreamKey>,
    services: FxHashMap<Name, Service>,
    requests: FxHashMap<RequestKey, Request>,
    sends: FxHashMap<SendKey, Send>,
    connection_owner: FxHashMap<ConnectionKey, UpstreamKey>,
    /// Slots of dropped tries whose connections are being closed.
    held: FxHashMap<ConnectionKey, SendKey>,
    held_slots: FxHashMap<SendKey, (UpstreamKey, Lane)>,
    claims: Claims,
    timers: Timers,
    next_period: Option<Millis>,
    next_gossip: Millis,
    next_upstream: u32,
    next_connection: u64,
    next_send: u64,
    stopping: bool,
    own_fault: bool,
    stats: Stats,
}

impl Router {
    /// A router that knows no upstreams yet.
    pub fn new(config: RouterConfig, seed: u64) -> Router {
        let mut table = UpstreamTable::new(
            config.upstream_silence_ms,
            config.learn_ms,
            !config.without.whole_table,
        );
        table.set_peers(&config.roster.peers(config.entry));
        Router {
            roster: config.roster.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            table,
            upstreams: FxHashMap::default(),
            current: FxHashMap::default(),
            services: FxHashMap::default(),
            requests: FxHashMap::default(),
            sends: FxHashMap::default(),
            connection_owner: FxHashMap::default(),
            held: FxHashMap::default(),
            held_slots: FxHashMap::default(),
            claims: Claims::default(),
            timers: Timers::default(),
            next_period: None,
            next_gossip: Millis::ZERO,
            next_upstream: 0,
            next_connection: 0,
            next_send: 0,
            stopping: false,
            own_fault: false,
            stats: Stats::default(),
            config,
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if self.next_period.is_none() {
            self.next_period = Some(now);
        }
        match event {
            Event::Arrived(new) => self.arrived(now, new, actions),
            Event::Abandoned(request) => self.abandoned(now, request, actions),
            Event::Opened(connection) => self.opened(now, connection, actions),
            Event::OpenFailed(connection) => self.open_failed(now, connection, actions),
            Event::Closed(connection) => self.closed(now, connection, actions),
            Event::NotSent { connection, send } => self.not_sent(now, connection, send, actions),
            Event::BytesSent { send, .. } => self.bytes_sent(now, send),
            Event::ResponseHead { connection, send } => {
                self.response_head(now, connection, send, actions);
            }
            Event::ResponseEnd {
                connection,
                send,
                summary,
            } => self.response_end(now, connection, send, summary, actions),
            Event::ResponseTruncated { connection, send } => {
                self.truncated(now, connection, send, actions);
            }
            Event::Timer => {}
            Event::Announced(announcement) => {
                if self.table.announce(now, announcement) {
                    self.sync_upstreams(now, actions);
                }
            }
            Event::Gossip { gossip, token } => {
                let (reply, changed) = self.table.gossip(now, gossip);
                actions.push(Action::GossipReply { token, reply });
                if changed {
                    self.sync_upstreams(now, actions);
                }
            }
            Event::GossipReply { peer, reply } => {
                if self.table.reply(now, peer, reply) {
                    self.sync_upstreams(now, actions);
                }
            }
            Event::GossipFailed { peer } => self.table.unreachable(peer),
            Event::ClaimAnswered { call, result } => {
                self.claim_answered(now, call, result, actions);
            }
            Event::RosterChanged(roster) => self.roster_changed(now, roster, actions),
            Event::Stopping => self.stopping = true,
        }
        self.run_timers(now, actions);
        self.send_claims(actions);
    }

    /// When `handle` must be called with [`Event::Timer`] at the latest.
    pub fn next_timer(&self) -> Option<Millis> {
        [self.timers.next(), self.next_period]
            .into_iter()
            .flatten()
            .min()
    }

    fn run_timers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(request) => self.deadline(now, request, actions),
                Timer::ClaimWait(request) => self.claim_wait_over(now, request, actions),
                Timer::Retry(request) => self.retry_due(now, request, actions),
                Timer::Attempt(send) => self.attempt_timeout(now, send, actions),
                Timer::Connect(connection) => self.connect_timeout(now, connection, actions),
                Timer::SlotHold(send) => self.release_held(now, send, actions),
            }
        }
        if self.next_period.is_some_and(|at| now >= at) {
            self.next_period = Some(now + self.rng.random_range(PERIOD_MS));
            self.periodic(now, actions);
        }
    }

    fn send_claims(&mut self, actions: &mut Vec<Action>) {
        while let Some((call, claims, outcomes)) = self.claims.next_call() {
            actions.push(Action::Claim {
                call,
                claims,
                outcomes,
            });
        }
    }
}
