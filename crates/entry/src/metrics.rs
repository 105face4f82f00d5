//! Metrics of an entry, refreshed from the router's status.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use sapphirepost_process::metrics::Metrics;
use sapphirepost_types::RequestClass;

use crate::router_thread::Status;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Ended {
    class: String,
    ending: &'static str,
}

type Value = Gauge<u64, AtomicU64>;

/// The metrics.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    ended: Family<Ended, Value>,
    time_ms: Family<Ended, Value>,
    in_flight: Value,
    upstreams: Value,
    retries: Value,
    timeouts: Value,
    ejections: Value,
    suspects_itself: Value,
    is_within_shares: Value,
}

impl EntryMetrics {
    /// Registers the metrics.
    pub fn new(metrics: &Metrics) -> EntryMetrics {
        let value = |name, help| metrics.register(name, help, Value::default());
        EntryMetrics {
            ended: metrics.register(
                "entry_requests_ended",
                "Requests that ended since the start, by class and ending",
                Family::default(),
            ),
            time_ms: metrics.register(
                "entry_request_time_ms",
                "Sum of the times to the end since the start, by class",
                Family::default(),
            ),
            in_flight: value("entry_in_flight", "Requests without an answer"),
            upstreams: value("entry_upstreams", "Known upstreams"),
            retries: value("entry_retries", "Tries after the first since the start"),
            timeouts: value("entry_timeouts", "Tries dropped for lack of a response"),
            ejections: value("entry_ejections", "Ejections of upstreams since the start"),
            suspects_itself: value(
                "entry_suspects_itself",
                "1 while all upstreams seem dead at once",
            ),
            is_within_shares: value(
                "entry_is_within_shares",
                "1 while every runner is used within the share of this entry",
            ),
        }
    }

    /// Takes over a status.
    pub fn refresh(&self, status: &Status) {
        for class in RequestClass::ALL {
            let endings = ["done", "refused", "unknown"];
            for (ending, count) in endings.into_iter().zip(status.stats.ended[class as usize]) {
                let label = Ended {
                    class: class.to_string(),
                    ending,
                };
                self.ended.get_or_create(&label).set(count);
            }
            let label = Ended {
                class: class.to_string(),
                ending: "all",
            };
            let time_ms = status.stats.time_ms[class as usize];
            self.time_ms.get_or_create(&label).set(time_ms);
        }
        self.in_flight.set(status.in_flight as u64);
        self.upstreams.set(status.upstreams as u64);
        self.retries.set(status.stats.retries);
        self.timeouts.set(status.stats.timeouts);
        self.ejections.set(status.stats.ejections);
        self.suspects_itself.set(status.suspects_itself.into());
        self.is_within_shares.set(status.is_within_shares.into());
    }
}
