//! Callers that send non-idempotent requests with request IDs. They retry a request at another
//! entry if the response is lost or says that the request was refused or its outcome is unknown.

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

const CALLER_COUNT: usize = 6;
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
const RESEND_PAUSE: Duration = Duration::from_millis(150);
/// Maximum number of submissions of one request. With the pauses between them, they take longer
/// than any fault in a scenario prevents all entries from running requests.
const SUBMISSIONS_MAX: usize = 100;
const TIMEOUT: Duration = Duration::from_secs(4);

/// One submission of a request; a retry is another submission.
#[derive(Clone, Debug)]
pub struct Submission {
    pub request: String,
    pub sent_ms: u64,
    /// When the response arrived, or the submission failed without one.
    pub answered_ms: u64,
    /// `None` if there was no complete response with an outcome.
    pub outcome: Option<Outcome>,
    /// The body of the response; empty without one.
    pub body: String,
}

/// Callers that run in threads of their own.
pub struct Callers {
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Submission>>>,
}

impl Callers {
    pub fn start(entries: &[SocketAddr], run_ms: u64) -> Callers {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLER_COUNT)
            .map(|caller| {
                let (entries, stop_requested) = (entries.to_vec(), stop_requested.clone());
                thread::spawn(move || run(caller, &entries, run_ms, &stop_requested))
            })
            .collect();
        Callers {
            stop_requested,
            threads,
        }
    }

    /// Stops each caller after its current request and its retries; returns all submissions.
    pub fn stop(self) -> Vec<Submission> {
        self.stop_requested.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        threads.flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn run(
    caller: usize,
    entries: &[SocketAddr],
    run_ms: u64,
    stop_requested: &AtomicBool,
) -> Vec<Submission> {
    let mut submissions = Vec::new();
    let mut number = 0;
    while !stop_requested.load(Ordering::SeqCst) {
        let request = format!("{}-caller{caller}-{number}", unix_ms());
        for attempt in 0..SUBMISSIONS_MAX {
            let entry = entries[(caller + number + attempt) % entries.len()];
            let submission = send(entry, &request, run_ms);
            let is_done = submission.outcome == Some(Outcome::Done);
            submissions.push(submission);
            if is_done {
                break;
            }
            thread::sleep(RESEND_PAUSE);
        }
        number += 1;
        thread::sleep(REQUEST_PAUSE);
    }
    submissions
}

fn send(entry: SocketAddr, request: &str, run_ms: u64) -> Submission {
    let sent_ms = unix_ms();
    let response = attohttpc::post(format!("http://{entry}/logbook/ascents?run_ms={run_ms}"))
        .header("sapphirepost-request-id", request)
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(Duration::from_millis(500))
        .timeout(TIMEOUT)
        .text(request)
        .send();
    let mut body = String::new();
    let outcome = response.ok().and_then(|response| {
        let outcome = response.headers().get("sapphirepost-outcome").cloned();
        body = response.text().ok()?;
        match outcome?.to_str().ok()? {
            "done" => Some(Outcome::Done),
            "refused" => Some(Outcome::NotRun),
            _ => Some(Outcome::Unknown),
        }
    });
    Submission {
        request: request.to_owned(),
        sent_ms,
        answered_ms: unix_ms(),
        outcome,
        body,
    }
}

/// The wall clock in Unix milliseconds, as in the journals.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap().as_millis() as u64
}
