//! Entry processes that are stopped, killed, frozen and cut off.
//!
//! Guards against a planned stop that cuts requests, a restart that takes an empty table for "no
//! upstreams", a request that is sent after its deadline because the entry was frozen, and a
//! request with an ID that runs without a claim.

mod harness;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::Cell;
use harness::Upstream;
use harness::call;
use harness::now_unix_ms;
use harness::wait_for;
use sapphirepost_process::RpcError;
use sapphirepost_process::SharedKey;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::rpc::runtime;
use sapphirepost_protocol::claim::ClaimBatch;
use sapphirepost_protocol::claim::ClaimOutcome;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_protocol::method;
use tokio::runtime::Runtime;

fn in_background(address: SocketAddr, line: String) -> thread::JoinHandle<(u16, String, String)> {
    thread::spawn(move || call(address, &line, &[], ""))
}

#[test]
fn a_planned_stop_finishes_what_is_in_flight() {
    let mut cell = Cell::start(1, &["--stop-notice-ms", "700"]);
    let upstream = Upstream::start();
    cell.announce_and_wait(&upstream);
    wait_for("readiness", || cell.get(0, "/readyz").0 == 200);
    let calls: Vec<_> = (0..3)
        .map(|n| in_background(cell.callers[0], format!("POST /logbook/{n}?wait=1500")))
        .collect();
    wait_for("the requests", || upstream.count("POST") == 3);
    cell.signal(0, "-TERM");
    wait_for("not ready", || cell.get(0, "/readyz").0 == 503);
    // While it is not ready it still serves, until the balancer has noticed.
    let (status, head, _) = call(cell.callers[0], "GET /logbook/late", &[], "");
    assert_eq!(status, 200);
    assert!(head.contains("connection: close"), "{head}");
    for call in calls {
        let (status, head, body) = call.join().unwrap();
        assert_eq!(status, 200, "{head}{body}");
    }
    let (code, log) = cell.wait_exit(0);
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("cut off"), "{log}");
}

#[test]
fn a_second_signal_ends_it_sooner_and_reports_what_was_cut() {
    let mut cell = Cell::start(1, &[]);
    let upstream = Upstream::start();
    cell.announce_and_wait(&upstream);
    let call = in_background(cell.callers[0], "POST /logbook/x?wait=9000".to_owned());
    wait_for("the request", || upstream.count("POST") == 1);
    cell.signal(0, "-TERM");
    wait_for("not ready", || cell.get(0, "/readyz").0 == 503);
    let began = Instant::now();
    cell.signal(0, "-TERM");
    let (_, log) = cell.wait_exit(0);
    assert!(began.elapsed() < Duration::from_secs(5));
    assert!(
        log.contains("cut off") && log.contains("requests=1"),
        "{log}"
    );
    assert_eq!(call.join().unwrap().0, 0);
}

#[test]
fn a_killed_entry_learns_the_table_from_its_peer() {
    let mut cell = Cell::start(2, &[]);
    let upstream = Upstream::start();
    cell.announce_and_wait(&upstream);
    cell.signal(1, "-KILL");
    cell.wait_exit(1);
    let (status, ..) = call(cell.callers[0], "GET /logbook/x", &[], "");
    assert_eq!(status, 200, "the other entry goes on");
    // Only entry 0 hears announcements from here on.
    cell.announce(0, &upstream, 2);
    cell.spawn(1);
    let (status, _, body) = call(cell.callers[1], "GET /logbook/x", &[], "");
    assert!(
        status == 200 || body.contains("starting"),
        "{status} {body}"
    );
    wait_for("the table", || {
        call(cell.callers[1], "GET /logbook/x", &[], "").0 == 200
    });
    wait_for("readiness", || cell.get(1, "/readyz").0 == 200);
}

#[test]
fn an_entry_whose_peer_is_frozen_serves_what_it_hears_itself() {
    let cell = Cell::start(2, &[]);
    let upstream = Upstream::start();
    cell.announce_and_wait(&upstream);
    cell.signal(0, "-STOP");
    for sequence in 2..9 {
        cell.announce(1, &upstream, sequence);
        let (status, ..) = call(cell.callers[1], "GET /logbook/x", &[], "");
        assert_eq!(status, 200, "announcement {sequence}");
        thread::sleep(Duration::from_millis(900));
    }
    cell.signal(0, "-CONT");
    wait_for("the peer", || {
        call(cell.callers[0], "GET /logbook/x", &[], "").0 == 200
    });
}

/// A control process that grants each ID once.
struct Control {
    server: RpcServer,
    batches: Arc<Mutex<Vec<ClaimBatch>>>,
    _runtime: Runtime,
}

impl Control {
    fn start(answer_after: Duration) -> Control {
        let runtime = runtime(1).unwrap();
        let batches: Arc<Mutex<Vec<ClaimBatch>>> = Arc::default();
        let shared = batches.clone();
        let mut methods = RpcMethods::new();
        methods
            .handle(method::CLAIM, move |batch: ClaimBatch| {
                let verdicts = verdicts(&shared, batch);
                async move {
                    tokio::time::sleep(answer_after).await;
                    Ok::<_, RpcError>(ClaimReply { verdicts })
                }
            })
            .unwrap();
        let key = SharedKey::new("0123456789abcdef").unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = RpcServerConfig::new(address, Some(key));
        let server = RpcServer::start(runtime.handle(), config, methods).unwrap();
        Control {
            server,
            batches,
            _runtime: runtime,
        }
    }

    fn outcomes(&self) -> Vec<ClaimOutcome> {
        let batches = self.batches.lock().unwrap();
        let all = batches.iter().flat_map(|batch| &batch.outcomes);
        all.map(|done| done.outcome.clone()).collect()
    }
}

fn verdicts(batches: &Mutex<Vec<ClaimBatch>>, batch: ClaimBatch) -> Vec<ClaimVerdict> {
    let mut batches = batches.lock().unwrap();
    batches.push(batch.clone());
    let verdict = |request| {
        let earlier = &batches[..batches.len() - 1];
        if !earlier
            .iter()
            .any(|b| b.claims.iter().any(|c| c.request == request))
        {
            return ClaimVerdict::Granted;
        }
        let done = batches
            .iter()
            .flat_map(|b| &b.outcomes)
            .find(|d| d.request == request);
        match done {
            Some(done) => ClaimVerdict::Ended(done.outcome.clone()),
            None => ClaimVerdict::InProgress,
        }
    };
    batch
        .claims
        .into_iter()
        .map(|claim| verdict(claim.request))
        .collect()
}

#[test]
fn a_request_with_an_id_runs_once_and_a_resend_gets_the_recorded_answer() {
    let control = Control::start(Duration::ZERO);
    let address = control.server.address().to_string();
    let cell = Cell::start(2, &["--control", &address]);
    let upstream = Upstream::start();
    cell.announce_and_wait(&upstream);
    let id = format!("sapphirepost-request-id: {}-run", now_unix_ms());
    let first = call(cell.callers[0], "POST /logbook/run", &[&id], "ascent");
    assert_eq!((first.0, first.2.as_str()), (200, "/run ascent"));
    wait_for("the outcome", || !control.outcomes().is_empty());
    for entry in [0, 1] {
        let again = call(cell.callers[entry], "POST /logbook/run", &[&id], "ascent");
        assert_eq!(
            (again.0, again.2.as_str()),
            (200, "/run ascent"),
            "{}",
            again.1
        );
    }
    assert_eq!(upstream.count("POST"), 1);
}

#[test]
fn a_frozen_entry_does_not_send_after_the_deadline_and_gives_the_claim_back() {
    let control = Control::start(Duration::from_millis(300));
    let address = control.server.address().to_string();
    let cell = Cell::start(1, &["--control", &address]);
    let upstream = Upstream::start();
    cell.announce_and_wait(&upstream);
    let id = format!("sapphirepost-request-id: {}-frozen", now_unix_ms());
    let callers = cell.callers[0];
    let caller = thread::spawn(move || {
        let headers = [id.as_str(), "sapphirepost-deadline-ms: 800"];
        call(callers, "POST /logbook/x", &headers, "")
    });
    wait_for("the claim", || !control.batches.lock().unwrap().is_empty());
    cell.signal(0, "-STOP");
    thread::sleep(Duration::from_millis(1_500));
    cell.signal(0, "-CONT");
    let (status, head, body) = caller.join().unwrap();
    assert_eq!(status, 503, "{head}{body}");
    assert!(head.contains("sapphirepost-outcome: refused"), "{head}");
    wait_for("the claim to be given back", || {
        control.outcomes().contains(&ClaimOutcome::NotRun)
    });
    assert_eq!(upstream.count("POST"), 0);
}

#[test]
fn an_entry_cut_off_from_control_refuses_ids_and_serves_the_rest() {
    let unreachable = harness::free_address().to_string();
    let cell = Cell::start(1, &["--control", &unreachable]);
    let upstream = Upstream::start();
    cell.announce_and_wait(&upstream);
    let id = format!("sapphirepost-request-id: {}-cut", now_unix_ms());
    let (status, head, body) = call(cell.callers[0], "POST /logbook/x", &[&id], "");
    assert_eq!(status, 503, "{body}");
    assert!(head.contains("retry-after: "), "{head}");
    assert!(body.contains("claim_unavailable"), "{body}");
    assert_eq!(upstream.count("POST"), 0);
    assert_eq!(call(cell.callers[0], "GET /logbook/x", &[], "").0, 200);
    assert_eq!(call(cell.callers[0], "POST /logbook/x", &[], "").0, 200);
    assert_eq!(
        cell.get(0, "/readyz").0,
        503,
        "the configuration is not known"
    );
}
