//! Claims: non-idempotent requests with IDs, which are resent through other entries while entries,
//! runners and the leader fail.
//!
//! Entries and the leader are killed and restarted. Runners stall, truncate response bodies, and
//! fail after they ran a request. A request is resent if it was refused or its outcome is unknown.
//! The baseline sends the same load without IDs, and also resends a request that a runner
//! answered with an error.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use argh::FromArgs;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sapphirepost_protocol::header;
use tokio::net::TcpStream;

use crate::group::claim_faults;
use crate::group::claim_faults::ClaimsCluster;
use crate::report::Report;

const REQUESTS: usize = 100_000;
const REQUESTS_QUICK: usize = 20_000;
/// No request starts after this time, so fewer than [`REQUESTS`] may be sent; the report says how
/// many were.
const LOAD_DURATION_MAX: Duration = Duration::from_secs(80);
const LOAD_DURATION_MAX_QUICK: Duration = Duration::from_secs(11);
const CALLERS: usize = 64;
const RESENDS_MAX: usize = 20;
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a caller between two requests; it makes the load last through every kind of fault.
const THINK_TIME: Duration = Duration::from_millis(22);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Response body of a runner that fails.
const FAULT_RESPONSE: &str = "fault";
/// One in this many requests is sent again after it is done, through another entry, to compare the
/// recorded response.
const COMPARE_EVERY: usize = 20;

/// Non-idempotent requests with IDs under faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct Arguments {
    /// seed of the choice of the runners and entries that fail
    #[argh(option, default = "1")]
    seed: u64,
    /// fewer requests
    #[argh(switch)]
    quick: bool,
}

/// Outcome of one attempt, as the caller sees it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Refused,
    Unknown,
}

/// Result of one request over all of its attempts.
#[derive(Default)]
struct RequestResult {
    id: String,
    /// Duration of the first attempt.
    first_attempt_ms: f64,
    is_done: bool,
    /// Whether every attempt was refused, so that the request must not have run.
    only_refused: bool,
    resends: usize,
    /// Whether the response does not belong to the request, or the response to a repetition differs
    /// from it.
    response_differs: bool,
}

/// Sends the load with IDs, then the baseline without IDs, both under faults.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let (requests, duration_max) = match arguments.quick {
        true => (REQUESTS_QUICK, LOAD_DURATION_MAX_QUICK),
        false => (REQUESTS, LOAD_DURATION_MAX),
    };
    let mut report = Report::new("claims", arguments.seed);
    let mut cluster = ClaimsCluster::start()?;
    let (results, faults) = run_load(&mut cluster, arguments.seed, requests, duration_max, true)?;
    let runs = cluster.counters.take_runs();
    let ran = |id: &str| runs.contains_key(id);
    let max = runs.values().max().copied().unwrap_or(0);
    let refused_ran = results.iter().filter(|e| e.only_refused && ran(&e.id));
    let refused_ran = refused_ran.count();
    let done_not_run = results.iter().filter(|e| e.is_done && !ran(&e.id)).count();
    let differ = results.iter().filter(|e| e.response_differs).count();
    report.metric("faults", faults as f64);
    report.metric("requests", results.len() as f64);
    report.metric("done", results.iter().filter(|e| e.is_done).count() as f64);
    report.metric(
        "resends",
        results.iter().map(|e| e.resends).sum::<usize>() as f64,
    );
    report.metric("first_answer_p50_ms", quantile(&results, 0.5));
    report.metric("first_answer_p99_ms", quantile(&results, 0.99));
    report.at_most("runs_per_id_max", max as f64, 1.0);
    report.at_most("refused_that_ran", refused_ran as f64, 0.0);
    report.at_most("done_that_did_not_run", done_not_run as f64, 0.0);
    report.at_most("recorded_answers_that_differ", differ as f64, 0.0);
    // If no request met a fault, the other targets would prove nothing.
    let resent = results.iter().filter(|e| e.resends > 0).count();
    report.at_least("requests_resent", resent as f64, 1.0);
    let (baseline, baseline_faults) = run_load(
        &mut cluster,
        arguments.seed + 1,
        requests,
        duration_max,
        false,
    )?;
    let runs = cluster.counters.take_runs();
    let twice = runs.values().filter(|count| **count > 1).count();
    report.baseline("faults", baseline_faults as f64);
    report.baseline("requests", baseline.len() as f64);
    report.baseline("ran_more_than_once", twice as f64);
    report.baseline("first_answer_p50_ms", quantile(&baseline, 0.5));
    report.baseline("first_answer_p99_ms", quantile(&baseline, 0.99));
    Ok(report)
}

/// Sends requests from all callers while faults are injected. Returns the results of the requests
/// and the number of faults.
fn run_load(
    cluster: &mut ClaimsCluster,
    seed: u64,
    requests: usize,
    duration_max: Duration,
    with_ids: bool,
) -> anyhow::Result<(Vec<RequestResult>, usize)> {
    let entries: Arc<[SocketAddr]> = cluster.caller_addresses().into();
    let next = Arc::new(AtomicUsize::new(0));
    let until = Instant::now() + duration_max;
    let is_load_done = Arc::new(AtomicBool::new(false));
    let runtime = cluster.runtime();
    let driver = thread::spawn({
        let is_load_done = is_load_done.clone();
        move || {
            let results = runtime.block_on(async {
                let callers: Vec<_> = (0..CALLERS)
                    .map(|_| {
                        let (entries, next) = (entries.clone(), next.clone());
                        tokio::spawn(run_caller(entries, next, requests, until, seed, with_ids))
                    })
                    .collect();
                let mut results = Vec::new();
                for caller in callers {
                    results.extend(caller.await.unwrap_or_default());
                }
                results
            });
            is_load_done.store(true, Ordering::SeqCst);
            results
        }
    });
    let faults = claim_faults::inject_faults(cluster, seed, &is_load_done)?;
    let results = driver.join();
    let results = results.map_err(|_| anyhow::anyhow!("the load thread panicked"))?;
    Ok((results, faults))
}

/// Runs one caller: sends requests one after the other until `requests` have been sent by all
/// callers together or `until` has passed.
async fn run_caller(
    entries: Arc<[SocketAddr]>,
    next: Arc<AtomicUsize>,
    requests: usize,
    until: Instant,
    seed: u64,
    with_ids: bool,
) -> Vec<RequestResult> {
    let mut all = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= requests || Instant::now() >= until {
            return all;
        }
        let id = format!("{}-{seed}-{number}", unix_ms());
        let mut result = RequestResult {
            id: id.clone(),
            only_refused: true,
            ..RequestResult::default()
        };
        for attempt in 0..=RESENDS_MAX {
            let entry = entries[(number + attempt) % entries.len()];
            let began = Instant::now();
            let (outcome, body) = send(entry, &id, with_ids).await;
            if attempt == 0 {
                result.first_attempt_ms = began.elapsed().as_secs_f64() * 1_000.0;
            }
            result.resends = attempt;
            result.only_refused &= outcome == Outcome::Refused;
            if outcome == Outcome::Done {
                result.is_done = true;
                result.response_differs =
                    body != path(&id).as_bytes() && body != FAULT_RESPONSE.as_bytes();
                if with_ids && number.is_multiple_of(COMPARE_EVERY) {
                    let other = entries[(number + attempt + 1) % entries.len()];
                    let (outcome, again) = send(other, &id, with_ids).await;
                    result.response_differs |= outcome == Outcome::Done && again != body;
                }
                break;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        all.push(result);
        tokio::time::sleep(THINK_TIME).await;
    }
}

fn path(id: &str) -> String {
    format!("/item/{id}?run_ms=1")
}

/// Sends a request once, on a new connection. A lost response counts as an unknown outcome.
async fn send(entry: SocketAddr, id: &str, with_id: bool) -> (Outcome, Bytes) {
    let exchange = tokio::time::timeout(DEADLINE * 2, exchange(entry, id, with_id));
    let response = exchange.await.ok().and_then(Result::ok);
    response.unwrap_or((Outcome::Unknown, Bytes::new()))
}

async fn exchange(entry: SocketAddr, id: &str, with_id: bool) -> anyhow::Result<(Outcome, Bytes)> {
    let stream = TcpStream::connect(entry).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::post(format!("/logbook{}", path(id)))
        .header("host", "logbook")
        .header(header::DEADLINE_MS, DEADLINE.as_millis() as u64)
        // Runners count requests by this header.
        .header(header::CALLER, id);
    if with_id {
        request = request.header(header::REQUEST_ID, id);
    }
    let response = sender
        .send_request(request.body(Full::new(Bytes::new()))?)
        .await?;
    let outcome = response.headers().get(header::OUTCOME).cloned();
    let is_success = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    let outcome = match outcome.as_ref().and_then(|value| value.to_str().ok()) {
        Some(header::OUTCOME_REFUSED) => Outcome::Refused,
        Some(header::OUTCOME_UNKNOWN) | None => Outcome::Unknown,
        // A caller without IDs resends also after an error of the runner; with an ID the error is
        // the recorded response.
        Some(_) if !is_success && !with_id => Outcome::Unknown,
        Some(_) => Outcome::Done,
    };
    Ok((outcome, body))
}

fn quantile(results: &[RequestResult], quantile: f64) -> f64 {
    let mut times: Vec<f64> = results
        .iter()
        .map(|result| result.first_attempt_ms)
        .collect();
    times.sort_by(f64::total_cmp);
    let index = (times.len() as f64 * quantile) as usize;
    times.get(index).copied().unwrap_or(0.0)
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}
