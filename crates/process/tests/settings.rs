//! Tests settings: the error for an invalid value names the setting, and all invalid settings are
//! reported at once.

use std::fs;
use std::net::SocketAddr;

use sapphirepost_process::SharedKey;
use sapphirepost_process::settings::Number;
use sapphirepost_process::settings::Reader;

const LEASE: Number = Number::new(6000, 1000, 60_000, "ms");

fn given(text: &str) -> Option<String> {
    Some(text.to_owned())
}

#[test]
fn flags_override_environment_variables_and_both_override_defaults() {
    let environment = |name: &str| (name == "SAPPHIREPOST_LEASE_MS").then(|| "7000".to_owned());
    let mut reader = Reader::new(environment);
    assert_eq!(reader.number("lease-ms", given("8000"), LEASE), 8000);
    assert_eq!(reader.number("lease-ms", None, LEASE), 7000);
    assert_eq!(reader.number("other-ms", None, LEASE), 6000);
}

#[test]
fn every_wrong_setting_is_reported_with_its_name_unit_and_range() {
    let mut reader = Reader::new(|_| None);
    reader.number("lease-ms", given("5"), LEASE);
    reader.number(
        "queue-requests",
        given("many"),
        Number::new(1, 1, 9, "requests"),
    );
    let address = reader.required::<SocketAddr>("inner-address", given("nowhere"));
    let absent = reader.required::<SocketAddr>("admin-address", None);
    let error = reader.finish(|| address.zip(absent)).unwrap_err();
    let expected = "4 settings are wrong:
  --lease-ms (SAPPHIREPOST_LEASE_MS): 5 is out of range, expected 1000 to 60000 ms
  --queue-requests (SAPPHIREPOST_QUEUE_REQUESTS): `many` is no whole number, expected 1 to 9 requests
  --inner-address (SAPPHIREPOST_INNER_ADDRESS): `nowhere`: invalid socket address syntax
  --admin-address (SAPPHIREPOST_ADMIN_ADDRESS): must be given";
    assert_eq!(error.to_string(), expected);
}

#[test]
fn effective_settings_do_not_contain_the_key() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("key");
    fs::write(&path, "a-secret-of-24-bytes-----\n").unwrap();
    let mut reader = Reader::new(|_| None);
    let key = reader
        .key_file("inner-key-file", given(&path.to_string_lossy()))
        .unwrap();
    let shown = format!("{:?} {key:?}", reader.effective());
    assert!(shown.contains("inner-key-file"));
    assert!(!shown.contains("a-secret"));
}

#[test]
fn a_key_matches_only_its_own_authorization_header() {
    let key = SharedKey::new("0123456789abcdef").unwrap();
    assert!(key.matches(Some("Bearer 0123456789abcdef")));
    assert!(!key.matches(Some("Bearer 0123456789abcdeg")));
    assert!(!key.matches(Some("Bearer 0123456789abcde")));
    assert!(!key.matches(Some("0123456789abcdef")));
    assert!(!key.matches(None));
    assert!(SharedKey::new("short").is_err());
}
