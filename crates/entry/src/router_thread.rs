//! The thread that owns the router.
//!
//! Inputs arrive in one bounded ring. The thread never waits for anything else: it hands work to
//! connections, callers, peers and control through channels that cannot block.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use rustc_hash::FxHashMap;
use sapphirepost_process::RpcError;
use sapphirepost_process::admin::DumpRequest;
use sapphirepost_process::rpc::Responder;
use sapphirepost_protocol::gossip::Gossip;
use sapphirepost_protocol::gossip::GossipReply;
use sapphirepost_routing::Action;
use sapphirepost_routing::Answer;
use sapphirepost_routing::ConnectionKey;
use sapphirepost_routing::Event;
use sapphirepost_routing::NewRequest;
use sapphirepost_routing::ReplyToken;
use sapphirepost_routing::RequestKey;
use sapphirepost_routing::ResponseSummary;
use sapphirepost_routing::Router;
use sapphirepost_routing::RouterConfig;
use sapphirepost_routing::SendKey;
use sapphirepost_routing::Stats;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock::EntryClock;
use crate::dump;
use crate::peers::Peers;
use crate::upstream;
use crate::upstream::Complete;
use crate::upstream::Job;
use crate::upstream::Payload;
use crate::upstream::Shared;

/// Inputs that may wait for the thread.
const RING: usize = 16 * 1024;
/// Inputs that are taken before timers and dumps get their turn.
const BURST: usize = 256;
/// The longest wait while nothing happens.
const WAIT_MAX: Duration = Duration::from_millis(100);

/// What the thread takes.
#[derive(Debug)]
pub enum Input {
    /// An event without a body.
    Event(Event),
    /// A caller's request.
    Request {
        /// What the router needs to know.
        new: NewRequest,
        /// What is sent to the upstream.
        payload: Arc<Payload>,
        /// Where the answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// A complete response.
    Response {
        /// The connection.
        connection: ConnectionKey,
        /// The try.
        send: SendKey,
        /// What the router needs to know.
        summary: ResponseSummary,
        /// What is sent to the caller.
        response: Complete,
    },
    /// Differences from a peer.
    Gossip(Gossip, Responder<GossipReply>),
}

/// The answer to a caller's request.
#[derive(Debug)]
pub enum Reply {
    /// The response of an upstream.
    Forward(Complete),
    /// An answer of the entry.
    Own(Answer),
}

/// The sending end of the thread's ring.
#[derive(Clone, Debug)]
pub struct Inputs(flume::Sender<Input>);

impl Inputs {
    /// Puts an input into the ring, waiting for room.
    pub async fn send(&self, input: Input) {
        // The thread ends last, with the process.
        let _ = self.0.send_async(input).await;
    }

    /// Puts an input into the ring if there is room.
    pub fn try_send(&self, input: Input) -> bool {
        self.0.try_send(input).is_ok()
    }
}

/// What other threads may know of the router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Status {
    /// Requests without an answer.
    pub in_flight: usize,
    /// Whether nothing is in flight and all claim outcomes are reported.
    pub is_idle: bool,
    /// Whether the upstream table is known.
    pub knows_table: bool,
    /// Whether all upstreams seem dead at once.
    pub suspects_itself: bool,
    /// Whether every runner is used within this entry's share.
    pub is_within_shares: bool,
    /// Known upstreams.
    pub upstreams: usize,
    /// Counters.
    pub stats: Stats,
}

/// The status of the router, written by its thread.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Arc<Mutex<Status>>);

impl SharedStatus {
    /// The last status.
    pub fn get(&self) -> Status {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, status: Status) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

/// The ring of a router thread that is not started yet.
pub fn ring() -> (Inputs, flume::Receiver<Input>) {
    let (sender, receiver) = flume::bounded(RING);
    (Inputs(sender), receiver)
}

/// What the thread needs.
pub struct Parts {
    /// The parameters of the router.
    pub config: RouterConfig,
    /// The seed of its random choices.
    pub seed: u64,
    /// The ring of [`ring`].
    pub inputs: (Inputs, flume::Receiver<Input>),
    /// Requests for the state dump.
    pub dumps: flume::Receiver<DumpRequest>,
    /// The runtime of the connections.
    pub runtime: Handle,
    /// The clock.
    pub clock: EntryClock,
    /// The memory budget for responses, in units of 1 KiB.
    pub budget: Arc<Semaphore>,
    /// The way to peers and control.
    pub peers: Peers,
    /// Where the status is written.
    pub status: SharedStatus,
}

/// Starts the thread; it ends with the process.
pub fn start(parts: Parts) -> std::io::Result<()> {
    thread::Builder::new()
        .name("router".to_owned())
        .spawn(move || RouterThread::new(parts).run())?;
    Ok(())
}

struct Waiting {
    payload: Arc<Payload>,
    reply: oneshot::Sender<Reply>,
}

struct RouterThread {
    router: Router,
    receiver: flume::Receiver<Input>,
    dumps: flume::Receiver<DumpRequest>,
    runtime: Handle,
    shared: Shared,
    peers: Peers,
    status: SharedStatus,
    waiting: FxHashMap<RequestKey, Waiting>,
    connections: FxHashMap<ConnectionKey, mpsc::Sender<Job>>,
    responders: FxHashMap<ReplyToken, Responder<GossipReply>>,
    response: Option<(SendKey, Complete)>,
    next_token: u64,
    actions: Vec<Action>,
    /// Events that follow from actions.
    follow_up: Vec<Event>,
}

impl RouterThread {
    fn new(parts: Parts) -> RouterThread {
        let (inputs, receiver) = parts.inputs;
        RouterThread {
            router: Router::new(parts.config, parts.seed),
            receiver,
            dumps: parts.dumps,
            runtime: parts.runtime,
            shared: Shared {
                inputs,
                clock: parts.clock,
                budget: parts.budget,
            },
            peers: parts.peers,
            status: parts.status,
            waiting: FxHashMap::default(),
            connections: FxHashMap::default(),
            responders: FxHashMap::default(),
            response: None,
            next_token: 0,
            actions: Vec::new(),
            follow_up: Vec::new(),
        }
    }

    fn run(mut self) {
        self.handle(Event::Timer);
        loop {
            match self.receiver.recv_timeout(self.wait()) {
                Ok(input) => self.take(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            for _ in 0..BURST {
                match self.receiver.try_recv() {
                    Ok(input) => self.take(input),
                    Err(_) => break,
                }
            }
            let now = self.shared.clock.now();
            if self.router.next_timer().is_some_and(|at| at <= now) {
                self.handle(Event::Timer);
            }
            self.publish();
        }
    }

    fn wait(&self) -> Duration {
        let now = self.shared.clock.now();
        let wait = self.router.next_timer().map_or(WAIT_MAX, |at| {
            Duration::from_millis(at.since(now)).min(WAIT_MAX)
        });
        wait.max(Duration::from_micros(100))
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(event) => {
                if let Event::OpenFailed(connection) | Event::Closed(connection) = event {
                    self.connections.remove(&connection);
                }
                self.handle(event);
            }
            Input::Request {
                new,
                payload,
                reply,
            } => {
                self.waiting.insert(new.key, Waiting { payload, reply });
                self.handle(Event::Arrived(new));
            }
            Input::Response {
                connection,
                send,
                summary,
                response,
            } => {
                self.response = Some((send, response));
                self.handle(Event::ResponseEnd {
                    connection,
                    send,
                    summary,
                });
                self.response = None;
            }
            Input::Gossip(gossip, responder) => {
                let token = ReplyToken(self.next_token);
                self.next_token += 1;
                self.responders.insert(token, responder);
                self.handle(Event::Gossip { gossip, token });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        self.handle_one(event);
        while let Some(event) = self.follow_up.pop() {
            self.handle_one(event);
        }
    }

    fn handle_one(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router
            .handle(self.shared.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Open {
                connection,
                address,
            } => {
                // One job at a time: the router sends the next one after the response.
                let (sender, jobs) = mpsc::channel(1);
                self.connections.insert(connection, sender);
                let task = upstream::run(connection, address, jobs, self.shared.clone());
                self.runtime.spawn(task);
            }
            Action::Send {
                connection,
                send,
                request,
                not_after,
                keep,
            } => self.send(connection, send, request, not_after, keep),
            Action::Close(connection) => {
                self.connections.remove(&connection);
            }
            Action::Respond { request, answer } => self.respond(request, answer),
            Action::Claim {
                call,
                claims,
                outcomes,
            } => self.peers.claim(call, claims, outcomes),
            Action::Gossip { peer, gossip } => self.peers.gossip(peer, gossip),
            Action::GossipReply { token, reply } => {
                if let Some(responder) = self.responders.remove(&token) {
                    responder.send(Ok::<_, RpcError>(reply));
                }
            }
        }
    }

    fn send(
        &mut self,
        connection: ConnectionKey,
        send: SendKey,
        request: RequestKey,
        not_after: sapphirepost_types::Millis,
        keep: bool,
    ) {
        let waiting = self.waiting.get(&request);
        let sender = self.connections.get(&connection);
        let handed = match (waiting, sender) {
            (Some(waiting), Some(sender)) => {
                let job = Job {
                    send,
                    payload: waiting.payload.clone(),
                    not_after,
                    keep,
                };
                sender.try_send(job).is_ok()
            }
            _ => false,
        };
        if !handed {
            // The connection has ended and its `Closed` is on the way.
            self.follow_up.push(Event::NotSent { connection, send });
        }
    }

    fn respond(&mut self, request: RequestKey, answer: Answer) {
        let Some(waiting) = self.waiting.remove(&request) else {
            return;
        };
        let reply = match answer {
            Answer::Forward(send) => match self.response.take() {
                Some((of, response)) if of == send => Reply::Forward(response),
                other => {
                    // The router forwards a response only while it handles its end.
                    log::error!("no response for a forwarded request, got {other:?}");
                    let reason = sapphirepost_routing::UnknownReason::Broken;
                    Reply::Own(Answer::Unknown { reason })
                }
            },
            other => Reply::Own(other),
        };
        let _ = waiting.reply.send(reply);
    }

    fn publish(&mut self) {
        let now = self.shared.clock.now();
        while let Ok(reply) = self.dumps.try_recv() {
            let _ = reply.try_send(dump::dump(&self.router, now));
        }
        self.status.set(Status {
            in_flight: self.router.in_flight(),
            is_idle: self.router.is_idle(),
            knows_table: self.router.knows_table(now),
            suspects_itself: self.router.suspects_itself(),
            is_within_shares: self.router.is_within_shares(),
            upstreams: self.router.upstream_count(),
            stats: self.router.stats(),
        });
    }
}
