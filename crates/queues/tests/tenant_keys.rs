//! Tenants and their keys in the queue table.

use std::sync::Arc;

use sapphirepost_queues::ApiKey;
use sapphirepost_queues::Queue;
use sapphirepost_queues::QueueCommand;
use sapphirepost_queues::QueueState;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::Tenant;
use sapphirepost_queues::TenantLimits;
use sapphirepost_queues::table::ENDED_KEPT_DEFAULT_MS;
use sapphirepost_queues::table::Service;
use sapphirepost_queues::table::TableError;
use sapphirepost_types::Resources;

const KEY: &str = "sk-secret-of-acme";

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: Arc::from(name),
        keys: keys.iter().map(|key| ApiKey::new(key)).collect(),
        limits: TenantLimits {
            priority: 0,
            weight: 1.0,
            quota: Resources::new(u64::MAX, u64::MAX, u32::MAX),
        },
    }
}

fn queue(name: &str, is_public: bool) -> Queue {
    Queue {
        name: Arc::from(name),
        host: Arc::from("h"),
        path_prefix: Arc::from(format!("/{name}/")),
        service: Arc::from("s"),
        priority: 0,
        attempts_max: 1,
        deadline_factor: 2.0,
        target_ms: 1_000,
        timeout_ms: 1_000,
        permits: None,
        is_public,
    }
}

fn table(tenants: Option<Vec<Tenant>>) -> QueueTable {
    QueueTable {
        version: 1,
        queues: vec![queue("closed", false), queue("open", true)],
        services: vec![Service {
            name: Arc::from("s"),
            workers_check_room: false,
        }],
        tenants,
        document: format!("{{\"api-keys\": [\"{KEY}\"]}}").as_str().into(),
        ended_kept_ms: ENDED_KEPT_DEFAULT_MS,
    }
}

/// Guards against a table whose keys do not name one tenant each, and against a message that shows
/// a key or leaves open which tenant is meant.
#[test]
fn invalid_tenants_are_refused_by_name_without_their_keys() {
    let negative = |weight: f64| {
        let mut tenant = tenant("acme", &[KEY]);
        tenant.limits.weight = weight;
        vec![tenant]
    };
    let invalid = [
        (
            vec![tenant("acme", &["a", KEY]), tenant("bolt", &[KEY, "b"])],
            "bolt",
        ),
        (vec![tenant("", &[KEY])], "no name"),
        (vec![tenant("acme", &[KEY]), tenant("acme", &["b"])], "acme"),
        (vec![tenant("acme", &[KEY, ""])], "acme"),
        (negative(-0.5), "acme"),
        (negative(f64::NAN), "acme"),
        (negative(f64::INFINITY), "acme"),
    ];
    for (tenants, named) in invalid {
        let error = table(Some(tenants)).check().unwrap_err();
        let message = error.to_string();
        assert!(message.contains(named), "{message}");
        assert!(!format!("{message}{error:?}").contains(KEY), "{message}");
    }
    let shared = vec![tenant("acme", &[KEY]), tenant("bolt", &[KEY])];
    let (first, second) = (Arc::from("acme"), Arc::from("bolt"));
    let expected = Err(TableError::SharedKey { first, second });
    assert_eq!(table(Some(shared)).check(), expected);
    assert_eq!(table(Some(Vec::new())).check(), Ok(()));
    let without_keys = vec![tenant("acme", &[]), tenant("bolt", &[])];
    assert_eq!(table(Some(without_keys)).check(), Ok(()));
}

/// Guards against a key in a log line that shows a table, a command or a part of them.
#[test]
fn debug_output_shows_no_key() {
    let table = table(Some(vec![tenant("acme", &[KEY])]));
    let command = QueueCommand::PutTable(Box::new(table.clone()));
    let mut state = QueueState::default();
    let mut changes = Vec::new();
    state.apply(1, 0, &command, &mut changes);
    let shown = [
        format!("{:?}", ApiKey::new(KEY)),
        format!("{:#?}", table.tenants),
        format!("{:?}", table.document),
        format!("{table:#?}"),
        format!("{command:?}"),
        format!("{state:?} {changes:?}"),
    ];
    for text in shown {
        assert!(!text.contains(KEY), "{text}");
    }
}

/// Guards against a table or snapshot of an earlier version that cannot be read, and against one
/// without tenants that members of an earlier version cannot read.
#[test]
fn tables_and_snapshots_without_tenants_are_encoded_as_before() {
    let table = table(None);
    let encoded = serde_json::to_string(&table).unwrap();
    let closed = queue("closed", false);
    let former = serde_json::json!({"version": 1, "queues": [], "services": [], "document": "{}"});
    let former: QueueTable = serde_json::from_value(former).unwrap();
    assert_eq!(former.tenants, None);
    assert!(!encoded.contains("tenants"), "{encoded}");
    let encoded = serde_json::to_string(&closed).unwrap();
    assert!(!encoded.contains("is_public"), "{encoded}");
    assert_eq!(serde_json::from_str::<Queue>(&encoded).unwrap(), closed);

    let mut state = QueueState::default();
    state.apply(
        1,
        0,
        &QueueCommand::PutTable(Box::new(former)),
        &mut Vec::new(),
    );
    let snapshot = serde_json::to_string(&state).unwrap();
    assert!(!snapshot.contains("tenant"), "{snapshot}");
    let read: QueueState = serde_json::from_str(&snapshot).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), snapshot);
}

/// Guards against keys and quotas that a snapshot changes: no limit is the maximum of the type.
#[test]
fn tenants_survive_a_snapshot() {
    let table = table(Some(vec![tenant("acme", &[KEY, "b"]), tenant("bolt", &[])]));
    let encoded = serde_json::to_string(&table).unwrap();
    assert_eq!(serde_json::from_str::<QueueTable>(&encoded).unwrap(), table);
}

/// Guards against a request that runs with an unknown key, and against a key that a table without
/// tenants asks for.
#[test]
fn keys_are_checked_against_the_table() {
    let table_of = |tenants| table(tenants);
    let (known, unknown) = (ApiKey::new(KEY), ApiKey::new("sk-secret-of-acmf"));
    let name = |table: &QueueTable, queue: usize, key: Option<&ApiKey>| {
        let tenant = table.authenticate(&table.queues[queue], key);
        tenant
            .map(|tenant| tenant.map(|tenant| tenant.name.to_string()))
            .ok()
    };
    let tenants = table_of(Some(vec![tenant("acme", &["a", KEY])]));
    let (closed, open) = (0, 1);
    for queue in [closed, open] {
        let acme = Some(Some("acme".to_owned()));
        assert_eq!(name(&tenants, queue, Some(&known)), acme);
        assert_eq!(name(&tenants, queue, Some(&unknown)), None);
        assert_eq!(name(&tenants, queue, Some(&ApiKey::new(""))), None);
    }
    assert_eq!(name(&tenants, closed, None), None);
    assert_eq!(name(&tenants, open, None), Some(None));
    let none = table_of(None);
    assert_eq!(name(&none, closed, Some(&unknown)), Some(None));
    assert_eq!(name(&none, closed, None), Some(None));
    let empty = table_of(Some(Vec::new()));
    assert_eq!(name(&empty, closed, Some(&known)), None);
    assert_eq!(name(&empty, open, None), Some(None));
}
