//! Tests entry processes that are stopped, killed, paused, or unable to reach the control
//! processes.
//!
//! The failures they guard against: a planned stop cuts off requests, a restarted entry takes its
//! empty table for "no upstreams", an entry that was paused sends a request after its deadline, and
//! a request with an ID runs without a claim.

mod harness;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::EntryGroup;
use harness::ReservedIp;
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
fn a_planned_stop_finishes_requests_in_flight() {
    let mut group = EntryGroup::start(1, &["--stop-notice-ms", "700"]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    wait_for("readiness", || group.get(0, "/readyz").0 == 200);
    let calls: Vec<_> = (0..3)
        .map(|n| in_background(group.callers[0], format!("POST /logbook/{n}?wait=1500")))
        .collect();
    wait_for("the requests", || upstream.count("POST") == 3);
    group.signal(0, "-TERM");
    wait_for("not ready", || group.get(0, "/readyz").0 == 503);
    // An entry that is not ready still serves until the load balancer has noticed.
    let (status, head, _) = call(group.callers[0], "GET /logbook/late", &[], "");
    assert_eq!(status, 200);
    assert!(head.contains("connection: close"), "{head}");
    for call in calls {
        let (status, head, body) = call.join().unwrap();
        assert_eq!(status, 200, "{head}{body}");
    }
    let (code, log) = group.wait_exit(0);
    assert_eq!(code, Some(0), "{log}");
    assert!(!log.contains("cut off"), "{log}");
}

/// Guards against two test processes with one IP address: an entry cannot bind a port that the
/// other process took after the draw, and the test reaches the listener of the other process.
#[test]
fn each_test_process_draws_ports_of_its_own_ip_address() {
    let (first, second) = (ReservedIp::new(), ReservedIp::new());
    assert_ne!(first.ip, second.ip);
    let drawn = harness::free_address().ip();
    assert!(drawn != first.ip && drawn != second.ip, "{drawn}");
}

/// Guards against a second signal that does not end the stop, and against requests that are cut off
/// without a log line.
#[test]
fn a_second_signal_shortens_the_stop_and_reports_cut_off_requests() {
    let mut group = EntryGroup::start(1, &[]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    let call = in_background(group.callers[0], "POST /logbook/x?wait=9000".to_owned());
    wait_for("the request", || upstream.count("POST") == 1);
    group.signal(0, "-TERM");
    // The system merges a signal with an equal one that is still pending. An entry that does not
    // know its upstreams yet is not ready either, so the status alone does not show that the first
    // signal was handled.
    wait_for("the stop", || {
        let (status, report) = group.get(0, "/readyz");
        status == 503 && report.contains("stop: the entry is stopping")
    });
    let began = Instant::now();
    group.signal(0, "-TERM");
    let (_, log) = group.wait_exit(0);
    assert!(began.elapsed() < Duration::from_secs(5));
    assert!(
        log.contains("cut off") && log.contains("requests=1"),
        "{log}"
    );
    assert_eq!(call.join().unwrap().0, 0);
}

#[test]
fn a_restarted_entry_receives_the_upstream_table_from_its_peer() {
    let mut group = EntryGroup::start(2, &[]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    group.signal(1, "-KILL");
    group.wait_exit(1);
    let (status, ..) = call(group.callers[0], "GET /logbook/x", &[], "");
    assert_eq!(status, 200, "the other entry still serves");
    // Entry 1 receives no announcement itself: all of them go to entry 0.
    group.announce(0, &upstream, 2);
    group.spawn(1);
    let (status, _, body) = call(group.callers[1], "GET /logbook/x", &[], "");
    assert!(
        status == 200 || body.contains("starting"),
        "{status} {body}"
    );
    wait_for("the table", || {
        call(group.callers[1], "GET /logbook/x", &[], "").0 == 200
    });
    wait_for("readiness", || group.get(1, "/readyz").0 == 200);
}

#[test]
fn an_entry_with_a_paused_peer_serves_from_its_own_announcements() {
    let group = EntryGroup::start(2, &[]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    group.signal(0, "-STOP");
    for sequence in 2..9 {
        group.announce(1, &upstream, sequence);
        let (status, ..) = call(group.callers[1], "GET /logbook/x", &[], "");
        assert_eq!(status, 200, "announcement {sequence}");
        thread::sleep(Duration::from_millis(900));
    }
    group.signal(0, "-CONT");
    wait_for("the peer", || {
        call(group.callers[0], "GET /logbook/x", &[], "").0 == 200
    });
}

/// A fake control process that grants a claim once for each ID and records the batches.
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
    let group = EntryGroup::start(2, &["--control", &address]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    let id = format!("sapphirepost-request-id: {}-run", now_unix_ms());
    let first = call(group.callers[0], "POST /logbook/run", &[&id], "ascent");
    assert_eq!((first.0, first.2.as_str()), (200, "/run ascent"));
    wait_for("the outcome", || !control.outcomes().is_empty());
    for entry in [0, 1] {
        let again = call(group.callers[entry], "POST /logbook/run", &[&id], "ascent");
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
fn a_paused_entry_does_not_send_after_the_deadline_and_releases_the_claim() {
    let control = Control::start(Duration::from_millis(300));
    let address = control.server.address().to_string();
    let group = EntryGroup::start(1, &["--control", &address]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    let id = format!("sapphirepost-request-id: {}-paused", now_unix_ms());
    let callers = group.callers[0];
    let caller = thread::spawn(move || {
        let headers = [id.as_str(), "sapphirepost-deadline-ms: 800"];
        call(callers, "POST /logbook/x", &headers, "")
    });
    wait_for("the claim", || !control.batches.lock().unwrap().is_empty());
    group.signal(0, "-STOP");
    thread::sleep(Duration::from_millis(1_500));
    group.signal(0, "-CONT");
    let (status, head, body) = caller.join().unwrap();
    assert_eq!(status, 503, "{head}{body}");
    assert!(head.contains("sapphirepost-outcome: refused"), "{head}");
    wait_for("the claim to be released", || {
        control.outcomes().contains(&ClaimOutcome::NotRun)
    });
    assert_eq!(upstream.count("POST"), 0);
}

#[test]
fn an_entry_that_cannot_reach_control_refuses_only_requests_with_ids() {
    let unreachable = harness::free_address().to_string();
    let group = EntryGroup::start(1, &["--control", &unreachable]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    let id = format!("sapphirepost-request-id: {}-cut", now_unix_ms());
    let (status, head, body) = call(group.callers[0], "POST /logbook/x", &[&id], "");
    assert_eq!(status, 503, "{body}");
    assert!(head.contains("retry-after: "), "{head}");
    assert!(body.contains("claim_unavailable"), "{body}");
    assert_eq!(upstream.count("POST"), 0);
    assert_eq!(call(group.callers[0], "GET /logbook/x", &[], "").0, 200);
    assert_eq!(call(group.callers[0], "POST /logbook/x", &[], "").0, 200);
    assert_eq!(
        group.get(0, "/readyz").0,
        503,
        "not ready, since the configuration is not known"
    );
}
