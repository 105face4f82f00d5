//! The caller listener.
//!
//! Connections, heads, bodies and the memory for bodies are bounded, and a request is handed to
//! the router only once it has arrived in full. A caller that goes away is reported, so that its
//! request does not wait in a queue any longer.

mod reply;
mod request;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use sapphirepost_process::rate_limit::RateLimiter;
use sapphirepost_routing::Answer as Decided;
use sapphirepost_routing::Event;
use sapphirepost_routing::RequestKey;
use sapphirepost_types::RequestId;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::caller::request::Limits;
use crate::caller::request::Rejected;
use crate::clock::EntryClock;
use crate::router_thread::Input;
use crate::router_thread::Inputs;
use crate::router_thread::Reply;
use crate::write_timeout::WriteTimeout;

pub use crate::caller::request::HEAD_MAX_BYTES;
pub use crate::caller::request::ID_AGE_MAX_MS;

/// The read buffer of a connection. It is larger than the limit of a head, so that a head between
/// the two is refused with a body that explains it; beyond it `hyper` answers 431 by itself.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// How long a stopping listener waits for connections that are already established.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);
/// How long a connection stays open after the stop without a request.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// The least time between two log lines about unknown endings.
const UNKNOWN_LOG_MS: u64 = 100;

type Answer = Response<Full<Bytes>>;

/// What the listener needs.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// Where to listen.
    pub address: SocketAddr,
    /// The most connections at a time; further ones wait to be accepted.
    pub connections_max: usize,
    /// The longest time for a head, and for a connection without requests.
    pub head_timeout: Duration,
    /// The longest time for a body.
    pub body_timeout: Duration,
    /// The longest time without progress while an answer is written.
    pub write_timeout: Duration,
    /// The memory for bodies of requests, in KiB.
    pub request_budget_kib: usize,
}

struct Parts {
    config: CallerConfig,
    inputs: Inputs,
    clock: EntryClock,
    next_request: AtomicU64,
    limits: Limits,
    /// Limits the log of unknown endings.
    unknown: RateLimiter,
    /// Answers ask callers to close their connections.
    closing: AtomicBool,
}

/// The running listener.
pub struct CallerServer {
    parts: Arc<Parts>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    connections_max: usize,
}

impl CallerServer {
    /// Binds the address and starts to serve; requests go to the router's ring.
    pub fn start(
        runtime: &Handle,
        config: CallerConfig,
        inputs: Inputs,
        clock: EntryClock,
    ) -> io::Result<CallerServer> {
        let listener = runtime.block_on(TcpListener::bind(config.address))?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let connections_max = config.connections_max;
        let connections = Arc::new(Semaphore::new(connections_max));
        let limits = Limits {
            body_timeout: config.body_timeout,
            budget: Arc::new(Semaphore::new(config.request_budget_kib)),
        };
        let parts = Arc::new(Parts {
            config,
            inputs,
            clock,
            next_request: AtomicU64::new(0),
            limits,
            unknown: RateLimiter::new(UNKNOWN_LOG_MS),
            closing: AtomicBool::new(false),
        });
        runtime.spawn(accept(
            listener,
            parts.clone(),
            connections.clone(),
            stopped,
        ));
        Ok(CallerServer {
            parts,
            address,
            stop,
            connections,
            connections_max,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets answers ask callers to close their connections, so that few are left when the
    /// listener stops.
    pub fn ask_to_close(&self) {
        self.parts.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting; open connections finish the request that they carry and close.
    pub fn stop_accepting(&self) {
        self.stop.send_replace(true);
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.connections_max - self.connections.available_permits()
    }
}

async fn accept(
    listener: TcpListener,
    parts: Arc<Parts>,
    connections: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let permit = tokio::select! {
            permit = connections.clone().acquire_owned() => permit,
            _ = stopped.changed() => break,
        };
        let Ok(permit) = permit else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let serving = serve(stream, peer, parts.clone(), permit, stopped.clone());
                tokio::spawn(serving);
            }
            Err(error) => {
                // Out of file descriptors, for instance; accepting at once again would spin.
                log::warn!("caller listener cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
    // Connections that the system has accepted already would be reset with the listener.
    while let Ok(Ok((stream, peer))) = tokio::time::timeout(BACKLOG_WAIT, listener.accept()).await {
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(serve(stream, peer, parts.clone(), permit, stopped.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    parts: Arc<Parts>,
    permit: OwnedSemaphorePermit,
    mut stopped: watch::Receiver<bool>,
) {
    let _permit = permit;
    let _ = stream.set_nodelay(true);
    let stream = WriteTimeout::new(stream, parts.config.write_timeout);
    let head_timeout = parts.config.head_timeout;
    let service = service_fn(move |request| {
        let parts = parts.clone();
        async move { Ok::<_, Infallible>(handle(&parts, peer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stop_wait(&mut stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(peer:% = peer; "caller connection ended: {error}");
    }
}

/// Logs how a request ended; requests that may have run are named, because callers ask about them.
fn log_end(parts: &Parts, id: Option<&RequestId>, answer: &Decided) {
    let id = id.map_or_else(|| "none".to_owned(), RequestId::to_string);
    let Decided::Unknown { reason } = answer else {
        log::debug!(request:% = id, answer:? = answer; "request ended");
        return;
    };
    if let Some(held_back) = parts.unknown.pass("unknown", parts.clock.now()) {
        log::warn!(request:% = id, reason:? = reason, held_back = held_back; "request may have run");
    }
}

/// Waits for the stop, and then for requests that callers had sent before they learnt of it.
async fn stop_wait(stopped: &mut watch::Receiver<bool>) {
    // An error means that the listener is gone, which is a stop as well.
    let _ = stopped.wait_for(|stopped| *stopped).await;
    tokio::time::sleep(STOP_GRACE).await;
}

/// Reports a caller that went away before its answer.
struct Abandon<'a> {
    inputs: &'a Inputs,
    request: Option<RequestKey>,
}

impl Drop for Abandon<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            // A full ring only delays the end of the request to its deadline.
            self.inputs
                .try_send(Input::Event(Event::Abandoned(request)));
        }
    }
}

async fn handle(parts: &Parts, peer: SocketAddr, request: Request<Incoming>) -> Answer {
    let key = RequestKey(parts.next_request.fetch_add(1, Ordering::Relaxed));
    let mut answer = match request::read(&parts.limits, &parts.clock, key, peer, request).await {
        Ok((new, payload)) => route(parts, new, payload).await,
        Err(rejected) => reply::rejected(&rejected),
    };
    if parts.closing.load(Ordering::Relaxed) {
        reply::close(&mut answer);
    }
    answer
}

async fn route(
    parts: &Parts,
    new: sapphirepost_routing::NewRequest,
    payload: Arc<crate::upstream::Payload>,
) -> Answer {
    let (sender, receiver) = oneshot::channel();
    let request = new.key;
    let id = new.id.clone();
    let input = Input::Request {
        new,
        payload,
        reply: sender,
    };
    if !parts.inputs.try_send(input) {
        return reply::rejected(&Rejected::busy());
    }
    let mut abandon = Abandon {
        inputs: &parts.inputs,
        request: Some(request),
    };
    let answer = receiver.await;
    abandon.request = None;
    match answer {
        Ok(Reply::Forward(response)) => reply::forward(response),
        Ok(Reply::Own(answer)) => {
            log_end(parts, id.as_ref(), &answer);
            reply::own(&answer)
        }
        // The router thread ends only with the process.
        Err(_) => reply::rejected(&Rejected::lost()),
    }
}
