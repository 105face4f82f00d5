//! Real processes of the whole system under faults.
//!
//! Guards against failures that only the whole path shows: work that runs twice or nowhere,
//! requests that run twice or are reported wrongly, and configurations that do not arrive, while
//! processes are killed, frozen, replaced and cut off from each other. A scenario is a text file
//! in `tests/scenarios`, one step a line, with the expected result of each step.

mod harness;

use std::collections::BTreeSet;
use std::sync::Condvar;
use std::sync::Mutex;

use datadriven::walk;
use serde_json::json;

use sapphirepost_types::Resources;

use harness::history;
use harness::steps::Scenario;

/// A scenario runs 24 processes, so that only a few run at a time.
const SCENARIOS_MAX: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A place among the scenarios that run at a time; given back when dropped.
struct Place;

impl Place {
    fn take() -> Place {
        let mut running = ENDED
            .wait_while(RUNNING.lock().unwrap(), |running| *running >= SCENARIOS_MAX)
            .unwrap();
        *running += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap() -= 1;
        ENDED.notify_one();
    }
}

fn run(number: u8, name: &str) {
    let _place = Place::take();
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

/// Guards against a check that passes whatever the journals say.
#[test]
fn journals_with_violations_are_noticed() {
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
    let frozen = BTreeSet::from(["x".to_owned()]);
    let found = |frozen| history::violations(&tasks, &[], &[], frozen).unwrap();
    assert_eq!(found(&frozen), [""; 0], "it stood still from 15 ms on");
    assert!(found(&BTreeSet::new())[0].starts_with("I2"));
    let ran = |at_ms: u64| {
        json!({"at_ms": at_ms, "event": "request_ran", "upstream": "u", "request": "1-a",
            "idempotent": false, "line": "POST /", "leaving_ms": null})
    };
    let found = history::violations(&[], &[ran(1), ran(2)], &[], &frozen).unwrap();
    assert!(found[0].starts_with("I5"), "{found:?}");
}
