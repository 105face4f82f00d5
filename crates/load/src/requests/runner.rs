//! Simulated upstreams inside this process, called runners.
//!
//! A runner runs 8 requests at a time; further ones wait in its own queue, as in a server without
//! admission control. Duplicate and aborted requests are detected by the counts that the runners
//! keep.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sapphirepost_protocol::gossip::AnnounceReply;
use sapphirepost_protocol::gossip::Announcement;
use sapphirepost_protocol::gossip::UpstreamStatus;
use sapphirepost_protocol::header;
use sapphirepost_standin::entries::Entries;
use sapphirepost_types::Incarnation;
use sapphirepost_types::Name;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;

use crate::requests::response_body::ResponseBody;

/// Number of requests that a runner runs at a time.
pub const SLOTS: u16 = 8;
const CONNECTIONS_MAX: u16 = 64;
const ANNOUNCE_PATH: &str = "/v1/upstreams/announce";
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Counters shared by all runners of an experiment.
#[derive(Debug, Default)]
pub struct RunnerCounters {
    /// Number of runs by request ID.
    runs: Mutex<HashMap<String, u64>>,
    /// Requests whose connection was closed before the response, except requests to a stalling
    /// runner.
    pub aborted: AtomicU64,
    /// When a leaving runner got its last new request, in milliseconds after it began to leave.
    pub last_new_ms: AtomicU64,
}

impl RunnerCounters {
    /// Returns the number of request IDs that ran more than once.
    pub fn duplicates(&self) -> usize {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().filter(|count| **count > 1).count()
    }

    /// Counts a run of a request.
    fn record(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.to_owned()).or_default() += 1;
    }

    /// Returns the number of runs by request ID, and resets them.
    pub fn take_runs(&self) -> HashMap<String, u64> {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *runs)
    }

    /// Returns whether a request with this ID ran.
    pub fn ran(&self, id: &str) -> bool {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.contains_key(id)
    }
}

/// A simulated upstream of the service `logbook`. Its public flags switch faults on and off.
#[derive(Debug)]
pub struct Runner {
    name: Name,
    failure_domain: Name,
    /// Address at which it listens.
    pub address: SocketAddr,
    slots: Semaphore,
    /// Whether it accepts requests and never responds.
    pub stalls: AtomicBool,
    /// Whether it fails every request at once.
    pub fails: AtomicBool,
    /// Whether it truncates the body of each response.
    pub truncates_bodies: AtomicBool,
    /// Whether requests that fail or stall count as run.
    pub runs_before_faults: AtomicBool,
    /// When it began to leave; `None` while it serves.
    leaving_at: Mutex<Option<Instant>>,
    sequence: AtomicU64,
    counters: Arc<RunnerCounters>,
}

impl Runner {
    /// Starts a runner; entries learn its address from [`Runner::announce`].
    pub fn start(
        runtime: &Handle,
        index: usize,
        counters: Arc<RunnerCounters>,
    ) -> anyhow::Result<Arc<Runner>> {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let runner = Arc::new(Runner {
            name: Name::new(&format!("runner-{index:03}"))?,
            failure_domain: Name::new(["a", "b", "c"][index % 3])?,
            address: listener.local_addr()?,
            slots: Semaphore::new(usize::from(SLOTS)),
            stalls: AtomicBool::new(false),
            fails: AtomicBool::new(false),
            truncates_bodies: AtomicBool::new(false),
            runs_before_faults: AtomicBool::new(false),
            leaving_at: Mutex::new(None),
            sequence: AtomicU64::new(0),
            counters,
        });
        runtime.spawn(accept(listener, runner.clone()));
        Ok(runner)
    }

    /// Begins to leave; the next announcement has the status `Leaving`.
    pub fn leave(&self) {
        *self
            .leaving_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn leaving_since(&self) -> Option<Instant> {
        *self
            .leaving_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces the runner to an entry, and to the next one if that fails. Each call begins with
    /// another entry.
    pub fn announce(&self, entries: &Entries) {
        let announcement = Announcement {
            name: self.name.clone(),
            service: Name::new("logbook").expect("a valid name"),
            address: self.address.to_string(),
            failure_domain: self.failure_domain.clone(),
            slots: SLOTS,
            connections: CONNECTIONS_MAX,
            incarnation: Incarnation(1),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            status: if self.leaving_since().is_some() {
                UpstreamStatus::Leaving
            } else {
                UpstreamStatus::Serving
            },
        };
        let posted =
            entries.post::<_, AnnounceReply>(ANNOUNCE_PATH, &announcement, ANNOUNCE_TIMEOUT);
        if posted.is_err() {
            let _ =
                entries.post::<_, AnnounceReply>(ANNOUNCE_PATH, &announcement, ANNOUNCE_TIMEOUT);
        }
        entries.advance();
    }
}

/// Announces all runners every second until `stop` is set.
pub fn announce_all(runners: &[Arc<Runner>], entries: &Entries, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        for runner in runners {
            runner.announce(entries);
        }
        std::thread::sleep(ANNOUNCE_INTERVAL.saturating_sub(began.elapsed()));
    }
}

async fn accept(listener: TcpListener, runner: Arc<Runner>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let runner = runner.clone();
        let service = service_fn(move |request| {
            let runner = runner.clone();
            async move { Ok::<_, Infallible>(handle_request(&runner, request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
}

/// Counts a request as aborted if it is dropped before the response is ready.
struct AbortGuard<'a>(Option<&'a RunnerCounters>);

impl Drop for AbortGuard<'_> {
    fn drop(&mut self) {
        if let Some(counters) = self.0 {
            counters.aborted.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn handle_request(runner: &Runner, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().to_string();
    let id = request
        .headers()
        .get(header::CALLER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let counters = &runner.counters;
    let (stalls, fails) = (&runner.stalls, &runner.fails);
    let is_faulty = stalls.load(Ordering::Relaxed) || fails.load(Ordering::Relaxed);
    if let Some(id) = &id
        && is_faulty
        && runner.runs_before_faults.load(Ordering::Relaxed)
    {
        counters.record(id);
    }
    if stalls.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    if fails.load(Ordering::Relaxed) {
        let mut response = Response::new(ResponseBody::whole(Bytes::from_static(b"fault")));
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return response;
    }
    if let Some(leaving_since) = runner.leaving_since() {
        let since_leaving_ms = leaving_since.elapsed().as_millis() as u64;
        counters
            .last_new_ms
            .fetch_max(since_leaving_ms, Ordering::Relaxed);
    }
    let mut abort_guard = AbortGuard(Some(counters));
    let _ = request.into_body().collect().await;
    let Ok(_slot) = runner.slots.acquire().await else {
        return Response::default();
    };
    if let Some(id) = id {
        counters.record(&id);
    }
    let run_ms = parse_run_ms(&path);
    // A sleep of 0 ms would last until the next tick of the runtime's timer.
    if run_ms > 0 {
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
    }
    abort_guard.0 = None;
    if runner.truncates_bodies.load(Ordering::Relaxed) {
        return Response::new(ResponseBody::truncated(&Bytes::from(path)));
    }
    Response::new(ResponseBody::whole(Bytes::from(path)))
}

fn parse_run_ms(path: &str) -> u64 {
    path.rsplit_once("run_ms=")
        .and_then(|(_, text)| text.split('&').next()?.parse().ok())
        .unwrap_or(1)
}
