//! Tests the listener for callers of a real entry process.
//!
//! The failures it guards against: invalid input is passed on or refused without an explanation,
//! slow senders and callers that do not read occupy connections, requests of disconnected callers
//! stay in flight, hop-by-hop headers are passed on, and truncated or too long responses are passed
//! on as complete.

mod harness;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use harness::EntryGroup;
use harness::Upstream;
use harness::call;
use harness::now_unix_ms;
use harness::send_raw;
use harness::wait_for;

fn start_entry() -> (EntryGroup, Upstream) {
    let timeouts = ["--head-timeout-ms", "600", "--body-timeout-ms", "400"];
    let group = EntryGroup::start(1, &timeouts);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    (group, upstream)
}

#[test]
fn bad_input_is_refused_with_an_explanation_and_not_passed_on() {
    let (group, upstream) = start_entry();
    let long = format!("x-long: {}", "x".repeat(17 * 1024));
    let huge_body = "x".repeat(1024 * 1024 + 1);
    let old = format!("sapphirepost-request-id: {}-a", now_unix_ms() - 700_000);
    let new = format!("sapphirepost-request-id: {}-a", now_unix_ms() + 700_000);
    let caller = format!("sapphirepost-caller: {}", "c".repeat(200));
    let cases: [(&str, &[&str], &str, u16, &str); 18] = [
        ("GET /", &[], "", 400, "bad_request"),
        ("GET /UPPER/x", &[], "", 400, "bad_request"),
        ("GET /log%20book/x", &[], "", 400, "bad_request"),
        ("OPTIONS *", &[], "", 400, "bad_request"),
        ("TRACE /logbook/x", &[], "", 405, "method"),
        (
            "GET /logbook/x",
            &["sapphirepost-class: urgent"],
            "",
            400,
            "bad_request",
        ),
        (
            "GET /logbook/x",
            &["sapphirepost-deadline-ms: soon"],
            "",
            400,
            "bad_request",
        ),
        (
            "GET /logbook/x",
            &["sapphirepost-deadline-ms: 0"],
            "",
            400,
            "bad_request",
        ),
        (
            "GET /logbook/x",
            &["sapphirepost-deadline-ms: 99999999"],
            "",
            400,
            "bad_request",
        ),
        (
            "GET /logbook/x",
            &["sapphirepost-idempotent: maybe"],
            "",
            400,
            "bad_request",
        ),
        (
            "POST /logbook/x",
            &["sapphirepost-request-id: seven"],
            "",
            400,
            "bad_request",
        ),
        ("POST /logbook/x", &[&old], "", 409, "id_too_old"),
        ("POST /logbook/x", &[&new], "", 400, "id_too_new"),
        (
            "POST /logbook/x",
            &[
                "sapphirepost-request-id: 1-a",
                "sapphirepost-request-id: 1-b",
            ],
            "",
            400,
            "bad_request",
        ),
        ("GET /logbook/x", &[&caller], "", 400, "bad_request"),
        ("GET /logbook/x", &[&long], "", 431, "head_too_long"),
        ("POST /logbook/x", &[], &huge_body, 413, "body_too_long"),
        ("POST /logbook/x", &["expect: 200-ok"], "x", 417, "expect"),
    ];
    for (line, headers, body, status, error) in cases {
        let (got, head, text) = call(group.callers[0], line, headers, body);
        assert_eq!(got, status, "{line} {headers:.60?}: {text}");
        assert!(head.contains("sapphirepost-outcome: refused"), "{head}");
        let value: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(value["error"], error, "{text}");
        assert!(!value["message"].as_str().unwrap().is_empty());
    }
    let (status, ..) = send_raw(group.callers[0], b"this is no request\r\n\r\n");
    assert_eq!(status, 400);
    assert_eq!(upstream.count(""), 0, "{:?}", upstream.heads);
}

#[test]
fn slow_senders_are_disconnected() {
    let (group, upstream) = start_entry();
    let (status, ..) = send_raw(group.callers[0], b"GET /logbook/x HTTP/1.1\r\nhost:");
    assert_eq!(status, 0, "the connection is closed without an answer");
    let half = b"POST /logbook/x HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nhalf";
    let (status, head, _) = send_raw(group.callers[0], half);
    assert_eq!(status, 408);
    assert!(head.contains("connection: close"), "{head}");
    assert_eq!(upstream.count(""), 0);
}

#[test]
fn a_caller_that_does_not_read_is_disconnected() {
    let group = EntryGroup::start(1, &["--write-timeout-ms", "300"]);
    let upstream = Upstream::start();
    group.announce_and_wait(&upstream);
    let mut stream = TcpStream::connect(group.callers[0]).unwrap();
    // The responses exceed the socket buffers of both ends.
    let count = 40;
    let request = "GET /logbook/x?bytes=1000000 HTTP/1.1\r\nhost: a\r\n\r\n".repeat(count);
    stream.write_all(request.as_bytes()).unwrap();
    thread::sleep(Duration::from_millis(2_500));
    let mut read = 0;
    let mut buffer = vec![0; 1 << 20];
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        read += length;
    }
    assert!(
        read < count * 1_000_000,
        "{read} bytes were buffered for the caller"
    );
    assert!(upstream.count("GET") < count);
}

#[test]
fn a_request_ends_at_once_when_its_caller_disconnects() {
    let (group, upstream) = start_entry();
    let mut stream = TcpStream::connect(group.callers[0]).unwrap();
    let request = b"GET /logbook/x?wait=4000 HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).unwrap();
    wait_for("the request", || upstream.count("GET") == 1);
    let began = Instant::now();
    drop(stream);
    let ended = || group.get(0, "/dump").1.contains("\"in_flight\":0");
    wait_for("the end of the request", ended);
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn answers_are_complete_and_hop_by_hop_headers_are_removed() {
    let (group, upstream) = start_entry();
    let headers = [
        "connection: keep-alive, x-hop",
        "x-hop: secret",
        "x-end: to-end",
        "upgrade: other",
        "sapphirepost-deadline-ms: 3000",
    ];
    let (status, head, body) = call(group.callers[0], "POST /logbook/a?b=c", &headers, "hello");
    assert_eq!((status, body.as_str()), (200, "/a?b=c hello"), "{head}");
    assert!(head.contains("sapphirepost-outcome: done"), "{head}");
    assert!(!head.contains("keep-alive"), "{head}");
    let heads = upstream.heads.lock().unwrap().join("");
    assert!(
        !heads.contains("x-hop") && !heads.contains("upgrade"),
        "{heads}"
    );
    assert!(heads.contains("x-end: to-end"), "{heads}");
    // The upstream receives the remaining time, not the deadline that the caller set.
    let left = heads.split("sapphirepost-deadline-ms: ").nth(1).unwrap();
    let left: u64 = left.split('\r').next().unwrap().parse().unwrap();
    assert!((1..=3000).contains(&left), "{left}");
}

#[test]
fn truncated_and_too_long_responses_are_never_passed_on() {
    let (group, upstream) = start_entry();
    for target in ["/logbook/a?cut", "/logbook/b?bytes=1100000"] {
        let (status, head, body) = call(group.callers[0], &format!("POST {target}"), &[], "");
        assert_eq!(status, 502, "{head}{body}");
        assert!(head.contains("sapphirepost-outcome: unknown"), "{head}");
    }
    assert_eq!(
        upstream.count("POST"),
        2,
        "a request without ID is sent once"
    );
    let (status, _, body) = call(group.callers[0], "GET /logbook/c?bytes=1000000", &[], "");
    assert_eq!((status, body.len() > 1_000_000), (200, true));
    let (status, ..) = call(group.callers[0], "GET /logbook/d?cut", &[], "");
    assert_eq!(status, 502);
    assert_eq!(
        upstream.count("GET /d"),
        3,
        "an idempotent request is retried"
    );
}
