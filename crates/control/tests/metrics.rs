//! The cluster metrics of a group of real processes.

mod common;

use serde_json::json;

use sapphirepost_protocol::method;
use sapphirepost_protocol::worker::WorkerSyncReply;

use crate::common::Cluster;

fn has_metrics(cluster: &Cluster, index: usize, lines: &[&str]) -> bool {
    let text = cluster.metrics(index);
    lines.iter().all(|line| text.contains(line))
}

/// Guards against cluster statistics that are missing in the metrics, and against a former leader
/// that keeps exporting its last ones.
#[test]
fn only_the_leader_exports_cluster_metrics() {
    let mut cluster = Cluster::start(3, &[]);
    let size = json!({"millicores": 8_000, "memory_mib": 8_000});
    let spec = json!({"failure_domain": "a", "rack": "r1", "capacity": size});
    let sync = json!({"worker": "w1", "incarnation": 1, "sequence": 1, "spec": spec,
                      "full": true, "tasks": [], "digest": 0, "wait_ms": 200});
    let _: WorkerSyncReply = cluster.request(method::WORKER_SYNC, &sync);
    let job = json!({"run": {"name": "job", "team": "team", "kind": "service", "tasks": 2,
                     "resources": {"millicores": 2_000, "memory_mib": 1_000}}});
    cluster.confirm(serde_json::from_value(job).unwrap());
    let leader = cluster.leader();
    let shown = [
        "cluster_workers{state=\"open\"} 1\n",
        "cluster_tasks{state=\"starting\"} 2\n",
        "cluster_packing_ratio{workers=\"open\",resource=\"processor\"} 0.5\n",
        "cluster_wait_seconds_count{kind=\"service\",priority=\"normal\"} 2\n",
        "cluster_placements_total 2\n",
        "cluster_confirmed_plans_total 1\n",
    ];
    cluster.wait_for("cluster metrics are missing", |cluster| {
        has_metrics(cluster, leader, &shown)
    });
    let follower = (leader + 1) % 3;
    assert!(!cluster.metrics(follower).contains("cluster_workers{"));
    cluster.signal(leader, "-STOP");
    cluster.wait_for("no other leader", |cluster| {
        (0..3).any(|index| index != leader && has_metrics(cluster, index, &[shown[0]]))
    });
    cluster.signal(leader, "-CONT");
    cluster.wait_for("cluster metrics are not cleared", |cluster| {
        has_metrics(cluster, leader, &["cluster_workers{state=\"open\"} 0\n"])
    });
}
