//! An open load generator: requests start at random times that do not depend on answers.
//!
//! Each answer is checked against its own request.

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

/// How one request ended, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer to the own request.
    Done,
    /// An answer with an error of the runner.
    Failed,
    /// Refused as not run.
    Refused,
    /// Reported as unknown.
    Unknown,
    /// No answer: the connection failed, or nothing came in time.
    Lost,
    /// An answer that belongs to another request or is incomplete.
    Mixed,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Its number, under which runners count it.
    pub id: String,
    /// When it started, since the start of the load.
    pub at: Duration,
    /// How long it took.
    pub took: Duration,
    /// How it ended.
    pub end: End,
}

/// Where requests go; returns `None` while there is no target.
pub type Balance = Arc<dyn Fn(u64) -> Option<SocketAddr> + Send + Sync>;

/// A load.
#[derive(Clone)]
pub struct Load {
    /// Chooses the target of each request by its number.
    pub balance: Balance,
    /// `/logbook` for entries, nothing for runners.
    pub prefix: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// How long requests are started.
    pub duration: Duration,
    /// The class.
    pub class: RequestClass,
    /// The time that a runner takes.
    pub run_ms: u64,
    /// The deadline.
    pub deadline: Duration,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// The seed of the start times.
    pub seed: u64,
}

/// Targets in turn.
pub fn in_turn(targets: Vec<SocketAddr>) -> Balance {
    Arc::new(move |number| targets.get(number as usize % targets.len()).copied())
}

#[derive(Default)]
struct Pool(Mutex<HashMap<SocketAddr, Vec<Sender>>>);

impl Pool {
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

/// Runs a load to its end.
pub async fn run(load: Load) -> Vec<Sample> {
    let mut rng = Pcg64Mcg::seed_from_u64(load.seed);
    let pool = Arc::new(Pool::default());
    let began = Instant::now();
    let mut next = Duration::ZERO;
    let mut tasks = Vec::new();
    let mut number = 0;
    while next < load.duration {
        tokio::time::sleep_until((began + next).into()).await;
        tasks.push(tokio::spawn(one(load.clone(), pool.clone(), number, began)));
        number += 1;
        let gap = -(1.0 - rng.random::<f64>()).ln() / load.rate;
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

async fn one(load: Load, pool: Arc<Pool>, number: u64, began: Instant) -> Sample {
    let id = format!("{}-{number}", load.seed);
    let started = Instant::now();
    // The deadline is the entry's to keep; beyond the slack the request counts as lost.
    let limit = load.deadline + Duration::from_millis(500);
    let exchange = exchange(&load, &pool, number, &id);
    let end = tokio::time::timeout(limit, exchange)
        .await
        .unwrap_or(End::Lost);
    Sample {
        id,
        at: started - began,
        took: started.elapsed(),
        end,
    }
}

async fn exchange(load: &Load, pool: &Pool, number: u64, id: &str) -> End {
    let Some(target) = (load.balance)(number) else {
        return End::Lost;
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
            return End::Lost;
        };
        let request = request(load, &path, id);
        let response = match sender.try_send_request(request).await {
            Ok(response) => response,
            // Nothing was sent on a connection that the target had closed meanwhile.
            Err(mut error) if was_pooled => match error.take_message() {
                Some(_) => continue,
                None => return End::Lost,
            },
            Err(_) => return End::Lost,
        };
        let status = response.status().as_u16();
        let outcome = response.headers().get(header::OUTCOME).cloned();
        let Ok(body) = response.into_body().collect().await else {
            return End::Mixed;
        };
        pool.put(target, sender);
        return match outcome.as_ref().and_then(|value| value.to_str().ok()) {
            Some(header::OUTCOME_REFUSED) => End::Refused,
            Some(header::OUTCOME_UNKNOWN) => End::Unknown,
            _ if status >= 500 => End::Failed,
            _ if body.to_bytes() == path.as_bytes() => End::Done,
            _ => End::Mixed,
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

/// The samples that ended in a way.
pub fn count(samples: &[Sample], end: End) -> usize {
    samples.iter().filter(|sample| sample.end == end).count()
}

/// A quantile of the times of the samples that ended in a way, in milliseconds.
pub fn quantile_ms(samples: &[Sample], end: End, quantile: f64) -> f64 {
    let mut times: Vec<Duration> = samples
        .iter()
        .filter(|sample| sample.end == end)
        .map(|sample| sample.took)
        .collect();
    times.sort_unstable();
    let index = (times.len() as f64 * quantile) as usize;
    times
        .get(index.min(times.len().saturating_sub(1)))
        .map_or(0.0, |took| took.as_secs_f64() * 1000.0)
}

/// Sends one request after the other on one connection until a time, and counts the answers.
pub async fn closed(target: SocketAddr, run_ms: u64, until: Instant, done: &AtomicU64) {
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
