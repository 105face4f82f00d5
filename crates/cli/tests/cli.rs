//! Tests the command line with fake entries: its output, its exit codes, and that a change is resent
//! only with the same operation ID and content.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::sync::Mutex;
use std::thread;

use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde_json::Value;
use serde_json::json;

const KEY: &str = "0123456789abcdef";

/// The requests that the fake entries received, in order. A request without a response is recorded
/// as `lost`.
static RECEIVED: Mutex<Vec<String>> = Mutex::new(Vec::new());

fn respond(request: &Request) -> Response {
    if request.header("authorization") != Some(&format!("Bearer {KEY}")) {
        return error(401, "unauthorized", "the operator key is missing or wrong");
    }
    let mut text = String::new();
    request.data().unwrap().read_to_string(&mut text).unwrap();
    let url = request.url();
    let line = format!("{} {url} {text}", request.method());
    RECEIVED.lock().unwrap().push(line.trim_end().to_owned());
    let body: Value = serde_json::from_str(&text).unwrap_or_default();
    match (request.method(), url.as_str()) {
        ("POST", "/v1/plans") => propose(&body),
        ("POST", "/v1/plans/plan7/confirm") => Response::json(&json!({"confirmed": {
            "plan": 7, "operation": body["operation"], "config_version": null,
            "detail": "3 tasks are placed"}})),
        ("POST", "/v1/plans/plan8/confirm") => Response::json(&json!({"confirmed": {
            "plan": 8, "operation": body["operation"], "config_version": 5, "detail": ""}})),
        ("POST", "/v1/plans/plan9/confirm") => Response::json(&json!({"refused": {"stale": {
            "changed": [{"object": {"job": "web"}, "version": 4}], "won": 8,
            "fresh": plan(10, &json!({"cancel": {"job": "web"}}))}}}))
        .with_status_code(409),
        ("GET", "/v1/plans/plan7") => {
            Response::json(&json!({"plan": plan(7, &json!({"cancel": {"job": "web"}}))}))
        }
        ("GET", "/v1/status") => Response::json(&status()),
        ("GET", "/v1/tenants") => Response::json(&json!({"tenants": [
            {"name": "front", "weight": 2.5,
            "quota": {"millicores": 8000, "memory_mib": u64::MAX, "accelerators": u32::MAX},
            "used": {"millicores": 1500, "memory_mib": 512, "accelerators": 0},
            "running_tasks": 3, "waiting_steps": 1, "rejected": {"rate": 7, "quota": 1}}]})),
        ("GET", "/v1/explain/web") => {
            Response::json(&json!({"explanation": {"lines": ["web: 3 tasks run"]}}))
        }
        ("GET", "/v1/config") | ("GET", "/v1/config/a") | ("GET", "/v1/config/b") => {
            Response::json(&json!({"config": {"version": 5, "values": {"a": "1"}}}))
        }
        ("GET", "/v1/config-history") => {
            Response::json(&json!({"history": [{"version": 5, "key": "a",
            "old": null, "new": "1", "operation": "1-x", "at_unix_ms": 1_700_000_000_000_u64}]}))
        }
        ("GET", "/v1/config-wait") => Response::json(&json!({"in_force": {"version": 5,
            "applied": ["entry-a1"], "lacking": ["entry-b1"]}})),
        ("GET", "/v1/control") => Response::json(&json!({"members": [
            {"member": 1, "address": "10.0.0.1:7100", "voter": true, "leader": true, "matched": 90, "silent_ms": null},
            {"member": 2, "address": "10.0.0.2:7100", "voter": false, "leader": false, "matched": 12, "silent_ms": 40}]})),
        ("POST", "/v1/control") => {
            Response::json(&json!({"membership_changed": {"detail": "member3 was added"}}))
        }
        _ => Response::json(&json!({"refused": {"not_found": {"what": "job nowhere"}}}))
            .with_status_code(404),
    }
}

fn propose(body: &Value) -> Response {
    let intent = &body["intent"];
    if intent["resize"]["tasks"] == 1000 {
        let reason = "too little processor: 1000 tasks need 500 cores, the cluster has 64";
        return Response::json(&json!({"refused": {"never_fits": {"reason": reason}}}))
            .with_status_code(422);
    }
    let id = if intent.get("set_config").is_some() {
        8
    } else {
        7
    };
    Response::json(&json!({"plan": plan(id, intent)}))
}

fn plan(id: u64, intent: &Value) -> Value {
    json!({"id": id, "intent": intent, "rests_on": [{"object": {"job": "web"}, "version": 3}],
        "effects": [{"place_tasks": {"job": "web", "tasks": 3, "fit_now": 2}}],
        "warnings": [{"must_wait": {"limiting": "processor"}}], "created_unix_ms": 1})
}

fn status() -> Value {
    let job = |name: &str, kind: Value, cancelled: bool| {
        json!({"name": name, "team": "front", "kind": kind, "wanted": 3, "running": 2, "starting": 0,
            "waiting": 1, "unreachable": 0, "finished": 0, "failed": 0, "cancelled": cancelled})
    };
    let worker = |name: &str, connected: bool, draining: bool| {
        json!({"name": name, "failure_domain": "a", "rack": "a-rack0",
            "capacity": {"millicores": 64000, "memory_mib": 262_144},
            "used": {"millicores": 500, "memory_mib": 256}, "tasks": 1, "connected": connected,
            "draining": draining, "quarantined": false})
    };
    let mut done = job("train", json!({"gang": {"run_time_ms": 1000}}), false);
    done["finished"] = json!(3);
    json!({"status": {"jobs": [done, job("web", json!("service"), false),
            job("nightly", json!({"batch": {"deadline_unix_ms": null, "run_time_ms": 90000}}), true)],
        "workers": [worker("a-000", true, false), worker("a-001", false, true)],
        "config_version": 5, "leader": 1, "term": 3}})
}

fn error(status: u16, error: &str, message: &str) -> Response {
    Response::json(&json!({"error": error, "message": message})).with_status_code(status)
}

/// Starts an entry that reads each request and closes the connection without a response.
fn start_dropping_entry() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut buffer = [0; 4096];
            let mut stream = stream.unwrap();
            if stream.read(&mut buffer).is_ok_and(|length| length > 0) {
                RECEIVED.lock().unwrap().push("lost".to_owned());
            }
        }
    });
    address
}

/// Starts an entry that sends only a part of each response.
fn start_truncating_entry() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut buffer = [0; 4096];
            let mut stream = stream.unwrap();
            if stream.read(&mut buffer).is_ok_and(|length| length > 0) {
                let part = b"HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"confirmed\":";
                stream.write_all(part).unwrap();
            }
        }
    });
    address
}

/// Starts an entry that accepts connections and never responds, like a paused process.
fn start_silent_entry() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let held: Vec<_> = listener.incoming().collect();
        drop(held);
    });
    address
}

fn respond_no_leader(_: &Request) -> Response {
    error(
        503,
        "cannot_decide",
        "no control process can decide: no quorum",
    )
}

fn serve(handler: fn(&Request) -> Response) -> SocketAddr {
    let server = Server::new("127.0.0.1:0", handler).unwrap();
    let address = server.server_addr();
    thread::spawn(move || server.run());
    address
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn scenarios() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, KEY).unwrap();
    let addresses = [
        ("FAKE", serve(respond)),
        ("NO_LEADER", serve(respond_no_leader)),
        ("DROPPING", start_dropping_entry()),
        ("TRUNCATING", start_truncating_entry()),
        ("SILENT", start_silent_entry()),
        ("GONE", unused_address()),
    ];
    datadriven::walk("tests/cli", |file| {
        file.run(|case| {
            let mut entries = case
                .args
                .get("entries")
                .map_or("FAKE".to_owned(), |names| names.join(","));
            for (name, address) in &addresses {
                entries = entries.replace(name, &address.to_string());
            }
            RECEIVED.lock().unwrap().clear();
            let mut command = Command::new(env!("CARGO_BIN_EXE_sapphirepost"));
            command
                .env("SAPPHIREPOST_ENTRIES", entries)
                .env("SAPPHIREPOST_TIMEOUT_MS", "700")
                .args(case.input.split_whitespace());
            if !case.args.contains_key("no_key") {
                command.env("SAPPHIREPOST_KEY_FILE", &key);
            }
            let output = command.output().unwrap();
            let mut output_text = String::from_utf8(output.stdout).unwrap();
            output_text += &String::from_utf8(output.stderr).unwrap();
            output_text += &format!("exit {}\n", output.status.code().unwrap());
            for (name, address) in &addresses {
                output_text = output_text.replace(&address.to_string(), name);
            }
            if case.directive == "sent" {
                let received = RECEIVED.lock().unwrap().clone();
                output_text = received
                    .iter()
                    .map(|line| format!("> {line}\n"))
                    .collect::<String>()
                    + &output_text;
            }
            // A blank line ends the expected output in a test file, so blank lines are shown as `.`.
            output_text.replace("\n\n", "\n.\n")
        });
    });
}
