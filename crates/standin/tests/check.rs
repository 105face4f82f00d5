//! Tests the journal checker: it must report violations of the invariants, and accept histories of
//! killed and paused workers that only look like violations.

use std::fs;

use sapphirepost_standin::check::check;

const SIZE: &str = r#"{"at_ms":0,"event":"worker_size","worker":"w","capacity":{"millicores":1000,"memory_mib":10}}"#;

fn started(at_ms: u64, worker: &str, task: u32, attempt: u32) -> String {
    format!(
        r#"{{"at_ms":{at_ms},"event":"task_started","worker":"{worker}","task":{task},"attempt":{attempt},"job":"j","resources":{{"millicores":600,"memory_mib":1}}}}"#
    )
}

fn stopped(at_ms: u64, late_ms: u64) -> String {
    format!(
        r#"{{"at_ms":{at_ms},"event":"task_stopped","worker":"w","task":1,"attempt":1,"finished":false,"reason":"lease_end","late_ms":{late_ms}}}"#
    )
}

fn request_ran(at_ms: u64, upstream: &str) -> String {
    format!(
        r#"{{"at_ms":{at_ms},"event":"request_ran","upstream":"{upstream}","request":"1-a","idempotent":false,"line":"POST /a","leaving_ms":null}}"#
    )
}

fn violations(lines: &[&str]) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    fs::write(&path, lines.join("\n")).unwrap();
    let report = check(&[path]).unwrap();
    report
        .violations
        .iter()
        .map(|violation| violation.invariant.to_string())
        .collect()
}

#[test]
fn check_reports_invariant_violations() {
    let other = SIZE.replace(r#""w""#, r#""x""#);
    let run_twice = [SIZE, &other, &started(1, "w", 1, 1), &started(2, "x", 1, 2)];
    assert_eq!(violations(&run_twice), ["I2"]);
    let over_capacity = [SIZE, &started(1, "w", 1, 1), &started(2, "w", 2, 1)];
    assert_eq!(violations(&over_capacity), ["I1"]);
    assert_eq!(
        violations(&[&request_ran(1, "u"), &request_ran(2, "v")]),
        ["I5"]
    );
}

#[test]
fn check_accepts_killed_and_paused_workers() {
    let restarted = SIZE.replace(r#""at_ms":0"#, r#""at_ms":5"#);
    let killed = [
        SIZE,
        &started(1, "w", 1, 1),
        &restarted,
        &started(6, "w", 1, 2),
    ];
    assert!(violations(&killed).is_empty());
    let other = SIZE.replace(r#""w""#, r#""x""#);
    let (first, second) = (started(1, "w", 1, 1), started(9000, "x", 1, 2));
    let paused = [SIZE, &other, &first, &second, &stopped(20_000, 14_000)];
    assert!(violations(&paused).is_empty());
    let late = [SIZE, &other, &first, &second, &stopped(20_000, 0)];
    assert_eq!(violations(&late), ["I2"]);
}
