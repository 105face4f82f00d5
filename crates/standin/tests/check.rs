//! Guards the check of journals: it must report what breaks an invariant, and accept what only
//! looks like it.

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

fn ran(at_ms: u64, upstream: &str) -> String {
    format!(
        r#"{{"at_ms":{at_ms},"event":"request_ran","upstream":"{upstream}","request":"1-a","idempotent":false,"line":"POST /a","leaving_ms":null}}"#
    )
}

fn violations(lines: &[&str]) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    fs::write(&path, lines.join("\n")).unwrap();
    let checked = check(&[path]).unwrap();
    checked
        .violations
        .iter()
        .map(|violation| violation.invariant.to_string())
        .collect()
}

#[test]
fn what_breaks_an_invariant_is_reported() {
    let other = SIZE.replace(r#""w""#, r#""x""#);
    let twice = [SIZE, &other, &started(1, "w", 1, 1), &started(2, "x", 1, 2)];
    assert_eq!(violations(&twice), ["I2"]);
    let too_much = [SIZE, &started(1, "w", 1, 1), &started(2, "w", 2, 1)];
    assert_eq!(violations(&too_much), ["I1"]);
    assert_eq!(violations(&[&ran(1, "u"), &ran(2, "v")]), ["I5"]);
}

#[test]
fn a_killed_or_frozen_worker_is_no_violation() {
    let again = SIZE.replace(r#""at_ms":0"#, r#""at_ms":5"#);
    let killed = [SIZE, &started(1, "w", 1, 1), &again, &started(6, "w", 1, 2)];
    assert!(violations(&killed).is_empty());
    let other = SIZE.replace(r#""w""#, r#""x""#);
    let (first, second) = (started(1, "w", 1, 1), started(9000, "x", 1, 2));
    let frozen = [SIZE, &other, &first, &second, &stopped(20_000, 14_000)];
    assert!(violations(&frozen).is_empty());
    let late = [SIZE, &other, &first, &second, &stopped(20_000, 0)];
    assert_eq!(violations(&late), ["I2"]);
}
