//! Metrics of the queues, set by the member that leads unless a metric says otherwise.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;

use sapphirepost_process::metrics::Metrics;
use sapphirepost_queues::scheduler::AttemptResult;
use sapphirepost_queues::scheduler::Counts;
use sapphirepost_queues::scheduler::PlacementCounts;
use sapphirepost_queues::scheduler::RequestCause;
use sapphirepost_queues::scheduler::StopReason;
use sapphirepost_queues::scheduler::VisitKind;

use crate::tenant_metrics::TenantMetrics;

pub(crate) const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Metrics of the queues. Counters and histograms go on across terms.
#[derive(Clone, Debug)]
pub(crate) struct QueueMetrics {
    pub(crate) accepted: Counter,
    pub(crate) refused: Counter,
    pub(crate) cancelled: Counter,
    pub(crate) ended: Counter,
    /// Reads of callers that this member handled as the leader.
    pub(crate) reads: Counter,
    /// Reads of job phases that this member answered as a follower.
    pub(crate) follower_reads: Counter,
    /// Reports of workers that this member handled as the leader.
    pub(crate) reports: Counter,
    /// Reports of workers that this member acknowledged as a follower.
    pub(crate) acknowledged_reports: Counter,
    /// Seconds from the proposal of a batch of commands to its application.
    pub(crate) commit_seconds: Histogram,
    /// Seconds from the acceptance of a job to its first placement.
    pub(crate) first_start_seconds: Histogram,
    /// Seconds from the acceptance of a job to its end.
    pub(crate) job_seconds: Histogram,
    /// Seconds from when tasks of a step could start to their placement, by the number of tasks
    /// placed together.
    step_wait_seconds: Family<StepWidth, Histogram>,
    pub(crate) policy_clients_waiting: Gauge,
    /// Runs of ended jobs that take resources on workers; 0 on members that do not lead.
    pub(crate) ended_job_runs: Gauge,
    /// Queues that start tasks only on few workers, since their tasks crash workers.
    pub(crate) quarantined_queues: Gauge,
    worker_crashes: Counter,
    pub(crate) worker_restarts: Counter,
    starts: Counter,
    stops: Family<StopLabel, Counter>,
    incomplete_gang_ends: Counter,
    unanswered_requests: Counter,
    rejected_starts: Counter,
    permit_requests: Counter,
    refused_permit_requests: Counter,
    placement_tries: Family<TryLabel, Counter>,
    placement_visits: Family<VisitLabel, Counter>,
    permit_requests_by_cause: Family<CauseLabel, Counter>,
    requested_workers: Family<CauseLabel, Counter>,
    repeated_permit_answers: Counter,
    tasks_after_withholding: Counter,
    pub(crate) tenants: TenantMetrics,
    local_tasks_after_wait: Counter,
    remote_tasks: Counter,
    expired_locality_waits: Counter,
}

/// What came of an attempt to place a step, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TryLabel {
    result: &'static str,
}

/// What workers or steps were visited for, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VisitLabel {
    kind: &'static str,
}

/// Why a permit request was made, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// The number of tasks that are placed together, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StepWidth {
    width: &'static str,
}

/// Why a run is stopped, as a label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StopLabel {
    reason: &'static str,
}

impl StepWidth {
    fn of(tasks: usize) -> StepWidth {
        let width = match tasks {
            0..=3 => "1-3",
            4..=15 => "4-15",
            16..=31 => "16-31",
            32..=63 => "32-63",
            _ => "64-",
        };
        StepWidth { width }
    }
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
            refused: counter("queue_jobs_refused", "Jobs refused on arrival"),
            cancelled: counter("queue_jobs_cancelled", "Cancels of live jobs"),
            ended: counter("queue_jobs_ended", "Jobs that ended in any way"),
            reads: counter("queue_reads", "Reads of callers handled as the leader"),
            follower_reads: counter(
                "queue_reads_by_follower",
                "Reads of job phases answered as a follower",
            ),
            reports: counter(
                "queue_worker_reports",
                "Reports of workers handled as the leader",
            ),
            acknowledged_reports: counter(
                "queue_worker_reports_acknowledged",
                "Reports of workers acknowledged as a follower",
            ),
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
            step_wait_seconds: metrics.register(
                "queue_step_wait_seconds",
                "Time from when tasks of a step could start to their placement",
                Family::new_with_constructor(seconds),
            ),
            policy_clients_waiting: metrics.register(
                "queue_policy_callers_waiting",
                "Processes that wait for a question to the placement policy",
                Gauge::default(),
            ),
            ended_job_runs: metrics.register(
                "queue_ended_job_runs",
                "Runs of ended jobs that take resources on workers",
                Gauge::default(),
            ),
            quarantined_queues: metrics.register(
                "queue_quarantined_queues",
                "Queues that are limited to few workers, since their tasks crash workers",
                Gauge::default(),
            ),
            worker_restarts: counter(
                "queue_worker_restarts",
                "Workers that started again under their ID",
            ),
            worker_crashes: counter(
                "queue_suspected_worker_crashes",
                "Workers that refused connections shortly after a reply",
            ),
            starts: counter("queue_starts", "Runs ordered"),
            stops: metrics.register(
                "queue_stops",
                "Stops sent to workers, repeated ones included",
                Family::default(),
            ),
            incomplete_gang_ends: counter(
                "queue_gang_incomplete_ends",
                "Runs that ended because the other members of their gang did not start in time",
            ),
            unanswered_requests: counter("queue_orders_unanswered", "Orders without an answer"),
            rejected_starts: counter("queue_starts_rejected", "Starts that workers rejected"),
            permit_requests: counter("queue_questions", "Questions to the placement policy"),
            refused_permit_requests: counter(
                "queue_questions_refused",
                "Questions that the placement policy did not accept",
            ),
            placement_tries: metrics.register(
                "queue_placement_tries",
                "Tries to place a step, by result",
                Family::default(),
            ),
            placement_visits: metrics.register(
                "queue_placement_visits",
                "Visits of workers and steps for placement, by purpose",
                Family::default(),
            ),
            permit_requests_by_cause: metrics.register(
                "queue_questions_by_cause",
                "Questions to the placement policy, by cause",
                Family::default(),
            ),
            requested_workers: metrics.register(
                "queue_question_workers",
                "Workers named in questions to the placement policy, by cause",
                Family::default(),
            ),
            tasks_after_withholding: counter(
                "queue_tasks_placed_after_withholding",
                "Tasks placed in free room that had been withheld from their step for too long",
            ),
            local_tasks_after_wait: counter(
                "queue_tasks_placed_local_after_wait",
                "Tasks placed near their data after their step had waited for that",
            ),
            remote_tasks: counter(
                "queue_tasks_placed_remote",
                "Tasks placed remote from their data",
            ),
            expired_locality_waits: counter(
                "queue_locality_waits_expired",
                "Waits of steps for workers near their data that ended by their bound",
            ),
            repeated_permit_answers: counter(
                "queue_questions_repeated",
                "Answered questions for a step that placed no task since the answer before",
            ),
            tenants: TenantMetrics::register(metrics),
        }
    }

    /// Records how long tasks that are placed together have waited.
    pub(crate) fn observe_step_wait(&self, tasks: usize, wait_ms: u64) {
        let histogram = self.step_wait_seconds.get_or_create(&StepWidth::of(tasks));
        histogram.observe(wait_ms as f64 / MILLIS_PER_SECOND);
    }

    /// Adds the counts of placement.
    pub(crate) fn add_placement(&self, counts: &PlacementCounts) {
        for (result, attempts) in AttemptResult::ALL.iter().zip(counts.attempts) {
            let label = TryLabel {
                result: result.label(),
            };
            self.placement_tries.get_or_create(&label).inc_by(attempts);
        }
        for (kind, visits) in VisitKind::ALL.iter().zip(counts.visits) {
            let label = VisitLabel { kind: kind.label() };
            self.placement_visits.get_or_create(&label).inc_by(visits);
        }
        let requests = counts.requests.iter().zip(counts.requested_workers);
        for (cause, (requests, workers)) in RequestCause::ALL.iter().zip(requests) {
            let label = CauseLabel {
                cause: cause.label(),
            };
            let by_cause = &self.permit_requests_by_cause;
            by_cause.get_or_create(&label).inc_by(*requests);
            self.requested_workers.get_or_create(&label).inc_by(workers);
        }
        self.repeated_permit_answers.inc_by(counts.repeated_answers);
        self.tasks_after_withholding
            .inc_by(counts.tasks_after_withholding);
        self.local_tasks_after_wait
            .inc_by(counts.local_tasks_after_wait);
        self.remote_tasks.inc_by(counts.remote_tasks);
        self.expired_locality_waits
            .inc_by(counts.expired_locality_waits);
    }

    pub(crate) fn add_counts(&self, counts: Counts) {
        self.worker_crashes.inc_by(counts.worker_crashes);
        self.starts.inc_by(counts.starts);
        for (reason, stops) in StopReason::ALL.iter().zip(counts.stops) {
            if stops > 0 {
                let label = StopLabel {
                    reason: reason.label(),
                };
                self.stops.get_or_create(&label).inc_by(stops);
            }
        }
        self.incomplete_gang_ends
            .inc_by(counts.incomplete_gang_ends);
        self.unanswered_requests.inc_by(counts.unanswered_requests);
        self.rejected_starts.inc_by(counts.rejected_starts);
        self.permit_requests.inc_by(counts.permit_requests);
        self.refused_permit_requests
            .inc_by(counts.refused_permit_requests);
    }
}
