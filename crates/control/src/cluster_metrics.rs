//! Metrics of the cluster, set by the leading member from the statistics of its `Leader`.
//!
//! Gauges are cleared when the member stops leading, so that a sum over the members counts the
//! cluster once. Counters and histograms go on across terms.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;

use sapphirepost_leader::ClusterStats;
use sapphirepost_leader::Events;
use sapphirepost_leader::JobClass;
use sapphirepost_leader::Packing;
use sapphirepost_process::metrics::Metrics;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    kind: &'static str,
    priority: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabels {
    state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PackingLabels {
    workers: &'static str,
    resource: &'static str,
}

type FloatGauge = Gauge<f64, std::sync::atomic::AtomicU64>;

/// Gauges, counters and histograms that describe the whole cluster.
#[derive(Clone, Debug)]
pub struct ClusterMetrics {
    wait_seconds: Family<ClassLabels, Histogram>,
    waiting: Family<ClassLabels, Gauge>,
    longest_wait_seconds: Family<ClassLabels, FloatGauge>,
    packing: Family<PackingLabels, FloatGauge>,
    tasks: Family<StateLabels, Gauge>,
    workers: Family<StateLabels, Gauge>,
    quarantined: Gauge,
    held_syncs: Gauge,
    decision_seconds: Histogram,
    placements: Counter,
    displacements: Counter,
    expired_leases: Counter,
    confirmed_plans: Counter,
    refused_plans: Counter,
}

impl ClusterMetrics {
    /// Registers all metrics under their exported names.
    pub fn register(metrics: &Metrics) -> ClusterMetrics {
        let wait_help = "Seconds from submission or the last end of a task to its placement";
        let decision_help = "Seconds of one pass of decisions on the core thread";
        let packing_help = "Used share of the workers' resources";
        let (waits, tasks, workers) = (Family::default(), Family::default(), Family::default());
        let gauge = |name, help| metrics.register(name, help, Gauge::default());
        let counter = |name, help| metrics.register(name, help, Counter::default());
        ClusterMetrics {
            wait_seconds: metrics.register(
                "cluster_wait_seconds",
                wait_help,
                Family::new_with_constructor(wait_histogram),
            ),
            waiting: metrics.register("cluster_waiting_tasks", "Tasks that wait now", waits),
            longest_wait_seconds: metrics.register(
                "cluster_longest_wait_seconds",
                "The longest wait of a task that waits now",
                Family::default(),
            ),
            packing: metrics.register("cluster_packing_ratio", packing_help, Family::default()),
            tasks: metrics.register("cluster_tasks", "Tasks by phase", tasks),
            workers: metrics.register("cluster_workers", "Workers by state", workers),
            quarantined: gauge("cluster_quarantined_workers", "Workers set aside as faulty"),
            held_syncs: gauge("control_held_syncs", "Syncs that wait for a reply"),
            decision_seconds: metrics.register(
                "control_decision_seconds",
                decision_help,
                Histogram::new(exponential_buckets(0.000_05, 2.0, 14)),
            ),
            placements: counter("cluster_placements", "Placements that took effect"),
            displacements: counter("cluster_displacements", "Tasks stopped for urgent work"),
            expired_leases: counter("cluster_expired_leases", "Leases that ended"),
            confirmed_plans: counter("cluster_confirmed_plans", "Plans that took effect"),
            refused_plans: counter("cluster_refused_plans", "Confirmations that were refused"),
        }
    }

    /// Records the duration of one tick of the leader in seconds.
    pub fn observe_decision(&self, seconds: f64) {
        self.decision_seconds.observe(seconds);
    }

    /// Adds the events since the last call to the counters and histograms.
    pub fn add_events(&self, events: &Events) {
        for wait in &events.waits {
            let labels = class_labels(wait.class);
            let seconds = wait.wait_ms as f64 / 1_000.0;
            self.wait_seconds.get_or_create(&labels).observe(seconds);
        }
        let placements = events.waits.len() as u64 + events.dropped_waits;
        self.placements.inc_by(placements);
        self.displacements.inc_by(events.displacements);
        self.expired_leases.inc_by(events.expired_leases);
        self.confirmed_plans.inc_by(events.confirmed_plans);
        self.refused_plans.inc_by(events.refused_plans);
    }

    /// Sets the gauges to the current statistics.
    pub fn set(&self, stats: &ClusterStats) {
        let mut waiting_tasks = 0;
        for class in JobClass::all() {
            let waiting = stats.waiting.get(&class).copied().unwrap_or_default();
            let labels = class_labels(class);
            let longest = waiting.longest_ms as f64 / 1_000.0;
            self.waiting
                .get_or_create(&labels)
                .set(waiting.tasks as i64);
            self.longest_wait_seconds
                .get_or_create(&labels)
                .set(longest);
            waiting_tasks += waiting.tasks;
        }
        let (tasks, workers) = (&stats.tasks, &stats.workers);
        set_counts(
            &self.tasks,
            [
                ("waiting", waiting_tasks),
                ("starting", tasks.starting),
                ("running", tasks.running),
                ("stopping", tasks.stopping),
                ("unreachable", tasks.unreachable),
            ],
        );
        set_counts(
            &self.workers,
            [
                ("open", workers.open),
                ("draining", workers.draining),
                ("reporting", workers.reporting),
                ("expired", workers.expired),
                ("lost", workers.lost),
            ],
        );
        self.quarantined.set(workers.quarantined as i64);
        self.held_syncs.set(stats.held_syncs as i64);
        self.set_packing("open", &stats.open);
        self.set_packing("all", &stats.all);
    }

    fn set_packing(&self, workers: &'static str, packing: &Packing) {
        let (used, capacity) = (&packing.used, &packing.capacity);
        let shares = [
            ("processor", used.millicores, capacity.millicores),
            ("memory", used.memory_mib, capacity.memory_mib),
            (
                "accelerator",
                u64::from(used.accelerators),
                u64::from(capacity.accelerators),
            ),
        ];
        for (resource, used, capacity) in shares {
            let labels = PackingLabels { workers, resource };
            let share = used as f64 / capacity.max(1) as f64;
            self.packing.get_or_create(&labels).set(share);
        }
    }
}

fn wait_histogram() -> Histogram {
    // From 10 ms, for an urgent start, to 5.8 h, for a batch job that waits overnight.
    Histogram::new(exponential_buckets(0.01, 2.0, 22))
}

fn class_labels(class: JobClass) -> ClassLabels {
    ClassLabels {
        kind: class.kind,
        priority: class.priority,
    }
}

fn set_counts<const N: usize>(
    family: &Family<StateLabels, Gauge>,
    counts: [(&'static str, u64); N],
) {
    for (state, count) in counts {
        family
            .get_or_create(&StateLabels { state })
            .set(count as i64);
    }
}
