//! The listener for callers.
//!
//! The number of connections, the size and time of heads and bodies, and the memory for bodies are
//! limited. A request is passed to the router only after it has arrived completely. When a caller
//! disconnects, the router is told, so that the request does not stay in a queue.

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
use sapphirepost_process::write_timeout::WriteTimeout;
use sapphirepost_routing::Answer as RouterAnswer;
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

pub use crate::caller::request::HEAD_MAX_BYTES;
pub use crate::caller::request::ID_AGE_MAX_MS;

/// The size of the read buffer of a connection. It is larger than [`HEAD_MAX_BYTES`], so that a
/// head between the two sizes is refused with an explanation in the body; `hyper` itself answers
/// longer heads with status 431.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// How long a stopping listener waits for each further connection in the system's accept backlog.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);
/// How long connections accept further requests after the listener has stopped.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// The shortest interval between two log lines about unknown outcomes.
const UNKNOWN_LOG_MS: u64 = 100;

type CallerResponse = Response<Full<Bytes>>;

/// The address and the limits of the listener.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The most open connections; further ones wait in the accept backlog until one closes.
    pub connections_max: usize,
    /// The time limit for a head; also how long a connection may stay idle.
    pub head_timeout: Duration,
    /// The time limit for a body.
    pub body_timeout: Duration,
    /// The time limit for one write of an answer to make progress.
    pub write_timeout: Duration,
    /// The memory budget for request bodies, in KiB.
    pub request_budget_kib: usize,
}

/// What all connections share.
struct Shared {
    config: CallerConfig,
    inputs: Inputs,
    clock: EntryClock,
    next_request: AtomicU64,
    limits: Limits,
    /// Limits the rate of log lines about unknown outcomes.
    unknown_outcome_log: RateLimiter,
    /// Whether answers carry `connection: close`.
    closing: AtomicBool,
}

/// The running listener; it stops accepting when dropped.
pub struct CallerServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: Arc<Semaphore>,
    connections_max: usize,
}

impl CallerServer {
    /// Binds the address and starts to serve; requests are sent to `inputs`. Blocks the calling
    /// thread meanwhile, so it must not be called from a task of a runtime.
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
        let shared = Arc::new(Shared {
            config,
            inputs,
            clock,
            next_request: AtomicU64::new(0),
            limits,
            unknown_outcome_log: RateLimiter::new(UNKNOWN_LOG_MS),
            closing: AtomicBool::new(false),
        });
        runtime.spawn(accept(
            listener,
            shared.clone(),
            connections.clone(),
            stopped,
        ));
        Ok(CallerServer {
            shared,
            address,
            stop,
            connections,
            connections_max,
        })
    }

    /// The bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds `connection: close` to all further answers, so that few connections are left when the
    /// listener stops.
    pub fn request_close(&self) {
        self.shared.closing.store(true, Ordering::Relaxed);
    }

    /// Stops accepting once the connections that wait in the backlog are accepted. Open connections
    /// close after a grace period of 500 ms, or when the request that they carry then has finished.
    pub fn stop_accepting(&self) {
        self.stop.send_replace(true);
    }

    /// The number of open connections. Until the listener stops accepting, the count can include a
    /// permit that it reserves for the next connection.
    pub fn open_connections(&self) -> usize {
        self.connections_max - self.connections.available_permits()
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<Shared>,
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
                let serving = serve(stream, peer, shared.clone(), permit, stopped.clone());
                tokio::spawn(serving);
            }
            Err(error) => {
                // If file descriptors are exhausted, for example, an immediate retry would
                // busy-loop.
                log::warn!("caller listener cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
    // Closing the listener would reset connections that wait in its backlog.
    while let Ok(Ok((stream, peer))) = tokio::time::timeout(BACKLOG_WAIT, listener.accept()).await {
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(serve(stream, peer, shared.clone(), permit, stopped.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    shared: Arc<Shared>,
    permit: OwnedSemaphorePermit,
    mut stopped: watch::Receiver<bool>,
) {
    let _permit = permit;
    let _ = stream.set_nodelay(true);
    let stream = WriteTimeout::new(stream, shared.config.write_timeout);
    let head_timeout = shared.config.head_timeout;
    let service = service_fn(move |request| {
        let shared = shared.clone();
        async move { Ok::<_, Infallible>(handle(&shared, peer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(BUFFER_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = wait_for_stop(&mut stopped) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(peer:% = peer; "caller connection ended: {error}");
    }
}

/// Logs the end of a request that was answered by the router and not by an upstream. Requests that
/// may have run are logged as warnings with their ID, because callers ask operators about them.
fn log_end(shared: &Shared, id: Option<&RequestId>, answer: &RouterAnswer) {
    let id = id.map_or_else(|| "none".to_owned(), RequestId::to_string);
    let RouterAnswer::Unknown { reason } = answer else {
        log::debug!(request:% = id, answer:? = answer; "request ended");
        return;
    };
    if let Some(suppressed) = shared
        .unknown_outcome_log
        .allow("unknown", shared.clock.now())
    {
        log::warn!(request:% = id, reason:? = reason, suppressed = suppressed; "request may have run");
    }
}

/// Waits until the listener stops, and then for [`STOP_GRACE`], in which requests can still arrive
/// that callers sent before they noticed the stop.
async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the `CallerServer` was dropped, which also stops the listener.
    let _ = stopped.wait_for(|stopped| *stopped).await;
    tokio::time::sleep(STOP_GRACE).await;
}

/// Reports the request as abandoned when the guard is dropped before the answer, which happens when
/// the caller disconnects.
struct AbandonGuard<'a> {
    inputs: &'a Inputs,
    request: Option<RequestKey>,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if let Some(request) = self.request {
            // If the channel is full, the router keeps the request until it is answered or its
            // deadline passes.
            self.inputs
                .try_send(Input::Event(Event::Abandoned(request)));
        }
    }
}

async fn handle(shared: &Shared, peer: SocketAddr, request: Request<Incoming>) -> CallerResponse {
    let key = RequestKey(shared.next_request.fetch_add(1, Ordering::Relaxed));
    let mut response = match request::read(&shared.limits, &shared.clock, key, peer, request).await
    {
        Ok((new, payload)) => route(shared, new, payload).await,
        Err(rejected) => reply::rejected(&rejected),
    };
    if shared.closing.load(Ordering::Relaxed) {
        reply::close(&mut response);
    }
    response
}

async fn route(
    shared: &Shared,
    new: sapphirepost_routing::NewRequest,
    payload: Arc<crate::upstream::Payload>,
) -> CallerResponse {
    let (sender, receiver) = oneshot::channel();
    let request = new.key;
    let id = new.id.clone();
    let input = Input::Request {
        new,
        payload,
        reply: sender,
    };
    if !shared.inputs.try_send(input) {
        return reply::rejected(&Rejected::busy());
    }
    let mut guard = AbandonGuard {
        inputs: &shared.inputs,
        request: Some(request),
    };
    let reply = receiver.await;
    guard.request = None;
    match reply {
        Ok(Reply::Forward(response)) => reply::forward(response),
        Ok(Reply::Generated(answer)) => {
            log_end(shared, id.as_ref(), &answer);
            reply::router_answer(&answer)
        }
        // The router thread runs until the process ends.
        Err(_) => reply::rejected(&Rejected::router_ended()),
    }
}
