//! Claims: non-idempotent requests with IDs, resent at other entries while the parts fail.
//!
//! Entries and the leader are killed and restarted, runners stall, cut bodies and fail after they
//! ran a request. The baseline sends the same load without IDs and resends blindly.

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
use crate::group::claim_faults::Parts;
use crate::report::Report;

const REQUESTS: usize = 100_000;
const REQUESTS_QUICK: usize = 20_000;
/// No request starts after this time; the report names how many there were.
const LOAD_MAX: Duration = Duration::from_secs(80);
const LOAD_MAX_QUICK: Duration = Duration::from_secs(11);
const CALLERS: usize = 64;
const RESENDS_MAX: usize = 20;
const RESEND_PAUSE: Duration = Duration::from_millis(50);
/// Between two requests of a caller, so that the load lasts through every kind of fault.
const PAUSE: Duration = Duration::from_millis(22);
const DEADLINE: Duration = Duration::from_millis(1_000);
/// The answer of a runner that fails.
const FAULT: &str = "fault";
/// Every so many finished requests one is sent once more, to compare the recorded answer.
const COMPARE_EVERY: usize = 20;

/// Non-idempotent requests with IDs under faults.
#[derive(FromArgs)]
#[argh(subcommand, name = "claims")]
pub struct Arguments {
    /// seed of the order of the faults
    #[argh(option, default = "1")]
    seed: u64,
    /// fewer requests
    #[argh(switch)]
    quick: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Refused,
    Unknown,
}

#[derive(Default)]
struct Ended {
    id: String,
    first_ms: f64,
    is_done: bool,
    only_refused: bool,
    resends: usize,
    differs: bool,
}

/// Runs the experiment.
pub fn run(arguments: &Arguments) -> anyhow::Result<Report> {
    let (requests, longest) = match arguments.quick {
        true => (REQUESTS_QUICK, LOAD_MAX_QUICK),
        false => (REQUESTS, LOAD_MAX),
    };
    let mut report = Report::new("claims", arguments.seed);
    let mut parts = Parts::start()?;
    let (ended, faults) = load(&mut parts, arguments.seed, requests, longest, true)?;
    let runs = parts.observed.take_runs();
    let ran = |id: &str| runs.contains_key(id);
    let max = runs.values().max().copied().unwrap_or(0);
    let refused_ran = ended.iter().filter(|e| e.only_refused && ran(&e.id));
    let refused_ran = refused_ran.count();
    let done_not_run = ended.iter().filter(|e| e.is_done && !ran(&e.id)).count();
    let differ = ended.iter().filter(|e| e.differs).count();
    report.figure("faults", faults as f64);
    report.figure("requests", ended.len() as f64);
    report.figure("done", ended.iter().filter(|e| e.is_done).count() as f64);
    report.figure(
        "resends",
        ended.iter().map(|e| e.resends).sum::<usize>() as f64,
    );
    report.figure("first_answer_p50_ms", quantile(&ended, 0.5));
    report.figure("first_answer_p99_ms", quantile(&ended, 0.99));
    report.at_most("runs_per_id_max", max as f64, 1.0);
    report.at_most("refused_that_ran", refused_ran as f64, 0.0);
    report.at_most("done_that_did_not_run", done_not_run as f64, 0.0);
    report.at_most("recorded_answers_that_differ", differ as f64, 0.0);
    // Without faults that were met, the targets would show nothing.
    let resent = ended.iter().filter(|e| e.resends > 0).count();
    report.at_least("requests_resent", resent as f64, 1.0);
    let (blind, blind_faults) = load(&mut parts, arguments.seed + 1, requests, longest, false)?;
    let runs = parts.observed.take_runs();
    let twice = runs.values().filter(|count| **count > 1).count();
    report.baseline("faults", blind_faults as f64);
    report.baseline("requests", blind.len() as f64);
    report.baseline("ran_more_than_once", twice as f64);
    report.baseline("first_answer_p50_ms", quantile(&blind, 0.5));
    report.baseline("first_answer_p99_ms", quantile(&blind, 0.99));
    Ok(report)
}

fn load(
    parts: &mut Parts,
    seed: u64,
    requests: usize,
    longest: Duration,
    with_ids: bool,
) -> anyhow::Result<(Vec<Ended>, usize)> {
    let entries: Arc<[SocketAddr]> = parts.callers().into();
    let next = Arc::new(AtomicUsize::new(0));
    let until = Instant::now() + longest;
    let is_over = Arc::new(AtomicBool::new(false));
    let runtime = parts.runtime();
    let driver = thread::spawn({
        let is_over = is_over.clone();
        move || {
            let ended = runtime.block_on(async {
                let callers: Vec<_> = (0..CALLERS)
                    .map(|_| {
                        let (entries, next) = (entries.clone(), next.clone());
                        tokio::spawn(call(entries, next, requests, until, seed, with_ids))
                    })
                    .collect();
                let mut ended = Vec::new();
                for caller in callers {
                    ended.extend(caller.await.unwrap_or_default());
                }
                ended
            });
            is_over.store(true, Ordering::SeqCst);
            ended
        }
    });
    let faults = claim_faults::cause(parts, seed, &is_over)?;
    let ended = driver.join();
    let ended = ended.map_err(|_| anyhow::anyhow!("a caller failed"))?;
    Ok((ended, faults))
}

async fn call(
    entries: Arc<[SocketAddr]>,
    next: Arc<AtomicUsize>,
    requests: usize,
    until: Instant,
    seed: u64,
    with_ids: bool,
) -> Vec<Ended> {
    let mut all = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= requests || Instant::now() >= until {
            return all;
        }
        let id = format!("{}-{seed}-{number}", unix_ms());
        let mut ended = Ended {
            id: id.clone(),
            only_refused: true,
            ..Ended::default()
        };
        for attempt in 0..=RESENDS_MAX {
            let entry = entries[(number + attempt) % entries.len()];
            let began = Instant::now();
            let (outcome, body) = send(entry, &id, with_ids).await;
            if attempt == 0 {
                ended.first_ms = began.elapsed().as_secs_f64() * 1_000.0;
            }
            ended.resends = attempt;
            ended.only_refused &= outcome == Outcome::Refused;
            if outcome == Outcome::Done {
                ended.is_done = true;
                ended.differs = body != path(&id).as_bytes() && body != FAULT.as_bytes();
                if with_ids && number.is_multiple_of(COMPARE_EVERY) {
                    let other = entries[(number + attempt + 1) % entries.len()];
                    let (outcome, again) = send(other, &id, with_ids).await;
                    ended.differs |= outcome == Outcome::Done && again != body;
                }
                break;
            }
            tokio::time::sleep(RESEND_PAUSE).await;
        }
        all.push(ended);
        tokio::time::sleep(PAUSE).await;
    }
}

fn path(id: &str) -> String {
    format!("/item/{id}?run_ms=1")
}

/// Sends once on a connection of its own; an answer that is lost counts as unknown.
async fn send(entry: SocketAddr, id: &str, with_id: bool) -> (Outcome, Bytes) {
    let exchange = tokio::time::timeout(DEADLINE * 2, exchange(entry, id, with_id));
    let answer = exchange.await.ok().and_then(Result::ok);
    answer.unwrap_or((Outcome::Unknown, Bytes::new()))
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
    let answer = sender
        .send_request(request.body(Full::new(Bytes::new()))?)
        .await?;
    let outcome = answer.headers().get(header::OUTCOME).cloned();
    let is_success = answer.status().is_success();
    let body = answer.into_body().collect().await?.to_bytes();
    let outcome = match outcome.as_ref().and_then(|value| value.to_str().ok()) {
        Some(header::OUTCOME_REFUSED) => Outcome::Refused,
        Some(header::OUTCOME_UNKNOWN) | None => Outcome::Unknown,
        // A blind caller resends also after an error of the runner; with an ID the error is the
        // recorded answer.
        Some(_) if !is_success && !with_id => Outcome::Unknown,
        Some(_) => Outcome::Done,
    };
    Ok((outcome, body))
}

fn quantile(ended: &[Ended], quantile: f64) -> f64 {
    let mut times: Vec<f64> = ended.iter().map(|ended| ended.first_ms).collect();
    times.sort_by(f64::total_cmp);
    let index = (times.len() as f64 * quantile) as usize;
    times.get(index).copied().unwrap_or(0.0)
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}
