//! The state dump of an entry.

use sapphirepost_routing::Router;
use sapphirepost_types::Millis;
use serde_json::Value;
use serde_json::json;

/// Returns the state of the router as JSON; `now` is the time that ages refer to.
pub fn dump(router: &Router, now: Millis) -> Value {
    let upstreams: Vec<Value> = router
        .upstreams(now)
        .into_iter()
        .map(|upstream| {
            json!({
                "name": upstream.name,
                "service": upstream.service,
                "serving": upstream.serving,
                "ejected": upstream.ejected,
                "on_trial": upstream.on_trial,
                "general_slots": upstream.share.general,
                "lookup_slots": upstream.share.lookup_only,
                "connections_share": upstream.share.connections,
                "used_slots": upstream.used,
                "connections": upstream.connections,
                "lookup_latency_ms": upstream.lookup_latency_ms,
                "age_ms": upstream.age_ms,
            })
        })
        .collect();
    let stats = router.stats();
    json!({
        "knows_table": router.knows_table(now),
        "suspects_itself": router.suspects_itself(),
        "is_within_shares": router.is_within_shares(),
        "in_flight": router.in_flight(),
        "table_digest": router.table_digest(),
        "arrived": stats.arrived,
        "ended": stats.ended,
        "retries": stats.retries,
        "timeouts": stats.timeouts,
        "ejections": stats.ejections,
        "refused": stats.refused,
        "unknown": stats.unknown,
        "upstreams": upstreams,
    })
}
