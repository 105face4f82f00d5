//! The thread that owns the router.
//!
//! Inputs arrive on one bounded channel. The thread blocks on nothing else: it passes work to
//! connections, callers, peers and control processes through calls that do not block.

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
use crate::upstream::CompleteResponse;
use crate::upstream::Payload;
use crate::upstream::SendCommand;
use crate::upstream::Shared;

/// The capacity of the input channel.
const INPUT_CHANNEL_CAPACITY: usize = 16 * 1024;
/// The most inputs that are handled after the first one before dumps are served and the status is
/// updated.
const INPUT_BATCH_MAX: usize = 256;
/// The longest wait for an input, after which dumps are served and the status is updated.
const IDLE_WAIT_MAX: Duration = Duration::from_millis(100);

/// An input of the router thread.
#[derive(Debug)]
pub enum Input {
    /// An event that carries no request or response body.
    Event(Event),
    /// A caller's request.
    Request {
        /// The properties of the request by which the router decides.
        new: NewRequest,
        /// The request to send to the upstream.
        payload: Arc<Payload>,
        /// Receives the answer.
        reply: oneshot::Sender<Reply>,
    },
    /// A complete response of an upstream.
    Response {
        /// The connection on which it arrived.
        connection: ConnectionKey,
        /// The attempt that it answers.
        send: SendKey,
        /// The properties of the response by which the router decides.
        summary: ResponseSummary,
        /// The response to send to the caller.
        response: CompleteResponse,
    },
    /// Changes of the upstream table from a peer entry.
    Gossip(Gossip, Responder<GossipReply>),
}

/// The result of a caller's request.
#[derive(Debug)]
pub enum Reply {
    /// The response of an upstream.
    Forward(CompleteResponse),
    /// An answer of the router; never [`Answer::Forward`].
    Generated(Answer),
}

/// The sending end of the router thread's input channel.
#[derive(Clone, Debug)]
pub struct Inputs(flume::Sender<Input>);

impl Inputs {
    /// Sends an input and waits while the channel is full.
    pub async fn send(&self, input: Input) {
        // The router thread runs until the process ends.
        let _ = self.0.send_async(input).await;
    }

    /// Sends an input unless the channel is full; returns whether it was sent.
    pub fn try_send(&self, input: Input) -> bool {
        self.0.try_send(input).is_ok()
    }
}

/// The state of the router that other threads can read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Status {
    /// The number of requests that are not answered yet.
    pub in_flight: usize,
    /// Whether no request is in flight and the control processes have acknowledged all claim
    /// outcomes.
    pub is_idle: bool,
    /// Whether the upstream table can be assumed to be complete.
    pub knows_table: bool,
    /// Whether a fault of this entry is suspected, because all upstreams with recent attempts, at
    /// least two, fail at once.
    pub suspects_itself: bool,
    /// Whether no upstream is used beyond this entry's share.
    pub is_within_shares: bool,
    /// The number of known upstreams.
    pub upstreams: usize,
    /// Counters since the start of the process.
    pub stats: Stats,
}

/// The latest [`Status`], shared between the router thread, which writes it, and its readers.
#[derive(Clone, Debug, Default)]
pub struct SharedStatus(Arc<Mutex<Status>>);

impl SharedStatus {
    /// The latest status; the default before the first one.
    pub fn get(&self) -> Status {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, status: Status) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

/// Creates the input channel for [`RouterThreadParts::inputs`].
pub fn input_channel() -> (Inputs, flume::Receiver<Input>) {
    let (sender, receiver) = flume::bounded(INPUT_CHANNEL_CAPACITY);
    (Inputs(sender), receiver)
}

/// What [`start`] passes to the router thread.
pub struct RouterThreadParts {
    /// The configuration of the router.
    pub config: RouterConfig,
    /// The seed of the router's random choices.
    pub seed: u64,
    /// The channel from [`input_channel`]; the sending end is for the connections to upstreams.
    pub inputs: (Inputs, flume::Receiver<Input>),
    /// Requests for a state dump.
    pub dumps: flume::Receiver<DumpRequest>,
    /// The runtime on which the connections to upstreams run.
    pub runtime: Handle,
    /// The clock that stamps the events of the router.
    pub clock: EntryClock,
    /// The memory budget for response bodies; a permit stands for 1 KiB.
    pub budget: Arc<Semaphore>,
    /// Sends gossip to peer entries and claims to control processes.
    pub peers: Peers,
    /// Where the thread publishes its status.
    pub status: SharedStatus,
}

/// Starts the thread, which runs until the process ends.
pub fn start(parts: RouterThreadParts) -> std::io::Result<()> {
    thread::Builder::new()
        .name("router".to_owned())
        .spawn(move || RouterThread::new(parts).run())?;
    Ok(())
}

/// A request of a caller that is not answered yet.
struct PendingRequest {
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
    pending: FxHashMap<RequestKey, PendingRequest>,
    connections: FxHashMap<ConnectionKey, mpsc::Sender<SendCommand>>,
    responders: FxHashMap<ReplyToken, Responder<GossipReply>>,
    /// The response that is being handled, for [`Answer::Forward`].
    response: Option<(SendKey, CompleteResponse)>,
    next_token: u64,
    /// The buffer for the actions of one event, kept for its allocation.
    actions: Vec<Action>,
    /// Events that result from actions and are handled next.
    follow_up: Vec<Event>,
}

impl RouterThread {
    fn new(parts: RouterThreadParts) -> RouterThread {
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
            pending: FxHashMap::default(),
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
            match self.receiver.recv_timeout(self.input_timeout()) {
                Ok(input) => self.handle_input(input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            for _ in 0..INPUT_BATCH_MAX {
                match self.receiver.try_recv() {
                    Ok(input) => self.handle_input(input),
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

    fn input_timeout(&self) -> Duration {
        let now = self.shared.clock.now();
        let wait = self.router.next_timer().map_or(IDLE_WAIT_MAX, |at| {
            Duration::from_millis(at.since(now)).min(IDLE_WAIT_MAX)
        });
        wait.max(Duration::from_micros(100))
    }

    fn handle_input(&mut self, input: Input) {
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
                self.pending
                    .insert(new.key, PendingRequest { payload, reply });
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
        self.handle_single(event);
        while let Some(event) = self.follow_up.pop() {
            self.handle_single(event);
        }
    }

    fn handle_single(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router
            .handle(self.shared.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(action);
        }
        self.actions = actions;
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Open {
                connection,
                address,
            } => {
                // One command at a time: the router sends the next request after the response.
                let (sender, commands) = mpsc::channel(1);
                self.connections.insert(connection, sender);
                let task = upstream::run(connection, address, commands, self.shared.clone());
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
        let pending = self.pending.get(&request);
        let sender = self.connections.get(&connection);
        let is_sent = match (pending, sender) {
            (Some(pending), Some(sender)) => {
                let command = SendCommand {
                    send,
                    payload: pending.payload.clone(),
                    not_after,
                    keep,
                };
                sender.try_send(command).is_ok()
            }
            _ => false,
        };
        if !is_sent {
            // The connection has ended; its `Closed` event follows.
            self.follow_up.push(Event::NotSent { connection, send });
        }
    }

    fn respond(&mut self, request: RequestKey, answer: Answer) {
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let reply = match answer {
            Answer::Forward(send) => match self.response.take() {
                Some((key, response)) if key == send => Reply::Forward(response),
                other => {
                    // The router forwards a response only while it handles the end of that
                    // response.
                    log::error!("no response for a forwarded request, got {other:?}");
                    let reason = sapphirepost_routing::UnknownReason::Broken;
                    Reply::Generated(Answer::Unknown { reason })
                }
            },
            other => Reply::Generated(other),
        };
        let _ = pending.reply.send(reply);
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
