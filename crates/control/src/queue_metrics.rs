//! Metrics of the queues, set by the member that leads.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;

use sapphirepost_process::metrics::Metrics;
use sapphirepost_queues::scheduler::Counts;

/// Metrics of the queues. Counters and histograms go on across terms.
#[derive(Clone, Debug)]
pub(crate) struct QueueMetrics {
    pub(crate) accepted: Counter,
    pub(crate) refused: Counter,
    pub(crate) cancelled: Counter,
    pub(crate) ended: Counter,
    /// Seconds from the proposal of a batch of commands to its application.
    pub(crate) commit_seconds: Histogram,
    /// Seconds from the acceptance of a job to its first placement.
    pub(crate) first_start_seconds: Histogram,
    /// Seconds from the acceptance of a job to its end.
    pub(crate) job_seconds: Histogram,
    pub(crate) policy_clients_waiting: Gauge,
    starts: Counter,
    unanswered_requests: Counter,
    rejected_starts: Counter,
    permit_requests: Counter,
    refused_permit_requests: Counter,
}

/// A histogram of seconds: the first bucket ends at 1 ms, the last finite one at 65 s.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 17))
}

impl QueueMetrics {
    pub(crate) fn register(metrics: &Metrics) -> QueueMetrics {
        let counter = |name: &str, help: &str| metrics.register(name, help, Counter::default());
        let histogram = |name: &str, help: &str| metrics.register(name, help, seconds());
        QueueMetrics {
            accepted: counter("queue_jobs_accepted", "Jobs accepted"),
            refused: counter("queue_jobs_refused", "Jobs refused for a long backlog"),
            cancelled: counter("queue_jobs_cancelled", "Cancels of live jobs"),
            ended: counter("queue_jobs_ended", "Jobs that ended in any way"),
            commit_seconds: histogram(
                "queue_commit_seconds",
                "Time from the proposal of a batch to its application",
            ),
            first_start_seconds: histogram(
                "queue_first_start_seconds",
                "Time from the acceptance of a job to its first placement",
            ),
            job_seconds: histogram(
                "queue_job_seconds",
                "Time from the acceptance of a job to its end",
            ),
            policy_clients_waiting: metrics.register(
                "queue_policy_callers_waiting",
                "Processes that wait for a question to the placement policy",
                Gauge::default(),
            ),
            starts: counter("queue_starts", "Runs ordered"),
            unanswered_requests: counter("queue_orders_unanswered", "Orders without an answer"),
            rejected_starts: counter("queue_starts_rejected", "Starts that workers rejected"),
            permit_requests: counter("queue_questions", "Questions to the placement policy"),
            refused_permit_requests: counter(
                "queue_questions_refused",
                "Questions that the placement policy did not accept",
            ),
        }
    }

    pub(crate) fn add_counts(&self, counts: Counts) {
        self.starts.inc_by(counts.starts);
        self.unanswered_requests.inc_by(counts.unanswered_requests);
        self.rejected_starts.inc_by(counts.rejected_starts);
        self.permit_requests.inc_by(counts.permit_requests);
        self.refused_permit_requests
            .inc_by(counts.refused_permit_requests);
    }
}
