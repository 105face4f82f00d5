//! Rejections of jobs of tenants, in answers and metrics.

mod common;

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirepost_protocol::queue::CallerAction;
use sapphirepost_protocol::queue::CallerRequest;
use sapphirepost_protocol::queue::QueueCall;
use sapphirepost_protocol::queue::QueueReply;
use sapphirepost_queues::ApiKey;
use sapphirepost_queues::QueueTable;
use sapphirepost_queues::StepSpec;
use sapphirepost_queues::SubmittedSpec;
use sapphirepost_queues::Tenant;
use sapphirepost_queues::TenantLimits;
use sapphirepost_types::Resources;

use crate::common::WAIT_TIMEOUT;
use crate::common::embedded::Group;
use crate::common::embedded::table;

fn table_with(version: u64, tenant: &str) -> QueueCall {
    let tenant = Tenant {
        name: Arc::from(tenant),
        keys: vec![ApiKey::new("secret-of-front")],
        limits: TenantLimits {
            priority: 0,
            weight: 2.0,
            quota: Resources::new(4_000, u64::MAX, u32::MAX),
        },
    };
    QueueCall::PutTable(QueueTable {
        tenants: Some(vec![tenant]),
        ..table(version)
    })
}

fn submission(tasks: u32) -> QueueCall {
    let step = StepSpec {
        count: tasks,
        resources: Resources::new(1_000, 100, 0),
        estimate_ms: 1_000,
        is_gang: true,
        ..StepSpec::default()
    };
    QueueCall::Caller(CallerRequest {
        host: "h".to_owned(),
        path: format!("/jobs/{tasks:016x}"),
        key: Some(ApiKey::new("secret-of-front")),
        action: CallerAction::Submit(SubmittedSpec {
            payload: Arc::from(""),
            steps: vec![step],
        }),
    })
}

fn wait_for(group: &Group, what: &str, condition: impl Fn(&str) -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition(&group.metrics(0)) {
        assert!(Instant::now() < deadline, "{what}: {}", group.metrics(0));
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a rejection that names neither the tenant nor its limit, against metrics that go
/// on for a removed tenant, and against keys in them.
#[test]
fn a_gang_beyond_the_quota_is_traced_to_its_tenant() {
    let group = Group::start(1);
    group.call_leader(&table_with(2, "front"));
    let (_, reply) = group.call_leader(&submission(5));
    let QueueReply::Refused {
        reason,
        retry_after_ms,
    } = reply
    else {
        panic!("{reply:?}");
    };
    assert!(reason.contains("tenant front"), "{reason}");
    assert!(reason.contains("processor"), "{reason}");
    assert!(retry_after_ms >= 60_000);
    let (_, reply) = group.call_leader(&submission(4));
    assert_eq!(reply, QueueReply::Accepted);
    let shown = [
        "queue_tenant_jobs_rejected_total{tenant=\"front\",reason=\"quota\"} 1\n",
        "queue_tenant_quota{tenant=\"front\",resource=\"processor\"} 4000\n",
        "queue_tenant_waiting_steps{tenant=\"front\"} 1\n",
    ];
    wait_for(&group, "values are missing", |text| {
        shown.iter().all(|line| text.contains(line))
    });
    assert!(!group.metrics(0).contains("secret"));
    group.call_leader(&table_with(3, "back"));
    wait_for(&group, "a removed tenant has values", |text| {
        text.contains("tenant=\"back\"") && !text.contains("tenant=\"front\"")
    });
}
