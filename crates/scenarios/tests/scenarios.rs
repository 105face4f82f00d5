//! End-to-end fault tests with real processes.
//!
//! Guards against failures that only all programs together show: tasks that run twice or not at
//! all, requests that run twice or whose outcome is reported wrongly, and configuration changes
//! that do not reach every entry, while processes are killed, paused and replaced and failure
//! domains are isolated from each other. A scenario is a text file in `tests/scenarios` with one
//! step per line and the expected result of each step.

mod harness;

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::Condvar;
use std::sync::Mutex;

use datadriven::walk;
use serde_json::json;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::runtime::Builder;

use sapphirepost_types::Resources;

use harness::history;
use harness::relay::SocketTable;
use harness::steps::Scenario;

/// Limits how many scenarios run concurrently, because each one starts 24 processes.
const CONCURRENT_SCENARIOS_MAX: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static SCENARIO_ENDED: Condvar = Condvar::new();

/// The permit to run a scenario, at most `CONCURRENT_SCENARIOS_MAX` at a time; released on drop.
struct Permit;

impl Permit {
    fn acquire() -> Permit {
        let mut running = SCENARIO_ENDED
            .wait_while(RUNNING.lock().unwrap(), |running| {
                *running >= CONCURRENT_SCENARIOS_MAX
            })
            .unwrap();
        *running += 1;
        Permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap() -= 1;
        SCENARIO_ENDED.notify_one();
    }
}

fn run(number: u8, name: &str) {
    let _permit = Permit::acquire();
    let file = format!("{}/tests/scenarios/{name}", env!("CARGO_MANIFEST_DIR"));
    assert!(std::path::Path::new(&file).exists(), "{file} is missing");
    walk(&file, |test| {
        test.run(|case| Scenario::new(number).run(&case.input));
    });
}

macro_rules! scenarios {
    ($($number:literal $name:ident)*) => {
        $(#[test] fn $name() { run($number, stringify!($name)); })*
    };
}

// The number of a scenario becomes part of the IP addresses that it uses, so each has its own. It
// must be below 16.
scenarios! {
    0 leader_killed
    1 control_restarted
    2 control_frozen
    3 disk_lost
    4 domain_cut_keep
    5 domain_cut_move
    6 worker_frozen
    7 entry_killed
    8 upstream_leaves
    9 config_cut
}

/// Guards against a check of the journals that never reports a violation.
#[test]
fn violations_in_journals_are_detected() {
    let start = |at_ms: u64, worker: &str| {
        json!({"at_ms": at_ms, "event": "task_started", "worker": worker, "task": 1,
            "attempt": at_ms, "job": "web", "resources": Resources::new(1000, 512, 0)})
    };
    let stop = json!({"at_ms": 40, "event": "task_stopped", "worker": "x", "task": 1,
        "attempt": 10, "finished": false, "reason": "lease_end", "late_ms": 25});
    let size = |worker: &str| {
        json!({"at_ms": 1, "event": "worker_size", "worker": worker,
            "capacity": Resources::new(4000, 8192, 0)})
    };
    let tasks = [size("x"), size("y"), start(10, "x"), start(20, "y"), stop];
    let paused = BTreeSet::from(["x".to_owned()]);
    let check_tasks = |paused| history::violations(&tasks, &[], &[], paused).unwrap();
    assert_eq!(
        check_tasks(&paused),
        [""; 0],
        "the lease of the paused worker ended at 15 ms"
    );
    assert!(check_tasks(&BTreeSet::new())[0].starts_with("I2"));
    let ran = |at_ms: u64| {
        json!({"at_ms": at_ms, "event": "request_ran", "upstream": "u", "request": "1-a",
            "idempotent": false, "line": "POST /", "leaving_ms": null})
    };
    let found = history::violations(&[], &[ran(1), ran(2)], &[], &paused).unwrap();
    assert!(found[0].starts_with("I5"), "{found:?}");
}

/// Guards against a connection that crosses a partition because a relay attributes it to another
/// process, whose socket has the same local port and another destination.
#[test]
fn connections_from_a_shared_local_port_are_told_apart() {
    let listeners = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let destinations = listeners.each_ref().map(|l| l.local_addr().unwrap());
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let streams = runtime.block_on(async {
        let first = connect("127.0.0.1:0".parse().unwrap(), destinations[0]).await;
        let second = connect(first.local_addr().unwrap(), destinations[1]).await;
        [first, second]
    });
    let local = streams[0].local_addr().unwrap();
    assert_eq!(local, streams[1].local_addr().unwrap());
    let table = SocketTable::read();
    for (stream, destination) in streams.iter().zip(destinations) {
        let own_socket = fs::read_link(format!("/proc/self/fd/{}", stream.as_raw_fd())).unwrap();
        let inode = table.inode(local, destination).unwrap();
        assert_eq!(own_socket, Path::new(&format!("socket:[{inode}]")));
    }
}

async fn connect(local: SocketAddr, destination: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(local).unwrap();
    socket.connect(destination).await.unwrap()
}
