//! The router: handles events, and ties the other modules together.
//!
//! Every path on which a request ends leads to `finish`, which answers the caller and reports the
//! outcome of the claim.

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

use crate::admission::AdmissionQueue;
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

/// The time between two rounds of periodic work, drawn at random for each round so that entries do
/// not run in lockstep.
const PERIOD_MS: std::ops::RangeInclusive<u64> = 90..=110;

/// Identifies an upstream at one address; an upstream whose address or service changes gets a new
/// key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct UpstreamKey(u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotPool {
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
    /// Whether it takes new requests: it is announced as serving, at this address.
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

    fn used_in_pool(&mut self, pool: SlotPool) -> &mut u16 {
        match pool {
            SlotPool::General => &mut self.general_used,
            SlotPool::LookupOnly => &mut self.lookup_used,
        }
    }

    fn has_slots_for(&self, class: RequestClass) -> bool {
        self.share.general > 0 || class == RequestClass::Lookup && self.share.lookup_only > 0
    }

    fn free_pool(&self, class: RequestClass) -> Option<SlotPool> {
        if class == RequestClass::Lookup && self.lookup_used < self.share.lookup_only {
            return Some(SlotPool::LookupOnly);
        }
        (self.general_used < self.share.general).then_some(SlotPool::General)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the verdict on its claim.
    Claiming,
    /// Waits in the queue of its class.
    Queued,
    /// Waits for its next attempt: in the retry queue, or for the end of the backoff before that.
    Retrying,
    /// Uses a slot of an upstream.
    Trying(SendKey),
}

#[derive(Debug)]
struct Request {
    params: NewRequest,
    arrived: Millis,
    phase: Phase,
    granted_claim: Option<Claim>,
    tried_upstreams: SmallVec<[UpstreamKey; 3]>,
    attempt_count: usize,
    may_have_run: bool,
    upstream_refused: bool,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    request: RequestKey,
    class: RequestClass,
    upstream: UpstreamKey,
    pool: SlotPool,
    connection: ConnectionKey,
    /// When the request was handed to the connection, then when its first byte was sent; `None`
    /// while the connection is being opened.
    sent_at: Option<Millis>,
}

#[derive(Debug)]
struct Service {
    queues: [AdmissionQueue; 3],
    retry_queue: std::collections::VecDeque<RequestKey>,
    retry_budget: RetryBudget,
    general_dispatches: u32,
}

/// Routes the requests of one entry: a deterministic state machine without I/O.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    roster: RosterChange,
    rng: Pcg64Mcg,
    table: UpstreamTable,
    upstreams: FxHashMap<UpstreamKey, Upstream>,
    upstream_by_name: FxHashMap<Name, UpstreamKey>,
    services: FxHashMap<Name, Service>,
    requests: FxHashMap<RequestKey, Request>,
    attempts: FxHashMap<SendKey, Attempt>,
    connection_owner: FxHashMap<ConnectionKey, UpstreamKey>,
    /// Dropped attempts whose connections are being closed; their slots are in `held_slots`.
    dropped_sends: FxHashMap<ConnectionKey, SendKey>,
    held_slots: FxHashMap<SendKey, (UpstreamKey, SlotPool)>,
    claims: Claims,
    timers: Timers,
    next_period: Option<Millis>,
    next_gossip: Millis,
    next_upstream: u32,
    next_connection: u64,
    next_send: u64,
    stopping: bool,
    local_fault_suspected: bool,
    stats: Stats,
}

impl Router {
    /// A router that knows no upstreams yet. `seed` determines all random choices.
    pub fn new(config: RouterConfig, seed: u64) -> Router {
        let mut table = UpstreamTable::new(
            config.upstream_timeout_ms,
            config.warm_up_ms,
            !config.disabled.full_table_requests,
        );
        table.set_peers(&config.roster.peers(config.entry));
        Router {
            roster: config.roster.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            table,
            upstreams: FxHashMap::default(),
            upstream_by_name: FxHashMap::default(),
            services: FxHashMap::default(),
            requests: FxHashMap::default(),
            attempts: FxHashMap::default(),
            connection_owner: FxHashMap::default(),
            dropped_sends: FxHashMap::default(),
            held_slots: FxHashMap::default(),
            claims: Claims::default(),
            timers: Timers::default(),
            next_period: None,
            next_gossip: Millis::ZERO,
            next_upstream: 0,
            next_connection: 0,
            next_send: 0,
            stopping: false,
            local_fault_suspected: false,
            stats: Stats::default(),
            config,
        }
    }

    /// Handles one event at time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if self.next_period.is_none() {
            self.next_period = Some(now);
        }
        match event {
            Event::Arrived(params) => self.arrived(now, params, actions),
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
                self.response_truncated(now, connection, send, actions);
            }
            Event::Timer => {}
            Event::Announced(announcement) => {
                if self.table.apply_announcement(now, announcement) {
                    self.sync_upstreams(now, actions);
                }
            }
            Event::Gossip { gossip, token } => {
                let (reply, changed) = self.table.handle_gossip(now, gossip);
                actions.push(Action::GossipReply { token, reply });
                if changed {
                    self.sync_upstreams(now, actions);
                }
            }
            Event::GossipReply { peer, reply } => {
                if self.table.handle_reply(now, peer, reply) {
                    self.sync_upstreams(now, actions);
                }
            }
            Event::GossipFailed { peer } => self.table.send_failed(peer),
            Event::ClaimAnswered { call, result } => {
                self.claim_answered(now, call, result, actions);
            }
            Event::RosterChanged(roster) => self.roster_changed(now, roster, actions),
            Event::Stopping => self.stopping = true,
        }
        self.run_timers(now, actions);
        self.send_claims(actions);
    }

    /// The time at which `handle` must be called at the latest, with [`Event::Timer`] if there is
    /// no other event; `None` before the first event.
    pub fn next_timer(&self) -> Option<Millis> {
        [self.timers.next(), self.next_period]
            .into_iter()
            .flatten()
            .min()
    }

    fn run_timers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Deadline(request) => self.deadline_passed(now, request, actions),
                Timer::ClaimTimeout(request) => self.claim_timeout(now, request, actions),
                Timer::Retry(request) => self.retry_due(now, request, actions),
                Timer::AttemptTimeout(send) => self.attempt_timeout(now, send, actions),
                Timer::ConnectTimeout(connection) => self.connect_timeout(now, connection, actions),
                Timer::SlotHold(send) => self.release_held_slot(now, send, actions),
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
