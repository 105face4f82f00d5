//! An open-loop load generator: requests start at random times that do not depend on responses.
//!
//! Each response is checked against its request.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sapphirepost_protocol::header;
use sapphirepost_types::RequestClass;
use tokio::net::TcpStream;

type Sender = SendRequest<Full<Bytes>>;

/// Outcome of one request, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that belongs to the request.
    Done,
    /// A response with a status of 500 or above that is neither refused nor unknown.
    Failed,
    /// Refused by an entry: the request has not run.
    Refused,
    /// An entry reported that it does not know whether the request ran.
    Unknown,
    /// No response: there was no target, the connection failed, or the timeout passed.
    Lost,
    /// A response that belongs to another request or is incomplete.
    Corrupt,
}

/// The measurement of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// ID by which runners count the request.
    pub id: String,
    /// Start of the request, relative to the start of the load.
    pub start: Duration,
    /// Time from the start to the outcome.
    pub latency: Duration,
    /// Outcome that the caller saw after this time.
    pub outcome: Outcome,
}

/// Selects the target of a request by its number; returns `None` while there is no target.
pub type TargetSelector = Arc<dyn Fn(u64) -> Option<SocketAddr> + Send + Sync>;

/// The parameters of a load.
#[derive(Clone)]
pub struct Load {
    /// Selects the target of each request.
    pub selector: TargetSelector,
    /// Prefix of the path: `/logbook` for entries, empty for runners.
    pub prefix: &'static str,
    /// Mean rate at which requests start.
    pub rate_per_s: f64,
    /// How long new requests are started.
    pub duration: Duration,
    /// Class that each request carries; entries have separate admission limits for each class.
    pub class: RequestClass,
    /// Time for which a runner runs each request.
    pub run_ms: u64,
    /// Deadline that each request carries.
    pub deadline: Duration,
    /// Whether requests may run more than once: they are sent as GET, otherwise as POST.
    pub idempotent: bool,
    /// Seed of the start times and prefix of the request IDs.
    pub seed: u64,
}

/// Returns a selector of the targets in round-robin order.
pub fn round_robin(targets: Vec<SocketAddr>) -> TargetSelector {
    Arc::new(move |number| targets.get(number as usize % targets.len()).copied())
}

/// Idle connections by target.
#[derive(Default)]
struct ConnectionPool(Mutex<HashMap<SocketAddr, Vec<Sender>>>);

impl ConnectionPool {
    fn take(&self, target: SocketAddr) -> Option<Sender> {
        let mut pools = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.get_mut(&target)?;
        while let Some(sender) = pool.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put(&self, target: SocketAddr, sender: Sender) {
        let mut pools = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pools.entry(target).or_default().push(sender);
    }
}

/// Runs a load until all of its requests have ended.
pub async fn run(load: Load) -> Vec<Sample> {
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed);
    let pool = Arc::new(ConnectionPool::default());
    let began = Instant::now();
    let mut next = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut number = 0;
    while next < load.duration {
        tokio::time::sleep_until((began + next).into()).await;
        tasks.push(tokio::spawn(send_one(
            load.clone(),
            pool.clone(),
            number,
            began,
        )));
        number += 1;
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.rate_per_s;
        next += Duration::from_secs_f64(gap);
    }
    let mut samples = Vec::with_capacity(tasks.len());
    for task in tasks {
        if let Ok(sample) = task.await {
            samples.push(sample);
        }
    }
    samples
}

async fn send_one(load: Load, pool: Arc<ConnectionPool>, number: u64, began: Instant) -> Sample {
    let id = format!("{}-{number}", load.seed);
    let started = Instant::now();
    // The entry enforces the deadline; 500 ms after it the request counts as lost.
    let timeout = load.deadline + Duration::from_millis(500);
    let exchange = exchange(&load, &pool, number, &id);
    let outcome = tokio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Outcome::Lost);
    Sample {
        id,
        start: started - began,
        latency: started.elapsed(),
        outcome,
    }
}

async fn exchange(load: &Load, pool: &ConnectionPool, number: u64, id: &str) -> Outcome {
    let Some(target) = (load.selector)(number) else {
        return Outcome::Lost;
    };
    let path = format!("/item/{id}?run_ms={}", load.run_ms);
    loop {
        let pooled = pool.take(target);
        let was_pooled = pooled.is_some();
        let sender = match pooled {
            Some(sender) => Some(sender),
            None => connect(target).await,
        };
        let Some(mut sender) = sender else {
            return Outcome::Lost;
        };
        let request = request(load, &path, id);
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            // The target had closed the pooled connection. If the request was not sent, it is
            // retried on another one.
            Err(mut error) if was_pooled => match error.take_message() {
                Some(_) => continue,
                None => return Outcome::Lost,
            },
            Err(_) => return Outcome::Lost,
        };
        let status = response.status().as_u16();
        let outcome = response.headers().get(header::OUTCOME).cloned();
        let Ok(body) = response.into_body().collect().await else {
            return Outcome::Corrupt;
        };
        pool.put(target, sender);
        return match outcome.as_ref().and_then(|value| value.to_str().ok()) {
            Some(header::OUTCOME_REFUSED) => Outcome::Refused,
            Some(header::OUTCOME_UNKNOWN) => Outcome::Unknown,
            _ if status >= 500 => Outcome::Failed,
            _ if body.to_bytes() == path.as_bytes() => Outcome::Done,
            _ => Outcome::Corrupt,
        };
    }
}

async fn connect(target: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(target).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Some(sender)
}

fn request(load: &Load, path: &str, id: &str) -> Request<Full<Bytes>> {
    let method = if load.idempotent {
        Method::GET
    } else {
        Method::POST
    };
    Request::builder()
        .method(method)
        .uri(format!("{}{path}", load.prefix))
        .header("host", "logbook")
        .header(header::CLASS, load.class.to_string())
        .header(header::DEADLINE_MS, load.deadline.as_millis() as u64)
        // Runners count requests by this header.
        .header(header::CALLER, id)
        .body(Full::new(Bytes::new()))
        .expect("a valid request")
}

/// Returns the number of samples with the outcome.
pub fn count_outcome(samples: &[Sample], outcome: Outcome) -> usize {
    samples
        .iter()
        .filter(|sample| sample.outcome == outcome)
        .count()
}

/// Returns a quantile of the latencies of the samples with the outcome, in milliseconds; 0 if there
/// are none.
pub fn quantile_ms(samples: &[Sample], outcome: Outcome, quantile: f64) -> f64 {
    let mut times: Vec<Duration> = samples
        .iter()
        .filter(|sample| sample.outcome == outcome)
        .map(|sample| sample.latency)
        .collect();
    times.sort_unstable();
    let index = (times.len() as f64 * quantile) as usize;
    times
        .get(index.min(times.len().saturating_sub(1)))
        .map_or(0.0, |latency| latency.as_secs_f64() * 1000.0)
}

/// Sends one request after the other on one connection until `until` (a closed loop), and counts
/// complete responses in `done`. Ends early if the connection fails.
pub async fn run_closed_loop(target: SocketAddr, run_ms: u64, until: Instant, done: &AtomicU64) {
    let Some(mut sender) = connect(target).await else {
        return;
    };
    while Instant::now() < until {
        let request = Request::builder()
            .uri(format!("/closed?run_ms={run_ms}"))
            .header("host", "logbook")
            .body(Full::new(Bytes::new()))
            .expect("a valid request");
        let Ok(response) = sender.send_request(request).await else {
            return;
        };
        if response.into_body().collect().await.is_ok() {
            done.fetch_add(1, Ordering::Relaxed);
        }
        let _ = sender.ready().await;
    }
}
