//! Callers that send non-idempotent requests with IDs, and resend them at another entry after a
//! lost, refused or unknown answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;

use attohttpc::ProxySettings;
use sapphirepost_verifier::Outcome;

const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(40);
const RESEND_PAUSE: Duration = Duration::from_millis(150);
/// Longer than any fault of a scenario keeps all entries from running requests.
const SENDINGS_MAX: usize = 100;
const TIMEOUT: Duration = Duration::from_secs(4);

/// One sending of a request.
#[derive(Clone, Debug)]
pub struct Sending {
    pub request: String,
    pub sent_ms: u64,
    pub answered_ms: u64,
    /// `None` for an answer that was lost.
    pub outcome: Option<Outcome>,
    pub body: String,
}

/// Running callers.
pub struct Callers {
    ended: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sending>>>,
}

impl Callers {
    pub fn start(entries: &[SocketAddr], run_ms: u64) -> Callers {
        let ended = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS)
            .map(|caller| {
                let (entries, ended) = (entries.to_vec(), ended.clone());
                thread::spawn(move || run(caller, &entries, run_ms, &ended))
            })
            .collect();
        Callers { ended, threads }
    }

    /// Lets each caller finish its request; returns all sendings.
    pub fn stop(self) -> Vec<Sending> {
        self.ended.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn run(caller: usize, entries: &[SocketAddr], run_ms: u64, ended: &AtomicBool) -> Vec<Sending> {
    let mut sendings = Vec::new();
    let mut number = 0;
    while !ended.load(Ordering::SeqCst) {
        let request = format!("{}-caller{caller}-{number}", unix_ms());
        for attempt in 0..SENDINGS_MAX {
            let entry = entries[(caller + number + attempt) % entries.len()];
            let sending = send(entry, &request, run_ms);
            let is_done = sending.outcome == Some(Outcome::Done);
            sendings.push(sending);
            if is_done {
                break;
            }
            thread::sleep(RESEND_PAUSE);
        }
        number += 1;
        thread::sleep(PAUSE);
    }
    sendings
}

fn send(entry: SocketAddr, request: &str, run_ms: u64) -> Sending {
    let sent_ms = unix_ms();
    let answer = attohttpc::post(format!("http://{entry}/logbook/ascents?run_ms={run_ms}"))
        .header("sapphirepost-request-id", request)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(Duration::from_millis(500))
        .timeout(TIMEOUT)
        .text(request)
        .send();
    let mut body = String::new();
    let outcome = answer.ok().and_then(|answer| {
        let outcome = answer.headers().get("sapphirepost-outcome").cloned();
        body = answer.text().ok()?;
        match outcome?.to_str().ok()? {
            "done" => Some(Outcome::Done),
            "refused" => Some(Outcome::NotRun),
            _ => Some(Outcome::Unknown),
        }
    });
    Sending {
        request: request.to_owned(),
        sent_ms,
        answered_ms: unix_ms(),
        outcome,
        body,
    }
}

/// The wall clock, which the journals share.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap().as_millis() as u64
}
