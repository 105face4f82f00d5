//! The metrics of an entry, updated from the status of the router.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use sapphirepost_process::metrics::Metrics;
use sapphirepost_types::RequestClass;

use crate::router_thread::Status;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndingLabels {
    class: String,
    ending: &'static str,
}

// Gauges also hold the counters, since the router reports totals and not increments.
type U64Gauge = Gauge<u64, AtomicU64>;

/// The metrics that an entry adds to those of every process.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    ended: Family<EndingLabels, U64Gauge>,
    time_ms: Family<EndingLabels, U64Gauge>,
    in_flight: U64Gauge,
    upstreams: U64Gauge,
    retries: U64Gauge,
    timeouts: U64Gauge,
    ejections: U64Gauge,
    suspects_itself: U64Gauge,
    is_within_shares: U64Gauge,
}

impl EntryMetrics {
    /// Registers the metrics with `metrics`, which serves them.
    pub fn new(metrics: &Metrics) -> EntryMetrics {
        let gauge = |name, help| metrics.register(name, help, U64Gauge::default());
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
            in_flight: gauge("entry_in_flight", "Requests without an answer"),
            upstreams: gauge("entry_upstreams", "Known upstreams"),
            retries: gauge("entry_retries", "Tries after the first since the start"),
            timeouts: gauge("entry_timeouts", "Tries dropped for lack of a response"),
            ejections: gauge("entry_ejections", "Ejections of upstreams since the start"),
            suspects_itself: gauge(
                "entry_suspects_itself",
                "1 while all upstreams seem dead at once",
            ),
            is_within_shares: gauge(
                "entry_is_within_shares",
                "1 while every runner is used within the share of this entry",
            ),
        }
    }

    /// Sets all metrics from a status of the router.
    pub fn update(&self, status: &Status) {
        for class in RequestClass::ALL {
            let endings = ["done", "refused", "unknown"];
            for (ending, count) in endings.into_iter().zip(status.stats.ended[class as usize]) {
                let labels = EndingLabels {
                    class: class.to_string(),
                    ending,
                };
                self.ended.get_or_create(&labels).set(count);
            }
            let labels = EndingLabels {
                class: class.to_string(),
                ending: "all",
            };
            let time_ms = status.stats.time_ms[class as usize];
            self.time_ms.get_or_create(&labels).set(time_ms);
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
