//! Tests the listeners for workers and operators: invalid input is refused and not passed on.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_entry::control_client::ControlClient;
use sapphirepost_entry::operators::OperatorConfig;
use sapphirepost_entry::operators::OperatorServer;
use sapphirepost_entry::workers::WorkersConfig;
use sapphirepost_entry::workers::WorkersServer;
use sapphirepost_process::SharedKey;
use sapphirepost_process::byte_budget::ByteBudget;
use sapphirepost_process::rpc::RpcMethods;
use sapphirepost_process::rpc::RpcServer;
use sapphirepost_process::rpc::RpcServerConfig;
use sapphirepost_process::rpc::runtime;
use sapphirepost_protocol::method;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::operator::Refusal;
use sapphirepost_protocol::worker::WorkerSync;
use sapphirepost_protocol::worker::WorkerSyncReply;
use tokio::runtime::Runtime;

const KEY: &str = "0123456789abcdef";
const WRONG_KEY: &str = "fedcba9876543210";
const CANCEL: &str = r#"{"operation":"1-a","intent":{"cancel":{"job":"a"}}}"#;

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn key() -> Option<SharedKey> {
    Some(SharedKey::new(KEY).unwrap())
}

fn leader(runtime: &Runtime) -> RpcServer {
    let mut methods = RpcMethods::new();
    methods
        .handle(method::OPERATOR, |request: OperatorRequest| async move {
            Ok(match request {
                OperatorRequest::Explain { job } => OperatorReply::Explanation {
                    lines: vec![format!("{job} runs")],
                },
                _ => OperatorReply::Refused(Refusal::OperationMismatch),
            })
        })
        .unwrap();
    methods
        .handle(method::WORKER_SYNC, |sync: WorkerSync| async move {
            tokio::time::sleep(Duration::from_millis(sync.wait_ms)).await;
            Ok(WorkerSyncReply {
                sequence: sync.sequence,
                lease_ms: 6000,
                send_spec: false,
                send_full: false,
                commands: Vec::new(),
                acknowledged: Vec::new(),
            })
        })
        .unwrap();
    RpcServer::start(
        runtime.handle(),
        RpcServerConfig::new(local(), key()),
        methods,
    )
    .unwrap()
}

fn control(runtime: &Runtime, leader: &RpcServer) -> ControlClient {
    let addresses = [leader.address().to_string()];
    ControlClient::new(runtime.handle().clone(), &addresses, key())
}

struct Case<'a>(&'a str, &'a str, &'a str, u16, &'a str);

fn check(server: SocketAddr, key: &str, Case(method, path, body, status, part): Case<'_>) {
    let url = format!("http://{server}{path}");
    let request = match method {
        "GET" => attohttpc::get(url),
        "PUT" => attohttpc::put(url),
        _ => attohttpc::post(url),
    };
    let response = request
        .header("authorization", format!("Bearer {key}"))
        .text(body)
        .send()
        .unwrap();
    let got = response.status().as_u16();
    let text = response.text().unwrap();
    assert_eq!(got, status, "{method} {path}: {text}");
    assert!(text.contains(part), "{method} {path}: {text}");
}

/// A misspelled field or a missing ID must be reported, not ignored or replaced by a default.
#[test]
fn invalid_operator_input_is_refused_with_a_message() {
    let runtime = runtime(2).unwrap();
    let leader = leader(&runtime);
    let config = OperatorConfig {
        address: local(),
        key: key(),
        budget: ByteBudget::default(),
    };
    let server = OperatorServer::start(config, control(&runtime, &leader)).unwrap();
    let long = "x".repeat(300 * 1024);
    let no_id = CANCEL.replace(r#""operation":"1-a","#, "");
    let unknown_field = CANCEL.replace("}}}", r#"}},"force":true}"#);
    let wrong_size = r#"{"operation":"1-a","intent":{"resize":{"job":"a","tasks":-1}}}"#;
    let wrong_plan = r#"{"operation":"1-a","plan":2}"#;
    let cases = [
        Case("POST", "/v1/plans", "no", 400, "not_json"),
        Case(
            "POST",
            "/v1/plans",
            &no_id,
            400,
            "missing field `operation`",
        ),
        Case(
            "POST",
            "/v1/plans",
            &unknown_field,
            400,
            "unknown field `force`",
        ),
        Case("POST", "/v1/plans", wrong_size, 400, "bad_request"),
        Case("POST", "/v1/plans", &long, 413, "too_long"),
        Case(
            "POST",
            "/v1/plans/plan1/confirm",
            wrong_plan,
            400,
            "names plan1",
        ),
        Case(
            "POST",
            "/v1/jobs/UP/cancel",
            r#"{"operation":"1-a"}"#,
            400,
            "not allowed in a name",
        ),
        Case(
            "PUT",
            "/v1/config/a",
            "{}",
            400,
            "missing field `operation`",
        ),
        Case("GET", "/v1/config-wait", "", 400, "`version` is missing"),
        Case("GET", "/v2/status", "", 404, "not_found"),
        Case("GET", "/v1/explain/web", "", 200, "web runs"),
        Case("POST", "/v1/plans", CANCEL, 409, "operation_mismatch"),
    ];
    for case in cases {
        check(server.address(), KEY, case);
    }
    let refused = Case("POST", "/v1/plans", CANCEL, 401, "unauthorized");
    check(server.address(), WRONG_KEY, refused);
}

#[test]
fn without_a_key_changes_are_refused_and_reads_answered() {
    let runtime = runtime(2).unwrap();
    let leader = leader(&runtime);
    let config = OperatorConfig {
        address: local(),
        key: None,
        budget: ByteBudget::default(),
    };
    let server = OperatorServer::start(config, control(&runtime, &leader)).unwrap();
    let change = Case("POST", "/v1/plans", CANCEL, 403, "no operator key");
    check(server.address(), KEY, change);
    let read = Case("GET", "/v1/explain/web", "", 200, "web runs");
    check(server.address(), KEY, read);
}

#[test]
fn the_workers_listener_forwards_syncs_and_passes_announcements_on() {
    let runtime = runtime(2).unwrap();
    let leader = leader(&runtime);
    let config = WorkersConfig {
        address: local(),
        key: key(),
        budget: ByteBudget::default(),
    };
    let (sender, announcements) = flume::bounded(1);
    let control = control(&runtime, &leader);
    let server = WorkersServer::start(runtime.handle(), config, control, sender).unwrap();
    let sync = r#"{"worker":"w1","incarnation":1,"sequence":4,"digest":0,"wait_ms":60000}"#;
    let announcement = r#"{"name":"u1","service":"web","address":"127.0.0.1:9","failure_domain":"a",
        "slots":8,"connections":64,"incarnation":1,"sequence":1,"status":"serving"}"#;
    let no_slots = announcement.replace(r#""slots":8"#, r#""slots":0"#);
    let (syncs, announces) = ("/v1/workers/sync", "/v1/upstreams/announce");
    let cases = [
        Case("POST", syncs, sync, 200, r#""sequence":4"#),
        Case("POST", syncs, r#"{"worker":"w1"}"#, 400, "missing field"),
        Case("POST", announces, announcement, 200, r#""next_ms":1000"#),
        Case("POST", announces, announcement, 503, "too much to do"),
        Case("POST", announces, &no_slots, 400, "at least 1"),
        Case("POST", "/v1/other", sync, 404, "not_found"),
    ];
    let began = Instant::now();
    for case in cases {
        check(server.address(), KEY, case);
    }
    check(
        server.address(),
        WRONG_KEY,
        Case("POST", syncs, sync, 401, "unauthorized"),
    );
    // The leader would hold the sync for the requested 60 s; the entry reduces that to 1 s.
    assert!(began.elapsed() < Duration::from_secs(3));
    assert_eq!(announcements.try_recv().unwrap().name.as_str(), "u1");
}

/// A sender that stops in the middle of a request must not occupy a connection for ever.
#[test]
fn an_incomplete_head_or_body_ends_its_connection() {
    let runtime = runtime(2).unwrap();
    let leader = leader(&runtime);
    let config = WorkersConfig {
        address: local(),
        key: key(),
        budget: ByteBudget::default(),
    };
    let (sender, _announcements) = flume::bounded(1);
    let control = control(&runtime, &leader);
    let server = WorkersServer::start(runtime.handle(), config, control, sender).unwrap();
    let head = format!("POST /v1/workers/sync HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n");
    let body = format!("{head}content-length: 100\r\n\r\n{{");
    let cases = [head, body].map(|part| {
        let mut stream = TcpStream::connect(server.address()).unwrap();
        stream.write_all(part.as_bytes()).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(15)))
            .unwrap();
        stream
    });
    for mut stream in cases {
        let mut text = String::new();
        let read = stream.read_to_string(&mut text);
        assert!(read.is_ok(), "still open after 15 s: {read:?}");
        assert!(
            text.is_empty() || text.starts_with("HTTP/1.1 408"),
            "{text}"
        );
    }
}
