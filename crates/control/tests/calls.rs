//! Calls of entries and operators to a group of real processes.

mod common;

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use sapphirepost_process::RpcError;
use sapphirepost_protocol::claim::ClaimReply;
use sapphirepost_protocol::claim::ClaimVerdict;
use sapphirepost_protocol::config::ConfigReply;
use sapphirepost_protocol::config::ConfigUpdate;
use sapphirepost_protocol::method;
use sapphirepost_protocol::operator::OperatorReply;
use sapphirepost_protocol::operator::OperatorRequest;
use sapphirepost_protocol::worker::WorkerCommand;
use sapphirepost_protocol::worker::WorkerSyncReply;
use sapphirepost_types::Resources;

use crate::common::Cluster;

/// Guards against a follower whose refusal names no leader address, or a wrong one.
#[test]
fn a_follower_names_the_leader() {
    let cluster = Cluster::start(3, &[]);
    let leader = cluster.leader();
    let address = cluster.processes[leader].relay.address.to_string();
    let follower = (leader + 1) % 3;
    let hint = Some(address);
    cluster.wait_for("no hint", |cluster| {
        let reply = cluster.call(follower, &OperatorRequest::GetConfig);
        reply == Err(RpcError::NotLeader { hint: hint.clone() })
    });
}

/// Guards against a worker sync that never reaches the scheduler, or whose reply is lost.
#[test]
fn a_worker_receives_its_task() {
    let mut cluster = Cluster::start(3, &[]);
    let spec = json!({"failure_domain": "a", "rack": "r1", "capacity": resources(8_000)});
    let sync = |sequence: u64, spec: Option<&Value>| {
        json!({"worker": "w1", "incarnation": 1, "sequence": sequence, "spec": spec,
               "full": true, "tasks": [], "digest": 0, "wait_ms": 200})
    };
    let reply: WorkerSyncReply = cluster.request(method::WORKER_SYNC, &sync(1, Some(&spec)));
    assert_eq!(reply.sequence, 1);
    let job = json!({"run": {"name": "job", "team": "team", "kind": "service", "tasks": 1,
                             "resources": resources(1_000)}});
    cluster.confirm(serde_json::from_value(job).unwrap());
    let mut started = false;
    for sequence in 2..30 {
        let reply: WorkerSyncReply = cluster.request(method::WORKER_SYNC, &sync(sequence, None));
        assert!(reply.lease_ms > 0);
        started |= reply
            .commands
            .iter()
            .any(|command| matches!(command, WorkerCommand::Start { .. }));
        if started {
            break;
        }
    }
    assert!(started, "the worker received no task");
}

fn resources(millicores: u64) -> Value {
    serde_json::to_value(Resources::new(millicores, 1_024, 0)).unwrap()
}

/// Guards against a second grant for the same request, also after the leader was killed.
#[test]
fn a_claim_is_granted_once() {
    let mut cluster = Cluster::start(3, &[]);
    let request = cluster.operation();
    let batch = |entry: u64| {
        json!({"entry": entry, "incarnation": 1, "outcomes": [],
               "claims": [{"service": "s", "request": request, "digest": 7, "token": 1}]})
    };
    let reply: ClaimReply = cluster.request(method::CLAIM, &batch(1));
    assert_eq!(reply.verdicts, [ClaimVerdict::Granted]);
    let leader = cluster.leader();
    cluster.kill(leader);
    let reply: ClaimReply = cluster.request(method::CLAIM, &batch(2));
    assert_eq!(reply.verdicts, [ClaimVerdict::InProgress]);
}

/// Guards against a configuration watcher that is not sent a change.
#[test]
fn a_watcher_receives_a_change() {
    let mut cluster = Cluster::start(3, &[]);
    cluster.set_config_value();
    let watch = json!({"entry": 1, "incarnation": 1, "applied": 0, "wait_ms": 200});
    let reply: ConfigReply = cluster.request(method::WATCH_CONFIG, &watch);
    assert_eq!(reply.version.0, 1);
    let ConfigUpdate::Changes(changes) = reply.update else {
        panic!("{reply:?}")
    };
    assert_eq!(changes.len(), 1);
    let current = json!({"entry": 1, "incarnation": 1, "applied": 1, "wait_ms": 100});
    let reply: ConfigReply = cluster.request(method::WATCH_CONFIG, &current);
    assert_eq!(reply.update, ConfigUpdate::Current);
}

/// Guards against a resent request that is refused because the member was added already, against a
/// new member that gets no vote, and against an invalid address that is accepted.
#[test]
fn a_resent_member_request_is_answered_again() {
    let mut cluster = Cluster::start(1, &[]);
    let index = cluster.add_process();
    cluster.spawn(index);
    let member = cluster.processes[index].member;
    let address = cluster.processes[index].relay.address.to_string();
    for _ in 0..2 {
        let request = OperatorRequest::AddMember {
            member,
            address: address.clone(),
        };
        let reply = cluster.operate(&request);
        assert!(
            matches!(reply, OperatorReply::MembershipChanged { .. }),
            "{reply:?}"
        );
    }
    cluster.wait_for("not promoted", |cluster| {
        cluster.members().iter().all(|m| m.voter)
    });
    let bad = OperatorRequest::AddMember {
        member,
        address: "nowhere".to_owned(),
    };
    assert!(matches!(cluster.operate(&bad), OperatorReply::Refused(_)));
    std::thread::sleep(Duration::from_millis(100));
    cluster.set_config_value();
    cluster.wait_until_converged();
}
