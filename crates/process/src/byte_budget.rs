//! The memory of a process for requests that arrive, shared by all of its listeners.
//!
//! Each connection has an account. Bytes are counted when they arrive or are allocated; the
//! declared length of an HTTP body reserves nothing. Clients that open many requests and do not
//! finish them must not use up the memory or lock out ordinary clients, so a part of the budget is
//! kept for small requests, and the request that has been arriving for the longest time makes room
//! for newer ones. The same accounts tell which connection makes room when a listener has no more
//! connections left.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use sapphirepost_types::Clock;
use thiserror::Error;
use tokio::sync::Notify;

use crate::clock::SystemClock;
use crate::metrics::Metrics;
use crate::rate_limit::RateLimiter;

/// The budget of a process that does not know the memory of its machine.
pub const DEFAULT_BYTES: usize = 64 * 1024 * 1024;
/// The part of the memory of the machine that requests may use. The rest is for the state of the
/// process, the buffers of idle connections, freed memory that the allocator has not returned yet,
/// and the decoded requests.
const MEMORY_DIVISOR: u64 = 6;
/// Requests of at most this size may use the whole budget, larger ones only three quarters of it.
const SMALL_BYTES: usize = 32 * 1024;
/// A request that arrives for a shorter time is not closed to make room.
const ARRIVAL_MIN: Duration = Duration::from_millis(250);
/// A connection that was idle for a shorter time may still be sending its last response.
const IDLE_MIN: Duration = Duration::from_millis(50);
/// The shortest time between two log lines with the same reason.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Identifies a listener within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerId(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has not sent anything yet.
    New,
    /// It has got a response and sent nothing since then.
    Idle,
    /// The head of a request, or a handshake, is incomplete.
    Head,
    /// The body of a request, or a message, is incomplete.
    Body,
    /// A request runs, or the connection belongs to a client that has completed its handshake.
    Running,
}

/// What the counted bytes of a connection are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes in the read buffer of the connection.
    Buffer,
    /// The body or the message.
    Body,
    /// What a handler needs beyond the body, such as its decoded form.
    Handler,
}

const PARTS: usize = 3;

/// Why a request was refused or a connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The budget is used up, and no slower request could make room.
    OverBudget,
    /// A request had been arriving for the longest time when the budget was used up.
    SlowestRequest,
    /// The listener needed the connection for another client.
    ConnectionNeeded,
    /// The head did not arrive in time.
    HeadTimeout,
    /// The client did not read its response.
    WriteTimeout,
}

impl Reason {
    fn name(self) -> &'static str {
        match self {
            Reason::OverBudget => "over_budget",
            Reason::SlowestRequest => "slowest_request",
            Reason::ConnectionNeeded => "connection_needed",
            Reason::HeadTimeout => "head_timeout",
            Reason::WriteTimeout => "write_timeout",
        }
    }
}

/// The budget is used up, and no slower request could make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the process has no memory left for requests")]
pub struct OverBudget;

/// The budget, in bytes, of a process on a machine with `memory_mb` MB of memory.
pub fn bytes_of_memory(memory_mb: u64) -> usize {
    (memory_mb.saturating_mul(1_000_000) / MEMORY_DIVISOR) as usize
}

struct Holder {
    listener: ListenerId,
    phase: Phase,
    /// When the phase began. [`Phase::Body`] continues the time of [`Phase::Head`].
    since: Instant,
    /// Whether the connection has got a response.
    is_served: bool,
    bytes: [usize; PARTS],
    /// Whether the connection was told to close.
    is_closing: bool,
    close: Arc<Notify>,
}

impl Holder {
    fn total_bytes(&self) -> usize {
        self.bytes.iter().sum()
    }

    fn is_arriving(&self) -> bool {
        matches!(self.phase, Phase::Head | Phase::Body)
    }

    /// How soon the connection makes room for a new one; `None` if it does not.
    fn slot_rank(&self, now: Instant) -> Option<u8> {
        let age = now.duration_since(self.since);
        match self.phase {
            Phase::New => Some(0),
            Phase::Head if !self.is_served => Some(0),
            Phase::Idle => (age >= IDLE_MIN).then_some(1),
            Phase::Head => Some(2),
            Phase::Body => (age >= ARRIVAL_MIN).then_some(3),
            Phase::Running => None,
        }
    }
}

#[derive(Default)]
struct State {
    holders: HashMap<u64, Holder>,
    next_holder: u64,
    next_listener: u64,
    held_bytes: usize,
    /// The part of `held_bytes` of connections that were told to close.
    closing_bytes: usize,
}

impl State {
    fn add(&mut self, holder: u64, part: Part, bytes: usize) {
        if let Some(known) = self.holders.get_mut(&holder) {
            known.bytes[part as usize] += bytes;
            self.held_bytes += bytes;
            if known.is_closing {
                self.closing_bytes += bytes;
            }
        }
    }

    fn release(&mut self, holder: u64, part: Part) {
        if let Some(known) = self.holders.get_mut(&holder) {
            let bytes = std::mem::take(&mut known.bytes[part as usize]);
            self.held_bytes -= bytes;
            if known.is_closing {
                self.closing_bytes -= bytes;
            }
        }
    }

    fn request_close(&mut self, holder: u64) {
        if let Some(known) = self.holders.get_mut(&holder) {
            known.is_closing = true;
            self.closing_bytes += known.total_bytes();
            known.close.notify_one();
        }
    }

    /// The request that has been arriving for the longest time.
    fn slowest(&self, now: Instant) -> Option<u64> {
        let arriving = self.holders.iter().filter(|(_, holder)| {
            holder.is_arriving()
                && !holder.is_closing
                && holder.total_bytes() > 0
                && now.duration_since(holder.since) >= ARRIVAL_MIN
        });
        let slowest = arriving.min_by_key(|(_, holder)| holder.since);
        slowest.map(|(id, _)| *id)
    }
}

struct Shared {
    limit_bytes: usize,
    state: Mutex<State>,
    clock: SystemClock,
    log: RateLimiter,
    held: Gauge,
    refused: Family<Vec<(String, String)>, Counter>,
}

/// The budget of a process; clones share it.
#[derive(Clone)]
pub struct ByteBudget(Arc<Shared>);

impl fmt::Debug for ByteBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("ByteBudget");
        debug.field("limit_bytes", &self.0.limit_bytes);
        debug.finish_non_exhaustive()
    }
}

impl Default for ByteBudget {
    fn default() -> ByteBudget {
        ByteBudget::new(DEFAULT_BYTES)
    }
}

impl ByteBudget {
    /// Creates a budget of `limit_bytes` bytes.
    pub fn new(limit_bytes: usize) -> ByteBudget {
        ByteBudget(Arc::new(Shared {
            limit_bytes,
            state: Mutex::default(),
            clock: SystemClock::new(),
            log: RateLimiter::new(LOG_INTERVAL_MS),
            held: Gauge::default(),
            refused: Family::default(),
        }))
    }

    /// Adds the metrics of the budget to those of the process.
    pub fn register(&self, metrics: &Metrics) {
        let help = "Bytes of incomplete and running requests";
        metrics.register("request_held_bytes", help, self.0.held.clone());
        let help = "Requests refused and connections closed to protect the process, by reason";
        metrics.register("request_limits", help, self.0.refused.clone());
    }

    /// Returns an ID for a further listener.
    pub fn listener(&self) -> ListenerId {
        let mut state = self.state();
        state.next_listener += 1;
        ListenerId(state.next_listener)
    }

    /// Opens the account of a connection.
    pub fn open(&self, listener: ListenerId) -> Account {
        let close = Arc::new(Notify::new());
        let holder = Holder {
            listener,
            phase: Phase::New,
            since: Instant::now(),
            is_served: false,
            bytes: [0; PARTS],
            is_closing: false,
            close: close.clone(),
        };
        let mut state = self.state();
        state.next_holder += 1;
        let id = state.next_holder;
        state.holders.insert(id, holder);
        Account {
            budget: self.clone(),
            id,
            close,
        }
    }

    /// Tells one connection of a listener to close: one that has had no response, then an idle one,
    /// then the slowest request. Connections that run a request stay open. Returns whether there is
    /// one to close.
    pub fn free_connection(&self, listener: ListenerId) -> bool {
        let now = Instant::now();
        let mut state = self.state();
        let of_listener = state.holders.iter();
        let of_listener =
            of_listener.filter(|(_, holder)| holder.listener == listener && !holder.is_closing);
        let ranked = of_listener.filter_map(|(id, holder)| {
            let rank = holder.slot_rank(now)?;
            Some((rank, holder.since, *id))
        });
        let Some((_, _, id)) = ranked.min() else {
            return false;
        };
        state.request_close(id);
        drop(state);
        self.record(Reason::ConnectionNeeded);
        true
    }

    /// Tells the connections of a listener to close whose head takes longer than `timeout`.
    pub fn close_slow_heads(&self, listener: ListenerId, timeout: Duration) {
        let now = Instant::now();
        let mut state = self.state();
        let is_slow = |holder: &Holder| {
            holder.listener == listener
                && holder.phase == Phase::Head
                && !holder.is_closing
                && now.duration_since(holder.since) > timeout
        };
        let slow = state.holders.iter().filter(|(_, holder)| is_slow(holder));
        let slow: Vec<u64> = slow.map(|(id, _)| *id).collect();
        slow.iter().for_each(|id| state.request_close(*id));
        drop(state);
        slow.iter().for_each(|_| self.record(Reason::HeadTimeout));
    }

    /// The bytes that all requests hold.
    pub fn held_bytes(&self) -> usize {
        self.state().held_bytes
    }

    /// Counts an event and logs it, at most once per second for each reason.
    pub fn record(&self, reason: Reason) {
        let labels = vec![("reason".to_owned(), reason.name().to_owned())];
        self.0.refused.get_or_create(&labels).inc();
        if let Some(suppressed) = self.0.log.allow(reason.name(), self.0.clock.now()) {
            log::warn!(
                reason = reason.name(), held_bytes = self.held_bytes(),
                limit_bytes = self.0.limit_bytes, suppressed;
                "request refused or connection closed"
            );
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn grow(&self, id: u64, part: Part, bytes: usize) -> Result<(), OverBudget> {
        let limit = self.0.limit_bytes;
        let mut state = self.state();
        let Some(total) = state.holders.get(&id).map(Holder::total_bytes) else {
            return Err(OverBudget);
        };
        let is_small = total + bytes <= SMALL_BYTES;
        let usable = if is_small { limit } else { limit / 4 * 3 };
        let mut closed = 0;
        let is_admitted = loop {
            // A connection that was told to close frees its memory soon. Until then, the budget may
            // be exceeded by a quarter.
            let fits = state.held_bytes - state.closing_bytes + bytes <= usable;
            if fits && state.held_bytes + bytes <= limit + limit / 4 {
                break true;
            }
            match state.slowest(Instant::now()) {
                Some(slowest) if slowest != id && !fits => state.request_close(slowest),
                _ => break false,
            }
            closed += 1;
        };
        if is_admitted {
            state.add(id, part, bytes);
        }
        self.0.held.set(state.held_bytes as i64);
        drop(state);
        (0..closed).for_each(|_| self.record(Reason::SlowestRequest));
        if is_admitted {
            return Ok(());
        }
        self.record(Reason::OverBudget);
        Err(OverBudget)
    }
}

/// The account of one connection; its bytes are returned when it is dropped.
#[derive(Debug)]
pub struct Account {
    budget: ByteBudget,
    id: u64,
    close: Arc<Notify>,
}

impl Account {
    /// Counts `bytes` more bytes, or returns an error if the budget is used up and no slower
    /// request can make room.
    pub fn grow(&self, part: Part, bytes: usize) -> Result<(), OverBudget> {
        if bytes == 0 {
            return Ok(());
        }
        self.budget.grow(self.id, part, bytes)
    }

    /// Counts bytes that were read from the connection into a buffer of `buffer_max` bytes. They
    /// begin a head if the connection was idle.
    pub fn add_arrived(&self, bytes: usize, buffer_max: usize) -> Result<(), OverBudget> {
        let mut state = self.budget.state();
        let Some(holder) = state.holders.get_mut(&self.id) else {
            return Err(OverBudget);
        };
        if matches!(holder.phase, Phase::New | Phase::Idle) {
            holder.phase = Phase::Head;
            holder.since = Instant::now();
        }
        let buffered = holder.bytes[Part::Buffer as usize];
        drop(state);
        self.grow(Part::Buffer, bytes.min(buffer_max.saturating_sub(buffered)))
    }

    /// Returns the bytes of a part to the budget.
    pub fn release(&self, part: Part) {
        let mut state = self.budget.state();
        state.release(self.id, part);
        self.budget.0.held.set(state.held_bytes as i64);
    }

    /// Records what the connection does from now on.
    pub fn enter(&self, phase: Phase) {
        let mut state = self.budget.state();
        let Some(holder) = state.holders.get_mut(&self.id) else {
            return;
        };
        if holder.phase != Phase::Head || phase != Phase::Body {
            holder.since = Instant::now();
        }
        holder.is_served |= phase == Phase::Idle;
        holder.phase = phase;
    }

    /// Waits until the connection has to close.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// Counts and logs an event of this connection.
    pub fn record(&self, reason: Reason) {
        self.budget.record(reason);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        if let Some(holder) = state.holders.remove(&self.id) {
            let bytes = holder.total_bytes();
            state.held_bytes -= bytes;
            if holder.is_closing {
                state.closing_bytes -= bytes;
            }
        }
        self.budget.0.held.set(state.held_bytes as i64);
    }
}
