//! Runners inside this process.
//!
//! A runner runs 8 requests at a time; further ones wait in its own queue, as in a server without
//! admission. It counts what it runs, so that a duplicate or a request that was cut off shows.

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

use crate::requests::answer::Answer;

/// Requests that a runner runs at a time.
pub const SLOTS: u16 = 8;
const CONNECTIONS: u16 = 64;
const ANNOUNCE_PATH: &str = "/v1/upstreams/announce";
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// What runners observe.
#[derive(Debug, Default)]
pub struct Observed {
    /// Runs by request ID.
    runs: Mutex<HashMap<String, u64>>,
    /// Requests whose connection was closed before the answer.
    pub cut_off: AtomicU64,
    /// The last new request of a leaving runner, in milliseconds after its announcement.
    pub last_new_ms: AtomicU64,
}

impl Observed {
    /// Request IDs that ran more than once.
    pub fn duplicates(&self) -> usize {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.values().filter(|count| **count > 1).count()
    }

    /// Counts a run.
    fn record(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.to_owned()).or_default() += 1;
    }

    /// All runs by request ID, which are forgotten.
    pub fn take_runs(&self) -> HashMap<String, u64> {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *runs)
    }

    /// Whether a request with this ID ran.
    pub fn ran(&self, id: &str) -> bool {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.contains_key(id)
    }
}

/// One runner.
#[derive(Debug)]
pub struct Runner {
    name: Name,
    failure_domain: Name,
    /// Where it listens.
    pub address: SocketAddr,
    slots: Semaphore,
    /// Takes requests and never answers.
    pub stalls: AtomicBool,
    /// Fails every request at once.
    pub fails: AtomicBool,
    /// Cuts the body of each answer short.
    pub cuts: AtomicBool,
    /// Whether requests that are failed or stalled have run.
    pub runs_before_faults: AtomicBool,
    leaving: Mutex<Option<Instant>>,
    sequence: AtomicU64,
    observed: Arc<Observed>,
}

impl Runner {
    /// Starts a runner.
    pub fn start(
        runtime: &Handle,
        index: usize,
        observed: Arc<Observed>,
    ) -> anyhow::Result<Arc<Runner>> {
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let runner = Arc::new(Runner {
            name: Name::new(&format!("runner-{index:03}"))?,
            failure_domain: Name::new(["a", "b", "c"][index % 3])?,
            address: listener.local_addr()?,
            slots: Semaphore::new(usize::from(SLOTS)),
            stalls: AtomicBool::new(false),
            fails: AtomicBool::new(false),
            cuts: AtomicBool::new(false),
            runs_before_faults: AtomicBool::new(false),
            leaving: Mutex::new(None),
            sequence: AtomicU64::new(0),
            observed,
        });
        runtime.spawn(accept(listener, runner.clone()));
        Ok(runner)
    }

    /// Begins to leave; the next announcement says so.
    pub fn leave(&self) {
        *self.leaving.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    fn left(&self) -> Option<Instant> {
        *self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces the runner once.
    pub fn announce(&self, entries: &Entries) {
        let announcement = Announcement {
            name: self.name.clone(),
            service: Name::new("logbook").expect("a valid name"),
            address: self.address.to_string(),
            failure_domain: self.failure_domain.clone(),
            slots: SLOTS,
            connections: CONNECTIONS,
            incarnation: Incarnation(1),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            status: if self.left().is_some() {
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

/// Announces all runners every second until `ended` is set.
pub fn announce_all(runners: &[Arc<Runner>], entries: &Entries, ended: &AtomicBool) {
    while !ended.load(Ordering::Relaxed) {
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
            async move { Ok::<_, Infallible>(handle(&runner, request).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
}

/// Counts a request that ends without an answer.
struct Unanswered<'a>(Option<&'a Observed>);

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if let Some(observed) = self.0 {
            observed.cut_off.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn handle(runner: &Runner, request: Request<Incoming>) -> Response<Answer> {
    let path = request.uri().to_string();
    let id = request
        .headers()
        .get(header::CALLER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let observed = &runner.observed;
    let (stalls, fails) = (&runner.stalls, &runner.fails);
    let is_faulty = stalls.load(Ordering::Relaxed) || fails.load(Ordering::Relaxed);
    if let Some(id) = &id
        && is_faulty
        && runner.runs_before_faults.load(Ordering::Relaxed)
    {
        observed.record(id);
    }
    if stalls.load(Ordering::Relaxed) {
        return std::future::pending().await;
    }
    if fails.load(Ordering::Relaxed) {
        let mut answer = Response::new(Answer::whole(Bytes::from_static(b"fault")));
        *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return answer;
    }
    if let Some(left) = runner.left() {
        let after_ms = left.elapsed().as_millis() as u64;
        observed.last_new_ms.fetch_max(after_ms, Ordering::Relaxed);
    }
    let mut unanswered = Unanswered(Some(observed));
    let _ = request.into_body().collect().await;
    let Ok(_slot) = runner.slots.acquire().await else {
        return Response::default();
    };
    if let Some(id) = id {
        observed.record(&id);
    }
    let run_ms = run_ms(&path);
    // A sleep of 0 lasts until the next tick of the runtime's timer.
    if run_ms > 0 {
        tokio::time::sleep(Duration::from_millis(run_ms)).await;
    }
    unanswered.0 = None;
    if runner.cuts.load(Ordering::Relaxed) {
        return Response::new(Answer::cut(&Bytes::from(path)));
    }
    Response::new(Answer::whole(Bytes::from(path)))
}

fn run_ms(path: &str) -> u64 {
    path.rsplit_once("run_ms=")
        .and_then(|(_, text)| text.split('&').next()?.parse().ok())
        .unwrap_or(1)
}
